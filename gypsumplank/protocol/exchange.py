"""Define a caller's request, its response and the outcome that is reported to the caller."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE"})
DEFAULT_URGENCY = 3

HEADER_REQUEST_ID = "X-Request-Id"
HEADER_TIMEOUT_MS = "Request-Timeout-Ms"
HEADER_IDEMPOTENCY_KEY = "Idempotency-Key"
HEADER_PRIORITY = "Priority"
HEADER_TEAM = "X-Team"


class Outcome(StrEnum):
    """List whether a request was run."""

    FINISHED = "finished"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class Request:
    """Represent a caller's request; `deadline` is in seconds of the monotonic clock.

    `pool` is the pool that granted it a slot; empty for the pool of its service.
    """

    id: str
    service: str
    method: str
    target: str
    deadline: float
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b""
    urgency: int = DEFAULT_URGENCY
    idempotency_key: str = ""
    team: str = ""
    pool: str = ""

    @property
    def idempotent(self) -> bool:
        """Return whether the method alone allows the request to be run twice."""
        return self.method in IDEMPOTENT_METHODS


@dataclass(frozen=True)
class EndpointResponse:
    """Represent an endpoint's complete response."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(frozen=True)
class Refusal:
    """Represent why a caller gets no response; `retry_after_s` is 0 if a retry will not help."""

    code: str
    outcome: Outcome
    status: int
    detail: str = ""
    retry_after_s: int = 0


Reply = EndpointResponse | Refusal
