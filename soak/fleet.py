"""Run the fleet that is tried, and cause and end faults in it."""

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
from soak.ledger import Breach, Ledger
from soak.plan import Fault, FaultKind
from standins.platform import Faults
from standins.workers import Run

DAEMONS = ("entry-0", "entry-1", "entry-2")
SERVICES = ("counter-desk", "harbour-desk")
HOSTS = 4
FLOOD_CALLERS = 30
SLOW_S = 0.3
LOST_SHARE = 0.5
RACERS = 3
WORKER_TIMES = 1_000_000
ENDLESS = 20.0
PLATFORM_FAULTS = {
    FaultKind.STORE_DOWN: Faults(outage=True),
    FaultKind.STORE_SLOW: Faults(delay_s=SLOW_S),
    FaultKind.ANSWERS_LOST: Faults(lose_answers=LOST_SHARE),
    FaultKind.MEMBERS_STALE: Faults(freeze_members=True),
}
WORKER_FAULTS = {
    FaultKind.WORKER_FAILS: "fail",
    FaultKind.WORKER_RESETS: "reset-after",
    FaultKind.WORKER_CROSSES: "crossed",
    FaultKind.WORKER_TRUNCATES: "truncate",
}


class Fleet:
    """Hold a cluster, its workers' addresses and what was seen of its daemons."""

    def __init__(self, cluster: Cluster, seed: int, ledger: Ledger) -> None:
        self.cluster = cluster
        self.ledger = ledger
        self.breaches: list[Breach] = []
        self.seen: list[tuple[str, int]] = []
        self._seed = seed
        self._boots = dict.fromkeys(DAEMONS, 0)
        self._lock = threading.Lock()
        self._active: dict[FaultKind, Faults] = {}
        self.workers = {service: free_addresses(HOSTS, cluster.host) for service in SERVICES}

    def start(self) -> None:
        """Start all processes and put the records in force everywhere."""
        cluster = self.cluster
        cluster.start_platform(self._seed)
        cluster.start_workers("workers", self.addresses)
        for name in DAEMONS:
            cluster.start_daemon(name, "kochi-a")
        paths = make_records(Path(cluster.folder), self.workers)
        server = porcelain.Server(cluster.operators(DAEMONS[0]))
        revision = porcelain.apply(server, paths).revision
        for name in DAEMONS:
            self.wait_revision(name, revision)

    @property
    def addresses(self) -> tuple[str, ...]:
        """Return the addresses of all workers."""
        return tuple(address for held in self.workers.values() for address in held)

    @property
    def callers_at(self) -> tuple[str, ...]:
        """Return the callers' addresses of all daemons."""
        return tuple(self.cluster.callers(name) for name in DAEMONS)

    def wait_revision(self, name: str, revision: int) -> None:
        """Wait until a daemon has a revision in force; a breach if it takes too long."""
        until = time.monotonic() + ENDLESS
        while time.monotonic() < until:
            if self.observe(name) >= revision:
                return
            time.sleep(0.05)
        self.breaches.append(Breach("in force within seconds", f"{name} is behind {revision}"))

    def observe(self, name: str) -> int:
        """Keep and return a daemon's revision; 0 where it does not answer."""
        boot = f"{name}#{self._boots[name]}"
        try:
            with self._lock:
                revision = porcelain.status(self._server(name)).revision
                self.seen.append((boot, revision))
        except GypsumplankError:
            return 0
        return revision

    def run_fault(self, fault: Fault) -> None:
        """Cause a fault, keep it up and end it."""
        match fault.kind:
            case FaultKind.DAEMON_KILLED | FaultKind.DAEMON_STOPPED | FaultKind.DAEMON_PAUSED:
                self._disturb_daemon(fault)
            case FaultKind.FLOOD | FaultKind.CANCELLATIONS:
                self._flood(fault)
            case FaultKind.OPERATORS_RACE:
                self._race(fault)
            case _ if fault.kind in PLATFORM_FAULTS:
                self._disturb_platform(fault)
            case _:
                self._disturb_worker(fault)

    def runs(self) -> list[Run]:
        """Return what ran at all workers."""
        pages = (urllib3.request("GET", f"http://{address}/_runs") for address in self.addresses)
        return [run for page in pages for run in msgspec.json.decode(page.data, type=list[Run])]

    def _server(self, name: str) -> porcelain.Server:
        return porcelain.Server(self.cluster.operators(name))

    def _disturb_daemon(self, fault: Fault) -> None:
        name = DAEMONS[fault.number % len(DAEMONS)]
        if fault.kind is FaultKind.DAEMON_PAUSED:
            self.cluster.signal(name, signal.SIGSTOP)
            time.sleep(fault.seconds)
            self.cluster.signal(name, signal.SIGCONT)
            return
        if fault.kind is FaultKind.DAEMON_STOPPED:
            code = self.cluster.stop(name, ENDLESS)
            if code:
                self.breaches.append(Breach("planned stop", f"{name} ended with {code}"))
        else:
            self.cluster.kill(name)
        time.sleep(fault.seconds)
        self._boots[name] += 1
        self.cluster.start_daemon_process(name)

    def _disturb_platform(self, fault: Fault) -> None:
        self._set_platform({**self._active, fault.kind: PLATFORM_FAULTS[fault.kind]})
        if fault.kind is FaultKind.MEMBERS_STALE:
            members = tuple(Member(f"host-{number}") for number in range(HOSTS))
            post(self.cluster.platform, "/members", [asdict(member) for member in members])
        time.sleep(fault.seconds)
        self._set_platform({k: v for k, v in self._active.items() if k is not fault.kind})

    def _set_platform(self, active: dict[FaultKind, Faults]) -> None:
        self._active = active
        held = tuple(active.values())
        merged = Faults(
            outage=any(one.outage for one in held),
            delay_s=max((one.delay_s for one in held), default=0.0),
            lose_answers=max((one.lose_answers for one in held), default=0.0),
            freeze_members=any(one.freeze_members for one in held),
        )
        post(self.cluster.platform, "/faults", asdict(merged))

    def _disturb_worker(self, fault: Fault) -> None:
        address = self.addresses[fault.number % len(self.addresses)]
        mode = {"mode": WORKER_FAULTS[fault.kind], "times": WORKER_TIMES}
        post(address, "/_fault", mode)
        time.sleep(fault.seconds)
        post(address, "/_fault", {})

    def _flood(self, fault: Fault) -> None:
        extra = Callers(self.callers_at, SERVICES[:1], self.ledger, self._seed)
        name = f"{fault.kind}-{fault.number}"
        if fault.kind is FaultKind.CANCELLATIONS:
            extra.impatient.set()
        extra.start(FLOOD_CALLERS, name, 0.0)
        time.sleep(fault.seconds)
        extra.stop()

    def _race(self, fault: Fault) -> None:
        until = time.monotonic() + fault.seconds

        def operate(number: int) -> None:
            server = self._server(DAEMONS[number % len(DAEMONS)])
            path = Path(self.cluster.folder) / f"{SERVICES[number % len(SERVICES)]}.json"
            while time.monotonic() < until:
                try:
                    porcelain.apply(server, [path])
                except GypsumplankError:
                    time.sleep(0.05)

        in_threads([threading.Thread(target=operate, args=(one,)) for one in range(RACERS)])


def in_threads(threads: Sequence[threading.Thread]) -> None:
    """Run threads to their end."""
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
