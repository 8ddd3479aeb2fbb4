"""Track one instance of a worker: its clock, free resources, health and task leases."""

import threading
from dataclasses import dataclass, field
from typing import Any

from gypsumplank.coordination.job.model import Task
from gypsumplank.coordination.job.observation import ReceivedReport
from gypsumplank.protocol.job import Resources
from gypsumplank.protocol.worker import WorkerEntry, WorkerState

# Reported percentage from which a long-running task counts as serving.
FULL_CAPACITY_PERCENT = 100
# Slowest rate of a worker's clock relative to this daemon's; the platform guarantees it.
MIN_CLOCK_RATE = 0.98
# Time after the end of a lease before its tasks count as ended, seconds; covers rounding to ms.
LEASE_EXPIRY_MARGIN_S = 0.1
# Age of the last report up to which a worker counts as in contact, seconds; longer than one long
# poll (LONG_POLL_S in dispatcher.py, 1 s).
CONTACT_MAX_AGE_S = 3.0
# Consecutive polls without a response after which a worker counts as unreachable.
UNREACHABLE_AFTER_MISSED_POLLS = 2
# Consecutive failures of different jobs after which a worker counts as suspect.
SUSPECT_AFTER_FAILED_JOBS = 2
# Time for which a suspect worker is avoided, seconds.
SUSPECT_PERIOD_S = 6.0
# Time without further starts on a worker after it refused one, for example for lack of resources or
# health, seconds.
REFUSAL_BACKOFF_S = 0.5
# Time after a worker's last report for which it counts as still the known instance, seconds. One
# that restarted under its id executes a start that was meant for its last instance, by a deadline
# on another clock, and forgets ends that are acknowledged by the last one's numbers.
VERIFIED_FOR_S = 1.0


def format_instance_id(worker: str, incarnation: int) -> str:
    """Return an identifier of one instance of a worker."""
    return f"{worker}@{incarnation}"


@dataclass
class WorkerClock:
    """Bound a worker's clock from below; its reading was `reading_ms` at monotonic `read_at`."""

    reading_ms: int = 0
    read_at: float = 0.0

    def lower_bound_ms(self, now: float) -> int:
        """Return the lowest reading that the worker's clock can have now."""
        return self.reading_ms + int((now - self.read_at) * 1000 * MIN_CLOCK_RATE)

    def observe(self, reading_ms: int, read_at: float) -> None:
        """Update the bound with a reading that was taken at `read_at` or earlier."""
        if reading_ms > self.lower_bound_ms(read_at):
            self.reading_ms, self.read_at = reading_ms, read_at


class AssignedTasks(dict[str, Task]):
    """Keep tasks by name, and what they use together, as that is asked for in each round.

    `changes` counts the changes.
    """

    _used: Resources | None = None
    _has_best_effort = False
    changes = 0

    def _note_change(self) -> None:
        self._used = None
        self.changes += 1

    def __setitem__(self, name: str, task: Task) -> None:
        self._note_change()
        super().__setitem__(name, task)

    def __delitem__(self, name: str) -> None:
        self._note_change()
        super().__delitem__(name)

    def pop(self, name: str, *default: Any) -> Any:
        """Remove a task and return it."""
        self._note_change()
        return super().pop(name, *default)

    def update(self, *others: Any, **tasks: Task) -> None:
        """Add tasks."""
        self._note_change()
        super().update(*others, **tasks)

    def clear(self) -> None:
        """Remove all tasks."""
        self._note_change()
        super().clear()

    def used(self) -> Resources:
        """Return the resources that the tasks take; best-effort tasks take no CPU."""
        if self._used is None:
            cpu = memory = accelerators = 0
            self._has_best_effort = False
            for task in self.values():
                order = task.step.order
                need = order.need
                if order.fills:
                    self._has_best_effort = True
                else:
                    cpu += need.cpu
                memory += need.memory_mb
                accelerators += need.accelerators
            self._used = Resources(cpu, memory, accelerators)
        return self._used

    def has_best_effort(self) -> bool:
        """Return whether any of the tasks is a best-effort task."""
        self.used()
        return self._has_best_effort


@dataclass(eq=False)
class WorkerInstance:
    """Represent one instance of a worker; times are monotonic seconds.

    `incarnation` is the worker's start in ms since 1970. `registered` tells whether the worker has
    an entry, and `entry_changed_after` when it was last known not to have changed yet. A worker
    that `has_deregistered` removed its entry on leaving, or that expired. `verified_at` is when
    this instance last answered, `last_contact_at` when that was processed, and `last_request_at`
    when the report was requested. All leases that this
    leader has granted end by `granted_until`, those of earlier leaders by `inherited_until`; while
    `extension_suspended` is set, none is extended.
    `last_seen_end`, `last_acked_end` and `last_forgotten_end` number the task ends that were
    processed, acknowledged (at `acked_at`) and are gone. A `cordoned` worker gets no new tasks, one
    with `maintenance_due` gets long-running tasks last, and a `detached` one is no longer polled.
    `is_down` is set once the platform lists its machine as without a worker, and
    `has_unassigned_runs` is set while the worker executes runs that are not assigned to it; where
    there are client accounts, `unassigned_tasks` are their tasks, as far as they are known. `wake`
    ends the wait of the polling thread before its next poll.
    """

    entry: WorkerEntry
    incarnation: int
    clock: WorkerClock
    registered: bool = True
    entry_changed_after: float = 0.0
    has_deregistered: bool = False
    last_contact_at: float = 0.0
    last_request_at: float = 0.0
    verified_at: float = 0.0
    missed_polls: int = 0
    granted_until: float = 0.0
    inherited_until: float = 0.0
    refused_until: float = 0.0
    suspect_until: float = 0.0
    consecutive_failed_jobs: int = 0
    last_failed_job: str = ""
    cordoned: bool = False
    maintenance_due: bool = False
    extension_suspended: bool = False
    last_seen_end: int = 0
    last_acked_end: int = 0
    acked_at: float = 0.0
    last_forgotten_end: int = 0
    tasks: AssignedTasks = field(default_factory=AssignedTasks)
    wake: threading.Event = field(default_factory=threading.Event)
    detached: bool = False
    is_down: bool = False
    has_unassigned_runs: bool = False
    unassigned_tasks: tuple[Task, ...] = ()
    _lease_lock: threading.Lock = field(default_factory=threading.Lock, repr=False)

    @property
    def id(self) -> str:
        """Return the worker's identifier."""
        return self.entry.id

    @property
    def instance_id(self) -> str:
        """Return the identifier of this instance."""
        return format_instance_id(self.id, self.incarnation)

    @property
    def rack(self) -> str:
        """Return the worker's rack, by convention its last label."""
        return self.entry.labels[-1] if self.entry.labels else ""

    @property
    def ack_cursor(self) -> int:
        """Return the end to acknowledge; 0 once the worker has forgotten the acknowledged ends."""
        return self.last_acked_end if self.last_acked_end > self.last_forgotten_end else 0

    def sendable_ack_cursor(self, now: float) -> int:
        """Return the end to acknowledge now; 0 until the worker has answered lately.

        It may have started again under its id. The next instance numbers its ends anew, and would
        forget them unseen.
        """
        answered_at = max(self.last_contact_at, self.verified_at)
        is_known = not self.missed_polls and now - answered_at <= VERIFIED_FOR_S
        return self.ack_cursor if is_known else 0

    def record_answer(self, answered_at: float) -> int:
        """Note that this instance has answered a poll; return how many it had missed before."""
        misses, self.missed_polls = self.missed_polls, 0
        self.verified_at = answered_at
        return misses

    def record_forgotten_ends(self, received: ReceivedReport) -> None:
        """Note that the worker has forgotten the acknowledged ends, if a report proves it."""
        ended = received.report.ended
        are_gone = all(end.number > self.last_acked_end for end in ended)
        if received.sent_at > self.acked_at and are_gone:
            self.last_forgotten_end = self.last_acked_end

    @property
    def leased_until(self) -> float:
        """Return when all leases have ended that any leader has granted."""
        return max(self.granted_until, self.inherited_until)

    def inherit_leases(self, now: float, lease_s: float) -> None:
        """Note that the leases which earlier leaders granted end within `lease_s` from now."""
        self.inherited_until = now + lease_s / MIN_CLOCK_RATE

    def limit_inherited_leases(self, answered_at: float, max_lease_s: float) -> None:
        """Note that the worker rejects the fencing tokens of earlier leaders since `answered_at`.

        That bounds what those have granted, and nothing that was granted under this leader's token.
        """
        limit = answered_at + max_lease_s / MIN_CLOCK_RATE
        self.inherited_until = min(self.inherited_until, limit)

    def inherit_from(self, placeholder: "WorkerInstance") -> None:
        """Take over the tasks and leases of a placeholder for this instance."""
        self.tasks.update(placeholder.tasks)
        self.granted_until = placeholder.granted_until
        self.inherited_until = placeholder.inherited_until
        self.extension_suspended = placeholder.extension_suspended

    def extend_leases(self, now: float, lease_s: float) -> int:
        """Extend the leases to `lease_s` from now; return their end in ms of the worker's clock."""
        with self._lease_lock:
            return self._extend_leases(now, lease_s)

    def try_extend_leases(self, now: float, lease_s: float) -> int | None:
        """Extend the leases as `extend_leases` does; return None if that is suspended."""
        with self._lease_lock:
            return None if self.extension_suspended else self._extend_leases(now, lease_s)

    def _extend_leases(self, now: float, lease_s: float) -> int:
        self.granted_until = max(self.granted_until, now + lease_s / MIN_CLOCK_RATE)
        return self.clock.lower_bound_ms(now) + int(lease_s * 1000)

    def suspend_extension(self) -> None:
        """Stop the extension of leases; `granted_until` does not change from then on."""
        with self._lease_lock:
            self.extension_suspended = True

    def leases_have_expired(self, now: float) -> bool:
        """Return whether every task that was started here has ended, as its lease has expired."""
        return now > self.leased_until + LEASE_EXPIRY_MARGIN_S

    @property
    def is_reachable(self) -> bool:
        """Return whether the worker has answered recent polls."""
        return self.last_contact_at > 0 and self.missed_polls < UNREACHABLE_AFTER_MISSED_POLLS

    def is_in_contact(self, now: float) -> bool:
        """Return whether the worker is reachable and sent a report recently."""
        return (
            self.is_reachable
            and not self.detached
            and now - self.last_contact_at < CONTACT_MAX_AGE_S
        )

    def accepts_tasks(self, now: float) -> bool:
        """Return whether tasks may be started here."""
        return (
            not self.detached
            and self.registered
            and not self.cordoned
            and not self.extension_suspended
            and not self.is_down
            and not self.has_unassigned_runs
            and self.is_reachable
            and self.entry.state is WorkerState.READY
            and now >= self.refused_until
        )

    @property
    def is_busy(self) -> bool:
        """Return whether the worker has tasks, other runs, or ends to forget."""
        return bool(self.tasks) or self.has_unassigned_runs or self.ack_cursor > 0

    def is_suspect(self, now: float) -> bool:
        """Return whether tasks of several jobs failed here in a row, or a run stalled here."""
        return now < self.suspect_until

    def needs_frequent_reports(self) -> bool:
        """Return whether a start or a stop here decides on what the worker can take next."""
        if self.has_unassigned_runs or self.has_starting_suspect():
            return True
        return any(
            task.step.order.lasting
            and task.start_confirmed_at
            and task.percent < FULL_CAPACITY_PERCENT
            for task in list(self.tasks.values())
        )

    def has_suspect(self) -> bool:
        """Return whether a task is here that may crash its workers and has not proven harmless."""
        # Hardly any worker has such tasks, and this is asked for each worker in each round.
        lost = self._tasks_with_losses()
        return bool(lost) and any(task.is_suspect and not task.has_proven_harmless for task in lost)

    def _tasks_with_losses(self) -> list[Task]:
        """Return the tasks under which a worker was lost."""
        return [task for task in list(self.tasks.values()) if task.crashes or task.lost_on]

    def latest_start(self, now: float) -> float:
        """Return when a run was last started here; `now` if a start is about to be sent."""
        return max((task.sent_at or now for task in self.tasks.values()), default=0.0)

    def has_starting_suspect(self) -> bool:
        """Return whether a task that may crash its workers has just been started here."""
        return any(task.is_suspect and not task.has_settled for task in self._tasks_with_losses())

    def used(self) -> Resources:
        """Return the resources that the assigned tasks take; best-effort tasks take no CPU."""
        return self.tasks.used()

    def free(self) -> Resources:
        """Return the free resources."""
        return self.entry.room - self.used()

    @property
    def is_overfull(self) -> bool:
        """Return whether the assigned tasks exceed the capacity, as the worker has shrunk."""
        return not self.entry.room.can_fit(self.used())

    def entry_age_s(self, now: float) -> float:
        """Return the least time since the worker wrote its entry, in seconds."""
        return (self.clock.lower_bound_ms(now) - self.entry.clock_ms) / 1000

    def record_task_end(self, job: str, failed: bool, now: float) -> None:
        """Update from the end of a batch task's run whether the worker is suspect."""
        if not failed:
            self.consecutive_failed_jobs = 0
            self.suspect_until = 0.0
            return
        if job != self.last_failed_job:
            self.consecutive_failed_jobs += 1
            self.last_failed_job = job
        if self.consecutive_failed_jobs >= SUSPECT_AFTER_FAILED_JOBS:
            self.suspect_until = now + SUSPECT_PERIOD_S
