"""Check recorded starts of runs for violations that no injected fault may cause."""

import math
from collections.abc import Container, Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass

from gypsumplank.protocol.job import JobDefinition, Resources
from gypsumplank.protocol.worker import EndKind
from standins.simulator import (
    HEARTBEAT_INTERVAL_S,
    MAX_START_DELAY_S,
    RoomChange,
    StartRecord,
)

# Time after which a worker's reduced capacity binds, seconds: the platform's stability window and
# one heartbeat.
SHRINK_GRACE_S = 3.0 + HEARTBEAT_INTERVAL_S
# Starts that the platform permits after MAX_CRASHES workers have crashed under a task.
MAX_CRASHES = 3
MAX_STARTS_AFTER_CRASHES = 2
# Time after a fault from which the rules on cancelled jobs and gangs hold, seconds: the platform's
# stability window.
CALM_S = 3.0
# Time within which a cancellation binds, and in which a stop takes effect, seconds.
CANCEL_S = 3.0
STOP_TIMEOUT_S = 0.9


@dataclass(frozen=True)
class CapRule:
    """Store by how much accounts may exceed their caps, and how soon a new one binds."""

    overage: float
    apply_s: float


def find_violations(
    history: Iterable[StartRecord], submitted: Mapping[str, JobDefinition]
) -> list[str]:
    """Return a description of each violated rule.

    Runs of one task must not overlap, a task must not run again after an acknowledged success, a
    step must not start before the steps it depends on are done, and nothing starts that was not
    submitted so.
    """
    starts = list(history)
    by_task: dict[str, list[StartRecord]] = {}
    for start in starts:
        by_task.setdefault(start.name, []).append(start)
    return [
        *_starts_not_submitted(starts, submitted),
        *_overlapping_runs(by_task),
        *_restarts_after_done(by_task),
        *_starts_before_dependencies(starts, submitted),
    ]


def find_overfull_starts(
    history: Iterable[StartRecord],
    submitted: Mapping[str, JobDefinition],
    changes: Iterable[RoomChange],
) -> list[str]:
    """Return a description of each start that exceeded its worker's capacity.

    A run counts until it has ended, also while it is being stopped. Reduced capacity binds
    SHRINK_GRACE_S later.
    """
    starts, rooms = list(history), list(changes)
    return [
        f"{start.name}: run {start.run} exceeds the capacity of {start.worker}"
        for start in starts
        if not _binding_room(start, rooms).can_fit(_used_with(start, starts, submitted))
    ]


def _used_with(
    start: StartRecord, starts: Iterable[StartRecord], submitted: Mapping[str, JobDefinition]
) -> Resources:
    """Return what the worker's runs use once a start has been carried out."""
    used = Resources()
    for other in starts:
        is_same_worker = (other.worker, other.born) == (start.worker, start.born)
        is_active = other.ended is None or other.ended > start.started_at
        if is_same_worker and other.started_at <= start.started_at and is_active:
            job, _, step, _ = other.name.split(".")
            used = used + submitted[job].steps[int(step)].need
    return used


def _binding_room(start: StartRecord, changes: Iterable[RoomChange]) -> Resources:
    """Return the largest capacity that a worker had within SHRINK_GRACE_S before a start."""
    room, current = Resources(), Resources()
    for change in changes:
        if (change.worker, change.born) != (start.worker, start.born):
            continue
        if change.at > start.started_at:
            break
        if change.at <= start.started_at - SHRINK_GRACE_S:
            room = change.room
        else:
            room = room.at_least(current).at_least(change.room)
        current = change.room
    return room


@dataclass(frozen=True)
class CapChange:
    """Record the caps of all accounts in force from a simulated time on."""

    at: float
    caps: Mapping[str, Resources]


def find_starts_above_cap(
    history: Iterable[StartRecord],
    submitted: Mapping[str, JobDefinition],
    accounts: Mapping[str, str],
    changes: Iterable[CapChange],
    limits: CapRule,
    first: int = 0,
) -> list[str]:
    """Return a description of each start that brought its account above its cap.

    Runs count until they have ended. Of the caps that may be in force, the highest counts. A start
    may exceed the cap by the overage and its own need. The first starts may be left out if `first`
    is where an earlier check ended.
    """
    starts, known = list(history), list(changes)
    return [
        f"{start.name}: run {start.run} exceeds the cap of {accounts[_job_of(start)]}"
        for start in starts[first:]
        if _job_of(start) in accounts
        if not _is_within_cap(start, starts, submitted, accounts, known, limits)
    ]


def _is_within_cap(
    start: StartRecord,
    starts: Iterable[StartRecord],
    submitted: Mapping[str, JobDefinition],
    accounts: Mapping[str, str],
    changes: Sequence[CapChange],
    limits: CapRule,
) -> bool:
    account = accounts[_job_of(start)]
    grace_s = limits.apply_s + (MAX_START_DELAY_S if start.delayed else 0.0)
    caps = _possible_caps(account, changes, start.started_at - grace_s, start.started_at)
    if Resources() in caps:
        return True
    used = Resources()
    for other in starts:
        is_active = other.ended is None or other.ended > start.started_at
        is_same = accounts.get(_job_of(other)) == account
        if is_same and other.started_at <= start.started_at and is_active:
            used = used + _need_of(other, submitted)
    one = _need_of(start, submitted)
    bounds = [
        [math.inf if not cap else cap * (1 + limits.overage) + need for cap, need in pairs]
        for cap in caps
        for pairs in [zip(_amounts(cap), _amounts(one), strict=True)]
    ]
    highest = [max(column) for column in zip(*bounds, strict=True)]
    return all(amount <= bound for amount, bound in zip(_amounts(used), highest, strict=True))


def _possible_caps(
    account: str, changes: Iterable[CapChange], since: float, until: float
) -> list[Resources]:
    """Return the caps of an account that may be in force; one that is not listed has no limit."""
    caps = [Resources()]
    for change in changes:
        if change.at > until:
            break
        if change.at <= since:
            caps = []
        caps.append(change.caps.get(account, Resources()))
    return caps


def _need_of(start: StartRecord, submitted: Mapping[str, JobDefinition]) -> Resources:
    job, _, step, _ = start.name.split(".")
    return submitted[job].steps[int(step)].need


def _amounts(resources: Resources) -> tuple[int, int, int]:
    return resources.cpu, resources.memory_mb, resources.accelerators


def find_deadly_restarts(history: Iterable[StartRecord], deadly_tasks: Container[str]) -> list[str]:
    """Return a description of each deadly task that was started too often."""
    by_task: dict[str, list[StartRecord]] = {}
    for start in history:
        if start.name in deadly_tasks:
            by_task.setdefault(start.name, []).append(start)
    crashed = {
        name: [run.ended for run in runs if run.ended is not None and run.kind is None]
        for name, runs in by_task.items()
    }
    return [
        f"{name}: started {late} times after {MAX_CRASHES} workers had crashed"
        for name, ends in crashed.items()
        if len(ends) >= MAX_CRASHES
        for late in [sum(run.started_at >= ends[MAX_CRASHES - 1] for run in by_task[name])]
        if late > MAX_STARTS_AFTER_CRASHES
    ]


def find_starts_of_cancelled_jobs(
    history: Iterable[StartRecord], cancelled_at: Mapping[str, float], calm_since: float
) -> list[str]:
    """Return a description of each start of a job that was cancelled long before.

    Starts before CALM_S after `calm_since`, and those that workers carried out late, are allowed.
    """
    return [
        f"{start.name}: run {start.run} begins although its job was cancelled"
        for start in history
        if not start.delayed
        and start.started_at > cancelled_at.get(_job_of(start), math.inf) + CANCEL_S
        and start.started_at >= calm_since + CALM_S
    ]


def find_runs_of_cancelled_jobs(
    history: Iterable[StartRecord], cancelled_at: Mapping[str, float], calm_since: float, now: float
) -> list[str]:
    """Return a description of each run that goes on although its job was cancelled long before."""
    allowed_s = CANCEL_S + STOP_TIMEOUT_S
    return [
        f"{start.name}: run {start.run} is at work although its job was cancelled"
        for start in history
        if start.ended is None
        and now > max(cancelled_at.get(_job_of(start), math.inf), calm_since + CALM_S) + allowed_s
    ]


def find_lonely_gang_runs(
    history: Iterable[StartRecord], cancelled: Container[str], calm_since: float
) -> list[str]:
    """Return a description of each run of a gang that waited in vain for the other members."""
    return [
        f"{start.name}: run {start.run} was alone"
        for start in history
        if start.kind is EndKind.GANG_TIMEOUT
        and _job_of(start) not in cancelled
        and start.started_at >= calm_since + CALM_S
    ]


def _job_of(start: StartRecord) -> str:
    return start.name.partition(".")[0]


def _starts_not_submitted(
    starts: Iterable[StartRecord], submitted: Mapping[str, JobDefinition]
) -> Iterator[str]:
    for start in starts:
        order = submitted.get(_job_of(start))
        if order is None or start.spec not in (None, order.spec):
            yield f"{start.name}: run {start.run} was not submitted so"


def _overlapping_runs(by_task: Mapping[str, list[StartRecord]]) -> Iterator[str]:
    for name, runs in by_task.items():
        for i, first in enumerate(runs):
            for second in runs[i + 1 :]:
                ended = first.ended if first.ended is not None else float("inf")
                if second.started_at < ended:
                    yield f"{name}: run {second.run} begins while run {first.run} is at work"


def _restarts_after_done(by_task: Mapping[str, list[StartRecord]]) -> Iterator[str]:
    for name, runs in by_task.items():
        for first in runs:
            if first.kind is None or first.kind.value != "done" or not first.acknowledged:
                continue
            if any(first.ended is not None and later.started_at > first.ended for later in runs):
                yield f"{name}: started again after an end that was noted as done"


def _starts_before_dependencies(
    starts: Iterable[StartRecord], submitted: Mapping[str, JobDefinition]
) -> Iterator[str]:
    done_at: dict[str, float] = {}
    for start in starts:
        if start.kind is not None and start.kind.value == "done" and start.ended is not None:
            done_at[start.name] = min(done_at.get(start.name, start.ended), start.ended)
    for start in starts:
        job, _, step, _ = start.name.split(".")
        order = submitted[job]
        for dependency in order.steps[int(step)].after:
            for index in range(order.steps[dependency].tasks):
                ended = done_at.get(f"{job}.0.{dependency}.{index}")
                if ended is None or ended > start.started_at:
                    yield f"{start.name}: started before step {dependency} was done"
