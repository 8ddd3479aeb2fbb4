"""Export what becomes of submissions as metrics, for operators."""

from collections.abc import Callable, Iterator

from opentelemetry.metrics import Observation

from gypsumplank.coordination.job.backoff import PartitionBackoff
from gypsumplank.coordination.job.intakestats import IntakeStats
from gypsumplank.metrics import Metrics
from gypsumplank.state.clock import Clock


def add_intake_metrics(
    metrics: Metrics,
    stats: IntakeStats,
    backoff: PartitionBackoff,
    is_leader: Callable[[], bool],
    clock: Clock,
) -> None:
    """Create the counters and gauges of a daemon that reads submissions."""
    _add_counters(metrics, stats)

    def observe_oldest() -> Iterator[Observation]:
        if is_leader():
            now_ms, oldest_ms = clock.wall() * 1000, stats.oldest_ms
            yield Observation(0.0 if oldest_ms is None else max(0.0, now_ms - oldest_ms) / 1000)

    metrics.gauge(
        "gypsumplank.intake.oldest.age",
        "s",
        "Age of the oldest submission whose job the leader has not stored yet; 0 if there is none",
        observe_oldest,
    )
    metrics.gauge(
        "gypsumplank.intake.backoff",
        "s",
        "Time between this daemon's submissions to a partition that throttles",
        lambda: [
            Observation(spacing_s, {"partition": partition})
            for partition, spacing_s in backoff.spacings().items()
        ],
    )


def _add_counters(metrics: Metrics, stats: IntakeStats) -> None:
    metrics.observable_counter(
        "gypsumplank.intake.submissions",
        "Submissions that this daemon tried to store, by outcome",
        lambda: [
            Observation(count, {"outcome": outcome.value})
            for outcome, count in stats.submissions().items()
        ],
    )
    metrics.observable_counter(
        "gypsumplank.intake.adoptions",
        "Submissions whose jobs this daemon adopted as the leader",
        lambda: [Observation(stats.adoptions)],
    )
    metrics.observable_counter(
        "gypsumplank.intake.removals",
        "Submissions that this daemon removed as the leader, as their jobs are stored",
        lambda: [Observation(stats.removals)],
    )
