import threading

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gypsumplank.errors import (
    StateBusyError,
    StateConflictError,
    StateTooLargeError,
    StateUnavailableError,
    StateUnknownError,
)
from gypsumplank.state.clock import ManualClock
from gypsumplank.state.table import ABSENT, MAX_ROW_BYTES, MemoryTable, Txn, Write
from gypsumplank.state.writer import OUTAGE_PAUSE_S, SLOW_S, BatchWriter, RowChange
from tests.faulty import FaultyTable

WAIT_S = 20.0


@pytest.fixture
def table():
    return FaultyTable(MemoryTable())


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def writer(table, clock):
    return BatchWriter(table, clock, lambda: 0.0, max_queued=600)


def put(key, value=b"v", version=ABSENT):
    return RowChange("t", key, version, value)


def results(futures):
    return [fut.exception(0) or "ok" for fut in futures]


def test_many_changes_share_one_transaction(table, writer):
    futures = [writer.submit(put(f"k{i}")) for i in range(300)]
    assert writer.flush() == 300
    assert table.commits == 1
    assert {fut.result(0) for fut in futures} == {table.get("t", "k0").version}


def test_conflict_is_found_by_reading_the_rows_of_a_small_batch(table, writer):
    table.commit(Txn((), (Write("t", "k7", b"other"),)))
    futures = [writer.submit(put(f"k{i}")) for i in range(20)]
    table.commits = 0
    writer.flush()
    assert table.commits == 2
    failed = [number for number, fut in enumerate(futures) if fut.exception(0)]
    assert failed == [7]


def test_conflict_is_isolated_where_rows_cannot_be_read(table, writer):
    table.commit(Txn((), (Write("t", "k7", b"other"),)))
    futures = [writer.submit(put(f"k{i}")) for i in range(20)]

    def out(name, key):
        raise StateUnavailableError("out")

    table.get = out
    writer.flush()
    assert [number for number, fut in enumerate(futures) if fut.exception(0)] == [7]


def test_two_changes_of_a_row_never_share_a_transaction(table, writer):
    futures = [writer.submit(put("a", b"1")), writer.submit(put("a", b"2"))]
    assert [writer.flush(), writer.flush()] == [1, 1]
    assert futures[0].result(0)
    assert isinstance(futures[1].exception(0), StateConflictError)
    assert table.get("t", "a").value == b"1"


@given(st.sets(st.integers(0, 40)), st.lists(st.sampled_from(["lost", "dropped"]), max_size=2))
def test_a_change_in_conflict_fails_alone(taken, script):
    table = FaultyTable(MemoryTable())
    table.table.commit(Txn((), tuple(Write("t", f"k{i}", b"other") for i in taken)))
    table.script = list(script)
    writer = BatchWriter(table, ManualClock(), lambda: 0.0)
    futures = [writer.submit(put(f"k{i}", b"mine")) for i in range(41)]
    writer.flush()
    for number, fut in enumerate(futures):
        mine = table.get("t", f"k{number}").value == b"mine"
        assert mine is (number not in taken)
        assert type(fut.exception(0)) is (type(None) if mine else StateConflictError)


@pytest.mark.parametrize(
    ("script", "stored", "error"),
    [
        (["lost"], True, None),
        (["dropped"], True, None),
        (["dropped", "lost"], True, None),
        (["lost", "lost", "lost"], True, None),
        (["lost", "out"], True, StateUnknownError),
        (["dropped", "out"], False, StateUnknownError),
        (["dropped", "dropped", "dropped"], False, StateUnknownError),
        (["out"], False, StateUnavailableError),
    ],
)
def test_fault_table(table, writer, script, stored, error):
    table.script = list(script)
    futures = [writer.submit(put("a")), writer.submit(put("b"))]
    writer.flush()
    assert (table.get("t", "a") is not None) is stored
    for fut in futures:
        assert type(fut.exception(0)) is (error or type(None))
    if error is None:
        assert futures[0].result(0) == table.get("t", "a").version


def test_lost_answer_to_a_delete_is_settled(table, writer):
    version = table.commit(Txn((), (Write("t", "a", b"1"),)))
    table.script = ["lost"]
    future = writer.submit(RowChange("t", "a", version, None))
    writer.flush()
    assert future.exception(0) is None
    assert table.get("t", "a") is None


def test_late_commit_cannot_undo_the_one_that_settled_it(table, writer):
    table.script = ["late"]
    future = writer.submit(put("a", b"1"))
    writer.flush()
    version = future.result(0)
    changed = writer.submit(put("a", b"2", version))
    writer.flush()
    table.land()
    assert table.get("t", "a").version == changed.result(0)
    assert table.get("t", "a").value == b"2"


def test_outage_refuses_at_once_and_then_tries_again(table, writer, clock):
    table.script = ["out"]
    writer.submit(put("a"))
    writer.flush()
    with pytest.raises(StateUnavailableError):
        writer.submit(put("a"))
    clock.advance(OUTAGE_PAUSE_S)
    future = writer.submit(put("a"))
    writer.flush()
    assert future.exception(0) is None


def test_queue_and_rows_are_bounded(writer):
    for number in range(600):
        writer.submit(put(f"k{number}"))
    with pytest.raises(StateBusyError):
        writer.submit(put("more"))
    with pytest.raises(StateTooLargeError):
        writer.submit(put("large", b"x" * (MAX_ROW_BYTES + 1)))


def test_cancelled_change_is_not_written(table, writer):
    future = writer.submit(put("a"))
    assert future.cancel()
    assert writer.flush() == 0
    assert table.get("t", "a") is None


def test_thread_groups_what_comes_during_a_commit(table, writer):
    table.gate = threading.Event()
    writer.start()
    first = writer.submit(put("first"))
    while not first.running():
        pass
    futures = [writer.submit(put(f"k{i}")) for i in range(200)]
    table.gate.set()
    for fut in futures:
        fut.result(WAIT_S)
    writer.stop()
    assert table.commits == 2


def test_slow_commit_refuses_what_comes(table, writer, clock):
    table.gate = threading.Event()
    writer.start()
    first = writer.submit(put("first"))
    while table.waiting == 0:
        pass
    clock.advance(SLOW_S + 0.1)
    with pytest.raises(StateUnavailableError):
        writer.submit(put("next"))
    table.gate.set()
    assert first.result(WAIT_S)
    writer.stop()
    assert writer.submit(put("next"))


def test_stop_commits_what_is_queued(table, writer):
    futures = [writer.submit(put(f"k{i}")) for i in range(10)]
    writer.start()
    writer.stop()
    assert results(futures) == ["ok"] * 10
