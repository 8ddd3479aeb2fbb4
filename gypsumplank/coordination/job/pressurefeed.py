"""Publish the leader's measurement of the load, and follow it on every daemon."""

import logging
import random
import threading
from collections.abc import Callable, Iterable

import msgspec

from gypsumplank.coordination.job.pressure import MeasureTimes, Pressure, measure_pressure
from gypsumplank.coordination.job.rejection import find_rejection
from gypsumplank.coordination.job.scheduler import Scheduler
from gypsumplank.coordination.job.watch import PeriodicThread
from gypsumplank.errors import EntryInvalidError, GypsumplankError, StateHistoryLostError
from gypsumplank.log import Event, event
from gypsumplank.protocol.decoder import decode_json
from gypsumplank.protocol.job import JobDefinition
from gypsumplank.protocol.queue import Manifest, Queue
from gypsumplank.state.clock import ClockRange
from gypsumplank.state.feed import ChangeFeed
from gypsumplank.state.table import Row, Table, Txn, Write

TABLE_PRESSURE = "pressure"
KEY_PRESSURE = "now"
# Interval between measurements, seconds.
PUBLISH_INTERVAL_S = 0.5
# Time after which an idle thread looks whether it is closed, seconds.
IDLE_WAIT_S = 2.0
# Longest wait of one call to the change feed, seconds; the row changes only under pressure.
FEED_LONG_POLL_S = 5.0

logger = logging.getLogger(__name__)


class PressurePublisher(PeriodicThread):
    """Measure the load in the scheduler's thread, and write it to the store in another.

    The row is written while there is pressure, and once more when there is none.
    """

    def __init__(
        self,
        table: Table,
        store_clock: Callable[[], ClockRange],
    ) -> None:
        super().__init__("pressure", 0.0)
        self._table = table
        self._store_clock = store_clock
        self._has_measured = threading.Event()
        self._next_at = 0.0
        self._measured: Pressure | None = None
        self._published = Pressure()

    def measure(self, scheduler: Scheduler, manifest: Manifest | None, now: float) -> None:
        """Measure the load if that is due; only manifests with client accounts ask for it."""
        if manifest is None or manifest.accounts is None or now < self._next_at:
            return
        self._next_at = now + PUBLISH_INTERVAL_S
        self._measured = measure_pressure(
            scheduler.workload.jobs.values(),
            scheduler.instances.values(),
            MeasureTimes(now, scheduler.wall_ms(), self._store_clock().earliest_ms),
        )
        self._has_measured.set()

    def step(self) -> None:
        """Wait for a measurement and write it; raise StateError."""
        if not self._has_measured.wait(IDLE_WAIT_S):
            return
        self._has_measured.clear()
        measured, self._measured = self._measured, None
        if measured is None or not (measured.is_high or self._published.is_high):
            return
        write = Write(TABLE_PRESSURE, KEY_PRESSURE, msgspec.json.encode(measured))
        self._table.commit(Txn((), (write,)))
        self._published = measured


class PressureWatch(PeriodicThread):
    """Follow the published load, and decide on new jobs by it."""

    def __init__(
        self,
        table: Table,
        feed: ChangeFeed,
        store_clock: Callable[[], ClockRange],
        manifest: Callable[[], Manifest | None],
        rng: random.Random,
    ) -> None:
        super().__init__("pressure-watch", 0.0)
        self._table = table
        self._feed = feed
        self._store_clock = store_clock
        self._manifest = manifest
        self._rng = rng
        self._lock = threading.Lock()
        self._after = 0
        self._current = Pressure()

    def step(self) -> None:
        """Wait for a change of the row; raise StateError."""
        manifest = self._manifest()
        if manifest is None or manifest.accounts is None:
            self.wait(IDLE_WAIT_S)
            return
        try:
            changes = self._feed.changes(TABLE_PRESSURE, self._after, FEED_LONG_POLL_S)
        except StateHistoryLostError as exc:
            self._after = exc.newest
            row = self._table.get(TABLE_PRESSURE, KEY_PRESSURE)
            self._apply([row] if row else [])
            return
        self._after = changes.version
        self._apply(changes.rows)

    def _apply(self, rows: Iterable[Row]) -> None:
        for row in rows:
            try:
                self._current = decode_json(row.value, Pressure)
            except EntryInvalidError as exc:
                event(
                    logger,
                    Event.ENTRY_DROPPED,
                    logging.WARNING,
                    key=row.key,
                    code=exc.code,
                    detail=exc.detail,
                )

    def find_rejection(
        self, queue: Queue, order: JobDefinition, account: str
    ) -> GypsumplankError | None:
        """Return the error that rejects a new job, or None if it is to be stored."""
        manifest, pressure = self._manifest(), self._current
        if manifest is None or manifest.accounts is None or not pressure.is_high:
            return None
        age_ms = self._store_clock().latest_ms - pressure.at_ms
        found = manifest.find_account(account)
        with self._lock:
            return find_rejection(queue.service, order, found, pressure, age_ms, self._rng)
