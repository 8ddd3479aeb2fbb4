"""Run jobs through real daemons on a simulated users' platform while injecting faults.

    python -m soak.jobs --seed 1 --phases 6
    python -m soak.jobs --failed              # all seeds that have ever failed

Exit 1 on a violated guarantee. A seed determines the faults; timing depends on the machine.
Odd seeds from 5001 also have client accounts whose keys and caps change (soak/accounts.py), even
ones from 7001 a crowd of clients that don't behave (soak/crowds.py).
"""

import argparse
import random
import sys
import tempfile
import threading
import time
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec
from urllib3.exceptions import HTTPError

from demo.job import PREFIX, JobCluster, call
from gypsumplank.platform.app import decode_job
from gypsumplank.protocol.job import JobDefinition
from soak.accounts import (
    BOUNDS,
    CAP_AFTER_CPU,
    PERMANENT_KEY,
    STORE_RATES,
    KeyedCall,
    KeyedClient,
    KeyProbe,
    ManifestStep,
    check_caps,
    check_found,
    check_keys,
    choose_key,
    count_statuses,
    find_accounts,
    generate_steps,
    has_accounts,
)
from soak.calllog import Breach
from soak.crowds import LIMITS, crowd_beside, has_crowd
from soak.jobfleet import DAEMONS, JobFault, JobFleet, ScheduledFault
from standins.users_platform import UsersPlatform
from standins.violations import find_violations

CALLERS = 3
CALL_INTERVAL_S = 0.15
PAUSE_BETWEEN_PHASES_S = 1.0
# Limits the wait for accepted jobs to end once all faults are over. Covers a leader failover, the
# expiry of a lost worker's leases, and the work itself.
COMPLETION_TIMEOUT_S = 45.0
# No task of a job may start later than this after its cancellation was confirmed.
CANCEL_GRACE_S = 3.0
REFUSAL_STATUSES = (401, 404, 429, 503)
# (seed, phase count) of runs that have ever failed; causes are in docs/measurements/soak.md.
FAILED_SEEDS = ((126, 4),)
ACCEPTED_STATUS = 200


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


class KeyedCallers(JobCallers):
    """Submit jobs with keys that may be valid, over connections that stay open."""

    def __init__(self, fleet: JobFleet, seed: int) -> None:
        super().__init__(fleet, seed)
        self._keys: dict[str, tuple[str | None, bool]] = {}
        self._local = threading.local()
        self.clients: list[KeyedClient] = []

    def _call(self, rng: random.Random, method: str, job: str, body: Any = None) -> int:
        if not hasattr(self._local, "client"):
            self._local.client = KeyedClient()
            self.clients.append(self._local.client)
        if job not in self._keys:
            self._keys[job] = choose_key(rng)
        client: KeyedClient = self._local.client
        daemon = rng.randrange(DAEMONS)
        return client.call(
            self._fleet.caller_addresses(), daemon, method, job, *self._keys[job], body
        )


def _random_job(rng: random.Random) -> dict[str, Any]:
    first = {"replicas": rng.randint(1, 3), "cpu": 500, "estimate-ms": 200}
    steps = [first, {"replicas": 1, "cpu": 500, "after": [0]}] if rng.random() < 0.5 else [first]
    return {"spec": str(round(rng.uniform(0.1, 0.8), 2)), "steps": steps}


def check_completion(
    fleet: JobFleet, jobs: dict[str, SubmittedJob], key: str | None = None
) -> Iterator[Breach]:
    """Yield accepted jobs that do not end in time, and jobs cancelled without a request."""
    deadline = time.monotonic() + COMPLETION_TIMEOUT_S
    unfinished = {job for job, submitted in jobs.items() if submitted.accepted}
    states: dict[str, object] = {}
    while unfinished and time.monotonic() < deadline:
        for job in sorted(unfinished):
            try:
                status, body = call(fleet.caller_addresses()[0], "GET", f"{PREFIX}{job}", key=key)
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
    if has_accounts(seed):
        return run_seed_with_accounts(seed, phases, folder)
    with JobCluster(folder) as cluster:
        if has_crowd(seed):
            cluster.limits = LIMITS
        fleet = JobFleet(cluster, seed)
        fleet.start()
        callers = JobCallers(fleet, seed)
        with crowd_beside(seed, fleet.caller_addresses()):
            callers.start()
            for faults in generate_phases(seed, phases):
                _run_phase(fleet, faults)
            callers.stop()
        found = [*check_completion(fleet, callers.jobs), *check_history(fleet.users, callers.jobs)]
        fleet.close()
    return found, _summarize(seed, fleet, callers, found)


def run_seed_with_accounts(seed: int, phases: int, folder: Path) -> tuple[list[Breach], str]:
    """Run a seed whose manifests change keys and caps; return what `run_seed` returns."""
    (first,), *steps = generate_steps(seed, phases, DAEMONS)
    with JobCluster(folder, STORE_RATES) as cluster:
        cluster.bounds = BOUNDS
        fleet = JobFleet(cluster, seed)
        fleet.start(first)
        callers = KeyedCallers(fleet, seed)
        probe = KeyProbe(fleet.caller_addresses(), seed)
        probe.start()
        callers.start()
        for faults, phase_steps in zip(generate_phases(seed, phases), steps, strict=True):
            _run_phase(fleet, faults, phase_steps)
        callers.stop()
        probe.stop()
        written = fleet.manifests.written
        # What waits behind a low cap has to end in time.
        fleet.manifests.write(written[-1].keys, dict.fromkeys(first.caps, CAP_AFTER_CPU))
        found = [
            *check_completion(fleet, callers.jobs, PERMANENT_KEY),
            *check_history(fleet.users, callers.jobs),
            *_check_accounts(fleet, callers, probe),
        ]
        fleet.close()
    text = f"{len(written)} manifests, probes {count_statuses(probe.client.calls)}"
    return found, f"{_summarize(seed, fleet, callers, found)}, {text}"


def _check_accounts(fleet: JobFleet, callers: KeyedCallers, probe: KeyProbe) -> Iterator[Breach]:
    written = fleet.manifests.written
    calls: list[KeyedCall] = [call for client in callers.clients for call in client.calls]
    yield from check_keys([*calls, *probe.client.calls], written)
    yield from check_found(probe.client.calls)
    orders = {job: submitted.order for job, submitted in callers.jobs.items()}
    history = [
        start
        for start in fleet.users.simulated_workers.history
        if start.name.partition(".")[0] in orders
    ]
    yield from check_caps(
        history, orders, find_accounts(calls, written), fleet.manifests.cap_changes
    )


def _run_phase(
    fleet: JobFleet, faults: tuple[ScheduledFault, ...], steps: list[ManifestStep] | None = None
) -> None:
    threads = [
        threading.Thread(target=fleet.inject_fault, args=(fault,))
        for fault in _limit_signals(faults)
    ]
    threads.append(threading.Thread(target=fleet.apply_steps, args=(steps or [],)))
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    time.sleep(PAUSE_BETWEEN_PHASES_S)


def _summarize(seed: int, fleet: JobFleet, callers: JobCallers, found: list[Breach]) -> str:
    statuses = Counter(
        status for submitted in callers.jobs.values() for status in submitted.statuses
    )
    starts = len(fleet.users.simulated_workers.history)
    return f"seed {seed}: answers {dict(statuses)}, {starts} starts, {len(found)} breaches"


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
