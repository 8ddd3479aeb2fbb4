"""Run the daemons on a simulated users' platform, and inject faults into both."""

import signal
import threading
import time
from dataclasses import dataclass, replace
from enum import StrEnum

import msgspec

from demo.cluster import free_addresses
from demo.job import JobCluster
from gypsumplank.protocol.job import Resources
from soak.accounts import ManifestStep, ManifestWriter
from soak.proxy import Mode, Proxy
from standins.users_platform import MANIFEST, make_users_platform

DAEMONS = 3
WORKERS = 6
HEARTBEAT_INTERVAL_S = 0.2


class JobFault(StrEnum):
    """List the kinds of fault; values shared with `Mode` select a proxy mode."""

    KILL = "kill"
    STOP = "stop"
    PAUSE = "pause"
    RESET = "reset"
    SILENT = "silent"
    ONE_WAY = "one-way"
    DELAY = "delay"
    OUTAGE = "outage"
    ANSWERS_LOST = "answers-lost"
    WORKER_LOST = "worker-lost"
    WORKER_CUT = "worker-cut"


@dataclass(frozen=True)
class ScheduledFault:
    """Represent one fault; `number` modulo the count of daemons or workers selects the target."""

    kind: JobFault
    number: int
    seconds: float


class JobFleet:
    """Run the simulated platform, the daemons, and a proxy between each daemon and the platform."""

    def __init__(self, cluster: JobCluster, seed: int) -> None:
        self._cluster = cluster
        (address,) = free_addresses(1, cluster.host)
        self._server, self.users = make_users_platform(address, seed)
        self._platform_address = address
        self._proxies: list[Proxy] = []
        self.manifests = ManifestWriter(self.users)
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._server.serve_forever, daemon=True),
            threading.Thread(target=self._write_heartbeats, daemon=True),
        ]

    def start(self, first: ManifestStep | None = None) -> None:
        """Start all parts and wait until the daemons are ready."""
        if first is None:
            self.users.put("op", "config", msgspec.json.encode(MANIFEST))
        else:
            self.manifests.write(first.keys, first.caps)
        for number in range(WORKERS):
            worker = self.users.simulated_workers.add(f"w{number}", "desk", Resources(8000, 8000))
            worker.entry = replace(worker.entry, address=self._platform_address)
        for thread in self._threads:
            thread.start()
        for number in range(DAEMONS):
            (address,) = free_addresses(1, self._cluster.host)
            proxy = Proxy(address, self._platform_address)
            proxy.start()
            self._proxies.append(proxy)
            self._cluster.platform = address
            self._cluster.start_entry(number)

    def close(self) -> None:
        """Stop the platform and the proxies, which run in this process."""
        self._stopped.set()
        for proxy in self._proxies:
            proxy.close()
        self._server.shutdown()

    def _write_heartbeats(self) -> None:
        while not self._stopped.wait(HEARTBEAT_INTERVAL_S):
            self.users.advance()
            self.users.write_heartbeats()

    def caller_addresses(self) -> list[str]:
        """Return the addresses at which the daemons accept callers."""
        return [self._cluster.callers_of[f"entry-{number}"] for number in range(DAEMONS)]

    def inject_fault(self, fault: ScheduledFault) -> None:
        """Inject a fault, wait for its duration and end it."""
        number = fault.number % DAEMONS
        name = f"entry-{number}"
        match fault.kind:
            case JobFault.KILL:
                self._cluster.kill(name)
                time.sleep(fault.seconds / 4)
                self._cluster.restart_entry(name)
            case JobFault.STOP:
                self._cluster.stop(name)
                self._cluster.restart_entry(name)
            case JobFault.PAUSE:
                self._cluster.signal(name, signal.SIGSTOP)
                time.sleep(fault.seconds)
                self._cluster.signal(name, signal.SIGCONT)
            case JobFault.OUTAGE:
                self._set_proxy_mode(Mode.RESET, self._proxies, fault.seconds)
            case JobFault.ANSWERS_LOST:
                self.users.simulated_workers.response_loss_share = 0.3
                time.sleep(fault.seconds)
                self.users.simulated_workers.response_loss_share = 0.0
            case JobFault.WORKER_LOST | JobFault.WORKER_CUT:
                self._inject_worker_fault(fault)
            case _:
                self._set_proxy_mode(Mode(fault.kind.value), [self._proxies[number]], fault.seconds)

    def apply_steps(self, steps: list[ManifestStep]) -> None:
        """Write manifests one after another, each in its outage."""
        for step in steps:
            proxies = [self._proxies[number] for number in step.daemons]
            for proxy in proxies:
                proxy.mode = step.mode
            time.sleep(step.before_s)
            self.manifests.write(step.keys, step.caps)
            self._set_proxy_mode(step.mode, proxies, step.after_s)

    @staticmethod
    def _set_proxy_mode(mode: Mode, proxies: list[Proxy], seconds: float) -> None:
        for proxy in proxies:
            proxy.mode = mode
        time.sleep(seconds)
        for proxy in proxies:
            proxy.mode = Mode.PASS

    def _inject_worker_fault(self, fault: ScheduledFault) -> None:
        users, name = self.users, f"w{fault.number % WORKERS}"
        if fault.kind is JobFault.WORKER_CUT:
            users.simulated_workers.workers[name].reachable = False
            time.sleep(fault.seconds)
            users.simulated_workers.workers[name].reachable = True
            return
        with users.lock:
            users.simulated_workers.crash(name)
        time.sleep(fault.seconds)
        with users.lock:
            users.simulated_workers.restart(name)
