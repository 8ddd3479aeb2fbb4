"""Define the interface to a table's change feed, with an in-memory implementation."""

import threading
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from gypsumplank.errors import StateHistoryLostError
from gypsumplank.state.table import ABSENT, MemoryTable, Row, Txn

MAX_HISTORY_CHANGES = 1000


@dataclass(frozen=True)
class Changes:
    """Represent rows changed since a version, oldest first; `deleted_keys` lists deleted ones."""

    rows: tuple[Row, ...]
    deleted_keys: tuple[str, ...]
    version: int


class ChangeFeed(Protocol):
    """Read the change feed of a table.

    Every call may raise StateUnavailableError, and StateHistoryLostError if the changes since
    the version are no longer kept.
    """

    def changes(self, table: str, after: int, wait_s: float) -> Changes:
        """Return the changes after a version; wait up to `wait_s` seconds for the first one."""


@dataclass(frozen=True)
class _HistoryEntry:
    version: int
    table: str
    key: str
    value: bytes | None


class MemoryFeedTable(MemoryTable):
    """Store rows in memory, with a bounded history of their changes."""

    def __init__(self) -> None:
        super().__init__()
        self._changed = threading.Condition()
        self._history: list[_HistoryEntry] = []
        self._trimmed_version = ABSENT

    def commit(self, txn: Txn) -> int:
        """Apply a transaction and return the version that its rows now have."""
        with self._changed:
            version = super().commit(txn)
            self._history.extend(
                _HistoryEntry(version, write.table, write.key, write.value) for write in txn.writes
            )
            self._trim_history(MAX_HISTORY_CHANGES)
            self._changed.notify_all()
        return version

    @property
    def newest(self) -> int:
        """Return the version of the last transaction."""
        return self._version

    def clear_history(self) -> None:
        """Delete the change history."""
        with self._changed:
            self._trim_history(0)

    def changes(self, table: str, after: int, wait_s: float) -> Changes:
        """Return the changes after a version; wait up to `wait_s` seconds for the first one."""
        with self._changed:
            self._changed.wait_for(lambda: bool(self._changes_since(table, after)), wait_s)
            if after < self._trimmed_version:
                detail = f"changes up to version {self._trimmed_version} are no longer kept"
                raise StateHistoryLostError(detail, self._version)
            found = self._changes_since(table, after)
            rows = [
                Row(entry.table, entry.key, entry.version, entry.value)
                for entry in found
                if entry.value
            ]
            deleted_keys = tuple(entry.key for entry in found if entry.value is None)
            return Changes(tuple(rows), deleted_keys, max(after, self._version))

    def _changes_since(self, table: str, after: int) -> Sequence[_HistoryEntry]:
        return [entry for entry in self._history if entry.table == table and entry.version > after]

    def _trim_history(self, keep: int) -> None:
        trimmed = self._history[: max(0, len(self._history) - keep)]
        if trimmed:
            self._trimmed_version = trimmed[-1].version
            del self._history[: len(trimmed)]
