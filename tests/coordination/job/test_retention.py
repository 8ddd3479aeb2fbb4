"""Test that the states of ended jobs are shown for as long as promised, and removed after that."""

import pytest

from gypsumplank.coordination.job import retention
from gypsumplank.errors import JobMissingError, StateUnavailableError
from gypsumplank.state.table import Write
from standins.cluster import SimulatedCluster, long_running_step

STATUS_S = 4.0
MARGIN_S = 6.0


@pytest.fixture
def cluster(monkeypatch):
    monkeypatch.setattr(retention, "RETENTION_MARGIN_S", MARGIN_S, raising=False)
    cluster = SimulatedCluster(1, status_s=STATUS_S)
    cluster.run(1.0)
    return cluster


def states(cluster):
    return {row.key: row.value for row in cluster.table.scan("states")}


def run_until_completed(cluster, job):
    while cluster.state(job) != "completed":
        cluster.run(0.05)


def test_states_of_ended_jobs_do_not_stay_for_ever(cluster):
    for number in range(250):
        cluster.submit(f"{number:016x}", spec="0.1")
    cluster.run(6.0)
    assert len(states(cluster)) == 250
    cluster.run(30.0)
    assert not states(cluster)
    assert not cluster.leader().scheduler_leader._term.scheduler.workload.ended_at
    assert cluster.table.refused == 0
    with pytest.raises(JobMissingError):
        cluster.state("0" * 16)


def test_state_is_shown_and_job_stays_one_until_the_margin_has_passed(cluster):
    cluster.submit("a" * 16)
    run_until_completed(cluster, "a" * 16)
    cluster.run(STATUS_S + MARGIN_S - 0.5)
    assert cluster.state("a" * 16) == "completed"
    assert not cluster.submit("a" * 16, daemon=1)
    cluster.run(5.0)
    assert not states(cluster)
    assert len(cluster.simulated_workers.history) == 2


def test_new_leader_removes_the_states_that_it_loaded(cluster):
    cluster.submit("a" * 16)
    run_until_completed(cluster, "a" * 16)
    cluster.leader().suspended = True
    cluster.run(5.0)
    loaded_at = cluster.clock.now
    assert cluster.state("a" * 16) == "completed"
    while states(cluster):
        cluster.run(0.05)
    assert STATUS_S + MARGIN_S - 5.0 < cluster.clock.now - loaded_at < STATUS_S + MARGIN_S + 5.0


def test_state_of_a_job_that_is_not_cleaned_up_is_never_removed(cluster):
    cluster.submit("a" * 16, (long_running_step(1),), spec="10000")
    cluster.run(1.0)
    (start,) = cluster.simulated_workers.history
    cluster.simulated_workers.workers[start.worker].reachable = False
    leader = cluster.leader()
    commit = leader.table.commit

    def commit_without_cleanup(txn):
        if any(write.table == "orders" and write.value is None for write in txn.writes):
            raise StateUnavailableError("out")
        return commit(txn)

    leader.table.commit = commit_without_cleanup
    cluster.daemons[0].job_service.cancel("a" * 16)
    cluster.run(3 * (STATUS_S + MARGIN_S))
    assert cluster.state("a" * 16) == "cancelled"
    assert cluster.table.get("orders", "a" * 16)


def test_lost_answer_to_a_removal_removes_no_later_job_with_that_id(cluster):
    cluster.submit("a" * 16)
    run_until_completed(cluster, "a" * 16)
    leader = cluster.leader()
    commit = leader.table.commit
    removal = Write("states", "a" * 16, None)

    def lose_answer(txn):
        if removal in txn.writes:
            leader.table.commit = commit
            leader.table.commit_faults = ["lost"]
        return commit(txn)

    leader.table.commit = lose_answer
    while states(cluster):
        cluster.run(0.05)
    assert cluster.submit("a" * 16)
    for _ in range(100):
        cluster.run(0.05)
        assert "a" * 16 in states(cluster)
    assert cluster.state("a" * 16) == "completed"
    assert len(cluster.simulated_workers.history) == 4
