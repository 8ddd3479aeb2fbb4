"""Export logged events as metrics: a counter per event and histograms of their durations."""

import logging
from collections import Counter
from collections.abc import Iterable
from functools import lru_cache

from opentelemetry.metrics import Observation

from gypsumplank.log import Event
from gypsumplank.metrics import Metrics

EVENT_NAMES = frozenset(event.value for event in Event)
MS_PER_S = 1000.0
MAX_CACHED_ATTRIBUTES = 1024


class EventCounter(logging.Handler):
    """Count log records by event and outcome, and record their `took_ms` in histograms.

    The counts are kept here and read when metrics are collected, as this costs less than an
    OpenTelemetry counter for each record.
    """

    def __init__(self, metrics: Metrics) -> None:
        super().__init__()
        self._counts: Counter[tuple[str, str]] = Counter()
        metrics.observable_counter(
            "gypsumplank.events", "Logged events, by event and outcome", self._observe
        )
        self._record_duration = metrics.histogram(
            "gypsumplank.event.duration", "Time that what ended with an event took, by event"
        )

    def _observe(self) -> Iterable[Observation]:
        self.acquire()
        try:
            counts = list(self._counts.items())
        finally:
            self.release()
        return [
            Observation(count, {"event": event, "outcome": outcome})
            for (event, outcome), count in counts
        ]

    def emit(self, record: logging.LogRecord) -> None:
        """Count one record; the outcome label takes a bounded set of values."""
        if record.msg not in EVENT_NAMES:
            return
        fields = record.__dict__
        outcome = fields.get("how") or fields.get("state") or fields.get("code") or ""
        self._counts[record.msg, str(outcome)] += 1
        took_ms = fields.get("took_ms", -1)
        if isinstance(took_ms, int) and took_ms >= 0:
            self._record_duration(took_ms / MS_PER_S, _duration_attributes(record.msg))


@lru_cache(MAX_CACHED_ATTRIBUTES)
def _duration_attributes(event: str) -> dict[str, str]:
    return {"event": event}
