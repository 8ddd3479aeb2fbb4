"""Give each kind of record its typed specification, from either schema version."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

import msgspec

from gypsumplank.errors import Fault, RecordsError
from gypsumplank.protocol.record import NEWEST_SCHEMA, Kind, Record

DEFAULT_TIMEOUT_MS = 10_000
DEFAULT_SLOTS = 8
DEFAULT_CONNECTIONS = 64


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


Spec = PoolSpec | ServiceSpec | HostSpec

SPEC_TYPES: Mapping[Kind, type] = {
    Kind.POOL: PoolSpec,
    Kind.SERVICE: ServiceSpec,
    Kind.HOST: HostSpec,
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
    except KeyError as exc:
        fault = Fault("kind-unsupported", "kind", "kind is not served yet", record.key)
        raise RecordsError((fault,)) from exc
    except msgspec.ValidationError as exc:
        raise RecordsError((Fault("spec-malformed", "spec", str(exc), record.key),)) from exc
