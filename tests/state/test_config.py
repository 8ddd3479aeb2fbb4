from concurrent.futures import ThreadPoolExecutor

import pytest

from gypsumplank.errors import (
    RevisionConflictError,
    RevisionReversedError,
    StateUnavailableError,
    StateUnknownError,
)
from gypsumplank.protocol.record import Kind, Record
from gypsumplank.state.clock import ManualClock
from gypsumplank.state.config import Change, ConfigStore
from gypsumplank.state.table import MemoryTable
from gypsumplank.state.view import View, ViewHolder

POOL = Record(Kind.POOL, "quotes", 1, {"min_in_service": 2})


class LosingTable(MemoryTable):
    """Lose the answer of a commit after it took effect."""

    def __init__(self, losses):
        super().__init__()
        self.losses = losses

    def commit(self, txn):
        version = super().commit(txn)
        if self.losses:
            self.losses -= 1
            raise StateUnknownError
        return version


def test_change_comes_back_in_view():
    store = ConfigStore(MemoryTable(), ManualClock())
    assert store.accept(Change("op-1", (POOL,))) == 1
    view = store.refresh(View())
    assert view.revision == 1
    assert view.pools["quotes"].budget.min_in_service == 2


def test_repeat_is_accepted_once():
    store = ConfigStore(MemoryTable(), ManualClock())
    assert store.accept(Change("op-1", (POOL,))) == 1
    assert store.accept(Change("op-1", (POOL,))) == 1
    assert store.head()[0].revision == 1


def test_lost_answer_is_settled():
    store = ConfigStore(LosingTable(1), ManualClock())
    assert store.accept(Change("op-1", (POOL,))) == 1
    assert store.head()[0].revision == 1


def test_racing_operator_refused():
    store = ConfigStore(MemoryTable(), ManualClock())
    store.accept(Change("op-1", (POOL,)))
    with pytest.raises(RevisionConflictError):
        store.accept(Change("op-2", (POOL,), if_revision=0))


def test_revision_never_reverts():
    holder = ViewHolder()
    holder.advance(View(3))
    with pytest.raises(RevisionReversedError):
        holder.advance(View(2))
    assert holder.current.revision == 3


def test_future_schema_keeps_last_known():
    store = ConfigStore(MemoryTable(), ManualClock())
    store.accept(Change("op-1", (POOL,)))
    view = store.refresh(View())
    store.accept(Change("op-2", (Record(Kind.POOL, "quotes", 9, {"x": 1}),)))
    newer = store.refresh(view)
    assert newer.unreadable == ("pool/quotes",)
    assert newer.pools["quotes"].budget.min_in_service == 2


class ScriptedTable(MemoryTable):
    """Fail calls by a script: each step names a call and what happens to it."""

    def __init__(self, *script):
        super().__init__()
        self.script = list(script)
        self.delayed = []

    def _fault(self, call):
        return self.script.pop(0)[1] if self.script and self.script[0][0] == call else None

    def get(self, table, key):
        fault = self._fault("get")
        if fault is not None:
            raise fault
        return super().get(table, key)

    def commit(self, txn):
        fault = self._fault("commit")
        if fault == "late":
            self.delayed.append(txn)
            raise StateUnknownError
        if fault is not None:
            super().commit(txn)
            raise fault
        return super().commit(txn)

    def land(self):
        for txn in self.delayed:
            super().commit(txn)


def test_outage_after_a_lost_answer_is_never_told_as_not_written():
    table = ScriptedTable(
        ("commit", StateUnknownError()),
        *(("get", StateUnavailableError()) for _ in range(200)),
    )
    store = ConfigStore(table, ManualClock())
    with pytest.raises(StateUnknownError):
        store.accept(Change("op-1", (POOL,)))


def test_burst_from_many_threads_loses_none():
    table = MemoryTable()
    stores = [ConfigStore(table, ManualClock()) for _ in range(4)]
    with ThreadPoolExecutor(50) as executor:
        revisions = list(
            executor.map(
                lambda number: stores[number % 4].accept(
                    Change(f"op-{number}", (Record(Kind.POOL, f"p{number}", 2),))
                ),
                range(200),
            )
        )
    assert sorted(revisions) == list(range(1, 201))
    assert len(stores[0].refresh(View()).pools) == 200
