"""Choose which tasks start next and on which worker, within one scheduling round.

Answers a queue that is longer than its pool can serve in time: the jobs that can still be in time
come first, so that those that can't do not make the others late too.
"""

import math
from collections import Counter, defaultdict
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass

from gypsumplank.coordination.job.candidategroup import CandidateGroup
from gypsumplank.coordination.job.instance import WorkerInstance
from gypsumplank.coordination.job.model import SETTLED_RUN_S, Job, Step, Task
from gypsumplank.coordination.job.separation import disturbance_on, first_spare
from gypsumplank.protocol.job import Resources, StepDefinition, TaskPhase
from gypsumplank.protocol.queue import Queue

# Multiple of its objective up to which a late job still earns credit; the platform defines it.
LATE_CREDIT_FACTOR = 3.0

# Reserve for what delays a job beyond its estimate: a share of the remaining time for runs that
# take longer, and a time for rounds, commits and reports before its next start, seconds. Without a
# reserve, a queue that is longer than the pool can serve makes every job just too late.
RESERVE_SHARE = 0.2
START_DELAY_S = 0.1

# Margin for the rounding of times, seconds.
ROUNDING_S = 1e-6

# Largest share of a service's workers that is reserved for the start of tasks that may crash them.
MAX_RESERVED_SHARE = 0.5

# Long-running tasks of one step that share a machine or rack before the next one is used. Packing
# them leaves more machines free to move to other pools.
TASKS_PER_GROUP = 2


@dataclass(frozen=True)
class PendingStep:
    """Store the tasks of one step that may start now.

    `permits` maps the workers that may run them to permits; None if any worker may.
    """

    job: Job
    step: Step
    tasks: tuple[Task, ...]
    queue: Queue
    permits: Mapping[str, str] | None = None

    @property
    def has_suspects(self) -> bool:
        """Return whether tasks of this step, other than a gang, may crash their workers."""
        if self.step.order.gang:
            return False
        # Hardly any task has losses, and this is asked for each step whose urgency is computed.
        lost = [each for each in self.tasks if each.crashes or each.lost_on]
        return bool(lost) and any(task.is_suspect for task in lost)


@dataclass(frozen=True)
class Placement:
    """Store the assignment of a task to a worker instance."""

    task: Task
    instance: WorkerInstance


def objective_ms(job: Job, queue: Queue) -> float:
    """Return the time from its arrival in which a job is done in time."""
    return queue.stretch * job.longest_path_ms + queue.objective_ms


def urgency(pending: PendingStep, now: float, wall_ms: float) -> tuple[int, int, float]:
    """Return a sort key: long-running steps first, then by the latest start that meets a deadline.

    Steps that can meet their objective with a reserve come before those that can still earn late
    credit. Tasks that may crash their workers come first, while some worker starts nothing else.
    """
    job, queue = pending.job, pending.queue
    if pending.has_suspects:
        return (-1, queue.priority, pending.tasks[0].queued_since)
    if pending.step.order.lasting:
        return (0, queue.priority, job.arrived_at)
    objective_s = objective_ms(job, queue) / 1000
    eligible_at = job.arrived_at
    if job.has_schedule:
        eligible_at = now - (wall_ms - job.due_ms(pending.step.occurrence)) / 1000
    remaining_s = pending.step.remaining_path_ms() / 1000
    needed_s = (1 + RESERVE_SHARE) * remaining_s + START_DELAY_S
    if now + needed_s <= eligible_at + objective_s:
        return (1, queue.priority, eligible_at + objective_s - remaining_s)
    if now + remaining_s <= eligible_at + LATE_CREDIT_FACTOR * objective_s:
        return (2, queue.priority, eligible_at + LATE_CREDIT_FACTOR * objective_s - remaining_s)
    return (3, queue.priority, eligible_at)


def urgency_ends_at(pending: PendingStep, current: tuple[int, int, float]) -> float:
    """Return when a step's urgency changes although its job does not, in monotonic seconds.

    That is a microsecond early, for the sake of rounding, and infinite for steps whose urgency
    stays. For a step with a schedule it depends on the time of day, and is not known.
    """
    if pending.job.has_schedule or current[0] not in {1, 2}:
        return math.inf
    remaining_s = pending.step.remaining_path_ms() / 1000
    reserve_s = RESERVE_SHARE * remaining_s + START_DELAY_S if current[0] == 1 else 0.0
    return current[2] - reserve_s - ROUNDING_S


def resource_need(order: StepDefinition) -> Resources:
    """Return the resources that a task reserves on its worker; best-effort tasks take no CPU."""
    need = order.need
    return Resources(0, need.memory_mb, need.accelerators) if order.fills else need


class PlacementRound:
    """Place tasks on workers and track the resources that remain free in this round."""

    def __init__(
        self,
        instances: Iterable[WorkerInstance],
        now: float,
        costs: Callable[[str, float], Mapping[str, float]] = lambda _image, _now: {},
        short: Collection[str] = (),
    ) -> None:
        """Start a round; `costs` returns by other image what a task of an image costs beside it.

        `short` lists the services in which the last round found no worker for a task.
        """
        self._now = now
        self._costs = costs
        self._short = short
        self._instances = {each.id: each for each in instances if each.accepts_tasks(now)}
        self._free = {name: instance.free() for name, instance in self._instances.items()}
        self._with_suspects = {
            name for name, instance in self._instances.items() if instance.has_suspect()
        }
        self._reserved_for_suspects = {
            name for name in self._with_suspects if self._instances[name].has_starting_suspect()
        }
        self._groups: dict[tuple[str, str], CandidateGroup] = {}

    def most_free(self, service: str, label: str) -> Resources:
        """Return the largest free amount of each resource on any worker of a group.

        A step that needs more fits on none of them.
        """
        group = self._group(service, label)
        if group.most_free is None:
            free = [self._free[each.id] for each in group.instances]
            group.most_free = Resources(
                max((each.cpu for each in free), default=-1),
                max((each.memory_mb for each in free), default=-1),
                max((each.accelerators for each in free), default=-1),
            )
        return group.most_free

    def free_by_service(self) -> dict[str, Resources]:
        """Return the resources that are free on the workers of each service."""
        free: defaultdict[str, Resources] = defaultdict(Resources)
        for name, instance in self._instances.items():
            free[instance.entry.service] = free[instance.entry.service] + self._free[name]
        return free

    def place(self, pending: PendingStep) -> list[Placement]:
        """Return placements of as many tasks as fit; a gang is placed as a whole or not at all."""
        order = pending.step.order
        need, group = resource_need(order), self._group(pending.job.service, order.label)
        if group.is_unplaceable(need):
            return []
        gang = (need, len(pending.step.tasks), order.max_per_worker)
        is_plain_gang = order.gang and _takes_any_worker(pending)
        if is_plain_gang and group.is_gang_unplaceable(*gang):
            return []
        active = [task for task in pending.step.tasks if task.phase is TaskPhase.ASSIGNED]
        per_worker = Counter(task.worker for task in active)
        racks = self._racks(pending.job.service, per_worker)
        placed: list[Placement] = []
        for task in pending.tasks:
            instance = self._choose(pending, task, per_worker, racks)
            if instance is None:
                break
            placed.append(Placement(task, instance))
            per_worker[instance.id] += 1
            racks[instance.rack] += 1
            if task.is_suspect:
                self._with_suspects.add(instance.id)
                self._reserved_for_suspects.add(instance.id)
            self._free[instance.id] = self._free[instance.id] - resource_need(order)
        if order.gang and len(placed) < len(pending.step.tasks):
            if is_plain_gang:
                group.unplaceable_gangs.append(gang)
            for item in placed:
                self._free[item.instance.id] = self._free[item.instance.id] + resource_need(order)
            if placed:
                # The resources that were just released may be enough for earlier needs.
                for each in self._groups.values():
                    each.unplaceable.clear()
            return []
        if placed:
            for each in self._groups.values():
                each.most_free = None
        return placed

    def _group(self, service: str, label: str) -> CandidateGroup:
        if (service, label) not in self._groups:
            instances = [
                instance
                for instance in self._instances.values()
                if instance.entry.service == service
                and (not label or label in instance.entry.labels)
            ]
            self._groups[service, label] = CandidateGroup(instances, self._now)
        return self._groups[service, label]

    def _racks(self, service: str, per_worker: Counter[str]) -> Counter[str]:
        used = (self._instances[worker] for worker in per_worker if worker in self._instances)
        return Counter(instance.rack for instance in used if instance.entry.service == service)

    def _choose(
        self, pending: PendingStep, task: Task, per_worker: Counter[str], racks: Counter[str]
    ) -> WorkerInstance | None:
        order = task.step.order
        need = resource_need(order)
        group = self._group(pending.job.service, order.label)
        if group.is_unplaceable(need):
            return None
        costs = self._costs(order.image, self._now) if order.image else {}
        if not costs and not self._reserved_for_suspects and _is_plain(pending, task):
            return self._choose_for_plain(group, need)
        candidates = _candidates(group, pending, task, self._now)
        fitting = [
            instance
            for instance in candidates
            if self._free[instance.id].can_fit(need)
            and (order.gang or instance.id not in self._reserved_for_suspects)
            and (not order.max_per_worker or per_worker[instance.id] < order.max_per_worker)
        ]
        tried_all = len(candidates) == len(group.instances)
        has_excluded = bool(order.max_per_worker or self._reserved_for_suspects)
        if not fitting and tried_all and not has_excluded:
            group.unplaceable.append(need)
        if pending.has_suspects:
            fitting = self._isolated(group, fitting)
        preferred = min(
            fitting,
            key=lambda candidate: self._rank(candidate, task, per_worker, racks),
            default=None,
        )
        if not costs or preferred is None or self._is_short(pending.job.service):
            return preferred
        ranked = sorted(fitting, key=lambda each: self._rank(each, task, per_worker, racks, costs))
        return first_spare(ranked, preferred, group.instances, self._free, need)

    def _choose_for_plain(self, group: CandidateGroup, need: Resources) -> WorkerInstance | None:
        """Return the first worker with the lowest rank for a task that `_is_plain`.

        Of the parts of a rank only the risk and the free CPU time differ for it. Most tasks are
        plain, and a full rank of each worker for each of them takes most of a round.
        """
        cpu, memory_mb, accelerators = need.cpu, need.memory_mb, need.accelerators
        free_by_id, with_suspects = self._free, self._with_suspects
        best, best_cpu, best_is_risk = None, 0, True
        for name, instance in group.not_suspect_by_id.items():
            free = free_by_id[name]
            free_cpu = free.cpu
            if free_cpu < cpu or (best and not best_is_risk and free_cpu >= best_cpu):
                continue
            if free.memory_mb < memory_mb or free.accelerators < accelerators:
                continue
            is_risk = name in with_suspects
            if best is None or (is_risk, free_cpu) < (best_is_risk, best_cpu):
                best, best_cpu, best_is_risk = instance, free_cpu, is_risk
        if best is None and len(group.not_suspect) == len(group.instances):
            group.unplaceable.append(need)
        return best

    def _is_short(self, service: str) -> bool:
        return service in self._short or service in self.short_services()

    def short_services(self) -> set[str]:
        """Return the services in which a task of this round has to wait for a worker."""
        return {
            service
            for (service, _), group in self._groups.items()
            if any(
                instance.entry.room.can_fit(need)
                for need in group.unplaceable
                for instance in group.instances
            )
        }

    def _isolated(
        self, group: CandidateGroup, fitting: Sequence[WorkerInstance]
    ) -> list[WorkerInstance]:
        """Return the workers on which nothing was just started; reserve one if there is none.

        If a task crashes such a worker, no other task can be taken for the cause.
        """
        reserved = sum(1 for each in group.instances if each.id in self._reserved_for_suspects)
        if not fitting or reserved >= max(1, len(group.instances) * MAX_RESERVED_SHARE):
            return []
        latest_starts = {instance.id: instance.latest_start(self._now) for instance in fitting}
        isolated = [
            instance
            for instance in fitting
            if self._now - latest_starts[instance.id] >= SETTLED_RUN_S
        ]
        if not isolated:
            self._reserved_for_suspects.add(min(latest_starts, key=latest_starts.__getitem__))
        return isolated

    def _rank(
        self,
        instance: WorkerInstance,
        task: Task,
        per_worker: Counter[str],
        racks: Counter[str],
        costs: Mapping[str, float] | None = None,
    ) -> tuple[float, ...]:
        """Return a sort key of a worker that fits a task; the lowest is preferred.

        A task that may crash its worker goes where it would end the least work, and others are
        kept away from it. Learned disturbance comes after what protects against failures. For batch
        tasks that take CPU it also comes after packing, which leaves room for large tasks.
        """
        order, free = task.step.order, self._free[instance.id]
        risk = int(instance.id in self._with_suspects)
        packing = -1 if task.is_suspect else 1
        disturbance = disturbance_on(instance, costs) if costs else 0.0
        if order.lasting:
            others = [
                task.step.order for task in instance.tasks.values() if task.step.order.lasting
            ]
            conflicts = sum(1 for other in others if other.fills != order.fills)
            same_worker_groups = per_worker[instance.id] // TASKS_PER_GROUP
            same_rack_groups = racks[instance.rack] // TASKS_PER_GROUP
            return (
                risk,
                conflicts,
                instance.maintenance_due,
                same_worker_groups,
                same_rack_groups,
                disturbance,
                -len(others) * packing,
                -free.cpu,
            )
        outside_rack = float(bool(order.preferred_rack) and instance.rack != order.preferred_rack)
        same_rack_rank = -racks[instance.rack] if order.same_rack else 0
        packed = (free.cpu * packing, disturbance)
        return (risk, outside_rack, same_rack_rank, *(packed[::-1] if order.fills else packed))


def _takes_any_worker(pending: PendingStep) -> bool:
    """Return whether the same workers are considered for a step's tasks as for most others."""
    return pending.permits is None and not any(task.failed_on for task in pending.tasks)


def _is_plain(pending: PendingStep, task: Task) -> bool:
    """Return whether any worker with free capacity may take a task, and packing decides."""
    order = task.step.order
    return not (
        order.lasting
        or order.max_per_worker
        or order.preferred_rack
        or order.same_rack
        or pending.permits is not None
        or task.failed_on
        or task.is_suspect
        or pending.has_suspects
    )


def _candidates(
    group: CandidateGroup, pending: PendingStep, task: Task, now: float
) -> list[WorkerInstance]:
    """Return the workers to consider; avoid those where this or several other tasks failed."""
    if pending.permits is None and not task.failed_on:
        return group.not_suspect
    candidates = [
        instance
        for instance in group.instances
        if pending.permits is None or instance.id in pending.permits
    ]
    not_failed = [
        instance for instance in candidates if instance.id not in task.failed_on
    ] or candidates
    return [instance for instance in not_failed if not instance.is_suspect(now)] or not_failed
