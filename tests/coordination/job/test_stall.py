import math

import pytest

from gypsumplank.protocol.job import Resources, StepDefinition
from gypsumplank.protocol.worker import EndKind
from standins.cluster import SimulatedCluster

JOB = "a" * 16
OTHER_JOB = "b" * 16
# Step of the clock in tests of long items, seconds.
LONG_STEP_S = 0.5
# Longest time from which a short item stands still until it runs elsewhere, seconds.
SHORT_RECOVERY_S = 3.0
NO_LIMIT_S = math.inf


def make_step(estimate_s, tasks=1, cpu=1000):
    return StepDefinition(tasks, Resources(cpu, 100), int(estimate_s * 1000))


@pytest.fixture
def cluster():
    cluster = SimulatedCluster(1, daemons=1)
    cluster.simulated_workers.lasting_run_s = NO_LIMIT_S
    cluster.run(1.0)
    return cluster


def workers_of(cluster):
    return cluster.simulated_workers.workers


def starts_of(cluster, job=JOB):
    return [start for start in cluster.simulated_workers.history if start.name.startswith(job)]


def run_until_ended(cluster, limit_s, job=JOB):
    for _ in range(round(limit_s / 10)):
        if cluster.state(job) in ("completed", "failed"):
            break
        cluster.run(10.0, LONG_STEP_S)


@pytest.mark.parametrize("duration_s", [200, 600, 3600])
def test_long_item_is_not_stopped_as_stalled(cluster, duration_s):
    cluster.submit(JOB, (make_step(duration_s, tasks=3),), spec=str(duration_s))
    run_until_ended(cluster, 2 * duration_s)
    assert cluster.state(JOB) == "completed"
    assert [start.kind for start in starts_of(cluster)] == [EndKind.DONE] * 3


@pytest.mark.parametrize("duration_s", [200, 600])
def test_long_item_across_racks_on_a_slow_worker_is_not_stopped_as_stalled(cluster, duration_s):
    for worker in workers_of(cluster).values():
        worker.speed = 1 / 8
    # The simulated duration varies by half.
    cluster.submit(JOB, (make_step(duration_s / 2),), spec=str(duration_s))
    run_until_ended(cluster, 14 * duration_s)
    assert cluster.state(JOB) == "completed"
    assert len(starts_of(cluster)) == 1


@pytest.mark.parametrize("at_s", [3, 100])
def test_long_item_is_not_stopped_when_its_worker_turns_slow(cluster, at_s):
    cluster.submit(JOB, (make_step(600, tasks=3),), spec="600")
    cluster.submit(OTHER_JOB, (make_step(400, tasks=3),), spec="600")
    cluster.run(at_s, LONG_STEP_S)
    for worker in workers_of(cluster).values():
        worker.speed = 1 / 8
    cluster.run(900, LONG_STEP_S)
    for worker in workers_of(cluster).values():
        worker.speed = 1.0
    run_until_ended(cluster, 1200)
    run_until_ended(cluster, 1200, OTHER_JOB)
    assert len(cluster.simulated_workers.history) == 6


@pytest.mark.parametrize("estimate_s", [0, 1, 60])
def test_long_item_finishes_although_its_estimate_is_wrong(cluster, estimate_s):
    cluster.submit(JOB, (make_step(estimate_s),), spec="3600")
    run_until_ended(cluster, 2 * 3600)
    assert cluster.state(JOB) == "completed"
    assert len(starts_of(cluster)) <= 12


@pytest.mark.parametrize("duration_s", [0.64, 2.1, 6])
def test_short_item_that_stands_still_runs_elsewhere(cluster, duration_s):
    still, *_ = workers_of(cluster).values()
    still.speed = 0.0
    cluster.submit(JOB, (make_step(duration_s, tasks=3, cpu=5000),), spec=str(duration_s))
    cluster.run(SHORT_RECOVERY_S + 2 * 1.5 * duration_s)
    assert cluster.state(JOB) == "completed"
    assert [start.kind for start in starts_of(cluster)].count(EndKind.STOPPED) == 1


@pytest.mark.parametrize("duration_s", [600, 3600])
@pytest.mark.parametrize("after_share", [0, 0.1])
def test_long_item_that_stands_still_runs_elsewhere(cluster, duration_s, after_share):
    cluster.submit(JOB, (make_step(duration_s),), spec=str(duration_s))
    cluster.run(1 + after_share * duration_s, LONG_STEP_S)
    (start,) = starts_of(cluster)
    workers_of(cluster)[start.worker].speed = 0.0
    cluster.run(0.3 * duration_s, LONG_STEP_S)
    assert start.kind is EndKind.STOPPED
    run_until_ended(cluster, 2 * duration_s)
    assert cluster.state(JOB) == "completed"
    assert len(starts_of(cluster)) == 2
