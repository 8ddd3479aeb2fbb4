import pytest

from gypsumplank.errors import RevisionConflictError, RevisionReversedError, StateUnknownError
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
