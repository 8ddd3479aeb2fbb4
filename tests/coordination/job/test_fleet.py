from dataclasses import replace

from gypsumplank.coordination.job.scheduler import Scheduler
from gypsumplank.protocol.job import (
    JobDefinition,
    JobState,
    Resources,
    StepDefinition,
    StoredJob,
    TaskPhase,
)
from gypsumplank.protocol.queue import Manifest
from gypsumplank.protocol.worker import WorkerEntry, WorkerState
from gypsumplank.state.clock import ManualClock
from gypsumplank.state.job import LoadedJob
from tests.coordination.job.replay import QUEUE, SERVICE, WORKER_ROOM

LEASE_S = 6.0


def make_scheduler(clock):
    scheduler = Scheduler(clock, lambda: Manifest(1, (QUEUE,)), 1, LEASE_S)
    entry = WorkerEntry("w", SERVICE, "w:80", "z", WorkerState.READY, WORKER_ROOM, born=1)
    scheduler.fleet.apply_entries([entry])
    for instance in scheduler.instances.values():
        instance.last_contact_at = clock.monotonic()
    return scheduler, entry


def test_unconfirmed_start_is_not_repeated_when_its_worker_restarts():
    clock = ManualClock()
    clock.advance(10.0)
    scheduler, entry = make_scheduler(clock)
    order = JobDefinition("", (StepDefinition(1, Resources(1000, 100), 500),))
    stored = StoredJob("a" * 16, QUEUE.name, SERVICE, 0, order)
    job = scheduler.workload.add(LoadedJob(stored, JobState.QUEUED, 1, False, {}), 10.0)
    scheduler.plan()
    (task,) = job.tasks()
    assert (task.phase, task.run) == (TaskPhase.ASSIGNED, 1)
    task.sent_at = clock.monotonic()
    scheduler.fleet.apply_entries([replace(entry, born=2)])
    scheduler.plan()
    assert (task.phase, task.run, task.incarnation) == (TaskPhase.ASSIGNED, 1, 2)
    clock.advance(LEASE_S - 0.1)
    scheduler.plan()
    assert (task.phase, task.run) == (TaskPhase.ASSIGNED, 1)
    clock.advance(1.0)
    scheduler.plan()
    assert task.phase is TaskPhase.WAITING


def test_silent_draining_worker_without_entry_keeps_its_run_while_entries_are_incomplete():
    clock = ManualClock()
    clock.advance(10.0)
    scheduler, entry = make_scheduler(clock)
    order = JobDefinition("", (StepDefinition(1, Resources(1000, 100), 500),))
    stored = StoredJob("a" * 16, QUEUE.name, SERVICE, 0, order)
    job = scheduler.workload.add(LoadedJob(stored, JobState.QUEUED, 1, False, {}), 10.0)
    scheduler.plan()
    (task,) = job.tasks()
    scheduler.fleet.apply_entries([replace(entry, state=WorkerState.DRAINING, seq=1)])
    (instance,) = scheduler.instances.values()
    instance.missed_polls = 2
    instance.extend_leases(clock.monotonic(), LEASE_S)
    clock.advance(1.0)
    scheduler.fleet.apply_entries([], complete=False)
    scheduler.fleet.apply_entries([])
    assert (task.phase, task.run) == (TaskPhase.ASSIGNED, 1)


def test_ended_instances_are_forgotten_once_their_entries_are_gone():
    clock = ManualClock()
    scheduler, entry = make_scheduler(clock)
    fleet = scheduler.fleet
    for life in range(2, 50):
        entry = replace(entry, born=life, id=f"w{life}", machine=f"m{life % 3}")
        fleet.apply_entries([entry])
        fleet.end_incarnation(fleet.instances[entry.id])
        # The entry of the ended instance is still there.
        fleet.apply_entries([entry])
        assert not fleet.instances
        # Entries that are not complete do not show that it is gone.
        fleet.apply_entries([], complete=False)
        fleet.apply_entries([entry])
        assert not fleet.instances
    fleet.apply_entries([])
    assert not fleet._ended_instance_ids
