"""Commit many small transactions as one, so that the table service sees few writes."""

import queue
import threading
from concurrent.futures import Future
from itertools import chain

from gypsumplank.errors import StateConflictError, StateError, StateOverloadError
from gypsumplank.state.table import MAX_TXN_ROWS, Table, Txn, Write

MAX_WAITING = 10_000


class GroupCommit:
    """Gather transactions while the last commit is under way and send them together.

    Each caller learns the fate of its own transaction; one that conflicts fails alone.
    """

    def __init__(self, table: Table, max_waiting: int = MAX_WAITING) -> None:
        self._table = table
        self._waiting: queue.Queue[tuple[Txn, Future[int]] | None] = queue.Queue(max_waiting)
        self._thread = threading.Thread(target=self._run, name="group-commit", daemon=True)
        self._left: tuple[Txn, Future[int]] | None = None

    def start(self) -> None:
        """Begin to commit."""
        self._thread.start()

    def close(self) -> None:
        """Commit what waits, then stop."""
        self._waiting.put(None)
        self._thread.join()

    def commit(self, txn: Txn) -> int:
        """Apply a transaction and return the version that its rows now have.

        Raises what the table raises, and StateOverloadError where too many wait.
        """
        fut: Future[int] = Future()
        try:
            self._waiting.put_nowait((txn, fut))
        except queue.Full as exc:
            raise StateOverloadError("too many transactions wait") from exc
        return fut.result()

    def _run(self) -> None:
        while (first := self._waiting.get()) is not None:
            self._settle(self._gather(first))

    def _gather(self, first: tuple[Txn, Future[int]]) -> list[tuple[Txn, Future[int]]]:
        batch = [first]
        rows = _size(first[0])
        while rows < MAX_TXN_ROWS:
            try:
                item = self._waiting.get_nowait()
            except queue.Empty:
                break
            if item is None:
                self._waiting.put(None)
                break
            batch.append(item)
            rows += _size(item[0])
        return batch

    def _settle(self, batch: list[tuple[Txn, Future[int]]]) -> None:
        """Commit a batch; halve it where it conflicts, is too large or names a row twice."""
        if len(batch) > 1 and (_overlap(batch) or sum(_size(t) for t, _ in batch) > MAX_TXN_ROWS):
            self._halve(batch)
            return
        try:
            version = self._table.commit(_merge(batch))
        except StateConflictError as exc:
            if len(batch) > 1:
                self._halve(batch)
            else:
                batch[0][1].set_exception(exc)
        except StateError as exc:
            for _, fut in batch:
                fut.set_exception(exc)
        else:
            for _, fut in batch:
                fut.set_result(version)

    def _halve(self, batch: list[tuple[Txn, Future[int]]]) -> None:
        middle = len(batch) // 2
        self._settle(batch[:middle])
        self._settle(batch[middle:])


def _size(txn: Txn) -> int:
    return len(txn.checks) + len(txn.writes)


def _merge(batch: list[tuple[Txn, Future[int]]]) -> Txn:
    checks = chain.from_iterable(txn.checks for txn, _ in batch)
    writes = chain.from_iterable(txn.writes for txn, _ in batch)
    return Txn(tuple(dict.fromkeys(checks)), tuple(dict.fromkeys(writes)))


def _overlap(batch: list[tuple[Txn, Future[int]]]) -> bool:
    """Tell whether a row that one transaction writes is checked, or set otherwise, by another."""
    written: dict[tuple[str, str], Write] = {}
    checked: set[tuple[str, str]] = set()
    for txn, _ in batch:
        writes = {(write.table, write.key): write for write in txn.writes}
        checks = {(check.table, check.key) for check in txn.checks}
        if checks & written.keys() or checked & writes.keys():
            return True
        if any(written.get(place, write) != write for place, write in writes.items()):
            return True
        written |= writes
        checked |= checks
    return False
