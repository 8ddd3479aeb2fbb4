"""Test every implementation of the table interface against the same requirements."""

import threading

import pytest

from gypsumplank.errors import StateConflictError, StateTooLargeError
from gypsumplank.state.table import (
    ABSENT,
    MAX_ROW_BYTES,
    Check,
    MemoryTable,
    Row,
    Txn,
    Write,
    scan_all,
)
from gypsumplank.transport.store import HttpTable, PlatformClient
from standins.platform import make_platform


@pytest.fixture(params=["memory", "http"])
def table(request):
    if request.param == "memory":
        yield MemoryTable()
        return
    server, _ = make_platform("127.0.0.1:0")
    thread = threading.Thread(target=server.serve_forever, kwargs={"poll_interval": 0.01})
    thread.start()
    client = PlatformClient(f"127.0.0.1:{server.server_address[1]}", 5.0)
    yield HttpTable(client)
    client.close()
    server.shutdown()
    server.server_close()


def put(key, value, version=None):
    checks = () if version is None else (Check("t", key, version),)
    return Txn(checks, (Write("t", key, value),))


def test_written_row_is_read_back(table):
    version = table.commit(put("a/b c", b"\x00\xff"))
    assert table.get("t", "a/b c") == Row("t", "a/b c", version, b"\x00\xff")
    assert table.get("t", "other") is None


def test_check_of_another_version_conflicts(table):
    first = table.commit(put("a", b"1", ABSENT))
    with pytest.raises(StateConflictError):
        table.commit(put("a", b"2", ABSENT))
    assert table.commit(put("a", b"2", first)) > first
    with pytest.raises(StateConflictError):
        table.commit(put("a", b"3", first))
    assert table.get("t", "a").value == b"2"


def test_conflict_writes_nothing(table):
    txn = Txn((Check("t", "a", 7),), (Write("t", "b", b"1"),))
    with pytest.raises(StateConflictError):
        table.commit(txn)
    assert table.get("t", "b") is None


def test_deleted_row_is_absent(table):
    table.commit(put("a", b"1"))
    table.commit(put("a", None))
    assert table.get("t", "a") is None
    table.commit(put("a", b"2", ABSENT))


def test_scan_is_ordered_paged_and_filtered_by_prefix(table):
    table.commit(Txn((), tuple(Write("t", f"k{i:04}", b"x") for i in range(900))))
    table.commit(Txn((), tuple(Write("t", f"k{i:04}", b"x") for i in range(900, 1500))))
    table.commit(Txn((), (Write("t", "z", b"x"), Write("other", "k", b"x"))))
    assert [row.key for row in table.scan("t", "k", "k0001", 2)] == ["k0002", "k0003"]
    assert len(scan_all(table, "t", "k")) == 1500
    assert len(scan_all(table, "t")) == 1501


def test_too_large_transaction_is_refused(table):
    with pytest.raises(StateTooLargeError):
        table.commit(put("a", b"x" * (MAX_ROW_BYTES + 1)))
    with pytest.raises(StateTooLargeError):
        table.commit(Txn((), tuple(Write("t", str(i), b"") for i in range(1001))))
