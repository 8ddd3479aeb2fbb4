"""Stop to call what keeps failing, and try it again with one call at a time."""

import random
import threading

from gypsumplank.errors import StateUnavailableError
from gypsumplank.state.clock import Clock

FAILURES_TO_OPEN = 5
OPEN_MIN_S = 0.5
OPEN_MAX_S = 1.5


class Breaker:
    """Open after failures in a row; half open after a while, for one probe at a time."""

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        self._clock = clock
        self._rng = rng
        self._lock = threading.Lock()
        self._failures = 0
        self._open_until = 0.0
        self._probing = False

    @property
    def open(self) -> bool:
        """Tell whether calls are refused, but for a probe."""
        return self._failures >= FAILURES_TO_OPEN

    def admit(self) -> None:
        """Let a call through or raise StateUnavailableError."""
        with self._lock:
            if not self.open:
                return
            if self._probing or self._clock.monotonic() < self._open_until:
                raise StateUnavailableError("too many failures in a row; waiting to try again")
            self._probing = True

    def succeeded(self) -> None:
        """Take note that the platform answered."""
        with self._lock:
            self._failures = 0
            self._probing = False

    def failed(self) -> None:
        """Take note that the platform did not answer."""
        with self._lock:
            self._failures += 1
            self._probing = False
            if self.open:
                wait_s = self._rng.uniform(OPEN_MIN_S, OPEN_MAX_S)
                self._open_until = self._clock.monotonic() + wait_s
