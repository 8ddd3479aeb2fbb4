"""Hold this daemon's part of the slots that all daemons share."""

from collections.abc import Callable, Sequence

from gypsumplank.coordination.ejection import Ejector
from gypsumplank.coordination.share import DemandTable, split_slots
from gypsumplank.coordination.slot import Hosts
from gypsumplank.errors import InvariantError
from gypsumplank.protocol.spec import HostSpec
from gypsumplank.state.clock import Clock
from gypsumplank.state.view import View

LEAVING_BOUND_S = 2.0
MIN_SLOTS = 1


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
        self._seen = View()
        self._serving: frozenset[str] = frozenset()
        self._marked: dict[str, float] = {}

    def tick(self) -> None:
        """Tell this daemon's demand and split the slots anew."""
        self._demands.tick()
        view = self._view()
        parts: dict[str, int] = {}
        prospects: dict[str, int] = {}
        for pool in view.pools:
            slots = {name: view.hosts[name].slots for name in view.serving_hosts(pool)}
            weights = self._demands.weights(pool)
            parts |= dict.fromkeys(slots, 0) | split_slots(weights, slots, self._daemon)
            prospects[pool] = sum(slots.values()) // len(weights)
        if self._parts:
            for name in parts.keys() - self._parts.keys():
                self._ejector.arrive(name)
        self._parts, self._prospects = parts, prospects
        self._mark(view)

    def capacity(self, view: View, pool: str) -> int:
        """Return the slots of a pool that this daemon may use now."""
        names = view.serving_hosts(pool)
        found = sum(self.parts(view.hosts, names).values())
        return found or min(MIN_SLOTS, sum(self.caps(view.hosts, names).values()))

    def prospect(self, view: View, pool: str) -> int:
        """Return the slots of a pool that this daemon may count on soon."""
        return max(self.capacity(view, pool), self._prospects.get(pool, 0))

    def parts(self, hosts: Hosts, names: Sequence[str]) -> dict[str, int]:
        """Return this daemon's slots at each host that may get new work."""
        return {
            name: self._ejector.limit(name, min(cap, self._parts.get(name, MIN_SLOTS)))
            for name, cap in self._usable(hosts, names).items()
        }

    def caps(self, hosts: Hosts, names: Sequence[str]) -> dict[str, int]:
        """Return the most requests in flight at each host that may get new work."""
        return {
            name: self._ejector.limit(name, cap) for name, cap in self._usable(hosts, names).items()
        }

    def failure_rate(self, name: str) -> float:
        """Return the share of a host's recent answers that were failures."""
        return self._ejector.failure_rate(name)

    def check(self, name: str) -> None:
        """Raise InvariantError where a host has long been known to leave."""
        marked = self._marked.get(name)
        if marked is not None and self._clock.monotonic() - marked > LEAVING_BOUND_S:
            raise InvariantError(f"{name} is leaving and would get new work")

    def _usable(self, hosts: Hosts, names: Sequence[str]) -> dict[str, int]:
        """Return the cap of each host that serves now, whatever view the names are from."""
        view, leaving = self._view(), self._leaving()
        if view is not self._seen:
            self._serving = frozenset(
                name for pool in view.pools for name in view.serving_hosts(pool)
            )
            self._seen = view
        self._ejector.keep_budget(view)
        daemons = max(self._max_daemons, len(self._demands.daemons()))
        return {
            name: _cap(hosts[name], daemons)
            for name in names
            if name in self._serving and name not in leaving and name not in self._marked
        }

    def _mark(self, view: View) -> None:
        now = self._clock.monotonic()
        gone = frozenset(view.hosts) - frozenset(self._parts) | self._leaving()
        self._marked = {name: self._marked.get(name, now) for name in gone}


def _cap(spec: HostSpec, daemons: int) -> int:
    """Return one daemon's connections to a host, so that those of all stay within its limit."""
    return min(spec.slots, spec.connections // daemons)
