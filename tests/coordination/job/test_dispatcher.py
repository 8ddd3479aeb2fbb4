import threading
import time
from dataclasses import replace

import pytest

from gypsumplank.coordination.job.dispatcher import FIRST_POLL_SLOTS, WorkerDispatcher
from gypsumplank.coordination.job.instance import WorkerClock, WorkerInstance
from gypsumplank.coordination.job.scheduler import Scheduler
from gypsumplank.coordination.job.watch import PeriodicThread
from gypsumplank.errors import StateUnavailableError, WorkerUnknownError
from gypsumplank.protocol.job import JobState, StoredJob
from gypsumplank.protocol.worker import (
    EndedTask,
    EndKind,
    StartRefusal,
    WorkerEntry,
    WorkerReport,
    WorkerState,
)
from gypsumplank.state.clock import ManualClock, SystemClock
from gypsumplank.state.jobrow import LoadedJob
from standins.cluster import CHAIN_ORDER, LEASE_S, MANIFEST, ROOM, SERVICE

ENTRY = WorkerEntry("w", SERVICE, "w:80", "z", WorkerState.READY, ROOM, born=1, machine="m")


class FlakyWorkers:
    """Raise the given errors on the first polls."""

    def __init__(self, *failures):
        self.failures = list(failures)

    def poll(self, worker, token, until_ms, ack, wait_s):
        if self.failures:
            raise self.failures.pop(0)
        return WorkerReport(1, 5, (), ())


@pytest.mark.parametrize(
    "failure", [RuntimeError("bug"), WorkerUnknownError("lost"), KeyError("x")]
)
def test_polling_continues_after_any_error(failure):
    reported = threading.Event()
    dispatcher = WorkerDispatcher(
        FlakyWorkers(failure),
        SystemClock(),
        lambda work: work(),
        1,
        lambda: LEASE_S,
        lambda: True,
        lambda instance, report: reported.set(),
    )
    dispatcher.begin_term([WorkerInstance(ENTRY, 1, WorkerClock())])
    assert reported.wait(10.0)
    dispatcher.close()


class RecordingWorkers(FlakyWorkers):
    """Record the starts that are sent."""

    def __init__(self):
        super().__init__()
        self.started = []

    def start(self, worker, order):
        self.started.append(order)
        return 5


def start_once(is_held, lease_s=LEASE_S):
    """Start a task under a lease that `is_held` tells of; return the starts sent and the error."""
    workers, ended, failures = RecordingWorkers(), threading.Event(), []
    clock = ManualClock(100.0)

    def check_lease():
        held = is_held()
        clock.advance(lease_s)
        return held

    def handle_result(failure, at):
        failures.append(failure)
        ended.set()

    dispatcher = WorkerDispatcher(
        workers, clock, lambda work: work(), 1, lambda: lease_s, check_lease, None
    )
    instance = WorkerInstance(
        ENTRY, 1, WorkerClock(0, 100.0), last_contact_at=100.0, verified_at=100.0
    )
    dispatcher.start(instance, lambda until_ms: until_ms, handle_result)
    assert ended.wait(10.0)
    dispatcher.close()
    return workers.started, failures[0]


def test_nothing_is_started_once_the_leaders_lease_has_expired():
    started, failure = start_once(lambda: False)
    assert started == []
    assert failure.reason == StartRefusal.FENCED


def test_pause_after_the_check_of_the_leaders_lease_does_not_prolong_a_task_lease():
    started, failure = start_once(lambda: True)
    assert failure is None
    assert started == [int(LEASE_S * 1000)]


@pytest.mark.parametrize("failure", [StateUnavailableError("out"), RuntimeError("bug")])
def test_periodic_thread_continues_after_any_error(failure):
    recovered = threading.Event()

    class FailingOnce(PeriodicThread):
        def __init__(self):
            super().__init__("failing-once", 0.0)
            self.failures = [failure]

        def step(self):
            if self.failures:
                raise self.failures.pop()
            recovered.set()

    thread = FailingOnce()
    thread.start()
    assert recovered.wait(10.0)
    thread.close()


def test_start_on_idle_worker_is_not_treated_as_expired():
    scheduler, clock = make_scheduler()
    clock.advance(20.0)
    scheduler.plan()
    scheduler.plan()
    assert {task.run for task in scheduler.workload.jobs["a" * 16].assigned_tasks()} == {1}


def make_scheduler():
    """Return a scheduler with one worker whose last contact was long ago, and a job."""
    clock = ManualClock(100.0)
    scheduler = Scheduler(clock, lambda: MANIFEST, 1, LEASE_S)

    class IdleDispatcher:
        def start_polling(self, instance):
            instance.last_contact_at = clock.now

        stop_polling = start = stop = poll_now = lambda self, *args: None

    scheduler.use_dispatcher(IdleDispatcher())
    scheduler.fleet.apply_entries([ENTRY])
    stored = StoredJob("a" * 16, "proofs", SERVICE, 0, CHAIN_ORDER)
    scheduler.workload.add(LoadedJob(stored, JobState.QUEUED, 1, False, {}), clock.now)
    return scheduler, clock


def test_tasks_are_requeued_without_reports_even_if_no_poll_failed():
    scheduler, clock = make_scheduler()
    scheduler.plan()
    (instance,) = scheduler.instances.values()
    assert len(instance.tasks) == 2
    clock.advance(LEASE_S + 1.0)
    scheduler.plan()
    assert {task.run for task in scheduler.workload.jobs["a" * 16].assigned_tasks()} <= {2}


class CountingWorkers(FlakyWorkers):
    """Count the polls that run at once; each runs until `resume` is set."""

    def __init__(self):
        super().__init__()
        self.resume = threading.Event()
        self.lock = threading.Lock()
        self.running = self.most = self.threads_at_first_poll = 0

    def poll(self, worker, token, until_ms, ack, wait_s):
        with self.lock:
            self.threads_at_first_poll = self.threads_at_first_poll or sum(
                thread.name == "poller" for thread in threading.enumerate()
            )
            self.running += 1
            self.most = max(self.most, self.running)
        self.resume.wait(10.0)
        with self.lock:
            self.running -= 1
        return super().poll(worker, token, until_ms, ack, wait_s)


# A take-over on the large site: the polls of 255 workers kept the leader from its lease, and those
# that ran already held up the start of each further thread.
WORKERS = 100


def test_first_polls_after_a_take_over_run_a_few_at_a_time():
    workers, reported, all_reported = CountingWorkers(), set(), threading.Event()

    def handle_report(instance, report):
        reported.add(instance.id)
        if len(reported) == WORKERS:
            all_reported.set()

    dispatcher = WorkerDispatcher(
        workers, SystemClock(), lambda work: work(), 1, lambda: LEASE_S, lambda: True, handle_report
    )
    entries = [replace(ENTRY, id=f"w{number}") for number in range(WORKERS)]
    dispatcher.begin_term([WorkerInstance(entry, 1, WorkerClock()) for entry in entries])
    deadline = time.monotonic() + 10.0
    while workers.running < FIRST_POLL_SLOTS and time.monotonic() < deadline:
        time.sleep(0.01)
    most = workers.most
    workers.resume.set()
    assert all_reported.wait(10.0)
    dispatcher.close()
    assert most == FIRST_POLL_SLOTS
    assert workers.threads_at_first_poll >= WORKERS


class AcknowledgingWorkers:
    """List one end until it is acknowledged."""

    def __init__(self):
        self.acked = threading.Event()

    def poll(self, worker, token, until_ms, ack, wait_s):
        if ack >= 1:
            self.acked.set()
        ended = () if self.acked.is_set() else (EndedTask(1, "t", 1, EndKind.DONE),)
        return WorkerReport(1, 5, (), ended)


def test_last_end_of_a_worker_that_becomes_idle_is_acknowledged():
    workers = AcknowledgingWorkers()
    instance = WorkerInstance(ENTRY, 1, WorkerClock())

    def handle_report(instance, received):
        instance.last_contact_at = received.answered_at
        instance.record_forgotten_ends(received)
        instance.last_seen_end = instance.last_acked_end = 1
        instance.wake.set()

    dispatcher = WorkerDispatcher(
        workers, SystemClock(), lambda work: work(), 1, lambda: LEASE_S, lambda: True, handle_report
    )
    dispatcher.begin_term([instance])
    assert workers.acked.wait(10.0)
    dispatcher.close()


def start_on_idle_worker(workers):
    """Start a task on a worker that has not been heard from for long; return the error."""
    failures, ended = [], threading.Event()

    def handle_result(failure, at):
        failures.append(failure)
        ended.set()

    dispatcher = WorkerDispatcher(
        workers,
        ManualClock(100.0),
        lambda work: work(),
        1,
        lambda: LEASE_S,
        lambda: True,
        lambda instance, received: None,
    )
    instance = WorkerInstance(ENTRY, 1, WorkerClock(), last_contact_at=90.0, verified_at=90.0)
    dispatcher.start(instance, lambda until_ms: until_ms, handle_result)
    assert ended.wait(10.0)
    dispatcher.close()
    return failures[0]


def test_idle_worker_is_asked_for_its_instance_before_a_start():
    workers = RecordingWorkers()
    assert start_on_idle_worker(workers) is None
    assert len(workers.started) == 1


def test_start_is_not_sent_to_the_next_instance_of_an_idle_worker():
    """Guard against TWICE: a worker that restarted under its id takes starts for its last life."""
    workers = RecordingWorkers()
    workers.poll = lambda *_: WorkerReport(2, 5, (), ())
    assert start_on_idle_worker(workers).reason == StartRefusal.OTHER_INSTANCE
    assert not workers.started


@pytest.mark.parametrize("failure", [WorkerUnknownError("lost"), KeyError("x")])
def test_start_is_not_sent_to_an_idle_worker_that_does_not_answer(failure):
    workers = RecordingWorkers()
    workers.failures = [failure]
    assert start_on_idle_worker(workers) is not None
    assert not workers.started
