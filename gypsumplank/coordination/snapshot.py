"""Hand the configuration in force from daemon to daemon while the store is out."""

import logging
import random
from collections.abc import Callable
from dataclasses import dataclass

from gypsumplank.coordination.follower import Follower
from gypsumplank.coordination.peer import Peers
from gypsumplank.coordination.rollout import Rollout
from gypsumplank.errors import RecordsError
from gypsumplank.log import Event, event
from gypsumplank.protocol.peer import PeerMessage, Snapshot, SnapshotRequest
from gypsumplank.protocol.record import pack_records, unpack_records
from gypsumplank.state.clock import Clock
from gypsumplank.state.session import Session
from gypsumplank.state.view import ViewHolder, build_view

logger = logging.getLogger(__name__)


@dataclass(frozen=True)
class Named:
    """Hold a daemon that a peer named as live, since when in monotonic seconds."""

    address: str
    since: float


class Snapshots:
    """Serve records to daemons that are behind, and ask for them while the store is out.

    A daemon that starts during an outage counts as caught up once a caught-up daemon was heard,
    nobody heard is ahead, and each daemon named by a peer was heard or silent for a lease.
    """

    def __init__(
        self,
        peers: Peers,
        holder: ViewHolder,
        follower: Follower,
        rollout: Rollout,
        clock: Clock,
        session: Callable[[], Session],
        live: Callable[[], tuple[Session, ...]],
        lease_s: float,
        rng: random.Random,
    ) -> None:
        self._peers = peers
        self._holder = holder
        self._follower = follower
        self._rollout = rollout
        self._clock = clock
        self._session = session
        self._live = live
        self._lease_s = lease_s
        self._rng = rng
        self._named: dict[str, Named] = {}
        self._packed = (0, b"")
        peers.subscribe(SnapshotRequest, self._serve)
        peers.subscribe(Snapshot, self._take)

    def tick(self) -> None:
        """Ask a daemon that is ahead, or that can tell who is live, while the store is out."""
        if self._follower.reachable:
            return
        ahead = self._rollout.ahead() > self._holder.current.revision
        if ahead or not self._follower.caught_up:
            self._ask()
        if not ahead and not self._follower.caught_up and self._settled():
            self._follower.trust_peers()

    def _ask(self) -> None:
        contacts = self._rollout.contacts()
        newest = max((seen.revision for seen in contacts.values()), default=0)
        best = sorted(name for name, seen in contacts.items() if seen.revision == newest)
        if best:
            session = self._session()
            revision = self._holder.current.revision
            to = self._rng.choice(best)
            self._peers.send(to, SnapshotRequest(session.id, session.epoch, revision))

    def _settled(self) -> bool:
        contacts = self._rollout.contacts()
        silent_since = self._clock.monotonic() - self._lease_s
        waited = (
            name in contacts or held.since <= silent_since for name, held in self._named.items()
        )
        told = any(seen.caught_up for seen in contacts.values())
        return told and bool(self._named) and all(waited)

    def _serve(self, message: PeerMessage) -> None:
        if not isinstance(message, SnapshotRequest):
            return
        view, session = self._holder.current, self._session()
        if self._packed[0] != view.revision:
            self._packed = (view.revision, pack_records(tuple(view.records.values())))
        revision, packed = self._packed
        records = packed if message.revision < revision else b""
        daemons = {sess.id: sess.peers for sess in (*self._live(), session)}
        self._peers.send(
            message.sender, Snapshot(session.id, session.epoch, revision, records, daemons)
        )

    def _take(self, message: PeerMessage) -> None:
        if not isinstance(message, Snapshot):
            return
        now = self._clock.monotonic()
        own = self._session().id
        for name, address in message.daemons.items():
            if name != own:
                self._named.setdefault(name, Named(address, now))
        if message.revision <= self._holder.current.revision:
            return
        try:
            records = unpack_records(message.records)
        except RecordsError as exc:
            event(logger, Event.PEER_FAILED, logging.ERROR, sender=message.sender, code=exc.code)
            return
        if self._follower.adopt(build_view(message.revision, records, self._holder.current)):
            event(logger, Event.CONFIG_FROM_PEER, sender=message.sender, revision=message.revision)

    @property
    def addresses(self) -> dict[str, str]:
        """Return the peer addresses of the daemons that were named as live."""
        return {name: held.address for name, held in tuple(self._named.items())}
