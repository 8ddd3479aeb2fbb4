"""Play a leader whose calls to the store wait for their timeouts while workers go on answering."""

import pytest

from gypsumplank.coordination.job.evidence import are_leases_over
from gypsumplank.coordination.job.inbox import Inbox
from gypsumplank.coordination.job.instance import (
    LEASE_EXPIRY_MARGIN_S,
    MIN_CLOCK_RATE,
    WorkerClock,
    WorkerInstance,
)
from gypsumplank.coordination.job.silence import SILENCE_TIMEOUT_S, SilentWorkers
from gypsumplank.errors import StateUnknownError
from gypsumplank.protocol.job import Resources, StepDefinition
from gypsumplank.protocol.worker import WorkerEntry, WorkerState
from gypsumplank.state.clock import ClockRange, ManualClock
from gypsumplank.state.job import JobStore
from gypsumplank.state.table import Check, MemoryTable, Txn, Write
from standins.cluster import LEASE_S, ROOM, SERVICE, SimulatedCluster, long_running_step

# Timeout of a call to the store, seconds.
STORE_TIMEOUT_S = 1.2
# The longest outage that the users' deployments list, seconds.
OUTAGE_S = 6.5
POLL_INTERVAL_S = 0.3
STEP_S = 0.05
WORKERS = 12
ENTRY = WorkerEntry("w", SERVICE, "w:80", "z", WorkerState.READY, ROOM, born=1)


class SilentStore:
    """Delegate to a table; until `silent_until`, calls wait for their timeout and fail.

    Meanwhile the workers run on, and the leader's polling threads poll them; until
    `unreachable_until` the workers do not answer.
    """

    def __init__(self, cluster, daemon):
        self.cluster, self.daemon = cluster, daemon
        self.table = daemon.table.table
        self.silent_until = self.unreachable_until = 0.0

    def begin_outage(self, seconds, unreachable_s=0.0):
        self.silent_until = self.cluster.clock.now + seconds
        self.unreachable_until = self.cluster.clock.now + unreachable_s

    def _wait_if_silent(self):
        if self.cluster.clock.now >= self.silent_until:
            return
        for step in range(1, round(STORE_TIMEOUT_S / STEP_S) + 1):
            self.cluster.clock.advance(STEP_S)
            self.cluster.simulated_workers.advance(STEP_S)
            for worker in self.cluster.simulated_workers.workers.values():
                worker.reachable = self.cluster.clock.now >= self.unreachable_until
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


def take_over():
    """Return a cluster with tasks on all workers, its new leader, and the leader's store."""
    cluster = SimulatedCluster(1, daemons=2, workers=WORKERS)
    cluster.run(1.0)
    one_a_worker = StepDefinition(WORKERS, Resources(100, 100), 1500, max_per_worker=1)
    cluster.submit("a" * 16, (long_running_step(WORKERS),), spec="10000")
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
    store.begin_outage(outage_s)
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


def lasting_starts(cluster):
    return [start for start in cluster.simulated_workers.history if start.name.startswith("a")]


@pytest.mark.parametrize("outage_s", [4.5, OUTAGE_S])
def test_workers_that_answer_keep_their_leases_while_the_leader_is_blocked(outage_s):
    """Guard against LOST: one missed poll ended the extensions until the leader read a report."""
    cluster, _, store = take_over()
    cluster.run(1.0)
    store.begin_outage(outage_s, unreachable_s=0.5)
    cluster.run(30.0)
    assert not cluster.violations()
    assert [start.run for start in lasting_starts(cluster)] == [1] * WORKERS


def test_reports_are_read_while_the_store_does_not_answer():
    """Guard against a queue of reports of which each waits for a timeout of the store."""
    cluster, leader, store = take_over()
    cluster.run(1.0)
    store.begin_outage(OUTAGE_S)
    waits = []
    while cluster.clock.now < store.silent_until:
        daemon_step(cluster, leader)
        waits.append(cluster.clock.now - leader.scheduler_leader._inbox.read_until())
    assert max(waits) <= 2 * STORE_TIMEOUT_S + STEP_S


def daemon_step(cluster, leader):
    cluster.clock.advance(STEP_S)
    cluster.simulated_workers.advance(STEP_S)
    leader.step()


def test_worker_whose_report_waits_to_be_read_is_not_recorded_as_silent():
    """Guard against LOST: a record of silence ends all extensions of a worker's leases."""
    clock = ManualClock(100.0)
    inbox, table = Inbox(clock), MemoryTable()
    version = table.commit(Txn((), (Write("leases", "scheduler", b"held"),)))
    fence, store = Check("leases", "scheduler", version), JobStore(table)
    silent = SilentWorkers(store, lambda: ClockRange(int(clock.now * 1000), int(clock.now * 1000)))
    worker = WorkerInstance(ENTRY, 1, WorkerClock(), last_contact_at=clock.now, missed_polls=1)
    worker.tasks["task"] = object()
    silent.load([worker], 9.0, clock.now)
    clock.advance(1.0)
    inbox.put(lambda: None)
    clock.advance(SILENCE_TIMEOUT_S)
    silent.update(fence, [worker], clock.now, inbox.read_until())
    assert not worker.extension_suspended
    list(inbox.take(0.0))
    silent.update(fence, [worker], clock.now, inbox.read_until())
    assert worker.extension_suspended


def test_silence_ends_where_the_leader_has_not_read_on():
    """Guard against conclusions from a silence that is the leader's own."""
    worker = WorkerInstance(ENTRY, 1, WorkerClock(), last_contact_at=100.0)
    worker.extend_leases(100.0, LEASE_S)
    assert not are_leases_over(worker, 107.0, read_until=101.0)
    assert are_leases_over(worker, 107.0, read_until=107.0)
