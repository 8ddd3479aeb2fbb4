"""Send simulated requests through a fleet in memory: pools take turns in asking for too much."""

import heapq
import random
from collections import Counter, deque
from dataclasses import dataclass

from gypsumplank.coordination.budget import standing_of
from gypsumplank.coordination.flood import is_flooded
from gypsumplank.errors import EndpointLeavingError
from gypsumplank.protocol.spec import AssignmentState
from gypsumplank.state.view import View
from standins.fleet import Fleet

BURST_S = 6.0
BURST_FACTOR = 5.0
QUIET_FACTOR = 0.05
BURST_LOAD = 1.25
SHORTEST_S = 0.5
LONGEST_S = 2.5
DEADLINE_S = 10.0
MEAN_S = (SHORTEST_S + LONGEST_S) / 2


@dataclass
class Count:
    """Count requests by what became of them, and the rounds that a budget was broken."""

    finished: int = 0
    late: int = 0
    cut_off: int = 0
    broken: int = 0

    @property
    def on_time(self) -> float:
        """Return the share of requests that finished on time."""
        return self.finished / max(1, self.finished + self.late + self.cut_off)


@dataclass(frozen=True, order=True)
class Flight:
    """Hold one request in flight; times in seconds of the fleet's clock."""

    ends_at: float
    due: float
    node: int
    host: str


class Traffic:
    """Hold the requests that wait and are in flight."""

    def __init__(self, fleet: Fleet, seed: int = 1) -> None:
        self._fleet = fleet
        self._rng = random.Random(seed)
        self._pools = sorted(fleet.view.pools)
        self._waiting: dict[str, deque[float]] = {pool: deque() for pool in self._pools}
        self._flights: list[Flight] = []
        self._busy: Counter[str] = Counter()
        self._owed = dict.fromkeys(self._pools, 0.0)
        self.count = Count()

    def flooded(self, pool: str) -> bool:
        """Tell whether a pool is asked for more than it holds."""
        return is_flooded(self._fleet.view, pool, {pool: self.demand(pool)})

    def demand(self, pool: str) -> int:
        """Return the requests that wait for a pool and that it holds."""
        held = sum(self._busy[host] for host in self._fleet.view.hosts_of(pool))
        return len(self._waiting[pool]) + held

    def step(self, seconds: float) -> None:
        """Let requests end, arrive and start; called after the clock was advanced."""
        now, view = self._fleet.clock.now, self._fleet.view
        while self._flights and self._flights[0].ends_at <= now:
            self._end(heapq.heappop(self._flights))
        self._cut_off(view)
        for pool in self._pools:
            self._arrive(view, pool, now, seconds)
            self._start(pool, now)
            standing = standing_of(view, pool)
            self.count.broken += standing.shortfall > 0

    def _arrive(self, view: View, pool: str, now: float, seconds: float) -> None:
        slots = sum(view.hosts[host].slots for host in view.hosts_of(pool))
        mean = BURST_LOAD * slots / MEAN_S / BURST_FACTOR
        turn = int(now / BURST_S) % len(self._pools)
        factor = BURST_FACTOR if self._pools[turn] == pool else QUIET_FACTOR
        self._owed[pool] += mean * factor * seconds
        while self._owed[pool] >= 1:
            self._owed[pool] -= 1
            self._waiting[pool].append(now + DEADLINE_S)

    def _start(self, pool: str, now: float) -> None:
        waiting = self._waiting[pool]
        while waiting and waiting[0] < now:
            waiting.popleft()
            self.count.late += 1
        while waiting and self._begin(pool, waiting[0], now):
            waiting.popleft()

    def _begin(self, pool: str, due: float, now: float) -> bool:
        index = self._rng.randrange(len(self._fleet.nodes))
        node = self._fleet.nodes[index]
        view = node.holder.current
        free = [h for h in view.serving_hosts(pool) if self._busy[h] < view.hosts[h].slots]
        if not free:
            return False
        host = min(free, key=lambda name: self._busy[name])
        try:
            node.enter(pool, host)
        except EndpointLeavingError:
            return False
        self._busy[host] += 1
        ends_at = now + self._rng.uniform(SHORTEST_S, LONGEST_S)
        heapq.heappush(self._flights, Flight(ends_at, due, index, host))
        return True

    def _end(self, flight: Flight) -> None:
        self._leave(flight)
        if flight.ends_at <= flight.due:
            self.count.finished += 1
        else:
            self.count.late += 1

    def _leave(self, flight: Flight) -> None:
        self._busy[flight.host] -= 1
        node = self._fleet.nodes[flight.node]
        node.usage.leave(self._fleet.view.hosts[flight.host].address)

    def _cut_off(self, view: View) -> None:
        """Count the requests at hosts that went out of service below them."""
        out = {
            host
            for host, held in view.assignments.items()
            if held.state is AssignmentState.OUT and self._busy[host]
        }
        for flight in [flight for flight in self._flights if flight.host in out]:
            self._flights.remove(flight)
            self._leave(flight)
            self.count.cut_off += 1
        heapq.heapify(self._flights)
