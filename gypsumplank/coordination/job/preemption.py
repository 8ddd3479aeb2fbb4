"""Choose runs to stop: on draining workers, in favour of long-running tasks, or stalled ones."""

import math
from collections.abc import Iterable, Iterator, Sequence

from gypsumplank.coordination.job.demand import DEFAULT_ESTIMATE_MS
from gypsumplank.coordination.job.instance import FULL_CAPACITY_PERCENT, WorkerInstance
from gypsumplank.coordination.job.model import Task
from gypsumplank.coordination.job.placement import resource_need
from gypsumplank.protocol.job import FINAL_JOB_STATES, Resources, StepDefinition, TaskPhase
from gypsumplank.protocol.worker import WorkerState

# Age of a task's last report up to which it counts as serving, seconds; shorter than the time after
# which the platform counts a task as unavailable.
REPORT_MAX_AGE_S = 2.0
# Time in the queue after which a long-running task preempts others, seconds; a sixth of what the
# platform allows.
PREEMPTION_WAIT_S = 0.5
# Shortest time without progress after which a run counts as stalled, seconds; longer than one long
# poll (LONG_POLL_S in dispatcher.py, 1 s), after which a worker reports a run's progress at the
# latest.
MIN_STALL_TIMEOUT_S = 1.6
# Factor by which a sound worker may be slow, and turn slow during a run.
SLOW_WORKER_FACTOR = 8.0
# Factor by which a sound run may exceed its estimate at full speed: the platform's largest for a
# run on the wrong rack.
ESTIMATE_FACTOR = 3.0
# Factor between the paces of runs on one worker up to which they tell of each other.
SHARED_PACE_FACTOR = 3.0
# Number of times for which the stall timeout of a task is doubled at most.
MAX_STALL_DOUBLINGS = 20
# Time after which a stop that freed no resources counts as failed, seconds; a third more than the
# platform's longest stop.
STOP_TIMEOUT_S = 1.2
# Remaining time of a draining worker at which its tasks are stopped to save checkpoints,
# milliseconds.
CHECKPOINT_LEAD_MS = 900


def is_serving(task: Task, now: float) -> bool:
    """Return whether a long-running task serves, according to recent reports."""
    recently_reported = (
        task.phase is TaskPhase.ASSIGNED and now - task.last_reported_at <= REPORT_MAX_AGE_S
    )
    return recently_reported and task.should_run and task.percent >= FULL_CAPACITY_PERCENT


def may_interrupt(task: Task, now: float, already_interrupted: int = 0) -> bool:
    """Return whether a long-running task may be stopped within its step's disruption budget.

    `already_interrupted` counts tasks of the step that the caller has chosen to stop before.
    """
    others = [other for other in task.step.tasks if other is not task]
    unavailable = sum(1 for other in others if not is_serving(other, now)) + already_interrupted
    return unavailable < max(1, task.step.order.may_miss)


def is_stop_void(task: Task, instance: WorkerInstance, now: float) -> bool:
    """Return whether the stop of a long-running task that was requested is no longer permitted.

    Stops wait for the store, and meanwhile other tasks of the step may have become unavailable.
    """
    is_over = task.step.job.cancelled or task.step.job.state in FINAL_JOB_STATES
    is_leaving = instance.entry.state is WorkerState.DRAINING
    is_voluntary = task.step.order.lasting and bool(task.stop_requested_at) and not is_leaving
    return is_voluntary and not is_over and not may_interrupt(task, now)


def runs_to_evacuate(instances: Iterable[WorkerInstance]) -> Iterator[Task]:
    """Yield the runs to stop on draining workers.

    Long-running tasks are stopped at once, tasks with checkpoints shortly before the worker exits.
    """
    for instance in instances:
        if instance.entry.state is not WorkerState.DRAINING or instance.detached:
            continue
        exits_soon = 0 < instance.entry.remaining_ms <= CHECKPOINT_LEAD_MS
        for task in instance.tasks.values():
            order = task.step.order
            if task.should_run and (order.lasting or (order.checkpoints and exits_soon)):
                yield task


def stalled_runs(instances: Iterable[WorkerInstance], now: float) -> Iterator[Task]:
    """Yield the batch runs that make no progress although their worker responds."""
    for instance in instances:
        if not instance.is_in_contact(now):
            continue
        for task in instance.tasks.values():
            # Most runs have progressed lately, so that this is looked at first.
            if task.last_reported_at - task.progressed_at <= MIN_STALL_TIMEOUT_S:
                continue
            watched = task.should_run and not task.step.order.lasting and task.progressed_at
            if not watched or not task.speed_limit_percent:
                continue
            still_since = max(task.progressed_at, task.speed_limit_set_at)
            still_s = task.last_reported_at - still_since
            if still_s > MIN_STALL_TIMEOUT_S and still_s > _stall_timeout_s(task, instance):
                yield task


def _stall_timeout_s(task: Task, instance: WorkerInstance) -> float:
    """Return how long a run's whole percentage may stand still before it counts as stalled.

    That follows from the run's own pace, or else from its estimate, and from how slow the worker
    may be. It doubles with each stall of the task, so that a wrong estimate stops no run for ever.
    """
    percent_s = task.max_percent_s or ESTIMATE_FACTOR * _estimated_percent_s(task)
    doublings = min(task.stalls, MAX_STALL_DOUBLINGS)
    speed = task.speed_limit_percent / 100
    return percent_s * _slowdown_bound(task, instance) * 2**doublings / speed


def _slowdown_bound(task: Task, instance: WorkerInstance) -> float:
    """Return the factor by which a worker may be slow, as its other runs show.

    Only a run that has progressed since this one did shows it. The pace of a gang depends on other
    workers too, that of a best-effort run on the capacity that is left.
    """
    if not _has_steady_pace(task):
        return SLOW_WORKER_FACTOR
    slowdowns = [
        max(other.percent_s, other.last_reported_at - other.progressed_at)
        / min(other.max_percent_s, _estimated_percent_s(other))
        for other in instance.tasks.values()
        if other.percent_s and other.progressed_at > task.progressed_at and _has_steady_pace(other)
    ]
    return min(SLOW_WORKER_FACTOR, SHARED_PACE_FACTOR * max(slowdowns, default=math.inf))


def _has_steady_pace(task: Task) -> bool:
    """Return whether a run's pace depends on the run and its worker only, as far as is known."""
    order = task.step.order
    return not (order.lasting or order.fills or order.gang) and order.estimate_ms > 0


def _estimated_percent_s(task: Task) -> float:
    """Return how long one percent of a run takes according to its estimate."""
    return (task.step.order.estimate_ms or DEFAULT_ESTIMATE_MS) / 1000 / 100


def choose_preemptions(task: Task, instances: Sequence[WorkerInstance], now: float) -> list[Task]:
    """Return the runs of one worker to stop so that a queued long-running task fits there.

    Returns none if runs that are being stopped free enough resources.
    """
    need = resource_need(task.step.order)
    best: list[Task] = []
    for instance in instances:
        if not _is_eligible(instance, task, now):
            continue
        victims = _victims(instance, need, now)
        if victims is None:
            continue
        if not victims:
            return []
        if not best or _cost(victims, now) < _cost(best, now):
            best = victims
    return best


def _is_eligible(instance: WorkerInstance, task: Task, now: float) -> bool:
    order: StepDefinition = task.step.order
    same_step = sum(1 for other in task.step.tasks if other.worker == instance.id)
    return (
        instance.entry.service == task.step.job.service
        and instance.accepts_tasks(now)
        and not instance.is_suspect(now)
        and (not order.label or order.label in instance.entry.labels)
        and (not order.max_per_worker or same_step < order.max_per_worker)
    )


def _victims(instance: WorkerInstance, need: Resources, now: float) -> list[Task] | None:
    """Return the runs to stop on a worker, those that lose least first; None if it can't fit."""
    free = instance.free()
    victims: list[Task] = []
    stop_requested = (task for task in instance.tasks.values() if not task.should_run)
    stopping_in_time = [
        task for task in stop_requested if now - task.stop_requested_at < STOP_TIMEOUT_S
    ]
    for task in stopping_in_time:
        free = free + resource_need(task.step.order)
    stoppable = [
        task for task in instance.tasks.values() if task.should_run and not task.step.order.lasting
    ]
    for task in sorted(
        stoppable, key=lambda task: (not task.step.order.checkpoints, -task.sent_at)
    ):
        if free.can_fit(need):
            break
        victims.append(task)
        free = free + resource_need(task.step.order)
    return victims if free.can_fit(need) else None


def _cost(tasks: Sequence[Task], now: float) -> float:
    """Return the work that stopping runs loses, in 1/1000 core seconds.

    A run loses the time since its start, one with checkpoints half a second.
    """
    return sum(
        task.step.order.need.cpu * (0.5 if task.step.order.checkpoints else now - task.sent_at)
        for task in tasks
    )
