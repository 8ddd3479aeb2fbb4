"""Choose runs to stop so that others are served: on leaving, crowded or stalled workers."""

from collections.abc import Iterable, Iterator, Sequence

from gypsumplank.coordination.job.model import Task
from gypsumplank.coordination.job.placing import counted
from gypsumplank.coordination.job.site import AT_WORK, Site
from gypsumplank.protocol.job import Room, StepOrder, TaskPhase
from gypsumplank.protocol.worker import WorkerState

# Age of the last sight of a run up to which it counts as at work, seconds; under the time after
# which the platform counts a task as away.
SEEN_S = 2.0
# Wait of a lasting task after which others make room for it, seconds; a sixth of the platform's.
ROOM_WAIT_S = 0.5
# Time without progress after which a run counts as stalled, seconds; several looks fit into it.
STALL_S = 1.6
# Time in which a stop frees its room unless the worker does not answer, seconds; a third over the
# platform's longest.
STOP_S = 1.2
# Time that a leaving worker needs to save what it runs, milliseconds.
SAVE_MS = 900


def is_at_work(task: Task, now: float) -> bool:
    """Tell whether a lasting task serves, as far as can be known."""
    seen = task.phase is TaskPhase.ASSIGNED and now - task.seen_at <= SEEN_S
    return seen and task.wanted and task.percent >= AT_WORK


def may_take(task: Task, now: float, also: int = 0) -> bool:
    """Tell whether a lasting task may be taken away within its step's budget."""
    others = [one for one in task.step.tasks if one is not task]
    away = sum(1 for one in others if not is_at_work(one, now)) + also
    return away < max(1, task.step.order.may_miss)


def evacuated(sites: Iterable[Site]) -> Iterator[Task]:
    """Return the runs that should leave draining workers before these end."""
    for site in sites:
        if site.entry.state is not WorkerState.DRAINING or site.gone:
            continue
        ending = 0 < site.entry.remaining_ms <= SAVE_MS
        for task in site.tasks.values():
            order = task.step.order
            if task.wanted and (order.lasting or (order.checkpoints and ending)):
                yield task


def stalled(sites: Iterable[Site], now: float) -> Iterator[Task]:
    """Return the runs that make no progress although their worker answers."""
    for site in sites:
        if not site.contact_is_fresh(now):
            continue
        for task in site.tasks.values():
            watched = task.wanted and not task.step.order.lasting and task.moved_at
            if watched and task.seen_at - task.moved_at > STALL_S:
                yield task


def make_room(task: Task, sites: Sequence[Site], now: float) -> list[Task]:
    """Return the runs whose stop frees a worker's room for a waiting lasting task.

    Returns none where the runs that are being stopped leave room enough.
    """
    need = counted(task.step.order)
    best: list[Task] = []
    for site in sites:
        if not _suits(site, task, now):
            continue
        found = _victims(site, need, now)
        if found is None:
            continue
        if not found:
            return []
        if not best or _cost(found, now) < _cost(best, now):
            best = found
    return best


def _suits(site: Site, task: Task, now: float) -> bool:
    order: StepOrder = task.step.order
    held = sum(1 for one in task.step.tasks if one.worker == site.id)
    return (
        site.entry.service == task.step.job.service
        and site.takes_work(now)
        and not site.is_suspect(now)
        and (not order.label or order.label in site.entry.labels)
        and (not order.max_per_worker or held < order.max_per_worker)
    )


def _victims(site: Site, need: Room, now: float) -> list[Task] | None:
    """Return the fewest runs to stop at a site, those that lose least first; None if none do."""
    room = site.free()
    found: list[Task] = []
    stopping = (one for one in site.tasks.values() if not one.wanted)
    leaving = [one for one in stopping if now - one.unwanted_at < STOP_S]
    for one in leaving:
        room = room + counted(one.step.order)
    stoppable = [one for one in site.tasks.values() if one.wanted and not one.step.order.lasting]
    for one in sorted(stoppable, key=lambda each: (not each.step.order.checkpoints, -each.sent_at)):
        if room.holds(need):
            break
        found.append(one)
        room = room + counted(one.step.order)
    return found if room.holds(need) else None


def _cost(tasks: Sequence[Task], now: float) -> float:
    return sum(
        task.step.order.need.cpu * (0.5 if task.step.order.checkpoints else now - task.sent_at)
        for task in tasks
    )
