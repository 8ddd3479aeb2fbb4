"""Run a scheduler's rounds for client accounts, with workers that start at once what they get."""

import heapq
import itertools
from dataclasses import replace

from gypsumplank.coordination.job.accounts import AccountLimits, Accounts
from gypsumplank.coordination.job.scheduler import Scheduler
from gypsumplank.protocol.account import Account
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
ROOM = Resources(16_000, 64_000)
SERVICE = "desk"
QUEUE = Queue("proofs", "h.example", "/p/", SERVICE, 0, 3, 1.6, 600)


class AccountSite:
    """Plan, store, send and end runs at fixed intervals; a run takes its step's estimate."""

    def __init__(self, accounts, workers=2, room=ROOM):
        self.clock = ManualClock(100.0)
        self.manifest = Manifest(1, (QUEUE,), {SERVICE: ServicePolicy(SERVICE)}, accounts)
        self.age_s = 0.0
        limits = AccountLimits(lambda: self.age_s, 3.0, 0.1)
        self.accounts = Accounts(lambda: self.manifest, limits)
        self.scheduler = Scheduler(self.clock, lambda: self.manifest, 1, 6.0)
        self.scheduler.use_accounts(self.accounts.begin_term())
        self.scheduler.use_dispatcher(self)
        self.room, self.numbers, self.ends = room, itertools.count(), []
        self.started_at, self.arrived_at, self.excess, self.stores = {}, {}, set(), True
        entries = [self.entry(f"w{number}") for number in range(workers)]
        self.scheduler.fleet.apply_entries(entries)
        for instance in self.instances:
            instance.last_contact_at = self.clock.monotonic()

    @property
    def instances(self):
        return list(self.scheduler.instances.values())

    def entry(self, name):
        return WorkerEntry(name, SERVICE, "a:1", "z", WorkerState.READY, self.room, machine=name)

    def set_caps(self, **caps):
        accounts = tuple(Account(name, cap=cap) for name, cap in caps.items())
        version = self.manifest.version + 1
        self.manifest = replace(self.manifest, version=version, accounts=accounts)

    def submit(self, account, *steps, accepted_ms=None):
        """Add a job; its state is not stored, so that it stays after its end."""
        now = self.clock.monotonic()
        job_id = f"{next(self.numbers):016x}"
        steps = steps or (StepDefinition(1, Resources(1000, 100), 500),)
        accepted_ms = int(now * 1000 if accepted_ms is None else accepted_ms)
        order = JobDefinition("1", steps)
        stored = StoredJob(job_id, QUEUE.name, SERVICE, accepted_ms, order, account)
        self.arrived_at[job_id] = now
        return self.scheduler.workload.add(LoadedJob(stored, JobState.QUEUED, 1, False, {}), now)

    # What the scheduler needs of a dispatcher

    def start_polling(self, instance):
        pass

    def start(self, instance, make_order, on_result):
        now, order = self.clock.monotonic(), make_order(0)
        task = instance.tasks[order.name]
        job = task.step.job
        self.started_at.setdefault(job.id, now)
        if job.is_excess:
            self.excess.add(job.id)
        on_result(None, now)
        if not task.step.order.lasting:
            heapq.heappush(self.ends, (now + task.step.order.estimate_ms / 1000, task.name, task))

    def stop(self, instance, name, run, on_result):
        pass

    def round(self):
        """End the runs that are due, and plan, store and send."""
        now = self.clock.monotonic()
        while self.ends and self.ends[0][0] <= now:
            task = heapq.heappop(self.ends)[2]
            self.scheduler.instances[task.worker].tasks.pop(task.name)
            task.finish(TaskPhase.DONE)
        for instance in self.instances:
            instance.last_contact_at = now
        self.scheduler.plan()
        if not self.stores:
            return
        jobs = self.scheduler.workload.jobs
        for job in list(jobs.values()):
            for step in job.steps.values():
                step.dirty = False
            if job.state is JobState.COMPLETED:
                del jobs[job.id]
        self.scheduler.commands.send(self.instances, lambda: True)

    def run(self, seconds):
        for _ in range(round(seconds / ROUND_S)):
            self.round()
            self.clock.advance(ROUND_S)

    def used(self, account):
        """Return the CPU that an account's runs use."""
        tasks = [task for instance in self.instances for task in instance.tasks.values()]
        return sum(
            task.step.order.need.cpu for task in tasks if task.step.job.stored.account == account
        )
