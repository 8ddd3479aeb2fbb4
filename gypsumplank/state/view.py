"""Hold the configuration in force as one immutable value."""

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
KINDS: Mapping[str, Kind] = {kind.value: kind for kind in Kind}

Specs = Mapping[Kind, Mapping[str, Any]]


def _no_specs() -> Specs:
    return {kind: {} for kind in SPEC_TYPES}


@dataclass(frozen=True)
class Placement:
    """Hold which hosts each pool has; a host without assignment is in the pool of its record."""

    hosts: Mapping[str, HostSpec] = field(default_factory=dict)
    assignments: Mapping[str, AssignmentSpec] = field(default_factory=dict)

    def assignment(self, host: str) -> AssignmentSpec:
        """Return what a known host does now."""
        return self.assignments.get(host) or AssignmentSpec(self.hosts[host].pool, epoch=0)

    @cached_property
    def members(self) -> dict[str, tuple[str, ...]]:
        """Return the hosts of each pool that has any, in any state."""
        return _group((self.assignment(name).pool, name) for name in self.hosts)

    @cached_property
    def serving(self) -> dict[str, tuple[str, ...]]:
        """Return the hosts of each pool that take new work."""
        held = ((self.assignment(name), name) for name in self.hosts)
        serving = AssignmentState.SERVING
        return _group((found.pool, name) for found, name in held if found.state is serving)


@dataclass(frozen=True)
class View:
    """Hold every record at one revision, typed; `unreadable` names those of unknown form."""

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
        """Return what a known host does now."""
        return self.placement.assignment(host)

    def hosts_of(self, pool: str) -> tuple[str, ...]:
        """Return the names of the pool's hosts, in any state."""
        return self.placement.members.get(pool, ())

    def serving_hosts(self, pool: str) -> tuple[str, ...]:
        """Return the names of the pool's hosts that take new work."""
        return self.placement.serving.get(pool, ())

    @cached_property
    def host_names(self) -> Mapping[str, str]:
        """Return the name of the host at each address."""
        return {spec.address: name for name, spec in self.hosts.items()}


def _group(pairs: Iterable[tuple[str, str]]) -> dict[str, tuple[str, ...]]:
    return {
        pool: tuple(name for _, name in group)
        for pool, group in groupby(sorted(pairs), itemgetter(0))
    }


def build_view(revision: int, records: Iterable[Record], last: View | None = None) -> View:
    """Return the view of these records; one that cannot be read keeps its last known form."""
    before = last or View()
    held = {record.key: record for record in records}
    changes: dict[str, Record | None] = dict.fromkeys(before.records.keys() - held.keys())
    changes.update(
        (key, record) for key, record in held.items() if before.records.get(key) is not record
    )
    return change_view(before, revision, changes)


def change_view(
    view: View,
    revision: int,
    changes: Mapping[str, Record | None],
    unread: Collection[str] = (),
) -> View:
    """Return a view with these records written and, where None, deleted.

    What the changes do not touch is shared with the view before. `unread` names records that
    are kept in the store but of a kind that this version does not know.
    """
    records = dict(view.records)
    specs: dict[Kind, dict[str, Any]] = {}
    unreadable = ({*view.unreadable} - changes.keys()) | {*unread}
    for key, record in changes.items():
        kind, name = _split_key(key)
        if kind is None:
            continue
        held = specs.setdefault(kind, dict(view.specs[kind]))
        if record is None:
            records.pop(key, None)
            held.pop(name, None)
            continue
        records[key] = record
        try:
            held[name] = decode_spec(record)
        except RecordsError:
            unreadable.add(key)
    placement = view.placement
    after = {**view.specs, **specs}
    if Kind.HOST in specs or Kind.ASSIGNMENT in specs:
        placement = Placement(after[Kind.HOST], after[Kind.ASSIGNMENT])
    return View(revision, records, after, tuple(sorted(unreadable)), placement)


def _split_key(key: str) -> tuple[Kind | None, str]:
    """Return the kind, None where this version does not know it, and the name."""
    kind, _, name = key.partition("/")
    return KINDS.get(kind), name


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
