"""Wire the parts of the daemon together and run it."""

import argparse
import logging
import random
import signal
import sys
import threading
import time
from collections.abc import Iterable, Mapping
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from opentelemetry.metrics import Observation

from gypsumplank.coordination.admission import Admission, Limits
from gypsumplank.coordination.budget import check_assignments, check_budgets
from gypsumplank.coordination.burn import WRITE_PERIOD_S, BurnCounter, BurnWriter
from gypsumplank.coordination.claim import Claims
from gypsumplank.coordination.control import Control
from gypsumplank.coordination.controller import Controller, Stores
from gypsumplank.coordination.desk import FleetDesk, Sources
from gypsumplank.coordination.dispatch import Dispatcher
from gypsumplank.coordination.ejection import Ejector, JudgedEndpoints
from gypsumplank.coordination.expiry import Expiry
from gypsumplank.coordination.flood import is_flooded
from gypsumplank.coordination.follower import Follower
from gypsumplank.coordination.gate import Gate
from gypsumplank.coordination.heartbeat import Heartbeat
from gypsumplank.coordination.isolation import Isolation
from gypsumplank.coordination.lease import Leases
from gypsumplank.coordination.leaving import LeavingHosts
from gypsumplank.coordination.overview import Overviewer
from gypsumplank.coordination.part import Parts
from gypsumplank.coordination.planner import Planner
from gypsumplank.coordination.report import Acceptance, BurnReporter
from gypsumplank.coordination.rollout import Own, Rollout
from gypsumplank.coordination.roster import Roster
from gypsumplank.coordination.share import DemandTable
from gypsumplank.coordination.signals import Signals
from gypsumplank.coordination.slot import Slots
from gypsumplank.coordination.snapshot import Snapshots
from gypsumplank.coordination.submission import Submission
from gypsumplank.coordination.supervisor import Supervisor, make_step
from gypsumplank.coordination.task import TaskController
from gypsumplank.coordination.usage import HostUsage
from gypsumplank.coordination.witness import Witness
from gypsumplank.errors import SettingsError
from gypsumplank.gauges import Levels, add_gauges
from gypsumplank.log import Event, event, set_up
from gypsumplank.metrics import Instrument, Metrics
from gypsumplank.protocol.burn import Finish
from gypsumplank.protocol.envelope import Opener, Sealer
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
from gypsumplank.protocol.operator import PATH_BURN
from gypsumplank.protocol.overview import PATH_OVERVIEW
from gypsumplank.protocol.spec import AssignmentState
from gypsumplank.settings import Settings, load_settings
from gypsumplank.state.burn import BurnStore
from gypsumplank.state.claim import ClaimStore
from gypsumplank.state.client import TableClient
from gypsumplank.state.clock import SystemClock
from gypsumplank.state.config import ConfigStore
from gypsumplank.state.group import GroupCommit
from gypsumplank.state.lease import LeaseStore
from gypsumplank.state.session import Session, SessionStore
from gypsumplank.state.task import TaskStore
from gypsumplank.state.validation import check_records
from gypsumplank.state.view import View, ViewHolder
from gypsumplank.state.wave import WaveStore
from gypsumplank.state.writer import BatchWriter
from gypsumplank.transport.agent import HttpAgents
from gypsumplank.transport.caller import CallerApp
from gypsumplank.transport.endpoint import HttpEndpointClient
from gypsumplank.transport.listener import ClosingDispatcher, Listener
from gypsumplank.transport.operator import OperatorApp, Route
from gypsumplank.transport.peer import PynngPeers
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
MICROSECONDS = 1_000_000
MEMBERSHIP_POLL_S = 0.5
PARTS_PERIOD_S = 0.1
ADMISSION_PERIOD_S = 0.1
CLAIMS_PERIOD_S = 0.5
EXPIRY_PERIOD_S = 1.0
CLAIM_WRITES_PER_S = 150
TASKS_PERIOD_S = 0.25
AGENT_TIMEOUT_S = 1.0
AGENT_THREADS = 8
CLAIM_THREADS = 0.75

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
        self._metrics = Metrics()
        self._make_state()
        self._peers = self._make_peers()
        self._make_distribution()
        self._make_gauges()
        self._make_load()
        self._make_fleet()
        self._make_burn()
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

    def _make_gauges(self) -> None:
        levels = Levels(
            revision=lambda: self._view().revision,
            newest=self._rollout.ahead,
            unreadable=lambda: len(self._view().unreadable),
            peers=lambda: len(self._peers.known),
            held=lambda: int(self._heartbeat.held),
            reachable=lambda: int(not self._table.open),
            in_flight=lambda: self._gate.in_flight,
        )
        add_gauges(self._metrics, levels)

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
        store = BurnStore(self._table)
        self._burn = BurnCounter(writer, self._view, self._clock)
        self._burn_writer = BurnWriter(self._burn, store, self._clock)
        self._reporter = BurnReporter(
            self._burn, self._burn_writer, store, self._clock, self._view, self._acceptances
        )
        self._holder.listen(self._burn.advance)

    def _report_routes(self) -> dict[str, Route]:
        overviewer = Overviewer(
            self._cfg.id, self._view, self._slots.in_flight, self._admission.waiting
        )
        return {
            PATH_BURN: Route(self._reporter.report),
            PATH_OVERVIEW: Route(overviewer.overview),
        }

    def _acceptances(self, after: int) -> Iterable[Acceptance]:
        entries = self._store.entries(max(after, 0))
        return (Acceptance(entry.revision, entry.accepted_at) for entry in entries)

    def _finished(self, finish: Finish) -> None:
        self._metrics.request(finish.service, finish.outcome.value, finish.duration_s)
        self._burn.count(finish)

    def _make_fleet(self) -> None:
        cfg, table, clock = self._cfg, self._table, self._clock
        self._endpoints = HttpEndpointClient(ENDPOINT_CONNECTIONS, cfg.connect_timeout_s)
        judged = JudgedEndpoints(self._endpoints, self._ejector, self._host_names)
        self._isolation = Isolation(self._heartbeat, self._rollout, clock, cfg.lease_s)
        self._roster = Roster(HttpMembership(self._platform), clock, lambda: self._view().hosts)
        self._usage = HostUsage(judged, self._view, self._isolation.cut_off, self._roster.heard)
        self._leases = Leases(LeaseStore(table), clock, cfg.id, cfg.lease_s)
        witness = Witness(clock, cfg.lease_s, cfg.lease_margin_s)
        stores = Stores(self._store, SessionStore(table), WaveStore(table))
        self._make_tasks()
        signals = Signals(self._roster, self._suspects, self._flooded, self._tasks.wait_at)
        self._controller = Controller(stores, self._holder, self._leases, witness, signals, clock)
        act = self._controller.begin_moves if cfg.planner_acts else None
        self._planner = Planner(self._view, self._fleet_demand, self._suspects, clock, act)
        sources = Sources(self._holder, self._leases, self._controller, signals)
        self._desk = FleetDesk(stores, sources, clock, self._follower.tick)
        self._holder.listen(self._hurry_drains)

    def _hurry_drains(self, view: View) -> None:
        """Tell the others at once that a drain is in force here, and take its next step."""
        if any(held.state is not AssignmentState.SERVING for held in view.assignments.values()):
            self._supervisor.hurry("heartbeat")
            self._supervisor.hurry("controller")

    def _make_tasks(self) -> None:
        """Wire what takes in, places and follows tasks that run long."""
        self._group = GroupCommit(self._table)
        store = TaskStore(self._table, self._group)
        self._agents = HttpAgents(AGENT_TIMEOUT_S)
        self._executor = ThreadPoolExecutor(AGENT_THREADS, "agents")
        self._tasks = TaskController(
            self._view, store, self._agents, self._leases.fence, self._clock, self._executor
        )
        self._submission = Submission(self._view, store, self._clock)
        self._supervisor.add("tasks", self._tasks, TASKS_PERIOD_S)

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
        dispatcher = Dispatcher(
            self._view, self._usage, self._slots, self._clock, keyed=self._make_claims()
        )
        app = CallerApp(
            GatedCarrier(self._gate, dispatcher),
            lambda: self._holder.current.services,
            self._finished,
        )
        queue = QueueingDispatcher(cfg.threads, self._admission, lambda: self._view().services)
        tasks = TaskApp(self._submission, app)
        return Listener(tasks, cfg.callers, queue, cfg.max_body_bytes, "callers")

    def _make_claims(self) -> Claims:
        """Wire what runs each idempotency key's request at most once."""
        table = self._table
        store = ClaimStore(table, HttpObjectStore(self._platform))
        self._writer = BatchWriter(table, self._clock, self._claim_pace_s)
        waiting = max(1, int(self._cfg.threads * CLAIM_THREADS))
        claims = Claims(store, self._writer, self._clock, self._heartbeat, waiting)
        self._claims = claims
        expiry = Expiry(store, self._writer, self._clock, self._heartbeat, self._cfg.keep_claims_s)
        self._supervisor.add("claims", claims, CLAIMS_PERIOD_S)
        self._supervisor.add("expiry", expiry, EXPIRY_PERIOD_S)
        self._metrics.gauge(
            "gypsumplank.claims.unsettled",
            "{claim}",
            "Claims whose outcome waits for the platform",
            lambda: [Observation(claims.unsettled())],
        )
        return claims

    def _claim_pace_s(self) -> float:
        """Return the time between commits that keeps all daemons within the claims' writes."""
        return max(1, len(self._heartbeat.live)) / CLAIM_WRITES_PER_S

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
        routes = {**self._fleet_routes(), **self._report_routes()}
        app = OperatorApp(control, self._metrics.render, cfg.tokens, routes)
        threads = ClosingDispatcher(OPERATOR_THREADS)
        return Listener(app, cfg.operators, threads, cfg.max_body_bytes, "operators")

    def _supervise(self) -> None:
        self._supervisor.add("follower", self._follower, self._cfg.poll_s)
        self._supervisor.add("heartbeat", self._heartbeat, self._cfg.heartbeat_s)
        self._supervisor.add("roster", self._roster, self._cfg.step_s)
        self._supervisor.add("controller", self._controller, self._cfg.step_s)
        self._supervisor.add("planner", self._planner, self._cfg.planner_s)
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
        self._writer.start()
        self._group.start()
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
        self._claims.tick()
        self._writer.stop()
        self._group.close()
        self._executor.shutdown()
        self._leases.close()
        self._burn_writer.tick()
        self._heartbeat.close()
        self._peers.close()
        self._operators.close(OPERATOR_GRACE_S)
        self._endpoints.close()
        self._agents.close()
        self._platform.close()
        self._metrics.close()
        event(logger, Event.STOPPED, cut_off=self._gate.in_flight)
        return EXIT_OK if idle else EXIT_CUT_OFF

    def _ready(self) -> bool:
        return self._follower.caught_up and not self._stop.is_set()


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
