"""Define accepted changes and the rows that keep them."""

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field

import msgspec

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
Propose = Callable[[View], "Change"]


@dataclass(frozen=True)
class KindDigest:
    """Tell at which revision the records of a kind last changed, and how many there are."""

    revision: int
    records: int


@dataclass(frozen=True)
class Head:
    """Hold the newest accepted revision; the changes from `floor` on are kept."""

    revision: int
    floor: int = 1
    kinds: Mapping[str, KindDigest] = field(default_factory=dict)


@dataclass(frozen=True)
class Change:
    """Hold what is to change; `operation` makes a repeat harmless, `fences` must hold."""

    operation: str
    puts: tuple[Record, ...] = ()
    deletes: tuple[str, ...] = ()
    actor: str = ""
    if_revision: int | None = None
    fences: tuple[Check, ...] = ()


@dataclass(frozen=True)
class ChangeEntry:
    """Hold one accepted change; `accepted_at` is in seconds since the epoch.

    `unread` names the written records whose kind this version does not know.
    """

    revision: int
    operation: str
    actor: str
    accepted_at: float
    puts: tuple[Record, ...] = ()
    deletes: tuple[str, ...] = ()
    unread: tuple[str, ...] = ()


@dataclass(frozen=True)
class Undo:
    """Hold what a change replaced: the records before it and the keys it added."""

    revision: int
    before: tuple[Record, ...] = ()
    added: tuple[str, ...] = ()


@dataclass(frozen=True)
class Step:
    """Hold one accepted change with the views on both sides of it."""

    entry: ChangeEntry
    before: View
    after: View
    fences: tuple[Check, ...] = ()


def change_key(revision: int) -> str:
    """Return the key of a change entry, in revision order."""
    return f"{revision:016d}"


def touched_kinds(entry: ChangeEntry) -> set[str]:
    """Return the kinds of the records that a change writes or deletes."""
    deleted = (key.partition("/")[0] for key in entry.deletes)
    return {*(record.kind.value for record in entry.puts), *deleted}


def apply_entries(view: View, entries: Iterable[ChangeEntry]) -> View:
    """Return the view after these changes, which follow it without a gap."""
    changes: dict[str, Record | None] = {}
    unread: set[str] = set()
    revision = view.revision
    for entry in entries:
        changes.update((record.key, record) for record in entry.puts)
        changes.update(dict.fromkeys(entry.deletes))
        unread = (unread - {*entry.deletes}) | {*entry.unread}
        revision = entry.revision
    return change_view(view, revision, changes, unread)


def next_head(head: Head, steps: Sequence[Step], floor: int) -> Head:
    """Return the head after these accepted changes."""
    last = steps[-1].after
    changed = {kind: step.entry.revision for step in steps for kind in touched_kinds(step.entry)}
    digests = {
        kind: KindDigest(revision, len(last.specs[Kind(kind)]))
        for kind, revision in changed.items()
    }
    return Head(last.revision, floor, {**head.kinds, **digests})


def make_txn(
    head: Head, version: int, accepted: Iterable[Step], expired: Sequence[ChangeEntry]
) -> Txn:
    """Return the transaction that accepts changes on this head and drops the expired ones."""
    steps = tuple(accepted)
    floor = expired[-1].revision + 1 if expired else head.floor
    after = next_head(head, steps, floor)
    rows = {(write.table, write.key): write for step in steps for write in _writes(step)}
    checks = dict.fromkeys(check for step in steps for check in _checks(step))
    dropped = tuple(write for entry in expired for write in _drops(entry))
    top = Write(TABLE_CONFIG, KEY_HEAD, msgspec.json.encode(after))
    return Txn(
        (Check(TABLE_CONFIG, KEY_HEAD, version), *checks),
        (top, *rows.values(), *dropped),
    )


def undo_of(step: Step) -> Undo:
    """Return what puts back the records that a change replaced."""
    keys = {*(record.key for record in step.entry.puts), *step.entry.deletes}
    held = step.before.records
    before = tuple(held[key] for key in sorted(keys) if key in held)
    added = tuple(sorted(key for key in keys if key not in held))
    return Undo(step.entry.revision, before, added)


def revert(records: Mapping[str, Record], undos: Iterable[Undo]) -> dict[str, Record]:
    """Return the records before these changes, given newest first."""
    held = dict(records)
    for undo in undos:
        held.update((record.key, record) for record in undo.before)
        for key in undo.added:
            held.pop(key, None)
    return held


def decode_entry(raw: bytes) -> ChangeEntry:
    """Return a change from its row; records of kinds from the future are named in `unread`."""
    try:
        return msgspec.json.decode(raw, type=ChangeEntry)
    except msgspec.ValidationError:
        loose = msgspec.json.decode(raw)
    kinds = {kind.value for kind in Kind}
    puts = loose.get("puts", ())
    loose["puts"] = [put for put in puts if put["kind"] in kinds]
    loose["unread"] = [
        record_key(put["kind"], put["name"]) for put in puts if put["kind"] not in kinds
    ]
    return msgspec.convert(loose, ChangeEntry)


def empty_head() -> Head:
    """Return the head before the first change."""
    return Head(NO_REVISION)


def _checks(step: Step) -> tuple[Check, ...]:
    return (Check(TABLE_OPERATIONS, step.entry.operation, ABSENT), *step.fences)


def _writes(step: Step) -> tuple[Write, ...]:
    encode, entry = msgspec.json.encode, step.entry
    puts = tuple(Write(TABLE_RECORDS, rec.key, encode(rec)) for rec in entry.puts)
    deletes = tuple(Write(TABLE_RECORDS, key, None) for key in entry.deletes)
    return (
        Write(TABLE_CHANGES, change_key(entry.revision), encode(entry)),
        Write(TABLE_OPERATIONS, entry.operation, encode(entry.revision)),
        Write(TABLE_UNDO, change_key(entry.revision), encode(undo_of(step))),
        *puts,
        *deletes,
    )


def _drops(expired: ChangeEntry) -> tuple[Write, ...]:
    key = change_key(expired.revision)
    return (
        Write(TABLE_CHANGES, key, None),
        Write(TABLE_UNDO, key, None),
        Write(TABLE_OPERATIONS, expired.operation, None),
    )
