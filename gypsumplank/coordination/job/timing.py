"""Record how long the leader's rounds take, and how far they and the lease's renewals are apart."""

from collections.abc import Callable
from dataclasses import dataclass

from gypsumplank.metrics import Metrics

RecordSeconds = Callable[[float], None]


def _ignore(_seconds: float) -> None:
    """Record nothing."""


@dataclass(frozen=True)
class LeaderTimings:
    """Store the functions that record times in seconds.

    `round_s` is the duration of a round, `round_gap_s` the time from the end of one to the start of
    the next, and `renewal_gap_s` the time between two renewals of the scheduler's lease.
    `unread_s` is for how long the oldest queued call has waited when a round begins.
    """

    round_s: RecordSeconds = _ignore
    round_gap_s: RecordSeconds = _ignore
    renewal_gap_s: RecordSeconds = _ignore
    unread_s: RecordSeconds = _ignore


def create_leader_timings(metrics: Metrics) -> LeaderTimings:
    """Create the histograms of the leader."""

    def create(name: str, description: str) -> RecordSeconds:
        record = metrics.histogram(name, description)
        return lambda seconds: record(seconds, {})

    return LeaderTimings(
        create("gypsumplank.scheduler.round", "Duration of a round of the scheduler"),
        create("gypsumplank.scheduler.round.gap", "Time between two rounds of the scheduler"),
        create(
            "gypsumplank.lease.renewal.gap", "Time between two renewals of the scheduler's lease"
        ),
        create(
            "gypsumplank.scheduler.unread",
            "Time for which the oldest report or result waits as a round of the scheduler begins",
        ),
    )
