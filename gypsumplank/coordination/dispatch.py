"""Carry one request to an endpoint and return exactly one reply."""

import logging
from collections.abc import Callable

from gypsumplank.coordination.endpoint import EndpointClient
from gypsumplank.coordination.outcome import verdict_of, worse_of
from gypsumplank.coordination.slot import Slots
from gypsumplank.errors import EndpointError
from gypsumplank.log import Event, event
from gypsumplank.protocol.exchange import Answer, Outcome, Refusal, Reply, Request
from gypsumplank.protocol.spec import ServiceSpec
from gypsumplank.state.clock import Clock
from gypsumplank.state.view import View

MAX_TRIES = 3
RETRY_AFTER_S = 1

logger = logging.getLogger(__name__)


class Dispatcher:
    """Carry requests by the view in force."""

    def __init__(
        self, view: Callable[[], View], endpoints: EndpointClient, slots: Slots, clock: Clock
    ) -> None:
        self._view = view
        self._endpoints = endpoints
        self._slots = slots
        self._clock = clock

    def carry(self, req: Request) -> Reply:
        """Return the endpoint's answer, or a refusal that tells whether the request ran."""
        view = self._view()
        service = view.services.get(req.service)
        if service is None:
            return Refusal("service-unknown", Outcome.NOT_RUN, 404, f"no service {req.service!r}")
        refusal = Refusal("no-endpoint", Outcome.NOT_RUN, 503, "", RETRY_AFTER_S)
        for _ in range(MAX_TRIES):
            left = req.deadline - self._clock.monotonic()
            if left <= 0:
                return Refusal("deadline-passed", refusal.outcome, 504, refusal.detail)
            host = self._slots.acquire(view.hosts, view.serving_hosts(req.pool or service.pool))
            if host is None:
                return refusal
            try:
                return self._endpoints.send(view.hosts[host].address, req, left)
            except EndpointError as exc:
                verdict = verdict_of(exc)
                outcome = worse_of(refusal.outcome, verdict.outcome)
                refusal = Refusal(exc.code, outcome, exc.status, exc.detail, RETRY_AFTER_S)
                _log_failure(req, host, refusal)
                if not _may_retry(exc, req, service):
                    return refusal
            finally:
                self._slots.release(host)
        return refusal


def _may_retry(exc: EndpointError, req: Request, service: ServiceSpec) -> bool:
    verdict = verdict_of(exc)
    idempotent = req.idempotent or service.idempotent
    return verdict.retry_any or (idempotent and verdict.retry_idempotent)


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


def outcome_of(reply: Reply) -> Outcome:
    """Return the outcome that a reply tells the caller."""
    return Outcome.FINISHED if isinstance(reply, Answer) else reply.outcome
