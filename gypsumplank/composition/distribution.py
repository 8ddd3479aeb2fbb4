"""Assemble the components that distribute the configuration to all daemons."""

import random
from collections.abc import Callable

from gypsumplank.coordination.follower import Follower
from gypsumplank.coordination.heartbeat import Heartbeat
from gypsumplank.coordination.rollout import Own, Rollout
from gypsumplank.coordination.snapshot import Snapshots
from gypsumplank.metrics import Metrics
from gypsumplank.protocol.envelope import Opener, Sealer
from gypsumplank.settings import Settings
from gypsumplank.state.clock import Clock
from gypsumplank.state.config import ConfigStore
from gypsumplank.state.view import ViewHolder
from gypsumplank.transport.peer import PynngPeers

MICROSECONDS_PER_S = 1_000_000


def make_peers(cfg: Settings, metrics: Metrics, clock: Clock) -> PynngPeers:
    """Create the transport for messages between daemons."""
    count_drop = metrics.counter("gypsumplank.peer.drops", "Peer messages dropped, by reason")
    return PynngPeers(
        cfg.id,
        cfg.peers,
        Sealer(cfg.peer_key, int(clock.wall() * MICROSECONDS_PER_S)),
        Opener(cfg.peer_key, cfg.id, clock.monotonic),
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
        view_holder: ViewHolder,
        heartbeat: Heartbeat,
        wake_follower: Callable[[], None],
        clock: Clock,
    ) -> None:
        self._cfg = cfg
        self._peers = peers
        self._heartbeat = heartbeat
        own_status = Own(
            lambda: heartbeat.session,
            lambda: view_holder.current.revision,
            lambda: self.follower.caught_up,
        )
        self.rollout = Rollout(own_status, peers, clock, lambda: heartbeat.live, wake_follower)
        self.follower = Follower(store, view_holder, self.rollout.acknowledge, self.rollout.ahead)
        self.snapshots = Snapshots(
            peers,
            view_holder,
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
        self._peers.connect({**self.snapshots.addresses, **live_addresses}, self._cfg.peer_seeds)
        self.rollout.tick()
