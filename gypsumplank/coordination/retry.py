"""Decide whether and when a failed request is tried again."""

import random
import threading
from collections.abc import Callable
from dataclasses import dataclass

BUDGET_SHARE = 0.2
BUDGET_RESERVE = 10.0
FIRST_DELAY_S = 0.01
LONGEST_DELAY_S = 0.25
MAX_TRIES = 3


class RetryBudget:
    """Let retries be at most a share of first tries, for each service by itself."""

    def __init__(self, share: float = BUDGET_SHARE, reserve: float = BUDGET_RESERVE) -> None:
        self._share = share
        self._reserve = reserve
        self._lock = threading.Lock()
        self._left: dict[str, float] = {}

    def deposit(self, service: str) -> None:
        """Count one first try."""
        with self._lock:
            left = self._left.get(service, self._reserve)
            self._left[service] = min(self._reserve, left + self._share)

    def withdraw(self, service: str) -> bool:
        """Take one retry; return False where none is left."""
        with self._lock:
            left = self._left.get(service, self._reserve)
            if left < 1.0:
                return False
            self._left[service] = left - 1.0
            return True


@dataclass(frozen=True)
class RetryPolicy:
    """Bound the tries of one request and the time between them."""

    budget: RetryBudget
    rng: random.Random
    pause: Callable[[float], None]
    max_tries: int = MAX_TRIES
    first_delay_s: float = FIRST_DELAY_S
    longest_delay_s: float = LONGEST_DELAY_S

    def allows(self, service: str, tries: int, left_s: float) -> bool:
        """Wait before the next try; return False where there must be none."""
        if tries >= self.max_tries:
            return False
        delay = self.delay_s(tries)
        if delay >= left_s or not self.budget.withdraw(service):
            return False
        self.pause(delay)
        return True

    def delay_s(self, tries: int) -> float:
        """Return a random time up to a bound that doubles with every try (full jitter)."""
        bound = min(self.longest_delay_s, self.first_delay_s * 2 ** (tries - 1))
        return self.rng.uniform(0.0, bound)
