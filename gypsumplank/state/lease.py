"""Store leases, each held by one daemon at a time, with one row per lease."""

from dataclasses import dataclass

import msgspec

from gypsumplank.state.table import ABSENT, Check, Table, Txn, Write, scan_all

TABLE_LEASES = "leases"


@dataclass(frozen=True)
class Lease:
    """Represent a lease; `epoch` increases with every holder, `holder` is empty if it is free.

    `beat` counts the renewals. `until_ms` is the lease's expiry on the table service's clock, 0
    if that clock is not known.
    """

    name: str
    holder: str = ""
    epoch: int = 0
    beat: int = 0
    until_ms: int = 0


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

    def all(self) -> dict[str, LeaseRow]:
        """Return every lease row by name."""
        rows = scan_all(self._table, TABLE_LEASES)
        leases = (LeaseRow(msgspec.json.decode(row.value, type=Lease), row.version) for row in rows)
        return {row.lease.name: row for row in leases}

    def put(self, lease: Lease, version: int) -> LeaseRow:
        """Write a lease if its row still has this version; raise StateError."""
        check = Check(TABLE_LEASES, lease.name, version)
        write = Write(TABLE_LEASES, lease.name, msgspec.json.encode(lease))
        return LeaseRow(lease, self._table.commit(Txn((check,), (write,))))
