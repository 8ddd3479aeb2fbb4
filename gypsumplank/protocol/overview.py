"""Define the overview of pools, queues and waves that one daemon reports."""

from collections.abc import Mapping
from dataclasses import dataclass, field

PATH_OVERVIEW = "/v1/overview"


@dataclass(frozen=True)
class PoolOverview:
    """Report one pool: its hosts by state, its availability budget and this daemon's requests."""

    name: str
    hosts: int
    serving: int
    draining: int
    out: int
    promised: int
    in_flight: int

    @property
    def meets_budget(self) -> bool:
        """Return whether the availability budget is met."""
        return self.serving >= self.promised


@dataclass(frozen=True)
class WaveOverview:
    """Report one wave: the hosts that it covers, by state."""

    name: str
    hosts: int
    draining: int
    out: int


@dataclass(frozen=True)
class Overview:
    """Report the fleet as one daemon sees it, and the daemon's own queues by service."""

    daemon: str
    revision: int
    pools: tuple[PoolOverview, ...]
    waves: tuple[WaveOverview, ...]
    waiting: Mapping[str, int] = field(default_factory=dict)
