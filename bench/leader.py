"""Measure a round of the scheduler's leader, and its take-over, with a long queue of jobs."""

import random
import sys
import time
from collections.abc import Iterator
from dataclasses import replace
from typing import Any

from bench.load import quantile
from demo.cluster import ROOT
from gypsumplank.porcelain import format_table
from gypsumplank.protocol.job import JobDefinition, JobState, Resources, StepDefinition
from gypsumplank.protocol.queue import ServicePolicy
from standins.cluster import MANIFEST, QUEUE, SERVICE, STANDBY, SimulatedCluster

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


def main() -> None:
    """Print the report and write it to docs/measurements."""
    text = (
        "Processor time of the leader's thread for one round, and from a take-over to the first "
        f"start; seed {SEED}\n"
        f"{format_table(round_rows())}\n"
        f"target: under {TARGET_ROUND_MS} ms at p95 with {WORKER_COUNTS[0]} workers, first start "
        f"within {TARGET_FIRST_START_S} s\n"
    )
    sys.stdout.write(text)
    (ROOT / "docs" / "measurements" / "leader.txt").write_text(text, encoding="utf-8")


if __name__ == "__main__":
    main()
