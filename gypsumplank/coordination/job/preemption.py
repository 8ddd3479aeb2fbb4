"""Choose runs to stop: on draining workers, in favour of long-running tasks, or stalled ones."""

from collections.abc import Iterable, Iterator, Sequence

from gypsumplank.coordination.job.instance import FULL_CAPACITY_PERCENT, WorkerInstance
from gypsumplank.coordination.job.model import Task
from gypsumplank.coordination.job.placement import resource_need
from gypsumplank.protocol.job import Resources, StepDefinition, TaskPhase
from gypsumplank.protocol.worker import WorkerState

# Age of a task's last report up to which it counts as serving, seconds; shorter than the time after
# which the platform counts a task as unavailable.
REPORT_MAX_AGE_S = 2.0
# Time in the queue after which a long-running task preempts others, seconds; a sixth of what the
# platform allows.
PREEMPTION_WAIT_S = 0.5
# Time without progress after which a run counts as stalled, seconds; longer than one long poll
# (LONG_POLL_S in dispatcher.py, 1 s), after which a worker reports a run's progress at the latest.
STALL_TIMEOUT_S = 1.6
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
            watched = task.should_run and not task.step.order.lasting and task.progressed_at
            if watched and task.last_reported_at - task.progressed_at > STALL_TIMEOUT_S:
                yield task


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
