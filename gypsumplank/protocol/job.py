"""Define jobs: steps of tasks that a queue's workers run, and what is stored of them."""

from dataclasses import dataclass, field
from enum import StrEnum


class JobState(StrEnum):
    """Tell callers how far a job is."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


FINAL_JOB_STATES = frozenset({JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED})


@dataclass(frozen=True)
class Room:
    """Hold processors in thousandths of a core, memory in MB and a count of accelerators."""

    cpu: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def __add__(self, other: "Room") -> "Room":
        return Room(
            self.cpu + other.cpu,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: "Room") -> "Room":
        return Room(
            self.cpu - other.cpu,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def times(self, count: int) -> "Room":
        """Return this many times the room."""
        return Room(self.cpu * count, self.memory_mb * count, self.accelerators * count)

    def holds(self, other: "Room") -> bool:
        """Tell whether the other fits."""
        return (
            other.cpu <= self.cpu
            and other.memory_mb <= self.memory_mb
            and other.accelerators <= self.accelerators
        )


@dataclass(frozen=True)
class StepOrder:
    """Describe one step; `after` names earlier steps by position, durations are in ms."""

    tasks: int = 1
    need: Room = Room()
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    checkpoints: bool = False
    gang: bool = False
    same_rack: bool = False
    label: str = ""
    preferred_rack: str = ""
    max_per_worker: int = 0
    speculative: bool = False
    lasting: bool = False
    image: str = ""
    tail_target_ms: int = 0
    fills: bool = False
    may_miss: int = 0


@dataclass(frozen=True)
class Schedule:
    """Tell when a job's steps run: `count` times, the first at `first_ms` since 1970."""

    count: int = 0
    first_ms: int = 0
    interval_ms: int = 0


@dataclass(frozen=True)
class JobOrder:
    """Hold what a caller asked for; `spec` is passed to the workers unread."""

    spec: str
    steps: tuple[StepOrder, ...]
    schedule: Schedule = Schedule()


@dataclass(frozen=True)
class StoredJob:
    """Hold an accepted job; `accepted_ms` is wall time since 1970."""

    id: str
    queue: str
    service: str
    accepted_ms: int
    order: JobOrder


class TaskPhase(StrEnum):
    """Tell what is known of one task."""

    WAITING = "w"
    ASSIGNED = "a"
    DONE = "d"
    FAILED = "f"


@dataclass(frozen=True)
class TaskRecord:
    """Hold what is stored of one task.

    `run` numbers the starts from 1; `worker` and `born` name the worker life that has the run.
    """

    phase: TaskPhase = TaskPhase.WAITING
    run: int = 0
    failures: int = 0
    worker: str = ""
    born: int = 0
    checkpoint: str = ""
    failed_on: tuple[str, ...] = ()


@dataclass(frozen=True)
class StepRecord:
    """Hold what is stored of one occurrence of a step."""

    tasks: tuple[TaskRecord, ...] = field(default=())
