"""Define the typed specification of each record kind, decoded from either schema version."""

import math
from collections.abc import Iterator, Mapping
from dataclasses import MISSING, dataclass, field, fields
from enum import StrEnum
from typing import Annotated, Any, get_type_hints

import msgspec

from gypsumplank.errors import EntryInvalidError, Fault, RecordsError
from gypsumplank.protocol.decoder import Count, NonNegativeFloat, PositiveInt, convert
from gypsumplank.protocol.record import NEWEST_SCHEMA, Kind, Record
from gypsumplank.protocol.schema import upgrade

DEFAULT_TIMEOUT_MS = 10_000
DEFAULT_SLOTS = 8
DEFAULT_CONNECTIONS = 64
DEFAULT_GRACE_S = 60.0

Share = Annotated[float, msgspec.Meta(ge=0, le=1)]


@dataclass(frozen=True)
class Budget:
    """Define how many hosts must be in service: the larger of a count and a share of the pool."""

    min_in_service: Count = 0
    min_share: Share = 0.0
    max_out_per_zone: Count | None = None
    max_out_per_rack: Count | None = None

    def floor(self, hosts: int) -> int:
        """Return how many of a pool's hosts must be in service."""
        return max(self.min_in_service, math.ceil(self.min_share * hosts))


@dataclass(frozen=True)
class PoolSpec:
    """Describe a group of hosts and its availability budget."""

    budget: Budget = field(default_factory=Budget)
    guarded: bool = True
    spare: bool = False


@dataclass(frozen=True)
class Objective:
    """Define the share of requests to be finished on time over a window."""

    target: Share = 0.99
    window_s: PositiveInt = 3600


@dataclass(frozen=True)
class ServiceSpec:
    """Describe a service that a pool provides to callers."""

    pool: str
    timeout_ms: PositiveInt = DEFAULT_TIMEOUT_MS
    idempotent: bool = False
    share: Share = 0.0
    overflow: bool = False
    objective: Objective = field(default_factory=Objective)


@dataclass(frozen=True)
class HostSpec:
    """Describe a worker host and its initial pool."""

    address: str
    pool: str
    zone: str
    rack: str
    slots: PositiveInt = DEFAULT_SLOTS
    connections: PositiveInt = DEFAULT_CONNECTIONS
    cores: Count = 1
    memory_gb: Count = 1
    accelerators: Count = 0
    agent: str = ""

    @property
    def agent_address(self) -> str:
        """Return the address of the agent that runs tasks on this host."""
        return self.agent or self.address


class AssignmentState(StrEnum):
    """List the states of a host in its pool."""

    SERVING = "serving"
    DRAINING = "draining"
    OUT = "out"
    FAILED = "failed"


@dataclass(frozen=True)
class AssignmentSpec:
    """Represent the current pool and state of a host, written by the system only.

    `epoch` increases with every change; `since` is in wall-clock seconds since 1970. `run` is
    the wave run that has the host out of service, `maintained` the last run that finished with
    it. `override` allows the host to be out although the pool's budget forbids it.
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
    """Describe maintenance of pools' hosts, a few at a time within the availability budgets.

    `not_before` is in seconds since the epoch; without `cross_domains`, the hosts of a pool that
    are out at once share an availability zone; `override` ignores budgets and overload.
    """

    pools: tuple[str, ...] = ()
    hosts: tuple[str, ...] = ()
    parallelism: PositiveInt = 1
    grace_s: NonNegativeFloat = DEFAULT_GRACE_S
    maintenance_s: NonNegativeFloat = 60.0
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
    """Define the relative weights of a deployment's goals."""

    flood_protection: NonNegativeFloat = 1.0
    roll_out: NonNegativeFloat = 1.0
    buffer: NonNegativeFloat = 1.0
    moves: NonNegativeFloat = 1.0


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
    """Return the typed specification of a record; raise RecordsError listing every fault."""
    if not 1 <= record.schema <= NEWEST_SCHEMA:
        detail = f"schema {record.schema} is not one of 1 to {NEWEST_SCHEMA}"
        raise RecordsError((Fault("schema-unknown", "schema", detail, record.key),))
    spec = upgrade(record).spec
    try:
        return convert(spec, SPEC_TYPES[record.kind])
    except EntryInvalidError as exc:
        faults = tuple(_field_faults(record, spec))
        fallback = Fault("spec-malformed", "spec", str(exc), record.key)
        raise RecordsError(faults or (fallback,)) from exc


def unknown_fields(record: Record) -> tuple[str, ...]:
    """Return the names of fields that are stored but not known to this version."""
    if not 1 <= record.schema <= NEWEST_SCHEMA:
        return ()
    known_names = {spec.name for spec in fields(SPEC_TYPES[record.kind])}
    return tuple(sorted(set(upgrade(record).spec) - known_names))


def _field_faults(record: Record, spec: Mapping[str, Any]) -> Iterator[Fault]:
    spec_type = SPEC_TYPES[record.kind]
    types = get_type_hints(spec_type, include_extras=True)
    for spec_field in fields(spec_type):
        path = f"spec.{spec_field.name}"
        if spec_field.name not in spec:
            if spec_field.default is MISSING and spec_field.default_factory is MISSING:
                yield Fault("field-missing", path, "must be set", record.key)
            continue
        try:
            convert(spec[spec_field.name], types[spec_field.name])
        except EntryInvalidError as exc:
            detail, _, subpath = str(exc).partition(" - at `$")
            yield Fault("field-invalid", f"{path}{subpath.rstrip('`')}", detail, record.key)
