"""Count the requests in flight at each host and choose where the next one goes."""

import random
import threading
from collections import Counter
from collections.abc import Mapping, Sequence

from gypsumplank.protocol.spec import HostSpec

CHOICES = 2


class Slots:
    """Hold the slots that this daemon uses at each host."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._lock = threading.Lock()
        self._in_flight: Counter[str] = Counter()

    def acquire(self, hosts: Mapping[str, HostSpec], names: Sequence[str]) -> str | None:
        """Take a slot at the less loaded of two hosts; None where all are full."""
        with self._lock:
            free = [name for name in names if self._in_flight[name] < hosts[name].slots]
            if not free:
                return None
            picks = self._rng.sample(free, min(CHOICES, len(free)))
            name = min(picks, key=lambda pick: self._in_flight[pick])
            self._in_flight[name] += 1
            return name

    def release(self, name: str) -> None:
        """Give a slot back."""
        with self._lock:
            self._in_flight[name] -= 1

    def in_flight(self) -> dict[str, int]:
        """Return the requests in flight at each host that has any."""
        with self._lock:
            return {name: count for name, count in self._in_flight.items() if count}
