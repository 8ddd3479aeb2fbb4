from dataclasses import replace

from gypsumplank.coordination.job.observation import ReceivedReport
from gypsumplank.coordination.job.scheduler import Scheduler
from gypsumplank.protocol.job import (
    JobDefinition,
    JobState,
    Resources,
    StepDefinition,
    StoredJob,
    TaskPhase,
)
from gypsumplank.protocol.queue import Machine, MachineState
from gypsumplank.protocol.worker import (
    EndedTask,
    EndKind,
    RunningTask,
    WorkerEntry,
    WorkerReport,
    WorkerState,
)
from gypsumplank.state.clock import ManualClock
from gypsumplank.state.jobrow import LoadedJob
from tests.coordination.job.replay import MANIFEST, QUEUE, SERVICE, WORKER_ROOM

LEASE_S = 6.0


ORDER = JobDefinition("", (StepDefinition(1, Resources(1000, 100), 500),))


class RecordingDispatcher:
    """Record the results that the scheduler waits for."""

    def __init__(self):
        self.start_results = []
        self.stopped = []

    def start(self, instance, make_order, on_result):
        self.start_results.append(on_result)

    def stop(self, instance, name, run, on_result):
        self.stopped.append((name, run))

    def poll_now(self, instance):
        """Ignore the request; the test reports."""

    def start_polling(self, instance):
        """Poll nothing; the test reports."""

    def stop_polling(self, instance):
        instance.detached = True


def make_scheduler(clock, machine=""):
    scheduler = Scheduler(clock, lambda: MANIFEST, 1, LEASE_S)
    entry = WorkerEntry(
        "w", SERVICE, "w:80", "z", WorkerState.READY, WORKER_ROOM, machine=machine, born=1
    )
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


def start_task(scheduler, clock):
    """Start a task on the only worker, which confirms the start; return the task."""
    scheduler.use_dispatcher(RecordingDispatcher())
    stored = StoredJob("a" * 16, QUEUE.name, SERVICE, 0, ORDER)
    loaded = LoadedJob(stored, JobState.QUEUED, 1, False, {})
    job = scheduler.workload.add(loaded, clock.monotonic())
    scheduler.plan()
    (task,) = job.tasks()
    for step in job.steps.values():
        step.dirty = False
    scheduler.dispatch()
    (on_result,) = scheduler.commands.dispatcher.start_results
    clock.advance(0.01)
    on_result(None, clock.monotonic())
    return task


def report(scheduler, clock, received):
    (instance,) = scheduler.instances.values()
    sent_at = clock.monotonic()
    clock.advance(0.01)
    scheduler.handle_report(instance, ReceivedReport(received, sent_at, clock.monotonic()))
    scheduler.plan()


def mark_stored(scheduler):
    for job in scheduler.workload.jobs.values():
        for step in job.steps.values():
            step.dirty = False


def test_ends_are_acknowledged_after_a_start_given_up_in_the_same_round_is_stored():
    """Guard against an end that is forgotten before the changes of its round are stored."""
    clock = ManualClock()
    clock.advance(10.0)
    scheduler, entry = make_scheduler(clock)
    task = start_task(scheduler, clock)
    end = EndedTask(1, task.name, 1, EndKind.DONE, "")
    other = StoredJob("b" * 16, QUEUE.name, SERVICE, 0, ORDER)
    scheduler.workload.add(LoadedJob(other, JobState.QUEUED, 1, False, {}), clock.monotonic())
    report(scheduler, clock, WorkerReport(entry.born, 0, (), (end,)))
    mark_stored(scheduler)
    scheduler.workload.cancel(other.id)
    (instance,) = scheduler.instances.values()
    scheduler.dispatch()
    assert instance.last_acked_end == 0
    mark_stored(scheduler)
    scheduler.dispatch()
    assert instance.last_acked_end == 1


def test_start_confirmed_by_the_next_instance_is_not_repeated():
    """Guard against TWICE: an idle worker restarts under its id and executes a start."""
    clock = ManualClock(10.0)
    scheduler, _ = make_scheduler(clock)
    task = start_task(scheduler, clock)
    report(scheduler, clock, WorkerReport(2, 500, (RunningTask(task.name, 1),), ()))
    assert (task.phase, task.run, task.incarnation) == (TaskPhase.ASSIGNED, 1, 2)
    report(scheduler, clock, WorkerReport(2, 510, (RunningTask(task.name, 1),), ()))
    assert (task.phase, task.run, task.incarnation) == (TaskPhase.ASSIGNED, 1, 2)
    assert not scheduler.commands.dispatcher.stopped


def test_run_that_the_crashed_instance_reported_is_queued_again_at_once():
    clock = ManualClock(10.0)
    scheduler, _ = make_scheduler(clock)
    task = start_task(scheduler, clock)
    report(scheduler, clock, WorkerReport(1, 500, (RunningTask(task.name, 1),), ()))
    (instance,) = scheduler.instances.values()
    received = ReceivedReport(WorkerReport(2, 5, (), ()), clock.monotonic(), clock.monotonic())
    scheduler.handle_report(instance, received)
    assert task.phase is TaskPhase.WAITING


def test_stop_confirmed_by_the_last_instance_is_sent_to_the_next_one():
    """Guard against TWICE: a restarted worker knows nothing of the starts it was to refuse."""
    clock = ManualClock(10.0)
    scheduler, entry = make_scheduler(clock)
    task = start_task(scheduler, clock)
    task.start_confirmed_at, task.unconfirmed_since = 0.0, clock.monotonic()
    task.stop_sent_at = task.stop_confirmed_at = clock.monotonic()
    clock.advance(0.01)
    scheduler.fleet.apply_entries([replace(entry, born=2)])
    report(scheduler, clock, WorkerReport(2, 500, (), ()))
    assert (task.phase, task.run, task.incarnation) == (TaskPhase.ASSIGNED, 1, 2)
    scheduler.dispatch()
    assert scheduler.commands.dispatcher.stopped == [(task.name, 1)]


def test_draining_worker_that_answers_keeps_its_run_when_its_entry_vanishes():
    """Guard against TWICE: entries expire while the store is down for the workers."""
    clock = ManualClock(10.0)
    scheduler, entry = make_scheduler(clock)
    task = start_task(scheduler, clock)
    scheduler.fleet.apply_entries([replace(entry, state=WorkerState.DRAINING, seq=1)])
    running = WorkerReport(1, 500, (RunningTask(task.name, 1),), ())
    report(scheduler, clock, running)
    clock.advance(0.5)
    scheduler.fleet.apply_entries([])
    report(scheduler, clock, running)
    assert (task.phase, task.run) == (TaskPhase.ASSIGNED, 1)
    (instance,) = scheduler.instances.values()
    instance.missed_polls = 2
    scheduler.fleet.apply_entries([])
    assert (task.phase, task.run) == (TaskPhase.ASSIGNED, 1)


def test_runs_of_a_draining_worker_that_removed_its_entry_and_is_silent_are_queued_again():
    clock = ManualClock(10.0)
    scheduler, entry = make_scheduler(clock)
    task = start_task(scheduler, clock)
    scheduler.fleet.apply_entries([replace(entry, state=WorkerState.DRAINING, seq=1)])
    clock.advance(0.5)
    (instance,) = scheduler.instances.values()
    instance.missed_polls = 1
    scheduler.fleet.apply_entries([])
    assert (task.phase, task.run) == (TaskPhase.ASSIGNED, 1)
    instance.missed_polls = 2
    scheduler.fleet.apply_entries([])
    assert task.phase is TaskPhase.WAITING


def test_silent_draining_worker_keeps_its_run_if_its_entry_may_have_expired():
    """Guard against TWICE: an entry that was read late is older than it looks."""
    clock = ManualClock(10.0)
    scheduler, entry = make_scheduler(clock)
    task = start_task(scheduler, clock)
    clock.advance(2.0)
    scheduler.fleet.apply_entries([replace(entry, state=WorkerState.DRAINING, seq=1)])
    (instance,) = scheduler.instances.values()
    instance.missed_polls = 2
    clock.advance(2.5)
    scheduler.fleet.apply_entries([])
    assert (task.phase, task.run) == (TaskPhase.ASSIGNED, 1)


def test_silent_worker_is_not_replaced_by_an_entry_that_answers_nothing():
    """Guard against TWICE: any writer can leave an entry that names another worker's machine."""
    clock = ManualClock(10.0)
    scheduler, entry = make_scheduler(clock, machine="m")
    task = start_task(scheduler, clock)
    (instance,) = scheduler.instances.values()
    instance.missed_polls = 2
    other = replace(entry, id="odd", born=2, service="none")
    for _ in range(3):
        scheduler.fleet.apply_entries([entry, other])
    assert (task.phase, task.run) == (TaskPhase.ASSIGNED, 1)
    clock.advance(0.1)
    scheduler.instances["odd"].last_contact_at = clock.monotonic()
    scheduler.fleet.apply_entries([entry, other])
    assert task.phase is TaskPhase.WAITING


def test_ended_instances_are_forgotten_once_their_entries_are_gone():
    clock = ManualClock()
    scheduler, entry = make_scheduler(clock)
    fleet = scheduler.fleet
    for life in range(2, 50):
        entry = replace(entry, born=life, id=f"w{life}", machine=f"m{life % 3}")
        fleet.apply_entries([entry])
        fleet.instances[entry.id].last_contact_at = clock.now + life
        down = Machine(entry.machine, SERVICE, MachineState.DOWN, "z", "")
        fleet.end_down({entry.machine: down}, clock.now + life + 0.1, clock.now + life + 0.2)
        # The entry of the ended instance is still there.
        fleet.apply_entries([entry])
        assert not fleet.instances
        # Entries that are not complete do not show that it is gone.
        fleet.apply_entries([], complete=False)
        fleet.apply_entries([entry])
        assert not fleet.instances
    fleet.apply_entries([])
    assert not fleet._ended_instance_ids


def test_report_requested_before_a_start_was_confirmed_proves_nothing():
    clock = ManualClock(10.0)
    scheduler, _ = make_scheduler(clock)
    requested_at = clock.monotonic()
    task = start_task(scheduler, clock)
    clock.advance(0.2)
    (instance,) = scheduler.instances.values()
    received = ReceivedReport(WorkerReport(1, 500, (), ()), requested_at, clock.monotonic())
    scheduler.handle_report(instance, received)
    assert (task.phase, task.run) == (TaskPhase.ASSIGNED, 1)


def test_report_requested_before_a_stop_was_confirmed_proves_nothing():
    clock = ManualClock(10.0)
    scheduler, _ = make_scheduler(clock)
    task = start_task(scheduler, clock)
    requested_at = clock.monotonic()
    clock.advance(0.1)
    task.start_confirmed_at, task.unconfirmed_since = 0.0, clock.monotonic()
    task.stop_confirmed_at = clock.monotonic()
    (instance,) = scheduler.instances.values()
    received = ReceivedReport(WorkerReport(1, 500, (), ()), requested_at, clock.monotonic())
    scheduler.handle_report(instance, received)
    assert (task.phase, task.run) == (TaskPhase.ASSIGNED, 1)


def test_stop_whose_answer_came_after_the_restart_is_sent_to_the_next_instance():
    """Guard against TWICE: the instance that confirmed the stop is gone."""
    clock = ManualClock(10.0)
    scheduler, entry = make_scheduler(clock)
    task = start_task(scheduler, clock)
    results = []
    scheduler.commands.dispatcher.stop = lambda instance, name, run, on_result: results.append(
        on_result
    )
    task.start_confirmed_at, task.unconfirmed_since = 0.0, clock.monotonic()
    clock.advance(0.01)
    report(scheduler, clock, WorkerReport(1, 400, (), ()))
    scheduler.dispatch()
    answered_at = clock.monotonic()
    clock.advance(0.01)
    scheduler.fleet.apply_entries([replace(entry, born=2)])
    results[0](None, answered_at)
    report(scheduler, clock, WorkerReport(2, 10, (), ()))
    assert (task.phase, task.run, task.incarnation) == (TaskPhase.ASSIGNED, 1, 2)


def test_tasks_of_two_earlier_instances_go_over_to_one():
    """Guard against lost tasks: a take-over reads a stale entry, and the worker has restarted."""
    clock = ManualClock(10.0)
    scheduler, entry = make_scheduler(clock)
    first = start_task(scheduler, clock)
    stored = StoredJob("b" * 16, QUEUE.name, SERVICE, 0, ORDER)
    job = scheduler.workload.add(LoadedJob(stored, JobState.QUEUED, 1, False, {}), 10.0)
    (second,) = job.tasks()
    second.assign("w", 2, 1)
    scheduler.instances["w"].tasks.clear()
    scheduler.fleet.restore([first, second], clock.monotonic())
    assert set(scheduler.instances) == {"w", "w@2"}
    scheduler.fleet.apply_entries([replace(entry, born=3, seq=1)])
    assert set(scheduler.instances["w"].tasks) == {first.name, second.name}


def test_silent_worker_is_not_replaced_by_one_that_answered_before_it_only():
    """Guard against TWICE: clocks jump, so that a later worker may have the earlier start time."""
    clock = ManualClock(10.0)
    scheduler, entry = make_scheduler(clock, machine="m")
    former = replace(entry, id="former", born=5)
    scheduler.fleet.apply_entries([entry, former])
    scheduler.instances["former"].last_contact_at = clock.monotonic()
    clock.advance(4.0)
    task = start_task(scheduler, clock)
    instance = scheduler.instances["w"]
    running = WorkerReport(1, 500, (RunningTask(task.name, 1),), ())
    at = clock.monotonic()
    scheduler.handle_report(instance, ReceivedReport(running, at, at))
    clock.advance(3.1)
    instance.missed_polls = 2
    scheduler.fleet.apply_entries([entry, former])
    assert (task.phase, task.run) == (TaskPhase.ASSIGNED, 1)
