"""Keep a row for each daemon, so that all know where the others listen."""

import logging
import math
import random
from collections.abc import Sequence
from dataclasses import dataclass

import msgspec

from gypsumplank.coordination.job.survey import Loop
from gypsumplank.errors import EntryInvalidError
from gypsumplank.log import Event, event
from gypsumplank.state.clock import Clock
from gypsumplank.state.job import decode
from gypsumplank.state.table import Table, Txn, Write, scan_all

TABLE_DAEMONS = "daemons"
# Time between renewals of the own row and reads of the others', seconds.
ROUND_S = 3.0
# Time before the second round where the first found nobody, seconds; all daemons of a new
# deployment start within less.
SECOND_ROUND_S = 0.8
# Age of a row's last change up to which its daemon counts as live, seconds.
LIVE_S = 10.0
# Ratio of processor speeds from which a neighbour is the better scheduler.
FASTER = 1.5
# Time for which a lease is left to faster neighbours, seconds; two of their looks at it.
YIELD_S = 0.8
# Longest time for which a daemon that could not look for others leaves the lease to them, seconds.
UNKNOWN_S = 2.0

logger = logging.getLogger(__name__)


class DaemonRow(msgspec.Struct, frozen=True):
    """Hold where a daemon serves others; `beat` changes with each renewal, `speed` is in cores."""

    address: str
    beat: int
    speed: float = 0.0


@dataclass(frozen=True)
class Seen:
    """Hold a neighbour's row, its version, and when it was last seen to change."""

    row: DaemonRow
    version: int
    at: float


class Neighbours(Loop):
    """Tell of this daemon and learn of the others."""

    def __init__(
        self,
        table: Table,
        daemon: str,
        address: str,
        clock: Clock,
        rng: random.Random,
        speed: float = 0.0,
    ) -> None:
        super().__init__("neighbours", ROUND_S)
        self._table = table
        self._daemon = daemon
        self._address = address
        self._clock = clock
        self._rng = rng
        self._speed = speed
        self._beat = 0
        self._looks = 0
        self._looked_at = 0.0
        self._seen: dict[str, Seen] = {}

    def step(self) -> None:
        """Renew the own row and read all."""
        self._beat += 1
        row = msgspec.json.encode(DaemonRow(self._address, self._beat, self._speed))
        self._table.commit(Txn((), (Write(TABLE_DAEMONS, self._daemon, row),)))
        now = self._clock.monotonic()
        for found in scan_all(self._table, TABLE_DAEMONS):
            known = self._seen.get(found.key)
            if found.key == self._daemon or (known and known.version == found.version):
                continue
            try:
                self._seen[found.key] = Seen(decode(found.value, DaemonRow), found.version, now)
            except EntryInvalidError as exc:
                self._seen.pop(found.key, None)
                event(
                    logger, Event.ENTRY_DROPPED, logging.WARNING, code=exc.code, detail=exc.detail
                )
        self._looks += 1
        self._looked_at = self._looked_at or now
        if self._looks == 1 and not self._seen:
            self.wait(SECOND_ROUND_S)
            self.step()

    def _live(self) -> list[DaemonRow]:
        seen = list(self._seen.values())
        newest = max((one.at for one in seen), default=0.0)
        return [one.row for one in seen if newest - one.at <= LIVE_S]

    def addresses(self) -> Sequence[str]:
        """Return where other live daemons listen, in random order."""
        live = [row.address for row in self._live()]
        return self._rng.sample(live, len(live))

    def are_faster(self) -> bool:
        """Tell whether a live neighbour is the better scheduler."""
        fastest = max((row.speed for row in self._live()), default=0.0)
        return 0 < FASTER * self._speed <= fastest

    def patience_s(self) -> float:
        """Return for how long this daemon leaves a free lease to others, seconds.

        Also yields while it has not looked for others yet.
        """
        if not self._seen and self._looks < 2:
            return UNKNOWN_S
        if not self.are_faster():
            return 0.0
        # Faster neighbours that have started with this one may still be looking.
        return YIELD_S if self._clock.monotonic() >= self._looked_at + YIELD_S else math.inf
