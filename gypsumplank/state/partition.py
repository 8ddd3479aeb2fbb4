"""Define access to a table's partitions, chosen per call, with an in-memory implementation.

Answers a store whose partitions are slow one by one: calls to different ones do not queue.
"""

from collections.abc import Sequence
from dataclasses import replace
from typing import Protocol

from gypsumplank.state.feed import Changes, MemoryFeedTable
from gypsumplank.state.table import SCAN_LIMIT, Row, Table, Txn, scan_all

# Separates a partition's name from a key in the in-memory implementation.
SEPARATOR = "\x00"


class Partitions(Protocol):
    """Read and write rows of a table in a partition that is named per call."""

    def in_partition(self, name: str) -> Table:
        """Return the rows of one partition; makes no call."""

    def names(self, table: str) -> Sequence[str]:
        """Return the partitions that hold rows of a table; may raise StateError."""


class MemoryPartitions:
    """Store partitions in one in-memory table, under keys that start with the partition's name."""

    def __init__(self, table: MemoryFeedTable) -> None:
        self.table = table

    def in_partition(self, name: str) -> Table:
        """Return the rows of one partition."""
        return MemoryPartition(self.table, name)

    def names(self, table: str) -> Sequence[str]:
        """Return the partitions that hold rows of a table."""
        return sorted({row.key.partition(SEPARATOR)[0] for row in scan_all(self.table, table)})

    def changes(self, table: str, after: int, wait_s: float) -> Changes:
        """Return the changes after a version in all partitions."""
        found = self.table.changes(table, after, wait_s)
        rows = tuple(replace(row, key=row.key.partition(SEPARATOR)[2]) for row in found.rows)
        deleted = tuple(key.partition(SEPARATOR)[2] for key in found.deleted_keys)
        return Changes(rows, deleted, found.version)


class MemoryPartition:
    """Store one partition's rows in a shared in-memory table; implements Table."""

    def __init__(self, table: MemoryFeedTable, name: str) -> None:
        self._table = table
        self._prefix = f"{name}{SEPARATOR}"

    def get(self, table: str, key: str) -> Row | None:
        """Return one row."""
        row = self._table.get(table, self._prefix + key)
        return None if row is None else replace(row, key=key)

    def scan(
        self, table: str, prefix: str = "", after: str = "", limit: int = SCAN_LIMIT
    ) -> list[Row]:
        """Return the rows in key order whose keys start with `prefix` and follow `after`."""
        after = self._prefix + after if after else ""
        rows = self._table.scan(table, self._prefix + prefix, after, limit)
        return [replace(row, key=row.key.removeprefix(self._prefix)) for row in rows]

    def commit(self, txn: Txn) -> int:
        """Apply a transaction; return the new version of its rows."""
        checks = tuple(replace(check, key=self._prefix + check.key) for check in txn.checks)
        writes = tuple(replace(write, key=self._prefix + write.key) for write in txn.writes)
        return self._table.commit(Txn(checks, writes, txn.timeout_s))
