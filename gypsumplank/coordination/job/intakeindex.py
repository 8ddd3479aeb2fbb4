"""Follow which jobs wait as submissions, to count them for callers.

Answers callers that ask for the count at every daemon: a read of all partitions for each would cost
more than all submissions. Between two counts only the changes are read.
"""

import threading
from collections.abc import Iterable

from gypsumplank.errors import EntryInvalidError, StateHistoryLostError, StateUnavailableError
from gypsumplank.state.feed import ChangeFeed
from gypsumplank.state.intake import TABLE_INTAKE, IntakeStore, decode_submission
from gypsumplank.state.table import Row

# Longest wait for a read by another request, seconds; keeps the threads that serve callers free.
MAX_WAIT_S = 1.0


class IntakeIndex:
    """Keep the queue of each submission that is not cancelled; used when a count is asked for.

    Every method may raise StateError.
    """

    def __init__(self, store: IntakeStore, feed: ChangeFeed) -> None:
        self._store = store
        self._feed = feed
        self._lock = threading.Lock()
        self._queues: dict[str, str] = {}
        self._version = 0

    def pending(self, queue: str) -> set[str]:
        """Return the jobs of a queue that wait as submissions now."""
        if not self._lock.acquire(timeout=MAX_WAIT_S):
            raise StateUnavailableError("submissions are being read")
        try:
            self._update()
            return {job for job, each in self._queues.items() if each == queue}
        finally:
            self._lock.release()

    def _update(self) -> None:
        try:
            changes = self._feed.changes(TABLE_INTAKE, self._version, 0.0)
        except StateHistoryLostError as exc:
            self._read_all(exc.newest)
            return
        except StateUnavailableError:
            # The feed is read directly only; partitions also through another daemon.
            self._read_all(self._version)
            return
        self._apply(changes.rows)
        # A job that was submitted again after its removal is known to the leader, hence not
        # pending.
        for job in changes.deleted_keys:
            self._queues.pop(job, None)
        self._version = changes.version

    def _read_all(self, version: int) -> None:
        """Read all submissions, which are at least as new as the version."""
        rows = self._store.read_all()
        self._queues = {}
        self._apply(rows)
        self._version = version

    def _apply(self, rows: Iterable[Row]) -> None:
        for row in rows:
            try:
                found = decode_submission(row)
            except EntryInvalidError:
                # The leader logs the row and leaves it out as well.
                self._queues.pop(row.key, None)
                continue
            if found.cancelled:
                self._queues.pop(row.key, None)
            else:
                self._queues[row.key] = found.job.queue
