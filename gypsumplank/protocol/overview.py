"""Define what one daemon tells of pools, queues and waves at a glance."""

from collections.abc import Mapping
from dataclasses import dataclass, field

PATH_OVERVIEW = "/v1/overview"


@dataclass(frozen=True)
class PoolOverview:
    """Tell of one pool: its hosts by state, the hosts promised, and this daemon's requests."""

    name: str
    hosts: int
    serving: int
    draining: int
    out: int
    promised: int
    in_flight: int

    @property
    def holds(self) -> bool:
        """Tell whether as many hosts serve as are promised."""
        return self.serving >= self.promised


@dataclass(frozen=True)
class WaveOverview:
    """Tell of one wave: the hosts that it names, by state."""

    name: str
    hosts: int
    draining: int
    out: int


@dataclass(frozen=True)
class Overview:
    """Tell of the fleet by one daemon's view, and of its own queues by service."""

    daemon: str
    revision: int
    pools: tuple[PoolOverview, ...]
    waves: tuple[WaveOverview, ...]
    waiting: Mapping[str, int] = field(default_factory=dict)
