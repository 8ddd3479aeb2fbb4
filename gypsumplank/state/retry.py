"""Space retries out so that those who failed together do not return together."""

import random

BACKOFF_MIN_S = 0.01
BACKOFF_MAX_S = 0.5


def backoff_s(failures: int, rng: random.Random, longest_s: float = BACKOFF_MAX_S) -> float:
    """Return how long to wait after so many failures, in seconds, with full jitter."""
    return rng.uniform(0.0, min(longest_s, BACKOFF_MIN_S * 2.0 ** min(failures, 16)))
