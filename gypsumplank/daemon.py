"""Assemble the components of the gypsumplank daemon and run it."""

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

from gypsumplank.composition.claim import ClaimComponents
from gypsumplank.composition.distribution import DistributionComponents, make_peers
from gypsumplank.composition.report import ReportComponents
from gypsumplank.composition.requests import make_request_ledger, make_socket_plan
from gypsumplank.composition.task import TaskComponents
from gypsumplank.coordination.admission import Admission, AdmissionLimits
from gypsumplank.coordination.allocation import SlotAllocator
from gypsumplank.coordination.budget import check_assignments, check_budgets
from gypsumplank.coordination.burn import WRITE_INTERVAL_S
from gypsumplank.coordination.controller import Controller, Stores
from gypsumplank.coordination.daemontracker import DaemonTracker
from gypsumplank.coordination.dispatch import Dispatcher
from gypsumplank.coordination.ejection import Ejector, HealthTrackingClient
from gypsumplank.coordination.failure import HostFailureDetector
from gypsumplank.coordination.fleet import FleetService, ReportSources
from gypsumplank.coordination.flood import is_flooded
from gypsumplank.coordination.heartbeat import Heartbeat
from gypsumplank.coordination.inflight import InFlightCounter, InFlightCountingHandler
from gypsumplank.coordination.isolation import Isolation
from gypsumplank.coordination.lease import LeaseManager
from gypsumplank.coordination.leaving import LeavingHosts
from gypsumplank.coordination.operator import OperatorService
from gypsumplank.coordination.overview import OverviewBuilder
from gypsumplank.coordination.planner import Planner
from gypsumplank.coordination.share import DemandTable
from gypsumplank.coordination.signals import HostSignals
from gypsumplank.coordination.slot import SlotTracker
from gypsumplank.coordination.startup import has_started
from gypsumplank.coordination.supervisor import PeriodicAction, Supervisor, make_periodic_action
from gypsumplank.coordination.usage import ServingHostClient
from gypsumplank.errors import ListenError, SettingsError
from gypsumplank.gauges import GaugeReaders, add_gauges
from gypsumplank.log import Event, configure_logging, event
from gypsumplank.metrics import Instrument, Metrics
from gypsumplank.protocol.fleet import (
    PATH_HOST,
    PATH_PLAN,
    PATH_POOLS,
    PATH_WAVE,
    PATH_WAVES,
    HostRequest,
    WaveRequest,
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
from gypsumplank.state.view import CurrentView, View
from gypsumplank.state.wave import WaveStore
from gypsumplank.transport.admission import QueueingDispatcher
from gypsumplank.transport.caller import CallerApp
from gypsumplank.transport.endpoint import HttpEndpointClient
from gypsumplank.transport.listener import ClosingDispatcher, Listener
from gypsumplank.transport.operator import OperatorApp, Route
from gypsumplank.transport.store import (
    HttpMembership,
    HttpObjectStore,
    HttpTable,
    PlatformClient,
)
from gypsumplank.transport.task import TaskApp

EXIT_OK = 0
EXIT_SETTINGS = 2
EXIT_REQUESTS_CUT_OFF = 3
EXIT_LISTEN = 4
OPERATOR_THREADS = 4
OPERATOR_GRACE_S = 2.0
CONNECTIONS_PER_ENDPOINT = 64
MEMBERSHIP_POLL_S = 0.5
SLOT_SHARES_PERIOD_S = 0.1
ADMISSION_PERIOD_S = 0.1
CLAIMS_PERIOD_S = 0.5
CLAIM_EXPIRY_PERIOD_S = 1.0
TASKS_PERIOD_S = 0.25

CHANGE_GUARDS = (check_records, check_assignments, check_budgets)

logger = logging.getLogger("gypsumplank.daemon")


class Daemon:
    """Create, run and shut down the components of one daemon."""

    def __init__(self, cfg: Settings) -> None:
        self._cfg = cfg
        self._stop_requested = threading.Event()
        self._wake = threading.Event()
        self._reload_requested = False
        self._clock = SystemClock()
        self._in_flight_counter = InFlightCounter()
        self._current_view = CurrentView()
        self._supervisor = Supervisor(self._clock)
        self._metrics = Metrics()
        self._make_stores()
        self._peers = make_peers(cfg, self._metrics, self._clock)
        self._distribution = DistributionComponents(
            cfg,
            self._peers,
            self._store,
            self._current_view,
            self._heartbeat,
            lambda: self._supervisor.run_now("follower"),
            self._clock,
        )
        self._make_gauges()
        self._make_admission()
        self._make_fleet()
        self._reports = ReportComponents(
            cfg.id, self._table, self._store, self._metrics, self._view, self._clock
        )
        self._current_view.subscribe(self._reports.counter.record_view)
        self._request_ledger = make_request_ledger(cfg, self._metrics)
        self._socket_plan = make_socket_plan(self._request_ledger)
        self._caller_listener = self._make_caller_listener()
        self._operator_listener = self._make_operator_listener()
        self._add_periodic_steps()

    def _make_stores(self) -> None:
        cfg = self._cfg
        self._platform = PlatformClient(cfg.platform, cfg.platform_timeout_s)
        self._table = TableClient(HttpTable(self._platform), self._clock, random.Random())
        self._store = ConfigStore(self._table, self._clock, CHANGE_GUARDS)
        self._heartbeat = Heartbeat(
            SessionStore(self._table),
            self._clock,
            Session(cfg.id, 0, cfg.zone, cfg.callers, cfg.operators, cfg.peers, 0, 0.0),
            cfg.lease_s,
            lambda: self._current_view.view.revision,
            self._in_flight_on_leaving_hosts,
        )

    def _make_gauges(self) -> None:
        readers = GaugeReaders(
            revision=lambda: self._view().revision,
            newest=self._distribution.rollout.newest_revision,
            unreadable=lambda: len(self._view().unreadable),
            peers=lambda: len(self._peers.peer_names),
            held=lambda: int(self._heartbeat.lease_valid),
            reachable=lambda: int(not self._table.breaker_open),
            in_flight=lambda: self._in_flight_counter.in_flight,
        )
        add_gauges(self._metrics, readers)

    def _make_admission(self) -> None:
        """Create the components that decide when a request starts and on which host."""
        cfg = self._cfg
        self._leaving_hosts = LeavingHosts(HttpMembership(self._platform))
        self._ejector = Ejector(self._view, self._clock)
        self._demand_table = DemandTable(
            cfg.id,
            self._peers,
            self._clock,
            lambda: tuple(session.id for session in self._heartbeat.live),
            self._local_demand,
        )
        self._slot_allocator = SlotAllocator(
            cfg.id,
            self._view,
            self._demand_table,
            self._ejector,
            lambda: self._leaving_hosts.current,
            self._clock,
            cfg.daemons,
        )
        limits = AdmissionLimits(cfg.threads, cfg.waiting)
        self._admission = Admission(self._view, self._slot_allocator, self._clock, limits)
        self._slots = SlotTracker(random.Random(), cfg.zone, self._slot_allocator)
        self._metrics.gauge(
            "gypsumplank.requests.waiting",
            "{request}",
            "Requests that wait for a slot",
            lambda: [
                Observation(count, {"service": name})
                for name, count in self._admission.waiting().items()
            ],
        )

    def _local_demand(self) -> dict[str, int]:
        return self._admission.demand()

    def _view(self) -> View:
        return self._current_view.view

    def _host_names(self) -> Mapping[str, str]:
        return self._view().host_names

    def _report_routes(self) -> dict[str, Route]:
        overview_builder = OverviewBuilder(
            self._cfg.id, self._view, self._slots.in_flight, self._admission.waiting
        )
        return {
            PATH_BURN: Route(self._reports.reporter.report),
            PATH_OVERVIEW: Route(overview_builder.overview),
        }

    def _make_fleet(self) -> None:
        cfg, table, clock = self._cfg, self._table, self._clock
        self._endpoints = HttpEndpointClient(CONNECTIONS_PER_ENDPOINT, cfg.connect_timeout_s)
        health_tracking_client = HealthTrackingClient(
            self._endpoints, self._ejector, self._host_names
        )
        self._isolation = Isolation(self._heartbeat, self._distribution.rollout, clock, cfg.lease_s)
        self._failure_detector = HostFailureDetector(
            HttpMembership(self._platform), clock, lambda: self._view().hosts
        )
        self._serving_host_client = ServingHostClient(
            health_tracking_client,
            self._view,
            self._isolation.is_isolated,
            self._failure_detector.record_result,
        )
        self._leases = LeaseManager(LeaseStore(table), clock, cfg.id, cfg.lease_s)
        daemon_tracker = DaemonTracker(clock, cfg.lease_s, cfg.lease_margin_s)
        stores = Stores(self._store, SessionStore(table), WaveStore(table))
        self._tasks = TaskComponents(table, self._view, self._leases.fence, clock)
        signals = HostSignals(
            self._failure_detector,
            self._suspect_hosts,
            self._is_pool_flooded,
            self._tasks.controller.drain_wait_reason,
        )
        self._controller = Controller(
            stores, self._current_view, self._leases, daemon_tracker, signals, clock
        )
        start_moves = self._controller.start_planned_moves if cfg.planner_acts else None
        self._planner = Planner(
            self._view, self._fleet_demand, self._suspect_hosts, clock, start_moves
        )
        sources = ReportSources(self._current_view, self._leases, self._controller, signals)
        self._fleet_service = FleetService(stores, sources, clock, self._distribution.follower.tick)
        self._current_view.subscribe(self._expedite_drains)

    def _expedite_drains(self, view: View) -> None:
        """Report a drain in force to the other daemons and run its next step without delay."""
        if any(
            assignment.state is not AssignmentState.SERVING
            for assignment in view.assignments.values()
        ):
            self._supervisor.run_now("heartbeat")
            self._supervisor.run_now("controller")

    def _in_flight_on_leaving_hosts(self) -> Mapping[str, int]:
        return self._serving_host_client.in_flight_at_leaving_hosts()

    def _suspect_hosts(self) -> frozenset[str]:
        return (
            self._failure_detector.failed() | self._ejector.ejected() | self._leaving_hosts.current
        )

    def _is_pool_flooded(self, pool: str) -> bool:
        return is_flooded(self._view(), pool, self._fleet_demand())

    def _fleet_demand(self) -> dict[str, int]:
        return self._demand_table.total_demand()

    def _fleet_routes(self) -> dict[str, Route]:
        return {
            PATH_HOST: Route(self._fleet_service.host, HostRequest),
            PATH_WAVE: Route(self._fleet_service.wave, WaveRequest),
            PATH_POOLS: Route(self._fleet_service.pools),
            PATH_WAVES: Route(self._fleet_service.waves),
            PATH_PLAN: Route(lambda: self._planner.plan),
        }

    def _make_caller_listener(self) -> Listener:
        cfg = self._cfg
        objects = HttpObjectStore(self._platform)
        self._claims = ClaimComponents(cfg, self._table, objects, self._clock, self._heartbeat)
        self._claims.add_gauges(self._metrics)
        dispatcher = Dispatcher(
            self._view,
            self._serving_host_client,
            self._slots,
            self._clock,
            idempotency=self._claims.claims,
        )
        app = CallerApp(
            InFlightCountingHandler(self._in_flight_counter, dispatcher),
            lambda: self._current_view.view.services,
            self._reports.record_finish,
        )
        queue = QueueingDispatcher(cfg.threads, self._admission, lambda: self._view().services)
        tasks = TaskApp(self._tasks.submission, app)
        return Listener(
            tasks,
            cfg.callers,
            queue,
            cfg.max_body_bytes,
            "callers",
            self._socket_plan.callers,
            self._request_ledger,
        )

    def _make_operator_listener(self) -> Listener:
        cfg = self._cfg
        operator_service = OperatorService(
            self._store,
            self._current_view,
            self._distribution.follower,
            self._heartbeat,
            self._slots,
            self._ready,
            self._distribution.rollout,
        )
        routes = {**self._fleet_routes(), **self._report_routes()}
        app = OperatorApp(operator_service, self._metrics.render, cfg.tokens, routes)
        threads = ClosingDispatcher(OPERATOR_THREADS)
        return Listener(
            app,
            cfg.operators,
            threads,
            cfg.max_body_bytes,
            "operators",
            self._socket_plan.service,
            self._request_ledger,
        )

    def _add_periodic_steps(self) -> None:
        cfg = self._cfg
        steps: tuple[tuple[str, PeriodicAction, float], ...] = (
            ("follower", self._distribution.follower, cfg.poll_s),
            ("heartbeat", self._heartbeat, cfg.heartbeat_s),
            ("roster", self._failure_detector, cfg.step_s),
            ("controller", self._controller, cfg.step_s),
            ("planner", self._planner, cfg.planner_s),
            ("peers", make_periodic_action(self._distribution.connect_peers), cfg.heartbeat_s),
            ("snapshots", self._distribution.snapshots, cfg.heartbeat_s),
            ("leaving", self._leaving_hosts, MEMBERSHIP_POLL_S),
            ("parts", self._slot_allocator, SLOT_SHARES_PERIOD_S),
            ("burn", self._reports.writer, WRITE_INTERVAL_S),
            ("admission", self._admission, ADMISSION_PERIOD_S),
            ("claims", self._claims.claims, CLAIMS_PERIOD_S),
            ("expiry", self._claims.expiry, CLAIM_EXPIRY_PERIOD_S),
            ("tasks", self._tasks.controller, TASKS_PERIOD_S),
        )
        for name, step, period_s in steps:
            self._supervisor.add(name, step, period_s)

    @property
    def instruments(self) -> tuple[Instrument, ...]:
        """Return the descriptions of all metric instruments."""
        return tuple(self._metrics.catalogue)

    def stop(self) -> None:
        """Request a graceful stop."""
        self._stop_requested.set()
        self._wake.set()

    def reject_reload(self) -> None:
        """Request a log line which tells that the settings are read at the start only."""
        self._reload_requested = True
        self._wake.set()

    def run(self) -> int:
        """Serve until a stop is requested, shut down and return the exit code.

        Raise ListenError if the address for peers is taken.
        """
        try:
            self._peers.start()
        except ListenError:
            self._supervisor.stop()
            raise
        self._operator_listener.start()
        self._claims.start()
        self._tasks.start()
        self._supervisor.start()
        self._caller_listener.start()
        event(logger, Event.STARTED, daemon=self._cfg.id, callers=self._cfg.callers)
        self._wait_for_stop()
        return self._shut_down()

    def _wait_for_stop(self) -> None:
        # Signal handlers run in this thread, so they set flags, and what they ask for is done here.
        while not self._stop_requested.is_set():
            self._wake.wait()
            self._wake.clear()
            if self._reload_requested:
                self._reload_requested = False
                detail = "settings are read at the start only; restart the daemon"
                event(logger, Event.SETTINGS_RELOADED, logging.WARNING, detail=detail)

    def _shut_down(self) -> int:
        event(logger, Event.STOPPING, in_flight=self._in_flight_counter.in_flight)
        self._caller_listener.start_closing_connections()
        time.sleep(self._cfg.notice_s)
        all_finished = self._caller_listener.close(self._cfg.grace_s)
        self._supervisor.stop()
        self._claims.close()
        self._tasks.close()
        self._leases.close()
        self._reports.writer.tick()
        self._heartbeat.close()
        self._peers.close()
        self._operator_listener.close(OPERATOR_GRACE_S)
        self._endpoints.close()
        self._platform.close()
        self._metrics.close()
        event(logger, Event.STOPPED, cut_off=self._in_flight_counter.in_flight)
        return EXIT_OK if all_finished else EXIT_REQUESTS_CUT_OFF

    def _ready(self) -> bool:
        is_started = has_started(self._distribution.follower, self._heartbeat)
        return is_started and not self._stop_requested.is_set()


def make_parser() -> argparse.ArgumentParser:
    """Return the parser for the daemon's arguments."""
    parser = argparse.ArgumentParser(prog="gypsumplankd", description=__doc__)
    parser.add_argument("--settings", type=Path, required=True, help="JSON file with comments")
    parser.add_argument("--check", action="store_true", help="check the settings and exit")
    return parser


def main(argv: list[str] | None = None) -> int:
    """Run the daemon and return its exit code."""
    args = make_parser().parse_args(argv)
    try:
        cfg = load_settings(args.settings)
    except SettingsError as exc:
        sys.stderr.writelines(f"gypsumplankd: {fault}\n" for fault in exc.faults)
        return EXIT_SETTINGS
    if args.check:
        return EXIT_OK
    configure_logging(cfg.log_format, cfg.log_level)
    try:
        daemon = Daemon(cfg)
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda *_: daemon.stop())
        signal.signal(signal.SIGHUP, lambda *_: daemon.reject_reload())
        return daemon.run()
    except ListenError as exc:
        event(logger, Event.LISTEN_FAILED, logging.ERROR, code=exc.code, detail=exc.detail)
        return EXIT_LISTEN


if __name__ == "__main__":
    sys.exit(main())
