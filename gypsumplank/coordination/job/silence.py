"""Record workers that no leader can reach, so that a successor need not wait a full lease again."""

from collections.abc import Callable, Iterable, Mapping
from typing import Protocol

from gypsumplank.coordination.job.instance import WorkerInstance
from gypsumplank.state.table import Check

# Time after a take-over at which a worker that has not answered counts as silent, seconds; the
# first poll has failed by then.
SILENCE_TIMEOUT_S = 2.5
MS_PER_S = 1000.0


class SilentWorkerStore(Protocol):
    """Persist since when workers are silent, by the store's clock; may raise StateError."""

    def silent_workers(self) -> dict[str, int]:
        """Return since when each worker instance is silent, in ms of the store's clock."""

    def update_silent_workers(
        self, fence: Check, since: Mapping[str, int], ended: Iterable[str]
    ) -> None:
        """Add silent instances and remove those that ended or answered, under the fence."""


class SilentWorkers:
    """Track the silent workers of one term; used by the scheduler's thread only.

    The leases of a recorded instance are not extended by any leader, as its record is removed
    before the first extension. So they expire at the latest when the maximum lease has passed since
    the start of the term in which the instance was recorded.
    """

    def __init__(self, store: SilentWorkerStore, store_ms: Callable[[], int]) -> None:
        self._store = store
        self._store_ms = store_ms
        self._silent_since_ms: dict[str, int] = {}
        self._started_at = 0.0
        self._started_at_ms = 0
        self._recorded = False

    def load(
        self, instances: Iterable[WorkerInstance], max_remaining_lease_s: float, now: float
    ) -> None:
        """Read the recorded instances and shorten the wait for their leases; raise StateError.

        `max_remaining_lease_s` is how long an earlier leader's leases may last, in seconds.
        """
        self._silent_since_ms = self._store.silent_workers()
        self._started_at, self._started_at_ms, self._recorded = now, self._store_ms(), False
        for instance in instances:
            since_ms = self._silent_since_ms.get(instance.instance_id)
            if since_ms is None:
                continue
            instance.extension_suspended = True
            if self._started_at_ms:
                age_s = max(0.0, (self._started_at_ms - since_ms) / MS_PER_S)
                instance.leased_until = now
                instance.extend_leases(now, max_remaining_lease_s - age_s)

    def update(self, fence: Check, instances: Iterable[WorkerInstance], now: float) -> None:
        """Record silent instances, and remove those that answered or ended; raise StateError."""
        if not self._started_at_ms:
            return
        instances_by_id = {
            instance.instance_id: instance for instance in instances if instance.tasks
        }
        answered = [
            instance_id
            for instance_id in self._silent_since_ms
            if instance_id in instances_by_id and instances_by_id[instance_id].last_contact_at
        ]
        ended = [
            *answered,
            *(
                instance_id
                for instance_id in self._silent_since_ms
                if self._recorded and instance_id not in instances_by_id
            ),
        ]
        silent: dict[str, int] = {}
        if not self._recorded and now >= self._started_at + SILENCE_TIMEOUT_S:
            silent_instances = [
                instance for instance in instances_by_id.values() if not instance.last_contact_at
            ]
            silent = {
                instance.instance_id: self._started_at_ms
                for instance in silent_instances
                if instance.instance_id not in self._silent_since_ms
            }
            for instance in silent_instances:
                instance.extension_suspended = True
        if silent or ended:
            self._store.update_silent_workers(fence, silent, ended)
        self._recorded = self._recorded or now >= self._started_at + SILENCE_TIMEOUT_S
        self._silent_since_ms.update(silent)
        for instance_id in ended:
            del self._silent_since_ms[instance_id]
            if instance_id in instances_by_id:
                instances_by_id[instance_id].extension_suspended = False
