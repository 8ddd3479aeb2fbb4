"""Commit independent changes of rows together, many to a transaction."""

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

MAX_QUEUED = 4000
MAX_BATCH = MAX_TXN_ROWS // 2
MAX_BATCH_BYTES = 1 << 20
SETTLE_TRIES = 3
MAX_READ_ROWS = 32
OUTAGE_PAUSE_S = 0.5
SLOW_S = 0.5


@dataclass(frozen=True)
class RowChange:
    """Hold one change: over this version of a row, set a value; None deletes the row."""

    table: str
    key: str
    version: int
    value: bytes | None

    @property
    def place(self) -> tuple[str, str]:
        """Return what names the row."""
        return self.table, self.key

    @property
    def size(self) -> int:
        """Return the bytes of the value."""
        return len(self.value or b"")


@dataclass(frozen=True)
class Queued:
    """Hold a change and the future of its new version."""

    change: RowChange
    future: Future[int]


class BatchWriter:
    """Commit queued changes in one thread; each succeeds or fails by itself.

    A batch is what was queued while the one before was committed, or came within `pace()`
    seconds of it.
    """

    def __init__(
        self,
        table: Table,
        clock: Clock,
        pace: Callable[[], float],
        max_queued: int = MAX_QUEUED,
        max_batch: int = MAX_BATCH,
    ) -> None:
        self._table = table
        self._clock = clock
        self._pace = pace
        self._max_queued = max_queued
        self._max_batch = max_batch
        self._ready = threading.Condition()
        self._queue: deque[Queued] = deque()
        self._stopped = threading.Event()
        self._out_until = 0.0
        self._sent_at: float | None = None
        self._thread = threading.Thread(target=self._run, name="batch", daemon=True)
        self.commits = 0

    def submit(self, change: RowChange) -> Future[int]:
        """Queue a change and return the future of the row's new version.

        Raise StateTooLargeError, StateBusyError where too many are queued, and
        StateUnavailableError while a commit takes long and shortly after the platform was found
        to be out. The future fails with StateError.
        """
        if change.size > MAX_ROW_BYTES:
            raise StateTooLargeError(f"row of {change.size} bytes exceeds {MAX_ROW_BYTES}")
        future: Future[int] = Future()
        with self._ready:
            now = self._clock.monotonic()
            if now < self._out_until:
                raise StateUnavailableError("the platform was out a moment ago")
            if self._sent_at is not None and now - self._sent_at > SLOW_S:
                raise StateUnavailableError("the platform is slow")
            if len(self._queue) >= self._max_queued:
                raise StateBusyError(f"{self._max_queued} changes wait for the platform")
            self._queue.append(Queued(change, future))
            self._ready.notify()
        return future

    def start(self) -> None:
        """Begin to commit."""
        self._thread.start()

    def stop(self) -> None:
        """Commit what is queued and end the thread."""
        self._stopped.set()
        with self._ready:
            self._ready.notify()
        self._thread.join()

    def flush(self) -> int:
        """Commit one batch; return how many changes it had."""
        batch = self._take()
        if batch:
            self._commit(batch)
        return len(batch)

    def _run(self) -> None:
        while True:
            with self._ready:
                self._ready.wait_for(lambda: self._queue or self._stopped.is_set())
            if not self.flush() and self._stopped.is_set():
                return
            self._stopped.wait(self._pace())

    def _take(self) -> list[Queued]:
        """Return the next batch: at most one change a row, bounded in rows and bytes."""
        batch: dict[tuple[str, str], Queued] = {}
        later: list[Queued] = []
        size = 0
        with self._ready:
            while self._queue and len(batch) < self._max_batch and size < MAX_BATCH_BYTES:
                queued = self._queue.popleft()
                if queued.change.place in batch:
                    later.append(queued)
                elif queued.future.set_running_or_notify_cancel():
                    batch[queued.change.place] = queued
                    size += queued.change.size
            self._queue.extendleft(reversed(later))
        return list(batch.values())

    def _commit(self, batch: Sequence[Queued]) -> None:
        try:
            version = self._settle([queued.change for queued in batch])
        except StateConflictError as exc:
            self._split(batch, exc)
        except Exception as exc:  # noqa: BLE001
            if isinstance(exc, StateUnavailableError | StateUnknownError):
                self._out_until = self._clock.monotonic() + OUTAGE_PAUSE_S
            _fail(batch, exc)
        else:
            for queued in batch:
                queued.future.set_result(version)

    def _split(self, batch: Sequence[Queued], exc: StateConflictError) -> None:
        """Commit what is not in conflict, in smaller batches, and fail the rest alone."""
        if len(batch) == 1:
            _fail(batch, exc)
            return
        fresh = batch if len(batch) > MAX_READ_ROWS else self._fresh(batch)
        if len(fresh) == len(batch):
            middle = len(batch) // 2
            self._commit(batch[:middle])
            self._commit(batch[middle:])
            return
        kept = set(map(id, fresh))
        _fail([queued for queued in batch if id(queued) not in kept], exc)
        if fresh:
            self._commit(fresh)

    def _fresh(self, batch: Sequence[Queued]) -> Sequence[Queued]:
        """Return the changes whose rows still have their versions; all, where none was read."""
        try:
            return [queued for queued in batch if self._is_fresh(queued.change)]
        except StateError:
            return batch

    def _is_fresh(self, change: RowChange) -> bool:
        row = self._table.get(change.table, change.key)
        return change.version == (ABSENT if row is None else row.version)

    def _settle(self, changes: Sequence[RowChange]) -> int:
        """Commit changes together and return their version, also where an answer was lost.

        The same transaction is sent again until the platform answers: it is applied at most
        once, since each check names the version before it.
        """
        unknown: StateUnknownError | None = None
        for _ in range(SETTLE_TRIES):
            try:
                return self._send(changes)
            except StateUnknownError as exc:
                unknown = exc
            except StateUnavailableError as exc:
                raise (unknown or exc) from exc
            except StateConflictError:
                version = self._applied(changes) if unknown else None
                if version is None:
                    raise
                return version
        if unknown is None:
            raise InvariantError("no try was made")
        version = self._applied(changes)
        if version is None:
            raise unknown
        return version

    def _send(self, changes: Sequence[RowChange]) -> int:
        if len({change.place for change in changes}) < len(changes):
            raise InvariantError("two changes of one row in a transaction")
        self.commits += 1
        checks = tuple(Check(change.table, change.key, change.version) for change in changes)
        writes = tuple(Write(change.table, change.key, change.value) for change in changes)
        self._sent_at = self._clock.monotonic()
        try:
            return self._table.commit(Txn(checks, writes))
        finally:
            self._sent_at = None

    def _applied(self, changes: Sequence[RowChange]) -> int | None:
        """Return the version of changes whose answer was lost; None where others came first.

        They were applied together or not at all, so one row that holds its new value tells.
        """
        change = next((held for held in changes if held.value is not None), changes[0])
        try:
            row = self._table.get(change.table, change.key)
        except StateUnavailableError as exc:
            raise StateUnknownError(exc.detail) from exc
        if row is None:
            return change.version if change.value is None and len(changes) == 1 else None
        return row.version if row.value == change.value else None


def _fail(batch: Sequence[Queued], exc: Exception) -> None:
    for queued in batch:
        queued.future.set_exception(exc)
