"""Store the daemons' request counts for service objectives in the table service."""

from collections.abc import Sequence

import msgspec

from gypsumplank.protocol.burn import BurnRow
from gypsumplank.protocol.decoder import decode_json
from gypsumplank.state.row import RowDecoder
from gypsumplank.state.table import Row, Table, Txn, Write, scan_all

TABLE_BURN = "burn"
MAX_EXPIRED_ROWS = 200


class BurnStore:
    """Write and read count rows, one per process and time bucket.

    Each write replaces the whole row, so a write can be repeated after a lost response.
    """

    def __init__(self, table: Table) -> None:
        self._table = table
        self._decoder = RowDecoder(_decode)

    def write(self, rows: Sequence[BurnRow]) -> None:
        """Write the rows; raise StateError."""
        writes = (Write(TABLE_BURN, row_key(row), msgspec.json.encode(row)) for row in rows)
        self._table.commit(Txn((), tuple(writes)))

    def read(self, since: int) -> list[BurnRow]:
        """Return the rows of all buckets that start at `since` (epoch seconds) or later.

        Leaves out malformed rows; raises StateError.
        """
        rows = scan_all(self._table, TABLE_BURN, after=_bucket_key(since))
        return self._decoder.decode_all(rows)

    def expire(self, before: int) -> int:
        """Delete rows of buckets that start before `before` (epoch seconds); return how many.

        Deletes at most MAX_EXPIRED_ROWS rows; raises StateError.
        """
        limit = _bucket_key(before)
        page = self._table.scan(TABLE_BURN, limit=MAX_EXPIRED_ROWS)
        deletes = tuple(Write(TABLE_BURN, row.key, None) for row in page if row.key < limit)
        if deletes:
            self._table.commit(Txn((), deletes))
        return len(deletes)


def _decode(row: Row) -> BurnRow:
    return decode_json(row.value, BurnRow)


def _bucket_key(bucket: int) -> str:
    return f"{bucket:012d}"


def row_key(row: BurnRow) -> str:
    """Return the key of a row; keys sort by time."""
    return f"{_bucket_key(row.bucket)}/{row.writer}"
