"""Decide whether a batch task that has failed may start again."""

from collections.abc import Iterable

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
