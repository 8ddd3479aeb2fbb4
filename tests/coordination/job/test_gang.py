from dataclasses import replace

import pytest

from gypsumplank.coordination.job.crash import record_crash, record_loss
from gypsumplank.coordination.job.evidence import Proof
from gypsumplank.coordination.job.instance import WorkerClock, WorkerInstance
from gypsumplank.coordination.job.model import Job
from gypsumplank.coordination.job.observation import ReceivedReport
from gypsumplank.coordination.job.report import apply_report, requeue_task
from gypsumplank.protocol.job import (
    JobDefinition,
    Resources,
    StepDefinition,
    StoredJob,
    TaskPhase,
)
from gypsumplank.protocol.worker import (
    EndedTask,
    EndKind,
    RunningTask,
    WorkerEntry,
    WorkerReport,
    WorkerState,
)
from standins.cluster import SimulatedCluster

ROOM = Resources(8000, 8000)
NEED = Resources(6000, 100)
# When the runs were started, and when the gang's end was heard, monotonic seconds.
STARTED_AT, ENDED_AT = 10.0, 20.0


class Gang:
    """Hold a gang of two that runs on the workers `a` and `b`."""

    def __init__(self, run=1):
        step = StepDefinition(2, NEED, 500, gang=True)
        stored = StoredJob("a" * 16, "proofs", "desk", 0, JobDefinition("", (step,)))
        self.job = Job(stored, "desk")
        (self.step,) = self.job.steps.values()
        self.first, self.second = self.step.tasks
        self.a, self.b = (make_instance(name) for name in "ab")
        for task, instance in ((self.first, self.a), (self.second, self.b)):
            task.assign(instance.id, instance.incarnation, run)
            task.sent_at = task.start_confirmed_at = STARTED_AT
            task.last_reported_at = STARTED_AT + 1.0
            instance.tasks[task.name] = task

    def end(self, task, kind=EndKind.DONE):
        return EndedTask(1, task.name, task.run, kind)

    def end_first(self):
        """Hear from worker `a` that the gang is done."""
        report(self.a, ENDED_AT, ended=(self.end(self.first),))

    @property
    def phases(self):
        return [task.phase for task in self.step.tasks]


def make_instance(name):
    entry = WorkerEntry(name, "desk", f"{name}:80", "z", WorkerState.READY, ROOM, born=1)
    return WorkerInstance(entry, 1, WorkerClock(), last_contact_at=STARTED_AT)


def report(instance, answered_at, *, sent_at=None, running=(), ended=()):
    """Apply a report; return the runs that are not assigned."""
    received = ReceivedReport(
        WorkerReport(1, 0, tuple(running), tuple(ended)),
        answered_at if sent_at is None else sent_at,
        answered_at,
    )
    return list(apply_report(instance, received))


DONE = [TaskPhase.DONE, TaskPhase.DONE]


def test_worker_whose_member_ended_unseen_is_free_after_its_next_report():
    gang = Gang()
    gang.end_first()
    assert gang.phases == DONE
    assert not report(gang.b, ENDED_AT + 3.0)
    assert gang.b.free() == ROOM
    assert gang.phases == DONE


def test_member_holds_its_resources_until_its_worker_no_longer_lists_it():
    gang = Gang()
    running = [RunningTask(gang.second.name, 1, "", 99)]
    gang.end_first()
    assert gang.b.used() == NEED
    assert not report(gang.b, ENDED_AT + 0.1, sent_at=ENDED_AT - 0.1, running=running)
    assert gang.b.used() == NEED
    assert report(gang.b, ENDED_AT + 1.0, running=running) == running
    assert not report(gang.b, ENDED_AT + 2.0)
    assert not gang.b.is_busy


def test_member_that_is_reported_after_its_job_was_removed_is_known():
    gang = Gang()
    gang.end_first()
    gang.step.dirty = False
    assert not report(gang.b, ENDED_AT + 0.1, sent_at=STARTED_AT, ended=(gang.end(gang.second),))
    assert gang.b.free() == ROOM
    assert not gang.step.dirty


@pytest.mark.parametrize("kind", EndKind)
def test_done_gang_stays_done_whatever_end_its_other_member_reports(kind):
    gang = Gang()
    gang.end_first()
    report(gang.b, ENDED_AT + 1.0, ended=(gang.end(gang.second, kind),))
    assert gang.phases == DONE
    assert gang.b.free() == ROOM


def test_done_gang_stays_done_when_its_other_worker_crashes_or_its_lease_lapses():
    gang = Gang()
    gang.end_first()
    requeue_task(gang.b, gang.second, ENDED_AT + 8.0, Proof.LEASE_OVER)
    assert gang.phases == DONE
    assert not gang.b.is_busy


@pytest.mark.parametrize("first_is_queued", [True, False])
def test_done_gang_stays_done_if_a_worker_crashed_before_a_new_leader_came(first_is_queued):
    gang = Gang()
    for task in (gang.first, gang.second):
        task.sent_at = task.start_confirmed_at = 0.0
        task.unconfirmed_since = ENDED_AT
    restarted = replace(gang.b, tasks={gang.second.name: gang.second}, incarnation=2)
    if first_is_queued:
        requeue_task(restarted, gang.second, ENDED_AT, Proof.RESTARTED)
    gang.end_first()
    gang.second.stop_confirmed_at = ENDED_AT + 0.5
    report(restarted, ENDED_AT + 1.0)
    assert gang.phases == DONE
    assert not restarted.is_busy


def test_task_that_is_done_or_has_failed_is_not_queued_again():
    gang = Gang()
    for phase in (TaskPhase.DONE, TaskPhase.FAILED):
        gang.first.finish(phase)
        gang.first.requeue(ENDED_AT)
        assert gang.first.phase is phase


def test_member_of_a_done_gang_is_not_taken_for_the_cause_of_a_crash():
    gang, cause = Gang(), Gang().second
    gang.end_first()
    gang.b.tasks["cause"] = cause
    record_crash(gang.b.tasks.values(), ENDED_AT)
    assert record_loss(gang.b.tasks.values(), "b") == [cause]
    assert (gang.second.crashes, cause.crashes) == (0, 1)
    assert not gang.second.lost_on


def test_gang_that_lost_a_member_is_stopped_and_queued():
    gang = Gang(run=2)
    report(gang.a, ENDED_AT, ended=(gang.end(gang.first, EndKind.STOPPED),))
    assert gang.phases == [TaskPhase.WAITING, TaskPhase.ASSIGNED]
    assert not gang.second.should_run
    report(gang.b, ENDED_AT + 0.1, ended=(gang.end(gang.second, EndKind.GANG_MEMBER_ENDED),))
    assert gang.phases == [TaskPhase.WAITING, TaskPhase.WAITING]


@pytest.mark.parametrize("ended_s", [1.0, 1.5])
@pytest.mark.parametrize("crashed", ["w0", "w1"])
def test_gang_that_ended_without_a_leader_is_done_though_a_worker_crashed_then(ended_s, crashed):
    cluster, job = SimulatedCluster(1), "a" * 16
    workers, gang = cluster.simulated_workers, StepDefinition(2, Resources(5000, 100), gang=True)
    cluster.run(1.0)
    workers.gang_sizes[f"{job}.0.0"] = gang.tasks
    cluster.submit(job, (gang, StepDefinition(1, Resources(1000, 100), after=(0,))), spec="1")
    cluster.run(0.2)
    cluster.leader().suspended = True
    cluster.run(ended_s)
    workers.return_delay_s = 1.5
    workers.crash_and_return(crashed)
    cluster.run(10.0)
    assert cluster.state(job) == "completed"
    assert not cluster.violations()
