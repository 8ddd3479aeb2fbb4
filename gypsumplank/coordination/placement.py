"""Place tasks on hosts by size, team quota and urgency; pure, from values to a plan."""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush

from gypsumplank.protocol.spec import HostSpec, TeamSpec
from gypsumplank.protocol.task import NO_SIZE, URGENT, Size, Task, Yield

THROTTLED_SHARE = 0.25
UNLIMITED_ACCELERATORS = 1 << 30
YIELD_ORDER = (Yield.THROTTLE, Yield.CHECKPOINT, Yield.STOP)


@dataclass(frozen=True)
class Candidate:
    """Hold a queued task and the size to plan with."""

    task: Task
    size: Size


@dataclass(frozen=True)
class Running:
    """Hold an attempt that takes room on a host."""

    task: Task
    size: Size
    throttled: bool = False
    leaving: bool = False


@dataclass(frozen=True)
class Room:
    """Hold a host that takes tasks, its failure domains and its whole room."""

    name: str
    zone: str
    rack: str
    size: Size


@dataclass(frozen=True)
class Eviction:
    """Tell a running task to make room."""

    task: Task
    how: Yield


@dataclass(frozen=True)
class Plan:
    """Hold what to start where, and what must make room first."""

    starts: tuple[tuple[Candidate, str], ...] = ()
    evictions: tuple[Eviction, ...] = ()


def room_of(name: str, host: HostSpec) -> Room:
    """Return a host's whole room."""
    size = Size(float(host.cores), float(host.memory_gb), host.accelerators)
    return Room(name, host.zone, host.rack, size)


def impossible_reason(size: Size, rooms: Iterable[Room], quota: Size | None) -> str:
    """Return why a task of this size can never run; empty where it can."""
    if quota is not None and not size.fits(quota):
        return f"needs {_text(size)}, more than the team's whole quota of {_text(quota)}"
    held = tuple(rooms)
    if held and any(size.fits(room.size) for room in held):
        return ""
    largest = Size(
        max((room.size.cores for room in held), default=0.0),
        max((room.size.memory_gb for room in held), default=0.0),
        max((room.size.accelerators for room in held), default=0),
    )
    return f"needs {_text(size)}, and no host of the pool has that; the most is {_text(largest)}"


def quota_of(team: TeamSpec) -> Size:
    """Return a team's quota, in which 0 leaves a resource unlimited."""
    return Size(
        team.cores or float("inf"),
        team.memory_gb or float("inf"),
        team.accelerators or UNLIMITED_ACCELERATORS,
    )


@dataclass
class Placer:
    """Hold the room that is left while one plan is made.

    Room only shrinks, so that what is no smaller than an `unfit` size fits nowhere either.
    """

    rooms: Sequence[Room]
    running: Mapping[str, Sequence[Running]]
    quotas: Mapping[str, Size]
    free: dict[str, Size] = field(init=False)
    used: dict[str, Size] = field(init=False)
    spread: Counter[tuple[str, str]] = field(init=False)
    unfit: list[Size] = field(init=False)

    def __post_init__(self) -> None:
        self.free = {room.name: self._free_of(room) for room in self.rooms}
        self.used = {}
        self.spread = Counter()
        self.unfit = []
        by_name = {room.name: room for room in self.rooms}
        for host, attempts in self.running.items():
            for attempt in attempts:
                self._take(attempt.task, attempt.size, by_name.get(host))

    def plan(self, queue: Iterable[Candidate]) -> Plan:
        """Return the plan for a queue: urgent work first, then fair shares of the teams."""
        waiting = sorted(queue, key=_rank)
        urgent = [cand for cand in waiting if cand.task.order.urgency <= URGENT]
        normal = [cand for cand in waiting if cand.task.order.urgency > URGENT]
        starts: list[tuple[Candidate, str]] = []
        evictions: list[Eviction] = []
        for cand in urgent:
            host = self._place(cand)
            if host:
                starts.append((cand, host))
            elif self._within_quota(cand):
                evictions += self._make_room(cand)
        starts += self._place_fairly(normal)
        return Plan(tuple(starts), tuple(evictions))

    def _free_of(self, room: Room) -> Size:
        free = room.size
        for attempt in self.running.get(room.name, ()):
            free -= effective(attempt)
        return free

    def _place_fairly(self, waiting: Sequence[Candidate]) -> list[tuple[Candidate, str]]:
        queues: dict[str, list[Candidate]] = {}
        for cand in reversed(waiting):
            queues.setdefault(cand.task.order.team, []).append(cand)
        turns = [(self._share(team), team) for team in queues]
        heapify(turns)
        starts = []
        while turns:
            _, team = heappop(turns)
            cand = queues[team].pop()
            host = self._place(cand)
            if host:
                starts.append((cand, host))
            if queues[team]:
                heappush(turns, (self._share(team), team))
        return starts

    def _place(self, cand: Candidate) -> str:
        if not self._within_quota(cand) or any(size.fits(cand.size) for size in self.unfit):
            return ""
        fitting = [
            room
            for room in self.rooms
            if room.name not in cand.task.failed_on and cand.size.fits(self.free[room.name])
        ]
        if not fitting:
            if not cand.task.failed_on:
                self.unfit.append(cand.size)
            return ""
        room = min(fitting, key=lambda held: self._cost(cand.task, held))
        self.free[room.name] -= cand.size
        self._take(cand.task, cand.size, room)
        return room.name

    def _cost(self, task: Task, room: Room) -> tuple[int, int, int, float, str]:
        """Rank rooms: spare accelerators, spread over zones and racks, pack the rest tightly."""
        wasted = room.size.accelerators if not task.order.size.accelerators else 0
        team = task.order.team
        left = self.free[room.name].cores
        return (
            wasted,
            self.spread[team, room.zone],
            self.spread[team, room.rack],
            left,
            room.name,
        )

    def _take(self, task: Task, size: Size, room: Room | None) -> None:
        team = task.order.team
        self.used[team] = self.used.get(team, NO_SIZE) + size
        if room is not None:
            self.spread[team, room.zone] += 1
            self.spread[team, room.rack] += 1

    def _within_quota(self, cand: Candidate) -> bool:
        team = cand.task.order.team
        quota = self.quotas.get(team)
        return quota is None or (self.used.get(team, NO_SIZE) + cand.size).fits(quota)

    def _share(self, team: str) -> float:
        """Return a team's dominant share of its quota, or of all rooms where it has none."""
        used = self.used.get(team, NO_SIZE)
        whole = self.quotas.get(team) or self._whole()
        return max(
            used.cores / whole.cores if whole.cores else 0.0,
            used.memory_gb / whole.memory_gb if whole.memory_gb else 0.0,
            used.accelerators / whole.accelerators if whole.accelerators else 0.0,
        )

    def _whole(self) -> Size:
        whole = NO_SIZE
        for room in self.rooms:
            whole += room.size
        return whole

    def _make_room(self, cand: Candidate) -> list[Eviction]:
        """Return the gentlest evictions on one host that let the urgent task fit."""
        best: tuple[int, int, str] | None = None
        chosen: list[Eviction] = []
        for room in self.rooms:
            found = self._evictions_on(room, cand)
            if found is None:
                continue
            worst = max((YIELD_ORDER.index(one.how) for one in found), default=0)
            cost = (worst, len(found), room.name)
            if best is None or cost < best:
                best, chosen = cost, found
        if best is not None:
            self.free[best[2]] -= cand.size
            self._take(cand.task, cand.size, None)
        return chosen

    def _evictions_on(self, room: Room, cand: Candidate) -> list[Eviction] | None:
        victims = [one for one in self.running.get(room.name, ()) if _may_yield(one, cand.task)]
        victims.sort(key=lambda one: (-one.task.order.urgency, one.task.id))
        coming = sum_sizes(effective(one) for one in self.running.get(room.name, ()) if one.leaving)
        free = self.free[room.name] + coming
        if cand.size.fits(free):
            return []
        for how in YIELD_ORDER:
            found = _evict(victims, how, cand.size, free)
            if found is not None:
                return found
        return None


def effective(attempt: Running) -> Size:
    """Return the room that an attempt takes; a throttled one takes fewer cores."""
    return attempt.size.scaled(THROTTLED_SHARE if attempt.throttled else 1.0, 1.0)


def sum_sizes(sizes: Iterable[Size]) -> Size:
    """Return the sum of sizes."""
    total = NO_SIZE
    for size in sizes:
        total += size
    return total


def _evict(
    victims: Sequence[Running], how: Yield, wanted: Size, free: Size
) -> list[Eviction] | None:
    """Return the evictions of one kind that make enough room, or None."""
    found = []
    for one in victims:
        if how not in one.task.order.yields or (how is Yield.THROTTLE and one.throttled):
            continue
        held = effective(one)
        freed = Size(held.cores * (1 - THROTTLED_SHARE), 0.0, 0) if how is Yield.THROTTLE else held
        free += freed
        found.append(Eviction(one.task, how))
        if wanted.fits(free):
            return found
    return None


def _may_yield(attempt: Running, urgent: Task) -> bool:
    return not attempt.leaving and attempt.task.order.urgency > urgent.order.urgency


def _rank(cand: Candidate) -> tuple[int, float, str]:
    return cand.task.order.urgency, cand.task.submitted_at, cand.task.id


def _text(size: Size) -> str:
    return f"{size.cores:g} cores, {size.memory_gb:g} GB, {size.accelerators} accelerators"
