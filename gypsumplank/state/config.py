"""Accept changes of configuration into the table service and read them back."""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

import msgspec

from gypsumplank.errors import (
    RevisionConflictError,
    StateConflictError,
    StateUnknownError,
)
from gypsumplank.protocol.record import Record
from gypsumplank.state.clock import Clock
from gypsumplank.state.table import ABSENT, Check, Row, Table, Txn, Write, scan_all
from gypsumplank.state.view import NO_REVISION, View, build_view

TABLE_CONFIG = "config"
TABLE_RECORDS = "records"
TABLE_CHANGES = "changes"
TABLE_OPERATIONS = "operations"
KEY_HEAD = "head"
COMMIT_TRIES = 8

Guard = Callable[[View, View], None]


@dataclass(frozen=True)
class Head:
    """Hold the newest accepted revision."""

    revision: int


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
    """Hold one accepted change; `accepted_at` is in seconds since the epoch."""

    revision: int
    operation: str
    actor: str
    accepted_at: float
    puts: tuple[Record, ...] = ()
    deletes: tuple[str, ...] = ()


def change_key(revision: int) -> str:
    """Return the key of a change entry, in revision order."""
    return f"{revision:016d}"


def apply_entries(view: View, entries: Iterable[ChangeEntry]) -> View:
    """Return the view after these changes, which follow it without a gap."""
    records = dict(view.records)
    revision = view.revision
    for entry in entries:
        records.update((record.key, record) for record in entry.puts)
        for key in entry.deletes:
            records.pop(key, None)
        revision = entry.revision
    return build_view(revision, records.values(), view)


class ConfigStore:
    """Accept changes one after another, each with the next revision.

    Every change is decided on the newest view in the transaction that commits it: each guard
    sees the view before and after, and raises GypsumplankError where the change must not be.
    """

    def __init__(self, table: Table, clock: Clock, guards: Sequence[Guard] = ()) -> None:
        self._table = table
        self._clock = clock
        self._guards = tuple(guards)
        self._newest = View()

    def head(self) -> tuple[Head, int]:
        """Return the newest revision and the version of its row."""
        row = self._table.get(TABLE_CONFIG, KEY_HEAD)
        if row is None:
            return Head(NO_REVISION), ABSENT
        return msgspec.json.decode(row.value, type=Head), row.version

    def entries(self, after: int) -> list[ChangeEntry]:
        """Return the changes accepted after this revision, oldest first."""
        rows = scan_all(self._table, TABLE_CHANGES, after=change_key(after))
        return [_decode_entry(row) for row in rows]

    def refresh(self, view: View) -> View:
        """Return the newest view, given an older one."""
        head, _ = self.head()
        if head.revision <= view.revision:
            return view
        return apply_entries(view, self.entries(view.revision))

    def accept(self, change: Change) -> int:
        """Commit a change and return its revision.

        Raises what the guards raise, RevisionConflictError, StateUnavailableError, and
        StateUnknownError where it could not be settled whether the change was accepted.
        """
        return self.propose(change.operation, lambda _view: change)

    def propose(self, operation: str, propose: Callable[[View], Change]) -> int:
        """Commit what `propose` makes of the newest view, made anew after every conflict."""
        unknown: StateUnknownError | None = None
        for _ in range(COMMIT_TRIES):
            accepted = self._accepted(operation)
            if accepted is not None:
                return accepted
            try:
                return self._commit(propose)
            except StateConflictError:
                continue
            except StateUnknownError as exc:
                unknown = exc
        if unknown is not None:
            raise unknown
        raise RevisionConflictError("too many other changes at the same time")

    def _accepted(self, operation: str) -> int | None:
        row = self._table.get(TABLE_OPERATIONS, operation)
        return None if row is None else msgspec.json.decode(row.value, type=int)

    def _commit(self, propose: Callable[[View], Change]) -> int:
        head, version = self.head()
        before = self._view_at(head.revision)
        change = propose(before)
        if change.if_revision not in (None, head.revision):
            detail = f"configuration is at revision {head.revision}, not {change.if_revision}"
            raise RevisionConflictError(detail)
        entry = ChangeEntry(
            head.revision + 1,
            change.operation,
            change.actor,
            self._clock.wall(),
            change.puts,
            change.deletes,
        )
        after = apply_entries(before, (entry,))
        for guard in self._guards:
            guard(before, after)
        checks = (
            Check(TABLE_CONFIG, KEY_HEAD, version),
            Check(TABLE_OPERATIONS, change.operation, ABSENT),
            *change.fences,
        )
        self._table.commit(Txn(checks, _writes(entry)))
        return entry.revision

    def _view_at(self, revision: int) -> View:
        """Return the view at the head's revision; raise StateConflictError if it has moved."""
        view = self._newest
        if view.revision < revision:
            view = apply_entries(view, self.entries(view.revision))
            self._newest = view
        if view.revision != revision:
            raise StateConflictError("the head has moved")
        return view


def _writes(entry: ChangeEntry) -> tuple[Write, ...]:
    encode = msgspec.json.encode
    puts = tuple(Write(TABLE_RECORDS, rec.key, encode(rec)) for rec in entry.puts)
    deletes = tuple(Write(TABLE_RECORDS, key, None) for key in entry.deletes)
    return (
        Write(TABLE_CONFIG, KEY_HEAD, encode(Head(entry.revision))),
        Write(TABLE_CHANGES, change_key(entry.revision), encode(entry)),
        Write(TABLE_OPERATIONS, entry.operation, encode(entry.revision)),
        *puts,
        *deletes,
    )


def _decode_entry(row: Row) -> ChangeEntry:
    return msgspec.json.decode(row.value, type=ChangeEntry)
