"""Limit retries of failed requests and space them with a backoff."""

import random
import threading
from collections.abc import Callable
from dataclasses import dataclass

from gypsumplank.state.retry import RetryBudget, backoff_s

# Retries allowed per first attempt.
RETRY_BUDGET_RATIO = 0.2
# Retries allowed in a burst, beyond that ratio.
RETRY_BUDGET_BURST = 10.0
# Upper bound of the backoff before a retry.
MAX_DELAY_S = 0.25
MAX_ATTEMPTS = 3


class ServiceRetryBudgets:
    """Limit retries to a ratio of first attempts, separately for each service."""

    def __init__(
        self, ratio: float = RETRY_BUDGET_RATIO, burst: float = RETRY_BUDGET_BURST
    ) -> None:
        self._ratio = ratio
        self._burst = burst
        self._lock = threading.Lock()
        self._budgets: dict[str, RetryBudget] = {}

    def deposit(self, service: str) -> None:
        """Count one first attempt."""
        self._budget(service).deposit()

    def try_withdraw(self, service: str) -> bool:
        """Use one retry of the budget; return False if it is exhausted."""
        return self._budget(service).try_withdraw()

    def _budget(self, service: str) -> RetryBudget:
        with self._lock:
            if service not in self._budgets:
                self._budgets[service] = RetryBudget(self._burst, self._ratio)
            return self._budgets[service]


@dataclass(frozen=True)
class RetryPolicy:
    """Limit the attempts of one request and the delay between them."""

    budgets: ServiceRetryBudgets
    rng: random.Random
    sleep: Callable[[float], None]
    max_attempts: int = MAX_ATTEMPTS
    max_delay_s: float = MAX_DELAY_S

    def wait_for_retry(self, service: str, attempts: int, remaining_s: float) -> bool:
        """Sleep before a retry; return False without sleeping if no retry is allowed."""
        if attempts >= self.max_attempts:
            return False
        delay = self.random_delay_s(attempts)
        if delay >= remaining_s or not self.budgets.try_withdraw(service):
            return False
        self.sleep(delay)
        return True

    def random_delay_s(self, attempts: int) -> float:
        """Return an exponential backoff in seconds, with full jitter."""
        return backoff_s(attempts - 1, self.rng, self.max_delay_s)
