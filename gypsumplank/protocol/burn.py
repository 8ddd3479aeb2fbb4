"""Classify requests against a service's objective and define the error budget report."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from gypsumplank.protocol.exchange import EndpointResponse, Outcome, Refusal, Reply

MIN_SERVER_ERROR_STATUS = 500


class Result(StrEnum):
    """List how a request is counted: on time, or by what made it spend error budget."""

    ON_TIME = "on-time"
    LATE = "late"
    ABANDONED = "abandoned"
    FLOOD = "flood"
    WAVE = "wave"
    ENDPOINT = "endpoint"
    STORE = "store"
    REFUSED = "refused"


CALLER_FAULT_CODES = frozenset(
    {"idempotency-key-in-use", "idempotency-key-reused", "request-invalid", "service-unknown"}
)
RESULT_BY_CODE: Mapping[str, Result] = {
    "answer-late": Result.LATE,
    "answer-not-kept": Result.STORE,
    "claim-unavailable": Result.STORE,
    "deadline-unreachable": Result.FLOOD,
    "lease-lost": Result.STORE,
    "no-endpoint": Result.FLOOD,
    "queue-full": Result.FLOOD,
    "state-unavailable": Result.STORE,
    "state-unknown": Result.STORE,
}


@dataclass(frozen=True)
class CompletedRequest:
    """Represent how one request of a caller ended; `service` is empty if there is none."""

    service: str
    reply: Reply
    duration_s: float
    late: bool = False
    abandoned: bool = False

    @property
    def outcome(self) -> Outcome:
        """Return the outcome that was reported to the caller."""
        return Outcome.FINISHED if isinstance(self.reply, EndpointResponse) else self.reply.outcome


def classify_request(finish: CompletedRequest) -> Result | None:
    """Return how a request is counted; None if only the caller was at fault."""
    if finish.abandoned:
        return Result.ABANDONED
    if isinstance(finish.reply, Refusal):
        return _classify_refusal(finish.reply)
    if finish.reply.status >= MIN_SERVER_ERROR_STATUS:
        return Result.ENDPOINT
    return Result.LATE if finish.late else Result.ON_TIME


def _classify_refusal(refusal: Refusal) -> Result | None:
    if refusal.code in CALLER_FAULT_CODES:
        return None
    if refusal.code == "deadline-passed":
        return Result.FLOOD if refusal.outcome is Outcome.NOT_RUN else Result.ENDPOINT
    if refusal.code.startswith("endpoint-"):
        return Result.ENDPOINT
    return RESULT_BY_CODE.get(refusal.code, Result.REFUSED)


Counts = Mapping[str, Mapping[Result, int]]


@dataclass(frozen=True)
class RevisionAdvance:
    """Represent when a daemon put the revisions after `after` up to `revision` in force.

    `at` is in seconds since the epoch.
    """

    after: int
    revision: int
    at: float


@dataclass(frozen=True)
class BurnRow:
    """Represent the counts of one daemon process in one time bucket.

    `bucket` is the bucket's start in seconds since the epoch; `writer` identifies the process, so
    that a replaced daemon writes rows of its own.
    """

    bucket: int
    writer: str
    counts: Counts = field(default_factory=dict)
    advances: tuple[RevisionAdvance, ...] = ()
    moves: int = 0


@dataclass(frozen=True)
class WindowBurn:
    """Report how fast a service spent its error budget; a rate of 1 spends it exactly."""

    window_s: int
    total: int
    on_time: int
    burn_rate: float
    spent: Mapping[Result, int]


@dataclass(frozen=True)
class ServiceBurn:
    """Report one service's results against its objective."""

    service: str
    target: float
    windows: tuple[WindowBurn, ...]


@dataclass(frozen=True)
class FleetMeasures:
    """Represent the four measures of the fleet; None if there was nothing to measure.

    Shares are 0 to 1. `buffer_share` is the share of all hosts that serve beyond the availability
    budgets or belong to spare pools; `flood_kept` is the on-time share of services that were not
    overloaded while another service was.
    """

    buffer_share: float | None
    rollout_median_s: float | None
    rollout_longest_s: float | None
    moves: int
    flood_kept: float | None


@dataclass(frozen=True)
class BurnReport:
    """Report all services; not `complete` if only this daemon's own counts were available."""

    at: float
    complete: bool
    writers: int
    services: tuple[ServiceBurn, ...]
    measures: FleetMeasures
