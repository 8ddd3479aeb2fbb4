from dataclasses import replace
from types import SimpleNamespace

import pytest

from gypsumplank.coordination.job import submission
from gypsumplank.coordination.job.submission import JobService
from gypsumplank.errors import (
    AccountLimitError,
    StateTooLargeError,
    StateUnavailableError,
    StateUnknownError,
)
from gypsumplank.protocol.job import (
    JobDefinition,
    Resources,
    StepDefinition,
    StepRecord,
    TaskPhase,
    TaskRecord,
)
from gypsumplank.protocol.queue import Queue
from gypsumplank.state.clock import ManualClock
from gypsumplank.state.job import JobStore
from gypsumplank.state.jobrow import step_write
from standins.faulty import ScriptedFaultTable
from standins.limit import MAX_ROW_BYTES, LimitedFeedTable

QUEUE = Queue("proofs", "h.example", "/p/", "desk")
SMALL = Resources(100, 10)
ORDER = JobDefinition("0.5", (StepDefinition(1, Resources(1000, 100), 500),))
JOB = "a" * 16


class ClockAdvancingPause:
    """Advance the clock instead of waiting."""

    def __init__(self, clock):
        self.clock = clock

    def wait(self, seconds):
        self.clock.advance(seconds)


@pytest.fixture
def table():
    return ScriptedFaultTable(LimitedFeedTable())


@pytest.fixture
def job_service(table):
    clock = ManualClock(100.0)
    service = JobService(JobStore(table), clock, lambda: None)
    service._pause = ClockAdvancingPause(clock)
    return service


@pytest.mark.parametrize("fault", ["out", "dropped", "lost", "late"])
def test_submit_retries_until_job_is_stored(job_service, table, fault):
    table.commit_faults = [fault, fault, ""]
    job_service.submit(QUEUE, JOB, ORDER, 3.0)
    table.apply_delayed()
    assert job_service.state(JOB).value == "queued"
    assert len(table.scan("orders")) == 1


def test_submit_stops_retrying_before_half_the_time_limit(job_service, table):
    table.commit_faults = ["dropped"] * 1000
    with pytest.raises(StateUnknownError):
        job_service.submit(QUEUE, JOB, ORDER, 3.0)
    assert job_service._clock.now - 100.0 < 1.5
    assert table.commits < 3.0 / submission.MAX_RETRY_DELAY_S


def test_submit_starts_no_attempt_that_could_exceed_its_budget(job_service, table):
    def slow(txn):
        job_service._clock.advance(1.2)
        raise StateUnknownError("timed out")

    table.commit = slow
    with pytest.raises(StateUnknownError):
        job_service.submit(QUEUE, JOB, ORDER, 3.0)
    assert job_service._clock.now - 100.0 < 1.5


@pytest.mark.parametrize("remaining_s", [0.35, 1.0, 3.0])
def test_caller_gets_an_answer_in_time_while_the_store_is_silent(job_service, table, remaining_s):
    def wait_for_response(txn):
        job_service._clock.advance(min(1.2, txn.timeout_s or 1.2))
        raise StateUnknownError("timed out")

    table.commit = wait_for_response
    with pytest.raises(StateUnknownError):
        job_service.submit(QUEUE, JOB, ORDER, remaining_s)
    assert job_service._clock.now - 100.0 <= submission.ANSWER_SHARE * remaining_s + 0.01


def test_look_before_a_rejection_counts_towards_the_time_of_the_caller(job_service, table):
    # Else a job whose look failed is answered after its caller has stopped waiting.
    def fail_slowly(*args):
        job_service._clock.advance(1.2)
        raise StateUnavailableError("timed out")

    def wait_for_response(txn):
        job_service._clock.advance(min(1.2, txn.timeout_s or 1.2))
        raise StateUnknownError("timed out")

    table.get, table.commit = fail_slowly, wait_for_response
    rejecting = SimpleNamespace(find_rejection=lambda *args: AccountLimitError("excess"))
    job_service._load = rejecting
    with pytest.raises(StateUnknownError):
        job_service.submit(QUEUE, JOB, ORDER, 1.5)
    assert job_service._clock.now - 100.0 <= 1.5


def test_counts_of_queues_that_are_gone_are_forgotten(job_service):
    for number in range(100):
        queue = Queue(f"q{number}", "h.example", "/p/", "desk")
        assert job_service.pending_count(queue) == 0
        job_service._clock.advance(submission.COUNT_MAX_AGE_S)
    assert len(job_service._pending_counts) <= 2


@pytest.mark.parametrize("tasks", [320, 100_000])
def test_job_whose_step_cannot_be_stored_is_refused_at_submission(job_service, table, tasks):
    order = JobDefinition("0.5", (*ORDER.steps, StepDefinition(tasks, SMALL, 500)))
    with pytest.raises(StateTooLargeError, match="step 1"):
        job_service.submit(QUEUE, JOB, order, 3.0)
    assert not table.scan("states")
    assert not table.commits


def test_step_row_of_a_job_that_is_accepted_can_be_stored(job_service, table):
    order = JobDefinition("0.5", (StepDefinition(312, SMALL, 500),))
    assert job_service.submit(QUEUE, JOB, order, 3.0)
    used = TaskRecord(
        TaskPhase.ASSIGNED,
        12,
        3,
        "worker-north-12345",
        1_700_000_000_000,
        "00000bb87a21d94b",
        ("worker-north-12345",) * 3,
        "machine-123456",
        1,
        1,
    )
    write = step_write("a.0.0", StepRecord((used,) * 312))
    assert len(write.value) <= MAX_ROW_BYTES


def test_row_limit_follows_the_settings(table):
    service = JobService(JobStore(table, 10_000), ManualClock(100.0), lambda: None)
    order = JobDefinition("0.5", (StepDefinition(100, SMALL, 500),))
    with pytest.raises(StateTooLargeError):
        service.submit(QUEUE, JOB, order, 3.0)
    order = replace(order, spec="x" * 4000, steps=ORDER.steps * 30)
    with pytest.raises(StateTooLargeError, match="job"):
        service.submit(QUEUE, JOB, order, 3.0)
