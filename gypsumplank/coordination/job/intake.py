"""Take up what the store tells of jobs: new ones, cancellations, and states changed by others."""

import logging
from bisect import bisect_right
from collections.abc import Callable, Iterable

from gypsumplank.coordination.job.model import Job
from gypsumplank.coordination.job.scheduler import Scheduler
from gypsumplank.coordination.job.watch import StoreSnapshot
from gypsumplank.coordination.job.workload import Workload
from gypsumplank.errors import EntryInvalidError, JobMissingError
from gypsumplank.log import Event, event
from gypsumplank.protocol.job import FINAL_JOB_STATES, JobState
from gypsumplank.state.clock import Clock
from gypsumplank.state.job import JobStore
from gypsumplank.state.jobrow import LoadedJob, StateValue, decode_order
from gypsumplank.state.table import Row

# Unknown jobs that are read one by one after a snapshot; the next snapshot finds the others.
MAX_READS_PER_SNAPSHOT = 50

logger = logging.getLogger(__name__)


class JobIntake:
    """Add what the store tells to the jobs of a term; used by the scheduler's thread only.

    `renew_if_due` renews the lease between two calls to the store; it may raise StateError.
    """

    def __init__(
        self, store: JobStore, clock: Clock, renew_if_due: Callable[[], None] = lambda: None
    ) -> None:
        self._store = store
        self._clock = clock
        self._renew_if_due = renew_if_due
        self._last_read = ""

    def add_new_jobs(self, workload: Workload, rows: Iterable[Row]) -> None:
        """Add the jobs of these rows that are not known yet."""
        for row in rows:
            if not workload.knows(row.key):
                self._add_job(workload, row)

    def _add_job(self, workload: Workload, row: Row) -> None:
        try:
            stored = decode_order(row)
        except EntryInvalidError as exc:
            event(
                logger,
                Event.ENTRY_DROPPED,
                logging.ERROR,
                job=row.key,
                code=exc.code,
                detail=exc.detail,
            )
            return
        if stored.id in workload.ended_at:
            return
        workload.add(
            LoadedJob(stored, JobState.QUEUED, row.version, False, {}), self._clock.monotonic()
        )

    def apply_snapshot(
        self, scheduler: Scheduler, snapshot: StoreSnapshot, is_complete: bool
    ) -> None:
        """Update workers and jobs; raise StateError.

        Workers' entries may be missing if not `is_complete`.
        """
        workload = scheduler.workload
        scheduler.fleet.apply_entries(snapshot.entries, is_complete, snapshot.requested_at)
        for job_id in self._choose_unknown(workload, snapshot):
            self._renew_if_due()
            row = self._store.find_order(job_id)
            if row is not None:
                self._add_job(workload, row)
        for job_id in snapshot.cancels:
            workload.cancel(job_id)

    def _choose_unknown(self, workload: Workload, snapshot: StoreSnapshot) -> list[str]:
        """Return some unknown jobs of a snapshot, in turn, as there may be some that stay so."""
        unknown = sorted(job for job in snapshot.pending if not workload.knows(job))
        first = bisect_right(unknown, self._last_read)
        chosen = [*unknown[first:], *unknown[:first]][:MAX_READS_PER_SNAPSHOT]
        self._last_read = chosen[-1] if chosen else ""
        return chosen

    def recheck_states(self, workload: Workload, jobs: Iterable[Job]) -> None:
        """Read the states of jobs whose changes met a conflict; raise StateError."""
        for job in jobs:
            if not (job.state_dirty or job.unstored):
                continue
            self._renew_if_due()
            try:
                value, version = self._store.state(job.id)
            except JobMissingError:
                value, version = StateValue(job.state, job.stored.queue), 0
            job.version = version
            if value.state is JobState.CANCELLED:
                workload.cancel(job.id)
            elif value.state in FINAL_JOB_STATES and (version or not job.unstored):
                # Also where another final state was to be stored: the first one is in force.
                job.state = value.state
                job.state_dirty = job.unstored = False
                job.note_change()
