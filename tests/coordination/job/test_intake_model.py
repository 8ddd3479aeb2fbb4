"""Search for orders of events in which a submission is lost, revived after a cancel or run twice.

Callers, leaders that crash, and calls whose answers are lost or that are executed late interleave
at any step; the threads of a term are stepped one call at a time.
"""

import contextlib
from collections import Counter, deque

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from gypsumplank.coordination.job import intakewatch
from gypsumplank.coordination.job.backoff import PartitionBackoff
from gypsumplank.coordination.job.commit import JobCommitter
from gypsumplank.coordination.job.intake import JobIntake
from gypsumplank.coordination.job.intakeclient import IntakeClient
from gypsumplank.coordination.job.intakeindex import IntakeIndex
from gypsumplank.coordination.job.submission import JobService
from gypsumplank.coordination.job.workload import Workload
from gypsumplank.errors import (
    JobMissingError,
    StateConflictError,
    StateError,
    StateUnavailableError,
    StateUnknownError,
)
from gypsumplank.protocol.job import (
    FINAL_JOB_STATES,
    JobDefinition,
    JobState,
    Resources,
    StepDefinition,
    StoredJob,
    TaskPhase,
)
from gypsumplank.state.clock import ManualClock
from gypsumplank.state.feed import MemoryFeedTable
from gypsumplank.state.intake import TABLE_INTAKE, IntakeStore
from gypsumplank.state.job import JobStore
from gypsumplank.state.partition import SEPARATOR, MemoryPartitions
from gypsumplank.state.table import Check, Txn, Write, scan_all
from tests.coordination.job.test_submission import QUEUE, ClockAdvancingPause

JOBS = ("a" * 16, "b" * 16)
ORDER = JobDefinition("", (StepDefinition(1, Resources(1, 1), 10),))
FAULTS = ("", "", "", "lost", "late", "dropped", "out")
# Most events need several steps of the leader, so that these are drawn together too.
SEQUENCES = {
    "adopt": ("feed", "apply"),
    "reread": ("read", "apply"),
    "start": ("plan", "send"),
    "clear": ("remove", "apply", "remove", "apply"),
    "complete": ("plan", "send", "feed", "apply", "finish"),
    "run": ("feed", "apply", "plan", "send", "finish"),
}
LEADER_STEPS = ("feed", "read", "remove", "apply", "plan", "send", "finish", "crash", "late")

jobs = st.sampled_from((JOBS[0], *JOBS))
fault_lists = st.lists(st.sampled_from(FAULTS), max_size=3)
step_lists = st.lists(st.sampled_from((*SEQUENCES, *LEADER_STEPS)), max_size=4)


class Store:
    """Inject faults into commits, and run other actors' steps before single calls."""

    def __init__(self, table, faults, late, before=lambda: None):
        self.table, self.faults, self.late, self.before = table, faults, late, before

    def get(self, table, key):
        self.before()
        return self.table.get(table, key)

    def scan(self, *args, **kwargs):
        return self.table.scan(*args, **kwargs)

    def commit(self, txn):
        self.before()
        fault = self.faults.pop(0) if self.faults else ""
        if fault == "out":
            raise StateUnavailableError("out")
        if fault == "late":
            self.late.append((self.table, txn))
        elif fault != "dropped":
            with contextlib.suppress(StateConflictError if fault == "lost" else ()):
                version = self.table.commit(txn)
        if fault:
            raise StateUnknownError(fault)
        return version


class Partitions:
    def __init__(self, world, faults, before=lambda: None):
        self.world, self.faults, self.before = world, faults, before
        self.names = world.partitions.names

    def in_partition(self, name):
        table = self.world.partitions.in_partition(name)
        return Store(table, self.faults, self.world.late, self.before)

    def changes(self, table, after, wait_s):
        return self.world.partitions.changes(table, after, 0.0)


class SequentialIntakeStore(IntakeStore):
    def read_each(self, names):
        return [(name, self.read(name)) for name in names]


class Leader:
    """Run a term without workers: a task starts when it is sent, and ends when told."""

    def __init__(self, world):
        self.world, self.faults, self.posts = world, [], deque()
        version = world.table.commit(Txn((), (Write("leases", "scheduler", b"1"),)))
        self.fence = Check("leases", "scheduler", version)
        self.store = JobStore(Store(world.table, self.faults, world.late))
        self.workload = Workload()
        jobs, ended = self.store.load()
        for loaded in jobs:
            self.workload.add(loaded, 0.0)
        self.workload.ended_at.update(dict.fromkeys(ended, 0.0))
        partitions = Partitions(world, self.faults)
        ports = intakewatch.IntakePorts(SequentialIntakeStore(partitions), partitions)
        self.feed, self.reader, self.remover = intakewatch.create_intake_threads(
            ports, self.workload, world.clock, version, self.posts.append
        )
        self.remover.wait = lambda seconds: None
        self.committer = JobCommitter(self.store, world.clock, lambda: self.fence, lambda: None)
        self.intake = JobIntake(self.store, world.clock)
        self.must_renew = False
        self.unsent = []

    def step(self, name):
        for each in SEQUENCES.get(name, (name,)):
            with contextlib.suppress(StateError):
                getattr(self.world.leader, f"step_{each}")()

    def step_feed(self):
        self.feed.step()

    def step_read(self):
        self.reader._progress.needs_read.set()
        self.reader.step()

    def step_remove(self):
        self.remover.step()

    def step_apply(self):
        while self.posts:
            self.posts.popleft()()
        # Stands for the reads of orders, pending jobs and cancellations at intervals.
        rows = scan_all(self.world.table, "orders")
        self.intake.add_new_jobs(self.workload, rows)
        for job in self.store.cancelled_jobs():
            self.workload.cancel(job)

    def step_plan(self):
        for job in list(self.workload.jobs.values()):
            if job.state in FINAL_JOB_STATES:
                continue
            for task in job.tasks():
                if task.phase is TaskPhase.WAITING:
                    task.assign("w", 1, task.run + 1)
                    self.unsent.append(task)
        self.commit()

    def commit(self):
        if self.must_renew:
            write = Write("leases", "scheduler", b"1")
            version = self.world.table.commit(Txn((self.fence,), (write,)))
            self.fence, self.must_renew = Check("leases", "scheduler", version), False
        self.workload.update_job_states(self.workload.jobs.values(), 0.0)
        try:
            self.committer.commit(self.workload)
        except StateConflictError:
            self.intake.recheck_states(self.workload, self.committer.in_flight)
        except StateUnknownError:
            self.must_renew = True

    def step_send(self):
        for task in [task for task in self.unsent if not task.step.dirty]:
            self.unsent.remove(task)
            job = task.step.job
            if job.state in FINAL_JOB_STATES:
                task.requeue(0.0)
            else:
                self.world.starts[job.id] += 1
        self.commit()

    def step_finish(self):
        for job in list(self.workload.jobs.values()):
            for task in job.assigned_tasks():
                if task not in self.unsent:
                    task.finish(TaskPhase.DONE)
        self.commit()

    def step_crash(self):
        self.world.leader = Leader(self.world)

    def step_late(self):
        self.world.run_late()


class IntakeModel(RuleBasedStateMachine):
    @initialize()
    def set_up(self):
        self.clock = ManualClock(1.0)
        self.table = MemoryFeedTable()
        self.partitions = MemoryPartitions(self.table)
        self.late, self.starts = [], Counter()
        self.accepted, self.cancelled, self.final = set(), set(), {}
        # Jobs whose cancellation got no answer, so that it may or may not be in force.
        self.undecided = set()
        self.leader = Leader(self)

    def client(self, faults=(), steps=(), writes=True):
        """Return a daemon's client; before each of its calls the leader makes one of the steps."""
        steps = list(steps)

        def before():
            if steps:
                self.leader.step(steps.pop(0))

        faults = list(faults)
        partitions = Partitions(self, faults, before)
        store = SequentialIntakeStore(partitions)
        jobs = JobStore(Store(self.table, faults, self.late, before))
        index = IntakeIndex(store, partitions)
        client = IntakeClient(
            store, jobs, index, self.clock, PartitionBackoff(None), lambda: writes
        )
        client._pause = ClockAdvancingPause(self.clock)
        return client

    def run_late(self):
        if self.late:
            table, txn = self.late.pop(0)
            with contextlib.suppress(StateConflictError):
                table.commit(txn)

    @rule(job=jobs, faults=fault_lists, steps=step_lists, remaining=st.just(0.0))
    def submit(self, job, faults, steps, remaining):
        stored = StoredJob(job, QUEUE.name, QUEUE.service, 0, ORDER)
        with contextlib.suppress(StateError):
            self.client(faults, steps).submit(stored, remaining)
            self.accepted.add(job)

    @rule(job=jobs, faults=fault_lists, steps=step_lists)
    def submit_with_retries(self, job, faults, steps):
        self.submit(job, faults, steps, 3.0)

    @rule(job=jobs, faults=fault_lists)
    def submit_as_before(self, job, faults):
        """Submit at a daemon that does not know yet that all others read submissions."""
        faults = list(faults)
        service = JobService(
            JobStore(Store(self.table, faults, self.late)),
            self.clock,
            lambda: None,
            intake=self.client(writes=False),
        )
        service._pause = ClockAdvancingPause(self.clock)
        with contextlib.suppress(StateError):
            service.submit(QUEUE, job, ORDER, 3.0)
            self.accepted.add(job)

    @rule(job=jobs, faults=fault_lists, steps=step_lists)
    def cancel(self, job, faults, steps):
        self.undecided.add(job)
        with contextlib.suppress(StateError, JobMissingError):
            state = self.client(faults, steps).cancel(job)
            assert state in FINAL_JOB_STATES
            if state is JobState.CANCELLED:
                self.cancelled.add(job)
            self.undecided.discard(job)

    @rule(job=jobs, steps=step_lists)
    def query(self, job, steps):
        with contextlib.suppress(*(() if job in self.accepted else (JobMissingError,))):
            self.client(steps=steps).state(job)

    @rule(
        steps=st.lists(st.sampled_from((*SEQUENCES, *LEADER_STEPS)), min_size=1, max_size=6),
        faults=fault_lists,
    )
    def lead(self, steps, faults):
        self.leader.faults[:] = faults
        for step in steps:
            self.leader.step(step)
        self.leader.faults.clear()

    @rule()
    def read_undisturbed(self):
        self.lead(["adopt"], [])

    @rule()
    def work_undisturbed(self):
        self.lead(["start", "finish"], [])

    @rule(step=st.sampled_from(("clear", "crash", "reread", "late")))
    def lead_undisturbed(self, step):
        self.lead([step], [])

    @rule(job=jobs)
    def submit_undisturbed(self, job):
        self.submit(job, [], [], 3.0)

    @rule(job=jobs)
    def cancel_undisturbed(self, job):
        self.cancel(job, [], [])

    @rule()
    def lose_history(self):
        self.table.clear_history()

    @rule()
    def count_pending(self):
        count = self.client().pending_count(QUEUE.name)
        waiting = {job for job in JOBS if self.state(job) not in (None, *FINAL_JOB_STATES)}
        # Submissions of jobs that are stored already count until they are removed.
        stored = {row.key for row in scan_all(self.table, "states")}
        submitted = {row.key.partition(SEPARATOR)[2] for row in scan_all(self.table, TABLE_INTAKE)}
        assert count <= len(waiting | (stored & submitted))

    def state(self, job):
        try:
            return self.client().state(job)
        except JobMissingError:
            return None

    @invariant()
    def accepted_jobs_have_a_state(self):
        for job in self.accepted:
            assert self.state(job) is not None, job

    @invariant()
    def final_states_stay(self):
        for job in JOBS:
            state = self.state(job)
            if job in self.cancelled and state is not JobState.CANCELLED:
                # The leader stored the job before it read the cancellation.
                assert state is JobState.RUNNING, (job, state)
                known = self.leader.workload.jobs.get(job)
                assert known is None or known.state is not JobState.CANCELLED or known.state_dirty
                continue
            assert self.final.get(job, state) is state, job
            if state in FINAL_JOB_STATES and job not in self.undecided:
                self.final[job] = state

    @invariant()
    def no_job_starts_twice(self):
        assert all(count <= 1 for count in self.starts.values())

    def teardown(self):
        if not hasattr(self, "leader"):
            return
        while self.late:
            self.run_late()
        for _ in range(6):
            for step in ("feed", "read", "apply", "plan", "send", "finish", "remove", "apply"):
                self.leader.step(step)
        for job in self.accepted:
            expected = JobState.CANCELLED if job in self.cancelled else self.state(job)
            assert self.state(job) is expected
            assert expected in FINAL_JOB_STATES, (job, expected)
        self.undecided.clear()
        self.final_states_stay()
        self.no_job_starts_twice()
        assert not self.partitions.names(TABLE_INTAKE)
        assert not scan_all(self.table, "pending")


TestIntakeModel = IntakeModel.TestCase
TestIntakeModel.settings = settings(max_examples=500, stateful_step_count=30)


# Each of these races was found by hand or by the model; they guard against single lines that the
# search reaches seldom.


@pytest.fixture
def world():
    model = IntakeModel()
    model.set_up()
    yield model
    model.teardown()


def test_job_survives_a_leader_that_ends_before_the_first_commit(world):
    world.submit_undisturbed(JOBS[0])
    world.lead(["adopt", "clear", "crash"], [])
    assert world.state(JOBS[0]) is JobState.QUEUED
    world.lead(["reread", "start", "finish"], [])
    assert world.starts[JOBS[0]] == 1


def test_lost_first_commit_is_repeated_without_a_second_start(world):
    world.submit_undisturbed(JOBS[0])
    world.lead(["adopt", "start"], ["lost"])
    world.lead(["start", "start"], [])
    assert world.starts[JOBS[0]] == 1


def test_job_that_completes_before_its_cancellation_is_read_is_cancelled(world):
    world.submit_undisturbed(JOBS[0])
    world.lead(["adopt"], [])
    world.cancel_undisturbed(JOBS[0])
    world.work_undisturbed()
    assert world.state(JOBS[0]) is JobState.RUNNING
    world.lead(["reread", "adopt", "start", "clear"], [])
    assert world.state(JOBS[0]) is JobState.CANCELLED


def test_job_that_completes_during_its_cancellation_is_reported_so(world):
    world.submit_undisturbed(JOBS[0])
    world.lead(["reread", "adopt"], [])
    # The job runs between the client's reads and its rewrite of the submission.
    world.cancel(JOBS[0], [], ["late", "late", "complete"])
    assert world.state(JOBS[0]) is JobState.COMPLETED
    assert not world.cancelled


def test_late_insert_of_an_ended_job_is_only_removed(world):
    world.submit(JOBS[0], ["late"], [], 3.0)
    world.lead(["adopt", "start", "finish", "reread", "start", "clear"], [])
    assert not world.partitions.names(TABLE_INTAKE)
    world.run_late()
    assert world.partitions.names(TABLE_INTAKE)
    world.lead(["adopt", "start", "clear"], [])
    assert not world.partitions.names(TABLE_INTAKE)
    assert world.starts[JOBS[0]] == 1


def test_job_cancelled_before_its_adoption_is_stored_before_its_submission_goes(world):
    world.submit_undisturbed(JOBS[0])
    world.cancel_undisturbed(JOBS[0])
    world.lead(["adopt", "start", "clear"], [])
    assert world.state(JOBS[0]) is JobState.CANCELLED
    assert not world.partitions.names(TABLE_INTAKE)
    assert not world.starts


def test_adopted_job_is_counted_as_pending_once(world):
    world.submit_undisturbed(JOBS[0])
    world.submit_as_before(JOBS[1], [])
    assert world.client().pending_count(QUEUE.name) == 2
    world.submit_as_before(JOBS[0], [])
    world.lead(["adopt"], [])
    assert world.client().pending_count(QUEUE.name) == 2
    world.lead(["start", "clear", "start"], [])
    assert world.client().pending_count(QUEUE.name) == 0


@pytest.mark.parametrize(
    ("faults", "expected"),
    [(["out"] * 99, StateUnavailableError), (["out", "late"] * 50, StateUnknownError)],
)
def test_only_a_submission_that_cannot_be_stored_is_refused(world, faults, expected):
    """A refusal promises that the job never runs from this attempt."""
    with pytest.raises(StateError) as caught:
        world.client(faults).submit(StoredJob(JOBS[0], "q", "s", 0, ORDER), 3.0)
    assert type(caught.value) is expected
    assert world.clock.now < 1.0 + 3.0
