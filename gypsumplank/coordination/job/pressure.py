"""Measure the work that waits for each service, and the jobs beyond their accounts' rates.

Answers an account that submits several times its weight while capacity is short: 1,200 jobs waited
for the scheduler then. The leader publishes the result, so that every daemon can reject at once
what would only wait.
"""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

from gypsumplank.coordination.job.demand import DEFAULT_ESTIMATE_MS, USABLE_SHARE
from gypsumplank.coordination.job.instance import WorkerInstance
from gypsumplank.coordination.job.model import Job, Step
from gypsumplank.protocol.decoder import Count, NonNegativeFloat
from gypsumplank.protocol.job import FINAL_JOB_STATES, Resources, TaskPhase

# Time over which an account's arrivals are counted, milliseconds.
ARRIVALS_WINDOW_MS = 1000


@dataclass(frozen=True)
class ServicePressure:
    """Store how long a service's workers would take for all work that waits, in milliseconds.

    `has_free` tells that a worker could take the smallest of the tasks that are ready.
    """

    backlog_ms: Count = 0
    has_free: bool = False


@dataclass(frozen=True)
class AccountPressure:
    """Store an account's waiting jobs beyond its weight, and its recent arrivals per second."""

    excess_jobs: Count
    arrivals_per_s: NonNegativeFloat


@dataclass(frozen=True)
class Pressure:
    """Represent the load at one time, `at_ms` on the store's clock."""

    at_ms: Count = 0
    services: Mapping[str, ServicePressure] = field(default_factory=dict)
    accounts: Mapping[str, AccountPressure] = field(default_factory=dict)

    @property
    def is_high(self) -> bool:
        """Return whether an account has excess jobs waiting, and a service no free capacity."""
        full = any(not service.has_free for service in self.services.values())
        return full and bool(self.accounts)


@dataclass(frozen=True)
class MeasureTimes:
    """Store the time of a measurement: monotonic seconds, and ms on two clocks."""

    now: float
    wall_ms: float
    store_ms: int


def measure_pressure(
    jobs: Iterable[Job],
    instances: Iterable[WorkerInstance],
    is_excess: Callable[[Job], bool],
    times: MeasureTimes,
) -> Pressure:
    """Return the present load of all services that have work waiting."""
    backlogs = _make_backlogs(instances, times.now)
    arrivals: Counter[str] = Counter()
    excess_jobs: Counter[str] = Counter()
    for job in jobs:
        backlog = backlogs.get(job.service)
        is_over = job.state in FINAL_JOB_STATES or job.cancelled
        if backlog is None or is_over or job.waits_for_queue:
            continue
        if account := job.stored.account:
            arrivals[account] += times.wall_ms - job.stored.accepted_ms <= ARRIVALS_WINDOW_MS
            excess_jobs[account] += not job.started and is_excess(job)
        backlog.add(job, times.wall_ms)
    accounts = {
        name: AccountPressure(count, arrivals[name] * 1000 / ARRIVALS_WINDOW_MS)
        for name, count in excess_jobs.items()
        if count
    }
    services = {name: each.pressure() for name, each in backlogs.items() if each.has_work}
    return Pressure(times.store_ms, services, accounts)


def _make_backlogs(instances: Iterable[WorkerInstance], now: float) -> dict[str, "_Backlog"]:
    backlogs: defaultdict[str, _Backlog] = defaultdict(_Backlog)
    for instance in instances:
        if instance.accepts_tasks(now):
            backlogs[instance.entry.service].add_worker(instance.entry.room, instance.free())
    return dict(backlogs)


class _Backlog:
    """Sum up the waiting work of one service."""

    def __init__(self) -> None:
        self._capacity = Resources()
        self._free: list[Resources] = []
        self._smallest_need: Resources | None = None
        self._work_ms = 0.0

    @property
    def has_work(self) -> bool:
        """Return whether a task waits for capacity."""
        return self._smallest_need is not None

    def add_worker(self, capacity: Resources, free: Resources) -> None:
        """Add the capacity of a worker, and what of it is free."""
        self._capacity = self._capacity + capacity
        self._free.append(free)

    def add(self, job: Job, wall_ms: float) -> None:
        """Add the waiting batch tasks of a job, steps that are not ready yet included."""
        for step in job.steps.values():
            step_ms = self._step_ms(step)
            self._work_ms += step_ms
            need = step.order.need
            is_smaller = self._smallest_need is None or need.cpu < self._smallest_need.cpu
            if step_ms and is_smaller and job.is_ready(step, wall_ms):
                self._smallest_need = need

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

    def pressure(self) -> ServicePressure:
        """Return the sum of what was added."""
        need = self._smallest_need
        has_free = need is None or any(free.can_fit(need) for free in self._free)
        return ServicePressure(round(self._work_ms), has_free)
