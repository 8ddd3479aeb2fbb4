"""Decide from a failure what the caller is told and whether another try is safe."""

from collections.abc import Mapping
from dataclasses import dataclass

from gypsumplank.errors import (
    AnswerNotKeptError,
    ClaimAbandonedError,
    ClaimUnavailableError,
    DeadlinePassedError,
    EndpointAnswerError,
    EndpointConnectError,
    EndpointLeavingError,
    EndpointResetError,
    EndpointTimeoutError,
    EndpointUnsentError,
    GypsumplankError,
    KeyInUseError,
    KeyReusedError,
    LateAnswerError,
    LeaseLostError,
    RequestInvalidError,
)
from gypsumplank.protocol.exchange import Outcome, Refusal, Request
from gypsumplank.protocol.spec import ServiceSpec

RETRY_AFTER_S = 1


@dataclass(frozen=True)
class Verdict:
    """Tell what a failure means: the outcome, and which requests may be tried again."""

    outcome: Outcome
    retry_any: bool
    retry_idempotent: bool


NOT_SENT = Verdict(Outcome.NOT_RUN, retry_any=True, retry_idempotent=True)
NOT_SENT_FINAL = Verdict(Outcome.NOT_RUN, retry_any=False, retry_idempotent=False)
MAY_HAVE_RUN = Verdict(Outcome.UNKNOWN, retry_any=False, retry_idempotent=True)
MAY_HAVE_RUN_FINAL = Verdict(Outcome.UNKNOWN, retry_any=False, retry_idempotent=False)

VERDICTS: Mapping[type[Exception], Verdict] = {
    EndpointConnectError: NOT_SENT,
    EndpointLeavingError: NOT_SENT,
    EndpointUnsentError: NOT_SENT,
    EndpointResetError: MAY_HAVE_RUN,
    EndpointAnswerError: MAY_HAVE_RUN,
    EndpointTimeoutError: MAY_HAVE_RUN_FINAL,
    LateAnswerError: MAY_HAVE_RUN_FINAL,
    DeadlinePassedError: NOT_SENT_FINAL,
    LeaseLostError: NOT_SENT_FINAL,
    RequestInvalidError: NOT_SENT_FINAL,
    KeyReusedError: NOT_SENT_FINAL,
    ClaimUnavailableError: NOT_SENT_FINAL,
    KeyInUseError: MAY_HAVE_RUN_FINAL,
    ClaimAbandonedError: MAY_HAVE_RUN_FINAL,
    AnswerNotKeptError: MAY_HAVE_RUN_FINAL,
}

HOPELESS = (RequestInvalidError, KeyReusedError, ClaimAbandonedError, AnswerNotKeptError)


def verdict_of(exc: Exception) -> Verdict:
    """Return the verdict on a failed try; what is not in the table may have run."""
    return VERDICTS.get(type(exc), MAY_HAVE_RUN_FINAL)


def may_retry(exc: Exception, req: Request, service: ServiceSpec) -> bool:
    """Tell whether another try is safe; with an idempotency key only if nothing was sent."""
    verdict = verdict_of(exc)
    idempotent = not req.idempotency_key and (req.idempotent or service.idempotent)
    return verdict.retry_any or (idempotent and verdict.retry_idempotent)


def refusal_of(exc: Exception, outcome: Outcome | None = None) -> Refusal:
    """Return what the caller is told, with the outcome of all tries or of this one alone."""
    error = exc if isinstance(exc, GypsumplankError) else GypsumplankError(type(exc).__name__)
    told = outcome or verdict_of(exc).outcome
    retry_after_s = 0 if isinstance(exc, HOPELESS) else RETRY_AFTER_S
    return Refusal(error.code, told, error.status, error.detail, retry_after_s)


def worse_of(one: Outcome, other: Outcome) -> Outcome:
    """Return the outcome of two tries; once unknown, it stays unknown."""
    return Outcome.UNKNOWN if Outcome.UNKNOWN in (one, other) else other
