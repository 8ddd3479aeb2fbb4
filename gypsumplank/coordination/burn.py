"""Count requests against their services' objectives and keep the counts."""

import logging
import threading
from collections import Counter
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field
from typing import Any

from gypsumplank.errors import StateError
from gypsumplank.log import Event, event
from gypsumplank.protocol.burn import Advance, BurnRow, Finish, Result, result_of
from gypsumplank.protocol.spec import AssignmentState
from gypsumplank.state.burn import BurnStore
from gypsumplank.state.clock import Clock
from gypsumplank.state.view import NO_REVISION, View

BUCKET_S = 300
KEPT_S = 7 * 3600
MAX_BUCKETS = KEPT_S // BUCKET_S
MAX_ADVANCES = 200
WRITE_PERIOD_S = 10.0

logger = logging.getLogger(__name__)


@dataclass
class Bucket:
    """Hold the counts of one bucket while they grow."""

    counts: dict[str, Counter[Result]] = field(default_factory=dict)
    advances: list[Advance] = field(default_factory=list)
    moves: int = 0
    dirty: bool = True


def bucket_of(wall: float) -> int:
    """Return the bucket of a time, both in seconds since the epoch."""
    return int(wall) // BUCKET_S * BUCKET_S


def count_moves(before: View, after: View) -> int:
    """Return how many hosts are in another pool than before."""
    touched = {*_touched(before.hosts, after.hosts)}
    touched |= {*_touched(before.assignments, after.assignments)}
    known = touched & before.hosts.keys() & after.hosts.keys()
    return sum(before.assignment(name).pool != after.assignment(name).pool for name in known)


def _touched(before: Mapping[str, Any], after: Mapping[str, Any]) -> Iterator[str]:
    yield from (name for name, spec in after.items() if before.get(name) is not spec)
    yield from before.keys() - after.keys()


class BurnCounter:
    """Count in buckets of time; the newest are kept, written or not, for a report in an outage."""

    def __init__(self, writer: str, view: Callable[[], View], clock: Clock) -> None:
        self._writer = writer
        self._view = view
        self._clock = clock
        self._lock = threading.Lock()
        self._buckets: dict[int, Bucket] = {}
        self._last = View()

    def count(self, finish: Finish) -> None:
        """Count how one request ended."""
        result = result_of(finish)
        if result is None or not finish.service:
            return
        if result is Result.FLOOD and self._in_maintenance(finish.service):
            result = Result.WAVE
        with self._lock:
            bucket = self._current()
            bucket.counts.setdefault(finish.service, Counter())[result] += 1

    def advance(self, view: View) -> None:
        """Take note of a view that came into force; the first after the start is no change."""
        last, self._last = self._last, view
        if last.revision == NO_REVISION:
            return
        moves = count_moves(last, view)
        with self._lock:
            bucket = self._current()
            bucket.moves += moves
            if len(bucket.advances) < MAX_ADVANCES:
                at = self._clock.wall()
                bucket.advances.append(Advance(last.revision, view.revision, at))

    def take(self) -> tuple[BurnRow, ...]:
        """Return the rows to write; what changes later is returned again."""
        with self._lock:
            dirty = [(start, held) for start, held in self._buckets.items() if held.dirty]
            for _, held in dirty:
                held.dirty = False
            return tuple(self._row(start, held) for start, held in dirty)

    def put_back(self, rows: tuple[BurnRow, ...]) -> None:
        """Take note that rows were not written, so that they are returned again."""
        with self._lock:
            for row in rows:
                if row.bucket in self._buckets:
                    self._buckets[row.bucket].dirty = True

    def rows(self) -> tuple[BurnRow, ...]:
        """Return all that is held here."""
        with self._lock:
            return tuple(self._row(start, held) for start, held in self._buckets.items())

    def _in_maintenance(self, service: str) -> bool:
        view = self._view()
        spec = view.services.get(service)
        if spec is None:
            return False
        states = (view.assignment(host).state for host in view.hosts_of(spec.pool))
        return any(state is not AssignmentState.SERVING for state in states)

    def _current(self) -> Bucket:
        start = bucket_of(self._clock.wall())
        bucket = self._buckets.setdefault(start, Bucket())
        bucket.dirty = True
        for old in sorted(self._buckets)[:-MAX_BUCKETS] if len(self._buckets) > MAX_BUCKETS else ():
            del self._buckets[old]
        return bucket

    def _row(self, start: int, held: Bucket) -> BurnRow:
        counts = {name: dict(counter) for name, counter in held.counts.items()}
        return BurnRow(start, self._writer, counts, tuple(held.advances), held.moves)


class BurnWriter:
    """Write the counts that have changed, and delete the fleet's rows that are too old."""

    def __init__(self, counter: BurnCounter, store: BurnStore, clock: Clock) -> None:
        self._counter = counter
        self._store = store
        self._clock = clock
        self._expired_at = 0

    def tick(self) -> None:
        """Write once; an outage leaves the counts here."""
        rows = self._counter.take()
        try:
            if rows:
                self._store.write(rows)
            self._expire()
        except StateError as exc:
            event(logger, Event.STATE_UNAVAILABLE, logging.WARNING, code=exc.code, step="burn")
            self._counter.put_back(rows)

    def _expire(self) -> None:
        now = bucket_of(self._clock.wall())
        if now > self._expired_at:
            self._store.expire(now - KEPT_S)
            self._expired_at = now
