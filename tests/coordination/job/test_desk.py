import pytest

from gypsumplank.coordination.job import desk as desks
from gypsumplank.coordination.job.desk import JobDesk
from gypsumplank.errors import StateUnknownError
from gypsumplank.protocol.job import JobOrder, Room, StepOrder
from gypsumplank.protocol.queue import Queue
from gypsumplank.state.clock import ManualClock
from gypsumplank.state.job import JobStore
from gypsumplank.state.table import MemoryTable
from tests.faulty import FaultyTable

QUEUE = Queue("proofs", "h.example", "/p/", "desk")
ORDER = JobOrder("0.5", (StepOrder(1, Room(1000, 100), 500),))
JOB = "a" * 16


class Pause:
    """Let the clock pass instead of a wait."""

    def __init__(self, clock):
        self.clock = clock

    def wait(self, seconds):
        self.clock.advance(seconds)


@pytest.fixture
def table():
    return FaultyTable(MemoryTable())


@pytest.fixture
def desk(table):
    clock = ManualClock(100.0)
    made = JobDesk(JobStore(table), clock, lambda: None)
    made._pause = Pause(clock)
    return made


@pytest.mark.parametrize("fault", ["out", "dropped", "lost", "late"])
def test_a_job_is_stored_by_a_later_try_of_the_same_call(desk, table, fault):
    table.script = [fault, fault, ""]
    desk.submit(QUEUE, JOB, ORDER, 3.0)
    table.land()
    assert desk.state(JOB).value == "queued"
    assert len(table.scan("orders")) == 1


def test_tries_end_before_half_of_the_callers_time_is_over(desk, table):
    table.script = ["dropped"] * 1000
    with pytest.raises(StateUnknownError):
        desk.submit(QUEUE, JOB, ORDER, 3.0)
    assert desk._clock.now - 100.0 < 1.5
    assert table.commits < 3.0 / desks.MAX_RETRY_S


def test_no_try_begins_that_could_outlast_its_time(desk, table):
    def slow(txn):
        desk._clock.advance(1.2)
        raise StateUnknownError("timed out")

    table.commit = slow
    with pytest.raises(StateUnknownError):
        desk.submit(QUEUE, JOB, ORDER, 3.0)
    assert desk._clock.now - 100.0 < 1.5
