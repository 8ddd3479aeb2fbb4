import msgspec
import pytest

from gypsumplank.errors import RevisionMissingError, RevisionReversedError
from gypsumplank.protocol.record import Kind, Record
from gypsumplank.state.change import TABLE_CHANGES, TABLE_OPERATIONS, TABLE_UNDO, change_key
from gypsumplank.state.clock import ManualClock
from gypsumplank.state.config import Change, ConfigStore
from gypsumplank.state.reader import MIN_LOG_LIMIT_ROWS
from gypsumplank.state.table import Check, MemoryTable, Txn, Write, scan_all
from gypsumplank.state.view import View


class ScanRecordingTable(MemoryTable):
    """Record which tables and prefixes are scanned."""

    def __init__(self):
        super().__init__()
        self.scans = []
        self.after_scan = lambda: None

    def scan(self, table, prefix="", after="", limit=1000):
        rows = super().scan(table, prefix, after, limit)
        self.scans.append((table, prefix))
        self.after_scan()
        return rows


def pool(number, **spec):
    return Record(Kind.POOL, f"p{number}", 2, spec)


def team(name):
    return Record(Kind.TEAM, name, 2)


def commit_changes(store, count, first=0):
    for number in range(first, first + count):
        store.accept(Change(f"op-{number}", (pool(number % 5, spare=bool(number % 2)),)))


def test_view_far_behind_reads_only_the_changed_kinds():
    table = ScanRecordingTable()
    store = ConfigStore(table, ManualClock())
    store.accept(Change("teams", (team("a"), team("b"))))
    old_view = store.refresh(View())
    commit_changes(store, MIN_LOG_LIMIT_ROWS + 1)
    table.scans.clear()
    newest = store.refresh(old_view)
    assert table.scans == [("records", "pool/"), ("changes", "")]
    assert newest.revision == MIN_LOG_LIMIT_ROWS + 2
    assert set(newest.pools) == {f"p{number}" for number in range(5)}
    assert set(newest.teams) == {"a", "b"}


def test_view_slightly_behind_reads_the_change_log():
    table = ScanRecordingTable()
    store = ConfigStore(table, ManualClock())
    commit_changes(store, 3)
    table.scans.clear()
    assert store.refresh(View()).revision == 3
    assert table.scans == [("changes", "")]


def test_change_during_a_reload_is_applied_completely():
    table = ScanRecordingTable()
    store, other = (ConfigStore(table, ManualClock()) for _ in range(2))
    commit_changes(store, MIN_LOG_LIMIT_ROWS + 1)

    def change_once():
        table.after_scan = lambda: None
        deletes = ("pool/p0",)
        other.accept(Change("late", (pool(9), pool(1, spare=True), team("t")), deletes))

    table.after_scan = change_once
    view = store.refresh(View())
    assert view.revision == MIN_LOG_LIMIT_ROWS + 2
    assert set(view.pools) == {"p1", "p2", "p3", "p4", "p9"}
    assert view.pools["p1"].spare
    assert set(view.teams) == {"t"}


def test_log_is_trimmed_and_old_views_still_catch_up():
    table = MemoryTable()
    store = ConfigStore(table, ManualClock(), max_kept_changes=20)
    commit_changes(store, 10)
    old = store.refresh(View())
    commit_changes(store, 60, 10)
    for name in (TABLE_CHANGES, TABLE_OPERATIONS, TABLE_UNDO):
        assert len(scan_all(table, name)) == 20
    assert store.refresh(old).records == store.refresh(View()).records
    assert store.refresh(old).revision == 70
    with pytest.raises(RevisionMissingError):
        store.records_at(40, store.refresh(View()))


def test_records_at_an_older_revision():
    store = ConfigStore(MemoryTable(), ManualClock())
    store.accept(Change("a", (pool(1), pool(2))))
    store.accept(Change("b", (pool(1, spare=True), pool(3)), ("pool/p2",)))
    newest = store.refresh(View())
    assert store.records_at(1, newest) == {"pool/p1": pool(1), "pool/p2": pool(2)}
    assert store.records_at(0, newest) == {}
    assert store.records_at(2, newest) == newest.records
    for revision in (-1, 3):
        with pytest.raises(RevisionMissingError):
            store.records_at(revision, newest)


def test_store_with_an_older_revision_is_detected():
    store = ConfigStore(MemoryTable(), ManualClock())
    commit_changes(store, 2)
    with pytest.raises(RevisionReversedError):
        store.refresh(View(3))


def test_unknown_record_kind_is_reported_and_skipped():
    table = MemoryTable()
    store = ConfigStore(table, ManualClock())
    store.accept(Change("a", (pool(1),)))
    old = store.refresh(View())
    commit_unknown_kind(table, store)
    for view in (store.refresh(old), store.refresh(View())):
        assert view.revision == 2
        assert set(view.pools) == {"p1", "p2"}
        assert view.unreadable == ("orchard/x",)
    assert store.accept(Change("c", (pool(3),))) == 3
    assert set(ConfigStore(table, ManualClock()).refresh(View()).pools) == {"p1", "p2", "p3"}
    assert b"orchard" in table.get("config", "head").value
    commit_changes(store, 2 * MIN_LOG_LIMIT_ROWS)
    assert store.refresh(View()).unreadable == ("orchard/x",)
    with pytest.raises(RevisionMissingError):
        store.records_at(1, store.refresh(View()))


def commit_unknown_kind(table, store):
    """Commit a change with a record kind that only a newer software version knows."""
    head, version = store.head()
    unknown_record = {"kind": "orchard", "name": "x", "schema": 3, "spec": {}, "origin": ""}
    puts = [unknown_record, msgspec.to_builtins(pool(2))]
    entry = {"revision": 2, "operation": "b", "actor": "", "accepted_at": 0.0, "puts": puts}
    kinds = {**msgspec.to_builtins(head.kinds), "orchard": {"revision": 2, "records": 1}}
    kinds["pool"] = {"revision": 2, "records": 2}
    rows = {
        ("config", "head"): {"revision": 2, "floor": 1, "kinds": kinds},
        ("changes", change_key(2)): entry,
        ("operations", "b"): 2,
        ("undo", change_key(2)): {"revision": 2, "before": [unknown_record]},
        ("records", "orchard/x"): unknown_record,
        ("records", "pool/p2"): puts[1],
    }
    writes = (Write(*place, msgspec.json.encode(value)) for place, value in rows.items())
    table.commit(Txn((Check("config", "head", version),), tuple(writes)))
