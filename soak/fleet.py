"""Run the fleet under test and inject faults into it."""

import signal
import threading
import time
from collections.abc import Sequence
from dataclasses import asdict
from pathlib import Path

import msgspec
import urllib3

from demo.__main__ import make_records
from demo.cluster import Cluster, free_addresses, post
from gypsumplank import porcelain
from gypsumplank.errors import GypsumplankError
from gypsumplank.state.membership import Member
from soak.callers import Callers
from soak.calllog import Breach, CallLog
from soak.schedule import Fault, FaultKind
from standins.platform import Faults
from standins.workers import ExecutedRequest

DAEMONS = ("entry-0", "entry-1", "entry-2")
SERVICES = ("counter-desk", "harbour-desk")
HOSTS_PER_SERVICE = 4
FLOOD_CALLERS = 30
STORE_DELAY_S = 0.3
LOST_RESPONSE_SHARE = 0.5
RACING_OPERATORS = 3
UNLIMITED_REQUESTS = 1_000_000
WAIT_TIMEOUT_S = 20.0
PLATFORM_FAULTS = {
    FaultKind.STORE_DOWN: Faults(outage=True),
    FaultKind.STORE_SLOW: Faults(delay_s=STORE_DELAY_S),
    FaultKind.ANSWERS_LOST: Faults(lose_answers=LOST_RESPONSE_SHARE),
    FaultKind.MEMBERS_STALE: Faults(freeze_members=True),
}
WORKER_FAULTS = {
    FaultKind.WORKER_FAILS: "fail",
    FaultKind.WORKER_RESETS: "reset-after",
    FaultKind.WORKER_CROSSES: "crossed",
    FaultKind.WORKER_TRUNCATES: "truncate",
}


class Fleet:
    """Control a cluster and record the revisions and breaches observed at its daemons.

    `observed_revisions` holds (daemon#boot, revision) pairs in order of time.
    """

    def __init__(self, cluster: Cluster, seed: int, call_log: CallLog) -> None:
        self.cluster = cluster
        self.call_log = call_log
        self.breaches: list[Breach] = []
        self.observed_revisions: list[tuple[str, int]] = []
        self._seed = seed
        self._boot_counts = dict.fromkeys(DAEMONS, 0)
        self._lock = threading.Lock()
        self._active_faults: dict[FaultKind, Faults] = {}
        self.workers = {
            service: free_addresses(HOSTS_PER_SERVICE, cluster.host) for service in SERVICES
        }

    def start(self) -> None:
        """Start all processes, apply the records and wait until they are in force everywhere."""
        cluster = self.cluster
        cluster.start_platform(self._seed)
        cluster.start_workers("workers", self.addresses)
        for name in DAEMONS:
            cluster.start_daemon(name, "kochi-a")
        paths = make_records(Path(cluster.folder), self.workers)
        server = porcelain.OperatorClient(cluster.operators(DAEMONS[0]))
        revision = porcelain.apply(server, paths).revision
        for name in DAEMONS:
            self.wait_revision(name, revision)

    @property
    def addresses(self) -> tuple[str, ...]:
        """Return the addresses of all workers."""
        return tuple(address for addresses in self.workers.values() for address in addresses)

    @property
    def caller_addresses(self) -> tuple[str, ...]:
        """Return the addresses at which the daemons accept callers."""
        return tuple(self.cluster.callers(name) for name in DAEMONS)

    def wait_revision(self, name: str, revision: int) -> None:
        """Wait until a revision is in force at a daemon; record a breach on timeout."""
        deadline = time.monotonic() + WAIT_TIMEOUT_S
        while time.monotonic() < deadline:
            if self.observe_revision(name) >= revision:
                return
            time.sleep(0.05)
        self.breaches.append(Breach("in force within seconds", f"{name} is behind {revision}"))

    def observe_revision(self, name: str) -> int:
        """Record and return the revision in force at a daemon; return 0 if it does not respond."""
        boot_id = f"{name}#{self._boot_counts[name]}"
        try:
            with self._lock:
                revision = porcelain.status(self._server(name)).revision
                self.observed_revisions.append((boot_id, revision))
        except GypsumplankError:
            return 0
        return revision

    def inject_fault(self, fault: Fault) -> None:
        """Inject a fault, wait for its duration and end it."""
        match fault.kind:
            case FaultKind.DAEMON_KILLED | FaultKind.DAEMON_STOPPED | FaultKind.DAEMON_PAUSED:
                self._inject_daemon_fault(fault)
            case FaultKind.FLOOD | FaultKind.CANCELLATIONS:
                self._add_callers(fault)
            case FaultKind.OPERATORS_RACE:
                self._race_operators(fault)
            case _ if fault.kind in PLATFORM_FAULTS:
                self._inject_platform_fault(fault)
            case _:
                self._inject_worker_fault(fault)

    def executed_requests(self) -> list[ExecutedRequest]:
        """Return the requests executed by all workers."""
        pages = (urllib3.request("GET", f"http://{address}/_runs") for address in self.addresses)
        return [
            request
            for page in pages
            for request in msgspec.json.decode(page.data, type=list[ExecutedRequest])
        ]

    def _server(self, name: str) -> porcelain.OperatorClient:
        return porcelain.OperatorClient(self.cluster.operators(name))

    def _inject_daemon_fault(self, fault: Fault) -> None:
        name = DAEMONS[fault.number % len(DAEMONS)]
        if fault.kind is FaultKind.DAEMON_PAUSED:
            self.cluster.signal(name, signal.SIGSTOP)
            time.sleep(fault.seconds)
            self.cluster.signal(name, signal.SIGCONT)
            return
        if fault.kind is FaultKind.DAEMON_STOPPED:
            code = self.cluster.stop(name, WAIT_TIMEOUT_S)
            if code:
                self.breaches.append(Breach("planned stop", f"{name} ended with {code}"))
        else:
            self.cluster.kill(name)
        time.sleep(fault.seconds)
        self._boot_counts[name] += 1
        self.cluster.start_daemon_process(name)

    def _inject_platform_fault(self, fault: Fault) -> None:
        self._set_platform_faults({**self._active_faults, fault.kind: PLATFORM_FAULTS[fault.kind]})
        if fault.kind is FaultKind.MEMBERS_STALE:
            members = tuple(Member(f"host-{number}") for number in range(HOSTS_PER_SERVICE))
            post(self.cluster.platform, "/members", [asdict(member) for member in members])
        time.sleep(fault.seconds)
        self._set_platform_faults(
            {k: v for k, v in self._active_faults.items() if k is not fault.kind}
        )

    def _set_platform_faults(self, active_faults: dict[FaultKind, Faults]) -> None:
        self._active_faults = active_faults
        faults = tuple(active_faults.values())
        merged = Faults(
            outage=any(fault.outage for fault in faults),
            delay_s=max((fault.delay_s for fault in faults), default=0.0),
            lose_answers=max((fault.lose_answers for fault in faults), default=0.0),
            freeze_members=any(fault.freeze_members for fault in faults),
        )
        post(self.cluster.platform, "/faults", asdict(merged))

    def _inject_worker_fault(self, fault: Fault) -> None:
        address = self.addresses[fault.number % len(self.addresses)]
        worker_fault = {"mode": WORKER_FAULTS[fault.kind], "times": UNLIMITED_REQUESTS}
        post(address, "/_fault", worker_fault)
        time.sleep(fault.seconds)
        post(address, "/_fault", {})

    def _add_callers(self, fault: Fault) -> None:
        callers = Callers(self.caller_addresses, SERVICES[:1], self.call_log, self._seed)
        name = f"{fault.kind}-{fault.number}"
        if fault.kind is FaultKind.CANCELLATIONS:
            callers.cancel_early.set()
        callers.start(FLOOD_CALLERS, name, 0.0)
        time.sleep(fault.seconds)
        callers.stop()

    def _race_operators(self, fault: Fault) -> None:
        deadline = time.monotonic() + fault.seconds

        def apply_repeatedly(number: int) -> None:
            server = self._server(DAEMONS[number % len(DAEMONS)])
            path = Path(self.cluster.folder) / f"{SERVICES[number % len(SERVICES)]}.json"
            while time.monotonic() < deadline:
                try:
                    porcelain.apply(server, [path])
                except GypsumplankError:
                    time.sleep(0.05)

        run_threads(
            [
                threading.Thread(target=apply_repeatedly, args=(number,))
                for number in range(RACING_OPERATORS)
            ]
        )


def run_threads(threads: Sequence[threading.Thread]) -> None:
    """Start all threads and wait for them to end."""
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
