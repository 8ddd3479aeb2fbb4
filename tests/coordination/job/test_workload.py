from gypsumplank.coordination.job.intake import JobIntake
from gypsumplank.coordination.job.workload import Workload
from gypsumplank.protocol.job import (
    JobDefinition,
    JobState,
    Resources,
    StepDefinition,
    StoredJob,
    TaskPhase,
)
from gypsumplank.state.clock import ManualClock
from gypsumplank.state.job import JobStore
from gypsumplank.state.jobrow import (
    MAX_TXN_ENTRIES,
    TABLE_ORDERS,
    TABLE_STEPS,
    LoadedJob,
    state_write,
)
from gypsumplank.state.table import MemoryTable, Txn

JOB = "a" * 16


def completed_workload(steps):
    workload = Workload()
    order = JobDefinition("", (StepDefinition(1, Resources(1000, 100), 500),) * steps)
    stored = StoredJob(JOB, "proofs", "desk", 0, order)
    job = workload.add(LoadedJob(stored, JobState.QUEUED, 1, False, {}), 0.0)
    for task in job.tasks():
        task.assign("w", 1, 1)
        task.finish(TaskPhase.DONE)
    workload.update_job_states([job], 0.0)
    return workload


def removed_keys(update, table):
    return [write.key for write in update.writes if write.table == table and write.value is None]


def test_clean_up_whose_commit_failed_removes_the_same_rows_when_repeated():
    workload = completed_workload(steps=2)
    (lost,) = workload.updates()
    (repeated,) = workload.updates()
    job = workload.jobs[repeated.job]
    assert removed_keys(repeated, TABLE_STEPS) == [f"{JOB}.0.0", f"{JOB}.0.1"]
    assert repeated == lost
    workload.mark_stored(job, repeated, 2, 1.0)
    assert not workload.jobs


def test_clean_up_of_many_steps_removes_each_row_once():
    steps = MAX_TXN_ENTRIES
    workload, removed = completed_workload(steps), []
    while workload.jobs:
        for update in list(workload.updates()):
            job = workload.jobs[update.job]
            assert update.entries <= MAX_TXN_ENTRIES
            removed += removed_keys(update, TABLE_STEPS)
            workload.mark_stored(job, update, 2, 1.0)
    assert sorted(removed) == sorted(f"{JOB}.0.{position}" for position in range(steps))
    assert removed_keys(update, TABLE_ORDERS) == [JOB]


def test_final_state_found_in_the_store_is_noted_as_a_change():
    # Else the job's ready steps would be started, and its load asked for, until it changes again.
    workload, table = Workload(), MemoryTable()
    table.commit(Txn((), (state_write(JOB, JobState.FAILED, "proofs"),)))
    order = JobDefinition("", (StepDefinition(2, Resources(1000, 100), 500),))
    stored = StoredJob(JOB, "proofs", "desk", 0, order)
    job = workload.add(LoadedJob(stored, JobState.QUEUED, 0, False, {}), 0.0)
    job.unstored = True
    changes = workload.follow()
    JobIntake(JobStore(table), ManualClock()).recheck_states(workload, [job])
    assert (job.state, changes.take()) == (JobState.FAILED, [job])


def test_changes_of_a_job_that_was_removed_are_not_committed():
    """Guard against rows that are written again for a job that is over, which others still hold."""
    workload = completed_workload(1)
    (job,) = workload.jobs.values()
    (update,) = workload.updates()
    workload.mark_stored(job, update, 2, 0.0)
    assert not workload.jobs
    job.note_change()
    assert not list(workload.updates())
