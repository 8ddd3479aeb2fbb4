"""Keep what accounts use up to date, from the worker instances whose tasks have changed.

Answers 1,000 running tasks of which 30 change in a round: a sum over all of them took longer than
the decisions that need it.
"""

from collections import defaultdict
from collections.abc import Collection
from dataclasses import dataclass

from gypsumplank.coordination.job.accountshare import Party, ServiceUse
from gypsumplank.coordination.job.instance import AssignedTasks, WorkerInstance
from gypsumplank.coordination.job.model import Task
from gypsumplank.coordination.job.usage import Usage, has_begun, is_lasting_use
from gypsumplank.protocol.job import Resources


class Amounts:
    """Add up resources, and count their parts, as a sum of parts without a need is not empty."""

    __slots__ = ("accelerators", "count", "cpu", "memory_mb")

    def __init__(self) -> None:
        self.count = self.cpu = self.memory_mb = self.accelerators = 0

    def add(self, amount: Resources, sign: int = 1) -> None:
        """Add a part, or remove it if the sign is -1."""
        self.count += sign
        self.cpu += sign * amount.cpu
        self.memory_mb += sign * amount.memory_mb
        self.accelerators += sign * amount.accelerators

    def total(self) -> Resources:
        """Return the sum."""
        return Resources(self.cpu, self.memory_mb, self.accelerators)


@dataclass(slots=True)
class InstanceUse:
    """Store what was counted for a worker instance; `changes` is that of its tasks."""

    service: str
    room: Resources
    registered: bool
    assigned: AssignedTasks
    changes: int
    tasks: dict[str, Task]
    unassigned: tuple[Task, ...]

    def is_of(self, instance: WorkerInstance) -> bool:
        """Return whether nothing but the assigned tasks may have changed."""
        entry = instance.entry
        return (
            self.assigned is instance.tasks
            and self.unassigned is instance.unassigned_tasks
            and self.registered is instance.registered
            and self.room == entry.room
            and self.service == entry.service
        )


class UsageTracker:
    """Follow the tasks of all worker instances; used by the scheduler's thread only.

    A task counts once for each of its runs that may be at work, best-effort tasks with their full
    need, and runs that a worker reports although they are not assigned to it count in any case.
    """

    def __init__(self) -> None:
        self._uses: dict[WorkerInstance, InstanceUse] = {}
        self._lasting: dict[WorkerInstance, tuple[Task, ...]] = {}
        self._accounts: defaultdict[str, Amounts] = defaultdict(Amounts)
        self._parties: defaultdict[Party, Amounts] = defaultdict(Amounts)
        self._rooms: defaultdict[str, Amounts] = defaultdict(Amounts)

    def usage(self, instances: Collection[WorkerInstance]) -> dict[str, Usage]:
        """Return what each account uses on these instances."""
        self._update(instances)
        lasting: defaultdict[str, Amounts] = defaultdict(Amounts)
        for tasks in self._lasting.values():
            # Whether a run is to be stopped changes without a change of the instance.
            for task in filter(is_lasting_use, tasks):
                lasting[task.step.job.stored.account].add(task.step.order.need)
        return {
            account: Usage(
                sums.total(), lasting[account].total() if account in lasting else Resources()
            )
            for account, sums in self._accounts.items()
            if account and sums.count
        }

    def begun(self, instances: Collection[WorkerInstance]) -> dict[str, Resources]:
        """Return what the runs of each account use that may be at work."""
        self._update(instances)
        waiting: defaultdict[str, Amounts] = defaultdict(Amounts)
        for use in self._uses.values():
            for task in use.tasks.values():
                # Nearly all were sent by this leader, so that the rest is seldom asked.
                if not (task.sent_at or has_begun(task)):
                    waiting[task.step.job.stored.account].add(task.step.order.need)
        return {
            account: sums.total() - waiting[account].total() if account in waiting else sums.total()
            for account, sums in self._accounts.items()
            if account
        }

    def service_use(self, instances: Collection[WorkerInstance]) -> ServiceUse:
        """Return the use of each service; runs that are being stopped count."""
        self._update(instances)
        return ServiceUse(
            {service: sums.total() for service, sums in self._rooms.items() if sums.count},
            {party: sums.total() for party, sums in self._parties.items() if sums.count},
        )

    def _update(self, instances: Collection[WorkerInstance]) -> None:
        for instance in instances:
            use = self._uses.get(instance)
            if use is None or not use.is_of(instance):
                self._remove(instance)
                use = self._add(instance)
            if use.changes != instance.tasks.changes:
                self._follow(instance, use)
        if len(self._uses) > len(instances):
            for instance in self._uses.keys() - set(instances):
                self._remove(instance)
            self._drop_empty()

    def _add(self, instance: WorkerInstance) -> InstanceUse:
        """Count an instance without its assigned tasks."""
        entry, unassigned = instance.entry, instance.unassigned_tasks
        use = self._uses[instance] = InstanceUse(
            entry.service, entry.room, instance.registered, instance.tasks, -1, {}, unassigned
        )
        self._count_instance(use, 1)
        return use

    def _remove(self, instance: WorkerInstance) -> None:
        use = self._uses.pop(instance, None)
        if use is not None:
            self._lasting.pop(instance, None)
            self._count_instance(use, -1)
            for task in use.tasks.values():
                self._count_task(use, task, -1)

    def _count_instance(self, use: InstanceUse, sign: int) -> None:
        if use.registered:
            self._rooms[use.service].add(use.room, sign)
        for task in use.unassigned:
            # Runs that are not assigned count for caps only.
            self._accounts[task.step.job.stored.account].add(task.step.order.need, sign)

    def _count_task(self, use: InstanceUse, task: Task, sign: int) -> None:
        account, need = task.step.job.stored.account, task.step.order.need
        self._accounts[account].add(need, sign)
        self._parties[use.service, account].add(need, sign)

    def _follow(self, instance: WorkerInstance, use: InstanceUse) -> None:
        """Count the assigned tasks that were added or removed."""
        counted, tasks = use.tasks, instance.tasks
        for name, task in counted.items():
            if tasks.get(name) is not task:
                self._count_task(use, task, -1)
        for name, task in tasks.items():
            if counted.get(name) is not task:
                self._count_task(use, task, 1)
        use.tasks, use.changes = dict(tasks), tasks.changes
        lasting = tuple(
            task for task in (*tasks.values(), *use.unassigned) if task.step.order.lasting
        )
        if lasting:
            self._lasting[instance] = lasting
        else:
            self._lasting.pop(instance, None)

    def _drop_empty(self) -> None:
        for sums in (self._accounts, self._rooms):
            for name in [name for name, each in sums.items() if not each.count]:
                del sums[name]
        for party in [party for party, each in self._parties.items() if not each.count]:
            del self._parties[party]
