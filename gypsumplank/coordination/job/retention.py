"""Remove the states of jobs that ended long ago."""

from gypsumplank.coordination.job.workload import Workload
from gypsumplank.errors import StateUnknownError
from gypsumplank.state.job import JobStore
from gypsumplank.state.table import Check

# Time for which a state is kept beyond that for which it must be shown, seconds; a submission that
# is repeated meanwhile remains one job.
RETENTION_MARGIN_S = 300.0
# Time between two removals, seconds.
REMOVAL_INTERVAL_S = 2.0


class StateRetention:
    """Remove the states of ended jobs in batches; used by the scheduler's thread only.

    `status_s` is how long a state must be shown after the end of the job, in seconds.
    """

    def __init__(self, store: JobStore, status_s: float) -> None:
        self._store = store
        self._status_s = status_s
        self._next_removal_at = 0.0

    def remove_expired(self, fence: Check, workload: Workload, now: float) -> None:
        """Remove one batch of expired states if that is due; raise StateError."""
        if now < self._next_removal_at:
            return
        self._next_removal_at = now + REMOVAL_INTERVAL_S
        jobs = workload.expired(now - self._status_s - RETENTION_MARGIN_S)
        if not jobs:
            return
        try:
            self._store.remove_states(fence, jobs)
        except StateUnknownError:
            # A second removal could hit a later job with that id; a successor finds what is left.
            workload.forget(jobs)
            raise
        workload.forget(jobs)
