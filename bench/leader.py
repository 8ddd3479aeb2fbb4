"""Measure the scheduler's leader: rounds and a take-over with a long queue, and starts by accounts.

The second case replays 600 starts and ends per second of 20 capped accounts on 180 workers.
"""

import logging
import os
import random
import sys
import time
from collections import defaultdict
from collections.abc import Callable, Iterator
from contextlib import closing
from dataclasses import replace
from functools import wraps
from typing import Any

from bench.load import quantile
from demo.cluster import ROOT
from gypsumplank.coordination.job.commit import JobCommitter
from gypsumplank.coordination.job.maintenance import MaintenancePlanner
from gypsumplank.coordination.job.scheduler import Scheduler
from gypsumplank.eventcount import EventCounter
from gypsumplank.log import configure_logging
from gypsumplank.logbuffer import BufferedHandler
from gypsumplank.metrics import Metrics
from gypsumplank.porcelain import format_table
from gypsumplank.protocol.account import Account
from gypsumplank.protocol.job import (
    JobDefinition,
    JobState,
    Resources,
    StepDefinition,
    StoredJob,
)
from gypsumplank.protocol.queue import ServicePolicy
from standins.cluster import MANIFEST, QUEUE, SERVICE, STANDBY, STEP_S, SimulatedCluster
from standins.simulator import SimulatedWorkers

SEED = 5
WAITING_JOBS = 1200
WORKER_COUNTS = (80, 180)
WORKER_ROOM = Resources(64_000, 131_072)
TASKS_PER_STEP = 8
CORES = (6, 13)
TASK_S = 4.0
ROUNDS = 200
# Rounds in which the workers fill up, which are not measured.
WARM_UP_ROUNDS = 40
CANCELS_PER_ROUND = 2
TARGET_ROUND_MS = 5.0
TARGET_FIRST_START_S = 0.5

ACCOUNTS = 20
# Accounts that submit HOT_FACTOR times as much as each of the others, and reach their caps.
HOT_ACCOUNTS = 2
HOT_FACTOR = 3
ACCOUNT_WORKERS = 180
ACCOUNT_ROOM = Resources(8000, 16_000)
ACCOUNT_CAP = Resources(80_000, 0)
ACCOUNT_WEIGHT = 8.0
ACCOUNT_TASK_S = 1.6
STARTS_PER_S = 600
# Rounds of STEP_S until the workers are filled, and those that are measured.
FILL_ROUNDS = 60
ACCOUNT_ROUNDS = 200
# Rounds from one poll of a worker to the next, for 600 polls per second.
ROUNDS_PER_POLL = 6


class LoadedLeader:
    """Run the leader of a simulated cluster whose workers are busy and whose queue is long."""

    def __init__(self, workers: int) -> None:
        self.rng = random.Random(SEED)
        self.cluster = SimulatedCluster(SEED, daemons=1, workers=0)
        for number in range(workers):
            self.cluster.simulated_workers.add(f"w{number:03d}", SERVICE, WORKER_ROOM)
        services = {**MANIFEST.services, STANDBY: ServicePolicy(STANDBY, standby=True)}
        self.cluster.manifest = replace(MANIFEST, services=services)
        self.submitted = 0
        self.round_ms: list[float] = []
        self.cluster.run(1.0)
        self.leader: Any = self.cluster.daemons[0].scheduler_leader
        self._run_round = self.leader._run_round
        self.leader._run_round = self._timed_round  # type: ignore[method-assign]

    def _timed_round(self, term: Any) -> None:
        started = time.thread_time()
        self._run_round(term)
        self.round_ms.append((time.thread_time() - started) * 1000)

    def submit(self) -> None:
        """Submit a job of two steps."""
        need = Resources(self.rng.randint(*CORES) * 1000, 4000)
        step = StepDefinition(TASKS_PER_STEP, need, int(TASK_S * 1000))
        spec = f"{TASK_S * self.rng.uniform(0.8, 1.2):.2f}"
        job = JobDefinition(spec, (step, replace(step, after=(0,))))
        job_id = f"{self.submitted:016x}"
        self.cluster.daemons[0].job_service.submit(QUEUE, job_id, job, 0.0)
        self.submitted += 1
        row = self.cluster.daemons[0].store.find_order(job_id)
        # The simulated cluster has no feed of new jobs.
        self.leader._intake.add_new_jobs(self.leader._term.scheduler.workload, [row])

    def waiting(self) -> list[str]:
        """Return the jobs of which nothing has been started."""
        jobs = self.leader._term.scheduler.workload.jobs.values()
        return [job.id for job in jobs if job.state is JobState.QUEUED]

    def step(self) -> None:
        """Keep the queue at its length, cancel some of its jobs, and run one round."""
        waiting = self.waiting()
        for job in self.rng.sample(waiting, min(CANCELS_PER_ROUND, len(waiting))):
            self.cluster.daemons[0].job_service.cancel(job)
        for _ in range(WAITING_JOBS - len(waiting)):
            self.submit()
        self.cluster.run(0.05)

    def take_over(self) -> float:
        """Return the processor time from a take-over to the first start, on a new worker."""
        daemon = self.cluster.daemons[0]
        daemon.restart()
        workers = self.cluster.simulated_workers
        workers.add("new", SERVICE, WORKER_ROOM)
        known = len(workers.history)
        used_s = 0.0
        while len(workers.history) == known:
            self.cluster.clock.advance(0.05)
            workers.advance(0.05)
            started = time.thread_time()
            daemon.scheduler_leader.run_once(0.0)
            used_s += time.thread_time() - started
            if daemon.scheduler_leader.is_leader:
                daemon.term_factory.dispatcher.poll_now()
        return used_s


def round_rows() -> Iterator[dict[str, Any]]:
    """Yield the processor time of a round for each number of workers."""
    for workers in WORKER_COUNTS:
        loaded = LoadedLeader(workers)
        for _ in range(WARM_UP_ROUNDS):
            loaded.step()
        loaded.round_ms.clear()
        for _ in range(ROUNDS):
            loaded.step()
        yield {
            "workers": workers,
            "waiting jobs": len(loaded.waiting()),
            "rounds": len(loaded.round_ms),
            "p50 ms": round(quantile(loaded.round_ms, 0.5), 2),
            "p95 ms": round(quantile(loaded.round_ms, 0.95), 2),
            "max ms": round(max(loaded.round_ms), 2),
            "first start s": round(loaded.take_over(), 3),
        }


class PartTimer:
    """Add up the processor time of methods, without that of other timed methods they call."""

    def __init__(self) -> None:
        self.ms: defaultdict[str, float] = defaultdict(float)
        self._inner_ms = [0.0]

    def wrap(self, owner: type, name: str, part: str) -> Callable[[], None]:
        """Time a method of a class; return what restores it."""
        original = getattr(owner, name)

        @wraps(original)
        def timed(*args: Any, **kwargs: Any) -> Any:
            self._inner_ms.append(0.0)
            started = time.thread_time()
            try:
                return original(*args, **kwargs)
            finally:
                took_ms = (time.thread_time() - started) * 1000
                self.ms[part] += took_ms - self._inner_ms.pop()
                self._inner_ms[-1] += took_ms

        setattr(owner, name, timed)
        return lambda: setattr(owner, name, original)


class AccountLeader:
    """Run the leader of a simulated cluster with capped accounts and many short tasks."""

    def __init__(self) -> None:
        self.rng = random.Random(SEED)
        self.cluster = SimulatedCluster(SEED, daemons=1, workers=0)
        for number in range(ACCOUNT_WORKERS):
            self.cluster.simulated_workers.add(f"w{number:03d}", SERVICE, ACCOUNT_ROOM)
        self.names = [f"account-{number:02d}" for number in range(ACCOUNTS)]
        accounts = tuple(
            Account(name, weight=ACCOUNT_WEIGHT, cap=ACCOUNT_CAP) for name in self.names
        )
        self.cluster.manifest = replace(MANIFEST, accounts=accounts)
        self.submitted = 0
        self.rounds = 0
        self.cluster.run(1.0)
        self.daemon = self.cluster.daemons[0]
        self.leader: Any = self.daemon.scheduler_leader
        dispatcher = self.daemon.term_factory.dispatcher
        self._poll, dispatcher.poll_now = dispatcher.poll_now, self._poll_some

    def _poll_some(self) -> None:
        due = self.daemon.term_factory.dispatcher.instances[self.rounds % ROUNDS_PER_POLL :]
        self._poll(*due[::ROUNDS_PER_POLL])

    def step(self) -> None:
        """Submit the jobs of one round, and run it."""
        factors = [HOT_FACTOR] * HOT_ACCOUNTS + [1] * (ACCOUNTS - HOT_ACCOUNTS)
        tasks = 0
        while tasks < STARTS_PER_S * STEP_S:
            need = Resources(1000, self.rng.choice((500, 1000, 2000)))
            order = StepDefinition(self.rng.randint(1, 4), need, int(ACCOUNT_TASK_S * 1000))
            spec = f"{ACCOUNT_TASK_S * self.rng.uniform(0.8, 1.2):.2f}"
            self._submit(JobDefinition(spec, (order,)), self.rng.choices(self.names, factors)[0])
            tasks += order.tasks
        self.rounds += 1
        self.cluster.run(STEP_S)

    def _submit(self, order: JobDefinition, account: str) -> None:
        job_id = f"{self.submitted:016x}"
        accepted_ms = int(self.cluster.clock.wall() * 1000)
        stored = StoredJob(job_id, QUEUE.name, QUEUE.service, accepted_ms, order, account)
        self.daemon.store.submit(stored, 0.0)
        self.submitted += 1
        row = self.daemon.store.find_order(job_id)
        self.leader._intake.add_new_jobs(self.leader._term.scheduler.workload, [row])


def account_row(loaded: AccountLeader, rounds: int) -> dict[str, Any]:
    """Return the leader's processor time by part, over some rounds, in ms per second."""
    timer, history = PartTimer(), loaded.cluster.simulated_workers.history
    parts = (
        (Scheduler, "plan", "plan"),
        (Scheduler, "handle_report", "reports"),
        (Scheduler, "dispatch", "dispatch"),
        (JobCommitter, "commit", "commit"),
        (MaintenancePlanner, "plan", "maintenance"),
        (SimulatedWorkers, "start", "workers"),
    )
    dispatcher = loaded.daemon.term_factory.dispatcher
    handle_report = dispatcher.on_report
    restore = [timer.wrap(*each) for each in parts]
    dispatcher.on_report = loaded.leader._term.scheduler.handle_report
    known = len(history)
    for _ in range(rounds):
        loaded.step()
    for each in restore:
        each()
    dispatcher.on_report = handle_report
    starts, seconds = len(history) - known, rounds * STEP_S
    names = ("plan", "reports", "dispatch", "commit", "maintenance")
    return {
        "starts per s": round(starts / seconds),
        **{f"{name} ms": round(timer.ms[name] / seconds, 1) for name in names},
        "us per start": round(sum(timer.ms[name] for name in names) * 1000 / starts),
    }


def account_rows() -> Iterator[dict[str, Any]]:
    """Yield the processor time with accounts, with log lines and counters as in a daemon."""
    root = logging.getLogger()
    with open(os.devnull, "w", encoding="utf-8") as stream, closing(Metrics()) as metrics:
        handler = BufferedHandler(stream)
        configure_logging("json", "info", handler=handler)
        root.addHandler(EventCounter(metrics))
        loaded = AccountLeader()
        for _ in range(FILL_ROUNDS):
            loaded.step()
        yield account_row(loaded, ACCOUNT_ROUNDS)
        root.handlers.clear()
        handler.close()


def main() -> None:
    """Print the report and write it to docs/measurements."""
    text = (
        "Processor time of the leader's thread for one round, and from a take-over to the first "
        f"start; seed {SEED}\n"
        f"{format_table(round_rows())}\n"
        f"target: under {TARGET_ROUND_MS} ms at p95 with {WORKER_COUNTS[0]} workers, first start "
        f"within {TARGET_FIRST_START_S} s\n\n"
        f"Processor time per second of the replay with {ACCOUNTS} capped accounts and "
        f"{ACCOUNT_WORKERS} workers, without the simulated workers\n"
        f"{format_table(account_rows())}\n"
    )
    sys.stdout.write(text)
    (ROOT / "docs" / "measurements" / "leader.txt").write_text(text, encoding="utf-8")


if __name__ == "__main__":
    main()
