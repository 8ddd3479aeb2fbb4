"""Define operators' requests for hosts and waves, and the reports on them."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from gypsumplank.protocol.spec import DEFAULT_GRACE_S

PATH_HOST = "/v1/fleet/host"
PATH_WAVE = "/v1/fleet/wave"
PATH_POOLS = "/v1/fleet/pools"
PATH_WAVES = "/v1/fleet/waves"
PATH_PLAN = "/v1/fleet/plan"


class HostAction(StrEnum):
    """List the actions that operators can request for a host."""

    DRAIN = "drain"
    UNDRAIN = "undrain"
    MOVE = "move"


class WaveAction(StrEnum):
    """List the actions that operators can request for a wave."""

    START = "start"
    PAUSE = "pause"
    RESUME = "resume"
    ABORT = "abort"


@dataclass(frozen=True)
class HostRequest:
    """Request a change of one host's state; `operation` makes retries idempotent."""

    operation: str
    action: HostAction
    host: str
    target_pool: str = ""
    grace_s: float = DEFAULT_GRACE_S
    override: bool = False


@dataclass(frozen=True)
class WaveRequest:
    """Request a change of a wave's run."""

    action: WaveAction
    wave: str


@dataclass(frozen=True)
class HostReport:
    """Report one host that is out of service; `out_s` is for how long."""

    host: str
    pool: str
    zone: str
    state: str
    reason: str
    run: str = ""
    target_pool: str = ""
    override: bool = False
    out_s: float = 0.0
    wait: str = ""


@dataclass(frozen=True)
class PoolReport:
    """Report a pool's state against its availability budget and the holder of its lease.

    `floor` is how many hosts must be in service, `room` how many more may go out of service.
    """

    pool: str
    hosts: int
    in_service: int
    floor: int
    room: int
    holder: str
    flooded: bool
    out: tuple[HostReport, ...] = ()
    suspects: tuple[str, ...] = ()


@dataclass(frozen=True)
class WaveReport:
    """Report the progress of a wave; `waits` gives, by pool, why its next host waits.

    `left_s` is the estimated time until its end, in seconds.
    """

    wave: str
    run: str
    state: str
    total: int
    done: int
    out: tuple[str, ...]
    next: tuple[str, ...]
    left_s: float
    actor: str = ""
    reason: str = ""
    override: bool = False
    waits: Mapping[str, str] = field(default_factory=dict)
    order: tuple[str, ...] = ()


@dataclass(frozen=True)
class PoolPlan:
    """Report how many hosts a pool needs for its demand, failures and maintenance."""

    pool: str
    hosts: int
    demand_slots: float
    for_demand: int
    for_failures: int
    for_maintenance: int
    floor: int
    need: int

    @property
    def surplus(self) -> int:
        """Return the number of hosts beyond the need, negative if hosts are missing."""
        return self.hosts - self.need


@dataclass(frozen=True)
class PlannedMove:
    """Propose to move a host to another pool, which has lacked hosts for `held_s` seconds."""

    host: str
    source: str
    target: str
    reason: str
    held_s: float = 0.0


@dataclass(frozen=True)
class Plan:
    """Report what the planner would do, with notes on why it does nothing."""

    pools: tuple[PoolPlan, ...] = ()
    moves: tuple[PlannedMove, ...] = ()
    notes: tuple[str, ...] = ()
    acting: bool = False
