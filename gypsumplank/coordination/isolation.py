"""Detect when this daemon may have missed that hosts were taken out of service."""

from collections.abc import Iterable, Mapping
from typing import Protocol

from gypsumplank.state.clock import Clock
from gypsumplank.state.session import Session


class SessionLease(Protocol):
    """Provide this daemon's session and the live sessions of all daemons."""

    session: Session

    @property
    def lease_valid(self) -> bool:
        """Return whether the session lease is valid now."""

    @property
    def live(self) -> Iterable[Session]:
        """Return the sessions that had not lapsed at the last read."""


class PeerStatus(Protocol):
    """Describe a peer's last message; `at` is in monotonic seconds."""

    @property
    def revision(self) -> int:
        """Return the configuration revision in force at the peer."""

    @property
    def at(self) -> float:
        """Return when the last message was received."""


class PeerStatuses(Protocol):
    """Provide the peers that sent a message recently."""

    def recent_peers(self) -> Mapping[str, PeerStatus]:
        """Return the last status of each peer by name."""

    def revisions(self) -> Mapping[str, int]:
        """Return the newest known revision of each live daemon."""


def is_majority(part: int, whole: int) -> bool:
    """Check whether a part is more than half of a whole."""
    return 2 * part > whole


class Isolation:
    """Decide whether requests may still be sent according to the current view.

    While this daemon's session lease is valid, every drain waits for it. After the session has
    lapsed, the view is safe only while this daemon is in contact with a majority of the live
    daemons, itself included, and none of its peers has a newer revision in force. A drain does
    not skip a lapsed daemon unless a majority of the daemons have live sessions, so at least one
    peer in contact would have reported the newer revision.
    """

    def __init__(
        self, lease: SessionLease, contacts: PeerStatuses, clock: Clock, contact_timeout_s: float
    ) -> None:
        self._lease = lease
        self._contacts = contacts
        self._clock = clock
        self._contact_timeout_s = contact_timeout_s

    def is_isolated(self) -> bool:
        """Check whether this daemon must stop sending requests."""
        if self._lease.lease_valid:
            return False
        own = self._lease.session.id
        revision = self._contacts.revisions().get(own, 0)
        oldest = self._clock.monotonic() - self._contact_timeout_s
        recent = {
            name: status
            for name, status in self._contacts.recent_peers().items()
            if status.at > oldest
        }
        others = {session.id for session in self._lease.live} - {own}
        peer_is_newer = any(status.revision > revision for status in recent.values())
        return peer_is_newer or not is_majority(1 + len(others & recent.keys()), 1 + len(others))
