"""Renew this daemon's session and track which other daemons are live."""

import logging
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, replace

from gypsumplank.errors import SessionLapsedError, StateError, StateUnavailableError
from gypsumplank.log import Event, event
from gypsumplank.state.clock import Clock
from gypsumplank.state.session import Session, SessionRow, SessionStore

# Limits the rate of reading session rows: the read interval in seconds is their number over this.
SESSION_ROWS_READ_PER_S = 15.0
# Age without a renewal after which any daemon may delete a session row.
STALE_SESSION_S = 600.0

logger = logging.getLogger(__name__)


@dataclass(frozen=True)
class ObservedSessionRow:
    """Store a session row and when its version was first read, in monotonic seconds."""

    row: SessionRow
    first_read_at: float


class SessionMonitor:
    """Detect lapsed sessions by how long their rows stay unchanged on this daemon's own clock.

    A gap between reads longer than both a lease and two read intervals restarts all timeouts.
    """

    def __init__(self, clock: Clock, lease_s: float) -> None:
        self._clock = clock
        self._lease_s = lease_s
        self._observed: dict[str, ObservedSessionRow] = {}
        self._last_read_at = -lease_s

    @property
    def live(self) -> tuple[Session, ...]:
        """Return the sessions that had not lapsed at the last read."""
        all_observed = tuple(self._observed.values())
        return tuple(
            observed.row.session
            for observed in all_observed
            if self._last_read_at - observed.first_read_at < self._lease_s
        )

    @property
    def stale(self) -> tuple[SessionRow, ...]:
        """Return the rows that were not renewed for STALE_SESSION_S."""
        all_observed = self._observed.values()
        return tuple(
            observed.row
            for observed in all_observed
            if self._last_read_at - observed.first_read_at >= STALE_SESSION_S
        )

    def read_due(self) -> bool:
        """Return whether the next read is due; the interval grows with the number of rows."""
        interval_s = len(self._observed) / SESSION_ROWS_READ_PER_S
        return self._clock.monotonic() - self._last_read_at >= interval_s

    def observe(self, rows: Iterable[SessionRow]) -> None:
        """Record all session rows, as read now."""
        now = self._clock.monotonic()
        after_gap = now - self._last_read_at > max(
            self._lease_s, 2 * len(self._observed) / SESSION_ROWS_READ_PER_S
        )
        self._last_read_at = now
        self._observed = {row.session.id: self._observe_row(row, now, after_gap) for row in rows}

    def _observe_row(self, row: SessionRow, now: float, after_gap: bool) -> ObservedSessionRow:
        known = self._observed.get(row.session.id)
        unchanged = known is not None and known.row.version == row.version and not after_gap
        return known if known is not None and unchanged else ObservedSessionRow(row, now)


class Heartbeat:
    """Renew this daemon's session lease; the daemon counts as live only while it is valid."""

    def __init__(
        self,
        store: SessionStore,
        clock: Clock,
        session: Session,
        lease_s: float,
        revision: Callable[[], int],
        in_flight_at_leaving: Callable[[], Mapping[str, int]] = dict,
    ) -> None:
        self._store = store
        self._clock = clock
        self._lease_s = lease_s
        self._revision = revision
        self._in_flight_at_leaving = in_flight_at_leaving
        self._monitor = SessionMonitor(clock, lease_s)
        self._row_version: int | None = None
        self._lease_expires_at = 0.0
        self.session = session

    @property
    def live(self) -> tuple[Session, ...]:
        """Return the sessions of the live daemons at the last read."""
        return self._monitor.live

    @property
    def lease_valid(self) -> bool:
        """Return whether the session lease is valid now."""
        return self._clock.monotonic() < self._lease_expires_at

    def valid_epoch(self) -> int:
        """Return the session's epoch; raise SessionLapsedError if its lease is not valid now."""
        epoch = self.session.epoch
        if not self.lease_valid:
            raise SessionLapsedError(f"session {self.session.id!r}, epoch {epoch}")
        return epoch

    def tick(self) -> None:
        """Renew the lease and, when due, read all sessions and delete stale ones."""
        try:
            self._renew()
            if self._monitor.read_due():
                self._monitor.observe(self._store.rows())
                self._delete_stale()
        except StateError as exc:
            event(logger, Event.STATE_UNAVAILABLE, logging.WARNING, code=exc.code, step="session")

    def close(self) -> None:
        """Release the lease by deleting the session row."""
        self._lease_expires_at = 0.0
        if self._row_version is None:
            return
        try:
            self._store.remove(self.session, self._row_version)
        except StateError as exc:
            event(logger, Event.STATE_UNAVAILABLE, logging.WARNING, code=exc.code, step="session")

    def _renew(self) -> None:
        started = self._clock.monotonic()
        revision = self._revision()
        session = replace(
            self.session,
            revision=revision,
            renewed_at=self._clock.wall(),
            leaving=self._in_flight_at_leaving(),
        )
        if self._row_version is None and self.lease_valid:
            self._recover_row_version()
        if self._row_version is None or not self.lease_valid:
            self._open_session(session)
        else:
            try:
                self._row_version = self._store.renew(session, self._row_version)
            except StateError as exc:
                self._row_version = (
                    self._row_version if isinstance(exc, StateUnavailableError) else None
                )
                raise
            self.session = session
        self._lease_expires_at = started + self._lease_s

    def _recover_row_version(self) -> None:
        """Read the row's version after a renewal whose response was lost."""
        row = self._store.find(self.session.id)
        if row is not None and row.session.epoch == self.session.epoch:
            self._row_version = row.version

    def _open_session(self, session: Session) -> None:
        if self.session.epoch:
            event(logger, Event.SESSION_LAPSED, logging.WARNING, epoch=self.session.epoch)
        row = self._store.open(session)
        self.session, self._row_version = row.session, row.version
        event(logger, Event.SESSION_OPENED, epoch=row.session.epoch)

    def _delete_stale(self) -> None:
        for row in self._monitor.stale:
            self._store.remove(row.session, row.version)
