"""Define jobs, whose steps of tasks a queue's workers run, and their stored state."""

from dataclasses import dataclass, field
from enum import StrEnum

import msgspec

from gypsumplank.protocol.decoder import Count

# Limits of one job; MAX_JOB_TASKS counts those of all occurrences.
MAX_JOB_STEPS = 1000
MAX_JOB_TASKS = 100_000


class JobState(StrEnum):
    """List the states of a job as reported to callers."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


FINAL_JOB_STATES = frozenset({JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED})


class Resources(msgspec.Struct, frozen=True, gc=False):
    """Represent resources: CPU in thousandths of a core, memory in MB and accelerators.

    It is a struct as the scheduler creates very many; it is encoded like a frozen data class.
    """

    cpu: Count = 0
    memory_mb: Count = 0
    accelerators: Count = 0

    def __add__(self, other: "Resources") -> "Resources":
        return Resources(
            self.cpu + other.cpu,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: "Resources") -> "Resources":
        return Resources(
            self.cpu - other.cpu,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def scaled(self, count: int) -> "Resources":
        """Return the resources multiplied by a count."""
        return Resources(self.cpu * count, self.memory_mb * count, self.accelerators * count)

    def divided(self, divisor: int) -> "Resources":
        """Return the resources divided by a number, rounded down."""
        return Resources(
            self.cpu // divisor, self.memory_mb // divisor, self.accelerators // divisor
        )

    def at_least(self, other: "Resources") -> "Resources":
        """Return the larger amount of each resource."""
        return Resources(
            self.cpu if self.cpu > other.cpu else other.cpu,
            self.memory_mb if self.memory_mb > other.memory_mb else other.memory_mb,
            self.accelerators if self.accelerators > other.accelerators else other.accelerators,
        )

    def at_most(self, other: "Resources") -> "Resources":
        """Return the smaller amount of each resource."""
        return Resources(
            self.cpu if self.cpu < other.cpu else other.cpu,
            self.memory_mb if self.memory_mb < other.memory_mb else other.memory_mb,
            self.accelerators if self.accelerators < other.accelerators else other.accelerators,
        )

    def can_fit(self, other: "Resources") -> bool:
        """Return whether the other amount fits into this one."""
        return (
            other.cpu <= self.cpu
            and other.memory_mb <= self.memory_mb
            and other.accelerators <= self.accelerators
        )


@dataclass(frozen=True)
class StepDefinition:
    """Describe one step; `after` lists earlier steps by position, durations are in ms.

    `lasting` marks long-running tasks, of which `may_miss` may be unavailable at once; `fills`
    marks best-effort tasks.
    """

    tasks: Count = 1
    need: Resources = Resources()
    estimate_ms: Count = 0
    after: tuple[Count, ...] = ()
    checkpoints: bool = False
    gang: bool = False
    same_rack: bool = False
    label: str = ""
    preferred_rack: str = ""
    max_per_worker: Count = 0
    speculative: bool = False
    lasting: bool = False
    image: str = ""
    tail_target_ms: Count = 0
    fills: bool = False
    may_miss: Count = 0


@dataclass(frozen=True)
class Schedule:
    """Describe when a job's steps run: `count` times, the first at `first_ms` since 1970."""

    count: Count = 0
    first_ms: Count = 0
    interval_ms: Count = 0


@dataclass(frozen=True)
class JobDefinition:
    """Represent a job as submitted; `spec` is passed to the workers without being parsed."""

    spec: str
    steps: tuple[StepDefinition, ...]
    schedule: Schedule = Schedule()

    def find_fault(self) -> str | None:
        """Return why the job cannot be run, or None."""
        if not 1 <= len(self.steps) <= MAX_JOB_STEPS:
            return f"needs 1 to {MAX_JOB_STEPS} steps"
        tasks = sum(max(1, step.tasks) for step in self.steps)
        if tasks * max(1, self.schedule.count) > MAX_JOB_TASKS:
            return f"has more than {MAX_JOB_TASKS} tasks over all occurrences"
        return next(
            (
                f"step {position} has an invalid dependency"
                for position, step in enumerate(self.steps)
                if any(not 0 <= index < position for index in step.after)
            ),
            None,
        )


@dataclass(frozen=True)
class StoredJob:
    """Represent an accepted job; `accepted_ms` is wall-clock time since 1970.

    `account` is empty for a job that belongs to no client account.
    """

    id: str
    queue: str
    service: str
    accepted_ms: Count
    order: JobDefinition
    account: str = ""


class TaskPhase(StrEnum):
    """List the phases of a task."""

    WAITING = "w"
    ASSIGNED = "a"
    DONE = "d"
    FAILED = "f"


FINAL_TASK_PHASES = frozenset({TaskPhase.DONE, TaskPhase.FAILED})


@dataclass(frozen=True)
class LostWorker:
    """Identify a worker instance that fell silent under a run, and its machine.

    `at_start` tells whether the run had just started.
    """

    worker: str
    born: Count
    machine: str = ""
    at_start: bool = False


@dataclass(frozen=True)
class TaskRecord:
    """Represent the stored state of one task.

    `run` numbers the starts from 1; `worker` and `born` identify the worker instance of the run,
    `machine` is where that runs. `crashes` counts the workers that crashed under the task,
    `crashes_at_start` those that did so right after its start, and `lost_on` lists those that fell
    silent and may have crashed. Rows of earlier versions lack these four.
    """

    phase: TaskPhase = TaskPhase.WAITING
    run: Count = 0
    failures: Count = 0
    worker: str = ""
    born: Count = 0
    checkpoint: str = ""
    failed_on: tuple[str, ...] = ()
    machine: str = ""
    crashes: Count = 0
    crashes_at_start: Count = 0
    lost_on: tuple[LostWorker, ...] = ()


@dataclass(frozen=True)
class StepRecord:
    """Represent the stored state of one occurrence of a step."""

    tasks: tuple[TaskRecord, ...] = field(default=())
