"""Take in, show and cancel jobs on behalf of callers; any daemon does."""

import logging
import threading
from collections.abc import Callable

from gypsumplank.errors import (
    GypsumplankError,
    ManifestMissingError,
    QueueMissingError,
    StateUnavailableError,
    StateUnknownError,
)
from gypsumplank.log import Event, event
from gypsumplank.protocol.job import JobOrder, JobState, StoredJob
from gypsumplank.protocol.queue import Manifest, Queue
from gypsumplank.state.clock import Clock
from gypsumplank.state.job import JobStore

# Share of a caller's time within which a store call that failed is tried again; the rest is left
# to the caller's tries at other daemons.
RETRY_SHARE = 0.45
# First pause between such tries, seconds; each is twice as long as the one before.
RETRY_S = 0.05
# Longest such pause, seconds; a few fit into a short outage.
MAX_RETRY_S = 0.2
# Age up to which a count of waiting jobs is told again, seconds; the platform allows 2.
COUNT_AGE_S = 0.4

logger = logging.getLogger(__name__)


class JobDesk:
    """Serve calls about jobs; each may raise GypsumplankError."""

    def __init__(
        self, store: JobStore, clock: Clock, manifest: Callable[[], Manifest | None]
    ) -> None:
        self._store = store
        self._clock = clock
        self._manifest = manifest
        self._pause = threading.Event()
        self._counts: dict[str, tuple[float, int]] = {}

    def queue(self, host: str, path: str) -> Queue:
        """Return the queue that a call is for; raise QueueMissingError, ManifestMissingError."""
        manifest = self._manifest()
        if manifest is None:
            raise ManifestMissingError("no manifest has been read yet")
        found = manifest.find(host, path)
        if found is None:
            raise QueueMissingError(f"no queue at {host}{path}")
        return found

    def submit(self, queue: Queue, job_id: str, order: JobOrder, left_s: float) -> bool:
        """Store a job; return whether it is new. StateUnknownError where that is not known.

        A try whose outcome is unknown may be repeated: the job's row is inserted only once.
        """
        accepted_ms = int(self._clock.wall() * 1000)
        job = StoredJob(job_id, queue.name, queue.service, accepted_ms, order)
        until = self._clock.monotonic() + left_s * RETRY_SHARE
        pause_s = RETRY_S
        tries = 1
        while True:
            began = self._clock.monotonic()
            try:
                new = self._store.submit(job)
            except (StateUnavailableError, StateUnknownError) as exc:
                now = self._clock.monotonic()
                if now + pause_s + (now - began) >= until:
                    # An earlier attempt with this identifier may have been stored.
                    raise StateUnknownError(f"{exc.detail}, {tries} tries") from exc
                self._pause.wait(pause_s)
                pause_s = min(2 * pause_s, MAX_RETRY_S)
                tries += 1
                continue
            event(logger, Event.JOB_ACCEPTED, job=job_id, queue=queue.name, new=new, tries=tries)
            return new

    def state(self, job_id: str) -> JobState:
        """Return a job's state; raise JobMissingError."""
        return self._store.state(job_id)[0].state

    def cancel(self, job_id: str) -> JobState:
        """Cancel a job; return the state that stands."""
        state = self._store.cancel(job_id)
        event(logger, Event.JOB_CANCELLED, job=job_id, state=state.value)
        return state

    def pending(self, queue: Queue) -> int:
        """Return how many accepted jobs of a queue have not started."""
        now = self._clock.monotonic()
        read_at, waiting = self._counts.get(queue.name, (-COUNT_AGE_S, 0))
        if now - read_at >= COUNT_AGE_S:
            waiting = len(self._store.pending(queue.name))
            self._counts[queue.name] = (now, waiting)
        return waiting


def log_refusal(exc: GypsumplankError, method: str, target: str) -> None:
    """Log a call that is not answered with success."""
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
