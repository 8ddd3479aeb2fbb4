"""Keep what daemons counted against objectives in rows of the table service."""

from collections.abc import Sequence

import msgspec

from gypsumplank.protocol.burn import BurnRow
from gypsumplank.state.table import Table, Txn, Write, scan_all

TABLE_BURN = "burn"
EXPIRE_ROWS = 200


class BurnStore:
    """Write and read rows; one row a process and bucket, always written whole.

    A repeated write leaves the same row, so an answer that was lost does no harm.
    """

    def __init__(self, table: Table) -> None:
        self._table = table

    def write(self, rows: Sequence[BurnRow]) -> None:
        """Set the rows; raise StateError."""
        writes = (Write(TABLE_BURN, row_key(row), msgspec.json.encode(row)) for row in rows)
        self._table.commit(Txn((), tuple(writes)))

    def read(self, since: int) -> list[BurnRow]:
        """Return the rows of the buckets from this one on; raise StateError."""
        rows = scan_all(self._table, TABLE_BURN, after=_bucket_key(since))
        return [msgspec.json.decode(row.value, type=BurnRow) for row in rows]

    def expire(self, before: int) -> int:
        """Delete the oldest rows of buckets before this one and return how many."""
        limit = _bucket_key(before)
        page = self._table.scan(TABLE_BURN, limit=EXPIRE_ROWS)
        old = tuple(Write(TABLE_BURN, row.key, None) for row in page if row.key < limit)
        if old:
            self._table.commit(Txn((), old))
        return len(old)


def _bucket_key(bucket: int) -> str:
    return f"{bucket:012d}"


def row_key(row: BurnRow) -> str:
    """Return the key of a row, in order of time."""
    return f"{_bucket_key(row.bucket)}/{row.writer}"
