"""Distribute leases over the live daemons and maintain those that this daemon holds."""

import hashlib
import logging
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, replace

from gypsumplank.errors import (
    StateConflictError,
    StateError,
    StateUnavailableError,
    StateUnknownError,
)
from gypsumplank.log import Event, event
from gypsumplank.state.clock import Clock, ClockRange
from gypsumplank.state.lease import Lease, LeaseRow, LeaseStore
from gypsumplank.state.table import Check

# A held lease is renewed this many times within its duration.
RENEWALS_PER_LEASE = 3
# Attempts to release a lease through other daemons while outcomes are unknown.
MAX_RELEASE_ATTEMPTS = 3
# Margin before another daemon's lease is taken over, as a share of its duration.
TAKEOVER_MARGIN_SHARE = 0.5

logger = logging.getLogger(__name__)


@dataclass(frozen=True)
class ObservedVersion:
    """Store a row's version and when it was first read, in monotonic seconds."""

    version: int
    first_read_at: float


def preferred_holder(name: str, daemons: Iterable[str]) -> str:
    """Return the daemon that should hold a lease, chosen by rendezvous hashing."""
    return max(daemons, key=lambda daemon: hashlib.blake2b(f"{daemon}\0{name}".encode()).digest())


class LeaseManager:
    """Acquire, renew and release leases; this daemon's monotonic clock decides if one is held.

    Another daemon's lease is taken over once its row stayed unchanged for longer than its duration
    and a margin, or once it expired on the table service's clock, if `store_clock` knows that.
    After a gap between reads longer than a lease, a row counts as unchanged only from the next
    read on. The clocks of two daemons are never compared.
    """

    def __init__(
        self,
        store: LeaseStore,
        clock: Clock,
        daemon: str,
        duration_s: float,
        margin_share: float = TAKEOVER_MARGIN_SHARE,
        store_clock: Callable[[], ClockRange] = ClockRange,
    ) -> None:
        self._store_clock = store_clock
        self._store = store
        self._clock = clock
        self._daemon = daemon
        self._duration_s = duration_s
        self._takeover_after_s = duration_s * (1 + margin_share)
        self._own_rows: dict[str, LeaseRow] = {}
        self._held_until: dict[str, float] = {}
        self._observed: dict[str, ObservedVersion] = {}
        self._free_since: dict[str, float] = {}
        self._last_read_at = clock.monotonic()
        self.holders: dict[str, str] = {}

    def fence(self, name: str) -> Check | None:
        """Return the check that fences writes made under a lease, or None if it is not held."""
        if self._clock.monotonic() >= self._held_until.get(name, 0.0):
            return None
        return self._own_rows[name].fence

    def held(self) -> tuple[str, ...]:
        """Return the names of the leases held now."""
        return tuple(name for name in sorted(self._own_rows) if self.fence(name) is not None)

    def epoch(self, name: str) -> int | None:
        """Return the epoch at which this daemon acquired a lease; None if another may hold it."""
        row = self._own_rows.get(name)
        return None if row is None else row.lease.epoch

    def held_until(self, name: str) -> float:
        """Return the monotonic time in seconds until which a lease was last known to be held."""
        return self._held_until.get(name, 0.0)

    def renew(self, name: str) -> None:
        """Renew a held lease at once, so that writes fenced by its earlier version fail.

        Raises StateError; after a StateConflictError the lease has to be read again.
        """
        row = self._own_rows[name]
        started = self._clock.monotonic()
        self._write(replace(row.lease, beat=row.lease.beat + 1), row, started)

    def tick(
        self, names: Iterable[str], live: Collection[str], acquire_delay_s: float = 0.0
    ) -> None:
        """Renew or release held leases and acquire free ones; raise StateError.

        A lease is acquired once it has been free for `acquire_delay_s`, or at once if an earlier
        process of this daemon held it.
        """
        started = self._clock.monotonic()
        rows = self._store.all()
        self._observe(rows, started)
        daemons = {*live, self._daemon}
        lease_names = sorted(names)
        self.holders = {name: rows[name].lease.holder for name in lease_names if name in rows}
        for name in lease_names:
            row = rows.get(name, LeaseRow(Lease(name)))
            is_preferred = preferred_holder(name, daemons) == self._daemon
            try:
                self._update_lease(row, is_preferred, started, acquire_delay_s)
            except StateConflictError:
                self._mark_lost(name)

    def _observe(self, rows: dict[str, LeaseRow], now: float) -> None:
        after_gap = now - self._last_read_at > self._duration_s
        self._last_read_at = now
        for name, row in rows.items():
            observed = self._observed.get(name)
            if observed is None or observed.version != row.version or after_gap:
                self._observed[name] = ObservedVersion(row.version, now)

    def _update_lease(
        self, row: LeaseRow, is_preferred: bool, now: float, acquire_delay_s: float
    ) -> None:
        name = row.lease.name
        if self._is_own(row):
            self._renew_or_release(row, is_preferred, now)
            return
        self._mark_lost(name)
        # A row that names this daemon but is not its own was written by an earlier process of it.
        orphaned = row.lease.holder == self._daemon
        if orphaned:
            acquire_delay_s = 0.0
        can_take_over = row.lease.holder and (orphaned or self._has_expired(row, now))
        if not can_take_over and not (is_preferred and not row.lease.holder):
            self._free_since.pop(name, None)
        elif now - self._free_since.setdefault(name, now) >= acquire_delay_s:
            self._free_since.pop(name, None)
            lease = Lease(row.lease.name, self._daemon, row.lease.epoch + 1)
            self._write(lease, row, now)
            event(logger, Event.LEASE_TAKEN, lease=lease.name, epoch=lease.epoch)

    def _is_own(self, row: LeaseRow) -> bool:
        own = self._own_rows.get(row.lease.name)
        same_epoch = own is not None and own.lease.epoch == row.lease.epoch
        return same_epoch and row.lease.holder == self._daemon

    def _renew_or_release(self, row: LeaseRow, is_preferred: bool, now: float) -> None:
        if not is_preferred:
            self._mark_lost(row.lease.name)
            self._store.put(replace(row.lease, holder=""), row.version)
            return
        self._own_rows[row.lease.name] = row
        due = self._held_until.get(row.lease.name, 0.0) - self._duration_s * (
            1 - 1 / RENEWALS_PER_LEASE
        )
        if now >= due:
            self._write(replace(row.lease, beat=row.lease.beat + 1), row, now)

    def _write(self, lease: Lease, row: LeaseRow, now: float) -> None:
        """Write a lease; store it in memory first to recognise it if the response is lost."""
        latest_ms = self._store_clock().latest_ms
        until_ms = latest_ms + int(self._duration_s * 1000) if latest_ms else 0
        lease = replace(lease, until_ms=until_ms)
        self._own_rows[lease.name] = LeaseRow(lease, row.version)
        self._own_rows[lease.name] = self._store.put(lease, row.version)
        self._held_until[lease.name] = now + self._duration_s
        self.holders[lease.name] = self._daemon

    def release_through(self, store: LeaseStore, name: str) -> bool:
        """Release a held lease through another client of the store, as this daemon is cut off.

        Return False if that client cannot reach the store either; the lease is then kept. If the
        outcome stays unknown, it counts as released.
        """
        try:
            row = store.all().get(name)
        except StateError:
            return False
        if row is not None and self._is_own(row) and not self._try_release(store, row):
            return False
        self._mark_lost(name)
        return True

    def _try_release(self, store: LeaseStore, row: LeaseRow) -> bool:
        """Write a lease as free; return False if that was certainly not applied."""
        for _ in range(MAX_RELEASE_ATTEMPTS):
            try:
                store.put(replace(row.lease, holder=""), row.version)
            except StateUnavailableError:
                return False
            except StateUnknownError as exc:
                event(logger, Event.STATE_UNAVAILABLE, logging.WARNING, code=exc.code, step="lease")
                continue
            except StateConflictError:
                # An earlier attempt was applied, or another daemon has taken the lease.
                return True
            return True
        return True

    def _has_expired(self, row: LeaseRow, now: float) -> bool:
        if 0 < row.lease.until_ms < self._store_clock().earliest_ms:
            return True
        return now - self._observed[row.lease.name].first_read_at > self._takeover_after_s

    def _mark_lost(self, name: str) -> None:
        if self._own_rows.pop(name, None) is not None:
            self._held_until.pop(name, None)
            event(logger, Event.LEASE_LOST, logging.WARNING, lease=name)

    def close(self) -> None:
        """Release all leases; those whose release cannot be written expire."""
        for row in list(self._own_rows.values()):
            try:
                self._store.put(replace(row.lease, holder=""), row.version)
            except StateError as exc:
                event(logger, Event.STATE_UNAVAILABLE, logging.WARNING, code=exc.code, step="lease")
        self._own_rows.clear()
        self._held_until.clear()
