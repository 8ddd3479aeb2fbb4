"""Take samples of serving tasks' tail latency, with the images that run beside them.

Answers figures that mix two states: a worker reports a mean over the last half second, best-effort
tasks start, end and are throttled meanwhile, and a throttled one must not look harmless.
"""

from collections import Counter, OrderedDict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from gypsumplank.coordination.job.instance import WorkerInstance
from gypsumplank.coordination.job.model import Task
from gypsumplank.protocol.worker import RunningTask

# Time after a neighbour's start before it counts, seconds. Throttling follows the first report that
# shows a disturbance, so half of the time that a figure covers has to do.
ADDED_SETTLE_S = 0.25
# Time after a neighbour's end before it counts as absent, seconds; twice the time that a figure
# covers, as a sample that still holds its effect would make it look harmless.
REMOVED_SETTLE_S = 1.0
# Time after a pause or a return to full speed before a task counts as paused or unthrottled,
# seconds; the order takes effect after it was recorded, and the figure covers half a second.
SPEED_SETTLE_S = 1.0
# Time between two reports of a worker after which its earlier neighbours are unknown, seconds; a
# long poll takes 1 s.
MAX_REPORT_GAP_S = 3.0
# Workers whose neighbours are remembered; the least recently seen goes first.
MAX_WORKERS = 2000
# Images beside one task; a worker with more of them tells little about each.
MAX_NEIGHBOURS = 16
# Longest image name that is learned, characters.
MAX_IMAGE_CHARS = 200
# Longest tail latency that is learned, ms; a longer one is an outage or a false figure.
MAX_TAIL_MS = 60_000
# Reported percentage from which a long-running task serves at its full share.
FULL_PERCENT = 100


@dataclass(frozen=True)
class TailSample:
    """Store a serving task's tail latency and the images that ran beside it.

    `throttled` lists the images that are slowed down, of which paused ones are no `neighbours`.
    """

    image: str
    task: str
    tail_ms: int
    neighbours: frozenset[str]
    throttled: frozenset[str] = frozenset()


@dataclass
class Presence:
    """Store since when each image has been on a worker, and when one last left."""

    seen_at: float
    since: dict[str, float] = field(default_factory=dict)
    left_at: float = 0.0


class NeighbourSampler:
    """Turn workers' reports into samples; remembers which images were present before."""

    def __init__(self) -> None:
        self._presences: OrderedDict[str, Presence] = OrderedDict()

    def samples(
        self, instance: WorkerInstance, running: Iterable[RunningTask], at: float
    ) -> list[TailSample]:
        """Return the samples of a report that was applied at `at`."""
        if not any(is_serving(task) for task in instance.tasks.values()):
            return []
        tasks = _reported_tasks(instance, running)
        presence = self._update(instance.instance_id, tasks, at)
        is_settled = at - presence.left_at >= REMOVED_SETTLE_S and all(
            at - since >= ADDED_SETTLE_S for since in presence.since.values()
        )
        is_pausing = any(
            not task.speed_limit_percent and at - task.speed_limit_set_at < SPEED_SETTLE_S
            for task in tasks
        )
        if not is_settled or is_pausing or instance.has_unassigned_runs:
            return []
        images = Counter(
            task.step.order.image
            for task in tasks
            if task.step.order.image and task.speed_limit_percent
        )
        if len(images) > MAX_NEIGHBOURS:
            return []
        throttled = frozenset(task.step.order.image for task in tasks if _is_throttled(task, at))
        return [
            _sample(task, images, throttled)
            for task in tasks
            if is_serving(task) and task.percent >= FULL_PERCENT and 0 < task.load <= MAX_TAIL_MS
        ]

    def _update(self, key: str, tasks: Iterable[Task], at: float) -> Presence:
        presence = self._presences.get(key)
        if presence is None or at - presence.seen_at > MAX_REPORT_GAP_S:
            presence = self._presences[key] = Presence(at, left_at=at)
        since: dict[str, float] = {}
        for task in tasks:
            if image := task.step.order.image:
                began_at = presence.since.get(image, task.start_confirmed_at or at)
                since[image] = min(began_at, since.get(image, began_at))
        if presence.since.keys() - since.keys():
            presence.left_at = at
        presence.since, presence.seen_at = since, at
        self._presences.move_to_end(key)
        if len(self._presences) > MAX_WORKERS:
            self._presences.popitem(last=False)
        return presence


def is_serving(task: Task) -> bool:
    """Return whether a task reports a tail latency and has an image to learn for."""
    order = task.step.order
    return bool(
        order.lasting
        and order.tail_target_ms
        and not order.fills
        and 0 < len(order.image) <= MAX_IMAGE_CHARS
    )


def _reported_tasks(instance: WorkerInstance, running: Iterable[RunningTask]) -> list[Task]:
    """Return the assigned tasks that the report lists with their current run."""
    assigned = instance.tasks
    return [
        task
        for each in running
        if (task := assigned.get(each.name)) is not None
        and task.run == each.run
        and len(task.step.order.image) <= MAX_IMAGE_CHARS
    ]


def _sample(task: Task, images: Mapping[str, int], throttled: frozenset[str]) -> TailSample:
    own = task.step.order.image
    neighbours = frozenset(image for image in images if image != own or images[own] > 1)
    return TailSample(own, task.name, task.load, neighbours, throttled)


def _is_throttled(task: Task, at: float) -> bool:
    """Return whether a task may run below full speed.

    An earlier leader may have throttled a best-effort task that this one did not start.
    """
    if task.speed_limit_percent < FULL_PERCENT:
        return True
    if not task.speed_limit_set_at:
        return task.step.order.fills and not task.sent_to
    return at - task.speed_limit_set_at < SPEED_SETTLE_S
