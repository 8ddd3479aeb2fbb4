"""Keep the steps that may start now, in the order of their urgency.

Answers queues of over 1,000 waiting jobs: to examine and sort all of them took 0.1 s and more in
each round, while only a few of them change between two rounds.
"""

import heapq
import math
from bisect import bisect_left, insort
from collections import defaultdict
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field
from functools import partial

from gypsumplank.coordination.job.attempt import find_exhausted, find_startable
from gypsumplank.coordination.job.crash import withheld_until
from gypsumplank.coordination.job.model import Job, Step, Task
from gypsumplank.coordination.job.placement import (
    PendingStep,
    resource_need,
    urgency,
    urgency_ends_at,
)
from gypsumplank.protocol.job import FINAL_JOB_STATES, Resources, TaskPhase
from gypsumplank.protocol.queue import Queue

# Share of removed steps from which it is found anew what the others need at least.
MAX_REMOVED_SHARE = 0.1
# Times of removed steps that are kept at least, so that they are seldom searched for.
MIN_DROPPED = 1000


@dataclass(frozen=True)
class Examination:
    """Store which steps of a job may start, and when that changes without a change of the job.

    `exhausted` are tasks that have used up their attempts, so that the job has to be given up.
    `retry_at` is in monotonic seconds, `due_ms` since 1970; infinite if there is no such time.
    """

    pending: Sequence[PendingStep] = ()
    exhausted: Sequence[Task] = ()
    retry_at: float = math.inf
    due_ms: float = math.inf


def examine(job: Job, queue: Queue | None, now: float, wall_ms: float) -> Examination:
    """Find the steps of a job that may start now by its queue, None if it is not known."""
    if job.state in FINAL_JOB_STATES or job.cancelled:
        return Examination()
    if job.waits_for_queue is not (queue is None):
        job.waits_for_queue = queue is None
        job.note_change()
    if queue is None:
        return Examination()
    pending: list[PendingStep] = []
    job.open_due_occurrences(wall_ms)
    retry_at, due_ms = math.inf, job.next_due_ms
    if due_ms <= wall_ms:
        # It is opened once tasks that wait have started, which changes the job.
        due_ms = math.inf
    for step in job.steps.values():
        waiting = [task for task in step.tasks if task.phase is TaskPhase.WAITING]
        if exhausted := find_exhausted(waiting, queue.max_attempts):
            return Examination(exhausted=exhausted)
        tasks = []
        for task in find_startable(waiting, queue.max_attempts):
            until = withheld_until(task)
            if now < until:
                retry_at = min(retry_at, until)
            else:
                tasks.append(task)
        if not tasks or (step.order.gang and len(tasks) < len(step.tasks)):
            continue
        step_due_ms = job.due_ms(step.occurrence)
        if step_due_ms > wall_ms:
            due_ms = min(due_ms, step_due_ms)
        elif job.is_ready(step, wall_ms):
            pending.extend(
                PendingStep(job, step, group, queue) for group in _placement_groups(step, tasks)
            )
    return Examination(pending, (), retry_at, due_ms)


def _placement_groups(step: Step, tasks: Sequence[Task]) -> Iterator[tuple[Task, ...]]:
    """Yield the tasks that may crash their workers apart from the others; gangs as a whole."""
    suspects = () if step.order.gang else tuple(task for task in tasks if task.is_suspect)
    if suspects:
        yield suspects
    others = tuple(task for task in tasks if task not in suspects)
    if others:
        yield others


Urgency = tuple[int, int, float]
# Returns the largest free amount of each resource on the workers of a service that have a label.
MostFree = Callable[[str, str], Resources]


@dataclass(eq=False)
class ReadyStep:
    """Represent a step that may start: its urgency and its place among steps of equal urgency."""

    pending: PendingStep
    place: tuple[int, int]
    urgency: Urgency
    removed: bool = False

    def __post_init__(self) -> None:
        """Take from the job what is looked at in each round."""
        order = self.pending.step.order
        self.group = (self.pending.job.service, order.label)
        self.need = resource_need(order)

    @property
    def sort_key(self) -> tuple[Urgency, tuple[int, int]]:
        """Return the key by which ready steps are sorted."""
        return (self.urgency, self.place)


SortedStep = tuple[Urgency, tuple[int, int], ReadyStep]


class StepGroup:
    """Keep the ready steps of one service with one label, sorted by urgency.

    `_least` is at most the least amount of each resource that any step needs; None if not known.
    `has_skipped` tells that the last call of `that_may_fit` has skipped a step.
    """

    def __init__(self) -> None:
        self._sorted: list[SortedStep] = []
        self._least: Resources | None = None
        self._removed = 0
        self.has_skipped = False

    def __bool__(self) -> bool:
        return bool(self._sorted)

    def insert(self, ready: ReadyStep) -> None:
        """Add a step."""
        insort(self._sorted, (ready.urgency, ready.place, ready))
        if self._least is not None:
            self._least = self._least.at_most(ready.need)

    def remove(self, ready: ReadyStep) -> None:
        """Remove a step whose urgency has not changed since it was added."""
        del self._sorted[bisect_left(self._sorted, ready.sort_key)]
        self._removed += 1
        if self._removed > len(self._sorted) * MAX_REMOVED_SHARE:
            self._least, self._removed = None, 0

    def _least_need(self) -> Resources:
        """Return what each step needs at least."""
        if self._least is None:
            needs = [ready.need for _, _, ready in self._sorted]
            self._least = Resources(
                min(need.cpu for need in needs),
                min(need.memory_mb for need in needs),
                min(need.accelerators for need in needs),
            )
        return self._least

    def that_may_fit(self, most_free: Callable[[], Resources]) -> Iterator[SortedStep]:
        """Yield the steps that need no more than is free, until no step may fit any more."""
        least, free = self._least_need(), most_free()
        self.has_skipped = not free.can_fit(least)
        if self.has_skipped:
            return
        for item in self._sorted:
            need = item[-1].need
            if (
                need.cpu <= free.cpu
                and need.memory_mb <= free.memory_mb
                and need.accelerators <= free.accelerators
            ):
                yield item
                free = most_free()
                if not free.can_fit(least):
                    self.has_skipped = True
                    return
            else:
                self.has_skipped = True


@dataclass
class JobEntry:
    """Store the ready steps of a job, and when it has to be examined again."""

    steps: list[ReadyStep] = field(default_factory=list)
    retry_at: float = math.inf
    due_ms: float = math.inf


class ReadySteps:
    """Keep the ready steps of all jobs sorted by urgency.

    Jobs without ready steps and without a time at which they may have some take no space.
    """

    def __init__(self) -> None:
        self._jobs: dict[Job, JobEntry] = {}
        self._groups: defaultdict[tuple[str, str], StepGroup] = defaultdict(StepGroup)
        self._count = 0
        self._less_urgent_at: list[tuple[float, tuple[int, int], int, ReadyStep]] = []
        self._timed: set[Job] = set()
        self._scheduled: dict[Job, JobEntry] = {}
        self._lasting: dict[tuple[int, int], ReadyStep] = {}
        self._advised: dict[tuple[int, int], ReadyStep] = {}
        self._next_retry_at = self._next_due_ms = math.inf
        self._wall_ms = -math.inf
        self._pushed = 0

    def due_jobs(self, now: float, wall_ms: float) -> list[Job]:
        """Return the jobs that have to be examined again, as a time has come."""
        due: list[Job] = []
        if wall_ms < self._wall_ms:
            # What was due may be due later, as the clock was set back.
            due.extend(self._scheduled)
        self._wall_ms = wall_ms
        if now < self._next_retry_at and wall_ms < self._next_due_ms:
            return due
        entries = [(job, self._jobs[job]) for job in self._timed]
        due.extend(
            job for job, entry in entries if now >= entry.retry_at or wall_ms >= entry.due_ms
        )
        self._next_retry_at = min((entry.retry_at for _, entry in entries), default=math.inf)
        self._next_due_ms = min((entry.due_ms for _, entry in entries), default=math.inf)
        return due

    def replace(self, job: Job, found: Examination, now: float, wall_ms: float) -> None:
        """Replace what is known of a job."""
        self._remove(job)
        entry = JobEntry(retry_at=found.retry_at, due_ms=found.due_ms)
        for index, pending in enumerate(found.pending):
            ready = ReadyStep(pending, (job.number, index), urgency(pending, now, wall_ms))
            entry.steps.append(ready)
            self._insert(ready)
            if pending.step.order.lasting:
                self._lasting[ready.place] = ready
            if pending.queue.advice is not None:
                self._advised[ready.place] = ready
        is_timed = min(entry.retry_at, entry.due_ms) < math.inf
        if entry.steps or is_timed:
            self._jobs[job] = entry
            if job.has_schedule:
                self._scheduled[job] = entry
        if is_timed:
            self._timed.add(job)
            self._next_retry_at = min(self._next_retry_at, entry.retry_at)
            self._next_due_ms = min(self._next_due_ms, entry.due_ms)

    def _remove(self, job: Job) -> None:
        entry = self._jobs.pop(job, None)
        if entry is None:
            return
        self._timed.discard(job)
        self._scheduled.pop(job, None)
        for ready in entry.steps:
            ready.removed = True
            self._take_out(ready)
            self._lasting.pop(ready.place, None)
            self._advised.pop(ready.place, None)

    def _drop_removed(self) -> None:
        """Forget the times of steps that were removed, once they are most."""
        if len(self._less_urgent_at) > 2 * self._count + MIN_DROPPED:
            self._less_urgent_at = [item for item in self._less_urgent_at if not item[-1].removed]
            heapq.heapify(self._less_urgent_at)

    def _insert(self, ready: ReadyStep) -> None:
        self._groups[ready.group].insert(ready)
        self._count += 1
        ends_at = urgency_ends_at(ready.pending, ready.urgency)
        if ends_at < math.inf:
            self._pushed += 1
            heapq.heappush(self._less_urgent_at, (ends_at, ready.place, self._pushed, ready))

    def _take_out(self, ready: ReadyStep) -> None:
        group = self._groups[ready.group]
        group.remove(ready)
        self._count -= 1
        if not group:
            del self._groups[ready.group]

    def update_urgency(self, now: float, wall_ms: float) -> None:
        """Sort the steps again whose urgency has changed as time has passed."""
        self._drop_removed()
        due = []
        while self._less_urgent_at and self._less_urgent_at[0][0] <= now:
            due.append(heapq.heappop(self._less_urgent_at)[-1])
        # The urgency of a scheduled step depends on the time of day too, which may be set.
        scheduled = (ready for entry in self._scheduled.values() for ready in entry.steps)
        for ready in (*due, *scheduled):
            if not ready.removed:
                self._update_urgency(ready, urgency(ready.pending, now, wall_ms))

    def _update_urgency(self, ready: ReadyStep, current: Urgency) -> None:
        self._take_out(ready)
        ready.urgency = current
        self._insert(ready)

    def that_may_fit(self, most_free: MostFree) -> Iterator[PendingStep]:
        """Yield the ready steps that may fit on some worker, the most urgent first.

        Steps that need more than is free on any worker of their group are skipped; tasks may be
        placed between two steps.
        """
        groups = (
            group.that_may_fit(partial(most_free, *key)) for key, group in self._groups.items()
        )
        return (ready.pending for _, _, ready in heapq.merge(*groups))

    def skipped_services(self) -> set[str]:
        """Return the services with steps that the last call of `that_may_fit` has skipped."""
        return {service for (service, _), group in self._groups.items() if group.has_skipped}

    def lasting(self) -> list[PendingStep]:
        """Return the ready steps of long-running tasks, in the order of their jobs."""
        return _in_place(self._lasting)

    def advised(self) -> list[PendingStep]:
        """Return the ready steps that need permits, in the order of their jobs."""
        return _in_place(self._advised)


def _in_place(steps: dict[tuple[int, int], ReadyStep]) -> list[PendingStep]:
    return [steps[place].pending for place in sorted(steps)]
