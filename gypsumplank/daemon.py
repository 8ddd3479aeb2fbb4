"""Wire the parts of the daemon together and run it."""

import argparse
import logging
import random
import signal
import sys
import threading
import time
from collections.abc import Mapping
from pathlib import Path

from opentelemetry.metrics import Observation

from gypsumplank.coordination.budget import check_assignments, check_budgets
from gypsumplank.coordination.control import Control
from gypsumplank.coordination.controller import Controller, Stores
from gypsumplank.coordination.desk import FleetDesk, Sources
from gypsumplank.coordination.dispatch import Dispatcher
from gypsumplank.coordination.follower import Follower
from gypsumplank.coordination.gate import Gate
from gypsumplank.coordination.heartbeat import Heartbeat
from gypsumplank.coordination.lease import Leases
from gypsumplank.coordination.planner import Planner
from gypsumplank.coordination.roster import Roster
from gypsumplank.coordination.slot import Slots
from gypsumplank.coordination.supervisor import Supervisor
from gypsumplank.coordination.usage import HostUsage
from gypsumplank.coordination.witness import Witness
from gypsumplank.errors import SettingsError
from gypsumplank.log import Event, event, set_up
from gypsumplank.metrics import Metrics
from gypsumplank.protocol.exchange import Reply, Request
from gypsumplank.protocol.fleet import (
    PATH_HOST,
    PATH_PLAN,
    PATH_POOLS,
    PATH_WAVE,
    PATH_WAVES,
    HostOrder,
    WaveOrder,
)
from gypsumplank.settings import Settings, load_settings
from gypsumplank.state.clock import SystemClock
from gypsumplank.state.config import ConfigStore
from gypsumplank.state.lease import LeaseStore
from gypsumplank.state.session import Session, SessionStore
from gypsumplank.state.validation import check_records
from gypsumplank.state.view import ViewHolder
from gypsumplank.state.wave import WaveStore
from gypsumplank.transport.caller import CallerApp
from gypsumplank.transport.endpoint import HttpEndpointClient
from gypsumplank.transport.listener import Listener
from gypsumplank.transport.operator import OperatorApp, Route
from gypsumplank.transport.platform import HttpMembership, HttpTable, PlatformClient

EXIT_OK = 0
EXIT_SETTINGS = 2
EXIT_CUT_OFF = 3
OPERATOR_THREADS = 4
OPERATOR_GRACE_S = 2.0
ENDPOINT_CONNECTIONS = 64

GUARDS = (check_records, check_assignments, check_budgets)

logger = logging.getLogger("gypsumplank.daemon")


class GatedCarrier:
    """Count the requests in flight around the dispatcher."""

    def __init__(self, gate: Gate, dispatcher: Dispatcher) -> None:
        self._gate = gate
        self._dispatcher = dispatcher

    def carry(self, req: Request) -> Reply:
        """Return exactly one reply."""
        with self._gate:
            return self._dispatcher.carry(req)


class Daemon:
    """Hold the parts of one daemon."""

    def __init__(self, cfg: Settings) -> None:
        self._cfg = cfg
        self._stop = threading.Event()
        self._clock = SystemClock()
        self._gate = Gate()
        self._holder = ViewHolder()
        self._supervisor = Supervisor(self._clock)
        self._slots = Slots(random.Random())
        self._metrics = self._make_metrics()
        self._make_state()
        self._make_fleet()
        self._callers = self._make_callers()
        self._operators = self._make_operators()
        self._supervise()

    def _make_state(self) -> None:
        cfg = self._cfg
        self._platform = PlatformClient(cfg.platform, cfg.platform_timeout_s)
        table = HttpTable(self._platform)
        self._store = ConfigStore(table, self._clock, GUARDS)
        self._follower = Follower(self._store, self._holder)
        self._heartbeat = Heartbeat(
            SessionStore(table),
            self._clock,
            Session(cfg.id, 0, cfg.zone, cfg.callers, cfg.operators, cfg.peers, 0, 0.0),
            cfg.lease_s,
            lambda: self._holder.current.revision,
            self._leaving,
        )

    def _make_fleet(self) -> None:
        cfg, table, clock = self._cfg, HttpTable(self._platform), self._clock
        view = lambda: self._holder.current  # noqa: E731
        self._endpoints = HttpEndpointClient(ENDPOINT_CONNECTIONS, cfg.connect_timeout_s)
        self._roster = Roster(HttpMembership(self._platform), clock, lambda: view().hosts)
        self._usage = HostUsage(self._endpoints, view, lambda: False, self._roster.heard)
        self._leases = Leases(LeaseStore(table), clock, cfg.id, cfg.lease_s)
        witness = Witness(clock, cfg.lease_s, cfg.lease_margin_s)
        stores = Stores(self._store, SessionStore(table), WaveStore(table))
        self._planner = Planner(view, self._demand, self._roster.failed, clock)
        self._controller = Controller(
            stores, self._holder, self._leases, witness, self._roster, clock, self._flooded
        )
        sources = Sources(self._holder, self._leases, self._controller, self._roster, self._flooded)
        self._desk = FleetDesk(stores, sources, clock, self._follower.tick)

    def _leaving(self) -> Mapping[str, int]:
        return self._usage.leaving()

    def _flooded(self, _pool: str) -> bool:
        return False

    def _demand(self) -> dict[str, float]:
        """Return each pool's slots in use, scaled from this daemon's share to the fleet."""
        view, daemons = self._holder.current, max(1, len(self._heartbeat.live))
        busy = self._slots.in_flight()
        return {
            pool: daemons * sum(busy.get(host, 0) for host in view.hosts_of(pool))
            for pool in view.pools
        }

    def _fleet_routes(self) -> dict[str, Route]:
        return {
            PATH_HOST: Route(self._desk.host, HostOrder),
            PATH_WAVE: Route(self._desk.wave, WaveOrder),
            PATH_POOLS: Route(self._desk.pools),
            PATH_WAVES: Route(self._desk.waves),
            PATH_PLAN: Route(lambda: self._planner.plan),
        }

    def _make_callers(self) -> Listener:
        cfg = self._cfg
        dispatcher = Dispatcher(lambda: self._holder.current, self._usage, self._slots, self._clock)
        app = CallerApp(
            GatedCarrier(self._gate, dispatcher),
            lambda: self._holder.current.services,
            self._metrics.request,
        )
        return Listener(app, cfg.callers, cfg.threads, cfg.max_body_bytes, "callers")

    def _make_operators(self) -> Listener:
        cfg = self._cfg
        control = Control(
            self._store, self._holder, self._follower, self._heartbeat, self._slots, self._ready
        )
        app = OperatorApp(control, self._metrics.render, cfg.tokens, self._fleet_routes())
        return Listener(app, cfg.operators, OPERATOR_THREADS, cfg.max_body_bytes, "operators")

    def _supervise(self) -> None:
        self._supervisor.add("follower", self._follower, self._cfg.poll_s)
        self._supervisor.add("heartbeat", self._heartbeat, self._cfg.heartbeat_s)
        self._supervisor.add("roster", self._roster, self._cfg.step_s)
        self._supervisor.add("controller", self._controller, self._cfg.step_s)
        self._supervisor.add("planner", self._planner, self._cfg.planner_s)

    def stop(self) -> None:
        """Ask the daemon to stop gracefully."""
        self._stop.set()

    def run(self) -> int:
        """Serve until asked to stop; return the exit code."""
        self._operators.start()
        self._supervisor.start()
        self._callers.start()
        event(logger, Event.STARTED, daemon=self._cfg.id, callers=self._cfg.callers)
        self._stop.wait()
        return self._drain()

    def _drain(self) -> int:
        event(logger, Event.STOPPING, in_flight=self._gate.in_flight)
        self._callers.announce_close()
        time.sleep(self._cfg.notice_s)
        idle = self._callers.close(self._cfg.grace_s)
        self._supervisor.stop()
        self._leases.close()
        self._heartbeat.close()
        self._operators.close(OPERATOR_GRACE_S)
        self._endpoints.close()
        self._platform.close()
        self._metrics.close()
        event(logger, Event.STOPPED, cut_off=self._gate.in_flight)
        return EXIT_OK if idle else EXIT_CUT_OFF

    def _ready(self) -> bool:
        return self._follower.caught_up and not self._stop.is_set()

    def _make_metrics(self) -> Metrics:
        metrics = Metrics()
        metrics.gauge(
            "gypsumplank.config.revision",
            "{revision}",
            "Configuration revision in force",
            lambda: [Observation(self._holder.current.revision)],
        )
        metrics.gauge(
            "gypsumplank.requests.in_flight",
            "{request}",
            "Requests in flight",
            lambda: [Observation(self._gate.in_flight)],
        )
        return metrics


def make_parser() -> argparse.ArgumentParser:
    """Return the parser of the daemon's arguments."""
    parser = argparse.ArgumentParser(prog="gypsumplankd", description=__doc__)
    parser.add_argument("--settings", type=Path, required=True, help="JSON file with comments")
    parser.add_argument("--check", action="store_true", help="only check the settings")
    return parser


def main(argv: list[str] | None = None) -> int:
    """Run the daemon; return its exit code."""
    args = make_parser().parse_args(argv)
    try:
        cfg = load_settings(args.settings)
    except SettingsError as exc:
        sys.stderr.writelines(f"gypsumplankd: {fault}\n" for fault in exc.faults)
        return EXIT_SETTINGS
    if args.check:
        return EXIT_OK
    set_up(cfg.log_format, cfg.log_level)
    daemon = Daemon(cfg)
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: daemon.stop())
    return daemon.run()


if __name__ == "__main__":
    sys.exit(main())
