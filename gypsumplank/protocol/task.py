"""Define tasks that run long, their rows and what a worker's agent is told and tells."""

from dataclasses import dataclass, field
from enum import StrEnum

from gypsumplank.protocol.exchange import DEFAULT_URGENCY

URGENT = 1


class TaskState(StrEnum):
    """Tell how far a task is."""

    QUEUED = "queued"
    RUNNING = "running"
    FINISHED = "finished"
    CANCELLED = "cancelled"
    IMPOSSIBLE = "impossible"
    SET_ASIDE = "set-aside"


FINAL_STATES = frozenset(
    {TaskState.FINISHED, TaskState.CANCELLED, TaskState.IMPOSSIBLE, TaskState.SET_ASIDE}
)


class Yield(StrEnum):
    """Name how a task can make room, from the gentlest on."""

    THROTTLE = "throttle"
    CHECKPOINT = "checkpoint"
    STOP = "stop"


@dataclass(frozen=True)
class Size:
    """Hold an amount of processors, memory and accelerators."""

    cores: float = 1.0
    memory_gb: float = 1.0
    accelerators: int = 0

    def __add__(self, other: "Size") -> "Size":
        return Size(
            self.cores + other.cores,
            self.memory_gb + other.memory_gb,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: "Size") -> "Size":
        return self + other.scaled(-1, -1, -1)

    def scaled(self, cores: float, memory: float, accelerators: int = 1) -> "Size":
        """Return the size with each part multiplied."""
        return Size(self.cores * cores, self.memory_gb * memory, self.accelerators * accelerators)

    def fits(self, room: "Size") -> bool:
        """Tell whether this much fits into that room."""
        return (
            self.cores <= room.cores
            and self.memory_gb <= room.memory_gb
            and self.accelerators <= room.accelerators
        )


NO_SIZE = Size(0.0, 0.0, 0)


@dataclass(frozen=True)
class TaskOrder:
    """Hold a task as a caller submits it."""

    service: str
    team: str = ""
    size: Size = field(default_factory=Size)
    run_s: float = 60.0
    urgency: int = DEFAULT_URGENCY
    yields: tuple[Yield, ...] = (Yield.THROTTLE, Yield.CHECKPOINT, Yield.STOP)
    payload: str = ""


@dataclass(frozen=True)
class Task:
    """Hold a task's row; `token` rises with every attempt and fences older ones.

    Times are in seconds since the epoch.
    """

    id: str
    pool: str
    order: TaskOrder
    submitted_at: float
    state: TaskState = TaskState.QUEUED
    token: int = 0
    host: str = ""
    checkpoint: str = ""
    failed_on: tuple[str, ...] = ()
    reason: str = ""
    result: str = ""


class AgentState(StrEnum):
    """Tell what a worker's agent says of a task."""

    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    CHECKPOINTED = "checkpointed"
    STOPPED = "stopped"


@dataclass(frozen=True)
class Start:
    """Tell an agent to run a task until its lease ends, unless renewed."""

    id: str
    token: int
    lease_s: float
    order: TaskOrder
    checkpoint: str = ""


@dataclass(frozen=True)
class Renewal:
    """Renew the leases of the tasks, by id and token, and release those that are settled."""

    lease_s: float
    tokens: dict[str, int]
    settled: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True)
class Report:
    """Tell of one attempt at a worker; the usage lags."""

    id: str
    token: int
    state: AgentState
    usage: Size = NO_SIZE
    checkpoint: str = ""
    result: str = ""
    throttled: bool = False
