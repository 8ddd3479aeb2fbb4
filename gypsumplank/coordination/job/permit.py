"""Request and cache permits: an advice service decides which workers may run a step."""

import logging
from collections.abc import Callable, Mapping, Sequence
from concurrent.futures import Executor, ThreadPoolExecutor
from dataclasses import dataclass, field

from gypsumplank.coordination.job.port import Advisor
from gypsumplank.errors import AdviceError
from gypsumplank.log import Event, event
from gypsumplank.protocol.queue import AdvicePolicy
from gypsumplank.state.clock import Clock

# Workers per request; the response time grows with their number.
MAX_WORKERS_PER_REQUEST = 30
# Time that a request may take by the queue's policy, seconds; half of the call's timeout
# (ADVICE_TIMEOUT_S in composition/platform.py, 2 s).
MAX_REQUEST_S = 1.0
# Delay before the next request for a step that has permits, or whose request failed, seconds.
RETRY_DELAY_S = 0.5
# Time after which the workers that may not run a step are asked about again, seconds.
DENIAL_VALID_S = 30.0
# Time since a step was last ready after which no request is sent for it any more, seconds; longer
# than between two rounds.
WANTED_FOR_S = 1.0
# Interval at which steps that are not ready any more are dropped, and for how long they are kept,
# seconds.
CLEANUP_INTERVAL_S = 1.0
KEPT_FOR_S = 7.0
# Share of its validity for which a permit is used; the rest covers the delivery of a start.
VALIDITY_SHARE = 0.8

Post = Callable[[Callable[[], None]], None]

logger = logging.getLogger(__name__)


@dataclass(frozen=True)
class Permit:
    """Store a worker's permit and until when it is used, in monotonic seconds."""

    ticket: str
    valid_until: float


@dataclass
class StepPermits:
    """Store what is known of one step, and its request; times are monotonic seconds.

    `permits` has the workers that may run the step, also if their permits have run out, and
    `denied` those that may not, none of which was asked about before `denied_since`.
    """

    permits: dict[str, Permit] = field(default_factory=dict)
    denied: set[str] = field(default_factory=set)
    denied_since: float = 0.0
    wanted_at: float = 0.0
    request_pending: bool = False
    retry_at: float = 0.0

    def valid(self, now: float) -> dict[str, str]:
        """Return the permits that are valid, by worker."""
        return {
            worker: permit.ticket
            for worker, permit in self.permits.items()
            if now < permit.valid_until
        }

    def to_ask(self, workers: Sequence[str], now: float) -> list[str]:
        """Return the workers to ask about: those whose permits have run out, then unknown ones."""
        if self.denied and now >= self.denied_since + DENIAL_VALID_S:
            self.denied.clear()
        expired = [
            worker
            for worker in workers
            if worker in self.permits and now >= self.permits[worker].valid_until
        ]
        unknown = [
            worker for worker in workers if worker not in self.permits and worker not in self.denied
        ]
        return expired + unknown

    def record(self, asked: Sequence[str], found: Mapping[str, str], valid_until: float) -> None:
        """Note the answer to a request about workers."""
        self.permits.update((worker, Permit(found[worker], valid_until)) for worker in found)
        refused = [worker for worker in asked if worker not in found]
        for worker in refused:
            self.permits.pop(worker, None)
        self.denied.update(refused)


class PermitCache:
    """Cache the permits of all steps that need them.

    The service handles the requests of one machine one after another, also those that were given
    up, so that one is sent at a time. Steps that have permits wait with theirs until no other step
    does.
    """

    def __init__(
        self, advisor: Advisor, clock: Clock, post: Post, executor: Executor | None = None
    ) -> None:
        """Create the cache; `executor` runs one request at a time."""
        self._advisor = advisor
        self._clock = clock
        self._post = post
        self._steps: dict[str, StepPermits] = {}
        self._next_cleanup_at = 0.0
        self._pending = 0
        self._executor = executor or ThreadPoolExecutor(1, "advice")

    def get(self, step: str, workers: Sequence[str], advice: AdvicePolicy) -> Mapping[str, str]:
        """Return the valid permits of a ready step by worker, and request more if that may help.

        Workers that were not asked about are asked about next, as long as the step stays ready.
        """
        now = self._clock.monotonic()
        self._drop_unwanted(now)
        known = self._steps.setdefault(step, StepPermits())
        known.wanted_at = now
        valid = known.valid(now)
        may_ask = not known.request_pending and now >= known.retry_at
        if may_ask and not (valid and self._pending):
            asked = known.to_ask(workers, now)[: _workers_per_request(advice)]
            if asked:
                known.request_pending = True
                self._pending += 1
                self._executor.submit(self._request, step, known, asked, advice)
        return valid

    def _drop_unwanted(self, now: float) -> None:
        if now < self._next_cleanup_at:
            return
        self._next_cleanup_at = now + CLEANUP_INTERVAL_S
        self._steps = {
            step: known
            for step, known in self._steps.items()
            if known.request_pending or now < known.wanted_at + KEPT_FOR_S
        }

    def invalidate(self, step: str) -> None:
        """Discard the permits of a step."""
        self._steps.pop(step, None)

    def _request(
        self, step: str, known: StepPermits, asked: Sequence[str], advice: AdvicePolicy
    ) -> None:
        requested_at = self._clock.monotonic()
        found: Mapping[str, str] | None = None
        if requested_at <= known.wanted_at + WANTED_FOR_S:
            try:
                found = self._advisor.request_permits(step, asked)
            except AdviceError as exc:
                event(logger, Event.ADVICE_FAILED, logging.WARNING, step=step, code=exc.code)
            except Exception:
                logger.exception(Event.ACTOR_RESTARTED.value)
        valid_until = requested_at + advice.valid_ms / 1000 * VALIDITY_SHARE
        self._post(lambda: self._store_result(known, asked, found, valid_until))

    def _store_result(
        self,
        known: StepPermits,
        asked: Sequence[str],
        found: Mapping[str, str] | None,
        valid_until: float,
    ) -> None:
        now = self._clock.monotonic()
        known.request_pending = False
        self._pending -= 1
        if found is None:
            known.retry_at = now + RETRY_DELAY_S
            return
        if not known.denied:
            known.denied_since = now
        known.record(asked, {each: found[each] for each in asked if each in found}, valid_until)
        # Without any permit the next workers are asked about at once.
        known.retry_at = now + RETRY_DELAY_S if known.valid(now) else now


def _workers_per_request(advice: AdvicePolicy) -> int:
    """Return about how many workers one request may ask, so that its answer comes in time."""
    if not advice.period_ms:
        return MAX_WORKERS_PER_REQUEST
    fitting = (MAX_REQUEST_S * 1000 - advice.decide_ms) // advice.period_ms
    return int(max(1, min(MAX_WORKERS_PER_REQUEST, fitting)))
