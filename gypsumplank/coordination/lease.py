"""Spread leases over the live daemons and hold this daemon's share of them."""

import hashlib
import logging
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, replace

from gypsumplank.errors import StateConflictError, StateError
from gypsumplank.log import Event, event
from gypsumplank.state.clock import Clock
from gypsumplank.state.lease import Lease, LeaseRow, LeaseStore
from gypsumplank.state.table import Check

RENEWALS_A_LEASE = 3
MARGIN_SHARE = 0.5

logger = logging.getLogger(__name__)


@dataclass(frozen=True)
class Sighting:
    """Hold a row's version and when it was first seen, in monotonic seconds."""

    version: int
    at: float


def preferred(name: str, daemons: Iterable[str]) -> str:
    """Return the daemon that should hold a lease, by rendezvous hashing."""
    return max(daemons, key=lambda daemon: hashlib.blake2b(f"{daemon}\0{name}".encode()).digest())


class Leases:
    """Take, renew and give up leases; one counts as held only on the monotonic clock.

    A lease of another daemon is taken once its row stayed the same for longer than its life, or
    its end has passed on the table service's clock, where `store_ms` tells that clock; so no two
    daemons' clocks are ever compared.
    """

    def __init__(
        self,
        store: LeaseStore,
        clock: Clock,
        daemon: str,
        life_s: float,
        margin_share: float = MARGIN_SHARE,
        store_ms: Callable[[], int] = lambda: 0,
    ) -> None:
        self._store_ms = store_ms
        self._store = store
        self._clock = clock
        self._daemon = daemon
        self._life_s = life_s
        self._wait_s = life_s * (1 + margin_share)
        self._mine: dict[str, LeaseRow] = {}
        self._until: dict[str, float] = {}
        self._seen: dict[str, Sighting] = {}
        self._free_since: dict[str, float] = {}
        self._read_at = clock.monotonic()
        self.holders: dict[str, str] = {}

    def fence(self, name: str) -> Check | None:
        """Return the check that fences a write under a lease; None where it is not held."""
        if self._clock.monotonic() >= self._until.get(name, 0.0):
            return None
        return self._mine[name].fence

    def held(self) -> tuple[str, ...]:
        """Return the names of the leases held now."""
        return tuple(name for name in sorted(self._mine) if self.fence(name) is not None)

    def epoch(self, name: str) -> int | None:
        """Return the epoch under which this daemon took a lease; None where another may hold it."""
        mine = self._mine.get(name)
        return None if mine is None else mine.lease.epoch

    def proven_until(self, name: str) -> float:
        """Return the monotonic second until which a lease was last known to be held."""
        return self._until.get(name, 0.0)

    def renew(self, name: str) -> None:
        """Change a held lease's row at once, so that no earlier write can still pass its fence.

        Raises StateError; StateConflictError where the lease has to be read again.
        """
        row = self._mine[name]
        started = self._clock.monotonic()
        self._put(replace(row.lease, beat=row.lease.beat + 1), row, started)

    def tick(self, names: Iterable[str], live: Collection[str], patience_s: float = 0.0) -> None:
        """Renew or give up what is held, take what has been free for a time; raise StateError."""
        started = self._clock.monotonic()
        rows = self._store.all()
        self._look(rows, started)
        daemons = {*live, self._daemon}
        wanted = sorted(names)
        self.holders = {name: rows[name].lease.holder for name in wanted if name in rows}
        for name in wanted:
            row = rows.get(name, LeaseRow(Lease(name)))
            wants = preferred(name, daemons) == self._daemon
            try:
                self._settle(row, wants, started, patience_s)
            except StateConflictError:
                self._drop(name)

    def _look(self, rows: dict[str, LeaseRow], now: float) -> None:
        blind = now - self._read_at > self._life_s
        self._read_at = now
        for name, row in rows.items():
            seen = self._seen.get(name)
            if seen is None or seen.version != row.version or blind:
                self._seen[name] = Sighting(row.version, now)

    def _settle(self, row: LeaseRow, wants: bool, now: float, patience_s: float) -> None:
        name = row.lease.name
        if self._is_mine(row):
            self._keep(row, wants, now)
            return
        self._drop(name)
        # A row that names this daemon and is not its own was written by an earlier process of it.
        orphaned = row.lease.holder == self._daemon
        if orphaned:
            patience_s = 0.0
        lapsed = row.lease.holder and (orphaned or self._lapsed(row, now))
        if not lapsed and not (wants and not row.lease.holder):
            self._free_since.pop(name, None)
        elif now - self._free_since.setdefault(name, now) >= patience_s:
            self._free_since.pop(name, None)
            lease = Lease(row.lease.name, self._daemon, row.lease.epoch + 1)
            self._put(lease, row, now)
            event(logger, Event.LEASE_TAKEN, lease=lease.name, epoch=lease.epoch)

    def _is_mine(self, row: LeaseRow) -> bool:
        mine = self._mine.get(row.lease.name)
        same = mine is not None and mine.lease.epoch == row.lease.epoch
        return same and row.lease.holder == self._daemon

    def _keep(self, row: LeaseRow, wants: bool, now: float) -> None:
        if not wants:
            self._drop(row.lease.name)
            self._store.put(replace(row.lease, holder=""), row.version)
            return
        self._mine[row.lease.name] = row
        due = self._until.get(row.lease.name, 0.0) - self._life_s * (1 - 1 / RENEWALS_A_LEASE)
        if now >= due:
            self._put(replace(row.lease, beat=row.lease.beat + 1), row, now)

    def _put(self, lease: Lease, row: LeaseRow, now: float) -> None:
        """Write a lease; an answer that is lost leaves the row to be recognised when read."""
        store_ms = self._store_ms()
        lease = replace(lease, until_ms=store_ms + int(self._life_s * 1000) if store_ms else 0)
        self._mine[lease.name] = LeaseRow(lease, row.version)
        self._mine[lease.name] = self._store.put(lease, row.version)
        self._until[lease.name] = now + self._life_s
        self.holders[lease.name] = self._daemon

    def _lapsed(self, row: LeaseRow, now: float) -> bool:
        if 0 < row.lease.until_ms < self._store_ms():
            return True
        return now - self._seen[row.lease.name].at > self._wait_s

    def _drop(self, name: str) -> None:
        if self._mine.pop(name, None) is not None:
            self._until.pop(name, None)
            event(logger, Event.LEASE_LOST, logging.WARNING, lease=name)

    def close(self) -> None:
        """Give up all leases; those that cannot be written lapse."""
        for row in list(self._mine.values()):
            try:
                self._store.put(replace(row.lease, holder=""), row.version)
            except StateError as exc:
                event(logger, Event.STATE_UNAVAILABLE, logging.WARNING, code=exc.code, step="lease")
        self._mine.clear()
        self._until.clear()
