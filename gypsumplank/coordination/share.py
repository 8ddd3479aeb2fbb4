"""Divide the slots of endpoints among daemons by demand, with the same result at each."""

import math
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from itertools import islice

from gypsumplank.coordination.peer import Peers
from gypsumplank.protocol.peer import Demand
from gypsumplank.state.clock import Clock

# Weight of a daemon without demand.
BASE_WEIGHT = 1
# Age at which a daemon's last demand message is no longer used.
PEER_DEMAND_TTL_S = 1.5
# Unchanged demand is sent again after this time.
REBROADCAST_INTERVAL_S = 0.5
# Announced demand falls at most by this factor per tick.
DEMAND_DECAY_FACTOR = 2
# Relative change of demand up to which the announced value stays.
DEMAND_HYSTERESIS = 0.25


def split_slots(
    weights: Mapping[str, int], slots: Mapping[str, int], daemon: str
) -> dict[str, int]:
    """Return the slots of each host allotted to one daemon; all daemons' slots add up.

    Slots are ordered round-robin over the hosts and cut into one contiguous range for each
    daemon, in order of name, so that each daemon's slots are spread evenly over the hosts.
    """
    slot_hosts = [
        host
        for number in range(max(slots.values(), default=0))
        for host in sorted(slots)
        if slots[host] > number
    ]
    total = sum(weights.values())
    before = sum(weight for name, weight in weights.items() if name < daemon)
    first = len(slot_hosts) * before // total
    last = len(slot_hosts) * (before + weights[daemon]) // total
    return dict(Counter(islice(slot_hosts, first, last)))


def _smooth_demand(previous: int, current: int) -> int:
    """Return the demand to announce: small changes are ignored, decreases are limited."""
    if abs(current - previous) <= DEMAND_HYSTERESIS * previous:
        return previous
    return max(current, previous // DEMAND_DECAY_FACTOR)


@dataclass(frozen=True)
class ReceivedDemand:
    """Store a daemon's last demand message and when it was received, in monotonic seconds."""

    demand: Demand
    received_at: float


class DemandTable:
    """Exchange demand with the other daemons and derive each daemon's weight."""

    def __init__(
        self,
        daemon: str,
        peers: Peers,
        clock: Clock,
        live: Callable[[], Sequence[str]],
        demand: Callable[[], Mapping[str, int]],
    ) -> None:
        self._daemon = daemon
        self._peers = peers
        self._clock = clock
        self._live = live
        self._demand = demand
        self._announced: dict[str, int] = {}
        self._own_demand: Mapping[str, int] = {}
        self._sent_at = -math.inf
        self._received: dict[str, ReceivedDemand] = {}
        peers.subscribe(Demand, self.receive)

    def tick(self) -> None:
        """Broadcast this daemon's demand; it rises at once and falls by half per tick.

        This daemon applies an increase one tick later than its peers, which release slots first.
        """
        current, previous = self._demand(), self._announced
        self._announced = {
            pool: smoothed
            for pool in {*current, *previous}
            if (smoothed := _smooth_demand(previous.get(pool, 0), current.get(pool, 0)))
        }
        self._own_demand = {
            pool: min(smoothed, previous.get(pool, 0)) for pool, smoothed in self._announced.items()
        }
        at = self._clock.monotonic()
        if self._announced != previous or at - self._sent_at >= REBROADCAST_INTERVAL_S:
            self._sent_at = at
            self._peers.broadcast(Demand(self._daemon, 0, self._announced))

    def receive(self, message: object) -> None:
        """Store another daemon's demand message."""
        if isinstance(message, Demand) and message.sender != self._daemon:
            self._received[message.sender] = ReceivedDemand(message, self._clock.monotonic())

    def daemons(self) -> frozenset[str]:
        """Return the daemons that share the slots: those heard from recently, or all live ones."""
        return frozenset({self._daemon, *(self._recent_demand() or self._live())})

    def weights(self, pool: str) -> dict[str, int]:
        """Return each daemon's weight for a pool; equal if no peer was heard from recently."""
        recent = self._recent_demand()
        if not recent:
            return dict.fromkeys(self.daemons(), BASE_WEIGHT)
        demand_by_daemon: dict[str, Mapping[str, int]] = {
            name: demand.pools for name, demand in recent.items()
        }
        demand_by_daemon[self._daemon] = self._own_demand
        return {name: BASE_WEIGHT + pools.get(pool, 0) for name, pools in demand_by_daemon.items()}

    def total_demand(self) -> dict[str, int]:
        """Return the running and waiting requests of each pool, of this daemon and recent peers."""
        totals = Counter(self._demand())
        for demand in self._recent_demand().values():
            totals.update(demand.pools)
        return dict(totals)

    def _recent_demand(self) -> dict[str, Demand]:
        """Return the last demand of each peer that has not expired."""
        oldest = self._clock.monotonic() - PEER_DEMAND_TTL_S
        received = self._received.copy()
        return {
            name: entry.demand for name, entry in received.items() if entry.received_at >= oldest
        }
