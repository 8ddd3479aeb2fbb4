"""Define what workers report about themselves and the tasks that they run."""

from dataclasses import dataclass
from enum import StrEnum

from gypsumplank.protocol.job import Resources


class WorkerState(StrEnum):
    """List whether a worker accepts new tasks."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True)
class WorkerEntry:
    """Represent a worker's registration; `born` is its start time in ms since 1970.

    `clock_ms` is the worker's own monotonic clock, `remaining_ms` the minimum time until it
    leaves.
    """

    id: str
    service: str
    address: str
    zone: str
    state: WorkerState
    room: Resources
    labels: tuple[str, ...] = ()
    machine: str = ""
    born: int = 0
    clock_ms: int = 0
    remaining_ms: int = 0
    seq: int = 0


@dataclass(frozen=True)
class TaskName:
    """Identify one task of a job; occurrence, step and index count from 0."""

    job: str
    occurrence: int
    step: int
    index: int

    def __str__(self) -> str:
        return f"{self.job}.{self.occurrence}.{self.step}.{self.index}"


class EndKind(StrEnum):
    """List how a run can end."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lapsed"
    GANG_MEMBER_ENDED = "broken"
    GANG_TIMEOUT = "alone"


@dataclass(frozen=True)
class RunningTask:
    """Represent a run in progress.

    `load` is the tail latency in ms of a task that serves requests, else thousandths of a core.
    """

    name: str
    run: int
    checkpoint: str = ""
    percent: int = 0
    load: int = 0


@dataclass(frozen=True)
class EndedTask:
    """Represent the end of a run; `number` counts the ends of a worker instance from 1."""

    number: int
    name: str
    run: int
    kind: EndKind
    checkpoint: str = ""


@dataclass(frozen=True)
class WorkerReport:
    """Report all runs in progress at a worker, and the ends that it still stores.

    `ends_complete` is False if there may be further ends that the report does not list.
    """

    born: int
    clock_ms: int
    running: tuple[RunningTask, ...]
    ended: tuple[EndedTask, ...]
    ends_complete: bool = True


@dataclass(frozen=True)
class StartCommand:
    """Request that a worker run a task until `until_ms` on the worker's monotonic clock."""

    name: str
    run: int
    spec: str
    until_ms: int
    token: int
    checkpoint: str = ""
    permit: str = ""


class StartRefusal(StrEnum):
    """List why a worker did not start a task."""

    FENCED = "fence"
    OLD = "old"
    LATE = "late"
    NO_CAPACITY = "room"
    NO_PERMIT = "ticket"
    INVALID = "invalid"
    UNHEALTHY = "unhealthy"
    OTHER_INSTANCE = "other-life"
    UNREACHABLE = "unreached"
