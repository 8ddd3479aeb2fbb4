"""Tell the time, and let tests set it."""

import time
from typing import Protocol


class Clock(Protocol):
    """Tell monotonic and wall time in seconds."""

    def monotonic(self) -> float:
        """Return seconds that only rise within this process."""

    def wall(self) -> float:
        """Return seconds since the epoch."""


class SystemClock:
    """Tell the machine's time."""

    def monotonic(self) -> float:
        """Return seconds that only rise within this process."""
        return time.monotonic()

    def wall(self) -> float:
        """Return seconds since the epoch."""
        return time.time()


class ManualClock:
    """Tell the time that a test has set."""

    def __init__(self, now: float = 0.0) -> None:
        self.now = now

    def monotonic(self) -> float:
        """Return the set time."""
        return self.now

    def wall(self) -> float:
        """Return the set time."""
        return self.now

    def advance(self, seconds: float) -> None:
        """Let this many seconds pass."""
        self.now += seconds
