"""Carry one request to an endpoint and return exactly one reply."""

import logging
import random
import time
from collections.abc import Callable
from typing import Protocol

from gypsumplank.coordination.endpoint import EndpointClient
from gypsumplank.coordination.outcome import may_retry, refusal_of, worse_of
from gypsumplank.coordination.retry import RetryPolicy, ServiceBudgets
from gypsumplank.coordination.slot import Slots
from gypsumplank.errors import DeadlinePassedError, LateAnswerError, LeaseLostError
from gypsumplank.log import Event, event
from gypsumplank.protocol.exchange import Answer, Outcome, Refusal, Reply, Request
from gypsumplank.state.clock import Clock
from gypsumplank.state.view import View

RETRY_AFTER_S = 1

Guard = Callable[[], bool]
Send = Callable[[Request, Guard], Reply]

logger = logging.getLogger(__name__)


class Keyed(Protocol):
    """Run each idempotency key's request at most once."""

    def carry(self, req: Request, send: Send) -> Reply:
        """Return the first reply to the request's key; raise nothing."""


def always() -> bool:
    """Let every try go."""
    return True


class Dispatcher:
    """Carry requests by the view in force."""

    def __init__(
        self,
        view: Callable[[], View],
        endpoints: EndpointClient,
        slots: Slots,
        clock: Clock,
        retry: RetryPolicy | None = None,
        keyed: Keyed | None = None,
    ) -> None:
        self._view = view
        self._endpoints = endpoints
        self._slots = slots
        self._clock = clock
        self._retry = retry or RetryPolicy(ServiceBudgets(), random.Random(), time.sleep)
        self._keyed = keyed

    def carry(self, req: Request) -> Reply:
        """Return the endpoint's answer, or a refusal that tells whether the request ran."""
        try:
            return self._carry(req)
        except Exception as exc:  # noqa: BLE001
            refusal = refusal_of(exc)
            _log_failure(req, "", refusal)
            return refusal

    def _carry(self, req: Request) -> Reply:
        if req.service not in self._view().services:
            return Refusal("service-unknown", Outcome.NOT_RUN, 404, f"no service {req.service!r}")
        if self._left_s(req) <= 0:
            return refusal_of(DeadlinePassedError())
        if req.idempotency_key and self._keyed is not None:
            return self._keyed.carry(req, self.send)
        return self.send(req, always)

    def send(self, req: Request, guard: Guard) -> Reply:
        """Try hosts, each once, until one answers; `guard` must hold right before each try."""
        self._retry.budgets.earn(req.service)
        refusal = Refusal("no-endpoint", Outcome.NOT_RUN, 503, "", RETRY_AFTER_S)
        tried: list[str] = []
        while (host := self._acquire(req, tried)) is not None:
            tried.append(host)
            try:
                return self._send_to(host, req, guard)
            except Exception as exc:  # noqa: BLE001
                failure, outcome = exc, worse_of(refusal.outcome, refusal_of(exc).outcome)
                refusal = refusal_of(exc, outcome)
                _log_failure(req, host, refusal)
            finally:
                self._slots.release(host)
            if not self._tries_again(failure, req, len(tried)):
                break
        return refusal

    def _acquire(self, req: Request, tried: list[str]) -> str | None:
        """Take a slot by the newest view at a host that was not tried."""
        view = self._view()
        service = view.services.get(req.service)
        if service is None:
            return None
        serving = view.serving_hosts(req.pool or service.pool)
        return self._slots.acquire(view.hosts, [name for name in serving if name not in tried])

    def _send_to(self, host: str, req: Request, guard: Guard) -> Answer:
        address = self._view().hosts[host].address
        if not guard():
            raise LeaseLostError
        left = self._left_s(req)
        if left <= 0:
            raise DeadlinePassedError
        answer = self._endpoints.send(address, req, left)
        if self._left_s(req) <= 0:
            raise LateAnswerError
        return answer

    def _tries_again(self, failure: Exception, req: Request, tries: int) -> bool:
        service = self._view().services.get(req.service)
        if service is None or not may_retry(failure, req, service):
            return False
        return self._retry.allows(req.service, tries, self._left_s(req))

    def _left_s(self, req: Request) -> float:
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
