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

from gypsumplank.composition.claim import ClaimParts
from gypsumplank.composition.distribution import DistributionParts, make_peers
from gypsumplank.composition.report import ReportParts
from gypsumplank.composition.task import TaskParts
from gypsumplank.coordination.admission import Admission, Limits
from gypsumplank.coordination.budget import check_assignments, check_budgets
from gypsumplank.coordination.burn import WRITE_PERIOD_S
from gypsumplank.coordination.control import Control
from gypsumplank.coordination.controller import Controller, Stores
from gypsumplank.coordination.desk import FleetDesk, Sources
from gypsumplank.coordination.dispatch import Dispatcher
from gypsumplank.coordination.ejection import Ejector, JudgedEndpoints
from gypsumplank.coordination.flood import is_flooded
from gypsumplank.coordination.gate import Gate, GatedCarrier
from gypsumplank.coordination.heartbeat import Heartbeat
from gypsumplank.coordination.isolation import Isolation
from gypsumplank.coordination.lease import Leases
from gypsumplank.coordination.leaving import LeavingHosts
from gypsumplank.coordination.overview import Overviewer
from gypsumplank.coordination.part import Parts
from gypsumplank.coordination.planner import Planner
from gypsumplank.coordination.roster import Roster
from gypsumplank.coordination.share import DemandTable
from gypsumplank.coordination.signals import Signals
from gypsumplank.coordination.slot import Slots
from gypsumplank.coordination.supervisor import Step, Supervisor, make_step
from gypsumplank.coordination.usage import HostUsage
from gypsumplank.coordination.witness import Witness
from gypsumplank.errors import SettingsError
from gypsumplank.gauges import Levels, add_gauges
from gypsumplank.log import Event, event, set_up
from gypsumplank.metrics import Instrument, Metrics
from gypsumplank.protocol.fleet import (
    PATH_HOST,
    PATH_PLAN,
    PATH_POOLS,
    PATH_WAVE,
    PATH_WAVES,
    HostOrder,
    WaveOrder,
)
from gypsumplank.protocol.operator import PATH_BURN
from gypsumplank.protocol.overview import PATH_OVERVIEW
from gypsumplank.protocol.spec import AssignmentState
from gypsumplank.settings import Settings, load_settings
from gypsumplank.state.client import TableClient
from gypsumplank.state.clock import SystemClock
from gypsumplank.state.config import ConfigStore
from gypsumplank.state.lease import LeaseStore
from gypsumplank.state.session import Session, SessionStore
from gypsumplank.state.validation import check_records
from gypsumplank.state.view import View, ViewHolder
from gypsumplank.state.wave import WaveStore
from gypsumplank.transport.caller import CallerApp
from gypsumplank.transport.endpoint import HttpEndpointClient
from gypsumplank.transport.listener import ClosingDispatcher, Listener
from gypsumplank.transport.operator import OperatorApp, Route
from gypsumplank.transport.platform import (
    HttpMembership,
    HttpObjectStore,
    HttpTable,
    PlatformClient,
)
from gypsumplank.transport.queue import QueueingDispatcher
from gypsumplank.transport.task import TaskApp

EXIT_OK = 0
EXIT_SETTINGS = 2
EXIT_CUT_OFF = 3
OPERATOR_THREADS = 4
OPERATOR_GRACE_S = 2.0
ENDPOINT_CONNECTIONS = 64
MEMBERSHIP_POLL_S = 0.5
PARTS_PERIOD_S = 0.1
ADMISSION_PERIOD_S = 0.1
CLAIMS_PERIOD_S = 0.5
EXPIRY_PERIOD_S = 1.0
TASKS_PERIOD_S = 0.25

GUARDS = (check_records, check_assignments, check_budgets)

logger = logging.getLogger("gypsumplank.daemon")


class Daemon:
    """Hold the parts of one daemon."""

    def __init__(self, cfg: Settings) -> None:
        self._cfg = cfg
        self._stop = threading.Event()
        self._clock = SystemClock()
        self._gate = Gate()
        self._holder = ViewHolder()
        self._supervisor = Supervisor(self._clock)
        self._metrics = Metrics()
        self._make_state()
        self._peers = make_peers(cfg, self._metrics, self._clock)
        self._distribution = DistributionParts(
            cfg,
            self._peers,
            self._store,
            self._holder,
            self._heartbeat,
            lambda: self._supervisor.hurry("follower"),
            self._clock,
        )
        self._make_gauges()
        self._make_load()
        self._make_fleet()
        self._reports = ReportParts(
            cfg.id, self._table, self._store, self._metrics, self._view, self._clock
        )
        self._holder.listen(self._reports.counter.advance)
        self._callers = self._make_callers()
        self._operators = self._make_operators()
        self._supervise()

    def _make_state(self) -> None:
        cfg = self._cfg
        self._platform = PlatformClient(cfg.platform, cfg.platform_timeout_s)
        self._table = TableClient(HttpTable(self._platform), self._clock, random.Random())
        self._store = ConfigStore(self._table, self._clock, GUARDS)
        self._heartbeat = Heartbeat(
            SessionStore(self._table),
            self._clock,
            Session(cfg.id, 0, cfg.zone, cfg.callers, cfg.operators, cfg.peers, 0, 0.0),
            cfg.lease_s,
            lambda: self._holder.current.revision,
            self._in_flight_at_leaving,
        )

    def _make_gauges(self) -> None:
        levels = Levels(
            revision=lambda: self._view().revision,
            newest=self._distribution.rollout.ahead,
            unreadable=lambda: len(self._view().unreadable),
            peers=lambda: len(self._peers.known),
            held=lambda: int(self._heartbeat.held),
            reachable=lambda: int(not self._table.open),
            in_flight=lambda: self._gate.in_flight,
        )
        add_gauges(self._metrics, levels)

    def _make_load(self) -> None:
        """Wire what decides when a request starts and at which host."""
        cfg = self._cfg
        self._leaving = LeavingHosts(HttpMembership(self._platform))
        self._ejector = Ejector(self._view, self._clock)
        self._demands = DemandTable(
            cfg.id,
            self._peers,
            self._clock,
            lambda: tuple(session.id for session in self._heartbeat.live),
            self._demand,
        )
        self._parts = Parts(
            cfg.id,
            self._view,
            self._demands,
            self._ejector,
            lambda: self._leaving.current,
            self._clock,
            cfg.daemons,
        )
        limits = Limits(cfg.threads, cfg.waiting)
        self._admission = Admission(self._view, self._parts, self._clock, limits)
        self._slots = Slots(random.Random(), cfg.zone, self._parts)
        self._metrics.gauge(
            "gypsumplank.requests.waiting",
            "{request}",
            "Requests that wait for a slot",
            lambda: [
                Observation(count, {"service": name})
                for name, count in self._admission.waiting().items()
            ],
        )

    def _demand(self) -> dict[str, int]:
        return self._admission.demand()

    def _view(self) -> View:
        return self._holder.current

    def _host_names(self) -> Mapping[str, str]:
        return self._view().host_names

    def _report_routes(self) -> dict[str, Route]:
        overviewer = Overviewer(
            self._cfg.id, self._view, self._slots.in_flight, self._admission.waiting
        )
        return {
            PATH_BURN: Route(self._reports.reporter.report),
            PATH_OVERVIEW: Route(overviewer.overview),
        }

    def _make_fleet(self) -> None:
        cfg, table, clock = self._cfg, self._table, self._clock
        self._endpoints = HttpEndpointClient(ENDPOINT_CONNECTIONS, cfg.connect_timeout_s)
        judged = JudgedEndpoints(self._endpoints, self._ejector, self._host_names)
        self._isolation = Isolation(self._heartbeat, self._distribution.rollout, clock, cfg.lease_s)
        self._roster = Roster(HttpMembership(self._platform), clock, lambda: self._view().hosts)
        self._usage = HostUsage(judged, self._view, self._isolation.cut_off, self._roster.heard)
        self._leases = Leases(LeaseStore(table), clock, cfg.id, cfg.lease_s)
        witness = Witness(clock, cfg.lease_s, cfg.lease_margin_s)
        stores = Stores(self._store, SessionStore(table), WaveStore(table))
        self._tasks = TaskParts(table, self._view, self._leases.fence, clock)
        signals = Signals(
            self._roster, self._suspects, self._flooded, self._tasks.controller.wait_at
        )
        self._controller = Controller(stores, self._holder, self._leases, witness, signals, clock)
        act = self._controller.begin_moves if cfg.planner_acts else None
        self._planner = Planner(self._view, self._fleet_demand, self._suspects, clock, act)
        sources = Sources(self._holder, self._leases, self._controller, signals)
        self._desk = FleetDesk(stores, sources, clock, self._distribution.follower.tick)
        self._holder.listen(self._hurry_drains)

    def _hurry_drains(self, view: View) -> None:
        """Tell the others at once that a drain is in force here, and take its next step."""
        if any(held.state is not AssignmentState.SERVING for held in view.assignments.values()):
            self._supervisor.hurry("heartbeat")
            self._supervisor.hurry("controller")

    def _in_flight_at_leaving(self) -> Mapping[str, int]:
        return self._usage.leaving()

    def _suspects(self) -> frozenset[str]:
        return self._roster.failed() | self._ejector.ejected() | self._leaving.current

    def _flooded(self, pool: str) -> bool:
        return is_flooded(self._view(), pool, self._fleet_demand())

    def _fleet_demand(self) -> dict[str, int]:
        return self._demands.totals()

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
        objects = HttpObjectStore(self._platform)
        self._claims = ClaimParts(cfg, self._table, objects, self._clock, self._heartbeat)
        self._claims.add_gauges(self._metrics)
        dispatcher = Dispatcher(
            self._view, self._usage, self._slots, self._clock, keyed=self._claims.claims
        )
        app = CallerApp(
            GatedCarrier(self._gate, dispatcher),
            lambda: self._holder.current.services,
            self._reports.finished,
        )
        queue = QueueingDispatcher(cfg.threads, self._admission, lambda: self._view().services)
        tasks = TaskApp(self._tasks.submission, app)
        return Listener(tasks, cfg.callers, queue, cfg.max_body_bytes, "callers")

    def _make_operators(self) -> Listener:
        cfg = self._cfg
        control = Control(
            self._store,
            self._holder,
            self._distribution.follower,
            self._heartbeat,
            self._slots,
            self._ready,
            self._distribution.rollout,
        )
        routes = {**self._fleet_routes(), **self._report_routes()}
        app = OperatorApp(control, self._metrics.render, cfg.tokens, routes)
        threads = ClosingDispatcher(OPERATOR_THREADS)
        return Listener(app, cfg.operators, threads, cfg.max_body_bytes, "operators")

    def _supervise(self) -> None:
        cfg = self._cfg
        steps: tuple[tuple[str, Step, float], ...] = (
            ("follower", self._distribution.follower, cfg.poll_s),
            ("heartbeat", self._heartbeat, cfg.heartbeat_s),
            ("roster", self._roster, cfg.step_s),
            ("controller", self._controller, cfg.step_s),
            ("planner", self._planner, cfg.planner_s),
            ("peers", make_step(self._distribution.join), cfg.heartbeat_s),
            ("snapshots", self._distribution.snapshots, cfg.heartbeat_s),
            ("leaving", self._leaving, MEMBERSHIP_POLL_S),
            ("parts", self._parts, PARTS_PERIOD_S),
            ("burn", self._reports.writer, WRITE_PERIOD_S),
            ("admission", self._admission, ADMISSION_PERIOD_S),
            ("claims", self._claims.claims, CLAIMS_PERIOD_S),
            ("expiry", self._claims.expiry, EXPIRY_PERIOD_S),
            ("tasks", self._tasks.controller, TASKS_PERIOD_S),
        )
        for name, step, period_s in steps:
            self._supervisor.add(name, step, period_s)

    @property
    def instruments(self) -> tuple[Instrument, ...]:
        """Return the description of each instrument."""
        return tuple(self._metrics.catalogue)

    def stop(self) -> None:
        """Ask the daemon to stop gracefully."""
        self._stop.set()

    def run(self) -> int:
        """Serve until asked to stop; return the exit code."""
        self._operators.start()
        self._peers.start()
        self._claims.start()
        self._tasks.start()
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
        self._claims.close()
        self._tasks.close()
        self._leases.close()
        self._reports.writer.tick()
        self._heartbeat.close()
        self._peers.close()
        self._operators.close(OPERATOR_GRACE_S)
        self._endpoints.close()
        self._platform.close()
        self._metrics.close()
        event(logger, Event.STOPPED, cut_off=self._gate.in_flight)
        return EXIT_OK if idle else EXIT_CUT_OFF

    def _ready(self) -> bool:
        return self._distribution.follower.caught_up and not self._stop.is_set()


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
