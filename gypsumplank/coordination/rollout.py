"""Know which revision each live daemon has in force, and tell the others of this one."""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from gypsumplank.coordination.peer import Peers
from gypsumplank.protocol.peer import Hello, Hint, InForce, PeerMessage
from gypsumplank.state.clock import Clock
from gypsumplank.state.session import Session

CONTACT_S = 10.0
HELLOS_PER_S = 15.0

Sessions = Callable[[], Iterable[Session]]


@dataclass(frozen=True)
class Sighting:
    """Hold what a daemon last told of itself; `at` in monotonic seconds."""

    epoch: int
    revision: int
    caught_up: bool
    at: float


@dataclass(frozen=True)
class Own:
    """Hold what this daemon tells of itself."""

    session: Callable[[], Session]
    revision: Callable[[], int]
    caught_up: Callable[[], bool]


class Rollout:
    """Take in what daemons tell of their revisions; a newer one makes this daemon pull."""

    def __init__(
        self, own: Own, peers: Peers, clock: Clock, live: Sessions, hurry: Callable[[], None]
    ) -> None:
        self._own = own
        self._peers = peers
        self._clock = clock
        self._live = live
        self._hurry = hurry
        self._seen: dict[str, Sighting] = {}
        self._next_hello = 0.0
        peers.subscribe(Hello, self._hear)
        peers.subscribe(InForce, self._hear)
        peers.subscribe(Hint, self._hear)

    def tick(self) -> None:
        """Tell the other daemons of this one, less often the more there are."""
        now = self._clock.monotonic()
        if now < self._next_hello:
            return
        self._next_hello = now + len(self.contacts()) / HELLOS_PER_S
        session = self._own.session()
        revision, caught_up = self._own.revision(), self._own.caught_up()
        self._peers.broadcast(Hello(session.id, session.epoch, session.peers, revision, caught_up))

    def hint(self, revision: int) -> None:
        """Tell the other daemons that a revision was accepted."""
        session = self._own.session()
        self._peers.broadcast(Hint(session.id, session.epoch, revision))

    def acknowledge(self, revision: int) -> None:
        """Tell the other daemons that a revision is in force here."""
        session = self._own.session()
        self._peers.broadcast(InForce(session.id, session.epoch, revision))

    def revisions(self) -> Mapping[str, int]:
        """Return the newest known revision of each live daemon."""
        own = self._own.session()
        told = {session.id: self._revision_of(session) for session in self._live()}
        return {**told, own.id: self._own.revision()}

    def ahead(self) -> int:
        """Return the newest revision that any live daemon is known to have in force."""
        told = (sight.revision for sight in self.contacts().values())
        return max((*told, *self.revisions().values()), default=0)

    def contacts(self) -> dict[str, Sighting]:
        """Return what the daemons told that were heard lately."""
        oldest = self._clock.monotonic() - CONTACT_S
        return {name: seen for name, seen in tuple(self._seen.items()) if seen.at > oldest}

    def _revision_of(self, session: Session) -> int:
        seen = self._seen.get(session.id)
        if seen is None or seen.epoch != session.epoch:
            return session.revision
        return max(seen.revision, session.revision)

    def _hear(self, message: PeerMessage) -> None:
        last = self._seen.get(message.sender)
        now = self._clock.monotonic()
        match message:
            case Hint(revision=revision):
                newer = revision
            case InForce(epoch=epoch, revision=revision):
                newer = revision
                caught_up = last is not None and last.caught_up
                self._seen[message.sender] = Sighting(epoch, revision, caught_up, now)
            case Hello(epoch=epoch, revision=revision, caught_up=caught_up):
                newer = revision
                self._seen[message.sender] = Sighting(epoch, revision, caught_up, now)
            case _:
                return
        if newer > self._own.revision():
            self._hurry()
