"""Wire what runs each idempotency key's request at most once."""

from collections.abc import Callable

from opentelemetry.metrics import Observation

from gypsumplank.coordination.claim import Claims
from gypsumplank.coordination.expiry import Expiry
from gypsumplank.coordination.heartbeat import Heartbeat
from gypsumplank.metrics import Metrics
from gypsumplank.settings import Settings
from gypsumplank.state.claim import ClaimStore
from gypsumplank.state.clock import Clock
from gypsumplank.state.objects import ObjectStore
from gypsumplank.state.table import Table
from gypsumplank.state.writer import BatchWriter

WRITES_PER_S = 150
THREAD_SHARE = 0.75


class ClaimParts:
    """Hold the parts that concern claims."""

    def __init__(
        self, cfg: Settings, table: Table, objects: ObjectStore, clock: Clock, beat: Heartbeat
    ) -> None:
        store = ClaimStore(table, objects)
        waiting = max(1, int(cfg.threads * THREAD_SHARE))
        self._writer = BatchWriter(table, clock, _make_pace(beat))
        self.claims = Claims(store, self._writer, clock, beat, waiting)
        self.expiry = Expiry(store, self._writer, clock, beat, cfg.keep_claims_s)

    def add_gauges(self, metrics: Metrics) -> None:
        """Report the claims that wait for the platform."""
        metrics.gauge(
            "gypsumplank.claims.unsettled",
            "{claim}",
            "Claims whose outcome waits for the platform",
            lambda: [Observation(self.claims.unsettled())],
        )

    def start(self) -> None:
        """Begin to commit claims."""
        self._writer.start()

    def close(self) -> None:
        """Settle and commit what waits."""
        self.claims.tick()
        self._writer.stop()


def _make_pace(beat: Heartbeat) -> Callable[[], float]:
    """Return what tells the seconds between commits that keep all daemons within the writes."""
    return lambda: max(1, len(beat.live)) / WRITES_PER_S
