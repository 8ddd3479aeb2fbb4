"""Track the revision in force at each live daemon, and announce this daemon's own."""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from gypsumplank.coordination.peer import Peers
from gypsumplank.protocol.peer import Hello, Hint, InForce, PeerMessage
from gypsumplank.state.clock import Clock
from gypsumplank.state.session import Session

# Time after its last message for which a peer counts as a contact.
CONTACT_TIMEOUT_S = 10.0
# Limits the rate at which a daemon receives hellos from all others together.
HELLOS_PER_S = 15.0

Sessions = Callable[[], Iterable[Session]]


@dataclass(frozen=True)
class PeerAnnouncement:
    """Store what a peer last announced, and when it was received in monotonic seconds."""

    epoch: int
    revision: int
    caught_up: bool
    at: float


@dataclass(frozen=True)
class LocalState:
    """Provide what this daemon announces of itself."""

    session: Callable[[], Session]
    revision: Callable[[], int]
    caught_up: Callable[[], bool]


class RevisionTracker:
    """Track the revisions that peers announce; a newer one triggers a pull from the store."""

    def __init__(
        self,
        own: LocalState,
        peers: Peers,
        clock: Clock,
        live: Sessions,
        pull_now: Callable[[], None],
    ) -> None:
        self._own = own
        self._peers = peers
        self._clock = clock
        self._live = live
        self._pull_now = pull_now
        self._announcements: dict[str, PeerAnnouncement] = {}
        self._next_hello_at = 0.0
        peers.subscribe(Hello, self._receive)
        peers.subscribe(InForce, self._receive)
        peers.subscribe(Hint, self._receive)

    def tick(self) -> None:
        """Announce this daemon to the others, less often the more contacts there are."""
        now = self._clock.monotonic()
        if now < self._next_hello_at:
            return
        self._next_hello_at = now + len(self.recent_peers()) / HELLOS_PER_S
        session = self._own.session()
        revision, caught_up = self._own.revision(), self._own.caught_up()
        self._peers.broadcast(Hello(session.id, session.epoch, session.peers, revision, caught_up))

    def announce_accepted(self, revision: int) -> None:
        """Announce to the other daemons that a revision was accepted."""
        session = self._own.session()
        self._peers.broadcast(Hint(session.id, session.epoch, revision))

    def announce_in_force(self, revision: int) -> None:
        """Announce to the other daemons that a revision is in force here."""
        session = self._own.session()
        self._peers.broadcast(InForce(session.id, session.epoch, revision))

    def revisions(self) -> Mapping[str, int]:
        """Return the newest revision known to be in force at each live daemon."""
        own = self._own.session()
        announced = {session.id: self._revision_of(session) for session in self._live()}
        return {**announced, own.id: self._own.revision()}

    def newest_revision(self) -> int:
        """Return the newest revision that any live daemon is known to have in force."""
        announced = (announcement.revision for announcement in self.recent_peers().values())
        return max((*announced, *self.revisions().values()), default=0)

    def recent_peers(self) -> dict[str, PeerAnnouncement]:
        """Return the last announcement of each peer heard from within CONTACT_TIMEOUT_S."""
        oldest = self._clock.monotonic() - CONTACT_TIMEOUT_S
        return {
            name: announcement
            for name, announcement in tuple(self._announcements.items())
            if announcement.at > oldest
        }

    def _revision_of(self, session: Session) -> int:
        announcement = self._announcements.get(session.id)
        if announcement is None or announcement.epoch != session.epoch:
            return session.revision
        return max(announcement.revision, session.revision)

    def _receive(self, message: PeerMessage) -> None:
        last = self._announcements.get(message.sender)
        now = self._clock.monotonic()
        match message:
            case Hint(revision=revision):
                announced = revision
            case InForce(epoch=epoch, revision=revision):
                announced = revision
                caught_up = last is not None and last.caught_up
                self._announcements[message.sender] = PeerAnnouncement(
                    epoch, revision, caught_up, now
                )
            case Hello(epoch=epoch, revision=revision, caught_up=caught_up):
                announced = revision
                self._announcements[message.sender] = PeerAnnouncement(
                    epoch, revision, caught_up, now
                )
            case _:
                return
        if announced > self._own.revision():
            self._pull_now()
