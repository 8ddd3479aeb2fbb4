import pytest

from gypsumplank.coordination.job.cutoff import CUT_OFF_AFTER_S, CutOffDetector
from gypsumplank.errors import StateUnknownError
from gypsumplank.state.clock import ManualClock
from gypsumplank.state.lease import LeaseStore
from standins.cluster import SimulatedCluster
from standins.faulty import ScriptedFaultTable


def test_failures_count_as_cut_off_only_without_any_answer_between_them():
    clock = ManualClock(100.0)
    detector = CutOffDetector(clock)
    detector.record_failure()
    clock.advance(CUT_OFF_AFTER_S - 0.1)
    detector.record_answer()
    detector.record_failure()
    clock.advance(CUT_OFF_AFTER_S - 0.1)
    detector.record_failure()
    assert not detector.is_cut_off
    clock.advance(0.1)
    assert detector.is_cut_off
    detector.record_answer()
    assert not detector.is_cut_off


def make_cluster():
    """Return a cluster with a leader that can also reach the store through another daemon."""
    cluster = SimulatedCluster(1, daemons=3)
    cluster.run(1.0)
    leader = cluster.leader()
    peer_table = ScriptedFaultTable(cluster.table)
    ports = leader.scheduler_leader._ports
    object.__setattr__(ports, "peer_leases", LeaseStore(peer_table))
    return cluster, leader, peer_table


def time_without_leader(cluster, old_leader):
    started_at = cluster.clock.now
    while cluster.leader() in (None, old_leader):
        cluster.run(0.1)
        assert cluster.clock.now < started_at + 20.0
    return cluster.clock.now - started_at


def test_leader_that_alone_is_cut_off_hands_over_before_its_lease_expires():
    cluster, leader, _ = make_cluster()
    cluster.submit("a" * 16, spec="8")
    cluster.run(0.5)
    leader.table.unavailable = True
    # At most two checks of the lease, CUT_OFF_AFTER_S, and the next daemon's check.
    assert time_without_leader(cluster, leader) < 1.5
    assert not leader.scheduler_leader.is_leader
    cluster.run(12.0)
    assert cluster.state("a" * 16) == "completed"
    assert not cluster.violations()


def test_leader_keeps_lease_while_no_daemon_reaches_the_store():
    cluster, leader, peer_table = make_cluster()
    peer_table.unavailable = True
    for daemon in cluster.daemons:
        daemon.table.unavailable = True
    cluster.run(3.0)
    assert leader.scheduler_leader.is_leader
    for daemon in cluster.daemons:
        daemon.table.unavailable = False
    cluster.run(3.0)
    assert cluster.leader() is leader
    assert leader.leases.epoch("scheduler") == 1


def test_leader_keeps_lease_while_the_store_rejects_a_part_of_all_calls():
    cluster, leader, _ = make_cluster()
    other = next(index for index, daemon in enumerate(cluster.daemons) if daemon is not leader)
    for _ in range(20):
        leader.table.commit_faults = ["out", "dropped"]
        cluster.submit(f"{int(cluster.clock.now * 1000):016x}", daemon=other)
        cluster.run(0.5)
    assert cluster.leader() is leader
    assert leader.leases.epoch("scheduler") == 1


@pytest.mark.parametrize("fault", ["lost", "dropped"])
def test_release_with_an_unknown_outcome_is_repeated(fault):
    cluster, leader, peer_table = make_cluster()
    peer_table.commit_faults = [fault]
    assert leader.leases.release_through(LeaseStore(peer_table), "scheduler")
    assert leader.leases.epoch("scheduler") is None
    assert LeaseStore(cluster.table).all()["scheduler"].lease.holder == ""


def test_lease_is_given_up_if_its_release_may_have_been_applied():
    _, leader, peer_table = make_cluster()
    peer_table.commit_faults = ["dropped"] * 10
    assert leader.leases.release_through(LeaseStore(peer_table), "scheduler")
    assert leader.leases.fence("scheduler") is None


def test_outage_for_all_daemons_with_unknown_outcomes_leaves_the_lease():
    cluster, leader, peer_table = make_cluster()
    peer_table.unavailable = True
    peer_table.commit_faults = ["dropped"] * 10
    assert not leader.leases.release_through(LeaseStore(peer_table), "scheduler")
    assert leader.leases.fence("scheduler") is not None
    assert LeaseStore(cluster.table).all()["scheduler"].lease.holder == leader.name


def test_release_follows_a_renewal_that_was_applied_late():
    cluster, leader, peer_table = make_cluster()
    leader.table.commit_faults = ["late"]
    with pytest.raises(StateUnknownError):
        leader.leases.renew("scheduler")
    leader.table.apply_delayed()
    assert leader.leases.release_through(LeaseStore(peer_table), "scheduler")
    assert LeaseStore(cluster.table).all()["scheduler"].lease.holder == ""


def test_lease_is_kept_if_its_release_was_not_applied():
    _, leader, peer_table = make_cluster()
    peer_table.commit_faults = ["out"]
    assert not leader.leases.release_through(LeaseStore(peer_table), "scheduler")
    assert leader.leases.fence("scheduler") is not None
