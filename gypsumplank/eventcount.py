"""Export logged events as metrics: a counter per event and histograms of their durations."""

import logging

from gypsumplank.log import Event
from gypsumplank.metrics import Metrics

EVENT_NAMES = frozenset(event.value for event in Event)
MS_PER_S = 1000.0


class EventCounter(logging.Handler):
    """Count log records by event and outcome, and record their `took_ms` in histograms."""

    def __init__(self, metrics: Metrics) -> None:
        super().__init__()
        self._increment = metrics.counter(
            "gypsumplank.events", "Logged events, by event and outcome"
        )
        self._record_duration = metrics.histogram(
            "gypsumplank.event.duration", "Time that what ended with an event took, by event"
        )

    def emit(self, record: logging.LogRecord) -> None:
        """Count one record; the outcome label takes a bounded set of values."""
        if record.msg not in EVENT_NAMES:
            return
        fields = record.__dict__
        outcome = fields.get("how") or fields.get("state") or fields.get("code") or ""
        self._increment(1, {"event": record.msg, "outcome": str(outcome)})
        took_ms = fields.get("took_ms", -1)
        if isinstance(took_ms, int) and took_ms >= 0:
            self._record_duration(took_ms / MS_PER_S, {"event": record.msg})
