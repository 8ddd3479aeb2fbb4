"""Read the committed configuration from the table service, with few reads and bytes."""

import itertools
from dataclasses import replace

from gypsumplank.errors import EntryInvalidError, RevisionMissingError, RevisionReversedError
from gypsumplank.protocol.decoder import Count, decode_document, decode_json
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
    UndoEntry,
    apply_entries,
    change_key,
    decode_entry,
    initial_head,
    revert,
)
from gypsumplank.state.row import RowDecoder, decode_needed
from gypsumplank.state.table import ABSENT, Row, Table, scan_all
from gypsumplank.state.view import KINDS_BY_NAME, View, build_view

# Up to this many missed changes are read from the log, even if a reload would take fewer rows.
MIN_LOG_LIMIT_ROWS = 16


class ConfigReader:
    """Read the head, the changes and the records."""

    def __init__(self, table: Table) -> None:
        self._table = table
        self._entry_decoder = RowDecoder(lambda row: decode_entry(row.value))
        self._record_decoder = RowDecoder(_decode_record)

    def head(self) -> tuple[Head, int]:
        """Return the newest revision and the version of its row; raise StateError."""
        row = self._table.get(TABLE_CONFIG, KEY_HEAD)
        if row is None:
            return initial_head(), ABSENT
        return decode_needed(row, Head), row.version

    def entries(self, after: int) -> list[ChangeEntry]:
        """Return the kept changes that follow this revision without a gap, oldest first."""
        rows = scan_all(self._table, TABLE_CHANGES, after=change_key(after))
        found = self._entry_decoder.decode_all(rows)
        return [
            entry
            for entry, revision in zip(found, itertools.count(after + 1), strict=False)
            if entry.revision == revision
        ]

    def oldest_entries(self, floor: int, count: int) -> list[ChangeEntry]:
        """Return the oldest kept changes, at most `count`."""
        rows = self._table.scan(TABLE_CHANGES, "", change_key(floor - 1), count) if count else []
        return self._entry_decoder.decode_all(rows)

    def accepted_revision(self, operation: str) -> int | None:
        """Return the revision at which an operation was accepted, if it was."""
        row = self._table.get(TABLE_OPERATIONS, operation)
        return None if row is None else decode_needed(row, Count)

    def refresh(self, view: View) -> View:
        """Return the newest view, given an older one; raise RevisionReversedError."""
        head, _ = self.head()
        return self.catch_up(head, view)

    def catch_up(self, head: Head, view: View) -> View:
        """Return a view at this head's revision or later, given an older one."""
        if head.revision < view.revision:
            detail = f"the store is at revision {head.revision}, older than {view.revision}"
            raise RevisionReversedError(detail)
        if head.revision == view.revision:
            return view
        if self._log_is_cheaper(head, view):
            caught_up = apply_entries(view, self.entries(view.revision))
            if caught_up.revision >= head.revision:
                return caught_up
        return self._reload_changed_kinds(head, view)

    def _log_is_cheaper(self, head: Head, view: View) -> bool:
        """Return whether the log holds all missed changes and is short enough to read instead."""
        records = sum(head.kinds[kind].records for kind in _changed_kinds(head, view))
        missed = head.revision - view.revision
        return view.revision + 1 >= head.floor and missed <= max(records, MIN_LOG_LIMIT_ROWS)

    def _reload_changed_kinds(self, head: Head, view: View) -> View:
        """Read all records of the changed kinds, then apply the changes committed meanwhile."""
        changed = _changed_kinds(head, view)
        kept = (record for record in view.records.values() if record.kind not in changed)
        rows = [row for kind in changed for row in self._rows(kind)]
        read = self._record_decoder.decode_all(row for row in rows if _is_known_kind(row.key))
        unread = {row.key for row in rows} - {record.key for record in read}
        reloaded = build_view(head.revision, (*kept, *read), view)
        old_unknown = {key for key in view.unreadable if not _is_known_kind(key)}
        stale = {key for key in old_unknown if key.partition("/")[0] in changed}
        unreadable = {*reloaded.unreadable} - stale | unread
        complete = replace(reloaded, unreadable=tuple(sorted(unreadable)))
        return apply_entries(complete, self.entries(head.revision))

    def _rows(self, kind: str) -> list[Row]:
        return scan_all(self._table, TABLE_RECORDS, f"{kind}/")

    def records_at(self, revision: int, newest: View) -> dict[str, Record]:
        """Return the records at an older revision; raise RevisionMissingError."""
        if revision > newest.revision or revision < 0:
            raise RevisionMissingError(f"revision {revision} is not one of 0 to {newest.revision}")
        rows = scan_all(self._table, TABLE_UNDO, after=change_key(revision))
        try:
            undos = [decode_json(row.value, UndoEntry) for row in rows]
        except EntryInvalidError as exc:
            raise RevisionMissingError(f"a later change cannot be read: {exc}") from exc
        kept = [undo for undo in undos if undo.revision <= newest.revision]
        if len(kept) != newest.revision - revision:
            raise RevisionMissingError(f"the changes after revision {revision} are no longer kept")
        return revert(newest.records, reversed(kept))


def _decode_record(row: Row) -> Record:
    record = decode_document(row.value, Record)
    if record.key != row.key:
        raise EntryInvalidError(f"the record is {record.key!r}")
    return record


def _is_known_kind(key: str) -> bool:
    return key.partition("/")[0] in KINDS_BY_NAME


def _changed_kinds(head: Head, view: View) -> tuple[str, ...]:
    return tuple(kind for kind, summary in head.kinds.items() if summary.revision > view.revision)
