"""Read the accepted configuration from the table service, with few reads and bytes."""

import itertools
from dataclasses import replace

import msgspec

from gypsumplank.errors import RevisionMissingError, RevisionReversedError
from gypsumplank.protocol.record import Record
from gypsumplank.state.change import (
    KEY_HEAD,
    TABLE_CHANGES,
    TABLE_CONFIG,
    TABLE_OPERATIONS,
    TABLE_RECORDS,
    TABLE_UNDO,
    ChangeEntry,
    Head,
    Undo,
    apply_entries,
    change_key,
    decode_entry,
    empty_head,
    revert,
)
from gypsumplank.state.table import ABSENT, Row, Table, scan_all
from gypsumplank.state.view import KINDS, View, build_view

MIN_LOG_ROWS = 16


class ConfigReader:
    """Read the head, the changes and the records."""

    def __init__(self, table: Table) -> None:
        self._table = table

    def head(self) -> tuple[Head, int]:
        """Return the newest revision and the version of its row."""
        row = self._table.get(TABLE_CONFIG, KEY_HEAD)
        if row is None:
            return empty_head(), ABSENT
        return msgspec.json.decode(row.value, type=Head), row.version

    def entries(self, after: int) -> list[ChangeEntry]:
        """Return the changes kept that follow this revision without a gap, oldest first."""
        rows = scan_all(self._table, TABLE_CHANGES, after=change_key(after))
        found = (decode_entry(row.value) for row in rows)
        return [
            entry
            for entry, revision in zip(found, itertools.count(after + 1), strict=False)
            if entry.revision == revision
        ]

    def oldest(self, floor: int, count: int) -> list[ChangeEntry]:
        """Return the oldest changes kept."""
        rows = self._table.scan(TABLE_CHANGES, "", change_key(floor - 1), count) if count else []
        return [decode_entry(row.value) for row in rows]

    def accepted(self, operation: str) -> int | None:
        """Return the revision that an operation was accepted with."""
        row = self._table.get(TABLE_OPERATIONS, operation)
        return None if row is None else msgspec.json.decode(row.value, type=int)

    def refresh(self, view: View) -> View:
        """Return the newest view, given an older one; raise RevisionReversedError."""
        head, _ = self.head()
        return self.catch_up(head, view)

    def catch_up(self, head: Head, view: View) -> View:
        """Return a view that is at least at this head's revision, given an older one."""
        if head.revision < view.revision:
            detail = f"the store is at revision {head.revision}, older than {view.revision}"
            raise RevisionReversedError(detail)
        if head.revision == view.revision:
            return view
        if self._log_is_shorter(head, view):
            newer = apply_entries(view, self.entries(view.revision))
            if newer.revision >= head.revision:
                return newer
        return self._regroup(head, view)

    def _log_is_shorter(self, head: Head, view: View) -> bool:
        """Tell whether the log reaches back to the view in fewer rows than the changed kinds."""
        records = sum(head.kinds[kind].records for kind in _changed_kinds(head, view))
        missed = head.revision - view.revision
        return view.revision + 1 >= head.floor and missed <= max(records, MIN_LOG_ROWS)

    def _regroup(self, head: Head, view: View) -> View:
        """Read all records of the kinds that changed, and then what changed meanwhile."""
        changed = _changed_kinds(head, view)
        kept = (record for record in view.records.values() if record.kind not in changed)
        rows = [row for kind in changed for row in self._rows(kind)]
        read = (msgspec.json.decode(row.value, type=Record) for row in rows if _is_known(row.key))
        unread = {row.key for row in rows if not _is_known(row.key)}
        mixed = build_view(head.revision, (*kept, *read), view)
        named = {key for key in view.unreadable if not _is_known(key)}
        stale = {key for key in named if key.partition("/")[0] in changed}
        told = {*mixed.unreadable} - stale | unread
        whole = replace(mixed, unreadable=tuple(sorted(told)))
        return apply_entries(whole, self.entries(head.revision))

    def _rows(self, kind: str) -> list[Row]:
        return scan_all(self._table, TABLE_RECORDS, f"{kind}/")

    def records_at(self, revision: int, newest: View) -> dict[str, Record]:
        """Return the records at an older revision; raise RevisionMissingError."""
        if revision > newest.revision or revision < 0:
            raise RevisionMissingError(f"no revision {revision} up to {newest.revision}")
        rows = scan_all(self._table, TABLE_UNDO, after=change_key(revision))
        try:
            undos = [msgspec.json.decode(row.value, type=Undo) for row in rows]
        except msgspec.ValidationError as exc:
            raise RevisionMissingError(f"a newer version wrote what came after: {exc}") from exc
        kept = [undo for undo in undos if undo.revision <= newest.revision]
        if len(kept) != newest.revision - revision:
            raise RevisionMissingError(f"what came after revision {revision} is no longer kept")
        return revert(newest.records, reversed(kept))


def _is_known(key: str) -> bool:
    return key.partition("/")[0] in KINDS


def _changed_kinds(head: Head, view: View) -> tuple[str, ...]:
    return tuple(kind for kind, held in head.kinds.items() if held.revision > view.revision)
