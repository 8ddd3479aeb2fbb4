import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from gypsumplank.coordination.burn import BUCKET_S, MAX_BUCKETS, BurnCounter, BurnWriter
from gypsumplank.errors import StateUnavailableError, StateUnknownError
from gypsumplank.protocol.burn import CompletedRequest, Result
from gypsumplank.protocol.exchange import EndpointResponse, Outcome, Refusal
from gypsumplank.protocol.record import Kind, Record
from gypsumplank.state.burn import BurnStore
from gypsumplank.state.clock import ManualClock
from gypsumplank.state.table import MemoryTable
from gypsumplank.state.view import build_view

OK = CompletedRequest("quotes", EndpointResponse(200, (), b""), 0.1)
FULL = CompletedRequest("quotes", Refusal("queue-full", Outcome.NOT_RUN, 503), 0.1)


def host(name, pool="quotes"):
    spec = {"address": "10.0.0.1:80", "pool": pool, "zone": "z", "rack": "r"}
    return Record(Kind.HOST, name, 2, spec)


def assignment(name, pool, state="serving"):
    return Record(Kind.ASSIGNMENT, name, 2, {"pool": pool, "state": state})


BASE = (
    Record(Kind.POOL, "quotes", 2),
    Record(Kind.POOL, "rounds", 2),
    Record(Kind.SERVICE, "quotes", 2, {"pool": "quotes"}),
    host("a"),
    host("b"),
)
VIEW = build_view(1, BASE)


class FailingTable(MemoryTable):
    """Fail commits before or after they take effect, and fail reads."""

    def __init__(self):
        super().__init__()
        self.unavailable = False
        self.loses_response = False
        self.reads_unavailable = False

    def scan(self, *args, **kwargs):
        if self.reads_unavailable:
            raise StateUnavailableError
        return super().scan(*args, **kwargs)

    def commit(self, txn):
        if self.unavailable:
            raise StateUnavailableError
        version = super().commit(txn)
        if self.loses_response:
            raise StateUnknownError
        return version


def total_on_time(rows):
    return sum(row.counts["quotes"].get(Result.ON_TIME, 0) for row in rows)


def make(table, name="entry-0.1", view=VIEW, clock=None):
    clock = clock or ManualClock(10_000.0)
    counter = BurnCounter(name, lambda: view, clock)
    return counter, BurnWriter(counter, BurnStore(table), clock), clock


def test_restart_keeps_written_counts_once_and_loses_unwritten_ones():
    table = MemoryTable()
    first, writer, clock = make(table, "entry-0.1")
    for _ in range(5):
        first.count(OK)
    writer.tick()
    first.count(OK)  # killed before its next write
    second, writer, _ = make(table, "entry-0.2", clock=clock)
    for _ in range(3):
        second.count(OK)
    writer.tick()
    writer.tick()
    assert total_on_time(BurnStore(table).read(0)) == 5 + 3


@pytest.mark.parametrize("fault", ["unavailable", "loses_response"])
def test_failed_write_is_retried_without_double_counting(fault):
    table = FailingTable()
    counter, writer, clock = make(table)
    counter.count(OK)
    setattr(table, fault, True)
    writer.tick()
    counter.count(OK)
    clock.advance(BUCKET_S)
    counter.count(OK)
    writer.tick()
    setattr(table, fault, False)
    writer.tick()
    assert total_on_time(BurnStore(table).read(0)) == 3


def test_memory_is_bounded_by_the_longest_window():
    table = FailingTable()
    table.unavailable = True
    counter, writer, clock = make(table)
    for _ in range(MAX_BUCKETS + 9):
        counter.count(OK)
        writer.tick()
        clock.advance(BUCKET_S)
    assert len(counter.rows()) == MAX_BUCKETS


def test_unchanged_bucket_is_not_written_again():
    counter, writer, clock = make(MemoryTable())
    counter.count(OK)
    writer.tick()
    assert counter.collect_dirty_rows() == ()
    clock.advance(BUCKET_S)
    counter.count(OK)
    assert [row.bucket for row in counter.collect_dirty_rows()] == [10_200]


def test_full_queue_counts_as_wave_during_maintenance_else_as_flood():
    view = build_view(2, (*BASE, assignment("a", "quotes", "draining")))
    counter, _, _ = make(MemoryTable(), view=view)
    counter.count(FULL)
    assert counter.rows()[0].counts == {"quotes": {Result.WAVE: 1}}
    counter, _, _ = make(MemoryTable())
    counter.count(FULL)
    assert counter.rows()[0].counts == {"quotes": {Result.FLOOD: 1}}


def test_second_view_records_an_advance_and_moved_hosts():
    counter, _, _ = make(MemoryTable())
    counter.record_view(VIEW)
    assert counter.rows() == ()
    moved = build_view(4, (*BASE, assignment("a", "rounds"), assignment("b", "quotes")))
    counter.record_view(moved)
    (row,) = counter.rows()
    assert row.moves == 1
    assert [(adv.after, adv.revision) for adv in row.advances] == [(1, 4)]


class BurnCounterMachine(RuleBasedStateMachine):
    """Restart daemons and fail the store at random; only unwritten counts may be lost."""

    def __init__(self):
        super().__init__()
        self.table = FailingTable()
        self.clock = ManualClock(10_000.0)
        self.start_count = 0
        self.counted = self.lost = 0
        self.unwritten = 0
        self.start()

    def start(self):
        self.start_count += 1
        name = f"entry-0.{self.start_count}"
        self.counter, self.writer, _ = make(self.table, name, clock=self.clock)
        self.unwritten = 0

    @rule(count=st.integers(1, 3))
    def count_requests(self, count):
        for _ in range(count):
            self.counter.count(OK)
        self.counted += count
        self.unwritten += count

    @rule()
    def write(self):
        self.writer.tick()
        if not self.table.unavailable:
            self.unwritten = 0

    @rule()
    def kill(self):
        self.lost += self.unwritten
        self.start()

    @rule(seconds=st.integers(1, BUCKET_S))
    def advance_time(self, seconds):
        self.clock.advance(seconds)

    @rule(unavailable=st.booleans(), loses_response=st.booleans())
    def set_faults(self, unavailable, loses_response):
        self.table.unavailable, self.table.loses_response = unavailable, loses_response

    @invariant()
    def stored_counts_are_exactly_those_written(self):
        kept = total_on_time(BurnStore(self.table).read(0))
        assert kept == self.counted - self.lost - self.unwritten


BurnCounterMachine.TestCase.settings = settings(max_examples=60, stateful_step_count=30)
TestBurnCounterMachine = BurnCounterMachine.TestCase
