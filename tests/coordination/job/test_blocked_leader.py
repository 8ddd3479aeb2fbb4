"""Play a leader whose calls to the store wait for their timeouts while workers go on answering."""

import pytest

from gypsumplank.coordination.job.instance import LEASE_EXPIRY_MARGIN_S, MIN_CLOCK_RATE
from gypsumplank.errors import StateUnknownError
from gypsumplank.protocol.job import Resources, StepDefinition
from standins.cluster import LEASE_S, SimulatedCluster, long_running_step

# Timeout of a call to the store, seconds.
STORE_TIMEOUT_S = 1.2
# The longest outage that the users' deployments list, seconds.
OUTAGE_S = 6.5
POLL_INTERVAL_S = 0.3
STEP_S = 0.05


class SilentStore:
    """Delegate to a table; until `silent_until`, calls wait for their timeout and fail.

    Meanwhile the workers run on, and the leader's polling threads poll them.
    """

    def __init__(self, cluster, daemon):
        self.cluster, self.daemon = cluster, daemon
        self.table = daemon.table.table
        self.silent_until = 0.0

    def _wait_if_silent(self):
        if self.cluster.clock.now >= self.silent_until:
            return
        for step in range(1, round(STORE_TIMEOUT_S / STEP_S) + 1):
            self.cluster.clock.advance(STEP_S)
            self.cluster.simulated_workers.advance(STEP_S)
            if self.daemon.scheduler_leader.is_leader and not step % round(
                POLL_INTERVAL_S / STEP_S
            ):
                self.daemon.term_factory.dispatcher.poll_now()
        raise StateUnknownError("silent")

    def get(self, *args):
        self._wait_if_silent()
        return self.table.get(*args)

    def scan(self, *args):
        self._wait_if_silent()
        return self.table.scan(*args)

    def commit(self, txn):
        self._wait_if_silent()
        return self.table.commit(txn)


def take_over(workers=12, seed=1):
    """Return a cluster with tasks on all workers, its new leader, and the leader's store."""
    cluster = SimulatedCluster(seed, daemons=2, workers=workers)
    cluster.run(1.0)
    one_a_worker = StepDefinition(workers, Resources(100, 100), 1500, max_per_worker=1)
    cluster.submit("a" * 16, (long_running_step(workers),), spec="10000")
    cluster.submit("b" * 16, (one_a_worker,), spec="2.5")
    cluster.run(1.0)
    old_leader = cluster.leader()
    old_leader.scheduler_leader._resign("stop")
    old_leader.leases.close()
    old_leader.suspended = True
    while cluster.leader() is None:
        cluster.run(STEP_S)
    leader = cluster.leader()
    store = SilentStore(cluster, leader)
    leader.table.table = store
    return cluster, leader, store


@pytest.mark.parametrize("outage_s", [2.5, 4.5, OUTAGE_S, 9.0])
@pytest.mark.parametrize("delay_s", [0.0, 0.2, 0.6])
def test_store_outage_after_a_take_over_starts_no_task_twice(outage_s, delay_s):
    """Guard against TWICE: reports that the leader had not read yet hid leases it had granted."""
    cluster, _, store = take_over()
    cluster.run(delay_s)
    store.silent_until = cluster.clock.now + outage_s
    cluster.run(30.0)
    assert not cluster.violations()
    assert cluster.state("b" * 16) == "completed"


def test_task_of_a_worker_lost_after_a_take_over_waits_for_one_lease_only():
    """Guard against LOST: a successor waits no longer than for what it has granted itself.

    It bounds the leases of earlier leaders when the worker first answers.
    """
    cluster, leader, _ = take_over()
    cluster.run(2 * STEP_S)
    instance = leader.scheduler_leader.scheduler.instances["w0"]
    assert instance.last_contact_at
    lost_at = cluster.clock.now
    cluster.simulated_workers.workers["w0"].reachable = False
    lost = {
        start.name
        for start in cluster.simulated_workers.history
        if start.worker == "w0" and start.ended is None
    }
    cluster.run(12.0)
    again = {
        start.name: start.started_at - lost_at
        for start in cluster.simulated_workers.history
        if start.name in lost and start.run > 1
    }
    assert again.keys() == lost
    assert max(again.values()) <= LEASE_S / MIN_CLOCK_RATE + LEASE_EXPIRY_MARGIN_S + 3 * STEP_S
