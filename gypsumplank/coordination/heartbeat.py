"""Renew this daemon's session and know which other daemons are live."""

import logging
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, replace

from gypsumplank.errors import SessionLapsedError, StateError, StateUnavailableError
from gypsumplank.log import Event, event
from gypsumplank.state.clock import Clock
from gypsumplank.state.session import Session, SessionRow, SessionStore

ROWS_PER_S = 15.0
FORGET_S = 600.0

logger = logging.getLogger(__name__)


@dataclass(frozen=True)
class Sighting:
    """Hold a session row and when it was first read like this, in monotonic seconds."""

    row: SessionRow
    at: float


class SessionWatch:
    """Judge sessions by how long their rows stay the same, on this daemon's own clock.

    A gap in reading that is longer than a lease starts all counts anew.
    """

    def __init__(self, clock: Clock, lease_s: float) -> None:
        self._clock = clock
        self._lease_s = lease_s
        self._seen: dict[str, Sighting] = {}
        self._read_at = -lease_s

    @property
    def live(self) -> tuple[Session, ...]:
        """Return the sessions that have not lapsed as far as was read."""
        seen = tuple(self._seen.values())
        return tuple(held.row.session for held in seen if self._read_at - held.at < self._lease_s)

    @property
    def forgotten(self) -> tuple[SessionRow, ...]:
        """Return the rows that nobody has renewed for very long."""
        seen = self._seen.values()
        return tuple(held.row for held in seen if self._read_at - held.at >= FORGET_S)

    def due(self) -> bool:
        """Tell whether to read again; many rows are read less often."""
        wait_s = len(self._seen) / ROWS_PER_S
        return self._clock.monotonic() - self._read_at >= wait_s

    def observe(self, rows: Iterable[SessionRow]) -> None:
        """Take in all rows as read just now."""
        now = self._clock.monotonic()
        blind = now - self._read_at > max(self._lease_s, 2 * len(self._seen) / ROWS_PER_S)
        self._read_at = now
        self._seen = {row.session.id: self._sighting(row, now, blind) for row in rows}

    def _sighting(self, row: SessionRow, now: float, blind: bool) -> Sighting:
        known = self._seen.get(row.session.id)
        unchanged = known is not None and known.row.version == row.version and not blind
        return known if known is not None and unchanged else Sighting(row, now)


class Heartbeat:
    """Hold this daemon's lease; it counts as live only while the lease lasts."""

    def __init__(
        self,
        store: SessionStore,
        clock: Clock,
        session: Session,
        lease_s: float,
        revision: Callable[[], int],
        leaving: Callable[[], Mapping[str, int]] = dict,
    ) -> None:
        self._store = store
        self._clock = clock
        self._lease_s = lease_s
        self._revision = revision
        self._leaving = leaving
        self._watch = SessionWatch(clock, lease_s)
        self._version: int | None = None
        self._held_until = 0.0
        self.session = session

    @property
    def live(self) -> tuple[Session, ...]:
        """Return the sessions of the live daemons as last read."""
        return self._watch.live

    @property
    def held(self) -> bool:
        """Tell whether the lease is in force now."""
        return self._clock.monotonic() < self._held_until

    def check_held(self) -> int:
        """Return the epoch of the lease in force; raise SessionLapsedError."""
        epoch = self.session.epoch
        if not self.held:
            raise SessionLapsedError(f"session {self.session.id!r}, epoch {epoch}")
        return epoch

    def tick(self) -> None:
        """Renew the lease and read the other daemons' sessions."""
        try:
            self._renew()
            if self._watch.due():
                self._watch.observe(self._store.rows())
                self._forget()
        except StateError as exc:
            event(logger, Event.STATE_UNAVAILABLE, logging.WARNING, code=exc.code, step="session")

    def close(self) -> None:
        """Give the lease up."""
        self._held_until = 0.0
        if self._version is None:
            return
        try:
            self._store.remove(self.session, self._version)
        except StateError as exc:
            event(logger, Event.STATE_UNAVAILABLE, logging.WARNING, code=exc.code, step="session")

    def _renew(self) -> None:
        started = self._clock.monotonic()
        revision = self._revision()
        told = replace(
            self.session,
            revision=revision,
            renewed_at=self._clock.wall(),
            leaving=self._leaving(),
        )
        if self._version is None and self.held:
            self._find_own()
        if self._version is None or not self.held:
            self._open(told)
        else:
            try:
                self._version = self._store.renew(told, self._version)
            except StateError as exc:
                self._version = self._version if isinstance(exc, StateUnavailableError) else None
                raise
            self.session = told
        self._held_until = started + self._lease_s

    def _find_own(self) -> None:
        """Find the row's version after a renewal whose answer was lost."""
        row = self._store.find(self.session.id)
        if row is not None and row.session.epoch == self.session.epoch:
            self._version = row.version

    def _open(self, told: Session) -> None:
        if self.session.epoch:
            event(logger, Event.SESSION_LAPSED, logging.WARNING, epoch=self.session.epoch)
        row = self._store.open(told)
        self.session, self._version = row.session, row.version
        event(logger, Event.SESSION_OPENED, epoch=row.session.epoch)

    def _forget(self) -> None:
        for row in self._watch.forgotten:
            self._store.remove(row.session, row.version)
