"""Wire what spreads configuration over the daemons."""

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

MICROSECONDS = 1_000_000


def make_peers(cfg: Settings, metrics: Metrics, clock: Clock) -> PynngPeers:
    """Return the link to the other daemons."""
    count = metrics.count("gypsumplank.peer.drops", "Peer messages dropped, by reason")
    return PynngPeers(
        cfg.id,
        cfg.peers,
        Sealer(cfg.peer_key, int(clock.wall() * MICROSECONDS)),
        Opener(cfg.peer_key, cfg.id, clock.monotonic),
        lambda reason: count(1, {"reason": reason}),
        clock.monotonic,
    )


class DistributionParts:
    """Hold the parts that follow, hint and hand on the configuration."""

    def __init__(
        self,
        cfg: Settings,
        peers: PynngPeers,
        store: ConfigStore,
        holder: ViewHolder,
        beat: Heartbeat,
        hurry: Callable[[], None],
        clock: Clock,
    ) -> None:
        self._cfg = cfg
        self._peers = peers
        self._beat = beat
        own = Own(
            lambda: beat.session,
            lambda: holder.current.revision,
            lambda: self.follower.caught_up,
        )
        self.rollout = Rollout(own, peers, clock, lambda: beat.live, hurry)
        self.follower = Follower(store, holder, self.rollout.acknowledge, self.rollout.ahead)
        self.snapshots = Snapshots(
            peers,
            holder,
            self.follower,
            self.rollout,
            clock,
            lambda: beat.session,
            lambda: beat.live,
            cfg.lease_s,
            random.Random(),
        )

    def join(self) -> None:
        """Reach the daemons that are live now."""
        sessions = {session.id: session.peers for session in self._beat.live}
        self._peers.connect({**self.snapshots.addresses, **sessions}, self._cfg.peer_seeds)
        self.rollout.tick()
