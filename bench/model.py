"""Drive the daemons' decisions over simulated endpoints, in simulated time."""

import heapq
import itertools
import random
from collections import Counter, deque
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from functools import partial
from typing import Protocol

from gypsumplank.coordination.admission import Admission, Limits
from gypsumplank.coordination.ejection import Ejector
from gypsumplank.coordination.part import Parts
from gypsumplank.coordination.peer import MemoryPeers
from gypsumplank.coordination.share import DemandTable
from gypsumplank.coordination.slot import Hosts, SlotRule, Slots, WholeSlots
from gypsumplank.protocol.exchange import Refusal
from gypsumplank.protocol.ticket import Ticket
from gypsumplank.state.clock import ManualClock
from gypsumplank.state.view import View

THREADS = 128
PARTS_PERIOD_S = 0.1
ADMISSION_PERIOD_S = 0.1
HOP_S = 0.0015


class Loop:
    """Call functions in the order of simulated time, in seconds."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self._numbers = itertools.count()
        self._due: list[tuple[float, int, Callable[[], None]]] = []

    def after(self, seconds: float, call: Callable[[], None]) -> None:
        """Call a function later."""
        heapq.heappush(self._due, (self.clock.now + seconds, next(self._numbers), call))

    def every(self, seconds: float, call: Callable[[], None]) -> None:
        """Call a function again and again."""

        def again() -> None:
            call()
            self.after(seconds, again)

        self.after(seconds, again)

    def run(self, until: float) -> None:
        """Run what is due until then."""
        while self._due and self._due[0][0] <= until:
            self.clock.now, _, call = heapq.heappop(self._due)
            call()
        self.clock.now = until


@dataclass(frozen=True)
class Job:
    """Hold one request of the load; times in seconds."""

    service: str
    team: str
    urgency: int
    arrived: float
    deadline: float
    work_s: float


@dataclass
class Tally:
    """Count what became of the requests of one service and team."""

    offered: int = 0
    on_time: int = 0
    late: int = 0
    refused: int = 0


class Endpoint:
    """Run requests in slots and let the others queue, as a worker does."""

    def __init__(self, loop: Loop, slots: int) -> None:
        self._loop = loop
        self._slots = slots
        self._queue: deque[tuple[Job, Callable[[], None]]] = deque()
        self._busy = 0
        self.busy_s = 0.0
        self.most = 0
        self.waited = 0
        self.ran = 0

    def start(self, job: Job, done: Callable[[], None]) -> None:
        """Run a request now or when a slot is free."""
        self.waited += self._busy >= self._slots
        self._queue.append((job, done))
        self.most = max(self.most, self._busy + len(self._queue))
        self._next()

    def _next(self) -> None:
        while self._queue and self._busy < self._slots:
            job, done = self._queue.popleft()
            self._busy += 1
            self.ran += 1
            self._loop.after(job.work_s, partial(self._end, job, done))

    def _end(self, job: Job, done: Callable[[], None]) -> None:
        self._busy -= 1
        self.busy_s += job.work_s
        self._next()
        self._loop.after(HOP_S, done)


@dataclass
class Fleet:
    """Hold the endpoints and the counts of one run."""

    loop: Loop
    view: View
    rng: random.Random
    counts_from: float = 0.0
    endpoints: dict[str, Endpoint] = field(default_factory=dict)
    tallies: dict[tuple[str, str], Tally] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Make an endpoint of every host."""
        self.endpoints = {
            name: Endpoint(self.loop, spec.slots) for name, spec in self.view.hosts.items()
        }

    def tally(self, job: Job) -> Tally:
        """Return the counts that a request belongs to."""
        return self.tallies.setdefault((job.service, job.team), Tally())

    def end(self, job: Job) -> None:
        """Count an answer."""
        if job.arrived < self.counts_from:
            return
        if self.loop.clock.now <= job.deadline:
            self.tally(job).on_time += 1
        else:
            self.tally(job).late += 1

    def run(self, host: str, job: Job, done: Callable[[], None]) -> None:
        """Run a request at a host."""
        self.loop.after(HOP_S, lambda: self.endpoints[host].start(job, done))


class Daemon(Protocol):
    """Take requests."""

    def take(self, job: Job) -> None:
        """Take one request."""


class ThreadDaemon:
    """Take requests in order with a pool of threads, as without admission.

    With `hold`, a thread waits for a slot until the deadline; else a request is refused at once.
    """

    def __init__(self, fleet: Fleet, rule: SlotRule, hold: bool) -> None:
        self._fleet = fleet
        self._slots = Slots(fleet.rng, "", rule)
        self._hold = hold
        self._threads = THREADS
        self._queue: deque[Job] = deque()
        self._held: dict[str, deque[Job]] = {}

    def take(self, job: Job) -> None:
        """Take one request."""
        self._queue.append(job)
        self._next()

    def _next(self) -> None:
        while self._queue and self._threads:
            self._threads -= 1
            self._try(self._queue.popleft())

    def _try(self, job: Job) -> None:
        view = self._fleet.view
        pool = view.services[job.service].pool
        late = job.deadline <= self._fleet.loop.clock.now
        host = None if late else self._slots.acquire(view.hosts, view.serving_hosts(pool))
        if host is not None:
            self._fleet.run(host, job, lambda: self._done(job, host, pool))
        elif self._hold and not late:
            self._held.setdefault(pool, deque()).append(job)
        else:
            self._fleet.tally(job).refused += 1
            self._threads += 1

    def _done(self, job: Job, host: str, pool: str) -> None:
        self._fleet.end(job)
        self._slots.release(host)
        self._threads += 1
        held = self._held.get(pool)
        if held:
            self._try(held.popleft())
        self._next()


class AdmittingDaemon:
    """Take requests by the product's own admission and slots."""

    def __init__(self, fleet: Fleet, admission: Admission, slots: Slots) -> None:
        self._fleet = fleet
        self._slots = slots
        self.admission = admission
        fleet.loop.every(ADMISSION_PERIOD_S, admission.tick)

    def take(self, job: Job) -> None:
        """Take one request."""

        def settle(ticket: Ticket, refusal: Refusal | None) -> None:
            if refusal is None:
                self._start(ticket, job)
            else:
                self._fleet.tally(job).refused += 1

        self.admission.offer(
            Ticket(job.service, job.team, job.urgency, job.arrived, job.deadline, settle)
        )

    def _start(self, ticket: Ticket, job: Job) -> None:
        view = self._fleet.view
        host = self._slots.acquire(view.hosts, view.serving_hosts(ticket.pool))
        if host is None:
            self._fleet.tally(job).refused += 1
            self.admission.finish(ticket)
            return

        def done() -> None:
            self._fleet.end(job)
            self._slots.release(host)
            self.admission.finish(ticket)

        self._fleet.run(host, job, done)


Make = Callable[[str], AdmittingDaemon]


class WholeCapacity:
    """Let each daemon grant every slot, as if it were alone."""

    def capacity(self, view: View, pool: str) -> int:
        """Return all slots of a pool."""
        return sum(view.hosts[name].slots for name in view.serving_hosts(pool))

    def prospect(self, view: View, pool: str) -> int:
        """Return all slots of a pool."""
        return self.capacity(view, pool)


class ToldCapacity(WholeCapacity):
    """Grant what the others did not use when they last told."""

    def __init__(self, daemon: str, told: dict[str, Counter[str]]) -> None:
        self._daemon = daemon
        self._told = told

    def capacity(self, view: View, pool: str) -> int:
        """Return the slots that the other daemons left."""
        others = sum(used[pool] for name, used in self._told.items() if name != self._daemon)
        return max(1, super().capacity(view, pool) - others)


def make_parts(fleet: Fleet, names: Sequence[str], cut_off: bool) -> Make:
    """Return a maker of daemons that split slots by demand, or evenly when cut off."""
    peers = {name: MemoryPeers() for name in names}
    for name in names[1:]:
        peers[names[0]].join(peers[name])
    for one in peers.values():
        one.cut_off = cut_off
    clock = fleet.loop.clock

    def make(name: str) -> AdmittingDaemon:
        def demand() -> dict[str, int]:
            return admission.demand()

        demands = DemandTable(name, peers[name], clock, lambda: names, demand)
        ejector = Ejector(lambda: fleet.view, clock)
        parts = Parts(name, lambda: fleet.view, demands, ejector, frozenset, clock, len(names))
        admission = Admission(lambda: fleet.view, parts, clock, Limits(THREADS))
        parts.tick()
        fleet.loop.every(PARTS_PERIOD_S, parts.tick)
        return AdmittingDaemon(fleet, admission, Slots(fleet.rng, "", parts))

    return make


def make_told(fleet: Fleet, names: Sequence[str]) -> Make:
    """Return a maker of daemons that grant what others do not use."""
    told: dict[str, Counter[str]] = {}

    def make(name: str) -> AdmittingDaemon:
        capacity = ToldCapacity(name, told)
        admission = Admission(lambda: fleet.view, capacity, fleet.loop.clock, Limits(THREADS))

        def tell() -> None:
            told[name] = Counter(admission.in_use())

        fleet.loop.every(PARTS_PERIOD_S, tell)
        return AdmittingDaemon(fleet, admission, Slots(fleet.rng, "", WholeSlots()))

    return make


def make_whole(fleet: Fleet) -> Make:
    """Return a maker of daemons that each grant every slot."""

    def make(_name: str) -> AdmittingDaemon:
        limits = Limits(THREADS)
        admission = Admission(lambda: fleet.view, WholeCapacity(), fleet.loop.clock, limits)
        return AdmittingDaemon(fleet, admission, Slots(fleet.rng, "", WholeSlots()))

    return make


class EvenSlots(WholeSlots):
    """Let each daemon use an even, fixed part of each host's slots."""

    def __init__(self, daemons: int) -> None:
        self._daemons = daemons

    def parts(self, hosts: Hosts, names: Sequence[str]) -> Mapping[str, int]:
        """Return the fixed part."""
        return {name: max(1, hosts[name].slots // self._daemons) for name in names}
