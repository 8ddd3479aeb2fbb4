"""Define configuration changes and the rows that store them."""

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field

import msgspec

from gypsumplank.errors import EntryInvalidError
from gypsumplank.protocol.decoder import Count, Finite, convert, decode_any_json, decode_json
from gypsumplank.protocol.record import Kind, Record, record_key
from gypsumplank.state.table import ABSENT, Check, Txn, Write
from gypsumplank.state.view import NO_REVISION, View, change_view

TABLE_CONFIG = "config"
TABLE_RECORDS = "records"
TABLE_CHANGES = "changes"
TABLE_OPERATIONS = "operations"
TABLE_UNDO = "undo"
KEY_HEAD = "head"

Guard = Callable[[View, View], None]
ChangeFactory = Callable[[View], "Change"]


@dataclass(frozen=True)
class KindSummary:
    """Represent at which revision the records of a kind last changed, and how many there are."""

    revision: Count
    records: Count


@dataclass(frozen=True)
class Head:
    """Represent the newest committed revision; the log starts at revision `floor`."""

    revision: Count
    floor: Count = 1
    kinds: Mapping[str, KindSummary] = field(default_factory=dict)


@dataclass(frozen=True)
class Change:
    """Represent a requested change; `operation` makes retries idempotent, `fences` must pass."""

    operation: str
    puts: tuple[Record, ...] = ()
    deletes: tuple[str, ...] = ()
    actor: str = ""
    if_revision: int | None = None
    fences: tuple[Check, ...] = ()


@dataclass(frozen=True)
class ChangeEntry:
    """Represent a log entry of a committed change; `accepted_at` is in seconds since the epoch.

    `unread` lists the written records whose kind this version does not know.
    """

    revision: Count
    operation: str
    actor: str
    accepted_at: Finite
    puts: tuple[Record, ...] = ()
    deletes: tuple[str, ...] = ()
    unread: tuple[str, ...] = ()


@dataclass(frozen=True)
class UndoEntry:
    """Represent an undo log entry: the records that a change replaced and the keys it added."""

    revision: Count
    before: tuple[Record, ...] = ()
    added: tuple[str, ...] = ()


@dataclass(frozen=True)
class WrittenKey:
    """Represent the key of a written record, whose kind may be unknown to this version."""

    kind: str
    name: str


@dataclass(frozen=True)
class WrittenKeys:
    """Represent the keys in a change entry of any software version."""

    puts: tuple[WrittenKey, ...] = ()


@dataclass(frozen=True)
class PlannedChange:
    """Represent a validated change with the views before and after it."""

    entry: ChangeEntry
    before: View
    after: View
    fences: tuple[Check, ...] = ()


def change_key(revision: int) -> str:
    """Return the key of a change entry; keys sort by revision."""
    return f"{revision:016d}"


def affected_kinds(entry: ChangeEntry) -> set[str]:
    """Return the kinds of the records that a change writes or deletes."""
    deleted = (key.partition("/")[0] for key in entry.deletes)
    return {*(record.kind.value for record in entry.puts), *deleted}


def apply_entries(view: View, entries: Iterable[ChangeEntry]) -> View:
    """Return the view after these changes, which must follow it without a gap."""
    changes: dict[str, Record | None] = {}
    unread: set[str] = set()
    revision = view.revision
    for entry in entries:
        changes.update((record.key, record) for record in entry.puts)
        changes.update(dict.fromkeys(entry.deletes))
        unread = (unread - {*entry.deletes}) | {*entry.unread}
        revision = entry.revision
    return change_view(view, revision, changes, unread)


def advance_head(head: Head, planned: Sequence[PlannedChange], floor: int) -> Head:
    """Return the head after these changes."""
    last_view = planned[-1].after
    changed = {
        kind: change.entry.revision for change in planned for kind in affected_kinds(change.entry)
    }
    summaries = {
        kind: KindSummary(revision, len(last_view.specs[Kind(kind)]))
        for kind, revision in changed.items()
    }
    return Head(last_view.revision, floor, {**head.kinds, **summaries})


def make_txn(
    head: Head, version: int, steps: Iterable[PlannedChange], expired: Sequence[ChangeEntry]
) -> Txn:
    """Return the transaction that commits changes on this head and deletes expired entries."""
    planned = tuple(steps)
    floor = expired[-1].revision + 1 if expired else head.floor
    after = advance_head(head, planned, floor)
    rows = {
        (write.table, write.key): write for change in planned for write in _change_writes(change)
    }
    checks = dict.fromkeys(check for change in planned for check in _change_checks(change))
    expiry_writes = tuple(write for entry in expired for write in _expiry_writes(entry))
    head_write = Write(TABLE_CONFIG, KEY_HEAD, msgspec.json.encode(after))
    return Txn(
        (Check(TABLE_CONFIG, KEY_HEAD, version), *checks),
        (head_write, *rows.values(), *expiry_writes),
    )


def make_undo(change: PlannedChange) -> UndoEntry:
    """Return the undo log entry of a change."""
    keys = {*(record.key for record in change.entry.puts), *change.entry.deletes}
    records = change.before.records
    before = tuple(records[key] for key in sorted(keys) if key in records)
    added = tuple(sorted(key for key in keys if key not in records))
    return UndoEntry(change.entry.revision, before, added)


def revert(records: Mapping[str, Record], undos: Iterable[UndoEntry]) -> dict[str, Record]:
    """Return the records before these changes, whose undo entries come newest first."""
    reverted = dict(records)
    for undo in undos:
        reverted.update((record.key, record) for record in undo.before)
        for key in undo.added:
            reverted.pop(key, None)
    return reverted


def decode_entry(raw: bytes) -> ChangeEntry:
    """Return a change entry from its row; records of unknown kinds are listed in `unread`.

    Raises EntryInvalidError.
    """
    try:
        return decode_json(raw, ChangeEntry)
    except EntryInvalidError:
        keys = decode_json(raw, WrittenKeys)
        raw_entry = decode_any_json(raw)
    kinds = {kind.value for kind in Kind}
    raw_entry["puts"] = [put for put in raw_entry.get("puts", ()) if put["kind"] in kinds]
    raw_entry["unread"] = [
        record_key(put.kind, put.name) for put in keys.puts if put.kind not in kinds
    ]
    return convert(raw_entry, ChangeEntry)


def initial_head() -> Head:
    """Return the head before the first change."""
    return Head(NO_REVISION)


def _change_checks(change: PlannedChange) -> tuple[Check, ...]:
    return (Check(TABLE_OPERATIONS, change.entry.operation, ABSENT), *change.fences)


def _change_writes(change: PlannedChange) -> tuple[Write, ...]:
    encode, entry = msgspec.json.encode, change.entry
    puts = tuple(Write(TABLE_RECORDS, rec.key, encode(rec)) for rec in entry.puts)
    deletes = tuple(Write(TABLE_RECORDS, key, None) for key in entry.deletes)
    return (
        Write(TABLE_CHANGES, change_key(entry.revision), encode(entry)),
        Write(TABLE_OPERATIONS, entry.operation, encode(entry.revision)),
        Write(TABLE_UNDO, change_key(entry.revision), encode(make_undo(change))),
        *puts,
        *deletes,
    )


def _expiry_writes(expired: ChangeEntry) -> tuple[Write, ...]:
    key = change_key(expired.revision)
    return (
        Write(TABLE_CHANGES, key, None),
        Write(TABLE_UNDO, key, None),
        Write(TABLE_OPERATIONS, expired.operation, None),
    )
