"""Compare the sizes of pools with the demand for them."""

from collections.abc import Sequence
from dataclasses import dataclass, field

from gypsumplank.coordination.job.demand import ServiceDemand
from gypsumplank.coordination.job.instance import UNREACHABLE_AFTER_MISSED_POLLS, WorkerInstance
from gypsumplank.protocol.job import Resources
from gypsumplank.protocol.worker import WorkerState

# Time for which pools go without machines for late work after a service lacked machines for work
# that can still be in time, seconds; keeps planned moves from being cancelled and planned in turn.
CONTENTION_HOLD_S = 1.5

# The active workers of each pool, and all workers, keyed by machine.
PoolMembers = dict[str, list[WorkerInstance]]
MachineWorkers = dict[str, WorkerInstance]


@dataclass(frozen=True)
class PoolSize:
    """Store a pool's projected size, the machines its tasks ask for, and the minimum it keeps."""

    size: int
    asks: int
    keeps: int


@dataclass(frozen=True)
class PendingMove:
    """Store a move in progress: its target pool, start, and the machine's previous instance.

    `since` is in monotonic seconds; `instance_id` is empty if the machine had no worker.
    """

    pool: str
    since: float
    instance_id: str


@dataclass(frozen=True)
class Balance:
    """Store machine counts by pool for one planning round.

    `unmet` is what open tasks demand beyond the pool's size, `shortfall` what the pool lacks for
    that demand or its minimum size. `surplus` is what it can give up for good, and `lendable` what
    it can lend while it is idle. Counts may be negative.
    """

    unmet: dict[str, int] = field(default_factory=dict)
    shortfall: dict[str, int] = field(default_factory=dict)
    surplus: dict[str, int] = field(default_factory=dict)
    lendable: dict[str, int] = field(default_factory=dict)

    def add_pool(
        self,
        pool: str,
        count: int,
        demand: ServiceDemand,
        minimum: int,
        firm_only: bool,
        now: float,
    ) -> None:
        """Add a pool of `count` machines; with `firm_only`, late work asks for no machines."""
        current = demand.firm if firm_only else demand.current
        peak = demand.firm_peak if firm_only else demand.peak
        self.unmet[pool] = current - count
        self.shortfall[pool] = max(minimum, current) - count
        self.surplus[pool] = count - max(minimum, peak)
        self.lendable[pool] = 0 if demand.is_busy(now) else count - demand.idle_size

    def adjust(self, pool: str, count: int) -> None:
        """Add machines to a pool, or remove some if the count is below 0."""
        self.unmet[pool] -= count
        self.shortfall[pool] -= count
        self.surplus[pool] += count
        self.lendable[pool] += count

    def donors(self, recipient: str) -> list[str]:
        """Return the pools that can give a machine, those with the largest surplus first."""
        others = [pool for pool in self.surplus if pool != recipient]
        surplus = [pool for pool in others if self.surplus[pool] > 0]
        surplus.sort(key=lambda pool: -self.surplus[pool])
        lenders = [pool for pool in others if self.lendable[pool] > 0 and self.unmet[recipient] > 0]
        lenders.sort(key=lambda pool: -self.lendable[pool])
        return surplus + lenders


class Contention:
    """Remember that services lacked machines for work that can still be in time."""

    def __init__(self) -> None:
        self._until = 0.0

    def update(self, is_lacking: bool, now: float) -> bool:
        """Return whether machines are lacking, or were within CONTENTION_HOLD_S."""
        if is_lacking:
            self._until = now + CONTENTION_HOLD_S
        return now < self._until


def smallest_capacity(capacities: Sequence[Resources]) -> Resources:
    """Return the smallest capacity, for each resource."""
    return Resources(
        min(capacity.cpu for capacity in capacities),
        min(capacity.memory_mb for capacity in capacities),
        min(capacity.accelerators for capacity in capacities),
    )


def active_members(service: str, instances: dict[str, WorkerInstance]) -> list[WorkerInstance]:
    """Return the active workers of a service."""
    return [
        instance
        for instance in instances.values()
        if instance.entry.service == service and is_active(instance)
    ]


def is_active(instance: WorkerInstance) -> bool:
    """Return whether a worker counts for the size of its pool."""
    return (
        instance.registered
        and not instance.detached
        and instance.missed_polls < UNREACHABLE_AFTER_MISSED_POLLS
        and instance.entry.state is WorkerState.READY
    )
