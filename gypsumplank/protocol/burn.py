"""Define how requests are counted against a service's objective, and the report on it."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from gypsumplank.protocol.exchange import Answer, Outcome, Refusal, Reply

SERVER_ERROR = 500


class Result(StrEnum):
    """Tell whether a request finished on time or what spent its part of the error budget."""

    ON_TIME = "on-time"
    LATE = "late"
    ABANDONED = "abandoned"
    FLOOD = "flood"
    WAVE = "wave"
    ENDPOINT = "endpoint"
    STORE = "store"
    REFUSED = "refused"


FAULTS_OF_CALLER = frozenset(
    {"idempotency-key-in-use", "idempotency-key-reused", "request-invalid", "service-unknown"}
)
RESULTS: Mapping[str, Result] = {
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
class Finish:
    """Tell how one request of a caller ended; `service` is empty where there is none."""

    service: str
    reply: Reply
    duration_s: float
    late: bool = False
    abandoned: bool = False

    @property
    def outcome(self) -> Outcome:
        """Return the outcome that the caller was told."""
        return Outcome.FINISHED if isinstance(self.reply, Answer) else self.reply.outcome


def result_of(finish: Finish) -> Result | None:
    """Return how a request counts; None where the caller alone was at fault."""
    if finish.abandoned:
        return Result.ABANDONED
    if isinstance(finish.reply, Refusal):
        return _result_of_refusal(finish.reply)
    if finish.reply.status >= SERVER_ERROR:
        return Result.ENDPOINT
    return Result.LATE if finish.late else Result.ON_TIME


def _result_of_refusal(refusal: Refusal) -> Result | None:
    if refusal.code in FAULTS_OF_CALLER:
        return None
    if refusal.code == "deadline-passed":
        return Result.FLOOD if refusal.outcome is Outcome.NOT_RUN else Result.ENDPOINT
    if refusal.code.startswith("endpoint-"):
        return Result.ENDPOINT
    return RESULTS.get(refusal.code, Result.REFUSED)


Counts = Mapping[str, Mapping[Result, int]]


@dataclass(frozen=True)
class Advance:
    """Tell when a daemon put the revisions after one up to another in force, wall seconds."""

    after: int
    revision: int
    at: float


@dataclass(frozen=True)
class BurnRow:
    """Hold all that one daemon process counted in one bucket of time.

    `bucket` is the bucket's start in seconds since the epoch; `writer` names the process, so
    that a replaced daemon writes rows of its own.
    """

    bucket: int
    writer: str
    counts: Counts = field(default_factory=dict)
    advances: tuple[Advance, ...] = ()
    moves: int = 0


@dataclass(frozen=True)
class WindowBurn:
    """Tell how fast a service spent its error budget; a rate of 1 spends it exactly."""

    window_s: int
    total: int
    on_time: int
    burn_rate: float
    spent: Mapping[Result, int]


@dataclass(frozen=True)
class ServiceBurn:
    """Tell of one service against its objective."""

    service: str
    target: float
    windows: tuple[WindowBurn, ...]


@dataclass(frozen=True)
class Measures:
    """Hold the four measures; None where nothing was there to measure.

    Shares are 0 to 1. `buffer_share` is of all hosts, those serving beyond what is promised and
    those of spare pools; `flood_kept` is the share on time of services that were not flooded
    while another was.
    """

    buffer_share: float | None
    rollout_median_s: float | None
    rollout_longest_s: float | None
    moves: int
    flood_kept: float | None


@dataclass(frozen=True)
class BurnReport:
    """Tell of all services; not `complete` where only this daemon's own counts were at hand."""

    at: float
    complete: bool
    writers: int
    services: tuple[ServiceBurn, ...]
    measures: Measures
