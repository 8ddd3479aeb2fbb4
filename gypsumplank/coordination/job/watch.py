"""Follow changes of the store by callers, operators and workers, in separate threads."""

import logging
import threading
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from gypsumplank.coordination.job.port import Directory
from gypsumplank.errors import StateError, StateHistoryLostError
from gypsumplank.log import Event, event
from gypsumplank.protocol.worker import WorkerEntry
from gypsumplank.state.clock import Clock
from gypsumplank.state.feed import ChangeFeed
from gypsumplank.state.job import JobStore
from gypsumplank.state.jobrow import TABLE_ORDERS
from gypsumplank.state.table import Row

# Interval between full reads of worker entries, pending jobs and cancellations, seconds.
RESYNC_INTERVAL_S = 0.5
# Longest wait of one call to the change feed, seconds.
FEED_LONG_POLL_S = 1.0
# Delay after a failed call, seconds.
RETRY_DELAY_S = 0.2

logger = logging.getLogger(__name__)


@dataclass(frozen=True)
class StoreSnapshot:
    """Store one full read: worker entries, and identifiers of pending and cancelled jobs.

    `requested_at` is when the read began, in monotonic seconds.
    """

    requested_at: float
    entries: tuple[WorkerEntry, ...]
    pending: frozenset[str]
    cancels: frozenset[str]


class PeriodicThread:
    """Call `step` repeatedly in a thread until closed; log its errors and go on."""

    def __init__(self, name: str, pause_s: float) -> None:
        self._pause_s = pause_s
        self._closed = threading.Event()
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def close(self) -> None:
        """Stop after the step in progress."""
        self._closed.set()

    @property
    def is_closed(self) -> bool:
        """Return whether the thread stops after the step in progress."""
        return self._closed.is_set()

    def wait(self, seconds: float) -> None:
        """Wait for this long, or until the thread is closed."""
        self._closed.wait(seconds)

    def step(self) -> None:
        """Run one iteration; may raise StateError."""
        raise NotImplementedError

    def _run(self) -> None:
        while not self._closed.is_set():
            pause_s = RETRY_DELAY_S
            try:
                self.step()
                pause_s = self._pause_s
            except StateError as exc:
                event(
                    logger,
                    Event.STORE_CALL_FAILED,
                    logging.WARNING,
                    code=exc.code,
                    step=self._thread.name,
                    detail=exc.detail,
                )
            except Exception:
                logger.exception(Event.ACTOR_RESTARTED.value)
            self._closed.wait(pause_s)


class ResyncLoop(PeriodicThread):
    """Read entries and jobs in full at intervals, in case the change feed misses changes."""

    def __init__(
        self,
        store: JobStore,
        directory: Directory,
        clock: Clock,
        publish: Callable[[StoreSnapshot], None],
    ) -> None:
        super().__init__("survey", RESYNC_INTERVAL_S)
        self._clock = clock
        self._store = store
        self._directory = directory
        self._publish = publish

    def step(self) -> None:
        """Read once and publish the snapshot."""
        self._publish(
            StoreSnapshot(
                self._clock.monotonic(),
                tuple(self._directory.workers()),
                frozenset(self._store.all_pending()),
                frozenset(self._store.cancelled_jobs()),
            )
        )


class JobWatch(PeriodicThread):
    """Follow new jobs through the change feed."""

    def __init__(
        self, feed: ChangeFeed, after: int, publish: Callable[[Sequence[Row]], None]
    ) -> None:
        super().__init__("orders", 0.0)
        self._feed = feed
        self._after = after
        self._publish = publish

    def step(self) -> None:
        """Wait for changes and publish the changed rows."""
        try:
            changes = self._feed.changes(TABLE_ORDERS, self._after, FEED_LONG_POLL_S)
        except StateHistoryLostError as exc:
            # ResyncLoop finds the jobs that were missed; continue from the newest version.
            self._after = exc.newest
            raise
        self._after = changes.version
        if changes.rows:
            self._publish(changes.rows)
