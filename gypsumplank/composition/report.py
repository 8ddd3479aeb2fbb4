"""Assemble the components that count requests against objectives and report on them."""

from collections.abc import Callable, Iterable

from gypsumplank.coordination.burn import BurnCounter, BurnWriter
from gypsumplank.coordination.report import AcceptedRevision, BurnReporter
from gypsumplank.metrics import Metrics
from gypsumplank.protocol.burn import CompletedRequest
from gypsumplank.state.burn import BurnStore
from gypsumplank.state.clock import Clock
from gypsumplank.state.config import ConfigStore
from gypsumplank.state.table import Table
from gypsumplank.state.view import View

MICROSECONDS_PER_S = 1_000_000


class ReportComponents:
    """Create the components that count requests and report to operators."""

    def __init__(
        self,
        daemon: str,
        table: Table,
        config: ConfigStore,
        metrics: Metrics,
        view: Callable[[], View],
        clock: Clock,
    ) -> None:
        self._config = config
        self._metrics = metrics
        writer = f"{daemon}.{int(clock.wall() * MICROSECONDS_PER_S):x}"
        store = BurnStore(table)
        self.counter = BurnCounter(writer, view, clock)
        self.writer = BurnWriter(self.counter, store, clock)
        self.reporter = BurnReporter(
            self.counter, self.writer, store, clock, view, self._acceptances
        )

    def record_finish(self, finish: CompletedRequest) -> None:
        """Count one finished request in the metrics and the error budget counter."""
        self._metrics.record_request(finish.service, finish.outcome.value, finish.duration_s)
        self.counter.count(finish)

    def _acceptances(self, after: int) -> Iterable[AcceptedRevision]:
        entries = self._config.entries(max(after, 0))
        return (AcceptedRevision(entry.revision, entry.accepted_at) for entry in entries)
