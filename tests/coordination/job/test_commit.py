"""Test that what the leader stores stays within the platform's limits."""

import pytest

from gypsumplank.coordination.job.commit import JobCommitter
from gypsumplank.coordination.job.workload import Workload
from gypsumplank.protocol.job import (
    JobDefinition,
    JobState,
    Resources,
    StepDefinition,
    StoredJob,
)
from gypsumplank.state.clock import ManualClock
from gypsumplank.state.job import JobStore
from gypsumplank.state.jobrow import DEFAULT_MAX_ROW_BYTES, TABLE_STEPS, LoadedJob
from gypsumplank.state.table import ABSENT, Check
from standins.cluster import SERVICE, SimulatedCluster, long_running_step
from standins.limit import LimitedFeedTable

FENCE = Check("leases", "scheduler", ABSENT)
SMALL = Resources(100, 10)
# 85 jobs of 70 tasks: a row of over 10 KB each, and over 1 MB together in base64.
WIDE_JOBS = 85
WIDE_STEP = StepDefinition(70, Resources(25, 10), 500, max_per_worker=1)


@pytest.fixture
def cluster():
    cluster = SimulatedCluster(1)
    cluster.run(1.0)
    return cluster


def run_outage(cluster, seconds):
    for daemon in cluster.daemons:
        daemon.table.unavailable = True
    cluster.run(seconds)
    for daemon in cluster.daemons:
        daemon.table.unavailable = False


def submit_wide_jobs(cluster):
    for number in range(WIDE_JOBS):
        cluster.submit(f"{number:016x}", (WIDE_STEP,), spec="1.5")
        cluster.run(0.05)


@pytest.mark.parametrize("new_leader", [False, True])
def test_changes_of_over_1_mb_during_store_outage_do_not_stop_all_scheduling(cluster, new_leader):
    submit_wide_jobs(cluster)
    cluster.run(0.3)
    if new_leader:
        cluster.leader().suspended = True
    run_outage(cluster, 2.0)
    cluster.run(4.0 if new_leader else 0.5)
    cluster.submit(
        "a" * 16, daemon=next(i for i, d in enumerate(cluster.daemons) if not d.suspended)
    )
    cluster.run(2.0)
    assert cluster.state("a" * 16) == "completed"
    assert cluster.table.refused == 0
    assert not cluster.violations()


def fill_checkpoints(cluster, job_id):
    """Give the tasks of a job checkpoints that make the row of its step too large."""
    job = cluster.leader().scheduler_leader._term.scheduler.workload.jobs[job_id]
    for task in job.tasks():
        task.checkpoint = "x" * 1000
        task.step.dirty = True


@pytest.mark.parametrize("is_limit_known", [True, False])
def test_step_row_that_the_store_never_takes_fails_only_its_job(cluster, is_limit_known):
    if not is_limit_known:
        cluster.leader().store.max_row_bytes = 1 << 20
    cluster.submit("a" * 16, (StepDefinition(100, SMALL, 500),), spec="30")
    cluster.submit("b" * 16, spec="1.5")
    cluster.run(0.5)
    fill_checkpoints(cluster, "a" * 16)
    cluster.run(1.0)
    cluster.submit("c" * 16)
    cluster.run(6.0)
    assert [cluster.state(job * 16) for job in "abc"] == ["failed", "completed", "completed"]
    assert not any(worker.running for worker in cluster.simulated_workers.workers.values())
    assert not cluster.table.scan(TABLE_STEPS)
    assert cluster.table.refused <= 10
    assert not cluster.violations()


class ImpatientTable(LimitedFeedTable):
    """End a test in which refused transactions are tried again without end."""

    def commit(self, txn):
        assert self.refused < 5
        return super().commit(txn)


def make_workload(*row_bytes):
    """Return jobs with one changed step each, whose row has about this many bytes."""
    workload = Workload()
    for number, size in enumerate(row_bytes):
        definition = JobDefinition("0.5", (StepDefinition(1, SMALL, 500),))
        stored = StoredJob(f"{number:016x}", "proofs", "desk", 0, definition)
        job = workload.add(LoadedJob(stored, JobState.RUNNING, ABSENT, False, {}), 0.0)
        (task,) = job.tasks()
        task.checkpoint = "x" * size
        task.step.dirty = True
    return workload


def make_committer(table, max_row_bytes):
    return JobCommitter(
        JobStore(table, max_row_bytes), ManualClock(1.0), lambda: FENCE, lambda: None
    )


def test_row_that_the_store_refuses_holds_up_no_job_of_the_same_transaction():
    """Guard against LOST: the store may accept shorter rows than the settings say."""
    table = ImpatientTable()
    workload = make_workload(10, 70_000, 10, 10)
    assert make_committer(table, 1 << 20).commit(workload)
    stored = {row.key.partition(".")[0] for row in table.scan(TABLE_STEPS)}
    assert stored == workload.jobs.keys() - {f"{1:016x}"}


def test_row_over_the_known_limit_fails_its_job_in_the_round_that_made_it():
    """Guard against a job that is known not to be storable and is tried for seconds."""
    table = LimitedFeedTable()
    workload = make_workload(10, 70_000)
    committer = make_committer(table, DEFAULT_MAX_ROW_BYTES)
    assert committer.commit(workload)
    assert committer.commit(workload)
    assert list(workload.jobs) == [f"{0:016x}"]
    assert JobStore(table).state(f"{1:016x}")[0].state is JobState.FAILED
    assert table.refused == 0


def test_one_job_with_over_1_mb_of_changed_steps_is_stored():
    table = LimitedFeedTable()
    workload = Workload()
    steps = (StepDefinition(190, SMALL, 500),) * 95
    stored = StoredJob("a" * 16, "proofs", "desk", 0, JobDefinition("0.5", steps))
    job = workload.add(LoadedJob(stored, JobState.RUNNING, ABSENT, False, {}), 0.0)
    for step in job.steps.values():
        step.dirty = True
    job.state_dirty = True
    committer = JobCommitter(JobStore(table), ManualClock(1.0), lambda: FENCE, lambda: None)
    for _ in range(5):
        assert committer.commit(workload)
    assert len(table.scan(TABLE_STEPS)) == 95
    assert not any(step.dirty for step in job.steps.values())
    assert table.refused == 0


def test_records_of_hundreds_of_silent_workers_are_stored():
    store = JobStore(LimitedFeedTable())
    since = {f"worker-{number}/1": number for number in range(250)}
    store.update_silent_workers(FENCE, since, ())
    assert store.silent_workers() == since
    store.update_silent_workers(FENCE, {}, since)
    assert store.silent_workers() == {}


def test_row_of_a_lasting_step_does_not_grow_with_the_workers_it_failed_on(cluster):
    cluster.submit("a" * 16, (long_running_step(50),), spec="10000")
    cluster.run(1.0)
    job = cluster.leader().scheduler_leader._term.scheduler.workload.jobs["a" * 16]
    for task in job.tasks():
        task.failed_on = tuple(f"worker-{number:06d}" for number in range(200))
        task.step.dirty = True
    cluster.run(1.0)
    assert cluster.state("a" * 16) == "running"
    assert not any(task.step.dirty for task in job.tasks())
    assert len(next(job.tasks()).failed_on) == 200


def test_silent_worker_whose_id_fills_a_key_stops_no_job(cluster):
    name = "w" * 199
    cluster.simulated_workers.add(name, SERVICE, Resources(64000, 64000))
    cluster.run(1.0)
    cluster.submit("a" * 16, (long_running_step(30, 30),), spec="10000")
    cluster.run(1.0)
    assert cluster.simulated_workers.workers[name].running
    cluster.simulated_workers.workers[name].reachable = False
    cluster.run(4.0)
    cluster.submit("b" * 16)
    cluster.run(2.0)
    assert cluster.state("b" * 16) == "completed"
    assert cluster.table.refused == 0
    cluster.simulated_workers.workers[name].reachable = True
    cluster.run(20.0)
    assert cluster.table.refused == 0
    assert not cluster.violations()
