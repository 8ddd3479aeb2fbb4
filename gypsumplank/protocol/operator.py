"""Define the messages between operators and a daemon."""

from dataclasses import dataclass, field

from gypsumplank.protocol.record import Record

PATH_RECORDS = "/v1/records"
PATH_CHANGES = "/v1/changes"
PATH_VALIDATE = "/v1/validate"
PATH_HISTORY = "/v1/history"
PATH_ROLLBACK = "/v1/rollback"
PATH_ROLLOUT = "/v1/rollout"
PATH_BURN = "/v1/burn"
PATH_STATUS = "/v1/status"
PATH_HEALTH = "/healthz"
PATH_READY = "/readyz"
PATH_METRICS = "/metrics"


@dataclass(frozen=True)
class ChangeRequest:
    """Represent a change as an operator sends it."""

    operation: str
    puts: tuple[Record, ...] = ()
    deletes: tuple[str, ...] = ()
    if_revision: int | None = None


@dataclass(frozen=True)
class RollbackRequest:
    """Request a new revision with the records of an older one."""

    operation: str
    revision: int
    if_revision: int | None = None


@dataclass(frozen=True)
class ChangeReceipt:
    """Report the revision at which a change was accepted."""

    revision: int


@dataclass(frozen=True)
class RecordList:
    """Represent records and the revision at which they were read."""

    revision: int
    records: tuple[Record, ...]


@dataclass(frozen=True)
class HistoryEntry:
    """Report one committed change; `accepted_at` is in seconds since the epoch."""

    revision: int
    actor: str
    accepted_at: float
    operation: str
    puts: tuple[str, ...]
    deletes: tuple[str, ...]


@dataclass(frozen=True)
class RolloutStatus:
    """Report which live daemons have a revision in force and which do not."""

    revision: int
    in_force: tuple[str, ...]
    behind: tuple[str, ...]


@dataclass(frozen=True)
class DaemonStatus:
    """Report the session of one daemon and its addresses for callers and operators."""

    id: str
    zone: str
    epoch: int
    revision: int
    callers: str
    operators: str


@dataclass(frozen=True)
class PoolStatus:
    """Report the hosts and requests of one pool."""

    name: str
    hosts: int
    in_flight: int


@dataclass(frozen=True)
class Status:
    """Report the fleet as one daemon sees it."""

    id: str
    ready: bool
    revision: int
    daemons: tuple[DaemonStatus, ...] = ()
    pools: tuple[PoolStatus, ...] = ()
    unreadable: tuple[str, ...] = field(default_factory=tuple)
