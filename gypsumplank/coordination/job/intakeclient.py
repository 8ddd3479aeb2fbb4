"""Accept, query and cancel jobs that the leader has not adopted yet; runs on every daemon.

Answers a slow store, where submissions must not queue in the scheduler's partition.
"""

import threading
from collections.abc import Callable

from gypsumplank.coordination.job.backoff import PartitionBackoff
from gypsumplank.coordination.job.intakeindex import IntakeIndex
from gypsumplank.coordination.job.intakestats import IntakeStats, SubmitOutcome
from gypsumplank.errors import (
    JobMissingError,
    StateConflictError,
    StateThrottledError,
    StateUnavailableError,
    StateUnknownError,
)
from gypsumplank.protocol.job import JobState, StoredJob
from gypsumplank.state.clock import Clock
from gypsumplank.state.intake import IntakeStore, partition_of
from gypsumplank.state.job import JobStore

# Share of a caller's time limit within which a new attempt may start, and after which an attempt is
# given up, so that the caller gets an answer before it stops waiting.
LAST_ATTEMPT_SHARE = 0.7
ANSWER_SHARE = 0.85
# Shortest wait for the outcome of an attempt, seconds.
MIN_ATTEMPT_S = 0.05
# Delay before a retry after a lost answer or a failed connection, seconds.
RETRY_DELAY_S = 0.1
# Attempts to cancel a job while it is adopted or its state changes.
MAX_CANCEL_ATTEMPTS = 6


class IntakeClient:
    """Serve callers' requests about jobs from the submissions; may raise StateError.

    `is_writing` tells whether new jobs are stored as submissions; they are always read.
    """

    def __init__(
        self,
        store: IntakeStore,
        jobs: JobStore,
        index: IntakeIndex,
        clock: Clock,
        backoff: PartitionBackoff,
        is_writing: Callable[[], bool],
        stats: IntakeStats | None = None,
    ) -> None:
        self._store = store
        self._jobs = jobs
        self._index = index
        self._clock = clock
        self._backoff = backoff
        self._is_writing = is_writing
        self._stats = stats or IntakeStats()
        self._pause = threading.Event()

    @property
    def is_writing(self) -> bool:
        """Return whether new jobs are stored as submissions."""
        return self._is_writing()

    def submit(self, job: StoredJob, remaining_s: float) -> tuple[bool, int]:
        """Store a submission; return whether it is new, and how many attempts that took.

        Raises StateUnknownError if it may be stored, StateUnavailableError only if it can't be.
        """
        outcome = SubmitOutcome.FAILED
        try:
            new, attempts = self._insert(job, remaining_s)
            outcome = SubmitOutcome.NEW if new else SubmitOutcome.REPEATED
        except StateUnavailableError:
            outcome = SubmitOutcome.BUSY
            raise
        except StateUnknownError:
            outcome = SubmitOutcome.UNKNOWN
            raise
        finally:
            self._stats.count_submission(outcome)
        return new, attempts

    def _insert(self, job: StoredJob, remaining_s: float) -> tuple[bool, int]:
        """Insert a submission, with retries until the caller stops waiting."""
        partition = partition_of(job.id)
        started_at = self._clock.monotonic()
        last_attempt_at = started_at + remaining_s * LAST_ATTEMPT_SHARE
        answer_by = started_at + remaining_s * ANSWER_SHARE
        failure: StateUnknownError | None = None
        not_before, attempts = started_at, 0
        while True:
            now = self._clock.monotonic()
            slot = self._backoff.reserve(partition, max(now, not_before), last_attempt_at)
            if slot is None or (attempts and slot >= last_attempt_at):
                raise failure or StateUnavailableError(f"{partition} is busy, {attempts} attempts")
            if slot > now:
                self._pause.wait(slot - now)
                now = self._clock.monotonic()
            attempts += 1
            try:
                new = self._store.insert(job, max(MIN_ATTEMPT_S, answer_by - now))
            except StateThrottledError:
                not_before = self._clock.monotonic()
                self._backoff.record_throttled(partition, not_before)
            except StateUnavailableError:
                not_before = self._clock.monotonic() + RETRY_DELAY_S
            except StateUnknownError as exc:
                failure = StateUnknownError(f"{exc.detail}, {attempts} attempts")
                not_before = self._clock.monotonic() + RETRY_DELAY_S
            else:
                self._backoff.record_accepted(partition)
                return new, attempts

    def is_submitted(self, job_id: str) -> bool:
        """Return whether a job waits as a submission."""
        return self._store.find(job_id) is not None

    def state(self, job_id: str) -> JobState:
        """Return a job's state; raise JobMissingError."""
        try:
            return self._jobs.state(job_id)[0].state
        except JobMissingError:
            found = self._store.find(job_id)
        if found is not None:
            return JobState.CANCELLED if found.cancelled else JobState.QUEUED
        # The leader may have adopted the job and removed its submission between the two reads.
        return self._jobs.state(job_id)[0].state

    def cancel(self, job_id: str) -> JobState:
        """Cancel a job unless it has ended; return its resulting state; raise JobMissingError."""
        missing = 0
        for _ in range(MAX_CANCEL_ATTEMPTS):
            try:
                return self._jobs.cancel(job_id)
            except JobMissingError:
                found = self._store.find(job_id)
                if found is None:
                    missing += 1
                    if missing > 1:
                        raise
                    continue
            if not found.cancelled:
                try:
                    self._store.cancel(found)
                except StateConflictError:
                    continue
            if not self._is_adopted(job_id):
                return JobState.CANCELLED
        raise StateUnknownError(f"job {job_id} changed during all cancel attempts")

    def _is_adopted(self, job_id: str) -> bool:
        """Return whether the job was stored before the submission was marked as cancelled.

        The leader then may not have seen the mark in time, so that the job's state decides.
        """
        try:
            self._jobs.state(job_id)
        except JobMissingError:
            return False
        except StateUnavailableError as exc:
            # The mark is stored.
            raise StateUnknownError(exc.detail) from exc
        return True

    def pending_count(self, queue: str) -> int:
        """Return how many accepted jobs of a queue have not started."""
        submitted = self._index.pending(queue)
        return len(submitted.union(self._jobs.pending(queue)))
