"""Model jobs, steps and tasks as the scheduler knows them."""

from collections.abc import Iterator
from dataclasses import dataclass, field

from gypsumplank.protocol.job import (
    JobState,
    StepOrder,
    StepRecord,
    StoredJob,
    TaskPhase,
    TaskRecord,
)
from gypsumplank.protocol.worker import TaskName
from gypsumplank.state.job import step_key


@dataclass(eq=False)
class Task:
    """Hold one task; times are monotonic seconds, 0 where it has not happened.

    `answered_at` is when the worker confirmed the start, `lost_at` when a start's answer was
    found missing, `stopping_at` when the last stop was sent, `stopped_at` when one was confirmed.
    `wanted` is False while the run has to stop, `unwanted_at` is since when; `moved_at` is when its
    progress last changed.
    """

    step: "Step"
    name: str
    index: int
    phase: TaskPhase = TaskPhase.WAITING
    run: int = 0
    failures: int = 0
    worker: str = ""
    born: int = 0
    checkpoint: str = ""
    failed_on: tuple[str, ...] = ()
    sent_at: float = 0.0
    answered_at: float = 0.0
    lost_at: float = 0.0
    stopping_at: float = 0.0
    stopped_at: float = 0.0
    seen_at: float = 0.0
    moved_at: float = 0.0
    percent: int = 0
    load: int = 0
    pace: int = 100
    paced_at: float = 0.0
    permit: str = ""
    wanted: bool = True
    unwanted_at: float = 0.0
    waiting_since: float = 0.0
    up_since: float = 0.0
    away_since: float = 0.0

    @property
    def record(self) -> TaskRecord:
        """Return what is stored of the task."""
        return TaskRecord(
            self.phase,
            self.run,
            self.failures,
            self.worker,
            self.born,
            self.checkpoint,
            self.failed_on,
        )

    def assign(self, worker: str, born: int, run: int) -> None:
        """Give the task's next run to a worker life."""
        self.phase = TaskPhase.ASSIGNED
        self.worker, self.born, self.run = worker, born, run
        self._clear_run()
        self.step.dirty = True

    def release(self, now: float) -> None:
        """Return the task to the queue; its run can no longer be at work anywhere."""
        self.phase = TaskPhase.WAITING
        self.worker, self.born = "", 0
        self.waiting_since = now
        self._clear_run()
        self.step.dirty = True

    def finish(self, phase: TaskPhase) -> None:
        """Note that the task is done or has failed for good."""
        self.phase = phase
        self.worker, self.born = "", 0
        self._clear_run()
        self.step.dirty = True

    def _clear_run(self) -> None:
        self.sent_at = self.answered_at = self.lost_at = 0.0
        self.stopping_at = self.stopped_at = self.seen_at = self.moved_at = 0.0
        self.percent = self.load = 0
        self.pace = 100
        self.paced_at = 0.0
        self.wanted = True
        self.unwanted_at = 0.0


class Step:
    """Hold one occurrence of a step."""

    def __init__(self, job: "Job", occurrence: int, position: int, order: StepOrder) -> None:
        self.job = job
        self.occurrence = occurrence
        self.position = position
        self.order = order
        self.key = step_key(job.id, occurrence, position)
        self.tasks = [Task(self, f"{self.key}.{index}", index) for index in range(order.tasks)]
        self.dirty = False

    @property
    def is_done(self) -> bool:
        """Tell whether every task has ended as done."""
        return all(task.phase is TaskPhase.DONE for task in self.tasks)

    @property
    def record(self) -> StepRecord:
        """Return what is stored of the step."""
        return StepRecord(tuple(task.record for task in self.tasks))

    def restore(self, record: StepRecord, now: float) -> None:
        """Take over what is stored."""
        for task, stored in zip(self.tasks, record.tasks, strict=False):
            task.phase, task.run, task.failures = stored.phase, stored.run, stored.failures
            task.worker, task.born = stored.worker, stored.born
            task.checkpoint, task.failed_on = stored.checkpoint, stored.failed_on
            task.waiting_since = now

    def rest_ms(self) -> int:
        """Return the longest estimated chain of work from this step on, in milliseconds."""
        return self.job.chain_ms(self.position)


@dataclass(eq=False)
class Job:
    """Hold one job; `version` is that of its state's row, `due_s` wall time of occurrences."""

    stored: StoredJob
    service: str
    state: JobState = JobState.QUEUED
    version: int = 0
    cancelled: bool = False
    cleaned: bool = False
    started: bool = False
    state_dirty: bool = False
    arrived: float = 0.0
    steps: dict[tuple[int, int], Step] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Lay out the steps of every occurrence."""
        order = self.stored.order
        for occurrence in range(max(1, order.schedule.count)):
            for position, step in enumerate(order.steps):
                self.steps[occurrence, position] = Step(self, occurrence, position, step)
        self._chains = _chains(order.steps)

    @property
    def id(self) -> str:
        """Return the identifier that the caller chose."""
        return self.stored.id

    @property
    def is_timed(self) -> bool:
        """Tell whether the steps run at set times."""
        return self.stored.order.schedule.count > 0

    def due_ms(self, occurrence: int) -> int:
        """Return when an occurrence is due, ms since 1970; 0 where the job has no times."""
        schedule = self.stored.order.schedule
        return schedule.first_ms + occurrence * schedule.interval_ms if self.is_timed else 0

    def chain_ms(self, position: int) -> int:
        """Return the longest estimated chain of work from a step on, in milliseconds."""
        return self._chains[position]

    @property
    def longest_ms(self) -> int:
        """Return the longest estimated chain of the whole job, in milliseconds."""
        return max(self._chains, default=0)

    def tasks(self) -> Iterator[Task]:
        """Iterate over all tasks."""
        return (task for step in self.steps.values() for task in step.tasks)

    def assigned(self) -> list[Task]:
        """Return the tasks that may be at work."""
        return [task for task in self.tasks() if task.phase is TaskPhase.ASSIGNED]

    def is_ready(self, step: Step, wall_ms: float) -> bool:
        """Tell whether a step's turn has come."""
        if self.due_ms(step.occurrence) > wall_ms:
            return False
        before = (self.steps[step.occurrence, position] for position in step.order.after)
        return all(one.is_done for one in before)

    def find(self, name: TaskName) -> Task | None:
        """Return the task of this name."""
        step = self.steps.get((name.occurrence, name.step))
        if step is None or not 0 <= name.index < len(step.tasks):
            return None
        return step.tasks[name.index]


def _chains(steps: tuple[StepOrder, ...]) -> list[int]:
    """Return for each step the longest estimated chain that starts with it."""
    rest = [step.estimate_ms for step in steps]
    for position in range(len(steps) - 1, -1, -1):
        followers = [rest[i] for i, step in enumerate(steps) if position in step.after]
        rest[position] = steps[position].estimate_ms + max(followers, default=0)
    return rest
