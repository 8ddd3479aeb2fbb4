"""Commit many small transactions as one, to reduce writes to the table service."""

import queue
import threading
from concurrent.futures import Future
from itertools import chain

from gypsumplank.errors import StateConflictError, StateError, StateOverloadError
from gypsumplank.state.table import MAX_TXN_ROWS, Table, Txn, Write

MAX_WAITING_TXNS = 10_000


class GroupCommit:
    """Collect transactions while a commit is in progress and send them in the next one.

    Each caller gets the result of its own transaction; a conflict fails only that transaction.
    """

    def __init__(self, table: Table, max_waiting: int = MAX_WAITING_TXNS) -> None:
        self._table = table
        self._waiting: queue.Queue[tuple[Txn, Future[int]] | None] = queue.Queue(max_waiting)
        self._thread = threading.Thread(target=self._run, name="group-commit", daemon=True)
        self._left: tuple[Txn, Future[int]] | None = None

    def start(self) -> None:
        """Start the commit thread."""
        self._thread.start()

    def close(self) -> None:
        """Commit the waiting transactions, then stop."""
        self._waiting.put(None)
        self._thread.join()

    def commit(self, txn: Txn) -> int:
        """Apply a transaction and return the version that its rows now have.

        Raises the table's errors, and StateOverloadError if too many transactions wait.
        """
        fut: Future[int] = Future()
        try:
            self._waiting.put_nowait((txn, fut))
        except queue.Full as exc:
            raise StateOverloadError("too many transactions are waiting") from exc
        return fut.result()

    def _run(self) -> None:
        while (first := self._waiting.get()) is not None:
            self._commit_batch(self._collect_batch(first))

    def _collect_batch(self, first: tuple[Txn, Future[int]]) -> list[tuple[Txn, Future[int]]]:
        batch = [first]
        rows = _row_count(first[0])
        while rows < MAX_TXN_ROWS:
            try:
                item = self._waiting.get_nowait()
            except queue.Empty:
                break
            if item is None:
                self._waiting.put(None)
                break
            batch.append(item)
            rows += _row_count(item[0])
        return batch

    def _commit_batch(self, batch: list[tuple[Txn, Future[int]]]) -> None:
        """Commit a batch; halve it if it is too large, uses a row in two ways or conflicts."""
        if len(batch) > 1 and (
            _has_row_conflict(batch) or sum(_row_count(t) for t, _ in batch) > MAX_TXN_ROWS
        ):
            self._split_batch(batch)
            return
        try:
            version = self._table.commit(_merge_txns(batch))
        except StateConflictError as exc:
            if len(batch) > 1:
                self._split_batch(batch)
            else:
                batch[0][1].set_exception(exc)
        except StateError as exc:
            for _, fut in batch:
                fut.set_exception(exc)
        else:
            for _, fut in batch:
                fut.set_result(version)

    def _split_batch(self, batch: list[tuple[Txn, Future[int]]]) -> None:
        middle = len(batch) // 2
        self._commit_batch(batch[:middle])
        self._commit_batch(batch[middle:])


def _row_count(txn: Txn) -> int:
    return len(txn.checks) + len(txn.writes)


def _merge_txns(batch: list[tuple[Txn, Future[int]]]) -> Txn:
    checks = chain.from_iterable(txn.checks for txn, _ in batch)
    writes = chain.from_iterable(txn.writes for txn, _ in batch)
    return Txn(tuple(dict.fromkeys(checks)), tuple(dict.fromkeys(writes)))


def _has_row_conflict(batch: list[tuple[Txn, Future[int]]]) -> bool:
    """Return whether a row written by one transaction is checked or set differently by another."""
    written: dict[tuple[str, str], Write] = {}
    checked: set[tuple[str, str]] = set()
    for txn, _ in batch:
        writes = {(write.table, write.key): write for write in txn.writes}
        checks = {(check.table, check.key) for check in txn.checks}
        if checks & written.keys() or checked & writes.keys():
            return True
        if any(written.get(row_id, write) != write for row_id, write in writes.items()):
            return True
        written |= writes
        checked |= checks
    return False
