"""Send a request to an endpoint, with retries, and return exactly one reply."""

import logging
import random
import time
from collections.abc import Callable
from typing import Protocol

from gypsumplank.coordination.endpoint import EndpointClient
from gypsumplank.coordination.outcome import combine_outcomes, may_retry, refusal_of
from gypsumplank.coordination.retry import RetryPolicy, ServiceRetryBudgets
from gypsumplank.coordination.slot import SlotTracker
from gypsumplank.errors import DeadlinePassedError, LateAnswerError, LeaseLostError
from gypsumplank.log import Event, event
from gypsumplank.protocol.exchange import EndpointResponse, Outcome, Refusal, Reply, Request
from gypsumplank.state.clock import Clock
from gypsumplank.state.view import View

RETRY_AFTER_S = 1

# Returns whether a request may still be sent; called right before each attempt.
SendGuard = Callable[[], bool]
# Sends a request and returns its reply.
Send = Callable[[Request, SendGuard], Reply]

logger = logging.getLogger(__name__)


class IdempotencyHandler(Protocol):
    """Run each request with an idempotency key at most once."""

    def handle(self, req: Request, send: Send) -> Reply:
        """Return the first reply to the request's key, or a refusal; never raise."""


def allow_always() -> bool:
    """Allow every attempt, for requests without an idempotency key."""
    return True


class Dispatcher:
    """Dispatch requests to serving hosts of the current view."""

    def __init__(
        self,
        view: Callable[[], View],
        endpoints: EndpointClient,
        slots: SlotTracker,
        clock: Clock,
        retry: RetryPolicy | None = None,
        idempotency: IdempotencyHandler | None = None,
    ) -> None:
        self._view = view
        self._endpoints = endpoints
        self._slots = slots
        self._clock = clock
        self._retry = retry or RetryPolicy(ServiceRetryBudgets(), random.Random(), time.sleep)
        self._idempotency = idempotency

    def handle(self, req: Request) -> Reply:
        """Return the endpoint's response, or a refusal with the outcome; never raise."""
        try:
            return self._dispatch(req)
        except Exception as exc:  # noqa: BLE001
            refusal = refusal_of(exc)
            _log_failure(req, "", refusal)
            return refusal

    def _dispatch(self, req: Request) -> Reply:
        if req.service not in self._view().services:
            return Refusal("service-unknown", Outcome.NOT_RUN, 404, f"no service {req.service!r}")
        if self._remaining_s(req) <= 0:
            return refusal_of(DeadlinePassedError())
        if req.idempotency_key and self._idempotency is not None:
            return self._idempotency.handle(req, self.send_with_retries)
        return self.send_with_retries(req, allow_always)

    def send_with_retries(self, req: Request, guard: SendGuard) -> Reply:
        """Send to one host after another until one responds; check `guard` before each attempt."""
        self._retry.budgets.deposit(req.service)
        refusal = Refusal("no-endpoint", Outcome.NOT_RUN, 503, "", RETRY_AFTER_S)
        tried: list[str] = []
        while (host := self._acquire_host(req, tried)) is not None:
            tried.append(host)
            try:
                return self._send_to(host, req, guard)
            except Exception as exc:  # noqa: BLE001
                failure, outcome = exc, combine_outcomes(refusal.outcome, refusal_of(exc).outcome)
                refusal = refusal_of(exc, outcome)
                _log_failure(req, host, refusal)
            finally:
                self._slots.release(host)
            if not self._should_retry(failure, req, len(tried)):
                break
        return refusal

    def _acquire_host(self, req: Request, tried: list[str]) -> str | None:
        """Acquire a slot at a host not tried before, from the current view."""
        view = self._view()
        service = view.services.get(req.service)
        if service is None:
            return None
        serving = view.serving_hosts(req.pool or service.pool)
        return self._slots.acquire(view.hosts, [name for name in serving if name not in tried])

    def _send_to(self, host: str, req: Request, guard: SendGuard) -> EndpointResponse:
        address = self._view().hosts[host].address
        if not guard():
            raise LeaseLostError
        remaining_s = self._remaining_s(req)
        if remaining_s <= 0:
            raise DeadlinePassedError
        response = self._endpoints.send(address, req, remaining_s)
        if self._remaining_s(req) <= 0:
            raise LateAnswerError
        return response

    def _should_retry(self, failure: Exception, req: Request, attempts: int) -> bool:
        service = self._view().services.get(req.service)
        if service is None or not may_retry(failure, req, service):
            return False
        return self._retry.wait_for_retry(req.service, attempts, self._remaining_s(req))

    def _remaining_s(self, req: Request) -> float:
        return req.deadline - self._clock.monotonic()


def _log_failure(req: Request, host: str, refusal: Refusal) -> None:
    event(
        logger,
        Event.REQUEST_FAILED,
        logging.WARNING,
        request=req.id,
        service=req.service,
        host=host,
        code=refusal.code,
        outcome=refusal.outcome.value,
        detail=refusal.detail,
    )
