"""Call the table service with deadlines, bounded queues, retries and a circuit breaker."""

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
from gypsumplank.state.breaker import CircuitBreaker
from gypsumplank.state.clock import Clock
from gypsumplank.state.retry import RetryBudget, backoff_s
from gypsumplank.state.table import SCAN_LIMIT, Row, Table, Txn, check_size

T = TypeVar("T")


@dataclass(frozen=True)
class ClientLimits:
    """Limit the time per call and the number of concurrent and queued calls."""

    deadline_s: float = 4.0
    max_in_flight: int = 16
    max_waiting: int = 64


class TableClient:
    """Wrap a table with the same interface and the same errors.

    A call that was certainly not carried out is retried within its deadline and the retry budget.
    A commit whose response was lost is never retried here: its caller must find out the outcome.
    """

    def __init__(
        self,
        table: Table,
        clock: Clock,
        rng: random.Random,
        limits: ClientLimits | None = None,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        self._table = table
        self._clock = clock
        self._rng = rng
        self._limits = limits or ClientLimits()
        self._sleep = sleep
        self._breaker = CircuitBreaker(clock, rng)
        self._retry_budget = RetryBudget()
        self._admitted = threading.Semaphore(self._limits.max_in_flight + self._limits.max_waiting)
        self._in_flight = threading.Semaphore(self._limits.max_in_flight)

    @property
    def breaker_open(self) -> bool:
        """Return whether the circuit breaker refuses calls."""
        return self._breaker.is_open

    def get(self, table: str, key: str) -> Row | None:
        """Return one row, or None if it does not exist."""
        return self._call(lambda: self._table.get(table, key))

    def scan(
        self, table: str, prefix: str = "", after: str = "", limit: int = SCAN_LIMIT
    ) -> list[Row]:
        """Return, in key order, the rows whose keys start with `prefix` and follow `after`."""
        return self._call(lambda: self._table.scan(table, prefix, after, limit))

    def commit(self, txn: Txn) -> int:
        """Apply a transaction and return the version that its rows now have."""
        check_size(txn)
        return self._call(lambda: self._table.commit(txn))

    def _call(self, operation: Callable[[], T]) -> T:
        deadline = self._clock.monotonic() + self._limits.deadline_s
        if not self._admitted.acquire(blocking=False):
            raise StateUnavailableError("too many calls are waiting for the platform")
        try:
            return self._call_with_retries(operation, deadline)
        finally:
            self._admitted.release()

    def _call_with_retries(self, operation: Callable[[], T], deadline: float) -> T:
        self._retry_budget.deposit()
        failures = 0
        while True:
            try:
                return self._attempt(operation, deadline)
            except StateUnavailableError:
                failures += 1
                wait_s = backoff_s(failures, self._rng)
                past_deadline = self._clock.monotonic() + wait_s >= deadline
                if past_deadline or self._breaker.is_open or not self._retry_budget.try_withdraw():
                    raise
                self._sleep(wait_s)

    def _attempt(self, operation: Callable[[], T], deadline: float) -> T:
        left_s = deadline - self._clock.monotonic()
        if left_s <= 0 or not self._in_flight.acquire(timeout=left_s):
            raise StateUnavailableError("the deadline passed before the call could be sent")
        try:
            self._breaker.admit()
            return self._run_and_record(operation)
        finally:
            self._in_flight.release()

    def _run_and_record(self, operation: Callable[[], T]) -> T:
        responded = False
        try:
            result = operation()
            responded = True
        except (StateConflictError, StateTooLargeError):
            responded = True
            raise
        finally:
            (self._breaker.record_success if responded else self._breaker.record_failure)()
        return result
