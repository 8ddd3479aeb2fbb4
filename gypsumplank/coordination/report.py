"""Compute error-budget burn rates and the four fleet measures from all daemons' rows."""

import statistics
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from itertools import chain

from gypsumplank.coordination.burn import (
    BUCKET_S,
    RETENTION_S,
    BurnCounter,
    BurnWriter,
    bucket_start,
)
from gypsumplank.errors import StateError
from gypsumplank.protocol.burn import (
    BurnReport,
    BurnRow,
    FleetMeasures,
    Result,
    ServiceBurn,
    WindowBurn,
)
from gypsumplank.state.burn import BurnStore
from gypsumplank.state.clock import Clock
from gypsumplank.state.view import View

REPORT_WINDOWS_S = (300, 3600, 6 * 3600)
MAX_HISTORY_REVISIONS = 200


@dataclass(frozen=True)
class AcceptedRevision:
    """Store when a configuration revision was accepted, in seconds since the epoch."""

    revision: int
    accepted_at: float


def budget_spent_by(counts: Counter[Result]) -> dict[Result, int]:
    """Return the counts of all results that spend the error budget."""
    return {result: count for result, count in counts.items() if result is not Result.ON_TIME}


def window_burn(counts: Counter[Result], window_s: int, target: float) -> WindowBurn:
    """Return the burn rate of one window; a rate of 1 spends the error budget exactly."""
    total, on_time = counts.total(), counts[Result.ON_TIME]
    missed = 1 - on_time / total if total else 0.0
    allowed = 1 - target
    rate = missed / allowed if allowed > 0 else float(missed > 0)
    return WindowBurn(window_s, total, on_time, round(rate, 3), budget_spent_by(counts))


def service_burn(service: str, target: float, rows: Iterable[BurnRow], now: float) -> ServiceBurn:
    """Return the burn of one service over each window, rounded to whole buckets."""
    service_rows = [row for row in rows if service in row.counts]
    windows = []
    for window_s in REPORT_WINDOWS_S:
        since = bucket_start(now - window_s)
        counts: Counter[Result] = Counter()
        for row in service_rows:
            if row.bucket >= since:
                counts.update(row.counts[service])
        windows.append(window_burn(counts, window_s, target))
    return ServiceBurn(service, target, tuple(windows))


def rollout_times_s(rows: Iterable[BurnRow], accepted: Iterable[AcceptedRevision]) -> list[float]:
    """Return for each revision the seconds until the last daemon had it in force."""
    advances = tuple(chain.from_iterable(row.advances for row in rows))
    times = []
    for acceptance in accepted:
        delays_s = [
            advance.at - acceptance.accepted_at
            for advance in advances
            if advance.after < acceptance.revision <= advance.revision
        ]
        if delays_s:
            times.append(max(0.0, *delays_s))
    return times


def total_moves(rows: Iterable[BurnRow]) -> int:
    """Return the number of host moves; every daemon counts all, so a bucket's maximum is used."""
    moves_by_bucket: Counter[int] = Counter()
    for row in rows:
        moves_by_bucket[row.bucket] = max(moves_by_bucket[row.bucket], row.moves)
    return moves_by_bucket.total()


def on_time_share_in_floods(rows: Iterable[BurnRow]) -> float | None:
    """Return the on-time share of services not flooded, in buckets where another was flooded."""
    buckets: defaultdict[int, defaultdict[str, Counter[Result]]] = defaultdict(
        lambda: defaultdict(Counter)
    )
    for row in rows:
        for service, counts in row.counts.items():
            buckets[row.bucket][service].update(counts)
    others: Counter[Result] = Counter()
    for services in buckets.values():
        flooded = {name for name, counts in services.items() if counts[Result.FLOOD]}
        if flooded:
            for name in services.keys() - flooded:
                others.update(services[name])
    return others[Result.ON_TIME] / others.total() if others else None


def buffer_host_share(view: View) -> float | None:
    """Return the share of hosts that are spare or serve beyond the availability budget."""
    if not view.hosts:
        return None
    surplus = 0
    for name, pool in view.pools.items():
        serving, total = len(view.serving_hosts(name)), len(view.hosts_of(name))
        budget = pool.budget
        required = 0 if pool.spare else max(budget.min_in_service, budget.min_share * total)
        surplus += max(0, serving - int(required))
    return surplus / len(view.hosts)


def compute_measures(
    view: View, rows: Sequence[BurnRow], accepted: Iterable[AcceptedRevision]
) -> FleetMeasures:
    """Return buffer share, rollout times, host moves and on-time share during floods."""
    times = rollout_times_s(rows, accepted)
    return FleetMeasures(
        buffer_host_share(view),
        round(statistics.median(times), 3) if times else None,
        round(max(times), 3) if times else None,
        total_moves(rows),
        on_time_share_in_floods(rows),
    )


class BurnReporter:
    """Report on the fleet from the rows of all daemons, or this one's during a store outage."""

    def __init__(
        self,
        counter: BurnCounter,
        writer: BurnWriter,
        store: BurnStore,
        clock: Clock,
        view: Callable[[], View],
        history: Callable[[int], Iterable[AcceptedRevision]],
    ) -> None:
        self._counter = counter
        self._writer = writer
        self._store = store
        self._clock = clock
        self._view = view
        self._history = history

    def report(self) -> BurnReport:
        """Return the report; `complete` is set if it includes the rows of all daemons."""
        now, view = self._clock.wall(), self._view()
        self._writer.tick()
        try:
            rows: Sequence[BurnRow] = self._store.read(bucket_start(now) - RETENTION_S + BUCKET_S)
            accepted = tuple(self._history(view.revision - MAX_HISTORY_REVISIONS))
            complete = True
        except StateError:
            rows, accepted, complete = self._counter.rows(), (), False
        services = (
            service_burn(name, spec.objective.target, rows, now)
            for name, spec in sorted(view.services.items())
        )
        writers = len({row.writer for row in rows})
        measures = compute_measures(view, rows, accepted)
        return BurnReport(now, complete, writers, tuple(services), measures)
