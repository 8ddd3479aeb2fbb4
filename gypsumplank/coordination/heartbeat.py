"""Renew this daemon's session and know which other daemons are live."""

import logging
from collections.abc import Callable, Mapping
from dataclasses import replace

from gypsumplank.errors import StateConflictError, StateError
from gypsumplank.log import Event, event
from gypsumplank.state.clock import Clock
from gypsumplank.state.session import Session, SessionStore

logger = logging.getLogger(__name__)


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
        self._version: int | None = None
        self._held_until = 0.0
        self.session = session
        self.live: tuple[Session, ...] = ()

    @property
    def held(self) -> bool:
        """Tell whether the lease is in force now."""
        return self._clock.monotonic() < self._held_until

    def tick(self) -> None:
        """Renew the lease and read the other daemons' sessions."""
        try:
            self._renew()
            self._read()
        except StateError as exc:
            self._version = None
            event(logger, Event.STATE_UNAVAILABLE, logging.WARNING, code=exc.code, step="session")

    def close(self) -> None:
        """Give the lease up."""
        if self._version is None:
            return
        try:
            self._store.remove(self.session, self._version)
        except StateError as exc:
            event(logger, Event.STATE_UNAVAILABLE, logging.WARNING, code=exc.code, step="session")

    def _renew(self) -> None:
        started = self._clock.monotonic()
        if self._version is None:
            self._take_epoch()
        revision = self._revision()
        self.session = replace(
            self.session,
            revision=revision,
            renewed_at=self._clock.wall(),
            leaving=self._leaving(),
        )
        try:
            self._version = self._store.renew(self.session, self._version or 0)
        except StateConflictError:
            self._version = None
            raise
        self._held_until = started + self._lease_s

    def _take_epoch(self) -> None:
        found, version = self._store.find(self.session.id)
        epoch = found.epoch + 1 if found else 1
        self.session = replace(self.session, epoch=epoch)
        self._version = version

    def _read(self) -> None:
        oldest = self._clock.wall() - self._lease_s
        self.live = tuple(sess for sess in self._store.all() if sess.renewed_at > oldest)
