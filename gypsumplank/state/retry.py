"""Delay retries with exponential backoff and limit their number."""

import random
import threading

BACKOFF_BASE_S = 0.01
BACKOFF_MAX_S = 0.5
MAX_BUDGET_TOKENS = 10.0
BUDGET_TOKENS_PER_CALL = 0.1
MAX_DOUBLINGS = 16


def backoff_s(failures: int, rng: random.Random, max_s: float = BACKOFF_MAX_S) -> float:
    """Return the delay in seconds after so many failures: exponential, with full jitter."""
    exponential_s = BACKOFF_BASE_S * 2.0 ** min(failures, MAX_DOUBLINGS)
    return rng.uniform(0.0, min(max_s, exponential_s))


class RetryBudget:
    """Limit retries to a burst of `tokens`, and over time to `share` of all calls."""

    def __init__(
        self, tokens: float = MAX_BUDGET_TOKENS, share: float = BUDGET_TOKENS_PER_CALL
    ) -> None:
        self._max_tokens = tokens
        self._tokens = tokens
        self._share = share
        self._lock = threading.Lock()

    def deposit(self) -> None:
        """Add the share of a token that a call earns."""
        with self._lock:
            self._tokens = min(self._max_tokens, self._tokens + self._share)

    def try_withdraw(self) -> bool:
        """Take a token for one retry; return False if none is left."""
        with self._lock:
            if self._tokens < 1.0:
                return False
            self._tokens -= 1.0
            return True
