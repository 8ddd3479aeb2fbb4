"""Give each kind of record its typed specification, from either schema version."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

import msgspec

from gypsumplank.errors import Fault, RecordsError
from gypsumplank.protocol.record import NEWEST_SCHEMA, Kind, Record

DEFAULT_TIMEOUT_MS = 10_000
DEFAULT_SLOTS = 8
DEFAULT_CONNECTIONS = 64
DEFAULT_GRACE_S = 60.0


@dataclass(frozen=True)
class Budget:
    """Promise hosts in service: a count and a share of the pool, the larger holds."""

    min_in_service: int = 0
    min_share: float = 0.0
    max_out_per_zone: int | None = None
    max_out_per_rack: int | None = None


@dataclass(frozen=True)
class PoolSpec:
    """Describe a group of hosts and the capacity promised for it."""

    budget: Budget = field(default_factory=Budget)
    guarded: bool = True
    spare: bool = False


@dataclass(frozen=True)
class Objective:
    """Promise the share of requests finished on time over a window."""

    target: float = 0.99
    window_s: int = 3600


@dataclass(frozen=True)
class ServiceSpec:
    """Describe what a pool serves to callers."""

    pool: str
    timeout_ms: int = DEFAULT_TIMEOUT_MS
    idempotent: bool = False
    share: float = 0.0
    overflow: bool = False
    objective: Objective = field(default_factory=Objective)


@dataclass(frozen=True)
class HostSpec:
    """Describe a worker and the pool it starts in."""

    address: str
    pool: str
    zone: str
    rack: str
    slots: int = DEFAULT_SLOTS
    connections: int = DEFAULT_CONNECTIONS
    cores: int = 1
    memory_gb: int = 1
    accelerators: int = 0


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
    parallelism: int = 1
    grace_s: float = DEFAULT_GRACE_S
    maintenance_s: float = 60.0
    cross_domains: bool = False
    not_before: float = 0.0
    override: bool = False


@dataclass(frozen=True)
class TeamSpec:
    """Describe a team of callers: its share of a service's slots and its task quota."""

    share: float = 0.0
    cores: int = 0
    memory_gb: int = 0
    accelerators: int = 0


@dataclass(frozen=True)
class PolicySpec:
    """Weigh what a deployment cares for; weights are relative."""

    flood_protection: float = 1.0
    roll_out: float = 1.0
    buffer: float = 1.0
    moves: float = 1.0


SPEC_TYPES: Mapping[Kind, type] = {
    Kind.POOL: PoolSpec,
    Kind.SERVICE: ServiceSpec,
    Kind.HOST: HostSpec,
    Kind.WAVE: WaveSpec,
    Kind.TEAM: TeamSpec,
    Kind.POLICY: PolicySpec,
    Kind.ASSIGNMENT: AssignmentSpec,
}


def _pool_from_v1(spec: Mapping[str, Any]) -> dict[str, Any]:
    known = dict(spec)
    budget = {"min_in_service": known.pop("min_in_service", 0)}
    return {"budget": budget, **known}


def _unchanged(spec: Mapping[str, Any]) -> dict[str, Any]:
    return dict(spec)


UPGRADES: Mapping[Kind, Callable[[Mapping[str, Any]], dict[str, Any]]] = {
    Kind.POOL: _pool_from_v1,
}


def decode_spec(record: Record) -> Any:
    """Return the typed specification of a record; raise RecordsError."""
    if not 1 <= record.schema <= NEWEST_SCHEMA:
        detail = f"schema {record.schema} is not one of 1 to {NEWEST_SCHEMA}"
        raise RecordsError((Fault("schema-unknown", "schema", detail, record.key),))
    spec: Mapping[str, Any] = record.spec
    if record.schema == 1:
        spec = UPGRADES.get(record.kind, _unchanged)(spec)
    try:
        return msgspec.convert(spec, SPEC_TYPES[record.kind])
    except msgspec.ValidationError as exc:
        raise RecordsError((Fault("spec-malformed", "spec", str(exc), record.key),)) from exc
