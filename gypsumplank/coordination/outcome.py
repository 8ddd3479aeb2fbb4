"""Map failures to the refusal sent to the caller and to whether a retry is safe."""

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
class FailurePolicy:
    """Store the outcome of a failed attempt, and which requests may be retried after it."""

    outcome: Outcome
    retry_any: bool
    retry_idempotent: bool


NOT_SENT = FailurePolicy(Outcome.NOT_RUN, retry_any=True, retry_idempotent=True)
NOT_SENT_NO_RETRY = FailurePolicy(Outcome.NOT_RUN, retry_any=False, retry_idempotent=False)
MAY_HAVE_RUN = FailurePolicy(Outcome.UNKNOWN, retry_any=False, retry_idempotent=True)
MAY_HAVE_RUN_NO_RETRY = FailurePolicy(Outcome.UNKNOWN, retry_any=False, retry_idempotent=False)

FAILURE_POLICIES: Mapping[type[Exception], FailurePolicy] = {
    EndpointConnectError: NOT_SENT,
    EndpointLeavingError: NOT_SENT,
    EndpointUnsentError: NOT_SENT,
    EndpointResetError: MAY_HAVE_RUN,
    EndpointAnswerError: MAY_HAVE_RUN,
    EndpointTimeoutError: MAY_HAVE_RUN_NO_RETRY,
    LateAnswerError: MAY_HAVE_RUN_NO_RETRY,
    DeadlinePassedError: NOT_SENT_NO_RETRY,
    LeaseLostError: NOT_SENT_NO_RETRY,
    RequestInvalidError: NOT_SENT_NO_RETRY,
    KeyReusedError: NOT_SENT_NO_RETRY,
    ClaimUnavailableError: NOT_SENT_NO_RETRY,
    KeyInUseError: MAY_HAVE_RUN_NO_RETRY,
    ClaimAbandonedError: MAY_HAVE_RUN_NO_RETRY,
    AnswerNotKeptError: MAY_HAVE_RUN_NO_RETRY,
}

# Errors that a retry cannot resolve; their refusals have no Retry-After header.
NO_RETRY_AFTER_ERRORS = (
    RequestInvalidError,
    KeyReusedError,
    ClaimAbandonedError,
    AnswerNotKeptError,
)


def failure_policy_of(exc: Exception) -> FailurePolicy:
    """Return the policy for a failed attempt; unlisted errors count as possibly run."""
    return FAILURE_POLICIES.get(type(exc), MAY_HAVE_RUN_NO_RETRY)


def may_retry(exc: Exception, req: Request, service: ServiceSpec) -> bool:
    """Check whether a retry is safe; with an idempotency key, only if nothing was sent."""
    policy = failure_policy_of(exc)
    idempotent = not req.idempotency_key and (req.idempotent or service.idempotent)
    return policy.retry_any or (idempotent and policy.retry_idempotent)


def refusal_of(exc: Exception, outcome: Outcome | None = None) -> Refusal:
    """Return the refusal for a failure, with the given outcome or else that of the failure."""
    error = exc if isinstance(exc, GypsumplankError) else GypsumplankError(type(exc).__name__)
    reported = outcome or failure_policy_of(exc).outcome
    retry_after_s = 0 if isinstance(exc, NO_RETRY_AFTER_ERRORS) else RETRY_AFTER_S
    return Refusal(error.code, reported, error.status, error.detail, retry_after_s)


def combine_outcomes(earlier: Outcome, latest: Outcome) -> Outcome:
    """Return the outcome after two attempts; once unknown, it stays unknown."""
    return Outcome.UNKNOWN if Outcome.UNKNOWN in (earlier, latest) else latest
