"""Tell whether this daemon may have missed that hosts were taken out of service."""

from collections.abc import Iterable, Mapping
from typing import Protocol

from gypsumplank.state.clock import Clock
from gypsumplank.state.session import Session


class Lease(Protocol):
    """Tell of this daemon's session and the others'."""

    session: Session

    @property
    def held(self) -> bool:
        """Tell whether the session is in force now."""

    @property
    def live(self) -> Iterable[Session]:
        """Return the live sessions as last read."""


class Contact(Protocol):
    """Tell what a peer last told; `at` in monotonic seconds."""

    @property
    def revision(self) -> int:
        """Return the revision in force at the peer."""

    @property
    def at(self) -> float:
        """Return when the peer was heard."""


class Contacts(Protocol):
    """Tell of the peers that were heard lately."""

    def contacts(self) -> Mapping[str, Contact]:
        """Return what each told."""

    def revisions(self) -> Mapping[str, int]:
        """Return the newest known revision of each live daemon."""


def is_majority(part: int, whole: int) -> bool:
    """Tell whether a part is more than half of a whole."""
    return 2 * part > whole


class Isolation:
    """Decide whether requests may still go by the view in force.

    While the session holds, every drain waits for this daemon. Once it lapsed, the view is good
    only while most of the live daemons, this one among them, are heard and none has a newer
    revision in force. No drain passes over a lapsed daemon without most daemons' sessions, so one
    of those heard would have told of it.
    """

    def __init__(self, lease: Lease, contacts: Contacts, clock: Clock, silence_s: float) -> None:
        self._lease = lease
        self._contacts = contacts
        self._clock = clock
        self._silence_s = silence_s

    def cut_off(self) -> bool:
        """Tell whether nothing may be sent any more."""
        if self._lease.held:
            return False
        own = self._lease.session.id
        revision = self._contacts.revisions().get(own, 0)
        oldest = self._clock.monotonic() - self._silence_s
        heard = {name: seen for name, seen in self._contacts.contacts().items() if seen.at > oldest}
        others = {session.id for session in self._lease.live} - {own}
        ahead = any(seen.revision > revision for seen in heard.values())
        return ahead or not is_majority(1 + len(others & heard.keys()), 1 + len(others))
