"""Measure the work that waits for each service, and the jobs beyond their accounts' rates.

Answers an account that submits several times its weight while capacity is short: 1,200 jobs waited
for the scheduler then. The leader publishes the result, so that every daemon can reject at once
what would only wait.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from gypsumplank.coordination.job.demand import DEFAULT_ESTIMATE_MS, USABLE_SHARE
from gypsumplank.coordination.job.instance import WorkerInstance
from gypsumplank.coordination.job.model import Job, Step
from gypsumplank.protocol.decoder import Count, NonNegativeFloat
from gypsumplank.protocol.job import FINAL_JOB_STATES, Resources, TaskPhase

# Time over which an account's arrivals are counted, milliseconds.
ARRIVALS_WINDOW_MS = 1000
# Excess jobs held by their accounts' caps that may be stored in addition to those that wait for
# capacity; half of the 1,200 waiting jobs that the scheduler's rounds are specified for.
MAX_HELD_JOBS = 600


@dataclass(frozen=True)
class AccountPressure:
    """Store an account's waiting jobs beyond its weight, and its recent arrivals per second."""

    excess_jobs: Count
    arrivals_per_s: NonNegativeFloat


@dataclass(frozen=True)
class ServicePressure:
    """Store how long a service's workers would take for all work that waits, in milliseconds.

    `accounts` are those that have excess jobs waiting. Where capacity is free, excess jobs start at
    once, so that none of them wait. Those held by their account's cap do not count as waiting,
    unless there are more than MAX_HELD_JOBS.
    """

    backlog_ms: Count = 0
    accounts: Mapping[str, AccountPressure] = field(default_factory=dict)


@dataclass(frozen=True)
class Pressure:
    """Represent the load at one time, `at_ms` on the store's clock, of services with excess."""

    at_ms: Count = 0
    services: Mapping[str, ServicePressure] = field(default_factory=dict)

    @property
    def is_high(self) -> bool:
        """Return whether an account has excess jobs waiting."""
        return bool(self.services)


@dataclass(frozen=True)
class MeasureTimes:
    """Store the time of a measurement: monotonic seconds, and ms on two clocks."""

    now: float
    wall_ms: float
    store_ms: int


def measure_pressure(
    jobs: Iterable[Job], instances: Iterable[WorkerInstance], times: MeasureTimes
) -> Pressure:
    """Return the present load of all services in which excess jobs wait."""
    backlogs: defaultdict[str, _Backlog] = defaultdict(_Backlog)
    for instance in instances:
        if instance.accepts_tasks(times.now):
            backlogs[instance.entry.service].add_worker(instance.entry.room)
    for job in jobs:
        is_over = job.state in FINAL_JOB_STATES or job.cancelled
        if not is_over and not job.waits_for_queue:
            backlogs[job.service].add(job, times.wall_ms)
    has_many_held = sum(each.held_jobs for each in backlogs.values()) > MAX_HELD_JOBS
    pressures = {name: backlog.pressure(has_many_held) for name, backlog in backlogs.items()}
    return Pressure(times.store_ms, {name: each for name, each in pressures.items() if each})


class _Backlog:
    """Sum up the waiting work of one service, and the arrivals of each account."""

    def __init__(self) -> None:
        self._capacity = Resources()
        self._work_ms = 0.0
        self._arrivals: Counter[str] = Counter()
        self._excess_jobs: Counter[str] = Counter()
        self._held_jobs: Counter[str] = Counter()

    @property
    def held_jobs(self) -> int:
        """Return how many excess jobs wait since their accounts have reached their caps."""
        return self._held_jobs.total()

    def add_worker(self, capacity: Resources) -> None:
        """Add the capacity of a worker."""
        self._capacity = self._capacity + capacity

    def add(self, job: Job, wall_ms: float) -> None:
        """Add the waiting batch tasks of a job, steps that are not ready yet included."""
        self._work_ms += sum(map(self._step_ms, job.steps.values()))
        if account := job.stored.account:
            self._arrivals[account] += wall_ms - job.stored.accepted_ms <= ARRIVALS_WINDOW_MS
            is_due = job.due_ms(0) <= wall_ms
            jobs = self._held_jobs if job.is_held else self._excess_jobs
            jobs[account] += job.is_excess and is_due and not job.started

    def _step_ms(self, step: Step) -> float:
        order = step.order
        if order.lasting or order.fills:
            return 0.0
        waiting = sum(1 for task in step.tasks if task.phase is TaskPhase.WAITING)
        if not waiting:
            return 0.0
        return waiting * (order.estimate_ms or DEFAULT_ESTIMATE_MS) * self._share(order.need)

    def _share(self, need: Resources) -> float:
        pairs = (
            (need.cpu, self._capacity.cpu),
            (need.memory_mb, self._capacity.memory_mb),
            (need.accelerators, self._capacity.accelerators),
        )
        return max((n / (USABLE_SHARE * total) for n, total in pairs if total), default=0.0)

    def pressure(self, with_held: bool) -> ServicePressure | None:
        """Return the sum of what was added, None if no excess job waits."""
        waiting = self._excess_jobs + self._held_jobs if with_held else self._excess_jobs
        accounts = {
            name: AccountPressure(count, self._arrivals[name] * 1000 / ARRIVALS_WINDOW_MS)
            for name, count in waiting.items()
            if count
        }
        return ServicePressure(round(self._work_ms), accounts) if accounts else None
