"""Wire the daemon that serves jobs on the users' platform."""

import logging
import random
import signal
import threading
from collections.abc import Callable
from pathlib import Path

from gypsumplank.coordination.job.chief import LEASE, LEASE_LIFE_S, Chief
from gypsumplank.coordination.job.desk import JobDesk, log_refusal
from gypsumplank.coordination.job.machine import MachineDesk
from gypsumplank.coordination.job.manifest import ManifestWatch, is_fresh
from gypsumplank.coordination.job.neighbour import Neighbours
from gypsumplank.coordination.job.pool import Pools
from gypsumplank.coordination.job.term import Care, Ports
from gypsumplank.coordination.job.upkeep import Upkeep
from gypsumplank.coordination.lease import Leases
from gypsumplank.eventcount import EventCounter
from gypsumplank.log import Event, event
from gypsumplank.metrics import Metrics
from gypsumplank.platform.boot import Boot, load_boot
from gypsumplank.platform.client import Client
from gypsumplank.platform.directory import TABLE_OPERATOR, PlatformDirectory
from gypsumplank.platform.front import JobApp, MetricsApp, ReadyApp
from gypsumplank.platform.machine import HttpAdvisor, HttpMachines
from gypsumplank.platform.rows import RowTable
from gypsumplank.platform.worker import HttpWorkers
from gypsumplank.state.clock import SystemClock
from gypsumplank.state.job import JobStore
from gypsumplank.state.lease import LeaseStore
from gypsumplank.state.machine import MachineOrders
from gypsumplank.transport.listener import CONNECTION_LIMIT, ClosingDispatcher, Listener
from gypsumplank.transport.relay import RelayServer, RelayTable

# The part of the store that holds everything that is committed together.
PART = "fleet"
# The part that holds what stands alone; each part has a rate of its own.
PART_ASIDE = "aside"
# Time to answer of a store call, seconds; covers a store that is 60 times slower than usual.
STORE_TIMEOUT_S = 1.2
# Connections kept to the store.
STORE_CONNECTIONS = 24
# Time to answer of a call about machines, seconds.
MACHINES_TIMEOUT_S = 1.0
# Time to answer of the advice service, seconds; it takes time for each worker that is named.
ADVICE_TIMEOUT_S = 2.0
# Threads that serve callers; a call waits some milliseconds for the store.
CALLER_THREADS = 16
MAX_BODY_BYTES = 1 << 18
# Age of the last answer of the store up to which a daemon reports ready, seconds.
READY_AGE_S = 2.5
# Share of its life by which a lease is waited out longer; clocks differ by 2% at most.
LEASE_MARGIN = 0.1
# Share of the time to stop in which callers are still served, so that the balancer has noticed.
SERVE_SHARE = 0.5
# Life of tasks' leases where the platform allows more, seconds; a take-over fits in twice.
TASK_LEASE_S = 6.0
METRICS_PORT = 9464
# Share of the descriptors that callers' connections may take; files, workers, the store and other
# daemons have the rest.
CALLER_SHARE = 0.5
# Pause between looks at the settings file, seconds.
SETTINGS_S = 1.0

logger = logging.getLogger("gypsumplank.daemon")


class PlatformDaemon:
    """Hold the parts of one daemon on the platform."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._boot: Boot = load_boot(path)
        self._clock = SystemClock()
        self._metrics = Metrics()
        logging.getLogger().addHandler(EventCounter(self._metrics))
        self._wake = threading.Event()
        self._stop = False
        self._stopping = False
        self._make_state()
        self._make_chief()
        self._make_listeners()

    def _make_state(self) -> None:
        boot = self._boot
        store = Client(boot.store, STORE_TIMEOUT_S, STORE_CONNECTIONS)
        self._rows = RowTable(store, PART)
        self._aside = RowTable(store, PART_ASIDE)
        neighbours = Neighbours(
            self._aside, boot.daemon, boot.peers, self._clock, random.Random(), boot.speed
        )
        self._neighbours = neighbours
        self._relay = RelayServer(self._rows, boot.peers)
        self._detour = RelayTable(self._rows, neighbours.addresses)
        self._operator_rows = RowTable(store, "")
        self._directory = PlatformDirectory(self._operator_rows)
        self._watch = ManifestWatch(
            self._directory, self._operator_rows, TABLE_OPERATOR, self._clock
        )

    def _make_chief(self) -> None:
        boot = self._boot
        leases = Leases(
            LeaseStore(self._rows),
            self._clock,
            boot.daemon,
            LEASE_LIFE_S,
            LEASE_MARGIN,
            self._rows.clock_ms,
        )
        advisor = HttpAdvisor(Client(boot.advice, ADVICE_TIMEOUT_S, 1)) if boot.advice else None
        store = JobStore(self._rows)
        clock_ms = self._rows.clock_ms
        ports = Ports(store, self._rows, self._directory, HttpWorkers(), leases, advisor, clock_ms)
        machines = HttpMachines(Client(boot.machines, MACHINES_TIMEOUT_S, 1))
        desk = MachineDesk(
            machines,
            boot.daemon,
            lambda: self._boot.handover_s,
            lambda: leases.fence(LEASE) is not None,
            lambda work: self._chief.post(work),  # noqa: PLW0108
            MachineOrders(self._aside, clock_ms),
        )
        care = Care(desk, Upkeep(self._directory, desk), Pools(desk, JobStore(self._aside)))
        self._chief = Chief(
            ports,
            self._clock,
            lambda: self._watch.current,
            lambda: min(TASK_LEASE_S, self._boot.max_lease_s),
            care,
            heartbeat_s=boot.heartbeat_s,
            rivals=self._neighbours,
        )

    def _make_listeners(self) -> None:
        boot = self._boot
        desk = JobDesk(JobStore(self._detour), self._clock, lambda: self._watch.current)
        app = JobApp(desk, self._metrics.request, log_refusal)
        connections = int(boot.max_descriptors * CALLER_SHARE)
        self._callers = self._listener(app, boot.callers, CALLER_THREADS, "callers", connections)
        self._balancer = self._listener(ReadyApp(self._is_ready), boot.balancer, 1, "balancer")
        address = f"{boot.ip}:{METRICS_PORT}"
        self._scraper = self._listener(MetricsApp(self._metrics.render), address, 1, "metrics")

    @staticmethod
    def _listener(
        app: Callable[..., object],
        address: str,
        threads: int,
        name: str,
        connections: int = CONNECTION_LIMIT,
    ) -> Listener:
        dispatcher = ClosingDispatcher(threads)
        return Listener(app, address, dispatcher, MAX_BODY_BYTES, name, connections)  # type: ignore[arg-type]

    def _is_ready(self) -> bool:
        fresh = is_fresh(self._watch, self._clock, READY_AGE_S)
        return self._watch.current is not None and fresh and not self._stopping

    def run(self) -> int:
        """Serve until told to stop; return the exit status."""
        signal.signal(signal.SIGTERM, lambda *_: self._end())
        signal.signal(signal.SIGHUP, lambda *_: self._wake.set())
        for listener in (self._callers, self._balancer, self._scraper):
            listener.start()
        self._relay.start()
        self._neighbours.start()
        self._watch.start()
        self._chief.start()
        event(logger, Event.STARTED, daemon=self._boot.daemon, zone=self._boot.zone)
        while not self._stop:
            self._wake.wait(SETTINGS_S)
            self._wake.clear()
            self._read_settings()
        return self._shut_down()

    def _end(self) -> None:
        self._stop = True
        self._wake.set()

    def _read_settings(self) -> None:
        """Read the settings file again; a file that cannot be used changes nothing."""
        try:
            found = load_boot(self._path)
        except Exception as exc:  # noqa: BLE001
            event(logger, Event.RELOADED, logging.WARNING, detail=str(exc))
            return
        if found != self._boot:
            self._boot = found
            event(logger, Event.RELOADED, max_lease_s=found.max_lease_s)

    def _shut_down(self) -> int:
        event(logger, Event.STOPPING, daemon=self._boot.daemon)
        self._stopping = True
        self._chief.stop()
        threading.Event().wait(self._boot.grace_s * SERVE_SHARE)
        self._callers.announce_close()
        idle = self._callers.close(1.0)
        self._chief.close()
        for part in (self._watch, self._neighbours, self._detour, self._relay):
            part.close()
        event(logger, Event.STOPPED, cut_off=int(not idle))
        return 0
