"""Exchange configuration snapshots between daemons while the store is unavailable."""

import logging
import random
from collections.abc import Callable
from dataclasses import dataclass

from gypsumplank.coordination.follower import ConfigFollower
from gypsumplank.coordination.peer import Peers
from gypsumplank.coordination.rollout import RevisionTracker
from gypsumplank.errors import RecordsError
from gypsumplank.log import Event, event
from gypsumplank.protocol.peer import PeerMessage, Snapshot, SnapshotRequest
from gypsumplank.protocol.record import pack_records, unpack_records
from gypsumplank.state.clock import Clock
from gypsumplank.state.session import Session
from gypsumplank.state.view import CurrentView, build_view

logger = logging.getLogger(__name__)


@dataclass(frozen=True)
class ReportedDaemon:
    """Represent a daemon that a peer reported as live; the time is in monotonic seconds."""

    address: str
    first_reported_at: float


class SnapshotExchange:
    """Send snapshots to daemons that are behind, and request them while the store is unavailable.

    A daemon that starts during an outage counts as caught up once it has a caught-up contact, no
    contact is ahead, and each daemon reported by a peer is a contact or was first reported at least
    one session lease ago.
    """

    def __init__(
        self,
        peers: Peers,
        current_view: CurrentView,
        follower: ConfigFollower,
        rollout: RevisionTracker,
        clock: Clock,
        session: Callable[[], Session],
        live: Callable[[], tuple[Session, ...]],
        lease_s: float,
        rng: random.Random,
    ) -> None:
        self._peers = peers
        self._current_view = current_view
        self._follower = follower
        self._rollout = rollout
        self._clock = clock
        self._session = session
        self._live = live
        self._lease_s = lease_s
        self._rng = rng
        self._reported: dict[str, ReportedDaemon] = {}
        self._packed_records = (0, b"")
        peers.subscribe(SnapshotRequest, self._send_snapshot)
        peers.subscribe(Snapshot, self._receive_snapshot)

    def tick(self) -> None:
        """During an outage of the store, request a snapshot if behind or not caught up."""
        if self._follower.reachable:
            return
        ahead = self._rollout.newest_revision() > self._current_view.view.revision
        if ahead or not self._follower.caught_up:
            self._request_snapshot()
        if not ahead and not self._follower.caught_up and self._is_confirmed():
            self._follower.mark_caught_up()

    def _request_snapshot(self) -> None:
        contacts = self._rollout.recent_peers()
        newest = max((contact.revision for contact in contacts.values()), default=0)
        newest_names = sorted(
            name for name, contact in contacts.items() if contact.revision == newest
        )
        if newest_names:
            session = self._session()
            revision = self._current_view.view.revision
            target = self._rng.choice(newest_names)
            self._peers.send(target, SnapshotRequest(session.id, session.epoch, revision))

    def _is_confirmed(self) -> bool:
        contacts = self._rollout.recent_peers()
        lease_start = self._clock.monotonic() - self._lease_s
        is_contact_or_silent = (
            name in contacts or reported.first_reported_at <= lease_start
            for name, reported in self._reported.items()
        )
        any_caught_up = any(contact.caught_up for contact in contacts.values())
        return any_caught_up and bool(self._reported) and all(is_contact_or_silent)

    def _send_snapshot(self, message: PeerMessage) -> None:
        if not isinstance(message, SnapshotRequest):
            return
        view, session = self._current_view.view, self._session()
        if self._packed_records[0] != view.revision:
            self._packed_records = (view.revision, pack_records(tuple(view.records.values())))
        revision, packed = self._packed_records
        records = packed if message.revision < revision else b""
        daemons = {sess.id: sess.peers for sess in (*self._live(), session)}
        self._peers.send(
            message.sender, Snapshot(session.id, session.epoch, revision, records, daemons)
        )

    def _receive_snapshot(self, message: PeerMessage) -> None:
        if not isinstance(message, Snapshot):
            return
        now = self._clock.monotonic()
        own = self._session().id
        for name, address in message.daemons.items():
            if name != own:
                self._reported.setdefault(name, ReportedDaemon(address, now))
        if message.revision <= self._current_view.view.revision:
            return
        try:
            records = unpack_records(message.records)
        except RecordsError as exc:
            event(logger, Event.PEER_FAILED, logging.ERROR, sender=message.sender, code=exc.code)
            return
        if self._follower.adopt(build_view(message.revision, records, self._current_view.view)):
            event(logger, Event.CONFIG_FROM_PEER, sender=message.sender, revision=message.revision)

    @property
    def addresses(self) -> dict[str, str]:
        """Return the peer addresses of the daemons that peers reported as live."""
        return {name: reported.address for name, reported in tuple(self._reported.items())}
