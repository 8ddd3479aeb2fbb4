"""Replay a service's load against the scheduler's decisions, without store, workers or threads."""

import heapq
import math
import random
from dataclasses import dataclass

from gypsumplank.coordination.job.scheduler import Scheduler
from gypsumplank.protocol.job import (
    JobDefinition,
    JobState,
    Resources,
    StepDefinition,
    StoredJob,
    TaskPhase,
)
from gypsumplank.protocol.queue import Manifest, Queue, ServicePolicy
from gypsumplank.protocol.worker import WorkerEntry, WorkerState
from gypsumplank.state.clock import ManualClock
from gypsumplank.state.jobrow import LoadedJob

ROUND_S = 0.04
SERVICE = "proofing"
WORKER_ROOM = Resources(64_000, 131_072)
QUEUE = Queue("proofs", "h.example", "/p/", SERVICE, 0, 3, 1.6, 600)
MANIFEST = Manifest(1, (QUEUE,), {SERVICE: ServicePolicy(SERVICE)})


@dataclass(frozen=True)
class Turn:
    """Describe one turn of a queue: a burst of jobs between quiet times; durations in seconds."""

    jobs_per_s: float
    length_s: float
    task_s: float
    cpu: int
    memory_mb: int
    width: int
    second_step_share: float = 0.6


@dataclass
class Outcome:
    """Count the jobs of a replay by how they ended."""

    jobs: int = 0
    in_time: int = 0
    late: int = 0
    worthless: int = 0


def lognormal(rng, mean, spread, maximum):
    sigma = math.sqrt(math.log(1 + spread * spread))
    return min(maximum, mean * math.exp(rng.gauss(-sigma * sigma / 2, sigma)))


def offered_cores(turn):
    """Return the cores that a turn's jobs keep busy if none has to wait."""
    steps = 1 + turn.second_step_share
    return turn.jobs_per_s * steps * turn.width * turn.task_s * turn.cpu / 1000


class LoadReplay:
    """Run rounds of the scheduler at fixed intervals; every start succeeds at once."""

    def __init__(self, turn, seed, workers, manifest=MANIFEST):
        self.clock = ManualClock()
        self.rng = random.Random(seed)
        self.scheduler = Scheduler(self.clock, lambda: manifest, 1, 6.0)
        self.turn = turn
        self.workers = 0
        self.ends = []
        self.outcome = Outcome()
        self.add_workers(workers)
        self.arrivals = self.draw_arrivals()

    def add_workers(self, count):
        self.workers += count
        self.scheduler.fleet.apply_entries([self.entry(number) for number in range(self.workers)])
        for instance in self.scheduler.instances.values():
            instance.last_contact_at = self.clock.monotonic() + 1e-6

    def entry(self, number):
        rack = f"r{number // 8}"
        return WorkerEntry(
            f"w{number}", SERVICE, "127.0.0.1:1", "z", WorkerState.READY, WORKER_ROOM, ("a", rack)
        )

    def draw_arrivals(self):
        arrivals, at = [], 0.0
        while True:
            at += self.rng.expovariate(self.turn.jobs_per_s)
            if at > self.turn.length_s:
                return arrivals[::-1]
            arrivals.append((at, self.draw_job(len(arrivals))))

    def draw_job(self, number):
        turn, steps = self.turn, []
        for position in range(2 if self.rng.random() < turn.second_step_share else 1):
            task_ms = 1000 * lognormal(self.rng, turn.task_s, 0.5, 2.5 * turn.task_s)
            need = Resources(
                int(lognormal(self.rng, turn.cpu, 0.45, 3 * turn.cpu)),
                int(lognormal(self.rng, turn.memory_mb, 0.6, 3 * turn.memory_mb)),
            )
            tasks = max(1, int(lognormal(self.rng, turn.width, 0.6, 4 * turn.width)))
            steps.append(StepDefinition(tasks, need, int(task_ms), (0,) if position else ()))
        return StoredJob(f"{number:016x}", QUEUE.name, SERVICE, 0, JobDefinition("", tuple(steps)))

    def run(self, until_s):
        start = self.clock.monotonic()
        while self.clock.monotonic() < start + until_s:
            self.step()
            self.clock.advance(ROUND_S)

    def step(self):
        now = self.clock.monotonic()
        while self.arrivals and self.arrivals[-1][0] <= now:
            at, stored = self.arrivals.pop()
            self.outcome.jobs += 1
            self.scheduler.workload.add(LoadedJob(stored, JobState.QUEUED, 1, False, {}), at)
        while self.ends and self.ends[0][0] <= now:
            _, _, task = heapq.heappop(self.ends)
            self.scheduler.instances[task.worker].tasks.pop(task.name)
            task.finish(TaskPhase.DONE)
        self.scheduler.plan()
        for start in self.scheduler.commands.unsent_starts:
            task = start.task
            task.sent_at = now
            took_s = task.step.order.estimate_ms / 1000 * self.rng.uniform(0.8, 1.2)
            heapq.heappush(self.ends, (now + took_s, task.name, task))
        self.scheduler.commands.unsent_starts = []
        self.remove_ended(now)

    def remove_ended(self, now):
        jobs = self.scheduler.workload.jobs
        for job in [job for job in jobs.values() if job.state is JobState.COMPLETED]:
            objective_s = (QUEUE.stretch * job.longest_path_ms + QUEUE.objective_ms) / 1000
            took_s = now - job.arrived_at
            if took_s <= objective_s:
                self.outcome.in_time += 1
            elif took_s <= 3 * objective_s:
                self.outcome.late += 1
            else:
                self.outcome.worthless += 1
            del jobs[job.id]
