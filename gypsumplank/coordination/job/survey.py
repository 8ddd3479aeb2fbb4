"""Follow what callers, operators and workers write, in threads of their own."""

import logging
import threading
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from gypsumplank.coordination.job.port import Directory
from gypsumplank.errors import StateError, StateHistoryLostError
from gypsumplank.log import Event, event
from gypsumplank.protocol.worker import WorkerEntry
from gypsumplank.state.feed import Feed
from gypsumplank.state.job import TABLE_ORDERS, JobStore
from gypsumplank.state.table import Row

# Time between full reads of entries, waiting jobs and cancellations, seconds.
SURVEY_S = 0.5
# Longest wait of one call that follows changes, seconds.
FEED_WAIT_S = 1.0
# Pause after a failed call, seconds.
RETRY_S = 0.2

logger = logging.getLogger(__name__)


@dataclass(frozen=True)
class Sighted:
    """Hold what one survey has read."""

    entries: tuple[WorkerEntry, ...]
    pending: frozenset[str]
    cancels: frozenset[str]


class Loop:
    """Call a step again and again in a thread until closed."""

    def __init__(self, name: str, pause_s: float) -> None:
        self._pause_s = pause_s
        self._closed = threading.Event()
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)

    def start(self) -> None:
        """Begin."""
        self._thread.start()

    def close(self) -> None:
        """End after the step in progress."""
        self._closed.set()

    def wait(self, seconds: float) -> None:
        """Pause for this long, less where the loop is closed."""
        self._closed.wait(seconds)

    def step(self) -> None:
        """Do one round; may raise StateError."""
        raise NotImplementedError

    def _run(self) -> None:
        while not self._closed.is_set():
            pause_s = RETRY_S
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


class Survey(Loop):
    """Read in full, from time to time, what has to be known even if changes go missing."""

    def __init__(
        self, store: JobStore, directory: Directory, tell: Callable[[Sighted], None]
    ) -> None:
        super().__init__("survey", SURVEY_S)
        self._store = store
        self._directory = directory
        self._tell = tell

    def step(self) -> None:
        """Read once and tell."""
        self._tell(
            Sighted(
                tuple(self._directory.workers()),
                frozenset(self._store.all_pending()),
                frozenset(self._store.cancels()),
            )
        )


class OrderWatch(Loop):
    """Follow new jobs."""

    def __init__(self, feed: Feed, after: int, tell: Callable[[Sequence[Row]], None]) -> None:
        super().__init__("orders", 0.0)
        self._feed = feed
        self._after = after
        self._tell = tell

    def step(self) -> None:
        """Wait for changes and tell of them."""
        try:
            changes = self._feed.changes(TABLE_ORDERS, self._after, FEED_WAIT_S)
        except StateHistoryLostError as exc:
            # The survey finds the jobs that were missed; continue from the newest version.
            self._after = exc.newest
            raise
        self._after = changes.version
        if changes.rows:
            self._tell(changes.rows)
