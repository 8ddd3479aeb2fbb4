"""Decide whether and when a failed request is tried again."""

import random
import threading
from collections.abc import Callable
from dataclasses import dataclass

from gypsumplank.state.retry import RetryBudget, backoff_s

BUDGET_SHARE = 0.2
BUDGET_RESERVE = 10.0
LONGEST_DELAY_S = 0.25
MAX_TRIES = 3


class ServiceBudgets:
    """Let retries be at most a share of first tries, for each service by itself."""

    def __init__(self, share: float = BUDGET_SHARE, reserve: float = BUDGET_RESERVE) -> None:
        self._share = share
        self._reserve = reserve
        self._lock = threading.Lock()
        self._budgets: dict[str, RetryBudget] = {}

    def earn(self, service: str) -> None:
        """Count one first try."""
        self._budget(service).earn()

    def spend(self, service: str) -> bool:
        """Take one retry; return False where none is left."""
        return self._budget(service).spend()

    def _budget(self, service: str) -> RetryBudget:
        with self._lock:
            if service not in self._budgets:
                self._budgets[service] = RetryBudget(self._reserve, self._share)
            return self._budgets[service]


@dataclass(frozen=True)
class RetryPolicy:
    """Bound the tries of one request and the time between them."""

    budgets: ServiceBudgets
    rng: random.Random
    pause: Callable[[float], None]
    max_tries: int = MAX_TRIES
    longest_delay_s: float = LONGEST_DELAY_S

    def allows(self, service: str, tries: int, left_s: float) -> bool:
        """Wait before the next try; return False where there must be none."""
        if tries >= self.max_tries:
            return False
        delay = self.delay_s(tries)
        if delay >= left_s or not self.budgets.spend(service):
            return False
        self.pause(delay)
        return True

    def delay_s(self, tries: int) -> float:
        """Return a random time up to a bound that doubles with every try (full jitter)."""
        return backoff_s(tries - 1, self.rng, self.longest_delay_s)
