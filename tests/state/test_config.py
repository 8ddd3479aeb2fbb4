import contextlib
import itertools
import random
from concurrent.futures import ThreadPoolExecutor

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from gypsumplank.errors import (
    GypsumplankError,
    RecordsError,
    RevisionConflictError,
    RevisionReversedError,
    StateConflictError,
    StateTooLargeError,
    StateUnavailableError,
    StateUnknownError,
)
from gypsumplank.protocol.record import Kind, Record
from gypsumplank.state.batch import Batch, PendingChange
from gypsumplank.state.clock import ManualClock
from gypsumplank.state.config import Change, ConfigStore
from gypsumplank.state.table import MAX_ROW_BYTES, Check, MemoryTable, Txn, Write
from gypsumplank.state.view import CurrentView, View

POOL = Record(Kind.POOL, "quotes", 1, {"min_in_service": 2})


class LostResponseTable(MemoryTable):
    """Lose the response to a commit after it was applied."""

    def __init__(self, losses):
        super().__init__()
        self.losses = losses

    def commit(self, txn):
        version = super().commit(txn)
        if self.losses:
            self.losses -= 1
            raise StateUnknownError
        return version


def test_committed_change_appears_in_the_view():
    store = ConfigStore(MemoryTable(), ManualClock())
    assert store.accept(Change("op-1", (POOL,))) == 1
    view = store.refresh(View())
    assert view.revision == 1
    assert view.pools["quotes"].budget.min_in_service == 2


def test_repeated_operation_is_committed_once():
    store = ConfigStore(MemoryTable(), ManualClock())
    assert store.accept(Change("op-1", (POOL,))) == 1
    assert store.accept(Change("op-1", (POOL,))) == 1
    assert store.head()[0].revision == 1


def test_commit_with_a_lost_response_is_resolved():
    store = ConfigStore(LostResponseTable(1), ManualClock())
    assert store.accept(Change("op-1", (POOL,))) == 1
    assert store.head()[0].revision == 1


def test_outdated_if_revision_is_refused():
    store = ConfigStore(MemoryTable(), ManualClock())
    store.accept(Change("op-1", (POOL,)))
    with pytest.raises(RevisionConflictError):
        store.accept(Change("op-2", (POOL,), if_revision=0))


def test_revision_never_decreases():
    current_view = CurrentView()
    current_view.replace(View(3))
    with pytest.raises(RevisionReversedError):
        current_view.replace(View(2))
    assert current_view.view.revision == 3


def test_unknown_schema_version_keeps_the_last_readable_spec():
    store = ConfigStore(MemoryTable(), ManualClock())
    store.accept(Change("op-1", (POOL,)))
    view = store.refresh(View())
    store.accept(Change("op-2", (Record(Kind.POOL, "quotes", 9, {"x": 1}),)))
    newer = store.refresh(view)
    assert newer.unreadable == ("pool/quotes",)
    assert newer.pools["quotes"].budget.min_in_service == 2


class ScriptedFaultTable(MemoryTable):
    """Fail calls by a script whose steps pair a method name with the fault to inject."""

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

    def apply_delayed(self):
        for txn in self.delayed:
            super().commit(txn)


def test_outage_after_a_lost_response_is_reported_as_unknown():
    table = ScriptedFaultTable(
        ("commit", StateUnknownError()),
        *(("get", StateUnavailableError()) for _ in range(200)),
    )
    store = ConfigStore(table, ManualClock())
    with pytest.raises(StateUnknownError):
        store.accept(Change("op-1", (POOL,)))


def test_concurrent_changes_from_many_threads_are_all_committed():
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


class ConcurrentFaultTable(MemoryTable):
    """Follow a script of faults, one per call; delayed commits are applied later."""

    def __init__(self):
        super().__init__()
        self.script = []
        self.delayed = []
        self.race = None

    def get(self, table, key):
        self._next_fault(("out", "land"))
        return super().get(table, key)

    def scan(self, table, prefix="", after="", limit=1000):
        self._next_fault(("out", "land"))
        return super().scan(table, prefix, after, limit)

    def commit(self, txn):
        fault = self._next_fault(("out", "land", "lost", "late", "race"))
        if fault == "late":
            self.delayed.append(txn)
            raise StateUnknownError
        if fault == "race":
            self.race()
        version = super().commit(txn)
        if fault == "lost":
            raise StateUnknownError
        return version

    def _next_fault(self, applicable):
        fault = self.script.pop(0) if self.script else "ok"
        if fault == "out":
            raise StateUnavailableError
        if fault == "land":
            self.apply_delayed()
        return fault if fault in applicable else "ok"

    def apply_delayed(self):
        for txn in self.delayed:
            with contextlib.suppress(StateConflictError):
                super().commit(txn)
        self.delayed.clear()


class AcceptanceMachine(RuleBasedStateMachine):
    """Combine concurrent writers, outages, lost responses and delayed commits.

    No operation is reported as both committed and rejected, and no committed one is lost.
    """

    def __init__(self):
        super().__init__()
        self.table = ConcurrentFaultTable()
        self.table.race = self.accept_concurrently
        self.stores = [self.make_store() for _ in range(3)]
        self.numbers = itertools.count()
        self.accepted, self.refused, self.unknown = {}, set(), set()

    def make_store(self):
        guards = (self.guard,)
        return ConfigStore(
            self.table,
            ManualClock(),
            guards,
            random.Random(1),
            lambda _s: None,
            max_kept_changes=10_000,
        )

    @staticmethod
    def guard(_before, after):
        if len(after.pools) > 4:
            raise RecordsError(())

    def accept_concurrently(self):
        script, self.table.script = self.table.script, []
        self.try_accept(self.stores[2], f"op-{next(self.numbers)}", "racer", None)
        self.table.script = script

    def try_accept(self, store, operation, name, if_revision):
        newest = max(self.accepted.values(), default=0)
        change = Change(operation, (Record(Kind.POOL, name, 2),), if_revision=if_revision)
        try:
            revision = store.accept(change)
        except StateUnknownError:
            self.unknown.add(operation)
            return
        except GypsumplankError:
            if operation not in self.unknown:
                self.refused.add(operation)
            return
        if operation in self.accepted:
            assert revision == self.accepted[operation]
        elif operation not in self.unknown:
            assert revision > newest
        self.accepted[operation] = revision

    @rule(
        writer=st.integers(0, 1),
        name=st.sampled_from("abcde"),
        script=st.lists(st.sampled_from(["ok", "ok", "out", "lost", "late", "land", "race"])),
        if_revision=st.none() | st.integers(0, 6),
    )
    def accept(self, writer, name, script, if_revision):
        self.table.script = list(script)
        self.try_accept(self.stores[writer], f"op-{next(self.numbers)}", name, if_revision)
        self.table.script = []

    @rule(data=st.data(), writer=st.integers(0, 1))
    def repeat(self, data, writer):
        known = sorted({*self.accepted, *self.unknown})
        if known:
            self.try_accept(self.stores[writer], data.draw(st.sampled_from(known)), "a", None)

    @rule()
    def apply_delayed(self):
        self.table.apply_delayed()

    @rule(writer=st.integers(0, 1))
    def restart(self, writer):
        self.stores[writer] = self.make_store()

    @invariant()
    def reported_results_match_the_log(self):
        entries = self.make_store().entries(0)
        assert [entry.revision for entry in entries] == list(range(1, len(entries) + 1))
        log = {entry.operation: entry.revision for entry in entries}
        assert len(log) == len(entries)
        assert self.accepted.items() <= log.items()
        assert not self.refused & log.keys()
        assert log.keys() <= self.accepted.keys() | self.unknown
        assert self.stores[0].head()[0].revision == len(entries)

    def teardown(self):
        self.table.script = []
        self.table.apply_delayed()
        self.reported_results_match_the_log()


TestAcceptance = AcceptanceMachine.TestCase
TestAcceptance.settings = settings(max_examples=150, stateful_step_count=25)


def test_failing_fence_rejects_only_its_own_change():
    table = MemoryTable()
    version = table.commit(Txn((), (Write("leases", "x", b"1"),)))
    store = ConfigStore(table, ManualClock(), sleep=lambda _s: None)
    fenced = Change("fenced", (POOL,), fences=(Check("leases", "x", version + 7),))
    good = [Change(f"op-{n}", (Record(Kind.POOL, f"p{n}", 2),)) for n in range(5)]
    batch = Batch([PendingChange(c.operation, lambda _v, c=c: c) for c in (fenced, *good)])
    store._commit_batch(batch)
    errors = [pending.future.exception() for pending in batch._changes]
    assert isinstance(errors[0], StateConflictError)
    assert errors[1:] == [None] * 5
    assert store.head()[0].revision == 5


def test_failing_fence_is_reported_without_exhausting_retries():
    table = MemoryTable()
    store = ConfigStore(table, ManualClock(), sleep=lambda _s: None)
    with pytest.raises(StateConflictError):
        store.accept(Change("op", (POOL,), fences=(Check("leases", "x", 9),)))
    assert store.head()[0].revision == 0


def test_too_large_change_is_rejected_alone():
    store = ConfigStore(MemoryTable(), ManualClock(), sleep=lambda _s: None)
    huge = Record(Kind.POOL, "huge", 2, {"x": "y" * MAX_ROW_BYTES})
    changes = (Change("huge", (huge,)), Change("good", (POOL,)))
    batch = Batch([PendingChange(c.operation, lambda _v, c=c: c) for c in changes])
    store._commit_batch(batch)
    errors = [pending.future.exception() for pending in batch._changes]
    assert isinstance(errors[0], StateTooLargeError)
    assert errors[1] is None


@pytest.mark.parametrize("successful_calls", [0, 1, 2])
def test_delayed_commit_is_not_reported_as_rejected(successful_calls):
    table = ConcurrentFaultTable()
    store = ConfigStore(table, ManualClock(), sleep=lambda _s: None)
    table.script = ["ok", "late", *["ok"] * successful_calls, *["out"] * 500]
    with pytest.raises(StateUnknownError):
        store.accept(Change("op-1", (POOL,)))
    table.script = []
    table.apply_delayed()
    assert store.accepted_revision("op-1") == 1
