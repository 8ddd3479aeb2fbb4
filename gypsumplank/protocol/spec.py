"""Give each kind of record its typed specification, from either schema version."""

import math
from collections.abc import Iterator, Mapping
from dataclasses import MISSING, dataclass, field, fields
from enum import StrEnum
from typing import Annotated, Any, get_type_hints

import msgspec

from gypsumplank.errors import Fault, RecordsError
from gypsumplank.protocol.record import NEWEST_SCHEMA, Kind, Record
from gypsumplank.protocol.schema import upgrade

DEFAULT_TIMEOUT_MS = 10_000
DEFAULT_SLOTS = 8
DEFAULT_CONNECTIONS = 64
DEFAULT_GRACE_S = 60.0

Count = Annotated[int, msgspec.Meta(ge=0)]
AtLeastOne = Annotated[int, msgspec.Meta(ge=1)]
Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
Amount = Annotated[float, msgspec.Meta(ge=0)]


@dataclass(frozen=True)
class Budget:
    """Promise hosts in service: a count and a share of the pool, the larger holds."""

    min_in_service: Count = 0
    min_share: Share = 0.0
    max_out_per_zone: Count | None = None
    max_out_per_rack: Count | None = None

    def floor(self, hosts: int) -> int:
        """Return how many of a pool's hosts are promised to be in service."""
        return max(self.min_in_service, math.ceil(self.min_share * hosts))


@dataclass(frozen=True)
class PoolSpec:
    """Describe a group of hosts and the capacity promised for it."""

    budget: Budget = field(default_factory=Budget)
    guarded: bool = True
    spare: bool = False


@dataclass(frozen=True)
class Objective:
    """Promise the share of requests finished on time over a window."""

    target: Share = 0.99
    window_s: AtLeastOne = 3600


@dataclass(frozen=True)
class ServiceSpec:
    """Describe what a pool serves to callers."""

    pool: str
    timeout_ms: AtLeastOne = DEFAULT_TIMEOUT_MS
    idempotent: bool = False
    share: Share = 0.0
    overflow: bool = False
    objective: Objective = field(default_factory=Objective)


@dataclass(frozen=True)
class HostSpec:
    """Describe a worker and the pool it starts in."""

    address: str
    pool: str
    zone: str
    rack: str
    slots: AtLeastOne = DEFAULT_SLOTS
    connections: AtLeastOne = DEFAULT_CONNECTIONS
    cores: Count = 1
    memory_gb: Count = 1
    accelerators: Count = 0
    agent: str = ""

    @property
    def agent_address(self) -> str:
        """Return the address of the agent that runs tasks on this host."""
        return self.agent or self.address


class AssignmentState(StrEnum):
    """Tell what a host does for its pool."""

    SERVING = "serving"
    DRAINING = "draining"
    OUT = "out"
    FAILED = "failed"


@dataclass(frozen=True)
class AssignmentSpec:
    """Tell which one pool a host is in now, written by the system only.

    `epoch` rises with every change; `since` is in seconds since the epoch of the wall clock.
    `run` names the wave run that has the host out, `maintained` the last one that is done with
    it. `override` lets the host be out although the pool's budget forbids it.
    """

    pool: str
    state: AssignmentState = AssignmentState.SERVING
    reason: str = ""
    target_pool: str = ""
    epoch: int = 1
    since: float = 0.0
    grace_s: float = DEFAULT_GRACE_S
    run: str = ""
    maintained: str = ""
    override: bool = False


@dataclass(frozen=True)
class WaveSpec:
    """Describe maintenance of the hosts of pools, a few at a time within their budgets.

    `not_before` is in seconds since the epoch; without `cross_domains`, the hosts of a pool that
    are out at once share an availability zone; `override` disregards budgets and floods.
    """

    pools: tuple[str, ...] = ()
    hosts: tuple[str, ...] = ()
    parallelism: AtLeastOne = 1
    grace_s: Amount = DEFAULT_GRACE_S
    maintenance_s: Amount = 60.0
    cross_domains: bool = False
    not_before: float = 0.0
    override: bool = False


@dataclass(frozen=True)
class TeamSpec:
    """Describe a team of callers: its share of a service's slots and its task quota."""

    share: Share = 0.0
    cores: Count = 0
    memory_gb: Count = 0
    accelerators: Count = 0


@dataclass(frozen=True)
class PolicySpec:
    """Weigh what a deployment cares for; weights are relative."""

    flood_protection: Amount = 1.0
    roll_out: Amount = 1.0
    buffer: Amount = 1.0
    moves: Amount = 1.0


SPEC_TYPES: Mapping[Kind, type] = {
    Kind.POOL: PoolSpec,
    Kind.SERVICE: ServiceSpec,
    Kind.HOST: HostSpec,
    Kind.WAVE: WaveSpec,
    Kind.TEAM: TeamSpec,
    Kind.POLICY: PolicySpec,
    Kind.ASSIGNMENT: AssignmentSpec,
}


def decode_spec(record: Record) -> Any:
    """Return the typed specification of a record; raise RecordsError with every fault."""
    if not 1 <= record.schema <= NEWEST_SCHEMA:
        detail = f"schema {record.schema} is not one of 1 to {NEWEST_SCHEMA}"
        raise RecordsError((Fault("schema-unknown", "schema", detail, record.key),))
    spec = upgrade(record).spec
    try:
        return msgspec.convert(spec, SPEC_TYPES[record.kind])
    except msgspec.ValidationError as exc:
        faults = tuple(_field_faults(record, spec))
        whole = Fault("spec-malformed", "spec", str(exc), record.key)
        raise RecordsError(faults or (whole,)) from exc


def unknown_fields(record: Record) -> tuple[str, ...]:
    """Return the names of fields that are kept but not known to this version."""
    if not 1 <= record.schema <= NEWEST_SCHEMA:
        return ()
    known = {spec.name for spec in fields(SPEC_TYPES[record.kind])}
    return tuple(sorted(set(upgrade(record).spec) - known))


def _field_faults(record: Record, spec: Mapping[str, Any]) -> Iterator[Fault]:
    kind = SPEC_TYPES[record.kind]
    types = get_type_hints(kind, include_extras=True)
    for held in fields(kind):
        path = f"spec.{held.name}"
        if held.name not in spec:
            if held.default is MISSING and held.default_factory is MISSING:
                yield Fault("field-missing", path, "must be set", record.key)
            continue
        try:
            msgspec.convert(spec[held.name], types[held.name])
        except msgspec.ValidationError as exc:
            detail, _, place = str(exc).partition(" - at `$")
            yield Fault("field-invalid", f"{path}{place.rstrip('`')}", detail, record.key)
