"""Stop calls to a failing service and probe it with one call at a time (circuit breaker)."""

import random
import threading

from gypsumplank.errors import StateUnavailableError
from gypsumplank.state.clock import Clock

FAILURES_TO_OPEN = 5
OPEN_MIN_S = 0.5
OPEN_MAX_S = 1.5


class CircuitBreaker:
    """Open after consecutive failures; half-open after a delay, for one probe at a time."""

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        self._clock = clock
        self._rng = rng
        self._lock = threading.Lock()
        self._failures = 0
        self._open_until = 0.0
        self._probe_in_flight = False

    @property
    def is_open(self) -> bool:
        """Return whether calls are refused, except for a probe."""
        return self._failures >= FAILURES_TO_OPEN

    def admit(self) -> None:
        """Admit a call; raise StateUnavailableError if it is refused."""
        with self._lock:
            if not self.is_open:
                return
            if self._probe_in_flight or self._clock.monotonic() < self._open_until:
                raise StateUnavailableError(
                    "the circuit breaker is open after consecutive failures"
                )
            self._probe_in_flight = True

    def record_success(self) -> None:
        """Record that the platform processed a call."""
        with self._lock:
            self._failures = 0
            self._probe_in_flight = False

    def record_failure(self) -> None:
        """Record that the platform refused a call or its response was lost."""
        with self._lock:
            self._failures += 1
            self._probe_in_flight = False
            if self.is_open:
                open_s = self._rng.uniform(OPEN_MIN_S, OPEN_MAX_S)
                self._open_until = self._clock.monotonic() + open_s
