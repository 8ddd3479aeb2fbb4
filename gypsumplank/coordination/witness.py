"""Know from session rows which daemons may still use a host."""

from collections.abc import Iterable
from dataclasses import dataclass

from gypsumplank.state.clock import Clock
from gypsumplank.state.session import Session


@dataclass(frozen=True)
class Sighting:
    """Hold a session as read and when its row last changed, in monotonic seconds."""

    session: Session
    at: float


class Witness:
    """Watch the session rows on this daemon's own clock.

    A daemon counts as lapsed once its row stayed the same for longer than its lease and a margin,
    seen without a gap; a gap in reading, as in an outage of the platform, starts all counts anew.
    What a lapsed daemon has in flight is unknown, so a drain then waits for its whole grace.
    """

    def __init__(self, clock: Clock, lease_s: float, margin_s: float) -> None:
        self._clock = clock
        self.wait_s = lease_s + margin_s
        self._gap_s = lease_s
        self._read_at: float | None = None
        self._seen: dict[str, Sighting] = {}

    def observe(self, sessions: Iterable[Session]) -> None:
        """Take in all session rows as read just now."""
        now = self._clock.monotonic()
        blind = self._read_at is None or now - self._read_at > self._gap_s
        self._read_at = now
        self._seen = {sess.id: self._sighting(sess, now, blind) for sess in sessions}

    def _sighting(self, session: Session, now: float, blind: bool) -> Sighting:
        known = self._seen.get(session.id)
        if known is None or blind or known.session != session:
            return Sighting(session, now)
        return known

    @property
    def live(self) -> tuple[Session, ...]:
        """Return the sessions that may still be in use."""
        oldest = self._clock.monotonic() - self.wait_s
        return tuple(held.session for held in self._seen.values() if held.at >= oldest)

    @property
    def lapsed(self) -> tuple[str, ...]:
        """Return the daemons whose rows are left but no longer renewed."""
        oldest = self._clock.monotonic() - self.wait_s
        return tuple(name for name, held in self._seen.items() if held.at < oldest)

    def in_force(self, revision: int) -> bool:
        """Tell whether every live daemon has this revision in force."""
        return self._fresh() and all(sess.revision >= revision for sess in self.live)

    def in_flight(self, host: str) -> int:
        """Return the requests in flight at a host at all live daemons."""
        return sum(sess.leaving.get(host, 0) for sess in self.live)

    def behind(self, revision: int) -> tuple[str, ...]:
        """Return the live daemons that do not have this revision in force."""
        return tuple(sess.id for sess in self.live if sess.revision < revision)

    def _fresh(self) -> bool:
        now = self._clock.monotonic()
        return self._read_at is not None and now - self._read_at <= self._gap_s
