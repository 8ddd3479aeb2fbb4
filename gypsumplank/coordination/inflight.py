"""Count the requests in flight."""

import threading
from types import TracebackType

from gypsumplank.coordination.dispatch import Dispatcher
from gypsumplank.protocol.exchange import Reply, Request


class InFlightCounter:
    """Count the threads that are inside a `with` block on this object."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self.in_flight = 0

    def __enter__(self) -> None:
        with self._lock:
            self.in_flight += 1

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        with self._lock:
            self.in_flight -= 1


class InFlightCountingHandler:
    """Count requests in flight while the dispatcher handles them."""

    def __init__(self, counter: InFlightCounter, dispatcher: Dispatcher) -> None:
        self._counter = counter
        self._dispatcher = dispatcher

    def handle(self, req: Request) -> Reply:
        """Return the dispatcher's reply."""
        with self._counter:
            return self._dispatcher.handle(req)
