"""Register this daemon in the store and discover the others by heartbeats."""

import math
import random
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Annotated

import msgspec

from gypsumplank.coordination.job.watch import PeriodicThread
from gypsumplank.errors import EntryInvalidError
from gypsumplank.protocol.decoder import Count
from gypsumplank.settings import check_host_address
from gypsumplank.state.clock import Clock
from gypsumplank.state.jobrow import decode
from gypsumplank.state.row import RowDecoder
from gypsumplank.state.table import Row, Table, Txn, Write, scan_all

TABLE_DAEMONS = "daemons"
# Interval between heartbeats of this daemon, and between reads of the others', seconds.
REFRESH_INTERVAL_S = 3.0
# Delay before the second refresh if the first found no other daemon, seconds; all daemons of a new
# deployment start within a shorter time.
SECOND_REFRESH_DELAY_S = 0.8
# Time since a daemon's last heartbeat up to which it counts as live, seconds; measured back from
# the newest heartbeat of any other daemon.
LIVENESS_TIMEOUT_S = 10.0
# Ratio of processor speeds from which another daemon should be the leader instead.
FASTER_RATIO = 1.5
# Time for which a free lease is left to faster daemons, seconds; two of their checks of the lease
# (LEASE_CHECK_INTERVAL_S in leader.py, 0.4 s).
YIELD_DELAY_S = 0.8
# Time for which a daemon leaves a free lease to others until it has discovered them, seconds.
DISCOVERY_DELAY_S = 2.0
# A row with a higher speed is not of a daemon.
MAX_SPEED_CORES = 10_000.0

Speed = Annotated[float, msgspec.Meta(ge=0, le=MAX_SPEED_CORES)]


class DaemonRow(msgspec.Struct, frozen=True):
    """Store a daemon's address for other daemons; `beat` counts heartbeats, `speed` is in cores.

    `intake` tells that the daemon reads submissions, as client and as leader; older builds do not.
    """

    address: str
    beat: Count
    speed: Speed = 0.0
    intake: bool = False


@dataclass(frozen=True)
class PeerRecord:
    """Store another daemon's row and its version.

    `changed_at` is when this daemon first read that version, in monotonic seconds.
    """

    row: DaemonRow
    version: int
    changed_at: float


def _decode_row(row: Row) -> DaemonRow:
    daemon = decode(row.value, DaemonRow)
    if problem := check_host_address(daemon.address):
        raise EntryInvalidError(problem)
    return daemon


class DaemonRegistry(PeriodicThread):
    """Send this daemon's heartbeats and keep track of the other daemons."""

    def __init__(
        self,
        table: Table,
        daemon: str,
        address: str,
        clock: Clock,
        rng: random.Random,
        speed: float = 0.0,
        reads_submissions: bool = False,
    ) -> None:
        super().__init__("neighbours", REFRESH_INTERVAL_S)
        self._table = table
        self._daemon = daemon
        self._address = address
        self._clock = clock
        self._rng = rng
        self._speed = speed
        self._reads_submissions = reads_submissions
        self._heartbeat = 0
        self._refreshes = 0
        self._first_refresh_at = 0.0
        self._peers: dict[str, PeerRecord] = {}
        self._decoder = RowDecoder(_decode_row)

    def step(self) -> None:
        """Send a heartbeat and read those of the other daemons."""
        self._heartbeat += 1
        own = msgspec.json.encode(
            DaemonRow(self._address, self._heartbeat, self._speed, self._reads_submissions)
        )
        self._table.commit(Txn((), (Write(TABLE_DAEMONS, self._daemon, own),)))
        now = self._clock.monotonic()
        for found in scan_all(self._table, TABLE_DAEMONS):
            known = self._peers.get(found.key)
            if found.key == self._daemon or (known and known.version == found.version):
                continue
            row = self._decoder.decode(found)
            if row is None:
                self._peers.pop(found.key, None)
            else:
                self._peers[found.key] = PeerRecord(row, found.version, now)
        self._refreshes += 1
        self._first_refresh_at = self._first_refresh_at or now
        if self._refreshes == 1 and not self._peers:
            self.wait(SECOND_REFRESH_DELAY_S)
            self.step()

    def _live_peers(self) -> list[DaemonRow]:
        peers = list(self._peers.values())
        newest = max((peer.changed_at for peer in peers), default=0.0)
        return [peer.row for peer in peers if newest - peer.changed_at <= LIVENESS_TIMEOUT_S]

    def addresses(self) -> Sequence[str]:
        """Return the addresses of other live daemons, in random order."""
        live = [row.address for row in self._live_peers()]
        return self._rng.sample(live, len(live))

    def all_read_submissions(self) -> bool:
        """Return whether this and every live daemon reads submissions; False until known."""
        is_known = self._reads_submissions and self._refreshes > 0
        return is_known and all(row.intake for row in self._live_peers())

    def any_faster(self) -> bool:
        """Return whether another live daemon is so much faster that it should be the leader."""
        fastest = max((row.speed for row in self._live_peers()), default=0.0)
        return 0 < FASTER_RATIO * self._speed <= fastest

    def takeover_delay_s(self) -> float:
        """Return for how long this daemon leaves a free lease to others, in seconds.

        That is DISCOVERY_DELAY_S while no other daemon is known and fewer than two refreshes are
        done. If another daemon is faster, it is infinite for YIELD_DELAY_S after the first refresh,
        then YIELD_DELAY_S. Otherwise it is 0.
        """
        if not self._peers and self._refreshes < 2:
            return DISCOVERY_DELAY_S
        if not self.any_faster():
            return 0.0
        # Faster daemons that started together with this one may still be discovering others.
        return (
            YIELD_DELAY_S
            if self._clock.monotonic() >= self._first_refresh_at + YIELD_DELAY_S
            else math.inf
        )
