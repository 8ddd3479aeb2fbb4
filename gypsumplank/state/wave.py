"""Store one row for each started maintenance wave."""

from dataclasses import dataclass
from enum import StrEnum

import msgspec

from gypsumplank.errors import EntryInvalidError
from gypsumplank.protocol.decoder import Count, Finite, decode_json
from gypsumplank.state.row import RowDecoder
from gypsumplank.state.table import ABSENT, Check, Row, Table, Txn, Write, scan_all

TABLE_WAVES = "waves"


class RunState(StrEnum):
    """List the states of a wave run."""

    RUNNING = "running"
    PAUSED = "paused"
    ABORTED = "aborted"
    FINISHED = "finished"


@dataclass(frozen=True)
class WaveRun:
    """Represent a run of a wave; `started_at` is in seconds since the epoch."""

    wave: str
    number: Count
    state: RunState
    started_at: Finite
    actor: str = ""
    reason: str = ""

    @property
    def id(self) -> str:
        """Return the id by which assignments refer to this run."""
        return f"{self.wave}#{self.number}"


@dataclass(frozen=True)
class RunRow:
    """Represent a run as read, with its row's version."""

    run: WaveRun
    version: int = ABSENT

    @property
    def fence(self) -> Check:
        """Return the check that fails once the run has changed."""
        return Check(TABLE_WAVES, self.run.wave, self.version)


class WaveStore:
    """Read and write wave runs."""

    def __init__(self, table: Table) -> None:
        self._table = table
        self._decoder = RowDecoder(_decode)

    def find(self, wave: str) -> RunRow | None:
        """Return a wave's last run, if any; raise EntryInvalidError."""
        row = self._table.get(TABLE_WAVES, wave)
        return None if row is None else _decode(row)

    def all(self) -> dict[str, RunRow]:
        """Return the last run of every wave, by wave name, without malformed ones."""
        rows = self._decoder.decode_all(scan_all(self._table, TABLE_WAVES))
        return {row.run.wave: row for row in rows}

    def put(self, run: WaveRun, version: int) -> RunRow:
        """Write a run if its row still has this version; raise StateError."""
        check = Check(TABLE_WAVES, run.wave, version)
        write = Write(TABLE_WAVES, run.wave, msgspec.json.encode(run))
        return RunRow(run, self._table.commit(Txn((check,), (write,))))


def _decode(row: Row) -> RunRow:
    run = decode_json(row.value, WaveRun)
    if run.wave != row.key:
        raise EntryInvalidError(f"the run is of {run.wave!r}")
    return RunRow(run, row.version)
