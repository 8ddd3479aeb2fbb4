"""Represent the configuration at one revision as an immutable value."""

import threading
from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass, field
from functools import cached_property
from itertools import groupby
from operator import itemgetter
from typing import Any

from gypsumplank.errors import RecordsError, RevisionReversedError
from gypsumplank.protocol.record import Kind, Record
from gypsumplank.protocol.spec import (
    SPEC_TYPES,
    AssignmentSpec,
    AssignmentState,
    HostSpec,
    PolicySpec,
    PoolSpec,
    ServiceSpec,
    TeamSpec,
    WaveSpec,
    decode_spec,
)

NO_REVISION = 0
KINDS_BY_NAME: Mapping[str, Kind] = {kind.value: kind for kind in Kind}

Specs = Mapping[Kind, Mapping[str, Any]]


def _no_specs() -> Specs:
    return {kind: {} for kind in SPEC_TYPES}


@dataclass(frozen=True)
class Placement:
    """Represent the hosts of each pool; a host without assignment is in the pool of its record."""

    hosts: Mapping[str, HostSpec] = field(default_factory=dict)
    assignments: Mapping[str, AssignmentSpec] = field(default_factory=dict)

    def assignment(self, host: str) -> AssignmentSpec:
        """Return the current assignment of a known host."""
        return self.assignments.get(host) or AssignmentSpec(self.hosts[host].pool, epoch=0)

    @cached_property
    def members(self) -> dict[str, tuple[str, ...]]:
        """Return the hosts of each non-empty pool, in any state."""
        return _group_by_pool((self.assignment(name).pool, name) for name in self.hosts)

    @cached_property
    def serving(self) -> dict[str, tuple[str, ...]]:
        """Return the hosts of each pool that accept new work."""
        assigned = ((self.assignment(name), name) for name in self.hosts)
        serving = AssignmentState.SERVING
        return _group_by_pool(
            (found.pool, name) for found, name in assigned if found.state is serving
        )


@dataclass(frozen=True)
class View:
    """Represent all records at one revision, decoded.

    `unreadable` lists the keys of records that this version cannot decode.
    """

    revision: int = NO_REVISION
    records: Mapping[str, Record] = field(default_factory=dict)
    specs: Specs = field(default_factory=_no_specs)
    unreadable: tuple[str, ...] = ()
    placement: Placement = field(default_factory=Placement)

    @property
    def pools(self) -> Mapping[str, PoolSpec]:
        """Return the pools by name."""
        return self.specs[Kind.POOL]

    @property
    def services(self) -> Mapping[str, ServiceSpec]:
        """Return the services by name."""
        return self.specs[Kind.SERVICE]

    @property
    def hosts(self) -> Mapping[str, HostSpec]:
        """Return the hosts by name."""
        return self.specs[Kind.HOST]

    @property
    def waves(self) -> Mapping[str, WaveSpec]:
        """Return the waves by name."""
        return self.specs[Kind.WAVE]

    @property
    def teams(self) -> Mapping[str, TeamSpec]:
        """Return the teams by name."""
        return self.specs[Kind.TEAM]

    @property
    def policies(self) -> Mapping[str, PolicySpec]:
        """Return the policies by name."""
        return self.specs[Kind.POLICY]

    @property
    def assignments(self) -> Mapping[str, AssignmentSpec]:
        """Return the assignments by host; a host without one serves the pool of its record."""
        return self.specs[Kind.ASSIGNMENT]

    def assignment(self, host: str) -> AssignmentSpec:
        """Return the current assignment of a known host."""
        return self.placement.assignment(host)

    def hosts_of(self, pool: str) -> tuple[str, ...]:
        """Return the names of the pool's hosts, in any state."""
        return self.placement.members.get(pool, ())

    def serving_hosts(self, pool: str) -> tuple[str, ...]:
        """Return the names of the pool's hosts that accept new work."""
        return self.placement.serving.get(pool, ())

    @cached_property
    def host_names(self) -> Mapping[str, str]:
        """Return the name of the host at each address."""
        return {spec.address: name for name, spec in self.hosts.items()}


def _group_by_pool(pairs: Iterable[tuple[str, str]]) -> dict[str, tuple[str, ...]]:
    return {
        pool: tuple(name for _, name in group)
        for pool, group in groupby(sorted(pairs), itemgetter(0))
    }


def build_view(revision: int, records: Iterable[Record], previous: View | None = None) -> View:
    """Return the view of these records; an unreadable one keeps its last readable spec."""
    before = previous or View()
    new = {record.key: record for record in records}
    changes: dict[str, Record | None] = dict.fromkeys(before.records.keys() - new.keys())
    changes.update(
        (key, record) for key, record in new.items() if before.records.get(key) is not record
    )
    return change_view(before, revision, changes)


def change_view(
    view: View,
    revision: int,
    changes: Mapping[str, Record | None],
    unread: Collection[str] = (),
) -> View:
    """Return a view with these records written or, if None, deleted.

    Unchanged parts are shared with the previous view. `unread` lists the keys of stored records
    whose kind this version does not know.
    """
    records = dict(view.records)
    specs: dict[Kind, dict[str, Any]] = {}
    unreadable = ({*view.unreadable} - changes.keys()) | {*unread}
    for key, record in changes.items():
        kind, name = _split_key(key)
        if kind is None:
            continue
        kind_specs = specs.setdefault(kind, dict(view.specs[kind]))
        if record is None:
            records.pop(key, None)
            kind_specs.pop(name, None)
            continue
        records[key] = record
        try:
            kind_specs[name] = decode_spec(record)
        except RecordsError:
            unreadable.add(key)
    placement = view.placement
    after = {**view.specs, **specs}
    if Kind.HOST in specs or Kind.ASSIGNMENT in specs:
        placement = Placement(after[Kind.HOST], after[Kind.ASSIGNMENT])
    return View(revision, records, after, tuple(sorted(unreadable)), placement)


def _split_key(key: str) -> tuple[Kind | None, str]:
    """Return the kind, or None if this version does not know it, and the name."""
    kind, _, name = key.partition("/")
    return KINDS_BY_NAME.get(kind), name


class CurrentView:
    """Store the view in force; its revision never decreases."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._listeners: list[Callable[[View], None]] = []
        self.view = View()

    def subscribe(self, listener: Callable[[View], None]) -> None:
        """Register a listener that is called with every view that comes into force."""
        self._listeners.append(listener)

    def replace(self, view: View) -> None:
        """Put a view in force; raise RevisionReversedError if it is older."""
        with self._lock:
            if view.revision < self.view.revision:
                detail = f"revision {view.revision} is older than {self.view.revision}"
                raise RevisionReversedError(detail)
            self.view = view
            for listener in self._listeners:
                listener(view)
