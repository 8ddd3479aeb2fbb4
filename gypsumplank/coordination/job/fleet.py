"""Keep track of all worker instances, from registry entries and terminated machines."""

import logging
from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping, Sequence

from gypsumplank.coordination.job.crash import UndecidedLosses, record_crash, record_loss
from gypsumplank.coordination.job.dispatcher import WorkerDispatcher
from gypsumplank.coordination.job.evidence import (
    CurrentWorkers,
    Proof,
    find_proof_in_lease,
    find_proof_in_list,
    find_proof_in_restart,
    find_proof_of_departure,
    find_proof_of_replacement,
    has_deregistered,
    has_no_worker,
)
from gypsumplank.coordination.job.instance import WorkerClock, WorkerInstance, format_instance_id
from gypsumplank.coordination.job.model import Task
from gypsumplank.coordination.job.report import requeue_task
from gypsumplank.log import Event, event
from gypsumplank.protocol.queue import Machine, MachineState
from gypsumplank.protocol.worker import RunningTask, WorkerEntry, WorkerState
from gypsumplank.state.clock import Clock

# Time after the end of its own lease for which a leader still extends task leases, seconds; a store
# outage that is shorter ends no task.
EXTENSION_GRACE_S = 3.0
logger = logging.getLogger(__name__)


class Fleet:
    """Track the worker instances that are registered or have tasks.

    Used by the scheduler's thread only. `instances` is keyed by the worker's identifier, or by the
    instance's for a placeholder of an instance that is not registered. `read_until` returns the
    monotonic time up to which all reports were handled.
    """

    def __init__(
        self,
        clock: Clock,
        max_lease_s: float,
        heartbeat_s: float,
        read_until: Callable[[], float] | None = None,
    ) -> None:
        self._clock = clock
        self.read_until = read_until or clock.monotonic
        self.heartbeat_s = heartbeat_s
        self._ended_instance_ids: set[str] = set()
        self.max_lease_s = max_lease_s
        self.dispatcher: WorkerDispatcher | None = None
        self.instances: dict[str, WorkerInstance] = {}
        self.undecided_losses = UndecidedLosses()
        self._entries_read_at = 0.0

    def restore(self, tasks: Sequence[Task], now: float) -> None:
        """Take up tasks that an earlier leader assigned; their runs may or may not exist."""
        by_instance: defaultdict[tuple[str, int], list[Task]] = defaultdict(list)
        for task in tasks:
            task.unconfirmed_since = now
            by_instance[task.worker, task.incarnation].append(task)
        for (worker, incarnation), assigned in by_instance.items():
            current = self.instances.get(worker)
            if current is not None and current.incarnation > incarnation:
                record_crash(assigned, last_contact_at=0.0)
            for task in assigned:
                self._instance_for(task, now).tasks[task.name] = task

    def _instance_for(self, task: Task, now: float) -> WorkerInstance:
        """Return the worker instance of an assigned task; create a placeholder if it is unknown."""
        instance = self.instances.get(task.worker)
        if instance is not None and instance.incarnation >= task.incarnation:
            # A start that was not confirmed may still be executed by a later instance.
            if task.incarnation != instance.incarnation:
                task.incarnation = instance.incarnation
                task.step.dirty = True
            return instance
        key = format_instance_id(task.worker, task.incarnation)
        if key not in self.instances:
            entry = WorkerEntry(
                task.worker,
                task.step.job.service,
                "",
                "",
                WorkerState.DRAINING,
                task.step.order.need,
                machine=task.machine,
            )
            placeholder = WorkerInstance(
                entry, task.incarnation, WorkerClock(0, now), registered=False, detached=True
            )
            placeholder.inherit_leases(now, EXTENSION_GRACE_S + self.max_lease_s)
            self.instances[key] = placeholder
        return self.instances[key]

    def apply_entries(
        self,
        entries: Sequence[WorkerEntry],
        complete: bool = True,
        requested_at: float | None = None,
    ) -> None:
        """Update the worker instances from registry entries that were requested at a time.

        If the entries are not `complete`, a worker that responds is kept although it has no entry.
        """
        now, read_until = self._clock.monotonic(), self.read_until()
        if complete:
            # An ended instance whose entry is gone cannot be taken up again.
            self._ended_instance_ids.intersection_update(
                format_instance_id(entry.id, entry.born) for entry in entries
            )
        entries = [
            entry
            for entry in entries
            if format_instance_id(entry.id, entry.born) not in self._ended_instance_ids
        ]
        entries_by_id = {entry.id: entry for entry in entries}
        latest_by_machine = self._latest_answering()
        for key, instance in list(self.instances.items()):
            entry = entries_by_id.get(instance.id)
            latest = latest_by_machine.get(instance.entry.machine)
            proof = find_proof_of_replacement(instance, latest, read_until)
            if proof is not None and latest is not None:
                self._end_replaced(key, instance, latest.entry, proof, now)
                continue
            if entry is not None and not instance.detached and entry.born == instance.incarnation:
                self._update_entry(instance, entry, now)
                continue
            if entry is None and not complete and instance.is_in_contact(read_until):
                continue
            if complete and has_deregistered(instance, self.heartbeat_s, now):
                instance.has_deregistered = True
            instance.registered = False
            if departure := find_proof_of_departure(instance):
                self._requeue_all(instance, now, departure)
            if entry is not None and entry.born > instance.incarnation:
                self.replace_incarnation(key, instance, entry, now)
            self.remove_if_idle(key, instance)
        for entry in entries:
            is_ended = format_instance_id(entry.id, entry.born) in self._ended_instance_ids
            if entry.id not in self.instances and not is_ended:
                self._add_instance(entry, now)
        self._entries_read_at = now if requested_at is None else requested_at
        self.undecided_losses.decide(CurrentWorkers(self.instances, latest_by_machine), now)

    def _latest_answering(self) -> dict[str, WorkerInstance]:
        """Return the latest worker on each machine that has answered; an entry proves nothing."""
        answering = (each for each in self.instances.values() if each.last_contact_at)
        return {
            instance.entry.machine: instance
            for instance in sorted(answering, key=lambda each: each.incarnation)
            if instance.entry.machine
        }

    def _end_replaced(
        self,
        key: str,
        instance: WorkerInstance,
        successor: WorkerEntry,
        proof: Proof,
        now: float,
    ) -> None:
        """End an instance whose machine runs a later worker; its entry may still exist."""
        _log_crash(instance, successor)
        self._ended_instance_ids.add(instance.instance_id)
        _record_crash(instance, instance.tasks.values())
        self._requeue_all(instance, now, proof)
        self._remove(key, instance)

    def _add_instance(self, entry: WorkerEntry, now: float) -> WorkerInstance:
        instance = WorkerInstance(entry, entry.born, WorkerClock(entry.clock_ms, now))
        self.instances[entry.id] = instance
        placeholder = self.instances.pop(format_instance_id(entry.id, entry.born), None)
        if placeholder is not None:
            instance.inherit_from(placeholder)
        event(
            logger,
            Event.WORKER_FOUND,
            worker=entry.id,
            service=entry.service,
            machine=entry.machine,
            state=entry.state.value,
        )
        if self.dispatcher is not None:
            self.dispatcher.start_polling(instance)
        return instance

    def _update_entry(self, instance: WorkerInstance, entry: WorkerEntry, now: float) -> None:
        if entry.state is not instance.entry.state or not instance.registered:
            event(logger, Event.WORKER_CHANGED, worker=instance.id, state=entry.state.value)
        instance.registered = True
        instance.has_deregistered = False
        if entry.seq != instance.entry.seq:
            instance.clock.observe(entry.clock_ms, now)
            instance.entry_changed_after = self._entries_read_at
        instance.entry = entry

    def replace_incarnation(
        self,
        key: str,
        instance: WorkerInstance,
        entry: WorkerEntry,
        now: float,
        running: Iterable[RunningTask] = (),
    ) -> None:
        """Replace an instance by the next one of the same worker, where runs may be `running`.

        Runs that the instance has reported ended with it. The next instance may have executed the
        start of any other, or may still do so, as starts name the worker only.
        """
        tasks = list(instance.tasks.values())
        started_later = {task.name for task in running}
        _log_crash(instance, entry)
        _record_crash(instance, (task for task in tasks if task.name not in started_later))
        self._remove(key, instance)
        successor = self.instances.get(entry.id)
        if successor is None or successor.incarnation < entry.born:
            successor = self._add_instance(entry, now)
        for task in tasks:
            instance.tasks.pop(task.name, None)
            if proof := find_proof_in_restart(task):
                requeue_task(instance, task, now, proof)
                continue
            task.incarnation = successor.incarnation
            if not task.start_confirmed_at:
                task.unconfirmed_since = task.unconfirmed_since or now
            # The next instance does not know of starts that the last one was told to refuse.
            task.stop_sent_at = task.stop_confirmed_at = 0.0
            task.step.dirty = True
            successor.tasks[task.name] = task
            # A delayed start begins a full lease on the successor.
            successor.extend_leases(now, self.max_lease_s)

    def has_silent_tasks(self) -> bool:
        """Return whether tasks are assigned to a worker that did not answer its last poll."""
        return any(
            instance.tasks and instance.missed_polls and not instance.is_down
            for instance in self.instances.values()
        )

    def end_down(self, machines: Mapping[str, Machine], requested_at: float, now: float) -> None:
        """End the instances whose machine had no worker in a list requested at `requested_at`."""
        for key, instance in list(self.instances.items()):
            machine = machines.get(instance.entry.machine)
            if instance.is_down or not has_no_worker(instance, machine, requested_at):
                continue
            if machine is not None and machine.state is MachineState.DOWN:
                _log_crash(instance)
                _record_crash(instance, instance.tasks.values())
            self._end_down(key, instance, requested_at, now)

    def _end_down(
        self, key: str, instance: WorkerInstance, requested_at: float, now: float
    ) -> None:
        instance.is_down = True
        for task in list(instance.tasks.values()):
            if proof := find_proof_in_list(task, requested_at):
                requeue_task(instance, task, now, proof)
        if not instance.tasks:
            self._ended_instance_ids.add(instance.instance_id)
            self._remove(key, instance)

    @staticmethod
    def _requeue_all(instance: WorkerInstance, now: float, proof: Proof) -> None:
        for task in list(instance.tasks.values()):
            requeue_task(instance, task, now, proof)

    def requeue_expired(self, instance: WorkerInstance, now: float) -> None:
        """Requeue the tasks of a silent instance whose leases have expired."""
        proofs = {
            task: proof
            for task in instance.tasks.values()
            if (proof := find_proof_in_lease(task, instance, self.max_lease_s, now))
        }
        if proofs:
            self._log_leases_over(instance, len(proofs), now)
        for task in record_loss(proofs, instance.id):
            self.undecided_losses.add(task)
        for task, proof in proofs.items():
            requeue_task(instance, task, now, proof)

    def _log_leases_over(self, instance: WorkerInstance, tasks: int, now: float) -> None:
        heard_at = instance.last_contact_at
        event(
            logger,
            Event.WORKER_LEASES_OVER,
            worker=instance.id,
            tasks=tasks,
            over_s=round(now - instance.leased_until, 2),
            silent_s=round(now - heard_at, 2) if heard_at else -1,
            unread_s=round(now - self.read_until(), 2),
            misses=instance.missed_polls,
        )

    def remove_if_idle(self, key: str, instance: WorkerInstance) -> None:
        """Remove an instance that is not registered and has no tasks.

        Runs that are not assigned to it still use their accounts' resources until its leases end.
        """
        if instance.unassigned_tasks and not instance.leases_have_expired(self._clock.monotonic()):
            return
        if not instance.registered and not instance.tasks:
            self._remove(key, instance)

    def _remove(self, key: str, instance: WorkerInstance) -> None:
        if self.instances.get(key) is instance:
            del self.instances[key]
        event(logger, Event.WORKER_LOST, worker=instance.id, tasks=len(instance.tasks))
        if self.dispatcher is not None:
            self.dispatcher.stop_polling(instance)

    def by_machine(self) -> dict[str, WorkerInstance]:
        """Return the newest instance on each machine; entries of older ones may still exist."""
        instances = sorted(self.instances.values(), key=lambda instance: instance.incarnation)
        return {instance.entry.machine: instance for instance in instances if not instance.detached}


def _record_crash(instance: WorkerInstance, tasks: Iterable[Task]) -> None:
    """Count a crash against the tasks of an instance, unless it may have left as it announced."""
    has_announced_exit = instance.entry.state is WorkerState.DRAINING and not instance.detached
    if not has_announced_exit and not instance.is_down:
        record_crash(tasks, instance.last_contact_at)


def _log_crash(instance: WorkerInstance, successor: WorkerEntry | None = None) -> None:
    """Log that a worker instance has ended, with its tasks; its machine may run a later one."""
    event(
        logger,
        Event.WORKER_CRASHED,
        worker=instance.id,
        machine=instance.entry.machine,
        successor=successor.id if successor else "",
        tasks=len(instance.tasks),
    )
