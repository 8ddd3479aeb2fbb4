"""Assemble the components that execute each idempotency key's request at most once."""

from collections.abc import Callable

from opentelemetry.metrics import Observation

from gypsumplank.coordination.claim import IdempotentExecutor
from gypsumplank.coordination.expiry import ClaimExpiry
from gypsumplank.coordination.heartbeat import Heartbeat
from gypsumplank.metrics import Metrics
from gypsumplank.settings import Settings
from gypsumplank.state.claim import ClaimStore
from gypsumplank.state.clock import Clock
from gypsumplank.state.objects import ObjectStore
from gypsumplank.state.table import Table
from gypsumplank.state.writer import BatchWriter

# Limit on commits of claims per second by all live daemons together.
FLEET_COMMITS_PER_S = 150
# Share of the caller threads that may wait for the store at once.
WAITING_THREAD_SHARE = 0.75


class ClaimComponents:
    """Create, start and stop the components that handle claims of idempotency keys."""

    def __init__(
        self, cfg: Settings, table: Table, objects: ObjectStore, clock: Clock, heartbeat: Heartbeat
    ) -> None:
        store = ClaimStore(table, objects)
        max_waiting = max(1, int(cfg.threads * WAITING_THREAD_SHARE))
        self._writer = BatchWriter(table, clock, _make_commit_interval(heartbeat))
        self.claims = IdempotentExecutor(store, self._writer, clock, heartbeat, max_waiting)
        self.expiry = ClaimExpiry(store, self._writer, clock, heartbeat, cfg.keep_claims_s)

    def add_gauges(self, metrics: Metrics) -> None:
        """Register a gauge of the claims whose outcome is not yet stored."""
        metrics.gauge(
            "gypsumplank.claims.unsettled",
            "{claim}",
            "Claims whose outcome waits for the platform",
            lambda: [Observation(self.claims.unsettled_count())],
        )

    def start(self) -> None:
        """Start the thread that commits claims."""
        self._writer.start()

    def close(self) -> None:
        """Store outstanding outcomes, commit queued changes and stop the commit thread."""
        self.claims.tick()
        self._writer.stop()


def _make_commit_interval(heartbeat: Heartbeat) -> Callable[[], float]:
    """Return a function giving the commit interval, in seconds, that FLEET_COMMITS_PER_S allows."""
    return lambda: max(1, len(heartbeat.live)) / FLEET_COMMITS_PER_S
