"""Check that a long queue of jobs delays neither rounds, nor the lease, nor a take-over."""

import random
import sys
from dataclasses import replace

import pytest

from gypsumplank.coordination.job.inbox import MAX_CALLS_PER_ROUND, Inbox
from gypsumplank.coordination.job.intake import MAX_READS_PER_SNAPSHOT
from gypsumplank.coordination.job.leader import LEASE_DURATION_S, MAX_ROUND_INTERVAL_S
from gypsumplank.coordination.job.placement import PlacementRound
from gypsumplank.coordination.job.scheduler import Scheduler
from gypsumplank.coordination.job.workload import POSTPONED_CHUNK_JOBS
from gypsumplank.protocol.job import (
    JobDefinition,
    JobState,
    Resources,
    StepDefinition,
    StoredJob,
    TaskPhase,
)
from gypsumplank.protocol.worker import WorkerEntry, WorkerState
from gypsumplank.state.clock import ManualClock
from gypsumplank.state.jobrow import TABLE_ORDERS, JobRows, LoadedJob
from gypsumplank.state.table import Txn, Write
from standins.cluster import MANIFEST, QUEUE, SERVICE, SimulatedCluster

WORKERS = 80
WORKER_ROOM = Resources(64_000, 131_072)
ROUND_S = 0.04
ROUNDS = 12


class LongQueue:
    """Run rounds on full workers: in each, as many tasks end and jobs arrive and are cancelled."""

    def __init__(self, waiting):
        self.rng = random.Random(3)
        self.clock = ManualClock(100.0)
        self.scheduler = Scheduler(self.clock, lambda: MANIFEST, 1, 6.0)
        self.workload = self.scheduler.workload
        entries = [
            WorkerEntry(
                f"w{number}", SERVICE, "127.0.0.1:1", "z", WorkerState.READY, WORKER_ROOM, ("a",)
            )
            for number in range(WORKERS)
        ]
        self.scheduler.fleet.apply_entries(entries)
        for instance in self.scheduler.instances.values():
            instance.last_contact_at = self.clock.now
        self.jobs = self.versions = self.calls = 0
        while len(self.waiting()) < waiting:
            for _ in range(waiting - len(self.waiting())):
                self.submit()
            self.run_round()

    def waiting(self):
        return [job for job in self.workload.jobs.values() if job.state is JobState.QUEUED]

    def draw_steps(self):
        need = Resources(self.rng.randint(6, 13) * 1000, 1000)
        return (StepDefinition(8, need, 4000), StepDefinition(8, need, 4000, (0,)))

    def submit(self, steps=()):
        steps = steps or self.draw_steps()
        stored = StoredJob(f"{self.jobs:016x}", QUEUE.name, SERVICE, 0, JobDefinition("", steps))
        self.jobs += 1
        self.workload.add(LoadedJob(stored, JobState.QUEUED, 1, False, {}), self.clock.now)

    def change(self):
        running = [
            task for each in self.scheduler.instances.values() for task in each.tasks.values()
        ]
        for task in self.rng.sample(running, 5):
            self.scheduler.instances[task.worker].tasks.pop(task.name)
            task.finish(TaskPhase.DONE)
        for job in self.rng.sample(self.waiting(), 2):
            self.workload.cancel(job.id)
        for _ in range(3):
            self.submit()
        self.clock.advance(ROUND_S)

    def run_round(self):
        """Run what a round does, without the store and the workers."""
        self.scheduler.plan()
        self.scheduler.commands.unsent_starts = []
        self.versions += 1
        for update in list(self.workload.updates()):
            job = self.workload.jobs[update.job]
            self.workload.mark_stored(job, update, self.versions, self.clock.now)

    def count_calls(self, rounds):
        """Return the largest number of functions that were called in one round."""
        counts = []
        for _ in range(rounds):
            self.change()
            self.calls = 0
            sys.setprofile(self.count_call)
            try:
                self.run_round()
            finally:
                sys.setprofile(None)
            counts.append(self.calls)
        return max(counts)

    def count_call(self, _frame, kind, _arg):
        self.calls += kind == "call"


@pytest.mark.usefixtures("_unchecked_rounds")
def test_work_of_a_round_follows_what_changed_and_not_the_length_of_the_queue():
    """Guard against rounds of 0.1 s and more with 1,200 waiting jobs."""
    short, long = (LongQueue(waiting).count_calls(ROUNDS) for waiting in (200, 1200))
    assert long < 1.5 * short


def test_gangs_that_fit_on_no_workers_are_not_tried_one_by_one(monkeypatch):
    """Guard against rounds that try each of 1,000 gangs although a smaller one does not fit."""
    queue = LongQueue(0)
    gang = StepDefinition(2 * WORKERS, Resources(40_000, 1000), 4000, gang=True)
    for number in range(100):
        need = Resources(40_000 + 10 * number, 1000)
        steps = (replace(gang, need=need, max_per_worker=number % 2),)
        queue.submit(steps)
    choose, tried = PlacementRound._choose, set()
    monkeypatch.setattr(
        PlacementRound,
        "_choose",
        lambda self, pending, *rest: tried.add(pending.step.key) or choose(self, pending, *rest),
    )
    queue.run_round()
    assert len(tried) < 10
    queue.submit((replace(gang, tasks=WORKERS),))
    queue.run_round()
    assert len(queue.workload.jobs[f"{queue.jobs - 1:016x}"].assigned_tasks()) == WORKERS


class SlowTable:
    """Delegate to a table whose commits take time, and note when the lease is written."""

    def __init__(self, table, clock):
        self.table, self.clock, self.lease_writes = table, clock, []
        self.commit_s = 0.0

    def __getattr__(self, name):
        return getattr(self.table, name)

    def commit(self, txn):
        if any(write.table == "leases" for write in txn.writes):
            self.lease_writes.append(self.clock.now)
        else:
            self.clock.advance(self.commit_s)
        return self.table.commit(txn)


def test_round_of_many_slow_commits_does_not_delay_the_renewal_of_the_lease():
    """Guard against a lease that expires as its renewal waits for the end of a round."""
    cluster = SimulatedCluster(1, daemons=1, workers=0)
    for number in range(20):
        cluster.simulated_workers.add(f"w{number}", SERVICE, WORKER_ROOM)
    (daemon,) = cluster.daemons
    daemon.table = SlowTable(daemon.table, cluster.clock)
    daemon.restart()
    cluster.run(1.0)
    for number in range(400):
        cluster.submit(f"{number:016x}", spec="5")
    daemon.table.commit_s = 0.2
    epoch = daemon.leases.epoch("scheduler")
    started_at = cluster.clock.now
    leader = daemon.scheduler_leader
    rows = cluster.table.scan(TABLE_ORDERS)
    leader.post(lambda: leader._intake.add_new_jobs(leader._term.scheduler.workload, rows))
    daemon.step()
    assert cluster.clock.now - started_at > LEASE_DURATION_S
    writes = [at for at in daemon.table.lease_writes if at >= started_at - LEASE_DURATION_S]
    gaps = [later - earlier for earlier, later in zip(writes, writes[1:], strict=False)]
    assert max([*gaps, cluster.clock.now - writes[-1]]) <= LEASE_DURATION_S / 2
    assert leader.is_leader
    assert daemon.leases.epoch("scheduler") == epoch


def test_burst_of_calls_waits_for_a_round():
    """Guard against a round that waits for all calls that were queued."""
    inbox, ran = Inbox(ManualClock()), []
    for number in range(2 * MAX_CALLS_PER_ROUND):
        inbox.put(lambda number=number: ran.append(number))
    for call in inbox.take(0.0):
        call()
    assert ran == list(range(MAX_CALLS_PER_ROUND))


JOBS = 4 * POSTPONED_CHUNK_JOBS


@pytest.fixture
def cluster():
    """Return a cluster whose leader has stopped, with jobs at work and a long queue."""
    cluster = SimulatedCluster(1, workers=4)
    cluster.run(1.0)
    for number in range(JOBS):
        cluster.submit(f"{number:016x}", spec="1")
    cluster.run(0.5)
    cluster.leader().suspended = True
    return cluster


def run_to_take_over(cluster):
    while cluster.leader() is None:
        cluster.run(0.05)
    return cluster.leader().scheduler_leader._term.scheduler


def check_end(cluster):
    cluster.run(15.0)
    states = {cluster.state(f"{number:016x}") for number in range(JOBS)}
    assert not cluster.violations()
    return states


def test_take_over_starts_tasks_before_it_has_added_all_jobs(cluster, monkeypatch):
    """Guard against seconds without a start while over 1,000 jobs are loaded."""
    decode, decoded = JobRows.decode, []
    monkeypatch.setattr(JobRows, "decode", lambda rows: decoded.append(rows.id) or decode(rows))
    begun = {row.key.partition(".")[0] for row in cluster.table.scan("steps")}
    scheduler = run_to_take_over(cluster)
    assert begun <= set(decoded)
    assert len(decoded) <= len(begun) + POSTPONED_CHUNK_JOBS
    assert len(scheduler.workload.postponed) == JOBS - len(decoded)
    assert check_end(cluster) == {"completed"}
    assert sorted(decoded) == sorted(set(decoded))


def test_postponed_jobs_are_added_once_although_the_feed_tells_of_them(cluster):
    """Guard against a job that is started twice, or again after its cancellation."""
    scheduler = run_to_take_over(cluster)
    postponed = list(scheduler.workload.postponed)
    rows = cluster.table.scan(TABLE_ORDERS, limit=10_000)
    intake = cluster.leader().scheduler_leader._intake
    cancelled, other = postponed[-1], postponed[-2]
    cluster.daemons[0].job_service.cancel(cancelled)
    scheduler.workload.cancel(cancelled)
    intake.add_new_jobs(scheduler.workload, rows)
    assert list(scheduler.workload.postponed) == postponed
    cluster.run(1.0)
    assert not scheduler.workload.postponed
    intake.add_new_jobs(scheduler.workload, rows)
    assert check_end(cluster) == {"completed", "cancelled"}
    assert cluster.state(cancelled) == "cancelled"
    assert cluster.state(other) == "completed"
    runs = cluster.simulated_workers.history
    assert not any(cancelled in str(run) for run in runs)


def test_leader_that_is_lost_while_jobs_are_postponed_loses_none(cluster):
    """Guard against LOST: the jobs that a leader has not added yet are unknown to its successor."""
    first = cluster.daemons[0] if cluster.daemons[0].suspended else cluster.daemons[1]
    run_to_take_over(cluster)
    second = cluster.leader()
    second.suspended = True
    first.restart()
    assert check_end(cluster) == {"completed"}


def test_row_that_cannot_be_decoded_does_not_hold_up_the_other_postponed_jobs(cluster):
    """Guard against a chunk that fails as a whole: a job is lost, or the take-over is repeated."""
    bad = f"{JOBS - 1:016x}"
    cluster.table.commit(Txn((), (Write(TABLE_ORDERS, bad, b"{"),)))
    run_to_take_over(cluster)
    assert check_end(cluster) == {"completed", "queued"}
    assert cluster.state(bad) == "queued"


def test_rounds_follow_at_once_only_while_they_can_add_postponed_jobs(cluster):
    """Guard against a loop at full speed, with a renewal in each turn, while the store is lost."""
    run_to_take_over(cluster)
    leader = cluster.leader().scheduler_leader
    assert leader._wait_s() == 0.0
    leader._must_renew = True
    assert leader._wait_s() == MAX_ROUND_INTERVAL_S
    leader._must_renew = False
    cluster.clock.advance(LEASE_DURATION_S)
    assert leader._wait_s() == MAX_ROUND_INTERVAL_S


def test_unknown_jobs_are_read_in_turn_although_some_stay_unknown():
    """Guard against LOST: jobs that the feed missed are behind others that cannot be decoded."""
    cluster = SimulatedCluster(1)
    cluster.run(1.0)
    for number in range(2 * MAX_READS_PER_SNAPSHOT + 1):
        cluster.submit(f"{number:016x}")
    bad = [f"{number:016x}" for number in range(MAX_READS_PER_SNAPSHOT + 1)]
    cluster.table.commit(Txn((), tuple(Write(TABLE_ORDERS, each, b"{") for each in bad)))
    cluster.run(10.0)
    assert cluster.state(f"{2 * MAX_READS_PER_SNAPSHOT:016x}") == "completed"
