"""Track from session rows which daemons are live and may still use a host."""

from collections.abc import Iterable
from dataclasses import dataclass

from gypsumplank.state.clock import Clock
from gypsumplank.state.session import Session


@dataclass(frozen=True)
class ObservedSession:
    """Store a session as read and since when it is unchanged, in monotonic seconds."""

    session: Session
    unchanged_since: float


class DaemonTracker:
    """Detect lapsed sessions by this daemon's own monotonic clock.

    A daemon counts as lapsed if its row has not changed for its lease plus a margin while the
    rows were read without a gap. A gap in reading, such as a platform outage, restarts all
    timeouts. The requests in flight at a lapsed daemon are unknown, so a drain then waits for its
    full grace period.
    """

    def __init__(self, clock: Clock, lease_s: float, margin_s: float) -> None:
        self._clock = clock
        self.lapse_timeout_s = lease_s + margin_s
        self._max_read_gap_s = lease_s
        self._last_read_at: float | None = None
        self._observed: dict[str, ObservedSession] = {}

    def observe(self, sessions: Iterable[Session]) -> None:
        """Update the state with all session rows as just read."""
        now = self._clock.monotonic()
        after_gap = self._last_read_at is None or now - self._last_read_at > self._max_read_gap_s
        self._last_read_at = now
        self._observed = {sess.id: self._observe_session(sess, now, after_gap) for sess in sessions}

    def _observe_session(self, session: Session, now: float, after_gap: bool) -> ObservedSession:
        known = self._observed.get(session.id)
        if known is None or after_gap or known.session != session:
            return ObservedSession(session, now)
        return known

    @property
    def live(self) -> tuple[Session, ...]:
        """Return the sessions that have not lapsed."""
        oldest = self._clock.monotonic() - self.lapse_timeout_s
        return tuple(
            observed.session
            for observed in self._observed.values()
            if observed.unchanged_since >= oldest
        )

    @property
    def lapsed(self) -> tuple[str, ...]:
        """Return the daemons whose rows still exist but are no longer renewed."""
        oldest = self._clock.monotonic() - self.lapse_timeout_s
        return tuple(
            name for name, observed in self._observed.items() if observed.unchanged_since < oldest
        )

    def is_in_force_everywhere(self, revision: int) -> bool:
        """Check whether every live daemon has the revision in force by a recent read."""
        return self._is_current() and all(sess.revision >= revision for sess in self.live)

    def in_flight(self, host: str) -> int:
        """Return the number of requests that all live daemons have in flight at a host."""
        return sum(sess.leaving.get(host, 0) for sess in self.live)

    def behind(self, revision: int) -> tuple[str, ...]:
        """Return the live daemons that do not have this revision in force."""
        return tuple(sess.id for sess in self.live if sess.revision < revision)

    def _is_current(self) -> bool:
        now = self._clock.monotonic()
        return self._last_read_at is not None and now - self._last_read_at <= self._max_read_gap_s
