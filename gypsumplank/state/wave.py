"""Keep one row for each wave that was started."""

from dataclasses import dataclass
from enum import StrEnum

import msgspec

from gypsumplank.state.table import ABSENT, Check, Table, Txn, Write, scan_all

TABLE_WAVES = "waves"


class RunState(StrEnum):
    """Tell how a wave run stands."""

    RUNNING = "running"
    PAUSED = "paused"
    ABORTED = "aborted"
    FINISHED = "finished"


@dataclass(frozen=True)
class WaveRun:
    """Hold one run of a wave; `started_at` is in seconds since the epoch."""

    wave: str
    number: int
    state: RunState
    started_at: float
    actor: str = ""
    reason: str = ""

    @property
    def id(self) -> str:
        """Return the name by which assignments refer to this run."""
        return f"{self.wave}#{self.number}"


@dataclass(frozen=True)
class RunRow:
    """Hold a run as read, with its row's version."""

    run: WaveRun
    version: int = ABSENT

    @property
    def fence(self) -> Check:
        """Return the check that the run is still the same."""
        return Check(TABLE_WAVES, self.run.wave, self.version)


class WaveStore:
    """Read and write wave runs."""

    def __init__(self, table: Table) -> None:
        self._table = table

    def find(self, wave: str) -> RunRow | None:
        """Return a wave's last run."""
        row = self._table.get(TABLE_WAVES, wave)
        return None if row is None else _decode(row.value, row.version)

    def all(self) -> dict[str, RunRow]:
        """Return the last run of every wave by name."""
        rows = (_decode(row.value, row.version) for row in scan_all(self._table, TABLE_WAVES))
        return {row.run.wave: row for row in rows}

    def put(self, run: WaveRun, version: int) -> RunRow:
        """Write a run over this version; raise StateError."""
        check = Check(TABLE_WAVES, run.wave, version)
        write = Write(TABLE_WAVES, run.wave, msgspec.json.encode(run))
        return RunRow(run, self._table.commit(Txn((check,), (write,))))


def _decode(value: bytes, version: int) -> RunRow:
    return RunRow(msgspec.json.decode(value, type=WaveRun), version)
