"""Take up what the store tells of jobs: new ones, cancellations, and states changed by others."""

import logging
from collections.abc import Iterable

from gypsumplank.coordination.job.model import Job
from gypsumplank.coordination.job.scheduler import Scheduler
from gypsumplank.coordination.job.watch import StoreSnapshot
from gypsumplank.coordination.job.workload import Workload
from gypsumplank.errors import EntryInvalidError, JobMissingError
from gypsumplank.log import Event, event
from gypsumplank.protocol.job import FINAL_JOB_STATES, JobState
from gypsumplank.state.clock import Clock
from gypsumplank.state.job import JobStore, LoadedJob, StateValue, decode_order
from gypsumplank.state.table import Row

logger = logging.getLogger(__name__)


class JobIntake:
    """Add what the store tells to the jobs of a term; used by the scheduler's thread only."""

    def __init__(self, store: JobStore, clock: Clock) -> None:
        self._store = store
        self._clock = clock

    def add_new_jobs(self, workload: Workload, rows: Iterable[Row]) -> None:
        """Add the jobs of these rows that are not known yet."""
        for row in rows:
            if row.key not in workload.jobs:
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
        for job_id in snapshot.pending - workload.jobs.keys():
            row = self._store.find_order(job_id)
            if row is not None:
                self._add_job(workload, row)
        for job_id in snapshot.cancels:
            workload.cancel(job_id)

    def recheck_states(self, workload: Workload, jobs: Iterable[Job]) -> None:
        """Read the states of jobs whose changes met a conflict; raise StateError."""
        for job in jobs:
            if not (job.state_dirty or job.unstored):
                continue
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
