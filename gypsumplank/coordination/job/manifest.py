"""Keep the newest manifest in force; its version never decreases within a process."""

import logging
from collections.abc import Callable

from gypsumplank.coordination.job.freshness import (
    ConfirmedManifest,
    KeyPolicy,
    ManifestFreshness,
    ReadOutcome,
)
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
# Pairs of accounts with the same keys that are logged for one version.
MAX_LOGGED_SHARED = 20

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
        policy: Callable[[], KeyPolicy] = KeyPolicy,
    ) -> None:
        super().__init__("manifest", 0.0)
        self._directory = directory
        self._feed = feed
        self._table = table
        self._clock = clock
        self._after = 0
        self._next_read_at = 0.0
        self._policy = policy
        self._freshness = ManifestFreshness()
        self._last_outcome = ReadOutcome.CONFIRMED
        self.last_contact_at = -1e9

    @property
    def in_force(self) -> ConfirmedManifest | None:
        """Return the manifest in force, and when it was confirmed."""
        return self._freshness.in_force

    @property
    def current(self) -> Manifest | None:
        """Return the manifest in force."""
        confirmed = self._freshness.in_force
        return confirmed.manifest if confirmed else None

    def age_s(self) -> float | None:
        """Return for how long the manifest in force has not been confirmed, None without one."""
        confirmed = self._freshness.in_force
        return self._clock.monotonic() - confirmed.confirmed_at if confirmed else None

    def step(self) -> None:
        """Read the manifest if a read is due, then wait for a change."""
        policy = self._policy()
        now = self._clock.monotonic()
        if now >= self._next_read_at:
            self._read()
            self._next_read_at = now + policy.limit_interval_s(FULL_READ_INTERVAL_S)
        wait_s = FEED_LONG_POLL_S
        if policy.strict_revoke:
            # A feed call that outlasts the interval would delay the next confirmation.
            wait_s = min(wait_s, max(0.0, self._next_read_at - self._clock.monotonic()))
        try:
            changes = self._feed.changes(self._table, self._after, wait_s)
        except StateHistoryLostError as exc:
            self._after = exc.newest
            self._next_read_at = 0.0
            return
        self.last_contact_at = self._clock.monotonic()
        self._after = changes.version
        if changes.rows or changes.deleted_keys:
            self._next_read_at = 0.0

    def _read(self) -> None:
        sent_at = self._clock.monotonic()
        found = self._directory.manifest()
        self.last_contact_at = self._clock.monotonic()
        previous = self.current
        outcome = self._freshness.record_read(found, sent_at)
        if outcome is ReadOutcome.IN_FORCE:
            self._log_in_force(previous)
        elif previous and outcome not in (ReadOutcome.CONFIRMED, self._last_outcome):
            event(
                logger,
                Event.MANIFEST_UNCONFIRMED,
                logging.WARNING,
                how=outcome.value,
                version=previous.version,
                found=found.version if found else None,
            )
        self._last_outcome = outcome

    def _log_in_force(self, previous: Manifest | None) -> None:
        confirmed = self.in_force
        if confirmed is None:
            return
        found = confirmed.manifest
        event(
            logger,
            Event.MANIFEST_IN_FORCE,
            version=found.version,
            previous=previous.version if previous else None,
            queues=len(found.queues),
            services=len(found.services),
            accounts=None if found.accounts is None else len(found.accounts),
        )
        for shared in confirmed.keys.shared[:MAX_LOGGED_SHARED]:
            event(
                logger,
                Event.KEY_SHARED,
                logging.WARNING,
                version=found.version,
                account=shared.account,
                other=shared.other,
                keys=shared.keys,
                pairs=len(confirmed.keys.shared),
            )


def has_recent_contact(watch: ManifestWatch, clock: Clock, age_s: float) -> bool:
    """Return whether the store has answered a watch within `age_s` seconds."""
    return clock.monotonic() - watch.last_contact_at <= age_s
