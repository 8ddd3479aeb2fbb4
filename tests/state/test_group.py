import threading
from concurrent.futures import ThreadPoolExecutor

import pytest

from gypsumplank.errors import (
    StateConflictError,
    StateOverloadError,
    StateUnavailableError,
)
from gypsumplank.state.group import GroupCommit
from gypsumplank.state.table import ABSENT, Check, MemoryTable, Txn, Write


class SlowTable(MemoryTable):
    """Block commits until released, and count them."""

    def __init__(self):
        super().__init__()
        self.release = threading.Event()
        self.entered = threading.Event()
        self.commits = 0
        self.fail = False

    def commit(self, txn):
        self.entered.set()
        assert self.release.wait(20)
        self.commits += 1
        if self.fail:
            raise StateUnavailableError
        return super().commit(txn)


def create(key):
    return Txn((Check("t", key, ABSENT),), (Write("t", key, b"x"),))


@pytest.fixture
def table():
    return SlowTable()


@pytest.fixture
def group(table):
    group = GroupCommit(table)
    group.start()
    yield group
    table.release.set()
    group.close()


def commit_all(table, group, txns):
    with ThreadPoolExecutor(len(txns) + 1) as pool:
        first = pool.submit(group.commit, create("first"))
        assert table.entered.wait(20)
        futs = [pool.submit(group.commit, txn) for txn in txns]
        while group._waiting.qsize() < len(txns):
            pass
        table.release.set()
        first.result()
        return [fut.exception() for fut in futs]


def test_waiting_transactions_share_a_commit(table, group):
    assert commit_all(table, group, [create(f"k{i}") for i in range(50)]) == [None] * 50
    assert table.commits == 2
    assert len(table.scan("t")) == 51


def test_conflict_fails_only_its_own_transaction(table, group):
    MemoryTable.commit(table, create("k7"))
    errors = commit_all(table, group, [create(f"k{i}") for i in range(20)])
    assert [type(exc) for exc in errors if exc] == [StateConflictError]
    assert isinstance(errors[7], StateConflictError)
    assert len(table.scan("t")) == 21


def test_transactions_on_the_same_row_are_committed_in_sequence(table, group):
    errors = commit_all(table, group, [create("same"), create("same")])
    assert sorted(type(exc).__name__ for exc in errors) == ["NoneType", "StateConflictError"]


def test_outage_fails_the_waiting_caller(table, group):
    table.fail = True
    with ThreadPoolExecutor(1) as pool:
        fut = pool.submit(group.commit, create("a"))
        table.release.set()
        assert isinstance(fut.exception(), StateUnavailableError)


def test_too_many_waiting_transactions_are_refused(table):
    group = GroupCommit(table, max_waiting=1)
    with ThreadPoolExecutor(1) as pool:
        waiting = pool.submit(group.commit, create("a"))
        while not group._waiting.qsize():
            pass
        with pytest.raises(StateOverloadError):
            group.commit(create("b"))
        group.start()
        table.release.set()
        assert waiting.result() > 0
        group.close()
