"""Call the table service with deadlines, bounded queues, retries and a breaker."""

import random
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeVar

from gypsumplank.errors import (
    StateConflictError,
    StateTooLargeError,
    StateUnavailableError,
)
from gypsumplank.state.breaker import Breaker
from gypsumplank.state.clock import Clock
from gypsumplank.state.retry import RetryBudget, backoff_s
from gypsumplank.state.table import SCAN_LIMIT, Row, Table, Txn, check_size

T = TypeVar("T")


@dataclass(frozen=True)
class ClientLimits:
    """Bound the calls to the table service; times in seconds."""

    deadline_s: float = 4.0
    in_flight: int = 16
    waiting: int = 64


class TableClient:
    """Wrap a table port; what it raises tells the same as the port's own errors.

    A call that was surely not carried out is tried again within its deadline and the budget of
    retries. A commit whose answer was lost is never tried again here: its caller must settle it.
    """

    def __init__(
        self,
        table: Table,
        clock: Clock,
        rng: random.Random,
        limits: ClientLimits | None = None,
        pause: Callable[[float], None] = time.sleep,
    ) -> None:
        self._table = table
        self._clock = clock
        self._rng = rng
        self._limits = limits or ClientLimits()
        self._pause = pause
        self._breaker = Breaker(clock, rng)
        self._budget = RetryBudget()
        self._entered = threading.Semaphore(self._limits.in_flight + self._limits.waiting)
        self._in_flight = threading.Semaphore(self._limits.in_flight)

    @property
    def open(self) -> bool:
        """Tell whether the breaker refuses calls."""
        return self._breaker.open

    def get(self, table: str, key: str) -> Row | None:
        """Return one row."""
        return self._call(lambda: self._table.get(table, key))

    def scan(
        self, table: str, prefix: str = "", after: str = "", limit: int = SCAN_LIMIT
    ) -> list[Row]:
        """Return rows in key order, those after the key `after` that start with `prefix`."""
        return self._call(lambda: self._table.scan(table, prefix, after, limit))

    def commit(self, txn: Txn) -> int:
        """Apply a transaction and return the version that its rows now have."""
        check_size(txn)
        return self._call(lambda: self._table.commit(txn))

    def _call(self, work: Callable[[], T]) -> T:
        until = self._clock.monotonic() + self._limits.deadline_s
        if not self._entered.acquire(blocking=False):
            raise StateUnavailableError("too many calls wait for the platform")
        try:
            return self._retry(work, until)
        finally:
            self._entered.release()

    def _retry(self, work: Callable[[], T], until: float) -> T:
        self._budget.earn()
        failures = 0
        while True:
            try:
                return self._try(work, until)
            except StateUnavailableError:
                failures += 1
                wait_s = backoff_s(failures, self._rng)
                late = self._clock.monotonic() + wait_s >= until
                if late or self._breaker.open or not self._budget.spend():
                    raise
                self._pause(wait_s)

    def _try(self, work: Callable[[], T], until: float) -> T:
        left = until - self._clock.monotonic()
        if left <= 0 or not self._in_flight.acquire(timeout=left):
            raise StateUnavailableError("no turn within the deadline")
        try:
            self._breaker.admit()
            return self._judge(work)
        finally:
            self._in_flight.release()

    def _judge(self, work: Callable[[], T]) -> T:
        answered = False
        try:
            result = work()
            answered = True
        except (StateConflictError, StateTooLargeError):
            answered = True
            raise
        finally:
            (self._breaker.succeeded if answered else self._breaker.failed)()
        return result
