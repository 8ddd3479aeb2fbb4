"""Decide from a failure what the caller is told and whether another try is safe."""

from collections.abc import Mapping
from dataclasses import dataclass

from gypsumplank.errors import (
    EndpointAnswerError,
    EndpointConnectError,
    EndpointError,
    EndpointLeavingError,
    EndpointResetError,
    EndpointTimeoutError,
)
from gypsumplank.protocol.exchange import Outcome


@dataclass(frozen=True)
class Verdict:
    """Tell what a failure means: the outcome, and which requests may be tried again."""

    outcome: Outcome
    retry_any: bool
    retry_idempotent: bool


VERDICTS: Mapping[type[EndpointError], Verdict] = {
    EndpointConnectError: Verdict(Outcome.NOT_RUN, retry_any=True, retry_idempotent=True),
    EndpointLeavingError: Verdict(Outcome.NOT_RUN, retry_any=True, retry_idempotent=True),
    EndpointResetError: Verdict(Outcome.UNKNOWN, retry_any=False, retry_idempotent=True),
    EndpointTimeoutError: Verdict(Outcome.UNKNOWN, retry_any=False, retry_idempotent=False),
    EndpointAnswerError: Verdict(Outcome.UNKNOWN, retry_any=False, retry_idempotent=True),
}


def verdict_of(exc: EndpointError) -> Verdict:
    """Return the verdict on an endpoint's failure."""
    return VERDICTS[type(exc)]


def worse_of(one: Outcome, other: Outcome) -> Outcome:
    """Return the outcome of two tries; once unknown, it stays unknown."""
    return Outcome.UNKNOWN if Outcome.UNKNOWN in (one, other) else other
