"""Define long-running tasks, their rows and the messages to and from a worker's agent."""

from dataclasses import dataclass, field
from enum import StrEnum

from gypsumplank.protocol.decoder import Count, Finite, NonNegativeFloat
from gypsumplank.protocol.exchange import DEFAULT_URGENCY

MAX_URGENT_LEVEL = 1


class TaskState(StrEnum):
    """List the states of a task."""

    QUEUED = "queued"
    RUNNING = "running"
    FINISHED = "finished"
    CANCELLED = "cancelled"
    IMPOSSIBLE = "impossible"
    SET_ASIDE = "set-aside"


FINAL_STATES = frozenset(
    {TaskState.FINISHED, TaskState.CANCELLED, TaskState.IMPOSSIBLE, TaskState.SET_ASIDE}
)


class PreemptionMethod(StrEnum):
    """List how a task can free resources, from least to most disruptive."""

    THROTTLE = "throttle"
    CHECKPOINT = "checkpoint"
    STOP = "stop"


@dataclass(frozen=True)
class TaskResources:
    """Represent an amount of processor cores, memory in GB and accelerators."""

    cores: NonNegativeFloat = 1.0
    memory_gb: NonNegativeFloat = 1.0
    accelerators: Count = 0

    def __add__(self, other: "TaskResources") -> "TaskResources":
        return TaskResources(
            self.cores + other.cores,
            self.memory_gb + other.memory_gb,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: "TaskResources") -> "TaskResources":
        return self + other.scaled(-1, -1, -1)

    def scaled(self, cores: float, memory: float, accelerators: int = 1) -> "TaskResources":
        """Return the resources, each multiplied by its own factor."""
        return TaskResources(
            self.cores * cores, self.memory_gb * memory, self.accelerators * accelerators
        )

    def fits(self, room: "TaskResources") -> bool:
        """Return whether this amount fits into the given free resources."""
        return (
            self.cores <= room.cores
            and self.memory_gb <= room.memory_gb
            and self.accelerators <= room.accelerators
        )


NO_RESOURCES = TaskResources(0.0, 0.0, 0)


@dataclass(frozen=True)
class TaskDefinition:
    """Represent a task as a caller submits it."""

    service: str
    team: str = ""
    size: TaskResources = field(default_factory=TaskResources)
    run_s: NonNegativeFloat = 60.0
    urgency: Count = DEFAULT_URGENCY
    yields: tuple[PreemptionMethod, ...] = (
        PreemptionMethod.THROTTLE,
        PreemptionMethod.CHECKPOINT,
        PreemptionMethod.STOP,
    )
    payload: str = ""


@dataclass(frozen=True)
class Task:
    """Represent a task's row; `token` increases with every attempt and fences off older ones.

    Times are in seconds since the epoch.
    """

    id: str
    pool: str
    order: TaskDefinition
    submitted_at: Finite
    state: TaskState = TaskState.QUEUED
    token: Count = 0
    host: str = ""
    checkpoint: str = ""
    failed_on: tuple[str, ...] = ()
    reason: str = ""
    result: str = ""


class AgentState(StrEnum):
    """List the states of a task that a worker's agent reports."""

    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    CHECKPOINTED = "checkpointed"
    STOPPED = "stopped"


@dataclass(frozen=True)
class StartRequest:
    """Request that an agent run a task for `lease_s` seconds, or longer if the lease is renewed."""

    id: str
    token: int
    lease_s: float
    order: TaskDefinition
    checkpoint: str = ""


@dataclass(frozen=True)
class RenewalRequest:
    """Renew the leases of tasks, by id and token, and release the tasks in `settled`."""

    lease_s: float
    tokens: dict[str, int]
    settled: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True)
class AttemptReport:
    """Report one attempt on a worker; `usage` may be out of date."""

    id: str
    token: Count
    state: AgentState
    usage: TaskResources = NO_RESOURCES
    checkpoint: str = ""
    result: str = ""
    throttled: bool = False
