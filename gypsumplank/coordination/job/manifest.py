"""Keep the newest manifest in force; its version never decreases within a process."""

import logging

from gypsumplank.coordination.job.port import Directory
from gypsumplank.coordination.job.watch import PeriodicThread
from gypsumplank.errors import StateHistoryLostError
from gypsumplank.log import Event, event
from gypsumplank.protocol.queue import Manifest
from gypsumplank.state.clock import Clock
from gypsumplank.state.feed import ChangeFeed

# Longest wait of one call to the change feed, seconds; half of the time within which a new manifest
# has to be in force.
FEED_LONG_POLL_S = 0.8
# Interval between full reads, seconds; covers changes that the feed does not report.
FULL_READ_INTERVAL_S = 1.0

logger = logging.getLogger(__name__)


class ManifestWatch(PeriodicThread):
    """Follow the manifest through the change feed, and read it in full at intervals.

    `last_contact_at` is when the store last answered, in monotonic seconds.
    """

    def __init__(
        self,
        directory: Directory,
        feed: ChangeFeed,
        table: str,
        clock: Clock,
    ) -> None:
        super().__init__("manifest", 0.0)
        self._directory = directory
        self._feed = feed
        self._table = table
        self._clock = clock
        self._after = 0
        self._next_read_at = 0.0
        self.current: Manifest | None = None
        self.last_contact_at = -1e9

    def step(self) -> None:
        """Read the manifest if a read is due, then wait for a change."""
        now = self._clock.monotonic()
        if now >= self._next_read_at:
            self._read()
            self._next_read_at = now + FULL_READ_INTERVAL_S
        try:
            changes = self._feed.changes(self._table, self._after, FEED_LONG_POLL_S)
        except StateHistoryLostError as exc:
            self._after = exc.newest
            self._next_read_at = 0.0
            return
        self.last_contact_at = self._clock.monotonic()
        self._after = changes.version
        if changes.rows:
            self._next_read_at = 0.0

    def _read(self) -> None:
        found = self._directory.manifest()
        self.last_contact_at = self._clock.monotonic()
        previous = self.current.version if self.current else None
        if found is None or (previous is not None and found.version <= previous):
            return
        self.current = found
        event(
            logger,
            Event.MANIFEST_IN_FORCE,
            version=found.version,
            previous=previous,
            queues=len(found.queues),
            services=len(found.services),
        )


def has_recent_contact(watch: ManifestWatch, clock: Clock, age_s: float) -> bool:
    """Return whether the store has answered a watch within `age_s` seconds."""
    return clock.monotonic() - watch.last_contact_at <= age_s
