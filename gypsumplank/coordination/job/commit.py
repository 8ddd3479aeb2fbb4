"""Commit the changes of jobs in transactions that the store accepts."""

import logging
from collections import deque
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from gypsumplank.coordination.job.model import Job
from gypsumplank.coordination.job.workload import Workload
from gypsumplank.errors import StateConflictError, StateTooLargeError
from gypsumplank.log import Event, event
from gypsumplank.state.clock import Clock
from gypsumplank.state.job import JobStore
from gypsumplank.state.jobrow import JobUpdate, group_into_txns
from gypsumplank.state.table import Check

# Refusals of a job's changes after which the job is given up.
MAX_REFUSALS = 3
# Time from the first refusal of a job's changes to the next attempt, seconds; doubles with each
# further refusal.
FIRST_RETRY_DELAY_S = 1.0
# Longest time between two attempts, seconds.
MAX_RETRY_DELAY_S = 60.0

logger = logging.getLogger(__name__)


@dataclass(frozen=True)
class Refusal:
    """Store how often a job's changes were refused, and the monotonic time of the next attempt."""

    count: int
    retry_at: float


class JobCommitter:
    """Commit the changes of one term; used by the scheduler's thread only.

    `in_flight` lists the jobs of the latest transaction. `on_answer` is called after each answer
    of the store, also if that is a refusal.
    """

    def __init__(
        self,
        store: JobStore,
        clock: Clock,
        fence: Callable[[], Check | None],
        on_answer: Callable[[], None],
    ) -> None:
        self._store = store
        self._clock = clock
        self._fence = fence
        self._on_answer = on_answer
        self._refusals: dict[str, Refusal] = {}
        self.in_flight: list[Job] = []

    def commit(self, workload: Workload) -> bool:
        """Store all changes; return False if the lease is not held. Raise StateError.

        A job whose changes the store refuses for their size is held back and does not keep the
        others from being stored.
        """
        updates = list(workload.updates(self._held_back(workload)))
        batches = deque(group_into_txns(self._without_oversized(workload, updates)))
        while batches:
            batch = batches.popleft()
            fence = self._fence()
            if fence is None:
                return False
            self.in_flight = [workload.jobs[update.job] for update in batch]
            try:
                version = self._store.commit(fence, batch)
            except StateConflictError:
                self._on_answer()
                raise
            except StateTooLargeError as exc:
                self._on_answer()
                batches.extendleft(reversed(self._split(workload, batch, exc)))
                continue
            self._on_answer()
            now = self._clock.monotonic()
            for job, update in zip(self.in_flight, batch, strict=True):
                self._refusals.pop(job.id, None)
                workload.mark_stored(job, update, version, now)
        return True

    def _held_back(self, workload: Workload) -> set[str]:
        now = self._clock.monotonic()
        self._refusals = {
            job: refusal for job, refusal in self._refusals.items() if job in workload.jobs
        }
        return {job for job, refusal in self._refusals.items() if now < refusal.retry_at}

    def _without_oversized(
        self, workload: Workload, updates: Iterable[JobUpdate]
    ) -> Iterable[JobUpdate]:
        """Yield the updates without rows over the store's limit; give the others' jobs up."""
        for update in updates:
            largest = max((len(write.value or b"") for write in update.writes), default=0)
            if largest <= self._store.max_row_bytes:
                yield update
            else:
                detail = f"row of {largest} bytes exceeds {self._store.max_row_bytes}"
                self._abandon(workload, workload.jobs[update.job], detail)

    def _split(
        self, workload: Workload, batch: Sequence[JobUpdate], exc: StateTooLargeError
    ) -> list[list[JobUpdate]]:
        """Return smaller transactions for a refused one; hold back a job that is alone in it."""
        event(
            logger,
            Event.ROUND_FAILED,
            logging.WARNING,
            code=exc.code,
            detail=exc.detail,
            jobs=len(batch),
        )
        if len(batch) > 1:
            middle = len(batch) // 2
            return [list(batch[:middle]), list(batch[middle:])]
        (job,) = self.in_flight
        earlier = self._refusals.get(job.id)
        count = earlier.count + 1 if earlier else 1
        delay_s = min(FIRST_RETRY_DELAY_S * 2 ** (count - 1), MAX_RETRY_DELAY_S)
        if count == MAX_REFUSALS:
            # Its state is written next, without the rows that were refused.
            delay_s = 0.0
            self._abandon(workload, job, exc.detail)
        self._refusals[job.id] = Refusal(count, self._clock.monotonic() + delay_s)
        return []

    def _abandon(self, workload: Workload, job: Job, detail: str) -> None:
        event(logger, Event.JOB_UNSTORABLE, logging.ERROR, job=job.id, detail=detail)
        workload.abandon(job, self._clock.monotonic())
