"""Drain and maintain every machine of a wave, within the wave's cap and the disruption budgets."""

import logging
from collections import Counter
from collections.abc import Collection, Iterator, Mapping, Sequence
from itertools import islice

from gypsumplank.coordination.job.instance import WorkerInstance
from gypsumplank.coordination.job.machine import MachineController
from gypsumplank.coordination.job.model import Step
from gypsumplank.coordination.job.port import Directory
from gypsumplank.coordination.job.preemption import may_interrupt
from gypsumplank.coordination.job.scheduler import Scheduler
from gypsumplank.coordination.job.wave import MachineWaveProgress, task_usage
from gypsumplank.errors import MachineError, MachineRefusedError, StateError
from gypsumplank.log import Event, event
from gypsumplank.protocol.queue import MachineState, MaintenanceWave

# Interval between reads of the waves, seconds; far shorter than a wave.
WAVE_POLL_INTERVAL_S = 1.0
# Time after a take-over in which an earlier leader's stops may still end tasks, seconds; one and a
# half times the platform's longest stop.
TAKEOVER_QUIET_S = 1.5
# Machines that are drained in advance, before the cap allows their maintenance.
DRAIN_AHEAD_MACHINES = 1
# Longest time for which draining waits for batch tasks without checkpoints to end, seconds.
DRAIN_TIMEOUT_S = 4.0
# Longest time for which draining waits for batch tasks with checkpoints to end, seconds.
CHECKPOINT_WAIT_S = 1.0
# Delay before an order that was refused or not sent is given again, seconds.
ORDER_RETRY_S = 1.0
# Delay before an order that got no answer is repeated, seconds.
UNANSWERED_RETRY_S = 0.3

logger = logging.getLogger(__name__)


class MaintenancePlanner:
    """Run the open maintenance waves; used by the scheduler's thread only."""

    def __init__(self, directory: Directory, controller: MachineController) -> None:
        self._directory = directory
        self._controller = controller
        self._next_poll_at = 0.0
        self._plan_suspended_until = 0.0
        self._poll_pending = False
        self._waves: dict[int, MachineWaveProgress] = {}

    def start_term(self, now: float) -> None:
        """Start a term with no waves; the open ones are read again."""
        self._plan_suspended_until = now + TAKEOVER_QUIET_S
        self._waves.clear()
        self._poll_pending = False
        self._next_poll_at = 0.0

    @property
    def has_open_wave(self) -> bool:
        """Return whether any machine's maintenance is still to come or in progress."""
        return any(not progress.is_complete or progress.down for progress in self._waves.values())

    def _poll_waves(self, now: float) -> None:
        if self._poll_pending or now < self._next_poll_at:
            return
        self._poll_pending = True
        self._next_poll_at = now + WAVE_POLL_INTERVAL_S

        def poll() -> None:
            ages: dict[int, float] = {}
            waves: Sequence[MaintenanceWave] | None = None
            try:
                completed = self._directory.completed_waves()
                waves = [wave for wave in self._directory.waves() if wave.number not in completed]
                known = self._waves.keys()
                ages = {
                    wave.number: self._controller.order_log.wave_age_s(wave.number)
                    for wave in waves
                    if wave.number not in known
                }
            except StateError as exc:
                event(logger, Event.STATE_UNAVAILABLE, logging.WARNING, code=exc.code, step="wave")
            self._controller.post(lambda: self._add_waves(waves, ages, now))

        self._controller.run_async(poll)

    def _add_waves(
        self, waves: Sequence[MaintenanceWave] | None, ages: Mapping[int, float], now: float
    ) -> None:
        """Add the waves that are new; drop those that are no longer open; None if not known."""
        self._poll_pending = False
        if waves is None:
            return
        self._drop_closed({wave.number for wave in waves})
        for wave in waves:
            if wave.number in ages and wave.number not in self._waves:
                self._waves[wave.number] = MachineWaveProgress(wave, now - ages[wave.number])
                event(
                    logger,
                    Event.WAVE_CHANGED,
                    wave=wave.number,
                    machines=len(wave.machines),
                    age_s=round(ages[wave.number], 1),
                )

    def _drop_closed(self, open_waves: Collection[int]) -> None:
        """Drop the waves that are not read as open any more and whose machines are up again."""
        for number, progress in list(self._waves.items()):
            is_over = progress.is_complete and not progress.down_count and not progress.draining
            if is_over and progress.reported and number not in open_waves:
                del self._waves[number]

    def plan(self, scheduler: Scheduler, now: float) -> None:
        """Choose machines to drain and stop their tasks."""
        self._poll_waves(now)
        if now < self._plan_suspended_until or not self._controller.can_order(now):
            return
        if self.has_open_wave:
            self._controller.refresh_list(now)
        instances = scheduler.fleet.by_machine()
        for progress in self._waves.values():
            self._remove_recovered(progress, instances)
            self._find_inherited(progress, now)
            self._add_maintained(progress)
            self._add_unanswered(progress, now)
            self._choose_machines(progress, instances, now)
            for machine in progress.wave.machines:
                instance = instances.get(machine)
                if instance is not None:
                    already_ordered = (
                        self._controller.last_wave.get(machine) == progress.wave.number
                    )
                    instance.maintenance_due = (
                        machine not in progress.ordered and not already_ordered
                    )
            progress.log_progress(instances, now)
            for machine, since in progress.draining.items():
                instance = instances.get(machine)
                if instance is not None:
                    drain_instance(scheduler, instance, now - since)

    def _remove_recovered(
        self, progress: MachineWaveProgress, instances: Mapping[str, WorkerInstance]
    ) -> None:
        """Remove machines from `down` that are up in a list requested after their order succeeded.

        Their worker is a new one, or the order had been carried out before and had no effect.
        """
        for machine, since in list(progress.down.items()):
            listed = self._controller.listed.get(machine)
            if self._controller.list_read_at > since and (
                listed is None or listed.state is MachineState.UP
            ):
                del progress.down[machine]
                self._release(machine, instances)

    def _release(self, machine: str, instances: Mapping[str, WorkerInstance]) -> None:
        """Let a machine be chosen again, and its worker get tasks."""
        self._controller.reserved.discard(machine)
        instance = instances.get(machine)
        if instance is not None:
            instance.cordoned = False

    def _find_inherited(self, progress: MachineWaveProgress, now: float) -> None:
        """Find the machines that an earlier leader's order may still keep down."""
        number = progress.wave.number
        progress.inherited = {
            machine
            for machine in progress.wave.machines
            if self._controller.last_wave.get(machine) == number
            and not self._controller.is_handover_over(machine, now)
        }

    def _add_maintained(self, progress: MachineWaveProgress) -> None:
        """Count the machines whose maintenance was accepted for this wave, by any leader."""
        number = progress.wave.number
        progress.ordered.update(
            machine
            for machine in progress.wave.machines
            if self._controller.maintained_wave.get(machine) == number
        )

    def _add_unanswered(self, progress: MachineWaveProgress, now: float) -> None:
        """Order again what an earlier leader ordered, if its acceptance is not recorded."""
        number = progress.wave.number
        for machine in progress.wave.machines:
            is_ordered = self._controller.last_wave.get(machine) == number
            is_answered = machine in progress.ordered or machine in progress.retry_at
            if not is_ordered or is_answered:
                continue
            progress.unanswered.setdefault(machine, now)
            is_taken = machine in progress.in_flight or machine in self._controller.reserved
            if not is_taken and machine not in progress.draining:
                progress.draining[machine] = now
                self._controller.reserved.add(machine)

    def _choose_machines(
        self, progress: MachineWaveProgress, instances: dict[str, WorkerInstance], now: float
    ) -> None:
        available_slots = progress.wave.cap + DRAIN_AHEAD_MACHINES - progress.taken_count
        if available_slots <= 0 or not self._controller.machines:
            return
        pending = [
            machine
            for machine in progress.wave.machines
            if progress.needs_drain(machine, now) and machine not in self._controller.reserved
        ]
        idle = [machine for machine in pending if not self._has_tasks(instances.get(machine))]
        occupied = [machine for machine in pending if self._has_tasks(instances.get(machine))]
        if idle and not progress.ordered and not set(instances).difference(progress.wave.machines):
            # First maintain idle machines, so that long-running tasks can move to those afterwards.
            occupied = [
                machine for machine in occupied if not task_usage(instances.get(machine))[0]
            ]
        # Machines with long-running tasks come first, as disruption budgets make them the slowest.
        occupied.sort(
            key=lambda machine: (
                -task_usage(instances.get(machine))[0],
                task_usage(instances.get(machine))[1],
            )
        )
        quota = max(0, progress.required_concurrency(now) - progress.taken_count)
        ready = islice(self._interruptible(occupied, instances, now), quota)
        for machine in [*idle, *ready][:available_slots]:
            progress.draining[machine] = now
            self._controller.reserved.add(machine)

    @staticmethod
    def _interruptible(
        machines: Sequence[str], instances: Mapping[str, WorkerInstance], now: float
    ) -> Iterator[str]:
        """Yield the machines whose long-running tasks may be interrupted now."""
        interrupted: Counter[Step] = Counter()
        for machine in machines:
            long_running = {}
            for task in instances[machine].tasks.values():
                if task.step.order.lasting:
                    long_running[task.step] = task
            if all(
                may_interrupt(task, now, interrupted[step]) for step, task in long_running.items()
            ):
                interrupted.update(long_running.keys())
                yield machine

    @staticmethod
    def _has_tasks(instance: WorkerInstance | None) -> bool:
        return instance is not None and bool(instance.tasks)

    def order_ready_machines(self, scheduler: Scheduler, now: float) -> None:
        """Order the maintenance of machines that are drained."""
        if not self._controller.can_order(now):
            return
        instances = scheduler.fleet.by_machine()
        for progress in self._waves.values():
            for machine in list(progress.draining):
                if not progress.may_order(machine, now):
                    continue
                instance = instances.get(machine)
                if self._controller.is_handover_over(machine, now) and (
                    instance is None or not instance.tasks
                ):
                    self._order_maintenance(scheduler, progress, machine, instance)
            self._report_state(progress)

    def _order_maintenance(
        self,
        scheduler: Scheduler,
        progress: MachineWaveProgress,
        machine: str,
        instance: WorkerInstance | None,
    ) -> None:
        del progress.draining[machine]
        progress.in_flight.add(machine)
        number = progress.wave.number
        instance_id = instance.instance_id if instance is not None else ""
        event(logger, Event.MAINTENANCE_ORDERED, wave=number, machine=machine, worker=instance_id)
        self._controller.order_maintenance(
            machine,
            number,
            lambda failure: self._handle_order_result(scheduler, progress, machine, failure),
        )

    def _handle_order_result(
        self,
        scheduler: Scheduler,
        progress: MachineWaveProgress,
        machine: str,
        failure: MachineError | None,
    ) -> None:
        """Record an order's result; success may mean that it had been carried out before.

        So it ends no worker. The list of machines shows whether the one that is there has ended.
        """
        progress.in_flight.discard(machine)
        now = scheduler.now()
        reason = failure.reason if isinstance(failure, MachineRefusedError) else ""
        if failure is None or reason in {"missing", "wave"}:
            progress.ordered.add(machine)
            progress.unanswered.pop(machine, None)
        if failure is None:
            progress.down[machine] = now
            return
        progress.retry_at[machine] = now + ORDER_RETRY_S
        if failure.may_be_executed:
            progress.unanswered[machine] = now
        elif reason == "busy" and progress.is_order_void(machine, now):
            progress.unanswered.pop(machine, None)
        if machine in progress.unanswered:
            progress.draining[machine] = now
            progress.retry_at[machine] = now + UNANSWERED_RETRY_S
            return
        self._release(machine, scheduler.fleet.by_machine())

    def _report_state(self, progress: MachineWaveProgress) -> None:
        number, complete = progress.wave.number, progress.is_complete
        if progress.reported is complete:
            return
        progress.reported = complete

        def report() -> None:
            try:
                self._directory.report_wave(number, complete)
            except StateError as exc:
                event(logger, Event.STATE_UNAVAILABLE, logging.WARNING, code=exc.code, step="wave")
                self._controller.post(lambda: setattr(progress, "reported", None))

        self._controller.run_async(report)


def drain_instance(scheduler: Scheduler, instance: WorkerInstance, waited_s: float) -> None:
    """Cordon a worker and stop its runs as far as disruption budgets and waiting times allow."""
    instance.cordoned = True
    now = scheduler.now()
    interrupted: Counter[Step] = Counter()
    stops = []
    for task in instance.tasks.values():
        order = task.step.order
        if not task.should_run:
            continue
        if order.lasting:
            if may_interrupt(task, now, interrupted[task.step]):
                interrupted[task.step] += 1
                stops.append(task)
        elif waited_s >= DRAIN_TIMEOUT_S or (order.checkpoints and waited_s >= CHECKPOINT_WAIT_S):
            stops.append(task)
    scheduler.request_stop(stops)
