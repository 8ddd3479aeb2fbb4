"""Store leases, each held by one daemon at a time, with one row per lease."""

from dataclasses import dataclass

import msgspec

from gypsumplank.errors import EntryInvalidError
from gypsumplank.protocol.decoder import Count, decode_json
from gypsumplank.state.row import RowDecoder
from gypsumplank.state.table import ABSENT, Check, Row, Table, Txn, Write, scan_all

TABLE_LEASES = "leases"
# Stands for the holder in a row that cannot be read.
UNKNOWN_HOLDER = "?"


@dataclass(frozen=True)
class Lease:
    """Represent a lease; `epoch` increases with every holder, `holder` is empty if it is free.

    `beat` counts the renewals. `until_ms` is the lease's expiry on the table service's clock, 0
    if that clock is not known.
    """

    name: str
    holder: str = ""
    epoch: Count = 0
    beat: Count = 0
    until_ms: Count = 0


@dataclass(frozen=True)
class LeaseRow:
    """Represent a lease as read, with its row's version."""

    lease: Lease
    version: int = ABSENT

    @property
    def fence(self) -> Check:
        """Return the check that fails once the lease has changed."""
        return Check(TABLE_LEASES, self.lease.name, self.version)


class LeaseStore:
    """Read and write lease rows."""

    def __init__(self, table: Table) -> None:
        self._table = table
        self._rows = RowDecoder(_decode)

    def all(self) -> dict[str, LeaseRow]:
        """Return every lease row by name; a malformed one counts as held by an unknown holder."""
        rows = scan_all(self._table, TABLE_LEASES)
        return {row.key: self._rows.decode(row) or _unknown(row) for row in rows}

    def put(self, lease: Lease, version: int) -> LeaseRow:
        """Write a lease if its row still has this version; raise StateError."""
        check = Check(TABLE_LEASES, lease.name, version)
        write = Write(TABLE_LEASES, lease.name, msgspec.json.encode(lease))
        return LeaseRow(lease, self._table.commit(Txn((check,), (write,))))


def _decode(row: Row) -> LeaseRow:
    lease = decode_json(row.value, Lease)
    if lease.name != row.key:
        raise EntryInvalidError(f"the lease is named {lease.name!r}")
    return LeaseRow(lease, row.version)


def _unknown(row: Row) -> LeaseRow:
    # Each epoch takes a transaction, so that none can be above the row's version.
    return LeaseRow(Lease(row.key, UNKNOWN_HOLDER, row.version), row.version)
