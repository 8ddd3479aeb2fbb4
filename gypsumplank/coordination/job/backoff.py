"""Space out calls to a store partition that throttles, for all requests of this daemon together.

Answers a store that is 45 to 88 times slower: each throttled request that retried on its own would
add load, and the partition would throttle the more.
"""

import random
import threading

# Spacing of the calls to a partition after its first throttled one, seconds; half the time that a
# transaction takes at 45 times the usual 6 ms.
FIRST_SPACING_S = 0.13
# Longest spacing, seconds; about the time that a transaction takes at 88 times the usual 6 ms.
MAX_SPACING_S = 0.5
# Spacing below which a partition counts as unthrottled, seconds.
MIN_SPACING_S = 0.02
# Factors by which the spacing grows with each throttled call and shrinks with each accepted one.
GROWTH = 2.0
DECAY = 0.5
# Share of the spacing that varies at random, so that daemons do not call at the same time.
JITTER_SHARE = 0.5


class PartitionBackoff:
    """Keep for each throttling partition when the next call may be sent; times are monotonic s.

    May be used by several threads. A partition that is not throttled takes no memory.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._lock = threading.Lock()
        self._spacing: dict[str, float] = {}
        self._next_at: dict[str, float] = {}

    def spacings(self) -> dict[str, float]:
        """Return the spacing of the calls to each throttling partition, in seconds."""
        with self._lock:
            return dict(self._spacing)

    def reserve(self, partition: str, now: float, deadline: float) -> float | None:
        """Return when to send a call, from `now` on; None if that is not before the deadline."""
        with self._lock:
            spacing_s = self._spacing.get(partition)
            if spacing_s is None:
                return now
            at = max(now, self._next_at[partition])
            if at >= deadline:
                return None
            self._next_at[partition] = at + self._vary(spacing_s)
            return at

    def record_throttled(self, partition: str, now: float) -> None:
        """Space the calls out further."""
        with self._lock:
            spacing_s = self._spacing.get(partition, FIRST_SPACING_S / GROWTH)
            spacing_s = min(GROWTH * spacing_s, MAX_SPACING_S)
            self._spacing[partition] = spacing_s
            next_at = now + self._vary(spacing_s)
            self._next_at[partition] = max(self._next_at.get(partition, 0.0), next_at)

    def record_accepted(self, partition: str) -> None:
        """Space the calls out less."""
        with self._lock:
            spacing_s = self._spacing.get(partition)
            if spacing_s is None:
                return
            if DECAY * spacing_s < MIN_SPACING_S:
                del self._spacing[partition], self._next_at[partition]
            else:
                self._spacing[partition] = DECAY * spacing_s

    def _vary(self, spacing_s: float) -> float:
        return spacing_s * (1 + JITTER_SHARE * (self._rng.random() - 0.5))
