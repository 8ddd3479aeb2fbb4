"""Throttle best-effort tasks while they disturb latency-sensitive tasks on the same worker."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from gypsumplank.coordination.job.instance import WorkerInstance
from gypsumplank.coordination.job.model import Task

# Share of its target from which a serving task's tail latency counts as disturbed; the rest allows
# for the time until throttling takes effect.
TAIL_THRESHOLD_SHARE = 0.8
# Speeds that best-effort tasks are throttled to, in percent of full speed, ascending.
SPEED_LEVELS_PERCENT = (0, 25, 50, 100)
# Time without disturbance before a task's speed is raised by one level, seconds.
RAISE_INTERVAL_S = 2.0


@dataclass(frozen=True)
class SpeedChange:
    """Store a change of a task's speed limit, in percent of full speed."""

    instance: WorkerInstance
    task: Task
    percent: int


def speed_changes(instances: Iterable[WorkerInstance], now: float) -> Iterator[SpeedChange]:
    """Yield the best-effort tasks whose speed limit has to change."""
    for instance in instances:
        if not instance.tasks.has_best_effort():
            continue
        best_effort = [
            task
            for task in instance.tasks.values()
            if task.step.order.fills and task.last_reported_at
        ]
        if not best_effort or not instance.is_in_contact(now):
            continue
        disturbed = any(_is_disturbed(task) for task in instance.tasks.values())
        for task in best_effort:
            percent = _next_speed_limit(task, disturbed, now)
            if percent is not None:
                yield SpeedChange(instance, task, percent)


def _is_disturbed(task: Task) -> bool:
    target = task.step.order.tail_target_ms
    return target > 0 and not task.step.order.fills and task.load > TAIL_THRESHOLD_SHARE * target


def _is_unsure(task: Task) -> bool:
    """Return whether the limit at the worker may differ: set by an earlier leader, or call lost."""
    is_restored = task.start_confirmed_at and not task.sent_to and not task.speed_limit_set_at
    return task.is_speed_limit_unsure or bool(is_restored)


def _next_speed_limit(task: Task, disturbed: bool, now: float) -> int | None:
    """Return the limit to set, None if that is not to change; an unsure one counts as a pause."""
    is_unsure, lowest = _is_unsure(task), SPEED_LEVELS_PERCENT[0]
    if disturbed:
        return lowest if is_unsure or task.speed_limit_percent != lowest else None
    percent = lowest if is_unsure else task.speed_limit_percent
    since = task.speed_limit_set_at or task.start_confirmed_at
    if percent >= SPEED_LEVELS_PERCENT[-1] or now - since < RAISE_INTERVAL_S:
        return None
    return next(level for level in SPEED_LEVELS_PERCENT if level > percent)
