"""Adopt submissions into a term's workload, and decide which of them can be removed.

Answers a burst of submissions at a slow store: a job starts as soon as the leader has read its
submission, and gets its rows in the scheduler's partition together with its first changes. A
submission outlives the leader until the job is stored there.
"""

import logging
from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from itertools import islice

from gypsumplank.coordination.job.intakestats import IntakeStats
from gypsumplank.coordination.job.workload import UNKNOWN_VERSION, Workload
from gypsumplank.errors import EntryInvalidError
from gypsumplank.log import Event, event
from gypsumplank.protocol.job import JobState
from gypsumplank.state.intake import (
    MAX_REMOVED_ROWS,
    Submission,
    decode_submission,
    partition_of,
)
from gypsumplank.state.jobrow import LoadedJob
from gypsumplank.state.table import Row

logger = logging.getLogger(__name__)


@dataclass(frozen=True)
class Removal:
    """Represent submissions of one partition to remove at these versions, by job."""

    partition: str
    versions: tuple[tuple[str, int], ...]


class Adoption:
    """Keep the submissions that exist, with their versions; used by the scheduler's thread only."""

    def __init__(self, workload: Workload, version: int, stats: IntakeStats) -> None:
        """Start with a workload whose jobs were all stored up to a version of the store."""
        self._workload = workload
        self._stats = stats
        self._known: dict[str, tuple[int, bool]] = {}
        workload.intake_version = UNKNOWN_VERSION
        workload.loaded_version = version
        for job in workload.jobs.values():
            job.first_version = version

    def add(self, rows: Iterable[Row], now: float) -> None:
        """Adopt the jobs of these rows that are not known yet; `now` is in monotonic seconds."""
        for row in rows:
            version, _ = self._known.get(row.key, (0, False))
            if row.version <= version:
                continue
            try:
                found = decode_submission(row)
            except EntryInvalidError as exc:
                event(
                    logger,
                    Event.ENTRY_DROPPED,
                    logging.ERROR,
                    job=row.key,
                    code=exc.code,
                    detail=exc.detail,
                )
                continue
            self._known[row.key] = (row.version, found.cancelled)
            self._adopt(found, now)

    def _adopt(self, found: Submission, now: float) -> None:
        workload = self._workload
        job_id = found.job.id
        if job_id in workload.ended_at:
            return
        if found.cancelled:
            workload.add_postponed_job(job_id)
        if not workload.knows(job_id):
            job = workload.add(LoadedJob(found.job, JobState.QUEUED, 0, False, {}), now)
            job.unstored = True
            self._stats.count_adoption()
        if found.cancelled:
            workload.cancel_submission(job_id)

    def drop(self, jobs: Iterable[str]) -> None:
        """Forget submissions that do not exist any more."""
        for job in jobs:
            self._known.pop(job, None)

    def update_version(self, version: int) -> None:
        """Note that all changes up to a version have been added, or UNKNOWN_VERSION."""
        known = self._workload.intake_version
        if version == UNKNOWN_VERSION or known is None or version > known:
            self._workload.intake_version = version

    def update_oldest(self) -> None:
        """Update when the oldest submission was accepted whose job is not stored yet."""
        found = (self._workload.jobs.get(job_id) for job_id in self._known)
        self._stats.oldest_ms = min(
            (job.stored.accepted_ms for job in found if job is not None and job.unstored),
            default=None,
        )

    def removals(self) -> Sequence[Removal]:
        """Return the submissions whose jobs are stored, or known to have ended, by partition."""
        found: defaultdict[str, list[tuple[str, int]]] = defaultdict(list)
        for job_id, (version, cancelled) in self._known.items():
            if self._is_stored(job_id, cancelled):
                found[partition_of(job_id)].append((job_id, version))
        return [
            Removal(partition, tuple(islice(versions, MAX_REMOVED_ROWS)))
            for partition, versions in found.items()
        ]

    def _is_stored(self, job_id: str, cancelled: bool) -> bool:
        job = self._workload.jobs.get(job_id)
        if job is None:
            return job_id in self._workload.ended_at or job_id in self._workload.postponed
        return not job.unstored and not (cancelled and job.state_dirty)
