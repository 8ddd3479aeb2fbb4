"""Compare the sizes of pools with the demand for them."""

from dataclasses import dataclass, field


@dataclass(frozen=True)
class PoolSize:
    """Store a pool's projected size, the machines its tasks ask for, and the minimum it keeps."""

    size: int
    asks: int
    keeps: int


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
