"""Wire the parts of the daemon together and run it."""

import argparse
import logging
import random
import signal
import sys
import threading
import time
from collections.abc import Callable, Iterable, Mapping
from pathlib import Path
from typing import Any

from opentelemetry.metrics import Observation

from gypsumplank.coordination.admission import Admission, Limits
from gypsumplank.coordination.burn import WRITE_PERIOD_S, BurnCounter, BurnWriter
from gypsumplank.coordination.control import Control
from gypsumplank.coordination.dispatch import Dispatcher
from gypsumplank.coordination.ejection import Ejector, JudgedEndpoints
from gypsumplank.coordination.follower import Follower
from gypsumplank.coordination.gate import Gate
from gypsumplank.coordination.heartbeat import Heartbeat
from gypsumplank.coordination.leaving import LeavingHosts
from gypsumplank.coordination.overview import Overviewer
from gypsumplank.coordination.part import Parts
from gypsumplank.coordination.report import Acceptance, BurnReporter
from gypsumplank.coordination.rollout import Own, Rollout
from gypsumplank.coordination.share import DemandTable
from gypsumplank.coordination.slot import Slots
from gypsumplank.coordination.snapshot import Snapshots
from gypsumplank.coordination.supervisor import Supervisor, make_step
from gypsumplank.errors import SettingsError
from gypsumplank.log import Event, event, set_up
from gypsumplank.metrics import Instrument, Metrics
from gypsumplank.protocol.burn import Finish
from gypsumplank.protocol.envelope import Opener, Sealer
from gypsumplank.protocol.exchange import Reply, Request
from gypsumplank.protocol.operator import PATH_BURN
from gypsumplank.protocol.overview import PATH_OVERVIEW
from gypsumplank.settings import Settings, load_settings
from gypsumplank.state.burn import BurnStore
from gypsumplank.state.clock import SystemClock
from gypsumplank.state.config import ConfigStore
from gypsumplank.state.session import Session, SessionStore
from gypsumplank.state.validation import check_records
from gypsumplank.state.view import View, ViewHolder
from gypsumplank.transport.caller import CallerApp
from gypsumplank.transport.endpoint import HttpEndpointClient
from gypsumplank.transport.listener import ClosingDispatcher, Listener
from gypsumplank.transport.operator import OperatorApp
from gypsumplank.transport.peer import PynngPeers
from gypsumplank.transport.platform import HttpMembership, HttpTable, PlatformClient
from gypsumplank.transport.queue import QueueingDispatcher

EXIT_OK = 0
EXIT_SETTINGS = 2
EXIT_CUT_OFF = 3
OPERATOR_THREADS = 4
OPERATOR_GRACE_S = 2.0
ENDPOINT_CONNECTIONS = 64
MICROSECONDS = 1_000_000
MEMBERSHIP_POLL_S = 0.5
PARTS_PERIOD_S = 0.2
ADMISSION_PERIOD_S = 0.1

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
        self._metrics = self._make_metrics()
        self._make_state()
        self._peers = self._make_peers()
        self._make_distribution()
        self._make_load()
        self._make_burn()
        self._callers = self._make_callers()
        self._operators = self._make_operators()
        self._supervise()

    def _make_state(self) -> None:
        cfg = self._cfg
        self._platform = PlatformClient(cfg.platform, cfg.platform_timeout_s)
        table = HttpTable(self._platform)
        self._store = ConfigStore(table, self._clock, (check_records,))
        self._heartbeat = Heartbeat(
            SessionStore(table),
            self._clock,
            Session(cfg.id, 0, cfg.zone, cfg.callers, cfg.operators, cfg.peers, 0, 0.0),
            cfg.lease_s,
            lambda: self._holder.current.revision,
        )

    def _make_peers(self) -> PynngPeers:
        cfg = self._cfg
        count = self._metrics.count("gypsumplank.peer.drops", "Peer messages dropped, by reason")
        monotonic = self._clock.monotonic
        return PynngPeers(
            cfg.id,
            cfg.peers,
            Sealer(cfg.peer_key, int(self._clock.wall() * MICROSECONDS)),
            Opener(cfg.peer_key, cfg.id, monotonic),
            lambda reason: count(1, {"reason": reason}),
            monotonic,
        )

    def _make_distribution(self) -> None:
        def revision() -> int:
            return self._holder.current.revision

        own = Own(lambda: self._heartbeat.session, revision, lambda: self._follower.caught_up)
        self._rollout = Rollout(
            own,
            self._peers,
            self._clock,
            lambda: self._heartbeat.live,
            lambda: self._supervisor.hurry("follower"),
        )
        self._follower = Follower(
            self._store, self._holder, self._rollout.acknowledge, self._rollout.ahead
        )
        self._snapshots = Snapshots(
            self._peers,
            self._holder,
            self._follower,
            self._rollout,
            self._clock,
            lambda: self._heartbeat.session,
            lambda: self._heartbeat.live,
            self._cfg.lease_s,
            random.Random(),
        )

    def _join_peers(self) -> None:
        sessions = {session.id: session.peers for session in self._heartbeat.live}
        self._peers.connect({**self._snapshots.addresses, **sessions}, self._cfg.peer_seeds)
        self._rollout.tick()

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

    def _make_burn(self) -> None:
        """Wire the counts against objectives and the report on them."""
        writer = f"{self._cfg.id}.{int(self._clock.wall() * MICROSECONDS):x}"
        store = BurnStore(HttpTable(self._platform))
        self._burn = BurnCounter(writer, self._view, self._clock)
        self._burn_writer = BurnWriter(self._burn, store, self._clock)
        self._reporter = BurnReporter(
            self._burn, self._burn_writer, store, self._clock, self._view, self._acceptances
        )
        self._holder.listen(self._burn.advance)

    def _reports(self) -> dict[str, Callable[[], Any]]:
        overviewer = Overviewer(
            self._cfg.id, self._view, self._slots.in_flight, self._admission.waiting
        )
        return {PATH_BURN: self._reporter.report, PATH_OVERVIEW: overviewer.overview}

    def _acceptances(self, after: int) -> Iterable[Acceptance]:
        entries = self._store.entries(max(after, 0))
        return (Acceptance(entry.revision, entry.accepted_at) for entry in entries)

    def _finished(self, finish: Finish) -> None:
        self._metrics.request(finish.service, finish.outcome.value, finish.duration_s)
        self._burn.count(finish)

    def _make_callers(self) -> Listener:
        cfg = self._cfg
        self._endpoints = HttpEndpointClient(ENDPOINT_CONNECTIONS, cfg.connect_timeout_s)
        judged = JudgedEndpoints(self._endpoints, self._ejector, self._host_names)
        dispatcher = Dispatcher(self._view, judged, self._slots, self._clock)
        app = CallerApp(
            GatedCarrier(self._gate, dispatcher),
            lambda: self._holder.current.services,
            self._finished,
        )
        queue = QueueingDispatcher(cfg.threads, self._admission, lambda: self._view().services)
        return Listener(app, cfg.callers, queue, cfg.max_body_bytes, "callers")

    def _make_operators(self) -> Listener:
        cfg = self._cfg
        control = Control(
            self._store,
            self._holder,
            self._follower,
            self._heartbeat,
            self._slots,
            self._ready,
            self._rollout,
        )
        app = OperatorApp(control, self._metrics.render, cfg.tokens, self._reports())
        threads = ClosingDispatcher(OPERATOR_THREADS)
        return Listener(app, cfg.operators, threads, cfg.max_body_bytes, "operators")

    def _supervise(self) -> None:
        self._supervisor.add("follower", self._follower, self._cfg.poll_s)
        self._supervisor.add("heartbeat", self._heartbeat, self._cfg.heartbeat_s)
        self._supervisor.add("peers", make_step(self._join_peers), self._cfg.heartbeat_s)
        self._supervisor.add("snapshots", self._snapshots, self._cfg.heartbeat_s)
        self._supervisor.add("leaving", self._leaving, MEMBERSHIP_POLL_S)
        self._supervisor.add("parts", self._parts, PARTS_PERIOD_S)
        self._supervisor.add("burn", self._burn_writer, WRITE_PERIOD_S)
        self._supervisor.add("admission", self._admission, ADMISSION_PERIOD_S)

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
        self._burn_writer.tick()
        self._heartbeat.close()
        self._peers.close()
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
