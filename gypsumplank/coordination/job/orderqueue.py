"""Bound how many orders for one worker are sent at once."""

import logging
import threading
from collections import deque
from collections.abc import Callable, Hashable
from dataclasses import dataclass, field
from functools import partial

from gypsumplank.log import Event
from gypsumplank.state.clock import Clock

# Orders for one worker that are sent at once. Each needs a connection of its own, and connecting
# takes longer than waiting for an order before.
MAX_PARALLEL_ORDERS = 2
# Duration of an order from which the worker is slow, so that its other orders do not wait, seconds.
SLOW_ORDER_S = 0.1

Order = Callable[[], bool]

logger = logging.getLogger(__name__)


@dataclass
class Lane:
    """Hold the orders of one worker that wait, and the number of threads that send its orders."""

    waiting: deque[Order] = field(default_factory=deque)
    senders: int = 0


class OrderQueue:
    """Pass orders to sender threads, a few at once for each worker.

    An order returns whether it succeeded. After one that failed or was slow, those that wait for
    the same worker are all passed on, so that none waits for several timeouts.
    """

    def __init__(self, submit: Callable[[Callable[[], object]], None], clock: Clock) -> None:
        self._submit = submit
        self._clock = clock
        self._lanes: dict[Hashable, Lane] = {}
        self._lock = threading.Lock()

    def add(self, worker: Hashable, order: Order) -> None:
        """Send an order, or let it wait for others to the same worker."""
        with self._lock:
            lane = self._lanes.setdefault(worker, Lane())
            if lane.senders >= MAX_PARALLEL_ORDERS:
                lane.waiting.append(order)
                return
            lane.senders += 1
        self._submit(partial(self._send_all, worker, order))

    def _send_all(self, worker: Hashable, order: Order) -> None:
        """Send an order, and then those that wait for the same worker."""
        following: Order | None = order
        while following is not None:
            is_prompt = self._send(following)
            with self._lock:
                lane = self._lanes[worker]
                released = [] if is_prompt else list(lane.waiting)
                if released:
                    lane.waiting.clear()
                following = lane.waiting.popleft() if lane.waiting else None
                if following is None:
                    lane.senders -= 1
                    if not lane.senders:
                        del self._lanes[worker]
            for waiting in released:
                self._submit(partial(self._send, waiting))

    def _send(self, order: Order) -> bool:
        started = self._clock.monotonic()
        try:
            succeeded = order()
        except Exception:
            logger.exception(Event.ACTOR_RESTARTED.value)
            return False
        return succeeded and self._clock.monotonic() - started < SLOW_ORDER_S
