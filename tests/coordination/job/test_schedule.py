"""Play jobs with many occurrences, of which a leader keeps those that are due."""

import tracemalloc

import pytest

from gypsumplank.coordination.job.model import MAX_WAITING_TASKS
from gypsumplank.protocol.job import JobDefinition, Resources, Schedule, StepDefinition
from gypsumplank.state.jobrow import TABLE_ORDERS, TABLE_STEPS
from standins.cluster import QUEUE, SimulatedCluster

JOB = "a" * 16
MONTH_OF_MINUTES = 30 * 24 * 60
STEP = StepDefinition(1, Resources(500, 256), 100)
CHAIN = (STEP, StepDefinition(2, Resources(500, 256), 100, after=(0,)))


@pytest.fixture
def cluster():
    cluster = SimulatedCluster(1)
    cluster.run(1.0)
    return cluster


def submit(cluster, schedule, steps=(STEP,), job=JOB, spec="0.1"):
    order = JobDefinition(spec, steps, schedule)
    cluster.submitted[job] = order
    assert cluster.daemons[0].job_service.submit(QUEUE, job, order, 0.0)


def schedule_of(cluster, count, interval_ms, first_s=0.5):
    return Schedule(count, int((cluster.clock.wall() + first_s) * 1000), interval_ms)


def scheduler(cluster):
    return cluster.leader().scheduler_leader.scheduler


def test_leader_takes_no_memory_for_occurrences_that_are_not_due(cluster):
    """Guard against Fault: four jobs of a month took each leader over its memory."""
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    for number in range(4):
        schedule = schedule_of(cluster, MONTH_OF_MINUTES, 60_000, first_s=3600)
        submit(cluster, schedule, job=f"{number:016x}")
    cluster.run(1.0)
    cluster.leader().restart()
    cluster.run(5.0)
    after, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert len(scheduler(cluster).workload.jobs) == 4
    assert peak - before < 4_000_000
    cluster.submit("b" * 16)
    cluster.run(3.0)
    assert cluster.state("b" * 16) == "completed"


@pytest.mark.parametrize("steps", [(STEP,), CHAIN])
def test_each_occurrence_runs_once_over_changes_of_the_leader(cluster, steps):
    """Guard against TWICE and LOST: what has ended is not kept in full, but it stays known."""
    submit(cluster, schedule_of(cluster, 60, 250), steps)
    for _ in range(3):
        cluster.run(4.0)
        cluster.leader().restart()
        cluster.run(0.05)
    cluster.run(14.0)
    tasks = sum(step.tasks for step in steps)
    names = [start.name for start in cluster.simulated_workers.history]
    assert sorted(set(names)) == sorted(names)
    assert len(names) == 60 * tasks
    assert cluster.state(JOB) == "completed"
    assert not cluster.violations()
    assert not cluster.table.scan(TABLE_STEPS)
    assert not cluster.table.scan(TABLE_ORDERS)


def test_occurrences_that_have_ended_are_not_kept(cluster):
    """Guard against memory that grows with the age of a job."""
    submit(cluster, schedule_of(cluster, 200, 100), CHAIN)
    cluster.run(10.0)
    (job,) = scheduler(cluster).workload.jobs.values()
    assert len(job.ended) > 50
    assert len(job.steps) < 60
    leader = cluster.leader()
    leader.restart()
    cluster.run(4.0)
    (job,) = scheduler(cluster).workload.jobs.values()
    assert len(job.ended) > 50
    assert len(job.steps) < 130


def test_overdue_occurrences_are_opened_as_others_start(cluster):
    """Guard against a job whose whole schedule is due at once."""
    count = MAX_WAITING_TASKS + 500
    submit(cluster, schedule_of(cluster, count, 0, first_s=-60.0), spec="0.05")
    cluster.run(0.3)
    (job,) = scheduler(cluster).workload.jobs.values()
    most = 0
    for _ in range(200):
        cluster.run(0.5)
        most = max(most, len(job.steps))
        if cluster.state(JOB) == "completed":
            break
    assert cluster.state(JOB) == "completed"
    assert most <= MAX_WAITING_TASKS + 200
    assert len(cluster.simulated_workers.history) == count


def test_clock_that_is_set_back_starts_no_occurrence_early(cluster):
    """Guard against ORDER: an occurrence stays open, but it is due again later only."""
    wall_s = [0.0]
    cluster.clock.wall = lambda: cluster.clock.now + wall_s[0]
    submit(cluster, schedule_of(cluster, 3, 2000, first_s=5.0))
    wall_s[0] = 5.5
    scheduler(cluster).estimate_loads()
    wall_s[0] = 0.0
    cluster.run(4.0)
    assert not cluster.simulated_workers.history
    cluster.run(8.0)
    assert cluster.state(JOB) == "completed"
