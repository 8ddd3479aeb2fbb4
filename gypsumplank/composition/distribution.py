"""Assemble the components that distribute the configuration to all daemons."""

import random
from collections.abc import Callable

from gypsumplank.coordination.follower import ConfigFollower
from gypsumplank.coordination.heartbeat import Heartbeat
from gypsumplank.coordination.rollout import LocalState, RevisionTracker
from gypsumplank.coordination.snapshot import SnapshotExchange
from gypsumplank.metrics import Metrics
from gypsumplank.protocol.envelope import MessageSigner, MessageVerifier
from gypsumplank.settings import Settings
from gypsumplank.state.clock import Clock
from gypsumplank.state.config import ConfigStore
from gypsumplank.state.view import CurrentView
from gypsumplank.transport.peer import PynngPeers

MICROSECONDS_PER_S = 1_000_000


def make_peers(cfg: Settings, metrics: Metrics, clock: Clock) -> PynngPeers:
    """Create the transport for messages between daemons."""
    count_drop = metrics.counter("gypsumplank.peer.drops", "Peer messages dropped, by reason")
    return PynngPeers(
        cfg.id,
        cfg.peers,
        MessageSigner(cfg.peer_key, int(clock.wall() * MICROSECONDS_PER_S)),
        MessageVerifier(cfg.peer_key, cfg.id, clock.monotonic),
        lambda reason: count_drop(1, {"reason": reason}),
        clock.monotonic,
    )


class DistributionComponents:
    """Create the components that pull, announce and serve the configuration in force."""

    def __init__(
        self,
        cfg: Settings,
        peers: PynngPeers,
        store: ConfigStore,
        current_view: CurrentView,
        heartbeat: Heartbeat,
        wake_follower: Callable[[], None],
        clock: Clock,
    ) -> None:
        self._cfg = cfg
        self._peers = peers
        self._heartbeat = heartbeat
        local_state = LocalState(
            lambda: heartbeat.session,
            lambda: current_view.view.revision,
            lambda: self.follower.caught_up,
        )
        self.rollout = RevisionTracker(
            local_state, peers, clock, lambda: heartbeat.live, wake_follower
        )
        self.follower = ConfigFollower(
            store, current_view, self.rollout.announce_in_force, self.rollout.newest_revision
        )
        self.snapshots = SnapshotExchange(
            peers,
            current_view,
            self.follower,
            self.rollout,
            clock,
            lambda: heartbeat.session,
            lambda: heartbeat.live,
            cfg.lease_s,
            random.Random(),
        )

    def connect_peers(self) -> None:
        """Connect to the live daemons and announce this daemon's revision to them."""
        live_addresses = {session.id: session.peers for session in self._heartbeat.live}
        self._peers.set_peers({**self.snapshots.addresses, **live_addresses}, self._cfg.peer_seeds)
        self.rollout.tick()
