"""Run jobs through real daemons on a simulated users' platform while injecting faults.

    python -m soak.jobs --seed 1 --phases 6
    python -m soak.jobs --failed              # all seeds that have ever failed

Exit 1 on a violated guarantee. A seed determines the faults; timing depends on the machine.
"""

import argparse
import random
import signal
import sys
import tempfile
import threading
import time
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from enum import StrEnum
from pathlib import Path
from typing import Any

import msgspec
from urllib3.exceptions import HTTPError

from demo.cluster import free_addresses
from demo.job import PREFIX, JobCluster, call
from gypsumplank.platform.app import decode_job
from gypsumplank.protocol.job import JobDefinition, Resources
from soak.calllog import Breach
from soak.proxy import Mode, Proxy
from standins.users_platform import MANIFEST, UsersPlatform, make_users_platform
from standins.violations import find_violations

DAEMONS = 3
WORKERS = 6
CALLERS = 3
HEARTBEAT_INTERVAL_S = 0.2
CALL_INTERVAL_S = 0.15
PAUSE_BETWEEN_PHASES_S = 1.0
# Limits the wait for accepted jobs to end once all faults are over. Covers a leader failover, the
# expiry of a lost worker's leases, and the work itself.
COMPLETION_TIMEOUT_S = 45.0
# No task of a job may start later than this after its cancellation was confirmed.
CANCEL_GRACE_S = 3.0
REFUSAL_STATUSES = (404, 429, 503)
# (seed, phase count) of runs that have ever failed; causes are in docs/measurements/soak.md.
FAILED_SEEDS = ((126, 4),)
ACCEPTED_STATUS = 200


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


def generate_phases(seed: int, phases: int) -> list[tuple[ScheduledFault, ...]]:
    """Return the phases of a seed, each with one to three concurrent faults."""
    rng = random.Random(seed)
    return [
        tuple(
            ScheduledFault(kind, rng.randrange(100), round(rng.uniform(0.5, 4.0), 2))
            for kind in rng.sample(list(JobFault), rng.randint(1, 3))
        )
        for _ in range(phases)
    ]


@dataclass
class SubmittedJob:
    """Record one submitted job and its response statuses; times are on the workers' clock."""

    order: JobDefinition
    statuses: list[int] = field(default_factory=list)
    cancel_requested: bool = False
    cancelled_at_s: float | None = None

    @property
    def accepted(self) -> bool:
        """Return whether any attempt to submit the job succeeded."""
        return ACCEPTED_STATUS in self.statuses


class JobFleet:
    """Run the simulated platform, the daemons, and a proxy between each daemon and the platform."""

    def __init__(self, cluster: JobCluster, seed: int) -> None:
        self._cluster = cluster
        (address,) = free_addresses(1, cluster.host)
        self._server, self.users = make_users_platform(address, seed)
        self._platform_address = address
        self._proxies: list[Proxy] = []
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._server.serve_forever, daemon=True),
            threading.Thread(target=self._write_heartbeats, daemon=True),
        ]

    def start(self) -> None:
        """Start all parts and wait until the daemons are ready."""
        self.users.put("op", "config", msgspec.json.encode(MANIFEST))
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


class JobCallers:
    """Submit and cancel jobs from several threads and record the responses."""

    def __init__(self, fleet: JobFleet, seed: int) -> None:
        self._fleet = fleet
        self._seed = seed
        self._stopped = threading.Event()
        self.jobs: dict[str, SubmittedJob] = {}
        self._threads = [
            threading.Thread(target=self._run, args=(number,)) for number in range(CALLERS)
        ]

    def start(self) -> None:
        """Start the caller threads."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop submitting and wait for the calls in progress."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def _run(self, number: int) -> None:
        rng = random.Random(self._seed * 100 + number)
        while not self._stopped.wait(CALL_INTERVAL_S):
            job = f"{rng.getrandbits(64):016x}"
            body = _random_job(rng)
            submitted = self.jobs[job] = SubmittedJob(decode_job(msgspec.json.encode(body)))
            for _ in range(4):
                status = self._call(rng, "POST", job, body)
                submitted.statuses.append(status)
                if status == ACCEPTED_STATUS:
                    break
            submitted.cancel_requested = submitted.accepted and rng.random() < 0.2
            if submitted.cancel_requested and self._call(rng, "DELETE", job) == ACCEPTED_STATUS:
                submitted.cancelled_at_s = self._fleet.users.simulated_workers.now

    def _call(self, rng: random.Random, method: str, job: str, body: Any = None) -> int:
        address = rng.choice(self._fleet.caller_addresses())
        try:
            return call(address, method, f"{PREFIX}{job}", body)[0]
        except (HTTPError, ValueError):
            return 0


def _random_job(rng: random.Random) -> dict[str, Any]:
    first = {"replicas": rng.randint(1, 3), "cpu": 500, "estimate-ms": 200}
    steps = [first, {"replicas": 1, "cpu": 500, "after": [0]}] if rng.random() < 0.5 else [first]
    return {"spec": str(round(rng.uniform(0.1, 0.8), 2)), "steps": steps}


def check_completion(fleet: JobFleet, jobs: dict[str, SubmittedJob]) -> Iterator[Breach]:
    """Yield accepted jobs that do not end in time, and jobs cancelled without a request."""
    deadline = time.monotonic() + COMPLETION_TIMEOUT_S
    unfinished = {job for job, submitted in jobs.items() if submitted.accepted}
    states: dict[str, object] = {}
    while unfinished and time.monotonic() < deadline:
        for job in sorted(unfinished):
            try:
                status, body = call(fleet.caller_addresses()[0], "GET", f"{PREFIX}{job}")
            except (HTTPError, ValueError):
                continue
            states[job] = body.get("state", status)
            if states[job] in ("completed", "cancelled"):
                unfinished.discard(job)
        time.sleep(CALL_INTERVAL_S)
    for job in sorted(unfinished):
        yield Breach("an accepted job ends", f"{job} is shown as {states.get(job)}")
    for job, submitted in jobs.items():
        if states.get(job) == "cancelled" and not submitted.cancel_requested:
            yield Breach("only a caller cancels", job)


def check_history(users: UsersPlatform, jobs: dict[str, SubmittedJob]) -> Iterator[Breach]:
    """Yield contradictions between the starts at workers and the responses to callers."""
    history = list(users.simulated_workers.history)
    for violation in find_violations(
        history, {job: submitted.order for job, submitted in jobs.items()}
    ):
        yield Breach("each task runs once at a time, in order", violation)
    for start in history:
        job = start.name.partition(".")[0]
        submitted = jobs[job]
        if submitted.statuses and all(status in REFUSAL_STATUSES for status in submitted.statuses):
            yield Breach("a refused job never runs", start.name)
        # A delayed start was ordered before the job was cancelled, so it is no breach.
        in_grace = (
            submitted.cancelled_at_s is None
            or start.started_at <= submitted.cancelled_at_s + CANCEL_GRACE_S
        )
        if not in_grace and not start.delayed:
            yield Breach("nothing of a cancelled job starts", start.name)


def run_seed(seed: int, phases: int, folder: Path) -> tuple[list[Breach], str]:
    """Run the phases of a seed; return the breaches and the summary that is printed."""
    with JobCluster(folder) as cluster:
        fleet = JobFleet(cluster, seed)
        fleet.start()
        callers = JobCallers(fleet, seed)
        callers.start()
        for faults in generate_phases(seed, phases):
            threads = [
                threading.Thread(target=fleet.inject_fault, args=(fault,))
                for fault in _limit_signals(faults)
            ]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
            time.sleep(PAUSE_BETWEEN_PHASES_S)
        callers.stop()
        found = [*check_completion(fleet, callers.jobs), *check_history(fleet.users, callers.jobs)]
        statuses = Counter(
            status for submitted in callers.jobs.values() for status in submitted.statuses
        )
        fleet.close()
    starts = len(fleet.users.simulated_workers.history)
    return found, f"seed {seed}: answers {dict(statuses)}, {starts} starts, {len(found)} breaches"


def _limit_signals(faults: tuple[ScheduledFault, ...]) -> list[ScheduledFault]:
    """Drop all but the first fault that signals a daemon, so that two never signal the same one."""
    signals = (JobFault.KILL, JobFault.STOP, JobFault.PAUSE)
    first = next((fault for fault in faults if fault.kind in signals), None)
    return [fault for fault in faults if fault.kind not in signals or fault is first]


def main() -> None:
    """Run one seed or several consecutive ones from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1, help="number of consecutive seeds to run")
    parser.add_argument("--phases", type=int, default=6)
    parser.add_argument("--failed", action="store_true", help="run all seeds that have ever failed")
    args = parser.parse_args()
    consecutive = [(seed, args.phases) for seed in range(args.seed, args.seed + args.seeds)]
    failed_seeds = 0
    for seed, phases in FAILED_SEEDS if args.failed else consecutive:
        with tempfile.TemporaryDirectory() as folder:
            found, text = run_seed(seed, phases, Path(folder))
        sys.stdout.write(f"{text}\n")
        sys.stdout.writelines(f"  BREACH {breach.guarantee}: {breach.detail}\n" for breach in found)
        sys.stdout.flush()
        failed_seeds += bool(found)
    sys.exit(bool(failed_seeds))


if __name__ == "__main__":
    main()
