import threading

import pytest

from gypsumplank.coordination.job.dispatcher import WorkerDispatcher
from gypsumplank.coordination.job.instance import WorkerClock, WorkerInstance
from gypsumplank.coordination.job.scheduler import Scheduler
from gypsumplank.coordination.job.watch import PeriodicThread
from gypsumplank.errors import StateUnavailableError, WorkerUnknownError
from gypsumplank.protocol.job import JobState, StoredJob
from gypsumplank.protocol.worker import WorkerEntry, WorkerReport, WorkerState
from gypsumplank.state.clock import ManualClock, SystemClock
from gypsumplank.state.job import LoadedJob
from tests.coordination.job.cluster import CHAIN_ORDER, LEASE_S, MANIFEST, ROOM, SERVICE

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
    dispatcher.start_polling(WorkerInstance(ENTRY, 1, WorkerClock()))
    assert reported.wait(10.0)
    dispatcher.close()


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
