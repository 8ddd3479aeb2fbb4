"""Track the machines that each service's jobs demand, and derive minimum pool sizes.

Answers queues that take turns: for a few seconds one asks for more than its pool holds, and
machines that are moved there arrive when part of the turn is over. So a service asks for the load
that its arriving jobs offer, and not for all that waits. While another service lacks machines for
jobs that can still be in time, it asks for none for jobs that can only be late.
"""

import heapq
import math
from collections import Counter, defaultdict, deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from gypsumplank.coordination.job.model import Job, Step
from gypsumplank.protocol.job import FINAL_JOB_STATES, Resources, TaskPhase

# Share of a machine's resources that planning counts on; the rest is lost to fragmentation.
USABLE_SHARE = 0.85
# Window over which peak demand is measured, seconds; keeps a pool from shrinking while its demand
# drops for a shorter time.
PEAK_WINDOW_S = 1.5
# Share of its initial size that a pool's batch tasks must demand for it to count as busy.
BUSY_SHARE = 0.3
# Share of its initial size that an idle pool keeps; reserved for sudden bursts of demand.
IDLE_RESERVE_SHARE = 0.5

# Window over which the peak of the firm demand is measured, seconds. While another service lacks
# machines, a pool gives up those beyond it.
FIRM_PEAK_WINDOW_S = 0.5
# Window over which the rate of arrivals is measured, milliseconds. What is offered lags behind a
# rising rate by half the length of the jobs; a shorter window would ask for chance arrivals.
ARRIVAL_WINDOW_MS = 800
# Time in which overdue work should be done, milliseconds.
BACKLOG_CLEARANCE_MS = 2000
# Duration that is assumed for tasks without an estimate, milliseconds.
DEFAULT_ESTIMATE_MS = 1000

# Times kept for each job, and in all, until they are found anew from the jobs.
MAX_TIMES_PER_JOB = 4
MIN_TIMES = 1000
# Margin for the rounding of times, seconds.
ROUNDING_S = 1e-6

# Returns the time from its arrival in which a job is done in time, milliseconds.
ObjectiveMs = Callable[[Job], float]

OPEN_PHASES = (TaskPhase.WAITING, TaskPhase.ASSIGNED)


class ServiceDemand:
    """Track how many machines one service's jobs demand.

    `initial_size` is how many machines the pool had when the fleet was first seen, `current` the
    present demand and `peak` its maximum over the window. `firm` and `firm_peak` leave out work
    that can only be late. `last_busy_at` is in monotonic seconds, None if the service was never
    busy.
    """

    def __init__(self, initial_size: int) -> None:
        self.initial_size = initial_size
        self.current = 0
        self.peak = 0
        self.last_busy_at: float | None = None
        self.firm = 0
        self.firm_peak = 0
        self._samples: deque[tuple[float, int]] = deque()
        self._firm_samples: deque[tuple[float, int]] = deque()

    def update(self, machines: int, batch: int, now: float, firm: int | None = None) -> None:
        """Record the machines that all tasks demand now, those that batch tasks do, and `firm`.

        Without `firm`, no task is late.
        """
        self.current = machines
        self.firm = machines if firm is None else firm
        self._firm_samples.append((now, self.firm))
        while self._firm_samples[0][0] < now - FIRM_PEAK_WINDOW_S:
            self._firm_samples.popleft()
        self.firm_peak = max(count for _, count in self._firm_samples)
        self._samples.append((now, machines))
        while self._samples[0][0] < now - PEAK_WINDOW_S:
            self._samples.popleft()
        self.peak = max(count for _, count in self._samples)
        if batch and batch >= BUSY_SHARE * self.initial_size:
            self.last_busy_at = now

    def is_busy(self, now: float) -> bool:
        """Return whether the service was busy in the last PEAK_WINDOW_S."""
        return self.last_busy_at is not None and now - self.last_busy_at <= PEAK_WINDOW_S

    def is_idle(self, now: float) -> bool:
        """Return whether the service was busy once, but not in the last PEAK_WINDOW_S."""
        return self.last_busy_at is not None and not self.is_busy(now)

    @property
    def idle_size(self) -> int:
        """Return how many machines the pool keeps while it is idle."""
        return max(self.peak, math.ceil(IDLE_RESERVE_SHARE * self.initial_size))


def minimum_sizes(demands: Mapping[str, ServiceDemand], now: float) -> dict[str, int]:
    """Return how many machines each pool keeps regardless of its present demand.

    Services are expected to be busy in turn. The next one is any that has not been busy yet, or
    else the one that has been idle longest. Pools of services that are busy or expected to be busy
    next keep their initial size.
    """
    idle = [name for name, demand in demands.items() if demand.is_idle(now)]
    if all(demand.last_busy_at is not None for demand in demands.values()):
        idle.sort(key=lambda name: demands[name].last_busy_at or 0.0)
        idle = idle[1:]
    return {
        name: demand.idle_size if name in idle else demand.initial_size
        for name, demand in demands.items()
    }


@dataclass(frozen=True)
class Load:
    """Store the resources that a service's open tasks keep busy: long-running and batch tasks.

    `late` is for batch tasks that cannot be done in time any more.
    """

    long_running: Resources = Resources()
    batch: Resources = Resources()
    late: Resources = Resources()

    @property
    def firm(self) -> Resources:
        """Return the resources of the tasks that can still be done in time."""
        return self.long_running + self.batch

    @property
    def total(self) -> Resources:
        """Return the resources of all tasks."""
        return self.firm + self.late


@dataclass(frozen=True)
class LoadShare:
    """Store what one job adds to the load of its service, or the sum of these.

    `offered` is what batch jobs would keep busy if none had to wait: the work of each job, spread
    evenly over its critical path from its arrival on. `running` is what is assigned,
    and `late_running` what is assigned of jobs that cannot be in time any more. `overdue_work`, in
    resources times ms, waits although its job would have ended by now, and `late_work` although its
    job cannot be in time any more. `arriving` is the work of the `arrivals` of the last
    ARRIVAL_WINDOW_MS, divided by it.
    """

    long_running: Resources = Resources()
    offered: Resources = Resources()
    running: Resources = Resources()
    overdue_work: Resources = Resources()
    arriving: Resources = Resources()
    late_running: Resources = Resources()
    late_work: Resources = Resources()
    arrivals: int = 0

    def __add__(self, other: "LoadShare") -> "LoadShare":
        return LoadShare(
            self.long_running + other.long_running,
            self.offered + other.offered,
            self.running + other.running,
            self.overdue_work + other.overdue_work,
            self.arriving + other.arriving,
            self.late_running + other.late_running,
            self.late_work + other.late_work,
            self.arrivals + other.arrivals,
        )

    def __sub__(self, other: "LoadShare") -> "LoadShare":
        return LoadShare(
            self.long_running - other.long_running,
            self.offered - other.offered,
            self.running - other.running,
            self.overdue_work - other.overdue_work,
            self.arriving - other.arriving,
            self.late_running - other.late_running,
            self.late_work - other.late_work,
            self.arrivals - other.arrivals,
        )

    def load(self) -> Load:
        """Return the load, with the overdue work spread over BACKLOG_CLEARANCE_MS."""
        batch = self.offered.at_least(self.running)
        if self.arrivals > 1:
            # A window that is measured from an arrival on holds one more than the rate tells.
            rate = self.arriving.scaled(self.arrivals - 1).divided(self.arrivals)
            batch = batch.at_least(rate)
        return Load(
            self.long_running,
            batch + self.overdue_work.divided(BACKLOG_CLEARANCE_MS),
            self.late_running + self.late_work.divided(BACKLOG_CLEARANCE_MS),
        )


def load_share(
    job: Job, now: float, wall_ms: float, objective_ms: float = math.inf
) -> tuple[LoadShare, float]:
    """Return what an open job adds to the load, and how long that holds if it does not change.

    `now` is in monotonic seconds, `wall_ms` since 1970, and the result in ms; infinite if the share
    holds for ever. `objective_ms` is the time from its arrival in which the job is in time. Of a
    job that waits for its queue or its account's cap, only what is assigned counts.
    """
    total, holds_ms = LoadShare(), math.inf
    is_waiting = job.waits_for_queue or job.is_held
    phases = (TaskPhase.ASSIGNED,) if is_waiting else OPEN_PHASES
    if job.has_schedule:
        job.open_due_occurrences(wall_ms)
        holds_ms = max(0.0, job.next_due_ms - wall_ms)
    for step in job.steps.values():
        order = step.order
        if order.fills:
            continue
        open_tasks = [task for task in step.tasks if task.phase in phases]
        if order.lasting:
            total += LoadShare(long_running=order.need.scaled(len(open_tasks)))
            continue
        age_ms = (now - job.arrived_at) * 1000
        if job.has_schedule:
            age_ms = wall_ms - job.due_ms(step.occurrence)
        if age_ms < 0:
            holds_ms = min(holds_ms, -age_ms)
            continue
        assigned = sum(1 for task in open_tasks if task.phase is TaskPhase.ASSIGNED)
        waiting = len(open_tasks) - assigned
        slack_ms = objective_ms - step.remaining_path_ms() - age_ms
        parts = [_assigned_share(step, assigned, slack_ms)]
        if not is_waiting:
            parts.append(_waiting_share(step, waiting, age_ms, slack_ms))
        total = sum((share for share, _ in parts), total)
        holds_ms = min(holds_ms, *(part_holds_ms for _, part_holds_ms in parts))
    return total, holds_ms


def _assigned_share(step: Step, assigned: int, slack_ms: float) -> tuple[LoadShare, float]:
    """Return what the assigned tasks of a batch step add, and how long that holds, in ms."""
    if not assigned:
        return LoadShare(), math.inf
    need = step.order.need.scaled(assigned)
    # The remaining path counts a task in full until it ends, so that its run adds to the slack.
    slack_ms += step.order.estimate_ms or DEFAULT_ESTIMATE_MS
    if slack_ms < 0:
        return LoadShare(late_running=need), math.inf
    return LoadShare(running=need), slack_ms


def _waiting_share(
    step: Step, waiting: int, age_ms: float, slack_ms: float
) -> tuple[LoadShare, float]:
    """Return what a batch step adds besides what is assigned, and how long that holds, in ms.

    Jobs whose critical path is shorter than ARRIVAL_WINDOW_MS do not count for the rate of
    arrivals, as the load that they offer shows as much.
    """
    order, path_ms = step.order, step.job.longest_path_ms or DEFAULT_ESTIMATE_MS
    estimate_ms = order.estimate_ms or DEFAULT_ESTIMATE_MS
    if age_ms < path_ms:
        work = order.need.scaled(len(step.tasks) * estimate_ms)
        offered = work.divided(path_ms)
        if not age_ms < ARRIVAL_WINDOW_MS < path_ms:
            return LoadShare(offered=offered), path_ms - age_ms
        arriving = work.divided(ARRIVAL_WINDOW_MS)
        share = LoadShare(offered=offered, arriving=arriving, arrivals=int(step.position == 0))
        return share, ARRIVAL_WINDOW_MS - age_ms
    if not waiting:
        return LoadShare(), math.inf
    work = order.need.scaled(waiting * estimate_ms)
    if slack_ms < 0:
        return LoadShare(late_work=work), math.inf
    return LoadShare(overdue_work=work), slack_ms


def estimate_loads(
    jobs: Iterable[Job],
    now: float,
    wall_ms: float,
    objective_ms: ObjectiveMs = lambda _job: math.inf,
) -> dict[str, Load]:
    """Return the load of each service that has open jobs."""
    shares: defaultdict[str, LoadShare] = defaultdict(LoadShare)
    for job in jobs:
        if job.state not in FINAL_JOB_STATES:
            shares[job.service] += load_share(job, now, wall_ms, objective_ms(job))[0]
    return {service: share.load() for service, share in shares.items()}


class LoadTracker:
    """Keep the load of each service that has open jobs, as `estimate_loads` returns it.

    Answers queues of over 1,000 jobs: only the shares of jobs that changed, or that have reached an
    age at which their share changes, are computed again.
    """

    def __init__(self, objective_ms: ObjectiveMs) -> None:
        self._objective_ms = objective_ms
        self._shares: dict[Job, LoadShare] = {}
        self._sums: dict[str, LoadShare] = {}
        self._open: Counter[str] = Counter()
        self._due: list[tuple[float, int, Job]] = []
        self._pushed = 0
        self._scheduled: set[Job] = set()

    def update_changed(self, changed: Iterable[Job], now: float, wall_ms: float) -> None:
        """Bring the shares of jobs that changed up to date; those of others may be due too."""
        for job in changed:
            self._replace(job, now, wall_ms)
        if len(self._due) > MAX_TIMES_PER_JOB * len(self._shares) + MIN_TIMES:
            # Most of these times were replaced when their jobs changed.
            self._due.clear()
            for job in list(self._shares):
                self._replace(job, now, wall_ms)

    def update(self, changed: Iterable[Job], now: float, wall_ms: float) -> None:
        """Bring the shares of all jobs up to date; `changed` are those that have changed."""
        due = set(changed) | self._scheduled
        while self._due and self._due[0][0] <= now:
            job = heapq.heappop(self._due)[-1]
            if job in self._shares:
                due.add(job)
        self.update_changed(due, now, wall_ms)

    def _replace(self, job: Job, now: float, wall_ms: float) -> None:
        earlier = self._shares.pop(job, None)
        if earlier is not None:
            self._sums[job.service] -= earlier
            self._open[job.service] -= 1
        self._scheduled.discard(job)
        if job.state in FINAL_JOB_STATES:
            return
        share, holds_ms = load_share(job, now, wall_ms, self._objective_ms(job))
        self._shares[job] = share
        self._sums[job.service] = self._sums.get(job.service, LoadShare()) + share
        self._open[job.service] += 1
        if job.has_schedule:
            # The time of day may be set, so that no time is known at which the share changes.
            self._scheduled.add(job)
        elif holds_ms < math.inf:
            self._pushed += 1
            heapq.heappush(self._due, (now + holds_ms / 1000 - ROUNDING_S, self._pushed, job))

    def loads(self) -> dict[str, Load]:
        """Return the load of each service that has open jobs."""
        return {
            service: share.load() for service, share in self._sums.items() if self._open[service]
        }


def machines_needed(resources: Resources, size: Resources) -> int:
    """Return how many machines of a size provide these resources."""
    pairs = (
        (resources.cpu, size.cpu),
        (resources.memory_mb, size.memory_mb),
        (resources.accelerators, size.accelerators),
    )
    return max(
        (math.ceil(need / (USABLE_SHARE * capacity)) for need, capacity in pairs if capacity > 0),
        default=0,
    )
