"""Request and cache permits: an advice service decides which workers may run a step."""

import logging
from collections.abc import Callable, Mapping, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field

from gypsumplank.coordination.job.port import Advisor
from gypsumplank.errors import AdviceError
from gypsumplank.log import Event, event
from gypsumplank.state.clock import Clock

# Workers per request; the response time grows with their number.
MAX_WORKERS_PER_REQUEST = 30
# Concurrent requests; the service processes those from one machine one after another.
REQUEST_THREADS = 4
# Delay before the next request after a response or failure, seconds.
RETRY_DELAY_S = 0.5
# Interval at which the permits of steps that are not placed any more are dropped, seconds.
CLEANUP_INTERVAL_S = 1.0
# Share of its validity for which a permit is used; the rest covers the delivery of a start.
VALIDITY_SHARE = 0.8

Post = Callable[[Callable[[], None]], None]

logger = logging.getLogger(__name__)


@dataclass
class StepPermits:
    """Store the permits of one step and its request; times are monotonic seconds."""

    permits: Mapping[str, str] = field(default_factory=dict)
    valid_until: float = 0.0
    request_pending: bool = False
    retry_at: float = 0.0


class PermitCache:
    """Cache the permits of all steps that need them."""

    def __init__(self, advisor: Advisor, clock: Clock, post: Post) -> None:
        self._advisor = advisor
        self._clock = clock
        self._post = post
        self._steps: dict[str, StepPermits] = {}
        self._next_cleanup_at = 0.0
        self._executor = ThreadPoolExecutor(REQUEST_THREADS, "advice")

    def get(self, step: str, workers: Sequence[str], valid_s: float) -> Mapping[str, str]:
        """Return the valid permits of a step by worker; if there are none, request them.

        `valid_s` is the validity of new permits, in seconds.
        """
        now = self._clock.monotonic()
        self._drop_expired(now)
        known = self._steps.setdefault(step, StepPermits())
        if now < known.valid_until:
            return known.permits
        if not known.request_pending and now >= known.retry_at and workers:
            known.request_pending = True
            self._executor.submit(
                self._request, step, tuple(workers[:MAX_WORKERS_PER_REQUEST]), valid_s
            )
        return {}

    def _drop_expired(self, now: float) -> None:
        if now < self._next_cleanup_at:
            return
        self._next_cleanup_at = now + CLEANUP_INTERVAL_S
        self._steps = {
            step: known
            for step, known in self._steps.items()
            if known.request_pending or now < max(known.valid_until, known.retry_at)
        }

    def invalidate(self, step: str) -> None:
        """Discard the permits of a step."""
        self._steps.pop(step, None)

    def _request(self, step: str, workers: Sequence[str], valid_s: float) -> None:
        requested_at = self._clock.monotonic()
        found: Mapping[str, str] | None = None
        try:
            found = self._advisor.request_permits(step, workers)
        except AdviceError as exc:
            event(logger, Event.ADVICE_FAILED, logging.WARNING, step=step, code=exc.code)
        self._post(lambda: self._store_result(step, found, requested_at + valid_s * VALIDITY_SHARE))

    def _store_result(self, step: str, found: Mapping[str, str] | None, valid_until: float) -> None:
        known = self._steps.get(step)
        if known is None:
            return
        known.request_pending = False
        known.retry_at = self._clock.monotonic() + RETRY_DELAY_S
        if found is not None:
            known.permits, known.valid_until = found, valid_until
