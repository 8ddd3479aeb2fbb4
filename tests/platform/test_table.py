"""Test the platform's row table and its in-memory variant against one contract."""

import contextlib
import math
import time

import pytest

from gypsumplank.errors import (
    CallError,
    StateConflictError,
    StateHistoryLostError,
    StateTooLargeError,
    StateUnavailableError,
    StateUnknownError,
)
from gypsumplank.platform.client import Response
from gypsumplank.platform.table import RowTable
from gypsumplank.state.clock import ClockRange
from gypsumplank.state.feed import MemoryFeedTable
from gypsumplank.state.job import JobStore, StoredJob
from gypsumplank.state.table import ABSENT, Check, Row, Txn, Write, scan_all
from standins.cluster import CHAIN_ORDER


@pytest.fixture(params=["memory", "rows"])
def table(request):
    if request.param == "memory":
        return MemoryFeedTable()
    return RowTable(request.getfixturevalue("client"), "fleet")


def put_txn(key, value, version=None):
    checks = () if version is None else (Check("t", key, version),)
    return Txn(checks, (Write("t", key, value),))


def test_written_row_is_read(table):
    version = table.commit(put_txn("a/b c", b"\x00\xff"))
    assert table.get("t", "a/b c") == Row("t", "a/b c", version, b"\x00\xff")
    assert table.get("t", "a/b") is None


def test_check_rejects_another_version(table):
    first = table.commit(put_txn("a", b"1", ABSENT))
    with pytest.raises(StateConflictError):
        table.commit(put_txn("a", b"2", ABSENT))
    assert table.commit(put_txn("a", b"2", first)) > first


def test_scan_reads_all_pages_of_a_prefix(table):
    for number in range(8):
        table.commit(put_txn(f"p/{number}", b"x"))
    table.commit(put_txn("q/0", b"x"))
    assert [row.key for row in scan_all(table, "t", "p/")] == [f"p/{n}" for n in range(8)]
    assert [row.key for row in table.scan("t", "p/", "p/3", 2)] == ["p/4", "p/5"]


def test_deleted_row_is_absent(table):
    table.commit(put_txn("a", b"1"))
    table.commit(put_txn("a", None))
    assert table.get("t", "a") is None


def test_feed_returns_changes_in_order(table):
    first = table.commit(put_txn("a", b"1"))
    table.commit(put_txn("b", b"2"))
    last = table.commit(put_txn("a", None))
    changes = table.changes("t", first, 0.0)
    assert [row.key for row in changes.rows] == ["b"]
    assert changes.deleted_keys == ("a",)
    assert changes.version == last


def test_lost_history_reports_the_newest_version(platform_server, client):
    platform, _ = platform_server
    table = RowTable(client, "fleet")
    table.commit(put_txn("a", b"1"))
    last = table.commit(put_txn("b", b"1"))
    platform.table.clear_history()
    with pytest.raises(StateHistoryLostError) as caught:
        table.changes("t", 1, 0.0)
    assert caught.value.newest == last


@pytest.mark.parametrize(
    ("fault", "error"),
    [
        ("503", StateUnavailableError),
        ("429", StateUnavailableError),
        ("reset", StateUnknownError),
        ("junk", StateUnknownError),
        ("500", StateUnknownError),
        ("403", StateTooLargeError),
    ],
)
def test_failed_commit_reports_whether_it_may_have_been_applied(
    platform_server, client, fault, error
):
    platform_server[0].faults.append(fault)
    with pytest.raises(error):
        RowTable(client, "fleet").commit(put_txn("a", b"1"))


@pytest.mark.parametrize("fault", ["503", "429", "reset", "junk", "500"])
def test_failed_read_raises_instead_of_returning_nothing(platform_server, client, fault):
    platform_server[0].faults.append(fault)
    with pytest.raises(StateUnavailableError):
        RowTable(client, "fleet").get("t", "a")


def test_refused_connection_means_not_applied():
    from gypsumplank.platform.client import Client

    with pytest.raises(StateUnavailableError):
        RowTable(Client("127.0.0.1:1", 1.0, 1), "fleet").commit(put_txn("a", b"1"))


def test_job_is_stored_once_and_cancelled_once(table):
    store = JobStore(table)
    job = StoredJob("a" * 16, "q", "desk", 0, CHAIN_ORDER)
    assert store.submit(job)
    assert not store.submit(job)
    assert store.pending("q") == ["a" * 16]
    assert store.cancel("a" * 16).value == "cancelled"
    assert store.cancel("a" * 16).value == "cancelled"
    assert store.pending("q") == []
    loaded, ended = store.load()
    assert [stored.cancelled for stored in loaded] == [True]
    assert ended == []


class SlowClient:
    """Answer with the store's clock as it is half-way through a call of `call_s` seconds."""

    def __init__(self):
        self.call_s = 0.0

    def call(self, method, path, body=None, extra_timeout_s=0.0, max_timeout_s=None):
        time.sleep(self.call_s / 2)
        reading_ms = int(time.monotonic() * 1000)
        time.sleep(self.call_s / 2)
        return Response(200, {"rows": [], "ver": 7, "now-ms": reading_ms}, {})


def assert_contains_present(clock_range):
    now_ms = time.monotonic() * 1000
    assert clock_range.earliest_ms - 1 <= now_ms <= clock_range.latest_ms + 2


@pytest.mark.parametrize("call", [lambda t: t.scan("t"), lambda t: t.commit(Txn())])
def test_clock_range_contains_the_stores_clock_after_a_slow_response(call):
    client = SlowClient()
    table = RowTable(client, "fleet")
    assert table.clock_range() == ClockRange()
    client.call_s = 0.2
    call(table)
    clock_range = table.clock_range()
    assert_contains_present(clock_range)
    assert clock_range.latest_ms - clock_range.earliest_ms >= 200


def test_call_that_waits_for_a_change_leaves_the_clock_range_as_it_is():
    client = SlowClient()
    table = RowTable(client, "fleet")
    table.changes("t", 1, 0.5)
    assert table.clock_range() == ClockRange()


class FixedClient:
    def __init__(self, status):
        self.status = status

    def call(self, method, path, body=None, extra_timeout_s=0.0, max_timeout_s=None):
        if not self.status:
            raise CallError("timed out", sent=True)
        return Response(self.status, {"rows": [], "ver": 7}, {})


@pytest.mark.parametrize("call", [lambda t: t.scan("t"), lambda t: t.commit(Txn())])
@pytest.mark.parametrize(("status", "failing"), [(0, True), (429, True), (503, True), (200, False)])
def test_table_is_failing_after_a_call_that_was_not_answered_or_turned_away(call, status, failing):
    table = RowTable(FixedClient(status), "fleet")
    assert not table.is_failing
    with contextlib.suppress(StateUnavailableError, StateUnknownError):
        call(table)
    assert table.is_failing == failing


def test_conflict_is_an_answer():
    table = RowTable(FixedClient(412), "fleet")
    table._is_failing = True
    with pytest.raises(StateConflictError):
        table.commit(Txn())
    assert not table.is_failing


class AnswerClient:
    def __init__(self, body, status=200):
        self.body = body
        self.status = status

    def call(self, *_, **__):
        return Response(self.status, self.body, {})


ROW = {"table": "t", "part": "fleet", "key": "k", "ver": 5, "value": "YQ=="}
PAGE = {"ver": 5, "now-ms": 7, "rows": [ROW], "has-more": False}
BAD_VALUES = [None, 10**400, math.inf, math.nan, -1, True, [], {}, [[]], "x"]


def test_page_is_decoded():
    table = RowTable(AnswerClient(PAGE), "fleet")
    assert table.get("t", "k") == Row("t", "k", 5, b"a")
    assert table.changes("t", 0, 0.0).version == 5


@pytest.mark.parametrize("body", [None, 7, [], "x", {}, {"rows": 7}, {"rows": [7]}, {"rows": [[]]}])
def test_malformed_answer_of_the_store_is_unavailable(body):
    table = RowTable(AnswerClient(body), "fleet")
    for read in (
        lambda: table.get("t", "k"),
        lambda: table.scan("t"),
        lambda: table.changes("t", 0, 0.0),
        lambda: table.newest("t"),
    ):
        with pytest.raises(StateUnavailableError):
            read()
    with pytest.raises(StateUnknownError):
        table.commit(put_txn("a", b"1"))


@pytest.mark.parametrize("field", ["table", "key", "ver", "value"])
@pytest.mark.parametrize("value", BAD_VALUES, ids=repr)
def test_malformed_row_of_the_store_is_unavailable(field, value):
    if isinstance(value, str) and field in ("table", "key"):
        return
    table = RowTable(AnswerClient({**PAGE, "rows": [ROW, {**ROW, field: value}]}), "fleet")
    with pytest.raises(StateUnavailableError):
        table.scan("t")
    with pytest.raises(StateUnavailableError):
        table.changes("t", 0, 0.0)


@pytest.mark.parametrize("value", BAD_VALUES, ids=repr)
def test_malformed_version_of_the_store_is_not_used(value):
    table = RowTable(AnswerClient({**PAGE, "ver": value}), "fleet")
    with pytest.raises(StateUnavailableError):
        table.changes("t", 0, 0.0)
    with pytest.raises(StateUnavailableError):
        table.newest("t")
    with pytest.raises(StateUnknownError):
        table.commit(put_txn("a", b"1"))


@pytest.mark.parametrize("value", BAD_VALUES, ids=repr)
def test_malformed_clock_of_the_store_is_not_used(value):
    table = RowTable(AnswerClient({**PAGE, "now-ms": value}), "fleet")
    assert table.get("t", "k").version == 5
    assert table.clock_range() == ClockRange()


@pytest.mark.parametrize("prefix", ["\ud7ff", "a\U0010ffff", "\U0010ffff", "\0"])
def test_prefix_at_the_end_of_a_range_of_characters_is_scanned(prefix):
    assert RowTable(AnswerClient(PAGE), "fleet").scan("t", prefix, limit=1)


def test_row_that_is_gone_is_unavailable():
    with pytest.raises(StateUnavailableError):
        RowTable(AnswerClient(PAGE, 410), "fleet").get("t", "k")
