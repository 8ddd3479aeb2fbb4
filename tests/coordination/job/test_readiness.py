"""Check what the scheduler keeps up to date against all jobs, over random histories.

The checks are those of scratch.py, which conftest.py adds to each round.
"""

import os
from dataclasses import replace

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from gypsumplank.coordination.job.crash import give_up_if_deadly, record_crash, record_loss
from gypsumplank.coordination.job.model import SETTLED_RUN_S
from gypsumplank.coordination.job.scheduler import Scheduler
from gypsumplank.protocol.job import (
    JobDefinition,
    JobState,
    Resources,
    Schedule,
    StepDefinition,
    StoredJob,
    TaskPhase,
)
from gypsumplank.protocol.queue import AdvicePolicy, Manifest, Queue, ServicePolicy
from gypsumplank.protocol.worker import WorkerEntry, WorkerState
from gypsumplank.state.clock import ManualClock
from gypsumplank.state.jobrow import LoadedJob

SERVICES = ("desk", "press")
ROOM = Resources(5000, 8000)
STEP = StepDefinition(3, Resources(2000, 100), 300)
STEPS = [
    (STEP,),
    (STEP, replace(STEP, tasks=2, after=(0,))),
    (replace(STEP, gang=True),),
    (replace(STEP, tasks=2, need=Resources(4500, 100), label="b"), replace(STEP, label="a")),
    (replace(STEP, tasks=2, lasting=True), replace(STEP, fills=True)),
    (replace(STEP, max_per_worker=1, estimate_ms=0),),
]
SCHEDULES = [Schedule(), Schedule(), Schedule(3, 100_500, 700), Schedule(2, 103_000, 5000)]


def make_queue(name, service, **fields):
    return Queue(name, "h.example", f"/{name}/", service, 0, 2, 1.5, 600, **fields)


QUEUES = (
    make_queue("proofs", "desk"),
    make_queue("plates", "press"),
    make_queue("advised", "desk", advice=AdvicePolicy(valid_ms=1000)),
)


class FakePermits:
    """Permit each step on the first worker only."""

    def get(self, step, workers, valid_s):
        return dict.fromkeys(workers[:1], step)


class HistoryMachine(RuleBasedStateMachine):
    """Let jobs go through all that can happen to them, with rounds in between."""

    def __init__(self):
        super().__init__()
        self.clock = ManualClock(100.0)
        self.manifest = Manifest(1, QUEUES, {name: ServicePolicy(name) for name in SERVICES})
        self.scheduler = Scheduler(self.clock, lambda: self.manifest, 1, 6.0)
        self.scheduler.commands.permits = FakePermits()
        self.workload = self.scheduler.workload
        entries = [
            WorkerEntry(
                f"w{number}",
                SERVICES[number % 2],
                "127.0.0.1:1",
                "z",
                WorkerState.READY,
                ROOM,
                ("a", "b")[: 1 + number // 2 % 2],
            )
            for number in range(4)
        ]
        self.scheduler.fleet.apply_entries(entries)
        for instance in self.scheduler.instances.values():
            instance.last_contact_at = self.clock.now + 1e6
        self.jobs = 0
        self.versions = 0

    def tasks(self, *phases):
        tasks = (task for job in self.workload.jobs.values() for task in job.tasks())
        return [task for task in tasks if task.phase in phases]

    def pick(self, index, *phases):
        tasks = self.tasks(*phases)
        return tasks[index % len(tasks)] if tasks else None

    def take_off(self, index):
        """Take an assigned task off its worker."""
        task = self.pick(index, TaskPhase.ASSIGNED)
        if task is not None:
            self.scheduler.instances[task.worker].tasks.pop(task.name, None)
        return task

    def plan(self):
        self.scheduler.plan()
        for start in self.scheduler.commands.unsent_starts:
            start.task.sent_at = self.clock.now
        self.scheduler.commands.unsent_starts = []

    @initialize(
        jobs=st.lists(st.tuples(st.sampled_from(STEPS), st.sampled_from(QUEUES)), min_size=3)
    )
    def submit_first(self, jobs):
        for steps, queue in jobs:
            self.submit(steps, queue, Schedule())

    @rule(
        steps=st.sampled_from(STEPS),
        queue=st.sampled_from(QUEUES),
        schedule=st.sampled_from(SCHEDULES),
    )
    def submit(self, steps, queue, schedule):
        order = JobDefinition("", steps, schedule)
        stored = StoredJob(f"{self.jobs:016x}", queue.name, queue.service, 0, order)
        self.jobs += 1
        loaded = LoadedJob(stored, JobState.QUEUED, 1, False, {})
        self.workload.add(loaded, self.clock.now)
        self.plan()

    @rule(
        index=st.integers(0, 99), phase=st.sampled_from([*[TaskPhase.DONE] * 5, TaskPhase.FAILED])
    )
    def finish(self, index, phase):
        if (task := self.take_off(index)) is not None:
            task.finish(phase)
            self.plan()

    @rule(index=st.integers(0, 99), failed=st.booleans())
    def requeue(self, index, failed):
        if (task := self.take_off(index)) is not None:
            task.failures += failed
            task.requeue(self.clock.now)
            self.plan()

    @rule(index=st.integers(0, 99), is_known=st.booleans(), has_settled=st.booleans())
    def crash(self, index, is_known, has_settled):
        task = self.pick(index, TaskPhase.ASSIGNED)
        if task is None:
            return
        task.last_reported_at = task.sent_at + 2 * SETTLED_RUN_S * has_settled
        if is_known:
            record_crash([task], self.clock.now)
        else:
            record_loss([task], task.worker)
        self.take_off(self.tasks(TaskPhase.ASSIGNED).index(task))
        task.requeue(self.clock.now)
        give_up_if_deadly(task)
        self.plan()

    @rule(index=st.integers(0, 30), is_unstorable=st.booleans())
    def give_up(self, index, is_unstorable):
        jobs = list(self.workload.jobs.values())[index:]
        if jobs and is_unstorable:
            self.workload.abandon(jobs[0], self.clock.now)
        elif jobs:
            self.workload.cancel(jobs[0].id)
        self.plan()

    @rule(dropped=st.sets(st.integers(0, len(QUEUES) - 1)), limit=st.sampled_from([2, 4, None]))
    def change_manifest(self, dropped, limit):
        kept = (queue for index, queue in enumerate(QUEUES) if index not in dropped)
        queues = tuple(replace(queue, max_attempts=limit) for queue in kept)
        self.manifest = Manifest(1, queues, self.manifest.services)
        self.plan()

    @rule(seconds=st.sampled_from([0.04, 0.3, 1.0, 4.0, 4.0]))
    def advance(self, seconds):
        self.clock.advance(seconds)
        self.plan()

    @rule(seconds=st.sampled_from([-2.0, -0.5, 0.5, 2.0]))
    def set_time_of_day(self, seconds):
        wall = self.clock.wall() + seconds
        self.clock.wall = lambda: wall
        self.plan()
        del self.clock.wall

    @precondition(lambda self: self.workload.jobs)
    @rule(held_back=st.sets(st.integers(0, 5)), is_stored=st.booleans())
    def store(self, held_back, is_stored):
        self.versions += 1
        self.workload.are_steps_stored()
        for update in self.workload.updates({f"{number:016x}" for number in held_back}):
            if is_stored:
                job = self.workload.jobs[update.job]
                self.workload.mark_stored(job, update, self.versions, self.clock.now)
        self.workload.are_steps_stored()
        self.plan()


TestHistories = HistoryMachine.TestCase
if os.environ.get("HYPOTHESIS_PROFILE") != "long":
    TestHistories.settings = settings(
        max_examples=150, stateful_step_count=40, derandomize=True, deadline=None
    )
