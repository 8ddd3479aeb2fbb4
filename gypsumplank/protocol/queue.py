"""Define the manifest of queues and services that jobs are run under."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

MS = 1000.0


@dataclass(frozen=True)
class AdvicePolicy:
    """Tell that an outside service decides which workers may run a queue's steps; in ms."""

    decide_ms: int = 0
    period_ms: int = 0
    valid_ms: int = 0


@dataclass(frozen=True)
class Queue:
    """Describe one queue; priority 0 comes first, `stretch` multiplies a job's longest chain."""

    name: str
    host: str
    prefix: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    objective_ms: int = 0
    advice: AdvicePolicy | None = None


@dataclass(frozen=True)
class ServicePolicy:
    """Describe one service; machines in a `standby` service are off."""

    name: str
    guards_room: bool = True
    standby: bool = False


@dataclass(frozen=True)
class Manifest:
    """Hold one version of the queues and services."""

    version: int
    queues: tuple[Queue, ...] = ()
    services: Mapping[str, ServicePolicy] = field(default_factory=dict)

    def find(self, host: str, path: str) -> Queue | None:
        """Return the queue of this host whose prefix is the longest that starts the path."""
        fitting = (q for q in self.queues if q.host == host and path.startswith(q.prefix))
        return max(fitting, key=lambda queue: len(queue.prefix), default=None)

    def named(self, name: str) -> Queue | None:
        """Return the queue of this name."""
        return next((queue for queue in self.queues if queue.name == name), None)


@dataclass(frozen=True)
class UpkeepWave:
    """Ask that each machine has its upkeep within `duration_s`, at most `cap` at once."""

    number: int
    machines: tuple[str, ...]
    duration_s: float
    cap: int


@dataclass(frozen=True)
class OrderNote:
    """Hold when a machine was last ordered about, ms of the store's clock, and for which wave."""

    at_ms: int
    wave: int = 0


class MachineState(StrEnum):
    """Tell what a machine does."""

    UP = "up"
    MOVING = "moving"
    UPKEEP = "upkeep"
    DOWN = "down"


@dataclass(frozen=True)
class Machine:
    """Hold one machine as the platform lists it; `worker` is its worker's present id."""

    name: str
    pool: str
    state: MachineState
    zone: str
    worker: str
    labels: tuple[str, ...] = ()
