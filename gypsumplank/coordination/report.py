"""Work out the burn of every service and the four measures from all daemons' rows."""

import statistics
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from itertools import chain

from gypsumplank.coordination.burn import BUCKET_S, KEPT_S, BurnCounter, BurnWriter, bucket_of
from gypsumplank.errors import StateError
from gypsumplank.protocol.burn import (
    BurnReport,
    BurnRow,
    Measures,
    Result,
    ServiceBurn,
    WindowBurn,
)
from gypsumplank.state.burn import BurnStore
from gypsumplank.state.clock import Clock
from gypsumplank.state.view import View

WINDOWS_S = (300, 3600, 6 * 3600)
HISTORY_REVISIONS = 200


@dataclass(frozen=True)
class Acceptance:
    """Tell when a revision was accepted, in seconds since the epoch."""

    revision: int
    at: float


def spent_of(counts: Counter[Result]) -> dict[Result, int]:
    """Return what spent the error budget, without the requests on time."""
    return {result: count for result, count in counts.items() if result is not Result.ON_TIME}


def window_burn(counts: Counter[Result], window_s: int, target: float) -> WindowBurn:
    """Return the burn of one window from its counts."""
    total, on_time = counts.total(), counts[Result.ON_TIME]
    missed = 1 - on_time / total if total else 0.0
    allowed = 1 - target
    rate = missed / allowed if allowed > 0 else float(missed > 0)
    return WindowBurn(window_s, total, on_time, round(rate, 3), spent_of(counts))


def service_burn(service: str, target: float, rows: Iterable[BurnRow], now: float) -> ServiceBurn:
    """Return the burn of one service over every window, in whole buckets."""
    held = [row for row in rows if service in row.counts]
    windows = []
    for window_s in WINDOWS_S:
        since = bucket_of(now - window_s)
        counts: Counter[Result] = Counter()
        for row in held:
            if row.bucket >= since:
                counts.update(row.counts[service])
        windows.append(window_burn(counts, window_s, target))
    return ServiceBurn(service, target, tuple(windows))


def rollout_times(rows: Iterable[BurnRow], accepted: Iterable[Acceptance]) -> list[float]:
    """Return for each revision the seconds until it was in force at the last daemon."""
    advances = tuple(chain.from_iterable(row.advances for row in rows))
    times = []
    for one in accepted:
        held = [adv.at - one.at for adv in advances if adv.after < one.revision <= adv.revision]
        if held:
            times.append(max(0.0, *held))
    return times


def move_count(rows: Iterable[BurnRow]) -> int:
    """Return the moves: every daemon sees all, so the most of each bucket counts."""
    most: Counter[int] = Counter()
    for row in rows:
        most[row.bucket] = max(most[row.bucket], row.moves)
    return most.total()


def flood_kept(rows: Iterable[BurnRow]) -> float | None:
    """Return the share on time of services not flooded in buckets with a flood of another."""
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


def buffer_share(view: View) -> float | None:
    """Return the share of hosts that are spare or serve beyond what their pool promises."""
    if not view.hosts:
        return None
    beyond = 0
    for name, pool in view.pools.items():
        serving, held = len(view.serving_hosts(name)), len(view.hosts_of(name))
        budget = pool.budget
        promised = 0 if pool.spare else max(budget.min_in_service, budget.min_share * held)
        beyond += max(0, serving - int(promised))
    return beyond / len(view.hosts)


def measures_of(view: View, rows: Sequence[BurnRow], accepted: Iterable[Acceptance]) -> Measures:
    """Return the four measures."""
    times = rollout_times(rows, accepted)
    return Measures(
        buffer_share(view),
        round(statistics.median(times), 3) if times else None,
        round(max(times), 3) if times else None,
        move_count(rows),
        flood_kept(rows),
    )


class BurnReporter:
    """Report on the fleet from the rows of all daemons, and from its own in an outage."""

    def __init__(
        self,
        counter: BurnCounter,
        writer: BurnWriter,
        store: BurnStore,
        clock: Clock,
        view: Callable[[], View],
        history: Callable[[int], Iterable[Acceptance]],
    ) -> None:
        self._counter = counter
        self._writer = writer
        self._store = store
        self._clock = clock
        self._view = view
        self._history = history

    def report(self) -> BurnReport:
        """Return the report; `complete` tells whether the other daemons' rows are in it."""
        now, view = self._clock.wall(), self._view()
        self._writer.tick()
        try:
            rows: Sequence[BurnRow] = self._store.read(bucket_of(now) - KEPT_S + BUCKET_S)
            accepted = tuple(self._history(view.revision - HISTORY_REVISIONS))
            complete = True
        except StateError:
            rows, accepted, complete = self._counter.rows(), (), False
        services = (
            service_burn(name, spec.objective.target, rows, now)
            for name, spec in sorted(view.services.items())
        )
        writers = len({row.writer for row in rows})
        measures = measures_of(view, rows, accepted)
        return BurnReport(now, complete, writers, tuple(services), measures)
