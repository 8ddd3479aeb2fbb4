"""Commit independent row changes together, many per transaction."""

import threading
from collections import deque
from collections.abc import Callable, Sequence
from concurrent.futures import Future
from dataclasses import dataclass

from gypsumplank.errors import (
    InvariantError,
    StateBusyError,
    StateConflictError,
    StateError,
    StateTooLargeError,
    StateUnavailableError,
    StateUnknownError,
)
from gypsumplank.state.clock import Clock
from gypsumplank.state.table import ABSENT, MAX_ROW_BYTES, MAX_TXN_ROWS, Check, Table, Txn, Write

MAX_QUEUED_CHANGES = 4000
MAX_BATCH_CHANGES = MAX_TXN_ROWS // 2
MAX_BATCH_BYTES = 1 << 20
MAX_COMMIT_ATTEMPTS = 3
MAX_CONFLICT_READ_ROWS = 32
UNAVAILABLE_BACKOFF_S = 0.5
SLOW_COMMIT_S = 0.5


@dataclass(frozen=True)
class RowChange:
    """Represent a change to a row with this version: set a value, or delete the row for None."""

    table: str
    key: str
    version: int
    value: bytes | None

    @property
    def row_id(self) -> tuple[str, str]:
        """Return the table and key that identify the row."""
        return self.table, self.key

    @property
    def size_bytes(self) -> int:
        """Return the size of the value in bytes."""
        return len(self.value or b"")


@dataclass(frozen=True)
class QueuedChange:
    """Represent a queued change; `future` resolves to the row's new version."""

    change: RowChange
    future: Future[int]


class BatchWriter:
    """Commit queued changes in one thread; each succeeds or fails independently.

    A batch holds the changes queued while the previous batch was committed or within `interval_s()`
    seconds after it.
    """

    def __init__(
        self,
        table: Table,
        clock: Clock,
        interval_s: Callable[[], float],
        max_queued: int = MAX_QUEUED_CHANGES,
        max_batch: int = MAX_BATCH_CHANGES,
    ) -> None:
        self._table = table
        self._clock = clock
        self._interval_s = interval_s
        self._max_queued = max_queued
        self._max_batch = max_batch
        self._ready = threading.Condition()
        self._queue: deque[QueuedChange] = deque()
        self._stopped = threading.Event()
        self._unavailable_until = 0.0
        self._commit_started_at: float | None = None
        self._thread = threading.Thread(target=self._run, name="batch", daemon=True)
        self.commits = 0

    def submit(self, change: RowChange) -> Future[int]:
        """Queue a change and return a future of the row's new version.

        Raise StateTooLargeError, StateBusyError if too many changes are queued, and
        StateUnavailableError while a commit is slow and shortly after the platform was found
        unavailable. The future fails with StateError.
        """
        if change.size_bytes > MAX_ROW_BYTES:
            raise StateTooLargeError(f"row of {change.size_bytes} bytes exceeds {MAX_ROW_BYTES}")
        future: Future[int] = Future()
        with self._ready:
            now = self._clock.monotonic()
            if now < self._unavailable_until:
                raise StateUnavailableError("the platform was unavailable moments ago")
            if (
                self._commit_started_at is not None
                and now - self._commit_started_at > SLOW_COMMIT_S
            ):
                raise StateUnavailableError("the commit in progress is slow")
            if len(self._queue) >= self._max_queued:
                raise StateBusyError(f"{self._max_queued} changes are waiting for the platform")
            self._queue.append(QueuedChange(change, future))
            self._ready.notify()
        return future

    def start(self) -> None:
        """Start the commit thread."""
        self._thread.start()

    def stop(self) -> None:
        """Commit the queued changes and end the thread."""
        self._stopped.set()
        with self._ready:
            self._ready.notify()
        self._thread.join()

    def flush(self) -> int:
        """Commit one batch and return its number of changes."""
        batch = self._next_batch()
        if batch:
            self._commit_batch(batch)
        return len(batch)

    def _run(self) -> None:
        while True:
            with self._ready:
                self._ready.wait_for(lambda: self._queue or self._stopped.is_set())
            if not self.flush() and self._stopped.is_set():
                return
            self._stopped.wait(self._interval_s())

    def _next_batch(self) -> list[QueuedChange]:
        """Return the next batch: at most one change per row, limited in rows and bytes."""
        batch: dict[tuple[str, str], QueuedChange] = {}
        later: list[QueuedChange] = []
        size_bytes = 0
        with self._ready:
            while self._queue and len(batch) < self._max_batch and size_bytes < MAX_BATCH_BYTES:
                queued = self._queue.popleft()
                if queued.change.row_id in batch:
                    later.append(queued)
                elif queued.future.set_running_or_notify_cancel():
                    batch[queued.change.row_id] = queued
                    size_bytes += queued.change.size_bytes
            self._queue.extendleft(reversed(later))
        return list(batch.values())

    def _commit_batch(self, batch: Sequence[QueuedChange]) -> None:
        try:
            version = self._commit_with_retries([queued.change for queued in batch])
        except StateConflictError as exc:
            self._isolate_conflicts(batch, exc)
        except Exception as exc:  # noqa: BLE001
            if isinstance(exc, StateUnavailableError | StateUnknownError):
                self._unavailable_until = self._clock.monotonic() + UNAVAILABLE_BACKOFF_S
            _fail_batch(batch, exc)
        else:
            for queued in batch:
                queued.future.set_result(version)

    def _isolate_conflicts(self, batch: Sequence[QueuedChange], exc: StateConflictError) -> None:
        """Commit the changes without conflict in smaller batches, and fail only the others."""
        if len(batch) == 1:
            _fail_batch(batch, exc)
            return
        without_conflict = (
            batch if len(batch) > MAX_CONFLICT_READ_ROWS else self._without_conflict(batch)
        )
        if len(without_conflict) == len(batch):
            middle = len(batch) // 2
            self._commit_batch(batch[:middle])
            self._commit_batch(batch[middle:])
            return
        retried = set(map(id, without_conflict))
        _fail_batch([queued for queued in batch if id(queued) not in retried], exc)
        if without_conflict:
            self._commit_batch(without_conflict)

    def _without_conflict(self, batch: Sequence[QueuedChange]) -> Sequence[QueuedChange]:
        """Return the changes whose rows still have the expected version; all if a read fails."""
        try:
            return [queued for queued in batch if self._has_expected_version(queued.change)]
        except StateError:
            return batch

    def _has_expected_version(self, change: RowChange) -> bool:
        row = self._table.get(change.table, change.key)
        return change.version == (ABSENT if row is None else row.version)

    def _commit_with_retries(self, changes: Sequence[RowChange]) -> int:
        """Commit changes together and return their version, also if a response was lost.

        The same transaction is sent again until the platform responds. It is applied at most
        once, as each check requires the version before it.
        """
        unknown: StateUnknownError | None = None
        for _ in range(MAX_COMMIT_ATTEMPTS):
            try:
                return self._commit_once(changes)
            except StateUnknownError as exc:
                unknown = exc
            except StateUnavailableError as exc:
                raise (unknown or exc) from exc
            except StateConflictError:
                version = self._find_applied_version(changes) if unknown else None
                if version is None:
                    raise
                return version
        if unknown is None:
            raise InvariantError("no commit attempt was made")
        version = self._find_applied_version(changes)
        if version is None:
            raise unknown
        return version

    def _commit_once(self, changes: Sequence[RowChange]) -> int:
        if len({change.row_id for change in changes}) < len(changes):
            raise InvariantError("two changes to one row in a transaction")
        self.commits += 1
        checks = tuple(Check(change.table, change.key, change.version) for change in changes)
        writes = tuple(Write(change.table, change.key, change.value) for change in changes)
        self._commit_started_at = self._clock.monotonic()
        try:
            return self._table.commit(Txn(checks, writes))
        finally:
            self._commit_started_at = None

    def _find_applied_version(self, changes: Sequence[RowChange]) -> int | None:
        """Return the version of changes whose response was lost; None if they were not applied.

        They were applied together or not at all, so checking one written row is enough.
        """
        change = next((put for put in changes if put.value is not None), changes[0])
        try:
            row = self._table.get(change.table, change.key)
        except StateUnavailableError as exc:
            raise StateUnknownError(exc.detail) from exc
        if row is None:
            return change.version if change.value is None and len(changes) == 1 else None
        return row.version if row.value == change.value else None


def _fail_batch(batch: Sequence[QueuedChange], exc: Exception) -> None:
    for queued in batch:
        queued.future.set_exception(exc)
