"""Follow, read and remove submissions beside the scheduler's thread, in threads of one term.

Answers a store that answers slowly or loses its history: neither delays the scheduler's rounds.
"""

import threading
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from gypsumplank.coordination.job.adoption import Adoption, Removal
from gypsumplank.coordination.job.intakestats import IntakeStats
from gypsumplank.coordination.job.watch import FEED_LONG_POLL_S, PeriodicThread
from gypsumplank.coordination.job.workload import UNKNOWN_VERSION, Workload
from gypsumplank.errors import StateConflictError, StateError, StateHistoryLostError
from gypsumplank.state.clock import Clock
from gypsumplank.state.feed import ChangeFeed
from gypsumplank.state.intake import TABLE_INTAKE, IntakeStore
from gypsumplank.state.table import Row

# Interval between full reads, in case the feed misses changes, seconds; its history is 20 s.
FULL_READ_INTERVAL_S = 10.0
# Interval between removals of all submissions that can be removed, seconds; a job that has started
# is still counted as pending for up to two intervals.
REMOVAL_INTERVAL_S = 0.25
# Shortest time between two removals, seconds; a burst in all partitions is removed in 3 s, and the
# store has 96% of its rate for other work.
MIN_REMOVAL_GAP_S = 0.02

Post = Callable[[Callable[[], None]], None]


class IntakeProgress:
    """Tell up to which version submissions are known: complete after a read of all partitions.

    Used by the two threads that read.
    """

    def __init__(self, after: int) -> None:
        self.after = after
        self.needs_read = threading.Event()
        self.needs_read.set()
        self._is_complete = False
        self._lock = threading.Lock()

    def advance(self, version: int) -> None:
        """Note that the feed was read up to a version."""
        with self._lock:
            self.after = version

    def restart(self, newest: int) -> None:
        """Note that the feed goes on after changes that were lost."""
        with self._lock:
            self.after = newest
            self._is_complete = False
            self.needs_read.set()

    def begin_read(self) -> int:
        """Return the position of the feed at which a full read begins."""
        with self._lock:
            self.needs_read.clear()
            return self.after

    def end_read(self) -> None:
        """Note that a full read is complete, unless changes were lost since it began."""
        with self._lock:
            self._is_complete = self._is_complete or not self.needs_read.is_set()

    @property
    def version(self) -> int:
        """Return the version up to which all submissions are known, UNKNOWN_VERSION if none."""
        with self._lock:
            return self.after if self._is_complete else UNKNOWN_VERSION


class IntakeFeed(PeriodicThread):
    """Follow submissions through the change feed of all partitions."""

    def __init__(
        self,
        feed: ChangeFeed,
        progress: IntakeProgress,
        adoption: Adoption,
        clock: Clock,
        post: Post,
    ) -> None:
        super().__init__("submissions", 0.0)
        self._feed = feed
        self._progress = progress
        self._adoption = adoption
        self._clock = clock
        self._post = post

    def step(self) -> None:
        """Wait for changes, and have the changed submissions adopted."""
        progress = self._progress
        try:
            changes = self._feed.changes(TABLE_INTAKE, progress.after, FEED_LONG_POLL_S)
        except StateHistoryLostError as exc:
            progress.restart(exc.newest)
            self._post(lambda: self._adoption.update_version(UNKNOWN_VERSION))
            raise
        progress.advance(changes.version)
        version = progress.version

        def apply() -> None:
            self._adoption.add(changes.rows, self._clock.monotonic())
            self._adoption.update_version(version)

        self._post(apply)


class IntakeReader(PeriodicThread):
    """Read all partitions in a take-over, after a lost history and at intervals.

    In a read at intervals, submissions are adopted together, at its end: in the order of the
    partitions newer jobs may come first, and older ones then count as beyond their account's rate.
    Otherwise they are adopted at once, as no job is judged before the read is complete.
    """

    def __init__(
        self,
        store: IntakeStore,
        progress: IntakeProgress,
        adoption: Adoption,
        clock: Clock,
        post: Post,
    ) -> None:
        super().__init__("intake", 0.0)
        # Partitions of the present read that were not read yet; None if they are to be listed.
        self._left: set[str] | None = set()
        self._version = UNKNOWN_VERSION
        self._begun_at = 0.0
        self._read: list[Row] = []
        self._store = store
        self._progress = progress
        self._adoption = adoption
        self._clock = clock
        self._post = post

    def wait_until_due(self) -> None:
        """Wait until a full read is needed, at most FULL_READ_INTERVAL_S."""
        self._progress.needs_read.wait(FULL_READ_INTERVAL_S)

    def close(self) -> None:
        """Stop after the step in progress."""
        super().close()
        self._progress.needs_read.set()

    def step(self) -> None:
        """Read the partitions that are left, and have their submissions adopted."""
        if self._left == set():
            self.wait_until_due()
            if self.is_closed:
                return
            self._version = self._progress.begin_read()
            self._begun_at = self._clock.monotonic()
            self._left = None
        if self._left is None:
            self._left = set(self._store.partitions())
        failure: StateError | None = None
        for partition, result in self._store.read_each(sorted(self._left)):
            if isinstance(result, StateError):
                failure = result
            else:
                self._left.discard(partition)
                self._read.extend(result)
                if self._progress.version == UNKNOWN_VERSION:
                    self._publish()
        if failure is not None:
            if self._clock.monotonic() - self._begun_at >= FULL_READ_INTERVAL_S:
                self._publish()
            raise failure
        self._publish()
        self._progress.end_read()
        if self._progress.version != UNKNOWN_VERSION:
            version = self._version
            self._post(lambda: self._adoption.update_version(version))

    def _publish(self) -> None:
        rows, self._read = self._read, []
        self._post(lambda: self._adoption.add(rows, self._clock.monotonic()))


class IntakeRemover(PeriodicThread):
    """Remove the submissions whose jobs are stored in the scheduler's partition."""

    def __init__(self, ports: "IntakePorts", adoption: Adoption, clock: Clock, post: Post) -> None:
        super().__init__("removal", REMOVAL_INTERVAL_S)
        self._store = ports.store
        self._stats = ports.stats
        self._adoption = adoption
        self._clock = clock
        self._post = post
        self._lock = threading.Lock()
        self._removals: Sequence[Removal] = ()

    def step(self) -> None:
        """Remove what the last step asked for; ask for more."""
        with self._lock:
            removals, self._removals = self._removals, ()
        try:
            for removal in removals:
                if self.is_closed:
                    return
                self._remove(removal)
                self.wait(MIN_REMOVAL_GAP_S)
        finally:
            self._post(self._choose)

    def _choose(self) -> None:
        self._adoption.update_oldest()
        removals = self._adoption.removals()
        with self._lock:
            self._removals = removals

    def _remove(self, removal: Removal) -> None:
        adoption = self._adoption
        jobs = [job for job, _ in removal.versions]
        try:
            self._store.remove(removal.partition, removal.versions)
        except StateConflictError:
            # A submission was cancelled, or removed by a call whose answer was lost.
            rows = self._store.read(removal.partition)
            found = {row.key for row in rows}
            gone = [job for job in jobs if job not in found]
            self._post(lambda: adoption.drop(gone))
            self._post(lambda: adoption.add(rows, self._clock.monotonic()))
        else:
            self._stats.count_removals(len(jobs))
            self._post(lambda: adoption.drop(jobs))


@dataclass(frozen=True)
class IntakePorts:
    """Store the interfaces through which the leader reads, removes and counts submissions."""

    store: IntakeStore
    feed: ChangeFeed
    stats: IntakeStats = field(default_factory=IntakeStats)


def create_intake_threads(
    ports: IntakePorts, workload: Workload, clock: Clock, version: int, post: Post
) -> Sequence[PeriodicThread]:
    """Return the threads of a term whose workload was loaded up to a version of the store."""
    adoption, progress = Adoption(workload, version, ports.stats), IntakeProgress(version)
    return (
        IntakeFeed(ports.feed, progress, adoption, clock, post),
        IntakeReader(ports.store, progress, adoption, clock, post),
        IntakeRemover(ports, adoption, clock, post),
    )
