"""Decide whether a batch task that has failed may start again; its queue's limit may be unknown."""

from collections.abc import Iterable, Sequence

from gypsumplank.coordination.job.model import Task


def find_exhausted(tasks: Iterable[Task], limit: int | None) -> list[Task]:
    """Return the tasks whose failed runs have reached the limit; none if that is not known."""
    return [
        task
        for task in tasks
        if limit is not None
        and task.failures
        and not task.step.order.lasting
        and task.counted_failures >= limit
    ]


def find_startable(tasks: Sequence[Task], limit: int | None) -> Sequence[Task]:
    """Return the tasks that may start; while the limit is unknown, those that have not failed."""
    if limit is not None:
        return tasks
    return [task for task in tasks if task.step.order.lasting or not task.counted_failures]
