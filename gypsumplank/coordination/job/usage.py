"""Sum up what client accounts use, and decide which starts their caps allow.

Answers an account that submits more than it may use, and one whose cap is lowered below what runs.
What may be running counts until evidence.py proves it over: usage is summed over the same runs
from which placement takes the free resources of workers.
"""

from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass

from gypsumplank.coordination.job.instance import WorkerInstance
from gypsumplank.coordination.job.model import Job, Task
from gypsumplank.protocol.account import Account
from gypsumplank.protocol.job import Resources, StepDefinition
from gypsumplank.protocol.queue import Manifest

# Accounts without open jobs that are remembered after the manifest has dropped them; jobs that
# other daemons accepted by an older manifest may still arrive.
MAX_DROPPED_ACCOUNTS = 1000


class KnownAccounts:
    """Find accounts, also those that the manifest has dropped, by their last definition.

    Used by one thread only. It outlives the terms of a leader, so that a daemon that becomes the
    leader knows the caps of accounts that were dropped before.
    """

    def __init__(self, manifest: Callable[[], Manifest | None]) -> None:
        self._manifest = manifest
        self._in_force: Manifest | None = None
        self._accounts: dict[str, Account] = {}
        self._dropped: dict[str, Account] = {}
        self.has_any = False

    def update(self, jobs: Iterable[Job] = ()) -> None:
        """Follow the manifest; dropped accounts of the given jobs are kept in any case."""
        manifest = self._manifest()
        if manifest is None or manifest is self._in_force:
            return
        self._in_force = manifest
        known = self._dropped | self._accounts
        self._accounts = {account.name: account for account in manifest.accounts or ()}
        dropped = {name: each for name, each in known.items() if name not in self._accounts}
        excess = len(dropped) - MAX_DROPPED_ACCOUNTS
        if excess > 0:
            with_jobs = {job.stored.account for job in jobs}
            for name in [name for name in dropped if name not in with_jobs][:excess]:
                del dropped[name]
        self._dropped = dropped
        self.has_any = bool(self._accounts or self._dropped)

    def find(self, name: str) -> Account | None:
        """Return an account; None if no manifest that was read contains it."""
        return self._accounts.get(name) or self._dropped.get(name)

    def cap(self, name: str) -> Resources | None:
        """Return the cap of an account; None if nothing limits it."""
        account = self.find(name)
        return account.cap if account and account.cap != Resources() else None


@dataclass(frozen=True)
class Usage:
    """Store the resources of an account's runs.

    `lasting` is the part of long-running tasks that are not being stopped.
    """

    total: Resources = Resources()
    lasting: Resources = Resources()

    def plus(self, amount: Resources) -> "Usage":
        """Return the usage with further runs, which do not count as long-running."""
        return Usage(self.total + amount, self.lasting)


def sum_usage(
    instances: Iterable[WorkerInstance], is_counted: Callable[[Task], bool] = lambda _task: True
) -> dict[str, Usage]:
    """Return what each account uses on all workers; best-effort tasks count with their full need.

    A task counts once for each of its runs that may be at work. Runs that a worker reports although
    they are not assigned to it count in any case, others only if `is_counted`.
    """
    totals: defaultdict[str, list[int]] = defaultdict(lambda: [0] * 6)
    for task in _counted_runs(instances, is_counted):
        account = task.step.job.stored.account
        if not account:
            continue
        need, sums = task.step.order.need, totals[account]
        is_lasting = task.step.order.lasting and task.should_run and not task.step.job.cancelled
        for start in (0, 3) if is_lasting else (0,):
            sums[start] += need.cpu
            sums[start + 1] += need.memory_mb
            sums[start + 2] += need.accelerators
    return {
        account: Usage(Resources(*sums[:3]), Resources(*sums[3:]))
        for account, sums in totals.items()
    }


def _counted_runs(
    instances: Iterable[WorkerInstance], is_counted: Callable[[Task], bool]
) -> Iterator[Task]:
    for instance in instances:
        yield from filter(is_counted, instance.tasks.values())
        yield from instance.unassigned_tasks


def has_begun(task: Task) -> bool:
    """Return whether a run may be at work; members of a gang that is done may be too."""
    return task.may_have_begun or task.is_final


def _limited(cap: Resources, *amounts: Resources) -> Iterator[tuple[int, ...]]:
    """Yield each limit of a cap that is not 0, with the amounts of its resource."""
    for field in ("cpu", "memory_mb", "accelerators"):
        if limit := getattr(cap, field):
            yield limit, *(getattr(amount, field) for amount in amounts)


def is_under_half(used: Resources, cap: Resources) -> bool:
    """Return whether an account uses less than half of its cap in each limited resource."""
    return all(2 * amount < limit for limit, amount in _limited(cap, used))


def may_add(used: Resources, need: Resources, cap: Resources) -> bool:
    """Return whether an account may start a task beside what it uses.

    Below half of the cap any task may start, as the platform allows one task above the cap and
    demands that accounts below half of it are served.
    """
    return all(
        amount + more <= limit or 2 * amount < limit
        for limit, amount, more in _limited(cap, used, need)
    )


def may_add_gang(
    used: Resources, need: Resources, tasks: int, cap: Resources, overage: float
) -> bool:
    """Return whether an account may start a gang, which counts as a whole.

    Below half of the cap it is still bound by what the platform allows for the start of its last
    task: the cap, its overage and one task.
    """
    total = need.scaled(tasks)
    is_bounded = all(
        amount + whole <= limit * (1 + overage) + one
        for limit, amount, whole, one in _limited(cap, used, total, need)
    )
    return is_bounded and may_add(used, total, cap)


def count_startable(
    used: Resources, order: StepDefinition, waiting: int, cap: Resources, overage: float
) -> int:
    """Return how many of a step's waiting tasks may start; for a gang all or 0."""
    if order.gang:
        return waiting if may_add_gang(used, order.need, order.tasks, cap, overage) else 0
    count = 0
    while count < waiting and may_add(used, order.need, cap):
        used = used + order.need
        count += 1
    return count
