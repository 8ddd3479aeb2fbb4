"""Plan the placement of tasks on hosts by size, team quota and urgency, without side effects."""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush

from gypsumplank.protocol.spec import HostSpec, TeamSpec
from gypsumplank.protocol.task import (
    MAX_URGENT_LEVEL,
    NO_RESOURCES,
    PreemptionMethod,
    Task,
    TaskResources,
)

# Share of its cores that a throttled attempt keeps.
THROTTLED_CORES_SHARE = 0.25
UNLIMITED_ACCELERATORS = 1 << 30
# Least disruptive first.
YIELD_ORDER = (PreemptionMethod.THROTTLE, PreemptionMethod.CHECKPOINT, PreemptionMethod.STOP)


@dataclass(frozen=True)
class Candidate:
    """Represent a queued task and its estimated size."""

    task: Task
    size: TaskResources


@dataclass(frozen=True)
class RunningAttempt:
    """Represent an attempt that occupies capacity of a host."""

    task: Task
    size: TaskResources
    throttled: bool = False
    stopping: bool = False


@dataclass(frozen=True)
class HostCapacity:
    """Represent a host that runs tasks: its failure domains and its total capacity."""

    name: str
    zone: str
    rack: str
    size: TaskResources


@dataclass(frozen=True)
class Eviction:
    """Represent an action that makes a running task free capacity."""

    task: Task
    action: PreemptionMethod


@dataclass(frozen=True)
class PlacementPlan:
    """Store which tasks to start on which hosts, and the evictions that urgent tasks need."""

    starts: tuple[tuple[Candidate, str], ...] = ()
    evictions: tuple[Eviction, ...] = ()


def host_capacity(name: str, host: HostSpec) -> HostCapacity:
    """Return a host's total capacity."""
    size = TaskResources(float(host.cores), float(host.memory_gb), host.accelerators)
    return HostCapacity(name, host.zone, host.rack, size)


def impossible_reason(
    size: TaskResources, capacities: Iterable[HostCapacity], quota: TaskResources | None
) -> str:
    """Return why a task of this size can never run, or an empty string."""
    if quota is not None and not size.fits(quota):
        return (
            f"needs {_format_size(size)}, more than the team's whole quota of {_format_size(quota)}"
        )
    all_capacities = tuple(capacities)
    if all_capacities and any(size.fits(capacity.size) for capacity in all_capacities):
        return ""
    largest = TaskResources(
        max((capacity.size.cores for capacity in all_capacities), default=0.0),
        max((capacity.size.memory_gb for capacity in all_capacities), default=0.0),
        max((capacity.size.accelerators for capacity in all_capacities), default=0),
    )
    return (
        f"needs {_format_size(size)}, more than any host of the pool has; "
        f"the most is {_format_size(largest)}"
    )


def team_quota(team: TeamSpec) -> TaskResources:
    """Return a team's quota; a resource set to 0 is unlimited."""
    return TaskResources(
        team.cores or float("inf"),
        team.memory_gb or float("inf"),
        team.accelerators or UNLIMITED_ACCELERATORS,
    )


@dataclass
class Placer:
    """Compute one plan, and track the capacity and quotas that its placements use.

    Free capacity only shrinks, so a size no smaller than one in `unplaceable` fits nowhere either.
    """

    capacities: Sequence[HostCapacity]
    running: Mapping[str, Sequence[RunningAttempt]]
    quotas: Mapping[str, TaskResources]
    free: dict[str, TaskResources] = field(init=False)
    used: dict[str, TaskResources] = field(init=False)
    domain_counts: Counter[tuple[str, str]] = field(init=False)
    unplaceable: list[TaskResources] = field(init=False)

    def __post_init__(self) -> None:
        self.free = {capacity.name: self._free_of(capacity) for capacity in self.capacities}
        self.used = {}
        self.domain_counts = Counter()
        self.unplaceable = []
        by_name = {capacity.name: capacity for capacity in self.capacities}
        for host, attempts in self.running.items():
            for attempt in attempts:
                self._record_usage(attempt.task, attempt.size, by_name.get(host))

    def plan(self, queue: Iterable[Candidate]) -> PlacementPlan:
        """Return the plan for a queue: urgent tasks first, then fair sharing between teams."""
        waiting = sorted(queue, key=_queue_order)
        urgent = [cand for cand in waiting if cand.task.order.urgency <= MAX_URGENT_LEVEL]
        normal = [cand for cand in waiting if cand.task.order.urgency > MAX_URGENT_LEVEL]
        starts: list[tuple[Candidate, str]] = []
        evictions: list[Eviction] = []
        for cand in urgent:
            host = self._place(cand)
            if host:
                starts.append((cand, host))
            elif self._within_quota(cand):
                evictions += self._preempt(cand)
        starts += self._place_fairly(normal)
        return PlacementPlan(tuple(starts), tuple(evictions))

    def _free_of(self, capacity: HostCapacity) -> TaskResources:
        free = capacity.size
        for attempt in self.running.get(capacity.name, ()):
            free -= occupied_size(attempt)
        return free

    def _place_fairly(self, waiting: Sequence[Candidate]) -> list[tuple[Candidate, str]]:
        queues: dict[str, list[Candidate]] = {}
        for cand in reversed(waiting):
            queues.setdefault(cand.task.order.team, []).append(cand)
        teams_by_share = [(self._dominant_share(team), team) for team in queues]
        heapify(teams_by_share)
        starts = []
        while teams_by_share:
            _, team = heappop(teams_by_share)
            cand = queues[team].pop()
            host = self._place(cand)
            if host:
                starts.append((cand, host))
            if queues[team]:
                heappush(teams_by_share, (self._dominant_share(team), team))
        return starts

    def _place(self, cand: Candidate) -> str:
        if not self._within_quota(cand) or any(size.fits(cand.size) for size in self.unplaceable):
            return ""
        fitting = [
            capacity
            for capacity in self.capacities
            if capacity.name not in cand.task.failed_on and cand.size.fits(self.free[capacity.name])
        ]
        if not fitting:
            if not cand.task.failed_on:
                self.unplaceable.append(cand.size)
            return ""
        capacity = min(fitting, key=lambda option: self._cost(cand.task, option))
        self.free[capacity.name] -= cand.size
        self._record_usage(cand.task, cand.size, capacity)
        return capacity.name

    def _cost(self, task: Task, capacity: HostCapacity) -> tuple[int, int, int, float, str]:
        """Return a sort key; the host with the lowest is chosen.

        It keeps accelerators for tasks that need them, spreads a team over zones and racks, and
        then prefers the host with the fewest free cores (best fit).
        """
        unneeded_accelerators = (
            capacity.size.accelerators if not task.order.size.accelerators else 0
        )
        team = task.order.team
        free_cores = self.free[capacity.name].cores
        return (
            unneeded_accelerators,
            self.domain_counts[team, capacity.zone],
            self.domain_counts[team, capacity.rack],
            free_cores,
            capacity.name,
        )

    def _record_usage(self, task: Task, size: TaskResources, capacity: HostCapacity | None) -> None:
        team = task.order.team
        self.used[team] = self.used.get(team, NO_RESOURCES) + size
        if capacity is not None:
            self.domain_counts[team, capacity.zone] += 1
            self.domain_counts[team, capacity.rack] += 1

    def _within_quota(self, cand: Candidate) -> bool:
        team = cand.task.order.team
        quota = self.quotas.get(team)
        return quota is None or (self.used.get(team, NO_RESOURCES) + cand.size).fits(quota)

    def _dominant_share(self, team: str) -> float:
        """Return a team's dominant share of its quota, or of all hosts if it has no quota."""
        used = self.used.get(team, NO_RESOURCES)
        total = self.quotas.get(team) or self._total_capacity()
        return max(
            used.cores / total.cores if total.cores else 0.0,
            used.memory_gb / total.memory_gb if total.memory_gb else 0.0,
            used.accelerators / total.accelerators if total.accelerators else 0.0,
        )

    def _total_capacity(self) -> TaskResources:
        total = NO_RESOURCES
        for capacity in self.capacities:
            total += capacity.size
        return total

    def _preempt(self, cand: Candidate) -> list[Eviction]:
        """Return the least disruptive evictions on one host that let an urgent task fit."""
        lowest_cost: tuple[int, int, str] | None = None
        chosen: list[Eviction] = []
        for capacity in self.capacities:
            evictions = self._evictions_on(capacity, cand)
            if evictions is None:
                continue
            worst = max((YIELD_ORDER.index(eviction.action) for eviction in evictions), default=0)
            cost = (worst, len(evictions), capacity.name)
            if lowest_cost is None or cost < lowest_cost:
                lowest_cost, chosen = cost, evictions
        if lowest_cost is not None:
            self.free[lowest_cost[2]] -= cand.size
            self._record_usage(cand.task, cand.size, None)
        return chosen

    def _evictions_on(self, capacity: HostCapacity, cand: Candidate) -> list[Eviction] | None:
        victims = [
            attempt
            for attempt in self.running.get(capacity.name, ())
            if _is_preemptible(attempt, cand.task)
        ]
        victims.sort(key=lambda attempt: (-attempt.task.order.urgency, attempt.task.id))
        being_freed = sum_sizes(
            occupied_size(attempt)
            for attempt in self.running.get(capacity.name, ())
            if attempt.stopping
        )
        free = self.free[capacity.name] + being_freed
        if cand.size.fits(free):
            return []
        for action in YIELD_ORDER:
            evictions = _select_evictions(victims, action, cand.size, free)
            if evictions is not None:
                return evictions
        return None


def occupied_size(attempt: RunningAttempt) -> TaskResources:
    """Return the size that an attempt occupies; a throttled one occupies fewer cores."""
    return attempt.size.scaled(THROTTLED_CORES_SHARE if attempt.throttled else 1.0, 1.0)


def sum_sizes(sizes: Iterable[TaskResources]) -> TaskResources:
    """Return the sum of sizes."""
    total = NO_RESOURCES
    for size in sizes:
        total += size
    return total


def _select_evictions(
    victims: Sequence[RunningAttempt],
    action: PreemptionMethod,
    needed: TaskResources,
    free: TaskResources,
) -> list[Eviction] | None:
    """Return evictions with one action that free enough capacity, or None."""
    evictions = []
    for attempt in victims:
        if action not in attempt.task.order.yields or (
            action is PreemptionMethod.THROTTLE and attempt.throttled
        ):
            continue
        occupied = occupied_size(attempt)
        freed = (
            TaskResources(occupied.cores * (1 - THROTTLED_CORES_SHARE), 0.0, 0)
            if action is PreemptionMethod.THROTTLE
            else occupied
        )
        free += freed
        evictions.append(Eviction(attempt.task, action))
        if needed.fits(free):
            return evictions
    return None


def _is_preemptible(attempt: RunningAttempt, urgent: Task) -> bool:
    return not attempt.stopping and attempt.task.order.urgency > urgent.order.urgency


def _queue_order(cand: Candidate) -> tuple[int, float, str]:
    return cand.task.order.urgency, cand.task.submitted_at, cand.task.id


def _format_size(size: TaskResources) -> str:
    return f"{size.cores:g} cores, {size.memory_gb:g} GB, {size.accelerators} accelerators"
