"""Account for the memory that all connections of a process hold, and for the requests it refuses.

One ledger serves all listeners, since they share the memory of the machine.
"""

import logging
import sys
import threading
import time
from collections import Counter
from collections.abc import Callable, Hashable
from typing import Protocol

from opentelemetry.metrics import Observation

from gypsumplank.log import Event, event
from gypsumplank.metrics import Metrics
from gypsumplank.transport.bodybudget import (
    STALLED_S,
    Arrival,
    DropCause,
    Held,
    RefusalCause,
    RequestLimits,
    choose_slowest,
    excess_bytes,
)

# Refusals are summed up in one log line per period, seconds.
LOG_PERIOD_S = 10.0

logger = logging.getLogger("gypsumplank.requests")


class RequestSource(Hashable, Protocol):
    """Hold requests; a connection."""

    def held(self) -> Held:
        """Return what is held now."""

    def refuse(self, cause: RefusalCause) -> None:
        """Refuse the incomplete request in the thread that receives it."""


class RequestLedger:
    """Keep what each connection holds; choose whose incomplete request is refused."""

    def __init__(
        self, limits: RequestLimits, monotonic: Callable[[], float] = time.monotonic
    ) -> None:
        self.limits = limits
        self._monotonic = monotonic
        self._lock = threading.Lock()
        self._arrivals: dict[RequestSource, Arrival] = {}
        self._complete: dict[RequestSource, int] = {}
        self._replies: dict[RequestSource, int] = {}
        self._incomplete_bytes = 0
        self._complete_bytes = 0
        self._reply_bytes = 0
        self._dropped: Counter[DropCause] = Counter()
        self._unlogged_drops: Counter[DropCause] = Counter()
        self._refused: Counter[RefusalCause] = Counter()
        self._unlogged: Counter[RefusalCause] = Counter()
        self._logged_s = -LOG_PERIOD_S

    def update(self, source: RequestSource) -> list[RequestSource]:
        """Account for what a connection holds; return the connections to be refused."""
        now_s = self._monotonic()
        with self._lock:
            self._set(source, source.held(), now_s)
            excess = excess_bytes(self.limits, self._incomplete_bytes, self._complete_bytes)
            if excess <= 0:
                return []
            chosen = choose_slowest(self._arrivals.items(), excess, now_s)
            # Their bytes count as freed, so that no more connections are chosen meanwhile.
            for victim in chosen:
                self._incomplete_bytes -= self._arrivals.pop(victim).held_bytes
            return chosen

    def _set(self, source: RequestSource, held: Held, now_s: float) -> None:
        before = self._arrivals.pop(source, None)
        if before is not None:
            self._incomplete_bytes -= before.held_bytes
        if held.incomplete:
            since_s = before.since_s if before is not None else now_s
            self._arrivals[source] = Arrival(held.incomplete, since_s)
            self._incomplete_bytes += held.incomplete
        self._complete_bytes += held.complete - self._complete.pop(source, 0)
        if held.complete:
            self._complete[source] = held.complete
        self._reply_bytes += held.reply - self._replies.pop(source, 0)
        if held.reply:
            self._replies[source] = held.reply

    def settle(self, source: RequestSource) -> None:
        """Account for a connection that holds less than before."""
        with self._lock:
            self._set(source, source.held(), self._monotonic())

    def slowest(self, sources: set[RequestSource], count: int) -> list[RequestSource]:
        """Return those of these connections whose incomplete requests arrived slowest.

        A request that has only begun is not among them: it may be an ordinary one.
        """
        now_s = self._monotonic()
        with self._lock:
            arrivals = [
                (source, arrival)
                for source, arrival in self._arrivals.items()
                if source in sources and now_s - arrival.since_s > STALLED_S
            ]
        return choose_slowest(arrivals, sys.maxsize, now_s)[:count]

    def is_full(self) -> bool:
        """Return whether complete requests hold so much that new ones are refused."""
        return self._complete_bytes >= self.limits.complete_bytes

    def reply_excess(self) -> int:
        """Return how many bytes of replies are to be freed; 0 or less if none."""
        return self._reply_bytes - self.limits.reply_bytes

    def record_drop(self, cause: DropCause) -> None:
        """Count a reply that is dropped; log it with others at most once per period."""
        with self._lock:
            self._dropped[cause] += 1
            self._unlogged_drops[cause] += 1
        self.log_refusals()

    def record_refusal(self, cause: RefusalCause) -> None:
        """Count a refusal; log it with others at most once per period."""
        with self._lock:
            self._refused[cause] += 1
            self._unlogged[cause] += 1
        self.log_refusals()

    def log_refusals(self) -> None:
        """Log the refusals and dropped replies since the last lines, if the period is over."""
        now_s = self._monotonic()
        with self._lock:
            if now_s - self._logged_s < LOG_PERIOD_S or not (
                self._unlogged or self._unlogged_drops
            ):
                return
            self._logged_s = now_s
            refused = {cause.value: count for cause, count in sorted(self._unlogged.items())}
            dropped = {cause.value: count for cause, count in sorted(self._unlogged_drops.items())}
            self._unlogged.clear()
            self._unlogged_drops.clear()
            held_bytes = self._incomplete_bytes + self._complete_bytes
            reply_bytes = self._reply_bytes
        if refused:
            event(
                logger,
                Event.REQUESTS_REFUSED,
                logging.WARNING,
                causes=refused,
                held_bytes=held_bytes,
            )
        if dropped:
            event(
                logger,
                Event.REPLIES_DROPPED,
                logging.WARNING,
                causes=dropped,
                held_bytes=reply_bytes,
            )

    def add_metrics(self, metrics: Metrics) -> None:
        """Register the gauges of held bytes and of refusals."""
        metrics.gauge(
            "gypsumplank.requests.held",
            "By",
            "Memory held for requests, incomplete or not answered, and for replies not sent",
            lambda: [
                Observation(self._incomplete_bytes, {"state": "incomplete"}),
                Observation(self._complete_bytes, {"state": "complete"}),
                Observation(self._reply_bytes, {"state": "reply"}),
            ],
        )
        metrics.observable_counter(
            "gypsumplank.requests.refused",
            "Requests refused before they were run, by cause",
            lambda: [
                Observation(self._refused[cause], {"cause": cause.value}) for cause in RefusalCause
            ],
        )
        metrics.observable_counter(
            "gypsumplank.replies.dropped",
            "Replies dropped as their clients did not read them, by cause",
            lambda: [
                Observation(self._dropped[cause], {"cause": cause.value}) for cause in DropCause
            ],
        )
