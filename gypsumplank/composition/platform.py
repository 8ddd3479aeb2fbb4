"""Assemble and run the daemon that schedules jobs on the users' platform."""

import logging
import random
import signal
import threading
from collections.abc import Callable, Iterable
from pathlib import Path

from opentelemetry.metrics import Observation

from gypsumplank.composition.accountgauge import add_account_gauges
from gypsumplank.composition.intakemetrics import add_intake_metrics
from gypsumplank.coordination.job.accounts import AccountLimits, Accounts
from gypsumplank.coordination.job.backoff import PartitionBackoff
from gypsumplank.coordination.job.freshness import KeyPolicy
from gypsumplank.coordination.job.intakeclient import IntakeClient
from gypsumplank.coordination.job.intakeindex import IntakeIndex
from gypsumplank.coordination.job.intakestats import IntakeStats
from gypsumplank.coordination.job.intakewatch import IntakePorts
from gypsumplank.coordination.job.leader import LEASE_DURATION_S, SCHEDULER_LEASE, SchedulerLeader
from gypsumplank.coordination.job.machine import ORDER_SENDERS, MachineController
from gypsumplank.coordination.job.maintenance import MaintenancePlanner
from gypsumplank.coordination.job.manifest import ManifestWatch, has_recent_contact
from gypsumplank.coordination.job.pressurefeed import PressurePublisher, PressureWatch
from gypsumplank.coordination.job.registry import DaemonRegistry
from gypsumplank.coordination.job.scaling import PoolScaler
from gypsumplank.coordination.job.submission import JobService, log_error_response
from gypsumplank.coordination.job.term import MachineManager, PlatformPorts
from gypsumplank.coordination.job.timing import create_leader_timings
from gypsumplank.coordination.lease import LeaseManager
from gypsumplank.errors import (
    AccountLimitError,
    GypsumplankError,
    KeyRejectedError,
    KeyUnverifiedError,
)
from gypsumplank.eventcount import EventCounter
from gypsumplank.log import Event, event
from gypsumplank.metrics import Metrics
from gypsumplank.platform.app import JobApp, MetricsApp, ReadyApp
from gypsumplank.platform.client import Client
from gypsumplank.platform.directory import TABLE_OPERATOR, PlatformDirectory
from gypsumplank.platform.machine import HttpAdvisor, HttpMachines
from gypsumplank.platform.settings import PlatformSettings, load_platform_settings
from gypsumplank.platform.table import RowPartitions, RowTable
from gypsumplank.platform.worker import HttpWorkers
from gypsumplank.state.clock import SystemClock
from gypsumplank.state.intake import IntakeStore, is_activated
from gypsumplank.state.job import JobStore
from gypsumplank.state.lease import LeaseStore
from gypsumplank.state.machine import MachineOrderLog
from gypsumplank.transport.bodybudget import limits_of_memory
from gypsumplank.transport.listener import ClosingDispatcher, Listener
from gypsumplank.transport.partitionrelay import RelayPartitions
from gypsumplank.transport.relay import PeerTable, RelayServer, RelayTable
from gypsumplank.transport.requestledger import RequestLedger
from gypsumplank.transport.requestparser import HeadCheck
from gypsumplank.transport.socketbudget import SocketLimits, plan_sockets

# Store partition of all rows that are committed together.
FLEET_PARTITION = "fleet"
# Store partition of rows that are committed on their own; each partition has its own rate limit.
INDEPENDENT_PARTITION = "aside"
# Covers a store that is 60 times slower than usual.
STORE_TIMEOUT_S = 1.2
# Timeout while the store is fast; a lost response should cost less than a third of a lease.
MIN_STORE_TIMEOUT_S = 0.4
STORE_CONNECTIONS = 24
# Timeout of calls for submissions; several of 0.5 s each may be queued in a partition, and one that
# is given up is queued all the same.
INTAKE_TIMEOUT_S = 2.5
INTAKE_CONNECTIONS = 32
MACHINE_SERVICE_TIMEOUT_S = 1.0
# One for each sender of orders, one for the list of machines.
MACHINE_SERVICE_CONNECTIONS = ORDER_SENDERS + 1
# The placement advisor's response time grows with the number of workers in the request.
ADVICE_TIMEOUT_S = 2.0
# Each call blocks its thread for some milliseconds while it waits for the store.
CALLER_THREADS = 16
# With submissions in partitions, calls wait longer at a slow store: at 300 a second over 31 daemons
# and 2.5 s each, 24 calls wait at a daemon.
INTAKE_CALLER_THREADS = 32
MAX_BODY_BYTES = 1 << 18
# A daemon reports not ready once the store's last response is older than this.
MAX_READY_STORE_AGE_S = 2.5
# Share of its TTL that is added before a lease counts as expired; clock rates differ by 2% at most.
LEASE_MARGIN_SHARE = 0.1
# Share of the stop grace in which callers are still served while the readiness check fails, so that
# the load balancer can first stop sending requests.
STOP_SERVING_SHARE = 0.5
# Used where the platform allows longer leases. A scheduler failover fits into it twice: 2 s until
# the lease expires, 0.2 s margin (LEASE_MARGIN_SHARE) and up to 0.4 s until the next lease check.
MAX_TASK_LEASE_S = 6.0
METRICS_PORT = 9464
# Share of the file descriptors for callers' connections; the rest is for files, workers, the store
# and other daemons.
CALLER_DESCRIPTOR_SHARE = 0.5
# Listeners for the load balancer and for what reads the metrics.
SERVICE_LISTENERS = 2
# Share of the file descriptors for connections to workers that are kept while they are not in use.
WORKER_DESCRIPTOR_SHARE = 0.4
SETTINGS_POLL_S = 1.0
# Values of the label `reason` of rejected requests, by error code.
REJECTION_REASONS = {
    KeyRejectedError.code: "unknown-key",
    KeyUnverifiedError.code: "unverified-key",
    AccountLimitError.code: "account-limit",
}

logger = logging.getLogger("gypsumplank.daemon")


class PlatformDaemon:
    """Create, run and shut down the components of one daemon on the platform."""

    def __init__(self, settings_path: Path) -> None:
        self._settings_path = settings_path
        self._settings: PlatformSettings = load_platform_settings(settings_path)
        self._clock = SystemClock()
        self._metrics = Metrics()
        logging.getLogger().addHandler(EventCounter(self._metrics))
        self._count_rejected = self._metrics.counter(
            "gypsumplank.requests.rejected",
            "Requests that were rejected for their API key or for the load, by reason",
        )
        self._metrics.gauge(
            "gypsumplank.manifest.age",
            "s",
            "Time since the sending of the last call that confirmed the manifest in force",
            self._observe_manifest_age,
        )
        self._metrics.gauge(
            "gypsumplank.task.slowdown",
            "1",
            "Ratio by which the tail latency of tasks of an image is higher beside a neighbour's",
            self._observe_slowdowns,
        )
        self._intake_stats = IntakeStats()
        self._wake = threading.Event()
        self._stop_requested = False
        self._stopping = False
        self._make_stores()
        self._make_scheduler()
        self._make_listeners()

    def _make_stores(self) -> None:
        settings = self._settings
        self._has_intake = is_activated(
            settings.store_writes_per_s, settings.partition_writes_per_s
        )
        store_client = Client(
            settings.store_address, STORE_TIMEOUT_S, STORE_CONNECTIONS, MIN_STORE_TIMEOUT_S
        )
        self._fleet_rows = RowTable(store_client, FLEET_PARTITION)
        self._independent_rows = RowTable(store_client, INDEPENDENT_PARTITION)
        daemon_registry = DaemonRegistry(
            self._independent_rows,
            settings.daemon,
            settings.peer_address,
            self._clock,
            random.Random(),
            settings.cpu_cores,
            self._has_intake,
        )
        self._daemon_registry = daemon_registry
        intake_client = Client(
            settings.store_address, INTAKE_TIMEOUT_S, INTAKE_CONNECTIONS, MIN_STORE_TIMEOUT_S
        )
        self._partitions = RowPartitions(intake_client)
        self._relay_server = RelayServer(self._fleet_rows, settings.peer_address, self._partitions)
        self._peer_table = PeerTable(daemon_registry.addresses)
        self._relay_table = RelayTable(self._fleet_rows, self._peer_table)
        self._operator_rows = RowTable(store_client, "")
        self._directory = PlatformDirectory(self._operator_rows)
        self._manifest_watch = ManifestWatch(
            self._directory, self._operator_rows, TABLE_OPERATOR, self._clock, self._key_policy
        )

    def _make_scheduler(self) -> None:
        settings = self._settings
        store_clock = self._fleet_rows.clock_range
        leases = LeaseManager(
            LeaseStore(self._fleet_rows),
            self._clock,
            settings.daemon,
            LEASE_DURATION_S,
            LEASE_MARGIN_SHARE,
            store_clock,
        )
        limits = AccountLimits(
            self._manifest_watch.age_s, settings.config_apply_s, settings.quota_overage
        )
        accounts = Accounts(lambda: self._manifest_watch.current, limits)
        self._pressure_publisher = PressurePublisher(self._independent_rows, store_clock)
        self._pressure_watch = PressureWatch(
            self._independent_rows,
            self._independent_rows,
            store_clock,
            lambda: self._manifest_watch.current,
            random.Random(),
        )
        self._leader = SchedulerLeader(
            self._make_ports(leases),
            self._clock,
            lambda: self._manifest_watch.current,
            lambda: min(MAX_TASK_LEASE_S, self._settings.max_lease_s),
            self._make_machine_manager(leases),
            heartbeat_s=settings.heartbeat_s,
            candidates=self._daemon_registry,
            status_s=settings.status_s,
            timings=create_leader_timings(self._metrics),
            accounts=accounts,
            measure_load=self._pressure_publisher.measure,
        )
        add_account_gauges(
            self._metrics, lambda: accounts.statuses() if self._leader.is_leader else ()
        )

    def _make_ports(self, leases: LeaseManager) -> PlatformPorts:
        settings = self._settings
        advisor = (
            HttpAdvisor(Client(settings.advisor_address, ADVICE_TIMEOUT_S, 1))
            if settings.advisor_address
            else None
        )
        intake = IntakePorts(
            IntakeStore(self._partitions, settings.max_row_bytes),
            self._partitions,
            self._intake_stats,
        )
        return PlatformPorts(
            JobStore(self._fleet_rows, settings.max_row_bytes),
            self._fleet_rows,
            self._directory,
            HttpWorkers(self._clock, int(settings.max_descriptors * WORKER_DESCRIPTOR_SHARE)),
            leases,
            advisor,
            self._fleet_rows.clock_range,
            LeaseStore(self._peer_table),
            intake if self._has_intake else None,
        )

    def _make_machine_manager(self, leases: LeaseManager) -> MachineManager:
        settings = self._settings
        machine_client = HttpMachines(
            Client(
                settings.machine_api_address, MACHINE_SERVICE_TIMEOUT_S, MACHINE_SERVICE_CONNECTIONS
            )
        )
        controller = MachineController(
            machine_client,
            settings.daemon,
            lambda: self._settings.lease_handover_s,
            lambda: leases.fence(SCHEDULER_LEASE) is not None,
            lambda work: self._leader.post(work),  # noqa: PLW0108
            MachineOrderLog(self._independent_rows, self._fleet_rows.clock_range),
        )
        return MachineManager(
            controller,
            MaintenancePlanner(self._directory, controller),
            PoolScaler(controller, JobStore(self._independent_rows)),
        )

    def _make_listeners(self) -> None:
        settings = self._settings
        job_store = JobStore(self._relay_table, settings.max_row_bytes)
        job_service = JobService(
            job_store,
            self._clock,
            lambda: self._manifest_watch.in_force,
            self._key_policy,
            self._make_intake_client(job_store) if self._has_intake else None,
            self._pressure_watch,
        )
        app = JobApp(job_service, self._metrics.record_request, self._record_error)
        self._request_ledger = RequestLedger(limits_of_memory(settings.memory_bytes))
        self._request_ledger.add_metrics(self._metrics)
        plan = plan_sockets(
            self._request_ledger.limits.kernel_bytes,
            int(settings.max_descriptors * CALLER_DESCRIPTOR_SHARE),
            SERVICE_LISTENERS,
        )
        self._caller_listener = self._make_listener(
            app,
            settings.caller_address,
            INTAKE_CALLER_THREADS if self._has_intake else CALLER_THREADS,
            "callers",
            plan.callers,
            app.check_head,
        )
        self._balancer_listener = self._make_listener(
            ReadyApp(self._is_ready), settings.readiness_address, 1, "balancer", plan.service
        )
        metrics_address = f"{settings.ip}:{METRICS_PORT}"
        self._metrics_listener = self._make_listener(
            MetricsApp(self._metrics.render), metrics_address, 1, "metrics", plan.service
        )

    def _make_intake_client(self, job_store: JobStore) -> IntakeClient:
        relayed = RelayPartitions(self._partitions, self._fleet_rows, self._peer_table)
        store = IntakeStore(relayed, self._settings.max_row_bytes)
        backoff = PartitionBackoff(random.Random())
        add_intake_metrics(
            self._metrics,
            self._intake_stats,
            backoff,
            lambda: self._leader.is_leader,
            self._clock,
        )
        return IntakeClient(
            store,
            job_store,
            IntakeIndex(store, self._partitions),
            self._clock,
            backoff,
            self._daemon_registry.all_read_submissions,
            self._intake_stats,
        )

    def _make_listener(
        self,
        app: Callable[..., object],
        address: str,
        threads: int,
        name: str,
        sockets: SocketLimits,
        head_check: HeadCheck | None = None,
    ) -> Listener:
        dispatcher = ClosingDispatcher(threads)
        return Listener(
            app,  # type: ignore[arg-type]
            address,
            dispatcher,
            MAX_BODY_BYTES,
            name,
            sockets,
            self._request_ledger,
            head_check,
        )

    def _key_policy(self) -> KeyPolicy:
        settings = self._settings
        return KeyPolicy(settings.strict_revoke, settings.revoke_s, settings.config_apply_s)

    def _record_error(self, exc: GypsumplankError, method: str, target: str) -> None:
        log_error_response(exc, method, target)
        if reason := REJECTION_REASONS.get(exc.code):
            self._count_rejected(1, {"reason": reason})

    def _observe_manifest_age(self) -> Iterable[Observation]:
        age_s = self._manifest_watch.age_s()
        return [] if age_s is None else [Observation(age_s)]

    def _observe_slowdowns(self) -> Iterable[Observation]:
        scheduler = self._leader.scheduler
        return [
            Observation(each.ratio, {"image": each.image, "neighbour": each.neighbour})
            for each in (scheduler.interference.slowdowns if scheduler else ())
        ]

    def _is_ready(self) -> bool:
        store_fresh = has_recent_contact(self._manifest_watch, self._clock, MAX_READY_STORE_AGE_S)
        return self._manifest_watch.current is not None and store_fresh and not self._stopping

    def run(self) -> int:
        """Serve until SIGTERM, shut down and return the exit code."""
        signal.signal(signal.SIGTERM, lambda *_: self._request_stop())
        signal.signal(signal.SIGHUP, lambda *_: self._wake.set())
        for listener in (self._caller_listener, self._balancer_listener, self._metrics_listener):
            listener.start()
        self._relay_server.start()
        self._daemon_registry.start()
        self._manifest_watch.start()
        self._pressure_publisher.start()
        self._pressure_watch.start()
        self._leader.start()
        event(logger, Event.STARTED, daemon=self._settings.daemon, zone=self._settings.zone)
        while not self._stop_requested:
            self._wake.wait(SETTINGS_POLL_S)
            self._wake.clear()
            self._reload_settings()
        return self._shut_down()

    def _request_stop(self) -> None:
        self._stop_requested = True
        self._wake.set()

    def _reload_settings(self) -> None:
        """Reload the settings file; an invalid file leaves the current settings unchanged."""
        try:
            settings = load_platform_settings(self._settings_path)
        except Exception as exc:  # noqa: BLE001
            event(logger, Event.SETTINGS_RELOADED, logging.WARNING, detail=str(exc))
            return
        if settings != self._settings:
            self._settings = settings
            event(logger, Event.SETTINGS_RELOADED, max_lease_s=settings.max_lease_s)

    def _shut_down(self) -> int:
        event(logger, Event.STOPPING, daemon=self._settings.daemon)
        self._stopping = True
        self._leader.stop()
        threading.Event().wait(self._settings.grace_s * STOP_SERVING_SHARE)
        self._caller_listener.start_closing_connections()
        all_finished = self._caller_listener.close(1.0)
        self._leader.close()
        for component in (
            self._manifest_watch,
            self._pressure_publisher,
            self._pressure_watch,
            self._daemon_registry,
            self._peer_table,
            self._relay_server,
        ):
            component.close()
        event(logger, Event.STOPPED, cut_off=int(not all_finished))
        return 0
