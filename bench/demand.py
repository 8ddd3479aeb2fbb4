"""Simulate requests to an in-memory fleet whose pools receive a burst in turn."""

import heapq
import random
from collections import Counter, deque
from dataclasses import dataclass

from gypsumplank.coordination.budget import pool_availability
from gypsumplank.coordination.flood import is_flooded
from gypsumplank.errors import EndpointLeavingError
from gypsumplank.protocol.spec import AssignmentState
from gypsumplank.state.view import View
from standins.fleet import Fleet

BURST_S = 6.0
BURST_FACTOR = 5.0
QUIET_FACTOR = 0.05
BURST_UTILIZATION = 1.25
MIN_RUN_S = 0.5
MAX_RUN_S = 2.5
REQUEST_TIMEOUT_S = 10.0
MEAN_RUN_S = (MIN_RUN_S + MAX_RUN_S) / 2


@dataclass
class TrafficCounts:
    """Count requests by outcome, and the pool steps below the availability budget."""

    finished: int = 0
    late: int = 0
    interrupted: int = 0
    budget_violations: int = 0

    @property
    def on_time_fraction(self) -> float:
        """Return the fraction of requests that finished on time."""
        return self.finished / max(1, self.finished + self.late + self.interrupted)


@dataclass(frozen=True, order=True)
class ActiveRequest:
    """Represent one request in flight; times are in seconds of the fleet's clock."""

    ends_at: float
    deadline: float
    node_index: int
    host: str


class Traffic:
    """Simulate the waiting and running requests of all pools.

    Each pool in turn is offered 1.25 times its capacity for 6 s and little at other times.
    """

    def __init__(self, fleet: Fleet, seed: int = 1) -> None:
        self._fleet = fleet
        self._rng = random.Random(seed)
        self._pools = sorted(fleet.view.pools)
        self._waiting: dict[str, deque[float]] = {pool: deque() for pool in self._pools}
        self._active: list[ActiveRequest] = []
        self._busy_slots: Counter[str] = Counter()
        self._pending_arrivals = dict.fromkeys(self._pools, 0.0)
        self.counts = TrafficCounts()

    def is_pool_flooded(self, pool: str) -> bool:
        """Return whether a pool's demand exceeds its capacity."""
        return is_flooded(self._fleet.view, pool, {pool: self.demand(pool)})

    def demand(self, pool: str) -> int:
        """Return the number of requests that wait for a pool or run in it."""
        running = sum(self._busy_slots[host] for host in self._fleet.view.hosts_of(pool))
        return len(self._waiting[pool]) + running

    def step(self, elapsed_s: float) -> None:
        """Complete, add and start requests; call it after the clock has advanced."""
        now, view = self._fleet.clock.now, self._fleet.view
        while self._active and self._active[0].ends_at <= now:
            self._complete(heapq.heappop(self._active))
        self._interrupt_lost(view)
        for pool in self._pools:
            self._add_arrivals(view, pool, now, elapsed_s)
            self._start_waiting(pool, now)
            budget_status = pool_availability(view, pool)
            self.counts.budget_violations += budget_status.shortfall > 0

    def _add_arrivals(self, view: View, pool: str, now: float, elapsed_s: float) -> None:
        slots = sum(view.hosts[host].slots for host in view.hosts_of(pool))
        mean_rate = BURST_UTILIZATION * slots / MEAN_RUN_S / BURST_FACTOR
        burst_index = int(now / BURST_S) % len(self._pools)
        rate_factor = BURST_FACTOR if self._pools[burst_index] == pool else QUIET_FACTOR
        self._pending_arrivals[pool] += mean_rate * rate_factor * elapsed_s
        while self._pending_arrivals[pool] >= 1:
            self._pending_arrivals[pool] -= 1
            self._waiting[pool].append(now + REQUEST_TIMEOUT_S)

    def _start_waiting(self, pool: str, now: float) -> None:
        queue = self._waiting[pool]
        while queue and queue[0] < now:
            queue.popleft()
            self.counts.late += 1
        while queue and self._try_start(pool, queue[0], now):
            queue.popleft()

    def _try_start(self, pool: str, deadline: float, now: float) -> bool:
        node_index = self._rng.randrange(len(self._fleet.nodes))
        node = self._fleet.nodes[node_index]
        view = node.current_view.view
        free_hosts = [
            name
            for name in view.serving_hosts(pool)
            if self._busy_slots[name] < view.hosts[name].slots
        ]
        if not free_hosts:
            return False
        host = min(free_hosts, key=lambda name: self._busy_slots[name])
        try:
            node.start_request(pool, host)
        except EndpointLeavingError:
            return False
        self._busy_slots[host] += 1
        ends_at = now + self._rng.uniform(MIN_RUN_S, MAX_RUN_S)
        heapq.heappush(self._active, ActiveRequest(ends_at, deadline, node_index, host))
        return True

    def _complete(self, request: ActiveRequest) -> None:
        self._release(request)
        if request.ends_at <= request.deadline:
            self.counts.finished += 1
        else:
            self.counts.late += 1

    def _release(self, request: ActiveRequest) -> None:
        self._busy_slots[request.host] -= 1
        node = self._fleet.nodes[request.node_index]
        node.usage.end_request(self._fleet.view.hosts[request.host].address)

    def _interrupt_lost(self, view: View) -> None:
        """Count and remove the requests on hosts that went out of service while they ran."""
        lost_hosts = {
            host
            for host, assignment in view.assignments.items()
            if assignment.state is AssignmentState.OUT and self._busy_slots[host]
        }
        for request in [request for request in self._active if request.host in lost_hosts]:
            self._active.remove(request)
            self._release(request)
            self.counts.interrupted += 1
        heapq.heapify(self._active)
