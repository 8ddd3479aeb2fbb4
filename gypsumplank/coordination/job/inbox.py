"""Queue calls for the scheduler's thread, and hand out a bounded number of them between two rounds.

Answers bursts of reports and results of hundreds of workers, which held up rounds.
"""

import queue
from collections import deque
from collections.abc import Callable, Iterator

from gypsumplank.state.clock import Clock

# Calls that run between two rounds at most; about the reports of the largest fleet.
MAX_CALLS_PER_ROUND = 400

Call = Callable[[], None]


class Inbox:
    """Keep calls from other threads in their order, and when each was queued."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._calls: queue.SimpleQueue[Call] = queue.SimpleQueue()
        self._queued_at: deque[float] = deque()

    def put(self, call: Call) -> None:
        """Queue a call."""
        self._queued_at.append(self._clock.monotonic())
        self._calls.put(call)

    def read_until(self) -> float:
        """Return the monotonic time up to which all queued calls were handed out.

        What came later is not known yet, so that nothing follows from its absence.
        """
        now = self._clock.monotonic()
        return self._queued_at[0] if self._queued_at else now

    def take(self, wait_s: float) -> Iterator[Call]:
        """Yield the queued calls, up to the limit; wait for the first one for this long.

        Calls that are queued meanwhile wait, so that a busy inbox holds up no round.
        """
        try:
            yield self._next(wait_s)
            for _ in range(min(self._calls.qsize(), MAX_CALLS_PER_ROUND - 1)):
                yield self._next(0.0)
        except queue.Empty:
            return

    def _next(self, wait_s: float) -> Call:
        call = self._calls.get(timeout=wait_s)
        self._queued_at.popleft()
        return call
