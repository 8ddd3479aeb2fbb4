"""Keep when each machine was last ordered about, so that a successor knows which ones to leave."""

from collections.abc import Callable

import msgspec

from gypsumplank.state.job import decode
from gypsumplank.state.table import Table, Txn, Write, scan_all

TABLE_MACHINES = "machines"
MS = 1000.0


class MachineOrders:
    """Note orders before they are given; every call may raise StateError.

    `clock_ms` tells the table service's steady clock, 0 where it is not known.
    """

    def __init__(self, table: Table, clock_ms: Callable[[], int]) -> None:
        self._table = table
        self._clock_ms = clock_ms

    def note(self, machine: str) -> None:
        """Note that an order for a machine is about to be given."""
        at_ms = msgspec.json.encode(self._clock_ms())
        self._table.commit(Txn((), (Write(TABLE_MACHINES, machine, at_ms),)))

    def ages(self) -> dict[str, float]:
        """Return how long ago each machine was ordered about, in seconds."""
        rows = scan_all(self._table, TABLE_MACHINES)
        now_ms = self._clock_ms()
        return {row.key: max(0.0, (now_ms - decode(row.value, int)) / MS) for row in rows}
