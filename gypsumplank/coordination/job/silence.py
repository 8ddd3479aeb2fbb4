"""Record workers that no leader can reach, so that a successor need not wait a full lease again."""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Protocol

from gypsumplank.coordination.job.instance import WorkerInstance
from gypsumplank.state.clock import ClockRange
from gypsumplank.state.table import Check

# Time without a report after which a worker with an unanswered poll counts as silent, seconds.
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


@dataclass
class SilenceRecord:
    """Represent a silent instance; `since_ms` is on the store's clock, `recorded_at` monotonic."""

    since_ms: int
    recorded_at: float
    stored: bool


class SilentWorkers:
    """Track the silent workers of one term; used by the scheduler's thread only.

    The leases of a recorded instance are not extended by any leader, as its record is removed
    before the first extension. A record's time is chosen so that the leases end when the longest
    remaining lease has passed since then.
    """

    def __init__(self, store: SilentWorkerStore, store_clock: Callable[[], ClockRange]) -> None:
        self._store = store
        self._store_clock = store_clock
        self._records: dict[str, SilenceRecord] = {}
        self._started_at = 0.0
        self._max_remaining_lease_s = 0.0

    def load(
        self, instances: Iterable[WorkerInstance], max_remaining_lease_s: float, now: float
    ) -> None:
        """Read the recorded instances and shorten the wait for their leases; raise StateError.

        `max_remaining_lease_s` is how long an earlier leader's leases may last, in seconds.
        """
        self._started_at = now
        self._max_remaining_lease_s = max_remaining_lease_s
        self._records = {
            instance_id: SilenceRecord(since_ms, now, True)
            for instance_id, since_ms in self._store.silent_workers().items()
        }
        store_ms = self._store_clock().earliest_ms
        for instance in instances:
            record = self._records.get(instance.instance_id)
            if record is None:
                continue
            instance.suspend_extension()
            if store_ms:
                age_s = max(0.0, (store_ms - record.since_ms) / MS_PER_S)
                instance.inherit_leases(now, max_remaining_lease_s - age_s)

    def update(
        self, fence: Check, instances: Iterable[WorkerInstance], now: float, read_until: float
    ) -> None:
        """Record silent instances, and remove those that answered or ended; raise StateError.

        Reports were handled if they came before `read_until`, in monotonic seconds.
        """
        store_ms = self._store_clock().latest_ms
        if not store_ms:
            return
        by_id = {instance.instance_id: instance for instance in instances}
        with_tasks = {
            instance_id: instance for instance_id, instance in by_id.items() if instance.tasks
        }
        self._records.update(
            (instance.instance_id, self._record(instance, store_ms, now))
            for instance in with_tasks.values()
            if instance.instance_id not in self._records and self._is_silent(instance, read_until)
        )
        ended = [
            instance_id
            for instance_id, record in self._records.items()
            if self._has_ended(with_tasks.get(instance_id), record, now)
        ]
        added = {
            instance_id: record.since_ms
            for instance_id, record in self._records.items()
            if not record.stored and instance_id not in ended
        }
        if added or ended:
            self._store.update_silent_workers(fence, added, ended)
        for instance_id in added:
            self._records[instance_id].stored = True
        for instance_id in ended:
            del self._records[instance_id]
            if instance_id in by_id:
                by_id[instance_id].extension_suspended = False

    def _is_silent(self, instance: WorkerInstance, read_until: float) -> bool:
        is_unanswered = bool(instance.missed_polls) or not instance.last_contact_at
        silent_since = max(self._started_at, instance.last_contact_at)
        return is_unanswered and read_until >= silent_since + SILENCE_TIMEOUT_S

    def _record(self, instance: WorkerInstance, store_ms: int, now: float) -> SilenceRecord:
        instance.suspend_extension()
        remaining_s = min(instance.leased_until - now, self._max_remaining_lease_s)
        since_ms = store_ms - int((self._max_remaining_lease_s - remaining_s) * MS_PER_S)
        return SilenceRecord(since_ms, now, False)

    def _has_ended(
        self, instance: WorkerInstance | None, record: SilenceRecord, now: float
    ) -> bool:
        if instance is None:
            # Until then the entries may be incomplete.
            return now >= self._started_at + SILENCE_TIMEOUT_S
        return instance.last_contact_at > record.recorded_at
