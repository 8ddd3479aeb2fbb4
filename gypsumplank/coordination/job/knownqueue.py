"""Remember what manifests have told of queues, for jobs whose queue the newest one lacks."""

from collections.abc import Callable, Iterable
from dataclasses import replace

from gypsumplank.coordination.job.model import Job
from gypsumplank.protocol.queue import Manifest, Queue

# Dropped queues that a daemon remembers while it does not lead, and does not know which have jobs.
MAX_DROPPED_QUEUES = 1000


class KnownQueues:
    """Find the queues of jobs, also those that the manifest has dropped while they had jobs.

    Used by one thread only. Jobs that have begun go on if their queue is dropped, by its last
    definition; others wait until the manifest names it again. `generation` changes whenever queues
    may have changed.
    """

    def __init__(self, manifest: Callable[[], Manifest | None]) -> None:
        self._manifest = manifest
        self._in_force: Manifest | None = None
        self.generation = 0
        self._current: dict[str, Queue] = {}
        self._dropped: dict[str, Queue] = {}

    def update(self, jobs: Iterable[Job] | None = None) -> None:
        """Follow the manifest; of the dropped queues, only those of the given jobs are kept.

        Without jobs, the last MAX_DROPPED_QUEUES are kept.
        """
        manifest = self._manifest()
        if manifest is None or manifest is self._in_force:
            return
        self._in_force = manifest
        self.generation += 1
        known = self._dropped | self._current
        self._current = {
            queue.name: _with_known_limit(queue, known.get(queue.name)) for queue in manifest.queues
        }
        dropped = [queue for name, queue in known.items() if name not in self._current]
        if jobs is not None:
            with_jobs = {job.stored.queue for job in jobs}
            dropped = [queue for queue in dropped if queue.name in with_jobs]
        self._dropped = {queue.name: queue for queue in dropped[-MAX_DROPPED_QUEUES:]}

    def find_for_start(self, job: Job) -> Queue | None:
        """Return the queue by which a job's tasks may start; None if the job has to wait."""
        name = job.stored.queue
        queue = self._current.get(name)
        if queue is not None or not job.started:
            return queue
        return self._dropped.get(name) or self._make_unseen(job)

    def max_attempts(self, name: str) -> int | None:
        """Return the limit of attempts of a queue; None if this leader does not know it."""
        queue = self._current.get(name) or self._dropped.get(name)
        return queue.max_attempts if queue else None

    def _make_unseen(self, job: Job) -> Queue:
        """Return a queue of the lowest priority, without a limit, for one that was never seen."""
        priority = max((queue.priority for queue in self._current.values()), default=0)
        return Queue(job.stored.queue, "", "", job.service, priority)


def _with_known_limit(queue: Queue, last: Queue | None) -> Queue:
    if queue.max_attempts is not None or last is None:
        return queue
    return replace(queue, max_attempts=last.max_attempts)
