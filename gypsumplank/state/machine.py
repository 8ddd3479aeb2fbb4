"""Keep when machines were last ordered about and waves began, so that a successor knows."""

from collections.abc import Callable

import msgspec

from gypsumplank.errors import StateConflictError
from gypsumplank.protocol.queue import OrderNote
from gypsumplank.state.job import decode
from gypsumplank.state.table import ABSENT, Check, Table, Txn, Write, scan_all

TABLE_MACHINES = "machines"
TABLE_WAVES = "waves"
MS = 1000.0


class MachineOrders:
    """Note orders before they are given; every call may raise StateError.

    `clock_ms` tells the table service's steady clock, 0 where it is not known.
    """

    def __init__(self, table: Table, clock_ms: Callable[[], int]) -> None:
        self._table = table
        self._clock_ms = clock_ms

    def note(self, machine: str, wave: int = 0) -> None:
        """Note that an order for a machine is about to be given, for a wave if it is one's."""
        value = msgspec.json.encode(OrderNote(self._clock_ms(), wave))
        self._table.commit(Txn((), (Write(TABLE_MACHINES, machine, value),)))

    def begun(self, wave: int) -> float:
        """Return how long ago a wave was first seen by any daemon, in seconds."""
        row = self._table.get(TABLE_WAVES, str(wave))
        now_ms = self._clock_ms()
        if row is not None:
            return max(0.0, (now_ms - decode(row.value, int)) / MS)
        write = Write(TABLE_WAVES, str(wave), msgspec.json.encode(now_ms))
        try:
            self._table.commit(Txn((Check(TABLE_WAVES, str(wave), ABSENT),), (write,)))
        except StateConflictError:
            return self.begun(wave)
        return 0.0

    def notes(self) -> dict[str, OrderNote]:
        """Return the last order of each machine."""
        rows = scan_all(self._table, TABLE_MACHINES)
        return {row.key: decode(row.value, OrderNote) for row in rows}

    def age_s(self, note: OrderNote) -> float:
        """Return how long ago an order was noted, in seconds; 0 where that is not known."""
        if not note.at_ms:
            return 0.0
        return max(0.0, (self._clock_ms() - note.at_ms) / MS)
