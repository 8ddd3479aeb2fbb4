"""Split the slots of endpoints among the daemons by their demand, alike at every daemon."""

import math
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from itertools import islice

from gypsumplank.coordination.peer import Peers
from gypsumplank.protocol.peer import Demand
from gypsumplank.state.clock import Clock

FLOOR = 1
HEARD_FOR_S = 1.5
REPEAT_S = 0.5
DECAY = 2
STEADY_SHARE = 0.25


def split_slots(
    weights: Mapping[str, int], slots: Mapping[str, int], daemon: str
) -> dict[str, int]:
    """Return the slots of each host that fall to one daemon; the parts of all add up.

    Slots are laid in rounds over the hosts and cut into one run for each daemon, so that a
    part spreads evenly over hosts.
    """
    rounds = [
        host
        for number in range(max(slots.values(), default=0))
        for host in sorted(slots)
        if slots[host] > number
    ]
    total = sum(weights.values())
    before = sum(weight for name, weight in weights.items() if name < daemon)
    first = len(rounds) * before // total
    last = len(rounds) * (before + weights[daemon]) // total
    return dict(Counter(islice(rounds, first, last)))


def _steady(last: int, now: int) -> int:
    """Return the demand to tell, which small changes leave as it was."""
    if abs(now - last) <= STEADY_SHARE * last:
        return last
    return max(now, last // DECAY)


@dataclass(frozen=True)
class Heard:
    """Hold a daemon's last message and when it came, on the monotonic clock."""

    demand: Demand
    at: float


class DemandTable:
    """Exchange demand with the other daemons and weigh each by it."""

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
        self._told: dict[str, int] = {}
        self._counted: Mapping[str, int] = {}
        self._sent_at = -math.inf
        self._heard: dict[str, Heard] = {}
        peers.subscribe(Demand, self.hear)

    def tick(self) -> None:
        """Tell the others what waits here; it rises at once and falls by half each time.

        A rise counts here one round later than at the others, who make room first.
        """
        now, last = self._demand(), self._told
        self._told = {
            pool: found
            for pool in {*now, *last}
            if (found := _steady(last.get(pool, 0), now.get(pool, 0)))
        }
        self._counted = {pool: min(found, last.get(pool, 0)) for pool, found in self._told.items()}
        at = self._clock.monotonic()
        if self._told != last or at - self._sent_at >= REPEAT_S:
            self._sent_at = at
            self._peers.broadcast(Demand(self._daemon, 0, self._told))

    def hear(self, message: object) -> None:
        """Keep another daemon's demand."""
        if isinstance(message, Demand) and message.sender != self._daemon:
            self._heard[message.sender] = Heard(message, self._clock.monotonic())

    def daemons(self) -> frozenset[str]:
        """Return the daemons that share the slots now: those heard, or all with a session."""
        return frozenset({self._daemon, *(self._fresh() or self._live())})

    def weights(self, pool: str) -> dict[str, int]:
        """Return the weight of each daemon; all the same where no other was heard."""
        fresh = self._fresh()
        if not fresh:
            return dict.fromkeys(self.daemons(), FLOOR)
        held: dict[str, Mapping[str, int]] = {name: told.pools for name, told in fresh.items()}
        held[self._daemon] = self._counted
        return {name: FLOOR + pools.get(pool, 0) for name, pools in held.items()}

    def totals(self) -> dict[str, int]:
        """Return the requests that each pool holds and that wait for it at all daemons heard."""
        found = Counter(self._demand())
        for demand in self._fresh().values():
            found.update(demand.pools)
        return dict(found)

    def _fresh(self) -> dict[str, Demand]:
        """Return the last message of each daemon that was heard of late."""
        oldest = self._clock.monotonic() - HEARD_FOR_S
        heard = self._heard.copy()
        return {name: entry.demand for name, entry in heard.items() if entry.at >= oldest}
