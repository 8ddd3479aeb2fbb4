"""Count requests against their services' objectives and write the counts to the store."""

import logging
import threading
from collections import Counter
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field
from typing import Any

from gypsumplank.errors import StateError
from gypsumplank.log import Event, event
from gypsumplank.protocol.burn import (
    BurnRow,
    CompletedRequest,
    Result,
    RevisionAdvance,
    classify_request,
)
from gypsumplank.protocol.spec import AssignmentState
from gypsumplank.state.burn import BurnStore
from gypsumplank.state.clock import Clock
from gypsumplank.state.view import NO_REVISION, View

# Length of a time bucket.
BUCKET_S = 300
# Age at which buckets are deleted, in memory and in the store.
RETENTION_S = 7 * 3600
MAX_BUCKETS = RETENTION_S // BUCKET_S
MAX_ADVANCES_PER_BUCKET = 200
WRITE_INTERVAL_S = 10.0

logger = logging.getLogger(__name__)


@dataclass
class Bucket:
    """Accumulate the counts of one time bucket; `dirty` if not written since the last change."""

    counts: dict[str, Counter[Result]] = field(default_factory=dict)
    advances: list[RevisionAdvance] = field(default_factory=list)
    moves: int = 0
    dirty: bool = True


def bucket_start(wall_s: float) -> int:
    """Return the start of the bucket that contains a time, both in seconds since the epoch."""
    return int(wall_s) // BUCKET_S * BUCKET_S


def count_moved_hosts(before: View, after: View) -> int:
    """Return the number of hosts whose pool differs between two views."""
    changed = {*_changed_keys(before.hosts, after.hosts)}
    changed |= {*_changed_keys(before.assignments, after.assignments)}
    known = changed & before.hosts.keys() & after.hosts.keys()
    return sum(before.assignment(name).pool != after.assignment(name).pool for name in known)


def _changed_keys(before: Mapping[str, Any], after: Mapping[str, Any]) -> Iterator[str]:
    yield from (name for name, spec in after.items() if before.get(name) is not spec)
    yield from before.keys() - after.keys()


class BurnCounter:
    """Count request results, configuration advances and host moves in time buckets.

    The newest buckets stay in memory, written or not, for reports during a store outage.
    """

    def __init__(self, writer: str, view: Callable[[], View], clock: Clock) -> None:
        self._writer = writer
        self._view = view
        self._clock = clock
        self._lock = threading.Lock()
        self._buckets: dict[int, Bucket] = {}
        self._last_view = View()

    def count(self, completed: CompletedRequest) -> None:
        """Count one request's result; FLOOD counts as WAVE unless all hosts of the pool serve."""
        result = classify_request(completed)
        if result is None or not completed.service:
            return
        if result is Result.FLOOD and self._has_host_out_of_service(completed.service):
            result = Result.WAVE
        with self._lock:
            bucket = self._current_bucket()
            bucket.counts.setdefault(completed.service, Counter())[result] += 1

    def record_view(self, view: View) -> None:
        """Record that a view came into force; the first one after the start is not a change."""
        previous, self._last_view = self._last_view, view
        if previous.revision == NO_REVISION:
            return
        moves = count_moved_hosts(previous, view)
        with self._lock:
            bucket = self._current_bucket()
            bucket.moves += moves
            if len(bucket.advances) < MAX_ADVANCES_PER_BUCKET:
                at = self._clock.wall()
                bucket.advances.append(RevisionAdvance(previous.revision, view.revision, at))

    def collect_dirty_rows(self) -> tuple[BurnRow, ...]:
        """Return the rows changed since the last call and mark them as clean."""
        with self._lock:
            dirty = [(start, bucket) for start, bucket in self._buckets.items() if bucket.dirty]
            for _, bucket in dirty:
                bucket.dirty = False
            return tuple(self._make_row(start, bucket) for start, bucket in dirty)

    def mark_dirty(self, rows: tuple[BurnRow, ...]) -> None:
        """Mark rows as dirty after a failed write."""
        with self._lock:
            for row in rows:
                if row.bucket in self._buckets:
                    self._buckets[row.bucket].dirty = True

    def rows(self) -> tuple[BurnRow, ...]:
        """Return all rows in memory."""
        with self._lock:
            return tuple(self._make_row(start, bucket) for start, bucket in self._buckets.items())

    def _has_host_out_of_service(self, service: str) -> bool:
        view = self._view()
        spec = view.services.get(service)
        if spec is None:
            return False
        states = (view.assignment(host).state for host in view.hosts_of(spec.pool))
        return any(state is not AssignmentState.SERVING for state in states)

    def _current_bucket(self) -> Bucket:
        start = bucket_start(self._clock.wall())
        bucket = self._buckets.setdefault(start, Bucket())
        bucket.dirty = True
        for old in sorted(self._buckets)[:-MAX_BUCKETS] if len(self._buckets) > MAX_BUCKETS else ():
            del self._buckets[old]
        return bucket

    def _make_row(self, start: int, bucket: Bucket) -> BurnRow:
        counts = {name: dict(counter) for name, counter in bucket.counts.items()}
        return BurnRow(start, self._writer, counts, tuple(bucket.advances), bucket.moves)


class BurnWriter:
    """Write changed counts periodically, and delete expired rows of all daemons."""

    def __init__(self, counter: BurnCounter, store: BurnStore, clock: Clock) -> None:
        self._counter = counter
        self._store = store
        self._clock = clock
        self._last_expiry_bucket = 0

    def tick(self) -> None:
        """Write changed rows once; a failed write is retried at the next tick."""
        rows = self._counter.collect_dirty_rows()
        try:
            if rows:
                self._store.write(rows)
            self._delete_expired()
        except StateError as exc:
            event(logger, Event.STATE_UNAVAILABLE, logging.WARNING, code=exc.code, step="burn")
            self._counter.mark_dirty(rows)

    def _delete_expired(self) -> None:
        now = bucket_start(self._clock.wall())
        if now > self._last_expiry_bucket:
            self._store.expire(now - RETENTION_S)
            self._last_expiry_bucket = now
