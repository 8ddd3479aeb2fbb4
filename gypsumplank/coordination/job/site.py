"""Track one worker life: its clock, its room and how long its tasks may run on."""

import threading
from dataclasses import dataclass, field

from gypsumplank.coordination.job.model import Task
from gypsumplank.protocol.job import Room
from gypsumplank.protocol.worker import WorkerEntry, WorkerState

# Percent of its capacity at which a lasting task is at work.
AT_WORK = 100
# A worker's clock may be this share slow, as the platform states.
CLOCK_RATE = 0.98
# Pause after a lease's end before its tasks count as gone, seconds; covers rounding to ms.
LAPSE_MARGIN_S = 0.1
# Age of the last answer up to which a worker counts as in contact, seconds; over one hold.
CONTACT_FRESH_S = 3.0
# Holds unanswered in a row after which a worker counts as out of reach.
MISSES_OUT = 2
# Failures in a row of different jobs after which a worker counts as unsound.
FAILURES_SUSPECT = 2
# Time without trying an unsound worker again, seconds.
SUSPECT_S = 6.0
# Time without starts after a refusal for want of room or health, seconds.
REFUSED_S = 0.5


def life_name(worker: str, born: int) -> str:
    """Return a name for one life of a worker."""
    return f"{worker}@{born}"


@dataclass
class WorkerClock:
    """Bound a worker's clock from below; `at` is monotonic seconds, `ms` its reading then."""

    ms: int = 0
    at: float = 0.0

    def least_ms(self, now: float) -> int:
        """Return the least reading that is possible now."""
        return self.ms + int((now - self.at) * 1000 * CLOCK_RATE)

    def learn(self, ms: int, at: float) -> None:
        """Take in a reading that was taken at this moment or before."""
        if ms > self.least_ms(at):
            self.ms, self.at = ms, at


@dataclass(eq=False)
class Site:
    """Hold what this daemon knows of one worker life; times are monotonic seconds.

    `refreshed_at` is when its entry was last seen to change, `covered_until` when every lease
    that was given is over at the latest, `noted` and `acked` the ends taken in and confirmed, `due`
    that its machine's upkeep is still to come, `held_back` that no lease is extended yet.
    """

    entry: WorkerEntry
    born: int
    clock: WorkerClock
    listed: bool = True
    refreshed_at: float = 0.0
    contacted_at: float = 0.0
    missed: int = 0
    covered_until: float = 0.0
    refused_until: float = 0.0
    suspect_until: float = 0.0
    failures: int = 0
    last_failed_job: str = ""
    leaving: bool = False
    due: bool = False
    held_back: bool = False
    noted: int = 0
    acked: int = 0
    tasks: dict[str, Task] = field(default_factory=dict)
    wake: threading.Event = field(default_factory=threading.Event)
    gone: bool = False

    @property
    def id(self) -> str:
        """Return the worker's identifier."""
        return self.entry.id

    @property
    def life(self) -> str:
        """Return a name for this life of the worker."""
        return life_name(self.id, self.born)

    @property
    def rack(self) -> str:
        """Return the last label, by convention the worker's rack."""
        return self.entry.labels[-1] if self.entry.labels else ""

    def covers(self, now: float, lease_s: float) -> int:
        """Return a lease's end on the worker's clock, and count on it being in force."""
        self.covered_until = max(self.covered_until, now + lease_s / CLOCK_RATE)
        return self.clock.least_ms(now) + int(lease_s * 1000)

    def has_lapsed(self, now: float) -> bool:
        """Tell whether no task that was started here can still be at work."""
        return now > self.covered_until + LAPSE_MARGIN_S

    @property
    def in_reach(self) -> bool:
        """Tell whether the worker answers."""
        return self.contacted_at > 0 and self.missed < MISSES_OUT

    def contact_is_fresh(self, now: float) -> bool:
        """Tell whether the worker answered lately and is not out of reach."""
        return self.in_reach and not self.gone and now - self.contacted_at < CONTACT_FRESH_S

    def takes_work(self, now: float) -> bool:
        """Tell whether a task may be started here."""
        return (
            not self.gone
            and self.listed
            and not self.leaving
            and self.in_reach
            and self.entry.state is WorkerState.READY
            and now >= self.refused_until
        )

    def is_suspect(self, now: float) -> bool:
        """Tell whether tasks of several jobs failed here one after another."""
        return now < self.suspect_until

    def has_starting(self) -> bool:
        """Tell whether a lasting task was started here and is not at work yet."""
        return any(
            task.step.order.lasting and task.answered_at and task.percent < AT_WORK
            for task in list(self.tasks.values())
        )

    def used(self) -> Room:
        """Return the room that tasks take which count against the worker's room."""
        cpu = memory = accelerators = 0
        for task in self.tasks.values():
            need = task.step.order.need
            cpu += 0 if task.step.order.fills else need.cpu
            memory += need.memory_mb
            accelerators += need.accelerators
        return Room(cpu, memory, accelerators)

    def free(self) -> Room:
        """Return the room that is left."""
        return self.entry.room - self.used()

    def note_end(self, job: str, failed: bool, now: float) -> None:
        """Learn from a run's end whether the worker is sound."""
        if not failed:
            self.failures = 0
            self.suspect_until = 0.0
            return
        if job != self.last_failed_job:
            self.failures += 1
            self.last_failed_job = job
        if self.failures >= FAILURES_SUSPECT:
            self.suspect_until = now + SUSPECT_S
