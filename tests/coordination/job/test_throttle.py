import threading
from dataclasses import replace

import pytest

from gypsumplank.coordination.job.instance import WorkerClock, WorkerInstance
from gypsumplank.coordination.job.model import Job
from gypsumplank.coordination.job.permit import PermitCache
from gypsumplank.coordination.job.placement import PendingStep, PlacementRound
from gypsumplank.coordination.job.throttle import RAISE_INTERVAL_S, speed_changes
from gypsumplank.errors import AdviceError, WorkerUnknownError
from gypsumplank.protocol.job import JobDefinition, Resources, StepDefinition, StoredJob
from gypsumplank.protocol.queue import AdvicePolicy
from gypsumplank.protocol.worker import WorkerEntry, WorkerState
from gypsumplank.state.clock import ManualClock
from standins.cluster import QUEUE, ROOM, SERVICE, long_running_step
from tests.coordination.job.accountsite import AccountSite

NOW = 100.0
ADVICE = AdvicePolicy(valid_ms=10_000)
SERVING_STEP = replace(long_running_step(1), tail_target_ms=100)
BEST_EFFORT_STEP = StepDefinition(1, Resources(1000, 100), fills=True)


def make_instance(name="w"):
    entry = WorkerEntry(name, SERVICE, "w:80", "z", WorkerState.READY, ROOM, born=1, machine=name)
    return WorkerInstance(entry, 1, WorkerClock(), last_contact_at=NOW)


@pytest.fixture
def running_tasks():
    """Return a worker instance, a latency-sensitive task and a best-effort task on it."""
    job = Job(
        StoredJob("a" * 16, "q", SERVICE, 0, JobDefinition("s", (SERVING_STEP, BEST_EFFORT_STEP))),
        SERVICE,
    )
    instance = make_instance()
    serving, best_effort = job.tasks()
    for task in (serving, best_effort):
        task.assign("w", 1, 1)
        task.last_reported_at = NOW
        instance.tasks[task.name] = task
    return instance, serving, best_effort


def test_best_effort_task_is_stopped_before_tail_target_is_missed(running_tasks):
    instance, serving, best_effort = running_tasks
    serving.load = 79
    assert not list(speed_changes([instance], NOW))
    serving.load = 81
    (change,) = speed_changes([instance], NOW)
    assert (change.task, change.percent) == (best_effort, 0)


def test_speed_limit_is_raised_step_by_step(running_tasks):
    instance, serving, best_effort = running_tasks
    best_effort.speed_limit_percent, best_effort.speed_limit_set_at = 0, NOW
    assert not list(speed_changes([instance], NOW + 1.0))
    instance.last_contact_at = NOW + 2.0
    assert [change.percent for change in speed_changes([instance], NOW + 2.0)] == [25]
    serving.load = 200
    assert not list(speed_changes([instance], NOW + 2.0))


def test_task_that_an_earlier_leader_may_have_paused_is_resumed(running_tasks):
    """Guard against a best-effort task that stays paused after a takeover."""
    instance, serving, best_effort = running_tasks
    # As restored from rows: this leader sent no start, and its first report confirms the run.
    best_effort.start_confirmed_at = NOW
    assert not list(speed_changes([instance], NOW + 1.0))
    instance.last_contact_at = NOW + 2.0
    assert [change.percent for change in speed_changes([instance], NOW + 2.0)] == [25]
    best_effort.sent_to = instance.incarnation
    assert not list(speed_changes([instance], NOW + 2.0))


@pytest.mark.parametrize("failure", [WorkerUnknownError("timed out"), None])
def test_lost_answer_to_a_pause_does_not_leave_a_task_paused(running_tasks, failure):
    """Guard against a pause that the worker executed although the call failed."""
    instance, serving, best_effort = running_tasks
    best_effort.sent_to = instance.incarnation
    calls = []
    site = AccountSite(())
    site.set_speed_limit = lambda _instance, _name, _run, percent, on_result: calls.append(
        (percent, on_result)
    )
    sender = site.scheduler.commands
    serving.load = 200
    sender.send([instance], lambda: False)
    ((percent, on_result),) = calls
    assert percent == 0
    on_result(failure, NOW)
    serving.load = 0
    site.clock.advance(RAISE_INTERVAL_S)
    instance.last_contact_at = site.clock.now
    sender.send([instance], lambda: False)
    assert [percent for percent, _ in calls] == [0, 25]


class FakeAdvisor:
    def __init__(self, *answers):
        self.answers = list(answers)
        self.requests = []

    def request_permits(self, step, workers):
        self.requests.append((step, workers))
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


def request_permits(permits, done, clock):
    assert permits.get("s", ["w", "v"], ADVICE) == {}
    assert done.wait(5.0)
    done.clear()
    clock.advance(1.0)


def make_permits(advisor):
    clock, done = ManualClock(NOW), threading.Event()

    def post(work):
        work()
        done.set()

    return PermitCache(advisor, clock, post), clock, done


def test_permits_are_requested_once_per_validity_period():
    advisor = FakeAdvisor({"w": "t1"}, {"w": "t2"})
    permits, clock, done = make_permits(advisor)
    request_permits(permits, done, clock)
    assert permits.get("s", ["w", "v"], ADVICE) == {"w": "t1"}
    clock.advance(8.0)
    request_permits(permits, done, clock)
    assert permits.get("s", ["w", "v"], ADVICE) == {"w": "t2"}
    assert len(advisor.requests) == 2


def test_failed_permit_request_is_retried():
    permits, clock, done = make_permits(FakeAdvisor(AdviceError("out"), {"w": "t"}))
    request_permits(permits, done, clock)
    request_permits(permits, done, clock)
    assert permits.get("s", ["w"], ADVICE) == {"w": "t"}


def test_only_workers_with_permit_get_tasks():
    order = JobDefinition("s", (StepDefinition(2, Resources(1000, 100)),))
    job = Job(StoredJob("a" * 16, "q", SERVICE, 0, order), SERVICE)
    (step,) = job.steps.values()
    instances = [make_instance("w"), make_instance("v")]
    pending = PendingStep(job, step, tuple(step.tasks), QUEUE, {"v": "t"})
    assert {instance.instance.id for instance in PlacementRound(instances, NOW).place(pending)} == {
        "v"
    }
    pending = replace(pending, permits={})
    assert PlacementRound(instances, NOW).place(pending) == []


def test_permits_of_steps_that_are_over_are_forgotten():
    steps = 200
    advisor = FakeAdvisor(*({"w": "t"} for _ in range(steps)))
    permits, clock, done = make_permits(advisor)
    for number in range(steps):
        permits.get(f"s{number}", ["w"], ADVICE)
        assert done.wait(5.0)
        done.clear()
        clock.advance(1.0)
        assert permits.get(f"s{number}", ["w"], ADVICE) == {"w": "t"}
    # Permits are used for 8 s, and a second may pass until they are dropped.
    assert len(permits._steps) <= 10
    assert len(advisor.requests) == steps
