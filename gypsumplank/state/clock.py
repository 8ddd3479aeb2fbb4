"""Define a clock interface, with a system clock and a manual clock for tests."""

import time
from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True)
class ClockRange:
    """Bound the present reading of a remote clock, in ms; both bounds are 0 if it is unknown.

    A time that others wait for is written as the latest, and waited for by the earliest reading;
    so a response that was slow to arrive makes no wait too short.
    """

    earliest_ms: int = 0
    latest_ms: int = 0


def steady_s() -> float:
    """Return a monotonic time in seconds that goes on while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def suspended_s() -> float:
    """Return for how long this machine has been suspended since it booted, in seconds."""
    return steady_s() - time.clock_gettime(time.CLOCK_MONOTONIC)


class Clock(Protocol):
    """Provide monotonic and wall-clock time in seconds."""

    def monotonic(self) -> float:
        """Return monotonic time in seconds, comparable only within this process."""

    def wall(self) -> float:
        """Return seconds since the epoch."""


class SystemClock:
    """Read the clocks of the operating system."""

    def monotonic(self) -> float:
        """Return monotonic time in seconds, comparable only within this process."""
        return steady_s()

    def wall(self) -> float:
        """Return seconds since the epoch."""
        return time.time()


class ManualClock:
    """Provide a time that tests set."""

    def __init__(self, now: float = 0.0) -> None:
        self.now = now

    def monotonic(self) -> float:
        """Return the set time."""
        return self.now

    def wall(self) -> float:
        """Return the set time."""
        return self.now

    def advance(self, seconds: float) -> None:
        """Move the time forward."""
        self.now += seconds
