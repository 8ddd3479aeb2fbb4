"""Define the manifest of queues and services for jobs, and the machines that run them."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from gypsumplank.protocol.account import Account
from gypsumplank.protocol.decoder import Count

MS_PER_S = 1000.0


@dataclass(frozen=True)
class AdvicePolicy:
    """Let the placement advisor decide which workers may run a queue's steps; times in ms."""

    decide_ms: int = 0
    period_ms: int = 0
    valid_ms: int = 0


@dataclass(frozen=True)
class Queue:
    """Describe one queue; priority 0 comes first.

    A job should end within `stretch` times its critical path plus `objective_ms`. `max_attempts` is
    None if the manifest does not give it. Calls to a `public` queue need no key.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int = 0
    max_attempts: int | None = None
    stretch: float = 1.0
    objective_ms: int = 0
    advice: AdvicePolicy | None = None
    public: bool = False


@dataclass(frozen=True)
class ServicePolicy:
    """Describe one service; machines in a `standby` service are switched off."""

    name: str
    checks_capacity: bool = True
    standby: bool = False


@dataclass(frozen=True)
class Manifest:
    """Represent one version of the queues, services and client accounts.

    `accounts` is None if the manifest has no list of accounts; then no call needs a key.
    """

    version: int
    queues: tuple[Queue, ...] = ()
    services: Mapping[str, ServicePolicy] = field(default_factory=dict)
    accounts: tuple[Account, ...] | None = None

    def find(self, host: str, path: str) -> Queue | None:
        """Return the queue of this host with the longest prefix of the path, if any."""
        matching = (q for q in self.queues if q.host == host and path.startswith(q.prefix))
        return max(matching, key=lambda queue: len(queue.prefix), default=None)

    def find_account(self, name: str) -> Account | None:
        """Return the account of this name, if any."""
        return next((each for each in self.accounts or () if each.name == name), None)


@dataclass(frozen=True)
class MaintenanceWave:
    """Request maintenance of each machine within `duration_s`, of at most `cap` at once."""

    number: int
    machines: tuple[str, ...]
    duration_s: float
    cap: int


@dataclass(frozen=True)
class MachineOrderEntry:
    """Represent a machine's last order: its time in ms of the store's clock, and its wave.

    `maintained_wave` is the last wave for which the platform accepted the machine's maintenance.
    """

    at_ms: Count
    wave: Count = 0
    maintained_wave: Count = 0


class MachineState(StrEnum):
    """List the states of a machine."""

    UP = "up"
    MOVING = "moving"
    UPKEEP = "upkeep"
    DOWN = "down"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class Machine:
    """Represent a machine as the platform lists it; `worker` is its worker's current id."""

    name: str
    pool: str
    state: MachineState
    zone: str
    worker: str
    labels: tuple[str, ...] = ()
