import threading
import time

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
from gypsumplank.state.writer import SLOW_COMMIT_S, UNAVAILABLE_BACKOFF_S, BatchWriter, RowChange
from standins.faulty import ScriptedFaultTable

WAIT_S = 20.0


@pytest.fixture
def table():
    return ScriptedFaultTable(MemoryTable())


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def writer(table, clock):
    return BatchWriter(table, clock, lambda: 0.0, max_queued=600)


def put(key, value=b"v", version=ABSENT):
    return RowChange("t", key, version, value)


def wait_until(condition):
    until = time.monotonic() + WAIT_S
    while not condition():
        assert time.monotonic() < until
        time.sleep(0.001)


def results(futures):
    return [fut.exception(0) or "ok" for fut in futures]


def test_queued_changes_share_one_transaction(table, writer):
    futures = [writer.submit(put(f"k{i}")) for i in range(300)]
    assert writer.flush() == 300
    assert table.commits == 1
    assert {fut.result(0) for fut in futures} == {table.get("t", "k0").version}


def test_conflict_in_a_small_batch_is_found_by_reading_its_rows(table, writer):
    table.commit(Txn((), (Write("t", "k7", b"other"),)))
    futures = [writer.submit(put(f"k{i}")) for i in range(20)]
    table.commits = 0
    writer.flush()
    assert table.commits == 2
    failed = [number for number, fut in enumerate(futures) if fut.exception(0)]
    assert failed == [7]


def test_conflict_is_isolated_if_rows_cannot_be_read(table, writer):
    table.commit(Txn((), (Write("t", "k7", b"other"),)))
    futures = [writer.submit(put(f"k{i}")) for i in range(20)]

    def unavailable(name, key):
        raise StateUnavailableError("out")

    table.get = unavailable
    writer.flush()
    assert [number for number, fut in enumerate(futures) if fut.exception(0)] == [7]


def test_changes_to_the_same_row_never_share_a_transaction(table, writer):
    futures = [writer.submit(put("a", b"1")), writer.submit(put("a", b"2"))]
    assert [writer.flush(), writer.flush()] == [1, 1]
    assert futures[0].result(0)
    assert isinstance(futures[1].exception(0), StateConflictError)
    assert table.get("t", "a").value == b"1"


@given(st.sets(st.integers(0, 40)), st.lists(st.sampled_from(["lost", "dropped"]), max_size=2))
def test_conflict_fails_only_its_own_change(conflicting, script):
    table = ScriptedFaultTable(MemoryTable())
    table.table.commit(Txn((), tuple(Write("t", f"k{i}", b"other") for i in conflicting)))
    table.commit_faults = list(script)
    writer = BatchWriter(table, ManualClock(), lambda: 0.0)
    futures = [writer.submit(put(f"k{i}", b"mine")) for i in range(41)]
    writer.flush()
    for number, fut in enumerate(futures):
        committed = table.get("t", f"k{number}").value == b"mine"
        assert committed is (number not in conflicting)
        assert type(fut.exception(0)) is (type(None) if committed else StateConflictError)


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
def test_result_of_each_sequence_of_commit_faults(table, writer, script, stored, error):
    table.commit_faults = list(script)
    futures = [writer.submit(put("a")), writer.submit(put("b"))]
    writer.flush()
    assert (table.get("t", "a") is not None) is stored
    for fut in futures:
        assert type(fut.exception(0)) is (error or type(None))
    if error is None:
        assert futures[0].result(0) == table.get("t", "a").version


def test_lost_response_to_a_delete_is_resolved(table, writer):
    version = table.commit(Txn((), (Write("t", "a", b"1"),)))
    table.commit_faults = ["lost"]
    future = writer.submit(RowChange("t", "a", version, None))
    writer.flush()
    assert future.exception(0) is None
    assert table.get("t", "a") is None


def test_delayed_commit_cannot_overwrite_a_later_change(table, writer):
    table.commit_faults = ["late"]
    future = writer.submit(put("a", b"1"))
    writer.flush()
    version = future.result(0)
    changed = writer.submit(put("a", b"2", version))
    writer.flush()
    table.apply_delayed()
    assert table.get("t", "a").version == changed.result(0)
    assert table.get("t", "a").value == b"2"


def test_outage_refuses_immediately_and_then_allows_a_retry(table, writer, clock):
    table.commit_faults = ["out"]
    writer.submit(put("a"))
    writer.flush()
    with pytest.raises(StateUnavailableError):
        writer.submit(put("a"))
    clock.advance(UNAVAILABLE_BACKOFF_S)
    future = writer.submit(put("a"))
    writer.flush()
    assert future.exception(0) is None


def test_queue_length_and_row_size_are_limited(writer):
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


def test_thread_batches_changes_queued_during_a_commit(table, writer):
    table.commit_gate = threading.Event()
    writer.start()
    first = writer.submit(put("first"))
    wait_until(first.running)
    futures = [writer.submit(put(f"k{i}")) for i in range(200)]
    table.commit_gate.set()
    for fut in futures:
        fut.result(WAIT_S)
    writer.stop()
    assert table.commits == 2


def test_slow_commit_refuses_new_changes(table, writer, clock):
    table.commit_gate = threading.Event()
    writer.start()
    first = writer.submit(put("first"))
    wait_until(lambda: table.blocked_commits)
    clock.advance(SLOW_COMMIT_S + 0.1)
    with pytest.raises(StateUnavailableError):
        writer.submit(put("next"))
    table.commit_gate.set()
    assert first.result(WAIT_S)
    writer.stop()
    assert writer.submit(put("next"))


def test_stop_commits_the_queued_changes(table, writer):
    futures = [writer.submit(put(f"k{i}")) for i in range(10)]
    writer.start()
    writer.stop()
    assert results(futures) == ["ok"] * 10
