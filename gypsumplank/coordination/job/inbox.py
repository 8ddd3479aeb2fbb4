"""Queue calls for the scheduler's thread, and hand out a bounded number of them between two rounds.

Answers bursts of reports and results of hundreds of workers, which held up rounds.
"""

import queue
from collections.abc import Callable, Iterator

# Calls that run between two rounds at most; about the reports of the largest fleet.
MAX_CALLS_PER_ROUND = 400

Call = Callable[[], None]


class Inbox:
    """Keep calls from other threads in their order."""

    def __init__(self) -> None:
        self._calls: queue.SimpleQueue[Call] = queue.SimpleQueue()

    def put(self, call: Call) -> None:
        """Queue a call."""
        self._calls.put(call)

    def take(self, wait_s: float) -> Iterator[Call]:
        """Yield the queued calls, up to the limit; wait for the first one for this long.

        Calls that are queued meanwhile wait, so that a busy inbox holds up no round.
        """
        try:
            yield self._calls.get(timeout=wait_s)
            for _ in range(min(self._calls.qsize(), MAX_CALLS_PER_ROUND - 1)):
                yield self._calls.get_nowait()
        except queue.Empty:
            return
