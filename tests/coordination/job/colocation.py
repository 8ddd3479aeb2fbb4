"""Replay serving and best-effort tasks that disturb each other, without store or network."""

import math
import random
from collections import Counter

from gypsumplank.coordination.job.observation import ReceivedReport
from gypsumplank.coordination.job.scheduler import Scheduler
from gypsumplank.coordination.job.throttle import speed_changes
from gypsumplank.protocol.job import (
    JobDefinition,
    JobState,
    Resources,
    StepDefinition,
    StoredJob,
    TaskPhase,
)
from gypsumplank.protocol.worker import RunningTask, WorkerEntry, WorkerReport, WorkerState
from gypsumplank.state.clock import ManualClock
from gypsumplank.state.jobrow import LoadedJob
from tests.coordination.job.replay import MANIFEST, QUEUE, SERVICE

STEP_S = 0.25
ROOM = Resources(16_000, 16_000)
TARGET_MS = 100
BASE_MS = 55
NOISE = 0.08


class ColocationReplay:
    """Run a scheduler; `harm` maps a serving and a best-effort image to a slowdown."""

    def __init__(self, seed, workers, harm, *, is_learning=True, room=ROOM):
        self.rng, self.draw = random.Random(seed), random.Random(seed + 1)
        self.clock = ManualClock(1000.0)
        self.scheduler = Scheduler(self.clock, lambda: MANIFEST, 1, 6.0)
        self.harm, self.is_learning, self.room = harm, is_learning, room
        if not is_learning:
            self.scheduler.interference.costs = lambda _image, _now: {}
        self.workers = workers
        self.jobs, self.ends = 0, []
        self.starts, self.places = [], Counter()
        self.over_target = self.served = 0
        self.update_entries()
        for instance in self.scheduler.instances.values():
            instance.last_contact_at = self.clock.monotonic()

    def update_entries(self):
        clock_ms = int(self.clock.monotonic() * 1000)
        self.scheduler.fleet.apply_entries(
            [
                WorkerEntry(
                    f"w{number:02}",
                    SERVICE,
                    "127.0.0.1:1",
                    "z",
                    WorkerState.READY,
                    self.room,
                    ("a", f"r{number // 4}"),
                    born=1,
                    clock_ms=clock_ms,
                    seq=clock_ms,
                )
                for number in range(self.workers)
            ]
        )

    def submit(self, step):
        self.jobs += 1
        order = JobDefinition("", (step,))
        stored = StoredJob(f"{self.jobs:016x}", QUEUE.name, SERVICE, 0, order)
        loaded = LoadedJob(stored, JobState.QUEUED, 1, False, {})
        self.scheduler.workload.add(loaded, self.clock.monotonic())

    def serve(self, image, tasks, cpu=8000):
        self.submit(
            StepDefinition(
                tasks, Resources(cpu, 2000), lasting=True, image=image, tail_target_ms=TARGET_MS
            )
        )

    def fill(self, image, tasks, run_s, memory_mb=2000):
        need = Resources(1000, memory_mb)
        self.submit(StepDefinition(tasks, need, int(run_s * 1000), image=image, fills=True))

    def batch(self, image, tasks, cpu, run_s):
        self.submit(StepDefinition(tasks, Resources(cpu, 500), int(run_s * 1000), image=image))

    def tail_ms(self, instance, serving):
        speeds: Counter[str] = Counter()
        for task in instance.tasks.values():
            if task.step.order.fills:
                image = task.step.order.image
                speeds[image] = max(speeds[image], task.speed_limit_percent)
        slowdown = math.prod(
            self.harm.get((serving.step.order.image, image), 1.0) ** (speed / 100)
            for image, speed in speeds.items()
        )
        outlier = 1.6 if self.rng.random() < 0.01 else 1.0
        return int(BASE_MS * slowdown * math.exp(self.rng.gauss(0, NOISE)) * outlier)

    def step(self):
        now = self.clock.monotonic()
        self.update_entries()
        for instance in list(self.scheduler.instances.values()):
            self.report(instance, now)
        self.scheduler.plan()
        starts, self.scheduler.commands.unsent_starts = self.scheduler.commands.unsent_starts, []
        self.starts.append(len(starts))
        for start in starts:
            task = start.task
            task.sent_at, task.sent_to = now, start.instance.incarnation
            order = task.step.order
            self.places[start.instance.id, order.image] += 1
            if not order.lasting:
                self.ends.append((now + order.estimate_ms / 1000, task))
        for change in list(speed_changes(self.scheduler.instances.values(), now)):
            change.task.speed_limit_percent = change.percent
            change.task.speed_limit_set_at = now
        for job_id, job in list(self.scheduler.workload.jobs.items()):
            if job.state is JobState.COMPLETED:
                del self.scheduler.workload.jobs[job_id]
        self.clock.advance(STEP_S)

    def report(self, instance, now):
        for at, task in [end for end in self.ends if end[0] <= now]:
            self.ends.remove((at, task))
            self.scheduler.instances[task.worker].tasks.pop(task.name)
            task.finish(TaskPhase.DONE)
        running = []
        for task in instance.tasks.values():
            load, percent = 0, 100
            if not task.step.order.lasting:
                # Without progress, the run would be stopped as stalled and its worker avoided.
                percent = min(99, int(100_000 * (now - task.sent_at) / task.step.order.estimate_ms))
            if task.step.order.tail_target_ms:
                load = self.tail_ms(instance, task)
                self.served += 1
                self.over_target += load > TARGET_MS
            running.append(RunningTask(task.name, task.run, "", percent, load))
        report = WorkerReport(1, int(now * 1000), tuple(running), ())
        self.scheduler.handle_report(instance, ReceivedReport(report, now - 0.01, now))

    def run(self, seconds):
        for _ in range(int(seconds / STEP_S)):
            self.step()

    def run_with_arrivals(self, seconds, images, interval_s):
        """Submit a best-effort job at random times, on average each `interval_s`."""
        for _ in range(int(seconds / STEP_S)):
            if self.draw.random() < STEP_S / interval_s:
                image, run_s = self.draw.choice(images), self.draw.uniform(5, 20)
                self.fill(image, self.draw.randint(1, 3), run_s)
            self.step()
