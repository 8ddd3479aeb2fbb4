"""Count the requests in flight at each host and choose where the next one goes."""

import random
import threading
from collections import Counter
from collections.abc import Mapping, Sequence
from typing import Protocol

from gypsumplank.errors import InvariantError
from gypsumplank.protocol.spec import HostSpec

ZONE_MARGIN = 0.25

Hosts = Mapping[str, HostSpec]


class SlotRule(Protocol):
    """Bound what this daemon may use of each host."""

    def parts(self, hosts: Hosts, names: Sequence[str]) -> Mapping[str, int]:
        """Return this daemon's slots at each host that may get new work."""

    def caps(self, hosts: Hosts, names: Sequence[str]) -> Mapping[str, int]:
        """Return the most requests in flight at each host that may get new work."""

    def failure_rate(self, name: str) -> float:
        """Return the share of a host's recent answers that were failures."""

    def check(self, name: str) -> None:
        """Raise InvariantError where a host must not get new work."""


class WholeSlots:
    """Let a single daemon use every slot of every host."""

    def parts(self, hosts: Hosts, names: Sequence[str]) -> Mapping[str, int]:
        """Return all slots of each host."""
        return {name: hosts[name].slots for name in names}

    def caps(self, hosts: Hosts, names: Sequence[str]) -> Mapping[str, int]:
        """Return all slots of each host."""
        return self.parts(hosts, names)

    def failure_rate(self, name: str) -> float:
        """Return 0, as nothing is judged."""
        return 0.0

    def check(self, name: str) -> None:
        """Let every host get new work."""


class Slots:
    """Hold the slots that this daemon uses at each host."""

    def __init__(self, rng: random.Random, zone: str = "", rule: SlotRule | None = None) -> None:
        self._rng = rng
        self._zone = zone
        self._rule = rule or WholeSlots()
        self._lock = threading.Lock()
        self._in_flight: Counter[str] = Counter()

    def acquire(self, hosts: Hosts, names: Sequence[str]) -> str | None:
        """Take a slot at the less loaded of two hosts; None where all are full."""
        parts = self._rule.parts(hosts, names)
        with self._lock:
            free = [name for name, part in parts.items() if self._in_flight[name] < part]
            if not free:
                caps = self._rule.caps(hosts, names)
                free = [name for name, cap in caps.items() if self._in_flight[name] < cap]
            if not free:
                return None
            name = self._choose(hosts, free, parts)
            self._rule.check(name)
            self._in_flight[name] += 1
            return name

    def release(self, name: str) -> None:
        """Give a slot back; raise InvariantError where none was taken."""
        with self._lock:
            if self._in_flight[name] <= 0:
                raise InvariantError(f"{name} gives back more slots than were taken")
            self._in_flight[name] -= 1

    def in_flight(self) -> dict[str, int]:
        """Return the requests in flight at each host that has any."""
        with self._lock:
            return {name: count for name, count in self._in_flight.items() if count}

    def _choose(self, hosts: Hosts, free: Sequence[str], parts: Mapping[str, int]) -> str:
        """Return the better of a host in this zone, if there is one, and any other."""

        def load(name: str) -> float:
            failing = self._rule.failure_rate(name) * hosts[name].slots
            away = ZONE_MARGIN if hosts[name].zone != self._zone else 0.0
            return (self._in_flight[name] + failing) / max(1, parts.get(name, 1)) + away

        local = [name for name in free if hosts[name].zone == self._zone]
        first = self._rng.choice(local or free)
        others = [name for name in free if name != first]
        return min(first, self._rng.choice(others), key=load) if others else first
