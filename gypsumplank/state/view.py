"""Hold the configuration in force as one immutable value."""

import threading
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from itertools import groupby
from types import MappingProxyType

from gypsumplank.errors import RecordsError, RevisionReversedError
from gypsumplank.protocol.record import Kind, Record
from gypsumplank.protocol.spec import SPEC_TYPES, HostSpec, PoolSpec, ServiceSpec, decode_spec

NO_REVISION = 0


@dataclass(frozen=True)
class View:
    """Hold every record at one revision, typed; `unreadable` names those left out."""

    revision: int = NO_REVISION
    records: Mapping[str, Record] = field(default_factory=dict)
    pools: Mapping[str, PoolSpec] = field(default_factory=dict)
    services: Mapping[str, ServiceSpec] = field(default_factory=dict)
    hosts: Mapping[str, HostSpec] = field(default_factory=dict)
    members: Mapping[str, tuple[str, ...]] = field(default_factory=dict)
    unreadable: tuple[str, ...] = ()

    def hosts_of(self, pool: str) -> tuple[str, ...]:
        """Return the names of the pool's hosts."""
        return self.members.get(pool, ())


def build_view(revision: int, records: Iterable[Record], last: View | None = None) -> View:
    """Return the view of these records; one that cannot be read keeps its last known form."""
    held = {record.key: record for record in records}
    specs: dict[Kind, dict[str, object]] = {kind: {} for kind in SPEC_TYPES}
    unreadable = []
    for record in held.values():
        try:
            specs[record.kind][record.name] = decode_spec(record)
        except RecordsError:
            unreadable.append(record.key)
            _keep_last(specs, record, last)
    hosts = {str(name): spec for name, spec in specs[Kind.HOST].items()}
    return View(
        revision,
        MappingProxyType(held),
        MappingProxyType(specs[Kind.POOL]),  # type: ignore[arg-type]
        MappingProxyType(specs[Kind.SERVICE]),  # type: ignore[arg-type]
        MappingProxyType(hosts),  # type: ignore[arg-type]
        MappingProxyType(_members(hosts)),  # type: ignore[arg-type]
        tuple(sorted(unreadable)),
    )


def _keep_last(specs: dict[Kind, dict[str, object]], record: Record, last: View | None) -> None:
    known = last.records.get(record.key) if last else None
    if last is None or known is None:
        return
    typed: Mapping[Kind, Mapping[str, object]] = {
        Kind.POOL: last.pools,
        Kind.SERVICE: last.services,
        Kind.HOST: last.hosts,
    }
    spec = typed.get(record.kind, {}).get(record.name)
    if spec is not None:
        specs[record.kind][record.name] = spec


def _members(hosts: Mapping[str, HostSpec]) -> dict[str, tuple[str, ...]]:
    by_pool = sorted((spec.pool, name) for name, spec in hosts.items())
    return {
        pool: tuple(name for _, name in group) for pool, group in groupby(by_pool, lambda p: p[0])
    }


class ViewHolder:
    """Hold the view in force; its revision only rises."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._listeners: list[Callable[[View], None]] = []
        self.current = View()

    def listen(self, listener: Callable[[View], None]) -> None:
        """Call the listener with every view that comes into force."""
        self._listeners.append(listener)

    def advance(self, view: View) -> None:
        """Put a view in force; raise RevisionReversedError where it is older."""
        with self._lock:
            if view.revision < self.current.revision:
                detail = f"revision {view.revision} is older than {self.current.revision}"
                raise RevisionReversedError(detail)
            self.current = view
            for listener in self._listeners:
                listener(view)
