"""Count requests in flight at each host and select the host of the next request."""

import random
import threading
from collections import Counter
from collections.abc import Mapping, Sequence
from typing import Protocol

from gypsumplank.errors import InvariantError
from gypsumplank.protocol.spec import HostSpec

# Load added to hosts of other zones; a load of 1 means that all slots of a host are in use.
REMOTE_ZONE_PENALTY = 0.25

HostSpecs = Mapping[str, HostSpec]


class SlotLimits(Protocol):
    """Limit the slots that this daemon may use at each host."""

    def allotted_slots(self, hosts: HostSpecs, names: Sequence[str]) -> Mapping[str, int]:
        """Return this daemon's allotted slots at each host that may get new requests."""

    def max_in_flight(self, hosts: HostSpecs, names: Sequence[str]) -> Mapping[str, int]:
        """Return the maximum requests in flight at each host that may get new requests."""

    def failure_rate(self, name: str) -> float:
        """Return the recent failure rate of a host, 0 to 1."""

    def check_assignable(self, name: str) -> None:
        """Raise InvariantError if a host must not get new requests."""


class UnsharedSlots:
    """Allow a single daemon to use every slot of every host."""

    def allotted_slots(self, hosts: HostSpecs, names: Sequence[str]) -> Mapping[str, int]:
        """Return all slots of each host."""
        return {name: hosts[name].slots for name in names}

    def max_in_flight(self, hosts: HostSpecs, names: Sequence[str]) -> Mapping[str, int]:
        """Return all slots of each host."""
        return self.allotted_slots(hosts, names)

    def failure_rate(self, name: str) -> float:
        """Return 0: failures are not tracked."""
        return 0.0

    def check_assignable(self, name: str) -> None:
        """Accept every host."""


class SlotTracker:
    """Track the slots that this daemon uses at each host."""

    def __init__(self, rng: random.Random, zone: str = "", rule: SlotLimits | None = None) -> None:
        self._rng = rng
        self._zone = zone
        self._limits = rule or UnsharedSlots()
        self._lock = threading.Lock()
        self._in_flight: Counter[str] = Counter()

    def acquire(self, hosts: HostSpecs, names: Sequence[str]) -> str | None:
        """Acquire a slot at the less loaded of two random hosts; return None if all are full.

        If no host has a free allotted slot, a host may be used up to its maximum in flight.
        """
        allotted = self._limits.allotted_slots(hosts, names)
        with self._lock:
            free = [name for name, slots in allotted.items() if self._in_flight[name] < slots]
            if not free:
                max_in_flight = self._limits.max_in_flight(hosts, names)
                free = [
                    name for name, limit in max_in_flight.items() if self._in_flight[name] < limit
                ]
            if not free:
                return None
            name = self._choose_host(hosts, free, allotted)
            self._limits.check_assignable(name)
            self._in_flight[name] += 1
            return name

    def release(self, name: str) -> None:
        """Release a slot; raise InvariantError if none was acquired."""
        with self._lock:
            if self._in_flight[name] <= 0:
                raise InvariantError(f"{name} released a slot that was not acquired")
            self._in_flight[name] -= 1

    def in_flight(self) -> dict[str, int]:
        """Return the number of requests in flight at each host that has any."""
        with self._lock:
            return {name: count for name, count in self._in_flight.items() if count}

    def _choose_host(
        self, hosts: HostSpecs, free: Sequence[str], allotted: Mapping[str, int]
    ) -> str:
        """Return the less loaded of a random host, in this zone if possible, and another one."""

        def load(name: str) -> float:
            failure_penalty = self._limits.failure_rate(name) * hosts[name].slots
            zone_penalty = REMOTE_ZONE_PENALTY if hosts[name].zone != self._zone else 0.0
            return (self._in_flight[name] + failure_penalty) / max(
                1, allotted.get(name, 1)
            ) + zone_penalty

        local = [name for name in free if hosts[name].zone == self._zone]
        first = self._rng.choice(local or free)
        others = [name for name in free if name != first]
        return min(first, self._rng.choice(others), key=load) if others else first
