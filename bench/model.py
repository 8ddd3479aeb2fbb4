"""Simulate daemons and endpoints with a discrete-event loop.

The simulated daemons use the product's own admission, slot and ejection code.
"""

import heapq
import itertools
import random
from collections import Counter, deque
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from functools import partial
from typing import Protocol

from gypsumplank.coordination.admission import Admission, AdmissionLimits
from gypsumplank.coordination.allocation import SlotAllocator
from gypsumplank.coordination.ejection import Ejector
from gypsumplank.coordination.peer import MemoryPeers
from gypsumplank.coordination.share import DemandTable
from gypsumplank.coordination.slot import HostSpecs, SlotLimits, SlotTracker, UnsharedSlots
from gypsumplank.protocol.exchange import Refusal
from gypsumplank.protocol.ticket import Ticket
from gypsumplank.state.clock import ManualClock
from gypsumplank.state.view import View

DAEMON_THREADS = 128
SPLIT_INTERVAL_S = 0.1
ADMISSION_INTERVAL_S = 0.1
NETWORK_DELAY_S = 0.0015


class EventLoop:
    """Run callbacks in the order of simulated time, in seconds."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self._sequence = itertools.count()
        self._scheduled: list[tuple[float, int, Callable[[], None]]] = []

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Schedule a callback after a delay."""
        heapq.heappush(self._scheduled, (self.clock.now + delay_s, next(self._sequence), callback))

    def call_every(self, interval_s: float, callback: Callable[[], None]) -> None:
        """Schedule a callback at a fixed interval."""

        def run_and_reschedule() -> None:
            callback()
            self.call_later(interval_s, run_and_reschedule)

        self.call_later(interval_s, run_and_reschedule)

    def run(self, until: float) -> None:
        """Run all callbacks due up to this time and advance the clock to it."""
        while self._scheduled and self._scheduled[0][0] <= until:
            self.clock.now, _, callback = heapq.heappop(self._scheduled)
            callback()
        self.clock.now = until


@dataclass(frozen=True)
class SimulatedRequest:
    """Represent one request; times are in seconds of simulated time."""

    service: str
    team: str
    urgency: int
    arrived_at: float
    deadline: float
    work_s: float


@dataclass
class OutcomeCounts:
    """Count the requests of one service and team by outcome."""

    offered: int = 0
    on_time: int = 0
    late: int = 0
    refused: int = 0


class Endpoint:
    """Simulate a worker: run requests in slots and queue the rest.

    `busy_s` is the total run time of finished requests, `max_load` the largest number of
    running and queued requests, and `queued` the number that had to wait for a slot.
    """

    def __init__(self, loop: EventLoop, slots: int) -> None:
        self._loop = loop
        self._slots = slots
        self._queue: deque[tuple[SimulatedRequest, Callable[[], None]]] = deque()
        self._busy_slots = 0
        self.busy_s = 0.0
        self.max_load = 0
        self.queued = 0
        self.started = 0

    def submit(self, req: SimulatedRequest, on_done: Callable[[], None]) -> None:
        """Run a request now or when a slot is free; call `on_done` when it has finished."""
        self.queued += self._busy_slots >= self._slots
        self._queue.append((req, on_done))
        self.max_load = max(self.max_load, self._busy_slots + len(self._queue))
        self._start_queued()

    def _start_queued(self) -> None:
        while self._queue and self._busy_slots < self._slots:
            req, on_done = self._queue.popleft()
            self._busy_slots += 1
            self.started += 1
            self._loop.call_later(req.work_s, partial(self._finish, req, on_done))

    def _finish(self, req: SimulatedRequest, on_done: Callable[[], None]) -> None:
        self._busy_slots -= 1
        self.busy_s += req.work_s
        self._start_queued()
        self._loop.call_later(NETWORK_DELAY_S, on_done)


@dataclass
class SimulatedFleet:
    """Store the endpoints and the request counts of one simulation.

    Requests that arrive before `measured_from_s` are not counted as finished.
    """

    loop: EventLoop
    view: View
    rng: random.Random
    measured_from_s: float = 0.0
    endpoints: dict[str, Endpoint] = field(default_factory=dict)
    counts: dict[tuple[str, str], OutcomeCounts] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Create an endpoint for every host."""
        self.endpoints = {
            name: Endpoint(self.loop, spec.slots) for name, spec in self.view.hosts.items()
        }

    def counts_for(self, req: SimulatedRequest) -> OutcomeCounts:
        """Return the counts of a request's service and team."""
        return self.counts.setdefault((req.service, req.team), OutcomeCounts())

    def record_answer(self, req: SimulatedRequest) -> None:
        """Count a response as on time or late."""
        if req.arrived_at < self.measured_from_s:
            return
        if self.loop.clock.now <= req.deadline:
            self.counts_for(req).on_time += 1
        else:
            self.counts_for(req).late += 1

    def forward(self, host: str, req: SimulatedRequest, on_done: Callable[[], None]) -> None:
        """Send a request to a host; call `on_done` when the response arrives."""
        self.loop.call_later(NETWORK_DELAY_S, lambda: self.endpoints[host].submit(req, on_done))


class Daemon(Protocol):
    """Handle requests."""

    def handle(self, req: SimulatedRequest) -> None:
        """Handle one request."""


class ThreadPoolDaemon:
    """Handle requests in arrival order with a thread pool and no admission control.

    If no slot is free, a thread waits for one with `wait_for_slot`, until the deadline;
    otherwise the request is refused immediately.
    """

    def __init__(self, fleet: SimulatedFleet, rule: SlotLimits, wait_for_slot: bool) -> None:
        self._fleet = fleet
        self._slots = SlotTracker(fleet.rng, "", rule)
        self._wait_for_slot = wait_for_slot
        self._free_threads = DAEMON_THREADS
        self._queue: deque[SimulatedRequest] = deque()
        self._waiting: dict[str, deque[SimulatedRequest]] = {}

    def handle(self, req: SimulatedRequest) -> None:
        """Handle one request."""
        self._queue.append(req)
        self._dispatch_queued()

    def _dispatch_queued(self) -> None:
        while self._queue and self._free_threads:
            self._free_threads -= 1
            self._dispatch(self._queue.popleft())

    def _dispatch(self, req: SimulatedRequest) -> None:
        view = self._fleet.view
        pool = view.services[req.service].pool
        expired = req.deadline <= self._fleet.loop.clock.now
        host = None if expired else self._slots.acquire(view.hosts, view.serving_hosts(pool))
        if host is not None:
            self._fleet.forward(host, req, lambda: self._complete(req, host, pool))
        elif self._wait_for_slot and not expired:
            self._waiting.setdefault(pool, deque()).append(req)
        else:
            self._fleet.counts_for(req).refused += 1
            self._free_threads += 1

    def _complete(self, req: SimulatedRequest, host: str, pool: str) -> None:
        self._fleet.record_answer(req)
        self._slots.release(host)
        self._free_threads += 1
        waiting = self._waiting.get(pool)
        if waiting:
            self._dispatch(waiting.popleft())
        self._dispatch_queued()


class AdmissionDaemon:
    """Handle requests with the product's admission control and slots."""

    def __init__(self, fleet: SimulatedFleet, admission: Admission, slots: SlotTracker) -> None:
        self._fleet = fleet
        self._slots = slots
        self.admission = admission
        fleet.loop.call_every(ADMISSION_INTERVAL_S, admission.tick)

    def handle(self, req: SimulatedRequest) -> None:
        """Handle one request."""

        def on_decision(ticket: Ticket, refusal: Refusal | None) -> None:
            if refusal is None:
                self._forward(ticket, req)
            else:
                self._fleet.counts_for(req).refused += 1

        self.admission.submit(
            Ticket(req.service, req.team, req.urgency, req.arrived_at, req.deadline, on_decision)
        )

    def _forward(self, ticket: Ticket, req: SimulatedRequest) -> None:
        view = self._fleet.view
        host = self._slots.acquire(view.hosts, view.serving_hosts(ticket.pool))
        if host is None:
            self._fleet.counts_for(req).refused += 1
            self.admission.release(ticket)
            return

        def on_done() -> None:
            self._fleet.record_answer(req)
            self._slots.release(host)
            self.admission.release(ticket)

        self._fleet.forward(host, req, on_done)


DaemonFactory = Callable[[str], AdmissionDaemon]


class FullCapacity:
    """Let each daemon grant all slots, as if it were the only daemon."""

    def capacity(self, view: View, pool: str) -> int:
        """Return all slots of a pool."""
        return sum(view.hosts[name].slots for name in view.serving_hosts(pool))

    def expected_capacity(self, view: View, pool: str) -> int:
        """Return all slots of a pool."""
        return self.capacity(view, pool)


class ReportedCapacity(FullCapacity):
    """Let each daemon grant the slots that the others did not use in their last report."""

    def __init__(self, daemon: str, reported: dict[str, Counter[str]]) -> None:
        self._daemon = daemon
        self._reported = reported

    def capacity(self, view: View, pool: str) -> int:
        """Return the slots not used by the other daemons, at least 1."""
        used_by_others = sum(
            slots_in_use[pool]
            for name, slots_in_use in self._reported.items()
            if name != self._daemon
        )
        return max(1, super().capacity(view, pool) - used_by_others)


def demand_split_factory(
    fleet: SimulatedFleet, names: Sequence[str], partitioned: bool
) -> DaemonFactory:
    """Return a factory of daemons that split slots by demand, or evenly if partitioned.

    Partitioned daemons receive no messages from each other.
    """
    peers = {name: MemoryPeers() for name in names}
    for name in names[1:]:
        peers[names[0]].join(peers[name])
    for peer in peers.values():
        peer.partitioned = partitioned
    clock = fleet.loop.clock

    def make_daemon(name: str) -> AdmissionDaemon:
        def demand() -> dict[str, int]:
            return admission.demand()

        demands = DemandTable(name, peers[name], clock, lambda: names, demand)
        ejector = Ejector(lambda: fleet.view, clock)
        slot_allocator = SlotAllocator(
            name, lambda: fleet.view, demands, ejector, frozenset, clock, len(names)
        )
        admission = Admission(
            lambda: fleet.view, slot_allocator, clock, AdmissionLimits(DAEMON_THREADS)
        )
        slot_allocator.tick()
        fleet.loop.call_every(SPLIT_INTERVAL_S, slot_allocator.tick)
        return AdmissionDaemon(fleet, admission, SlotTracker(fleet.rng, "", slot_allocator))

    return make_daemon


def reported_load_factory(fleet: SimulatedFleet, names: Sequence[str]) -> DaemonFactory:
    """Return a factory of daemons that grant the slots that others report as unused."""
    reported: dict[str, Counter[str]] = {}

    def make_daemon(name: str) -> AdmissionDaemon:
        capacity = ReportedCapacity(name, reported)
        admission = Admission(
            lambda: fleet.view, capacity, fleet.loop.clock, AdmissionLimits(DAEMON_THREADS)
        )

        def report_usage() -> None:
            reported[name] = Counter(admission.slots_in_use())

        fleet.loop.call_every(SPLIT_INTERVAL_S, report_usage)
        return AdmissionDaemon(fleet, admission, SlotTracker(fleet.rng, "", UnsharedSlots()))

    return make_daemon


def no_split_factory(fleet: SimulatedFleet) -> DaemonFactory:
    """Return a factory of daemons that each grant all slots."""

    def make_daemon(_name: str) -> AdmissionDaemon:
        limits = AdmissionLimits(DAEMON_THREADS)
        admission = Admission(lambda: fleet.view, FullCapacity(), fleet.loop.clock, limits)
        return AdmissionDaemon(fleet, admission, SlotTracker(fleet.rng, "", UnsharedSlots()))

    return make_daemon


class EvenSlots(UnsharedSlots):
    """Give each daemon an equal, fixed number of each host's slots."""

    def __init__(self, daemon_count: int) -> None:
        self._daemon_count = daemon_count

    def allotted_slots(self, hosts: HostSpecs, names: Sequence[str]) -> Mapping[str, int]:
        """Return this daemon's slots at each host, at least 1."""
        return {name: max(1, hosts[name].slots // self._daemon_count) for name in names}
