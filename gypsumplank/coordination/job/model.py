"""Represent jobs, steps and tasks in the scheduler's memory."""

import math
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from itertools import islice

from gypsumplank.protocol.job import (
    FINAL_TASK_PHASES,
    JobState,
    LostWorker,
    StepDefinition,
    StepRecord,
    StoredJob,
    TaskPhase,
    TaskRecord,
)
from gypsumplank.protocol.worker import TaskName
from gypsumplank.state.jobrow import step_key

# Time after which a run that goes on counts as started without harm to its worker, seconds.
SETTLED_RUN_S = 0.25
# Time after which a run that goes on counts as harmless to its worker, seconds.
PROVEN_RUN_S = 10.0
# Waiting tasks of one job from which no further occurrences are opened, though they are due.
MAX_WAITING_TASKS = 1000
# Workers that a task remembers that its runs failed or stalled on; a worker's next instance has
# another identifier, and the row of a step is limited.
MAX_FAILED_ON = 16
# Workers on which a task failed or stalled that are stored for a successor, the latest ones; bounds
# the row of a step whose tasks run for weeks.
MAX_STORED_FAILED_ON = 3


@dataclass(eq=False)
class Task:
    """Represent one task and its current run; times are monotonic seconds, 0 if not happened yet.

    `run` counts the starts of the task, `worker` and `incarnation` identify the process that the
    run is assigned to, and `machine` is where that runs. `sent_to` is the incarnation that
    the start was meant for, 0 if this leader sent none. `unconfirmed_since` is when the response
    to a start was found to be missing, so that the run may or may not exist. `should_run` is False
    once the run has to stop. `progressed_at` is when `percent` last changed. `percent` is the
    progress of a batch task; for a long-running task it is the share of its capacity that serves,
    and `load` its tail latency in ms. One percent took `percent_s` seconds last, and at most
    `max_percent_s` in this run, 0 if that is not known; `has_progressed` is set once `percent` has
    changed. `stalls` counts the runs that this leader has stopped as stalled. `failed_on` lists the
    workers on which a run failed or stalled last. `crashes` counts the workers that crashed under a
    run, `crashes_at_start` those that did so right after its start, and `lost_on` lists those that
    may have crashed. `retry_at` is the earliest next start after a crash.
    """

    step: "Step"
    name: str
    index: int
    phase: TaskPhase = TaskPhase.WAITING
    run: int = 0
    failures: int = 0
    worker: str = ""
    incarnation: int = 0
    machine: str = ""
    sent_to: int = 0
    checkpoint: str = ""
    failed_on: tuple[str, ...] = ()
    crashes: int = 0
    crashes_at_start: int = 0
    lost_on: tuple[LostWorker, ...] = ()
    sent_at: float = 0.0
    start_confirmed_at: float = 0.0
    unconfirmed_since: float = 0.0
    stop_sent_at: float = 0.0
    stop_confirmed_at: float = 0.0
    last_reported_at: float = 0.0
    progressed_at: float = 0.0
    percent: int = 0
    percent_s: float = 0.0
    max_percent_s: float = 0.0
    has_progressed: bool = False
    stalls: int = 0
    load: int = 0
    speed_limit_percent: int = 100
    speed_limit_set_at: float = 0.0
    is_speed_limit_unsure: bool = False
    permit: str = ""
    should_run: bool = True
    stop_requested_at: float = 0.0
    queued_since: float = 0.0
    retry_at: float = 0.0
    running_since: float = 0.0
    unavailable_since: float = 0.0

    @property
    def record(self) -> TaskRecord:
        """Return the task's stored form."""
        return TaskRecord(
            self.phase,
            self.run,
            self.failures,
            self.worker,
            self.incarnation,
            self.checkpoint,
            self.failed_on[-MAX_STORED_FAILED_ON:],
            self.machine,
            self.crashes,
            self.crashes_at_start,
            self.lost_on,
        )

    @property
    def is_final(self) -> bool:
        """Return whether the task is done or has failed for good."""
        return self.phase in FINAL_TASK_PHASES

    @property
    def counted_failures(self) -> int:
        """Return the failed runs that count towards the limit, for a gang those of all members."""
        members = self.step.tasks if self.step.order.gang else [self]
        return sum(member.failures for member in members)

    @property
    def is_suspect(self) -> bool:
        """Return whether a worker was lost right after it started the task, or two were at all."""
        if not (self.crashes or self.lost_on):
            return False
        lost_at_start = any(lost.at_start for lost in self.lost_on)
        return bool(self.crashes_at_start) or lost_at_start or self.losses > 1

    @property
    def losses(self) -> int:
        """Return the number of workers that crashed, or may have crashed, under earlier runs."""
        return self.crashes + len(self.lost_on)

    @property
    def may_have_begun(self) -> bool:
        """Return whether the current run may have been started on its worker."""
        is_sent = bool(self.sent_at or self.start_confirmed_at or self.unconfirmed_since)
        return is_sent and not self.is_final

    @property
    def has_settled(self) -> bool:
        """Return whether the current run was at work for SETTLED_RUN_S."""
        return bool(self.sent_at) and self.last_reported_at - self.sent_at >= SETTLED_RUN_S

    @property
    def has_proven_harmless(self) -> bool:
        """Return whether the current run was at work for PROVEN_RUN_S."""
        return bool(self.sent_at) and self.last_reported_at - self.sent_at >= PROVEN_RUN_S

    def record_progress(self, percent: int, now: float) -> None:
        """Set the percentage, and how long one percent took if it changed before."""
        if self.progressed_at and percent == self.percent:
            return
        if self.has_progressed and percent > self.percent:
            began_at = min(now, max(self.progressed_at, self.speed_limit_set_at))
            self.percent_s = (now - began_at) / (percent - self.percent)
            self.max_percent_s = max(self.max_percent_s, self.percent_s)
        self.has_progressed = bool(self.progressed_at)
        self.progressed_at, self.percent = now, percent

    def record_failure_on(self, worker: str) -> None:
        """Remember a worker on which a run failed or stalled, so that others are tried first."""
        others = tuple(other for other in self.failed_on if other != worker)
        self.failed_on = (*others, worker)[-MAX_FAILED_ON:]

    def assign(self, worker: str, incarnation: int, run: int, machine: str = "") -> None:
        """Assign the task's next run to an instance of a worker."""
        self.phase = TaskPhase.ASSIGNED
        self.worker, self.incarnation, self.run = worker, incarnation, run
        self.machine = machine
        self._reset_run()
        self.step.dirty = True

    def requeue(self, now: float) -> None:
        """Return the task to the queue, unless its phase is final.

        Its last run must be known to be over everywhere.
        """
        if self.is_final:
            return
        self.phase = TaskPhase.WAITING
        self._release_worker()
        self.queued_since = now
        self._reset_run()
        self.step.dirty = True

    def finish(self, phase: TaskPhase) -> None:
        """Set the task's final phase, done or failed."""
        self.phase = phase
        self._release_worker()
        self._reset_run()
        self.step.dirty = True

    def _release_worker(self) -> None:
        self.worker, self.incarnation, self.machine = "", 0, ""

    def _reset_run(self) -> None:
        self.sent_to = 0
        self.sent_at = self.start_confirmed_at = self.unconfirmed_since = 0.0
        self.stop_sent_at = self.stop_confirmed_at = self.last_reported_at = self.progressed_at = (
            0.0
        )
        self.percent = self.load = 0
        self.percent_s = self.max_percent_s = 0.0
        self.has_progressed = False
        self.speed_limit_percent = 100
        self.speed_limit_set_at = 0.0
        self.is_speed_limit_unsure = False
        self.should_run = True
        self.stop_requested_at = 0.0


class Step:
    """Represent one occurrence of a step.

    `record_removed` is set once its stored row was deleted, as the job is over.
    """

    def __init__(self, job: "Job", occurrence: int, position: int, order: StepDefinition) -> None:
        self.job = job
        self.occurrence = occurrence
        self.position = position
        self.order = order
        self.key = step_key(job.id, occurrence, position)
        self.tasks = [Task(self, f"{self.key}.{index}", index) for index in range(order.tasks)]
        self._dirty = False
        self.record_removed = False

    @property
    def dirty(self) -> bool:
        """Return whether there are changes that are not stored yet."""
        return self._dirty

    @dirty.setter
    def dirty(self, value: bool) -> None:
        self._dirty = value
        if value:
            self.job.note_change()

    @property
    def has_record(self) -> bool:
        """Return whether a stored row may exist; it is written once the first run is assigned."""
        return not self.record_removed and any(task.run for task in self.tasks)

    @property
    def is_done(self) -> bool:
        """Return whether every task is done."""
        return all(task.phase is TaskPhase.DONE for task in self.tasks)

    @property
    def record(self) -> StepRecord:
        """Return the step's stored form."""
        return StepRecord(tuple(task.record for task in self.tasks))

    def restore(self, record: StepRecord, now: float) -> None:
        """Restore the tasks from their stored form."""
        for task, stored in zip(self.tasks, record.tasks, strict=False):
            task.phase, task.run, task.failures = stored.phase, stored.run, stored.failures
            task.worker, task.incarnation = stored.worker, stored.born
            task.machine = stored.machine
            task.crashes, task.crashes_at_start = stored.crashes, stored.crashes_at_start
            task.lost_on = stored.lost_on
            task.checkpoint, task.failed_on = stored.checkpoint, stored.failed_on
            task.queued_since = now

    def remaining_path_ms(self) -> int:
        """Return the estimated duration of the critical path that starts here, in milliseconds."""
        return self.job.critical_path_ms(self.position)


@dataclass(eq=False)
class Job:
    """Represent one job; `version` is that of the stored row with its state.

    `arrived_at` is when this leader read the job, in monotonic seconds. `is_unstorable` tells that
    the store does not take a row of one of its steps. `waits_for_queue` is set while no task of the
    job may start, as the manifest does not name its queue. `unstored` marks a job that was adopted
    from a submission and has no rows of its own yet; `first_version` is at least the version of the
    store at which it got them. `number` is the job's place in the order in which this leader read
    all jobs, and `on_change` is called after each change of its state or of its tasks.
    `steps` are those of the occurrences that are open: due and not ended. `ended` lists the
    occurrences that have ended, in the order in which they were closed, and `ended_rows_removed`
    counts the rows of their steps that were deleted, in the same order, as the job is over.
    `hold_causes` are the causes logged for which its account held it back, `is_held` is set while
    it does because of its cap. `is_excess` marks a job beyond its account's weight.
    """

    stored: StoredJob
    service: str
    state: JobState = JobState.QUEUED
    version: int = 0
    cancelled: bool = False
    cleaned: bool = False
    started: bool = False
    is_unstorable: bool = False
    waits_for_queue: bool = False
    hold_causes: frozenset[str] = frozenset()
    is_held: bool = False
    is_excess: bool = False
    arrived_at: float = 0.0
    unstored: bool = False
    first_version: int = 0
    steps: dict[tuple[int, int], Step] = field(default_factory=dict)
    ended: list[int] = field(default_factory=list)
    ended_rows_removed: int = 0
    number: int = 0
    on_change: Callable[["Job"], None] | None = None

    def __post_init__(self) -> None:
        """Open the only occurrence; those of a schedule are opened as they become due.

        `longest_path_ms` is the job's critical path.
        """
        order = self.stored.order
        self._next_occurrence = 0
        self._restored: set[int] = set()
        if not self.has_schedule:
            self._open(0)
            self._next_occurrence = 1
        self._critical_paths = _critical_paths(order.steps)
        self.longest_path_ms = max(self._critical_paths, default=0)
        self._state_dirty = False

    @property
    def occurrences(self) -> int:
        """Return how often the job's steps run."""
        return max(1, self.stored.order.schedule.count)

    @property
    def has_unopened(self) -> bool:
        """Return whether there are occurrences that were never opened."""
        return self._next_occurrence < self.occurrences

    @property
    def next_due_ms(self) -> float:
        """Return when the next occurrence is due that was never opened, in ms since 1970."""
        return self.due_ms(self._next_occurrence) if self.has_unopened else math.inf

    def _open(self, occurrence: int) -> None:
        for position, definition in enumerate(self.stored.order.steps):
            step = self.steps[occurrence, position] = Step(self, occurrence, position, definition)
            for task in step.tasks:
                task.queued_since = self.arrived_at

    def open_due_occurrences(self, wall_ms: float) -> None:
        """Open the occurrences that are due, the earliest first, up to MAX_WAITING_TASKS."""
        if self.next_due_ms > wall_ms:
            return
        waiting = sum(1 for task in self.tasks() if task.phase is TaskPhase.WAITING)
        size = sum(definition.tasks for definition in self.stored.order.steps)
        while waiting < MAX_WAITING_TASKS and self.next_due_ms <= wall_ms:
            self._open(self._next_occurrence)
            waiting += size
            self._pass_opened()

    def _pass_opened(self) -> None:
        self._next_occurrence += 1
        while self._next_occurrence in self._restored:
            self._restored.remove(self._next_occurrence)
            self._next_occurrence += 1

    def restore(self, records: dict[tuple[int, int], StepRecord], ended: Iterable[int]) -> None:
        """Open the occurrences that an earlier leader has begun, and note those that have ended."""
        now = self.arrived_at
        self.ended = list(ended)
        for occurrence in dict.fromkeys(occurrence for occurrence, _ in records):
            if (occurrence, 0) not in self.steps:
                self._open(occurrence)
        for place, record in records.items():
            self.steps[place].restore(record, now)
        if self.has_schedule:
            self._restored = {*self.ended, *(occurrence for occurrence, _ in records)}
            self._next_occurrence = -1
            self._pass_opened()

    def close_ended_occurrences(self) -> None:
        """Drop the steps of occurrences that are done and stored; their rows stay until the end."""
        if not self.has_schedule:
            return
        for occurrence in list(dict.fromkeys(occurrence for occurrence, _ in self.steps)):
            places = [(occurrence, at) for at in range(len(self.stored.order.steps))]
            if all(self.steps[at].is_done and not self.steps[at].dirty for at in places):
                self.ended.append(occurrence)
                for at in places:
                    del self.steps[at]

    def ended_row_keys(self, limit: int) -> list[str]:
        """Return the keys of the first rows of ended occurrences that were not removed yet."""
        width = len(self.stored.order.steps)
        total = len(self.ended) * width
        numbers = islice(range(self.ended_rows_removed, total), limit)
        return [step_key(self.id, self.ended[at // width], at % width) for at in numbers]

    @property
    def state_dirty(self) -> bool:
        """Return whether a change of the state is not stored yet."""
        return self._state_dirty

    @state_dirty.setter
    def state_dirty(self, value: bool) -> None:
        self._state_dirty = value
        if value:
            self.note_change()

    def note_change(self) -> None:
        """Tell that the job's state or its tasks have changed."""
        if self.on_change is not None:
            self.on_change(self)

    def set_held(self, is_held: bool) -> None:
        """Set whether the job's account holds it back because of its cap."""
        if self.is_held is not is_held:
            self.is_held = is_held
            self.note_change()

    @property
    def id(self) -> str:
        """Return the identifier that the caller chose."""
        return self.stored.id

    @property
    def has_schedule(self) -> bool:
        """Return whether the job's occurrences run at scheduled times."""
        return self.stored.order.schedule.count > 0

    def due_ms(self, occurrence: int) -> int:
        """Return when an occurrence is due, in ms since 1970; 0 if the job has no schedule."""
        schedule = self.stored.order.schedule
        return schedule.first_ms + occurrence * schedule.interval_ms if self.has_schedule else 0

    def critical_path_ms(self, position: int) -> int:
        """Return the estimated duration of the critical path from a step on, in milliseconds."""
        return self._critical_paths[position]

    def tasks(self) -> Iterator[Task]:
        """Iterate over the tasks of all open occurrences."""
        return (task for step in self.steps.values() for task in step.tasks)

    def assigned_tasks(self) -> list[Task]:
        """Return the tasks that are assigned to a worker and may be running."""
        return [task for task in self.tasks() if task.phase is TaskPhase.ASSIGNED]

    def is_ready(self, step: Step, wall_ms: float) -> bool:
        """Return whether a step is due and its predecessors are done; `wall_ms` is since 1970."""
        if self.due_ms(step.occurrence) > wall_ms:
            return False
        predecessors = (self.steps[step.occurrence, position] for position in step.order.after)
        return all(predecessor.is_done for predecessor in predecessors)

    def find(self, name: TaskName) -> Task | None:
        """Return the task of this name; None if there is none."""
        step = self.steps.get((name.occurrence, name.step))
        if step is None or not 0 <= name.index < len(step.tasks):
            return None
        return step.tasks[name.index]


def _critical_paths(steps: tuple[StepDefinition, ...]) -> list[int]:
    """Return for each step the duration in ms of the critical path that starts with it."""
    paths_ms = [0] * len(steps)
    for position in range(len(steps) - 1, -1, -1):
        paths_ms[position] += steps[position].estimate_ms
        for predecessor in steps[position].after:
            paths_ms[predecessor] = max(paths_ms[predecessor], paths_ms[position])
    return paths_ms
