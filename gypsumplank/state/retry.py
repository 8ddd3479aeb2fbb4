"""Space retries out and bound how many there are."""

import random
import threading

BACKOFF_MIN_S = 0.01
BACKOFF_MAX_S = 0.5
BUDGET_TOKENS = 10.0
BUDGET_SHARE = 0.1
MAX_DOUBLINGS = 16


def backoff_s(failures: int, rng: random.Random, longest_s: float = BACKOFF_MAX_S) -> float:
    """Return how long to wait after so many failures, in seconds, with full jitter."""
    doubled = BACKOFF_MIN_S * 2.0 ** min(failures, MAX_DOUBLINGS)
    return rng.uniform(0.0, min(longest_s, doubled))


class RetryBudget:
    """Allow a few retries at once, and in the long run a share of all calls."""

    def __init__(self, tokens: float = BUDGET_TOKENS, share: float = BUDGET_SHARE) -> None:
        self._most = tokens
        self._tokens = tokens
        self._share = share
        self._lock = threading.Lock()

    def earn(self) -> None:
        """Count a call."""
        with self._lock:
            self._tokens = min(self._most, self._tokens + self._share)

    def spend(self) -> bool:
        """Take one retry, if there is one left."""
        with self._lock:
            if self._tokens < 1.0:
                return False
            self._tokens -= 1.0
            return True
