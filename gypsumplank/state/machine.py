"""Store the times of each machine's last order and each wave's start, for the next leader."""

from collections.abc import Callable

import msgspec

from gypsumplank.errors import StateConflictError
from gypsumplank.protocol.decoder import Count, decode_json
from gypsumplank.protocol.queue import MachineOrderEntry
from gypsumplank.state.clock import ClockRange
from gypsumplank.state.row import RowDecoder
from gypsumplank.state.table import ABSENT, Check, Row, Table, Txn, Write, scan_all

TABLE_MACHINES = "machines"
TABLE_WAVES = "waves"
MS_PER_S = 1000.0


class MachineOrderLog:
    """Record machine orders before they are sent; every method may raise StateError.

    `store_clock` reads the table service's monotonic clock.
    """

    def __init__(self, table: Table, store_clock: Callable[[], ClockRange]) -> None:
        self._table = table
        self._store_clock = store_clock
        self._order_decoder = RowDecoder(_decode_order)
        self._start_decoder = RowDecoder(_decode_start)

    def record(self, machine: str, wave: int = 0, maintained_wave: int = 0) -> None:
        """Record an order for a machine; `wave` is 0 outside waves.

        `maintained_wave` is the last wave for which the machine's maintenance was accepted.
        """
        entry = MachineOrderEntry(self._store_clock().latest_ms, wave, maintained_wave)
        value = msgspec.json.encode(entry)
        self._table.commit(Txn((), (Write(TABLE_MACHINES, machine, value),)))

    def wave_age_s(self, wave: int) -> float:
        """Return the seconds since any daemon first saw a wave."""
        row = self._table.get(TABLE_WAVES, str(wave))
        started_ms = self._start_decoder.decode(row) if row is not None else None
        now_ms = self._store_clock().earliest_ms
        if started_ms is not None:
            return max(0.0, (now_ms - started_ms) / MS_PER_S)
        # A malformed row is replaced, so that the next daemon does not start anew.
        check = Check(TABLE_WAVES, str(wave), row.version if row is not None else ABSENT)
        write = Write(TABLE_WAVES, str(wave), msgspec.json.encode(now_ms))
        try:
            self._table.commit(Txn((check,), (write,)))
        except StateConflictError:
            return self.wave_age_s(wave)
        return 0.0

    def entries(self) -> dict[str, MachineOrderEntry]:
        """Return the last recorded order of each machine; the age of a malformed one is 0."""
        rows = scan_all(self._table, TABLE_MACHINES)
        return {row.key: self._order_decoder.decode(row) or MachineOrderEntry(0) for row in rows}

    def order_age_s(self, entry: MachineOrderEntry) -> float:
        """Return the seconds since an order was recorded; 0 if that is not known."""
        if not entry.at_ms:
            return 0.0
        return max(0.0, (self._store_clock().earliest_ms - entry.at_ms) / MS_PER_S)


def _decode_order(row: Row) -> MachineOrderEntry:
    return decode_json(row.value, MachineOrderEntry)


def _decode_start(row: Row) -> int:
    return decode_json(row.value, Count)
