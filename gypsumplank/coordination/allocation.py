"""Allocate this daemon's part of the request slots that all daemons share."""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

from gypsumplank.coordination.ejection import Ejector
from gypsumplank.coordination.share import DemandTable, split_slots
from gypsumplank.coordination.slot import HostSpecs
from gypsumplank.errors import InvariantError
from gypsumplank.protocol.spec import AssignmentState, HostSpec
from gypsumplank.state.clock import Clock
from gypsumplank.state.view import View

# Time for which a host that is leaving or not serving may still get a new request.
MAX_DISPATCH_AFTER_LEAVING_S = 2.0
# Slots of a pool whose split gives this daemon none, and of a host that the last split lacks.
MIN_SLOTS = 1


@dataclass(frozen=True)
class HostLimits:
    """Store this daemon's slots and maximum requests in flight, by usable host."""

    slots: Mapping[str, int]
    max_in_flight: Mapping[str, int]


@dataclass(frozen=True)
class LimitsCache:
    """Cache the limits that were computed from the same view and inputs."""

    view: View
    inputs: tuple[Any, ...]
    limits: dict[tuple[str, ...], HostLimits] = field(default_factory=dict)


@dataclass(frozen=True)
class SplitInputs:
    """Store the inputs of the last split of the slots."""

    view: View
    weights: Mapping[str, Mapping[str, int]]


class SlotAllocator:
    """Split slots by the daemons' demand, and exclude hosts that are leaving or ejected."""

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
        self._slots: dict[str, int] = {}
        self._equal_shares: dict[str, int] = {}
        self._tick_count = 0
        self._cache = LimitsCache(View(), ())
        self._last_split = SplitInputs(View(), {})
        self._not_serving: frozenset[str] = frozenset()
        self._excluded_since: dict[str, float] = {}

    def tick(self) -> None:
        """Announce this daemon's demand and split the slots again if their inputs changed."""
        self._demands.tick()
        view = self._view()
        weights = {pool: self._demands.weights(pool) for pool in view.pools}
        if view is not self._last_split.view or weights != self._last_split.weights:
            self._last_split = SplitInputs(view, weights)
            self._split_slots(view, weights)
        self._update_excluded()
        self._tick_count += 1

    def _split_slots(self, view: View, weights_by_pool: Mapping[str, Mapping[str, int]]) -> None:
        """Split the slots of every pool in proportion to the daemons' weights."""
        own_slots: dict[str, int] = {}
        equal_shares: dict[str, int] = {}
        for pool in view.pools:
            host_slots = {name: view.hosts[name].slots for name in view.serving_hosts(pool)}
            weights = weights_by_pool[pool]
            own_slots |= dict.fromkeys(host_slots, 0) | split_slots(
                weights, host_slots, self._daemon
            )
            equal_shares[pool] = sum(host_slots.values()) // len(weights)
        if self._slots:
            for name in own_slots.keys() - self._slots.keys():
                self._ejector.start_slowly(name)
        self._slots, self._equal_shares = own_slots, equal_shares
        self._not_serving = frozenset(view.hosts) - frozenset(own_slots)

    def capacity(self, view: View, pool: str) -> int:
        """Return the slots of a pool that this daemon may use now."""
        names = view.serving_hosts(pool)
        slots = sum(self.allotted_slots(view.hosts, names).values())
        return slots or min(MIN_SLOTS, sum(self.max_in_flight(view.hosts, names).values()))

    def expected_capacity(self, view: View, pool: str) -> int:
        """Return the slots of a pool that this daemon can expect soon, at least an equal share."""
        return max(self.capacity(view, pool), self._equal_shares.get(pool, 0))

    def allotted_slots(self, hosts: HostSpecs, names: Sequence[str]) -> Mapping[str, int]:
        """Return this daemon's slots at each host that may get new requests."""
        return self._limits(hosts, names).slots

    def max_in_flight(self, hosts: HostSpecs, names: Sequence[str]) -> Mapping[str, int]:
        """Return the maximum requests in flight at each host that may get new requests."""
        return self._limits(hosts, names).max_in_flight

    def failure_rate(self, name: str) -> float:
        """Return the recent failure rate of a host, 0 to 1."""
        return self._ejector.failure_rate(name)

    def check_assignable(self, name: str) -> None:
        """Raise InvariantError if a host was excluded over MAX_DISPATCH_AFTER_LEAVING_S ago."""
        excluded_at = self._excluded_since.get(name)
        if (
            excluded_at is not None
            and self._clock.monotonic() - excluded_at > MAX_DISPATCH_AFTER_LEAVING_S
        ):
            raise InvariantError(f"{name} is leaving but would get a new request")

    def _limits(self, hosts: HostSpecs, names: Sequence[str]) -> HostLimits:
        """Return the limits of these hosts, computed again when the inputs change."""
        view = self._view()
        self._ejector.enforce_budget(view)
        inputs = (view.revision, self._leaving(), self._ejector.version, self._tick_count)
        if inputs != self._cache.inputs or view is not self._cache.view:
            self._cache = LimitsCache(view, inputs)
        key = tuple(names)
        limits = self._cache.limits.get(key)
        if limits is None:
            limits = self._cache.limits[key] = self._compute_limits(view, hosts, key)
        return limits

    def _compute_limits(self, view: View, hosts: HostSpecs, names: Sequence[str]) -> HostLimits:
        """Return the limits of the hosts in service now, whichever view the names are from."""
        daemons = max(self._max_daemons, len(self._demands.daemons()))
        excluded = self._leaving() | self._excluded_since.keys()
        max_in_flight = {
            name: _connection_limit(hosts[name], daemons)
            for name in names
            if name not in excluded and _is_serving(view, name)
        }
        own_slots = {
            name: min(limit, self._slots.get(name, MIN_SLOTS))
            for name, limit in max_in_flight.items()
        }
        apply_ejection = self._ejector.limit
        return HostLimits(
            {name: apply_ejection(name, slots) for name, slots in own_slots.items()},
            {name: apply_ejection(name, limit) for name, limit in max_in_flight.items()},
        )

    def _update_excluded(self) -> None:
        now = self._clock.monotonic()
        excluded = self._not_serving | self._leaving()
        self._excluded_since = {name: self._excluded_since.get(name, now) for name in excluded}


def _is_serving(view: View, name: str) -> bool:
    return name in view.hosts and view.assignment(name).state is AssignmentState.SERVING


def _connection_limit(spec: HostSpec, daemons: int) -> int:
    """Return one daemon's maximum connections, so that all daemons stay within the host's limit."""
    return min(spec.slots, spec.connections // daemons)
