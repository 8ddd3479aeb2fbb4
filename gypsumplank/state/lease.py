"""Keep one row for each lease that daemons hold in turn."""

from dataclasses import dataclass

import msgspec

from gypsumplank.state.table import ABSENT, Check, Table, Txn, Write, scan_all

TABLE_LEASES = "leases"


@dataclass(frozen=True)
class Lease:
    """Hold who has a lease; `epoch` rises with every holder, no holder is the empty string.

    `until_ms` is its end on the table service's clock, 0 where that clock is not known.
    """

    name: str
    holder: str = ""
    epoch: int = 0
    beat: int = 0
    until_ms: int = 0


@dataclass(frozen=True)
class LeaseRow:
    """Hold a lease as read, with its row's version."""

    lease: Lease
    version: int = ABSENT

    @property
    def fence(self) -> Check:
        """Return the check that the lease is still the same."""
        return Check(TABLE_LEASES, self.lease.name, self.version)


class LeaseStore:
    """Read and write lease rows."""

    def __init__(self, table: Table) -> None:
        self._table = table

    def all(self) -> dict[str, LeaseRow]:
        """Return every lease row by name."""
        rows = scan_all(self._table, TABLE_LEASES)
        held = (LeaseRow(msgspec.json.decode(row.value, type=Lease), row.version) for row in rows)
        return {row.lease.name: row for row in held}

    def put(self, lease: Lease, version: int) -> LeaseRow:
        """Write a lease over this version; raise StateError."""
        check = Check(TABLE_LEASES, lease.name, version)
        write = Write(TABLE_LEASES, lease.name, msgspec.json.encode(lease))
        return LeaseRow(lease, self._table.commit(Txn((check,), (write,))))
