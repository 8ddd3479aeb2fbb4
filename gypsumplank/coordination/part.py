"""Hold this daemon's part of the slots that all daemons share."""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

from gypsumplank.coordination.ejection import Ejector
from gypsumplank.coordination.share import DemandTable, split_slots
from gypsumplank.coordination.slot import Hosts
from gypsumplank.errors import InvariantError
from gypsumplank.protocol.spec import AssignmentState, HostSpec
from gypsumplank.state.clock import Clock
from gypsumplank.state.view import View

LEAVING_BOUND_S = 2.0
MIN_SLOTS = 1


@dataclass(frozen=True)
class Bounds:
    """Hold this daemon's slots, and its most requests in flight, at each usable host."""

    parts: Mapping[str, int]
    caps: Mapping[str, int]


@dataclass(frozen=True)
class Memo:
    """Keep the bounds that were worked out on the same grounds."""

    view: View
    grounds: tuple[Any, ...]
    bounds: dict[tuple[str, ...], Bounds] = field(default_factory=dict)


@dataclass(frozen=True)
class Split:
    """Hold what the slots were last split by."""

    view: View
    weights: Mapping[str, Mapping[str, int]]


class Parts:
    """Split slots by demand, and pass over hosts that leave or fail."""

    def __init__(
        self,
        daemon: str,
        view: Callable[[], View],
        demands: DemandTable,
        ejector: Ejector,
        leaving: Callable[[], frozenset[str]],
        clock: Clock,
        max_daemons: int,
    ) -> None:
        self._daemon = daemon
        self._view = view
        self._demands = demands
        self._ejector = ejector
        self._leaving = leaving
        self._clock = clock
        self._max_daemons = max_daemons
        self._parts: dict[str, int] = {}
        self._prospects: dict[str, int] = {}
        self._rounds = 0
        self._memo = Memo(View(), ())
        self._split = Split(View(), {})
        self._unsplit: frozenset[str] = frozenset()
        self._marked: dict[str, float] = {}

    def tick(self) -> None:
        """Tell this daemon's demand and split the slots anew."""
        self._demands.tick()
        view = self._view()
        weights = {pool: self._demands.weights(pool) for pool in view.pools}
        if view is not self._split.view or weights != self._split.weights:
            self._split = Split(view, weights)
            self._divide(view, weights)
        self._mark()
        self._rounds += 1

    def _divide(self, view: View, demanded: Mapping[str, Mapping[str, int]]) -> None:
        """Split the slots of every pool by the weights of the daemons."""
        parts: dict[str, int] = {}
        prospects: dict[str, int] = {}
        for pool in view.pools:
            slots = {name: view.hosts[name].slots for name in view.serving_hosts(pool)}
            weights = demanded[pool]
            parts |= dict.fromkeys(slots, 0) | split_slots(weights, slots, self._daemon)
            prospects[pool] = sum(slots.values()) // len(weights)
        if self._parts:
            for name in parts.keys() - self._parts.keys():
                self._ejector.arrive(name)
        self._parts, self._prospects = parts, prospects
        self._unsplit = frozenset(view.hosts) - frozenset(parts)

    def capacity(self, view: View, pool: str) -> int:
        """Return the slots of a pool that this daemon may use now."""
        names = view.serving_hosts(pool)
        found = sum(self.parts(view.hosts, names).values())
        return found or min(MIN_SLOTS, sum(self.caps(view.hosts, names).values()))

    def prospect(self, view: View, pool: str) -> int:
        """Return the slots of a pool that this daemon may count on soon."""
        return max(self.capacity(view, pool), self._prospects.get(pool, 0))

    def parts(self, hosts: Hosts, names: Sequence[str]) -> Mapping[str, int]:
        """Return this daemon's slots at each host that may get new work."""
        return self._bounds(hosts, names).parts

    def caps(self, hosts: Hosts, names: Sequence[str]) -> Mapping[str, int]:
        """Return the most requests in flight at each host that may get new work."""
        return self._bounds(hosts, names).caps

    def failure_rate(self, name: str) -> float:
        """Return the share of a host's recent answers that were failures."""
        return self._ejector.failure_rate(name)

    def check(self, name: str) -> None:
        """Raise InvariantError where a host has long been known to leave."""
        marked = self._marked.get(name)
        if marked is not None and self._clock.monotonic() - marked > LEAVING_BOUND_S:
            raise InvariantError(f"{name} is leaving and would get new work")

    def _bounds(self, hosts: Hosts, names: Sequence[str]) -> Bounds:
        """Return what holds for these hosts, worked out anew when its grounds change."""
        view = self._view()
        self._ejector.keep_budget(view)
        grounds = (view.revision, self._leaving(), self._ejector.version, self._rounds)
        if grounds != self._memo.grounds or view is not self._memo.view:
            self._memo = Memo(view, grounds)
        key = tuple(names)
        found = self._memo.bounds.get(key)
        if found is None:
            found = self._memo.bounds[key] = self._work_out(view, hosts, key)
        return found

    def _work_out(self, view: View, hosts: Hosts, names: Sequence[str]) -> Bounds:
        """Return the bounds of the hosts that serve now, whatever view the names are from."""
        daemons = max(self._max_daemons, len(self._demands.daemons()))
        excluded = self._leaving() | self._marked.keys()
        caps = {
            name: _cap(hosts[name], daemons)
            for name in names
            if name not in excluded and _is_serving(view, name)
        }
        parts = {name: min(cap, self._parts.get(name, MIN_SLOTS)) for name, cap in caps.items()}
        limit = self._ejector.limit
        return Bounds(
            {name: limit(name, part) for name, part in parts.items()},
            {name: limit(name, cap) for name, cap in caps.items()},
        )

    def _mark(self) -> None:
        now = self._clock.monotonic()
        gone = self._unsplit | self._leaving()
        self._marked = {name: self._marked.get(name, now) for name in gone}


def _is_serving(view: View, name: str) -> bool:
    return name in view.hosts and view.assignment(name).state is AssignmentState.SERVING


def _cap(spec: HostSpec, daemons: int) -> int:
    """Return one daemon's connections to a host, so that those of all stay within its limit."""
    return min(spec.slots, spec.connections // daemons)
