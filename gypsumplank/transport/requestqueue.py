"""Order the requests that wait for a thread.

Answers clients that send many requests ahead of their answers: with one turn for each connection,
an ordinary request would wait for as many requests as there are such connections.
"""

from collections import deque
from typing import Protocol

# One request in this many is a pipelined one if any waits, so that none waits forever.
PIPELINED_INTERVAL = 4


class Waiting(Protocol):
    """Wait for a thread: a connection, or what runs its next request."""

    @property
    def is_pipelined(self) -> bool:
        """Return whether the request was sent before the one ahead of it was answered."""


class RequestQueue:
    """Hold what waits; its caller guards it with a lock.

    It has the methods of the deque that it replaces in waitress's dispatcher.
    """

    def __init__(self) -> None:
        self._first: deque[Waiting] = deque()
        self._pipelined: deque[Waiting] = deque()
        self._turn = 0

    def __len__(self) -> int:
        return len(self._first) + len(self._pipelined)

    def append(self, waiting: Waiting) -> None:
        """Add what waits behind others of its kind."""
        (self._pipelined if waiting.is_pipelined else self._first).append(waiting)

    def popleft(self) -> Waiting:
        """Remove and return what is next; raise IndexError if nothing waits."""
        if not self._pipelined:
            return self._first.popleft()
        self._turn += 1
        if self._first and self._turn % PIPELINED_INTERVAL:
            return self._first.popleft()
        return self._pipelined.popleft()
