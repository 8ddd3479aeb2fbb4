"""Count the workers that crash under a task, so that it is not started without limit."""

import logging
from collections.abc import Iterable

from gypsumplank.coordination.job.evidence import CurrentWorkers, has_crashed, has_survived
from gypsumplank.coordination.job.model import Task
from gypsumplank.log import Event, event
from gypsumplank.protocol.job import FINAL_JOB_STATES, LostWorker, TaskPhase

# Workers that have to crash right after they started a task before it is given up.
MAX_CRASHES_AT_START = 3
# Workers that have to crash under a task, at any time, before it is given up; after three crashes,
# the platform permits two more starts.
MAX_CRASHES = 5
# Time from a crashed worker's last report, or a start after it, to the next start of a task that
# may have crashed it, seconds; about what a worker takes to return, so that retries do not empty a
# pool.
CRASH_BACKOFF_S = 3.5
# Time for which a task waits for proof if it would be given up should its silent workers have
# crashed, seconds.
CRASH_PROOF_WAIT_S = 4.0

logger = logging.getLogger(__name__)


def record_crash(tasks: Iterable[Task], last_contact_at: float) -> None:
    """Count the crash of a worker that had these tasks against those that may be the cause."""
    for task in _possible_causes(tasks):
        task.crashes += 1
        if not task.has_settled:
            task.crashes_at_start += 1
            # An idle worker may not have been polled for long.
            task.retry_at = max(last_contact_at, task.sent_at) + CRASH_BACKOFF_S
        task.step.dirty = True


def record_loss(tasks: Iterable[Task], worker: str) -> list[Task]:
    """Note that a worker was silent until the leases of its tasks expired; it may have crashed.

    Returns the tasks that may be the cause.
    """
    causes = _possible_causes(tasks)
    for task in causes:
        lost = LostWorker(worker, task.incarnation, task.machine, not task.has_settled)
        task.lost_on = tuple(dict.fromkeys((*task.lost_on, lost)))
    return causes


def _possible_causes(tasks: Iterable[Task]) -> list[Task]:
    """Return which tasks of a worker that ended may have crashed it.

    These are the tasks that had just started, if any, and among them those under which most
    workers have been lost before. A run that proved harmless clears its task.
    """
    begun = []
    for task in tasks:
        if task.has_proven_harmless:
            task.crashes, task.crashes_at_start, task.lost_on = 0, 0, ()
            task.step.dirty = True
        elif task.may_have_begun:
            begun.append(task)
    causes = [task for task in begun if not task.has_settled] or begun
    most = max((task.losses for task in causes), default=0)
    return [task for task in causes if task.losses == most]


def _is_deadly(crashes_at_start: int, crashes: int) -> bool:
    return crashes_at_start >= MAX_CRASHES_AT_START or crashes >= MAX_CRASHES


def withheld_until(task: Task) -> float:
    """Return until when a task waits after a crash, or for its silent workers to be known.

    In monotonic seconds; 0 if it does not wait.
    """
    if not (task.crashes or task.lost_on):
        return 0.0
    lost_at_start = sum(1 for lost in task.lost_on if lost.at_start)
    is_undecided = _is_deadly(task.crashes_at_start + lost_at_start, task.losses)
    proven_at = task.queued_since + CRASH_PROOF_WAIT_S if is_undecided else 0.0
    return max(task.retry_at, proven_at)


def give_up_if_deadly(task: Task) -> None:
    """Fail a queued task under which too many workers have crashed."""
    is_deadly = _is_deadly(task.crashes_at_start, task.crashes)
    if not is_deadly or task.phase is not TaskPhase.WAITING:
        return
    event(
        logger,
        Event.TASK_GIVEN_UP,
        logging.WARNING,
        task=task.name,
        run=task.run,
        crashes=task.crashes,
    )
    task.finish(TaskPhase.FAILED)


class UndecidedLosses:
    """Track the tasks that lost runs with silent workers, until it is known which crashed."""

    def __init__(self) -> None:
        self._tasks: set[Task] = set()

    def add(self, task: Task) -> None:
        """Track a task if it has lost a run with a silent worker."""
        if task.lost_on:
            self._tasks.add(task)

    def decide(self, workers: CurrentWorkers, now: float) -> None:
        """Count the silent workers that crashed, and forget those that answer again."""
        for task in list(self._tasks):
            if not task.lost_on or task.step.job.state in FINAL_JOB_STATES:
                self._tasks.discard(task)
                continue
            crashed = [lost for lost in task.lost_on if has_crashed(lost, workers)]
            undecided = tuple(
                lost
                for lost in task.lost_on
                if lost not in crashed and not has_survived(lost, workers, now)
            )
            if undecided != task.lost_on:
                task.crashes += len(crashed)
                task.crashes_at_start += sum(1 for lost in crashed if lost.at_start)
                task.lost_on = undecided
                task.step.dirty = True
                give_up_if_deadly(task)
