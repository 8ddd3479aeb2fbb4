"""Encode errors as problem details (RFC 9457)."""

from dataclasses import dataclass
from http import HTTPStatus

import msgspec

from gypsumplank.errors import Fault, FaultsError, GypsumplankError
from gypsumplank.protocol.exchange import Refusal

MEDIA_TYPE = "application/problem+json"


@dataclass(frozen=True)
class Problem:
    """Represent the members of a problem document."""

    title: str
    status: int
    code: str
    detail: str = ""
    outcome: str = ""
    faults: tuple[Fault, ...] = ()


def from_refusal(refusal: Refusal) -> Problem:
    """Return the problem document that reports a refusal to a caller."""
    title = HTTPStatus(refusal.status).phrase
    return Problem(title, refusal.status, refusal.code, refusal.detail, refusal.outcome.value)


def from_error(exc: GypsumplankError) -> Problem:
    """Return the problem document that reports an error to an operator."""
    faults = exc.faults if isinstance(exc, FaultsError) else ()
    return Problem(HTTPStatus(exc.status).phrase, exc.status, exc.code, exc.detail, "", faults)


def encode_problem(problem: Problem) -> bytes:
    """Return the problem document as JSON."""
    return msgspec.json.encode(problem)
