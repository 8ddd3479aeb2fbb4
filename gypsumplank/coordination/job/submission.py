"""Accept, query and cancel jobs for callers; runs on every daemon, whichever is the leader."""

import logging
import threading
from collections.abc import Callable
from typing import Protocol

from gypsumplank.coordination.job.freshness import ConfirmedManifest, KeyPolicy
from gypsumplank.coordination.job.intakeclient import IntakeClient
from gypsumplank.errors import (
    GypsumplankError,
    JobMissingError,
    ManifestMissingError,
    QueueMissingError,
    StateError,
    StateUnavailableError,
    StateUnknownError,
)
from gypsumplank.log import Event, event
from gypsumplank.protocol.job import JobDefinition, JobState, StoredJob
from gypsumplank.protocol.queue import Queue
from gypsumplank.state.clock import Clock
from gypsumplank.state.job import JobStore

# Share of a caller's time limit within which a failed store call is retried; the rest is left for
# the caller's retries at other daemons.
RETRY_BUDGET_SHARE = 0.45
# Share of a caller's time limit after which an attempt is given up, so that the caller gets an
# answer before it stops waiting.
ANSWER_SHARE = 0.8
# Shortest wait for the outcome of an attempt, seconds.
MIN_ATTEMPT_S = 0.05
# Delay before the first retry, seconds; doubles with each further retry.
FIRST_RETRY_DELAY_S = 0.05
# Longest delay between retries, seconds; short enough for a few retries in a short store outage.
# For a caller without a time limit (3 s assumed), retries go on for up to 1.35 s.
MAX_RETRY_DELAY_S = 0.2
# Age up to which a cached count of pending jobs is returned, seconds; the platform allows 2 s.
COUNT_MAX_AGE_S = 0.4

logger = logging.getLogger(__name__)


class LoadPolicy(Protocol):
    """Decide by the present load whether a new job is stored."""

    def find_rejection(
        self, queue: Queue, order: JobDefinition, account: str
    ) -> GypsumplankError | None:
        """Return the error that rejects a new job, or None if it is to be stored."""


class JobService:
    """Serve callers' requests about jobs; each method may raise GypsumplankError."""

    def __init__(
        self,
        store: JobStore,
        clock: Clock,
        in_force: Callable[[], ConfirmedManifest | None],
        policy: Callable[[], KeyPolicy] = KeyPolicy,
        intake: IntakeClient | None = None,
        load: LoadPolicy | None = None,
    ) -> None:
        """Create the service; `intake` is None where jobs are stored for the scheduler at once."""
        self._intake = intake
        self._load = load
        self._store = store
        self._clock = clock
        self._in_force = in_force
        self._policy = policy
        self._pause = threading.Event()
        self._pending_counts: dict[str, tuple[float, int]] = {}

    def authorize(self, host: str, path: str, digest: bytes | None) -> tuple[Queue, str]:
        """Return the queue of a complete request and the account of its key, which may be empty.

        Raise ManifestMissingError, QueueMissingError, KeyRejectedError or KeyUnverifiedError.
        """
        confirmed = self._in_force()
        if confirmed is None:
            raise ManifestMissingError("no manifest has been read yet")
        queue = confirmed.manifest.find(host, path)
        if queue is None:
            raise QueueMissingError(f"no queue at {host}{path}")
        now = self._clock.monotonic()
        return queue, confirmed.identify(queue, digest, now, self._policy())

    def submit(
        self,
        queue: Queue,
        job_id: str,
        order: JobDefinition,
        remaining_s: float,
        account: str = "",
    ) -> bool:
        """Store a job; return whether it is new. Raise StateUnknownError if the outcome is unknown.

        Raises AccountLimitError if the load does not allow it; then it is not stored.

        An attempt with an unknown outcome may be retried, as the job's row is inserted only once.
        `remaining_s` is the time that the caller still waits, in seconds.
        """
        arrived_at = self._clock.monotonic()
        self._check_load(queue, job_id, order, account)
        remaining_s = max(0.0, remaining_s - (self._clock.monotonic() - arrived_at))
        accepted_ms = int(self._clock.wall() * 1000)
        job = StoredJob(job_id, queue.name, queue.service, accepted_ms, order, account)
        if self._intake is not None and self._intake.is_writing:
            new, attempts = self._intake.submit(job, remaining_s)
            _log_accepted(job, new, attempts)
            return new
        started_at = self._clock.monotonic()
        deadline = started_at + remaining_s * RETRY_BUDGET_SHARE
        answer_by = started_at + remaining_s * ANSWER_SHARE
        delay_s = FIRST_RETRY_DELAY_S
        attempts = 1
        while True:
            attempt_started_at = self._clock.monotonic()
            try:
                new = self._insert(job, max(MIN_ATTEMPT_S, answer_by - attempt_started_at))
            except (StateUnavailableError, StateUnknownError) as exc:
                now = self._clock.monotonic()
                if now + delay_s + (now - attempt_started_at) >= deadline:
                    # An earlier attempt with this identifier may have been stored.
                    raise StateUnknownError(f"{exc.detail}, {attempts} attempts") from exc
                self._pause.wait(delay_s)
                delay_s = min(2 * delay_s, MAX_RETRY_DELAY_S)
                attempts += 1
                continue
            _log_accepted(job, new, attempts)
            return new

    def _check_load(self, queue: Queue, job_id: str, order: JobDefinition, account: str) -> None:
        """Raise the error that rejects a job, unless an earlier attempt may have stored it."""
        error = self._load.find_rejection(queue, order, account) if self._load else None
        if error is None:
            return
        try:
            self.state(job_id)
        except JobMissingError:
            raise error from None
        except StateError as exc:
            event(logger, Event.STORE_CALL_FAILED, job=job_id, code=exc.code, detail=exc.detail)

    def _insert(self, job: StoredJob, timeout_s: float) -> bool:
        """Store a job for the scheduler, unless another daemon has stored it as a submission."""
        if self._intake is not None and self._intake.is_submitted(job.id):
            return False
        return self._store.submit(job, timeout_s)

    def state(self, job_id: str) -> JobState:
        """Return a job's state; raise JobMissingError."""
        if self._intake is not None:
            return self._intake.state(job_id)
        return self._store.state(job_id)[0].state

    def cancel(self, job_id: str) -> JobState:
        """Cancel a job; return its resulting state, which may be another final one."""
        state = (self._intake or self._store).cancel(job_id)
        event(logger, Event.JOB_CANCELLED, job=job_id, state=state.value)
        return state

    def pending_count(self, queue: Queue) -> int:
        """Return how many accepted jobs of a queue have not started, up to COUNT_MAX_AGE_S ago."""
        now = self._clock.monotonic()
        read_at, count = self._pending_counts.get(queue.name, (-COUNT_MAX_AGE_S, 0))
        if now - read_at >= COUNT_MAX_AGE_S:
            intake = self._intake
            count = (
                len(self._store.pending(queue.name))
                if intake is None
                else intake.pending_count(queue.name)
            )
            recent = {
                name: counted
                for name, counted in self._pending_counts.items()
                if now - counted[0] < COUNT_MAX_AGE_S
            }
            self._pending_counts = recent | {queue.name: (now, count)}
        return count


def _log_accepted(job: StoredJob, new: bool, attempts: int) -> None:
    event(
        logger,
        Event.JOB_ACCEPTED,
        job=job.id,
        queue=job.queue,
        account=job.account,
        new=new,
        tries=attempts,
    )


def log_error_response(exc: GypsumplankError, method: str, target: str) -> None:
    """Log a request that ends in an error response."""
    level = logging.INFO if exc.status < 500 else logging.WARNING
    event(
        logger,
        Event.JOB_REFUSED,
        level,
        method=method,
        target=target,
        code=exc.code,
        detail=exc.detail,
    )
