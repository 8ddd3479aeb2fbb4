"""Limit how often a task may fail, also if its queue's limit is not known when it does."""

from collections.abc import Iterable

from gypsumplank.coordination.job.knownqueue import KnownQueues
from gypsumplank.coordination.job.model import Task
from gypsumplank.protocol.job import FINAL_JOB_STATES, TaskPhase


class AttemptLimits:
    """Return the limits of tasks, and apply those that become known later."""

    def __init__(self, queues: KnownQueues) -> None:
        self._queues = queues
        self._undecided: set[Task] = set()

    def restore(self, tasks: Iterable[Task]) -> None:
        """Check restored tasks, as an earlier leader may not have known their limits."""
        self._undecided.update(
            task for task in tasks if task.failures and not task.step.order.lasting
        )

    def find(self, task: Task) -> int | None:
        """Return after how many failed runs a batch task has failed; None if not known yet."""
        limit = self._queues.max_attempts(task.step.job.stored.queue)
        if limit is None:
            self._undecided.add(task)
        return limit

    def apply(self) -> None:
        """Fail the queued tasks that had reached their limits before these were known."""
        for task in list(self._undecided):
            limit = self._queues.max_attempts(task.step.job.stored.queue)
            if limit is None and task.step.job.state not in FINAL_JOB_STATES:
                continue
            self._undecided.discard(task)
            is_queued = task.phase is TaskPhase.WAITING
            if limit is not None and is_queued and task.counted_failures >= limit:
                task.finish(TaskPhase.FAILED)
