"""Keep tasks that disturb each other on different workers where there is capacity to spare.

Answers fragmentation: a task that avoids a neighbour must not take the capacity in which another
task could have started.
"""

from collections.abc import Iterable, Mapping

from gypsumplank.coordination.job.instance import WorkerInstance
from gypsumplank.protocol.job import Resources

# Multiple of a task's need that a worker must have free to be chosen for lack of disturbance.
SPARE_FACTOR = 2


def disturbance_on(instance: WorkerInstance, costs: Mapping[str, float]) -> float:
    """Return the cost of a task beside a worker's tasks; each image counts once."""
    images = {task.step.order.image for task in instance.tasks.values()} & costs.keys()
    return sum(costs[image] for image in sorted(images))


def first_spare(
    ranked: Iterable[WorkerInstance],
    preferred: WorkerInstance,
    instances: Iterable[WorkerInstance],
    free: Mapping[str, Resources],
    need: Resources,
) -> WorkerInstance:
    """Return the first ranked worker that has capacity to spare, or the preferred one."""
    instances = list(instances)
    for candidate in ranked:
        if candidate is preferred or _is_spare(candidate, instances, free, need):
            return candidate
    return preferred


def _is_spare(
    candidate: WorkerInstance,
    instances: Iterable[WorkerInstance],
    free: Mapping[str, Resources],
    need: Resources,
) -> bool:
    """Return whether another worker could take whatever may start on this one."""
    available = free[candidate.id]
    if not available.can_fit(need.scaled(SPARE_FACTOR)):
        return False
    labels = set(candidate.entry.labels[:-1])
    return any(
        other is not candidate
        and free[other.id].can_fit(available)
        and labels.issubset(other.entry.labels)
        for other in instances
    )
