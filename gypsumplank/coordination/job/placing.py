"""Choose which tasks start next and on which worker; nothing here outlives a round."""

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from gypsumplank.coordination.job.model import Job, Step, Task
from gypsumplank.coordination.job.site import Site
from gypsumplank.protocol.job import Room, StepOrder, TaskPhase
from gypsumplank.protocol.queue import Queue

# Multiple of its objective up to which a late job still earns, as the platform states.
LATE_LIMIT = 3.0

# Lasting tasks of one step that share a machine or rack before another is taken; few machines
# are then bound to their pool.
TOGETHER = 2


@dataclass(frozen=True)
class Waiting:
    """Hold the tasks of one step that may start now.

    `permits` names the workers that may run them, None where any may.
    """

    job: Job
    step: Step
    tasks: tuple[Task, ...]
    queue: Queue
    permits: Mapping[str, str] | None = None


@dataclass(frozen=True)
class Placement:
    """Give a task to a worker life."""

    task: Task
    site: Site


def urgency(waiting: Waiting, now: float, wall_ms: float) -> tuple[int, int, float]:
    """Return a sort key: lasting first, then what can be on time by its latest start."""
    job, queue = waiting.job, waiting.queue
    if waiting.step.order.lasting:
        return (0, queue.priority, job.arrived)
    objective_s = (queue.stretch * job.longest_ms + queue.objective_ms) / 1000
    since = job.arrived
    if job.is_timed:
        since = now - (wall_ms - job.due_ms(waiting.step.occurrence)) / 1000
    rest_s = waiting.step.rest_ms() / 1000
    if now + rest_s <= since + objective_s:
        return (1, queue.priority, since + objective_s - rest_s)
    if now + rest_s <= since + LATE_LIMIT * objective_s:
        return (2, queue.priority, since + LATE_LIMIT * objective_s - rest_s)
    return (3, queue.priority, since)


def counted(order: StepOrder) -> Room:
    """Return the room that a task takes from its worker."""
    need = order.need
    return Room(0, need.memory_mb, need.accelerators) if order.fills else need


class Board:
    """Place tasks on workers while tracking the room that is left in this round."""

    def __init__(self, sites: Iterable[Site], now: float) -> None:
        self._now = now
        self._sites: dict[str, list[Site]] = {}
        self._free: dict[str, Room] = {}
        self._refused: dict[str, list[Room]] = {}
        for site in sites:
            if site.takes_work(now):
                self._sites.setdefault(site.entry.service, []).append(site)
                self._free[site.id] = site.free()

    def place(self, waiting: Waiting) -> list[Placement]:
        """Return placements of as many tasks as fit; a gang is placed whole or not at all."""
        order = waiting.step.order
        active = [task for task in waiting.step.tasks if task.phase is TaskPhase.ASSIGNED]
        held = Counter(task.worker for task in active)
        racks = self._racks(waiting.job.service, held)
        placed: list[Placement] = []
        for task in waiting.tasks:
            site = self._choose(waiting, task, held, racks)
            if site is None:
                break
            placed.append(Placement(task, site))
            held[site.id] += 1
            racks[site.rack] += 1
            self._free[site.id] = self._free[site.id] - counted(order)
        if order.gang and len(placed) < len(waiting.step.tasks):
            for one in placed:
                self._free[one.site.id] = self._free[one.site.id] + counted(order)
            self._refused.clear()
            return []
        return placed

    def _racks(self, service: str, held: Counter[str]) -> Counter[str]:
        return Counter(site.rack for site in self._sites.get(service, ()) if held[site.id])

    def _choose(
        self, waiting: Waiting, task: Task, held: Counter[str], racks: Counter[str]
    ) -> Site | None:
        order = task.step.order
        need = counted(order)
        service = waiting.job.service
        if any(need.holds(refused) for refused in self._refused.get(service, ())):
            return None
        able = self._able(waiting, task)
        fitting = (
            site
            for site in able
            if self._free[site.id].holds(need)
            and (not order.max_per_worker or held[site.id] < order.max_per_worker)
        )
        site = min(fitting, key=lambda one: self._rank(one, order, held, racks), default=None)
        everywhere = len(able) == len(self._sites.get(service, ()))
        if site is None and everywhere and not order.max_per_worker:
            # Room only shrinks within a round, so as much or more finds none either.
            self._refused.setdefault(service, []).append(need)
        return site

    def _able(self, waiting: Waiting, task: Task) -> list[Site]:
        """Return the sites to consider, without those where the task or others failed."""
        label = task.step.order.label
        able = [
            site
            for site in self._sites.get(waiting.job.service, ())
            if (not label or label in site.entry.labels)
            and (waiting.permits is None or site.id in waiting.permits)
        ]
        fresh = [site for site in able if site.id not in task.failed_on] or able
        return [site for site in fresh if not site.is_suspect(self._now)] or fresh

    def _rank(
        self, site: Site, order: StepOrder, held: Counter[str], racks: Counter[str]
    ) -> tuple[float, ...]:
        free = self._free[site.id]
        if order.lasting:
            others = [one.step.order for one in site.tasks.values() if one.step.order.lasting]
            clash = sum(1 for one in others if one.fills != order.fills)
            crowd = held[site.id] // TOGETHER
            spread = racks[site.rack] // TOGETHER
            return (clash, site.due, crowd, spread, -len(others), -free.cpu)
        far = float(bool(order.preferred_rack) and site.rack != order.preferred_rack)
        together = -racks[site.rack] if order.same_rack else 0
        return (far, together, free.cpu)
