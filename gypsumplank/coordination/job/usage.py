"""Sum up what client accounts use, and decide which starts their caps allow.

Answers an account that submits more than it may use, and one whose cap is lowered below what runs.
What may be running counts until evidence.py proves it over: usagetracker.py sums usage over the
same runs from which placement takes the free resources of workers.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

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
        self._caps: dict[str, Resources] = {}
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
        self._caps = {
            name: account.cap
            for name, account in (dropped | self._accounts).items()
            if account.cap != Resources()
        }
        self.has_any = bool(self._accounts or self._dropped)

    def find(self, name: str) -> Account | None:
        """Return an account; None if no manifest that was read contains it."""
        return self._accounts.get(name) or self._dropped.get(name)

    def cap(self, name: str) -> Resources | None:
        """Return the cap of an account; None if nothing limits it."""
        return self._caps.get(name)


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


def is_lasting_use(task: Task) -> bool:
    """Return whether a task is long-running and not being stopped."""
    return task.step.order.lasting and task.should_run and not task.step.job.cancelled


def has_begun(task: Task) -> bool:
    """Return whether a run may be at work; members of a gang that is done may be too."""
    return task.may_have_begun or task.is_final


def _is_under_half(amount: int, limit: int) -> bool:
    return not limit or 2 * amount < limit


def _may_add(amount: int, more: int, limit: int) -> bool:
    return not limit or amount + more <= limit or 2 * amount < limit


def is_under_half(used: Resources, cap: Resources) -> bool:
    """Return whether an account uses less than half of its cap in each limited resource."""
    return (
        _is_under_half(used.cpu, cap.cpu)
        and _is_under_half(used.memory_mb, cap.memory_mb)
        and _is_under_half(used.accelerators, cap.accelerators)
    )


def may_add(used: Resources, need: Resources, cap: Resources) -> bool:
    """Return whether an account may start a task beside what it uses.

    Below half of the cap any task may start, as the platform allows one task above the cap and
    demands that accounts below half of it are served.
    """
    return (
        _may_add(used.cpu, need.cpu, cap.cpu)
        and _may_add(used.memory_mb, need.memory_mb, cap.memory_mb)
        and _may_add(used.accelerators, need.accelerators, cap.accelerators)
    )


def may_add_gang(
    used: Resources, need: Resources, tasks: int, cap: Resources, overage: float
) -> bool:
    """Return whether an account may start a gang, which counts as a whole.

    Below half of the cap it is still bound by what the platform allows for the start of its last
    task: the cap, its overage and one task.
    """
    total = need.scaled(tasks)
    amounts = (
        (cap.cpu, used.cpu + total.cpu, need.cpu),
        (cap.memory_mb, used.memory_mb + total.memory_mb, need.memory_mb),
        (cap.accelerators, used.accelerators + total.accelerators, need.accelerators),
    )
    is_bounded = all(
        not limit or whole <= limit * (1 + overage) + one for limit, whole, one in amounts
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
