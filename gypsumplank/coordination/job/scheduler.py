"""Schedule all jobs while this daemon is the leader; used by the scheduler's thread only."""

import logging
from collections.abc import Callable, Collection, Iterable, Iterator, Mapping, Sequence
from dataclasses import replace

from gypsumplank.coordination.job.attempt import find_exhausted, find_startable
from gypsumplank.coordination.job.command import CommandSender, PendingStart
from gypsumplank.coordination.job.crash import is_withheld
from gypsumplank.coordination.job.dispatcher import WorkerDispatcher
from gypsumplank.coordination.job.evidence import (
    are_leases_over,
)
from gypsumplank.coordination.job.fleet import EXTENSION_GRACE_S, Fleet
from gypsumplank.coordination.job.instance import (
    SUSPECT_PERIOD_S,
    WorkerInstance,
)
from gypsumplank.coordination.job.interference import Interference
from gypsumplank.coordination.job.knownqueue import KnownQueues
from gypsumplank.coordination.job.model import Job, Step, Task
from gypsumplank.coordination.job.observation import ReceivedReport
from gypsumplank.coordination.job.placement import PendingStep, Placement, PlacementRound, urgency
from gypsumplank.coordination.job.preemption import (
    PREEMPTION_WAIT_S,
    choose_preemptions,
    runs_to_evacuate,
    stalled_runs,
)
from gypsumplank.coordination.job.report import apply_report
from gypsumplank.coordination.job.workload import Workload
from gypsumplank.log import Event, event
from gypsumplank.protocol.job import FINAL_JOB_STATES, Resources, TaskPhase
from gypsumplank.protocol.queue import Manifest, Queue
from gypsumplank.protocol.worker import (
    WorkerEntry,
)
from gypsumplank.state.clock import Clock
from gypsumplank.state.job import LoadedJob

# Age of a worker's entry up to which its capacity is relied on if the worker does not check it, in
# heartbeats; the platform allows three.
MAX_CAPACITY_AGE_HEARTBEATS = 2.0

logger = logging.getLogger(__name__)


class Scheduler:
    """Decide on starts and stops of tasks from jobs, workers' entries and workers' reports."""

    def __init__(
        self,
        clock: Clock,
        manifest: Callable[[], Manifest | None],
        token: int,
        max_lease_s: float,
        heartbeat_s: float = 1.5,
        queues: KnownQueues | None = None,
    ) -> None:
        self._clock = clock
        self._manifest = manifest
        self._queues = queues or KnownQueues(manifest)
        self.workload = Workload()
        self.interference = Interference()
        self._short_services: set[str] = set()
        self.fleet = Fleet(clock, max_lease_s, heartbeat_s)
        self.commands = CommandSender(clock, token, self._is_capacity_known)

    def use_dispatcher(self, dispatcher: WorkerDispatcher) -> None:
        """Set the dispatcher of this term."""
        self.fleet.dispatcher = self.commands.dispatcher = dispatcher

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return self._clock.monotonic()

    def wall_ms(self) -> float:
        """Return the time of day in milliseconds since 1970."""
        return self._clock.wall() * 1000

    @property
    def instances(self) -> dict[str, WorkerInstance]:
        """Return the worker instances, keyed by worker or, if not registered, by instance."""
        return self.fleet.instances

    def load(self, jobs: Sequence[LoadedJob], entries: Sequence[WorkerEntry]) -> None:
        """Restore the state that an earlier leader has stored."""
        now = self._clock.monotonic()
        self.fleet.apply_entries(entries)
        restored = [self.workload.add(loaded, now) for loaded in jobs]
        self.fleet.restore([task for job in restored for task in job.assigned_tasks()], now)
        for job in restored:
            for task in job.tasks():
                self.fleet.undecided_losses.add(task)
        for instance in self.instances.values():
            instance.extend_leases(now, EXTENSION_GRACE_S + self.fleet.max_lease_s)

    def handle_report(self, instance: WorkerInstance, received: ReceivedReport) -> None:
        """Apply a worker's report."""
        if instance.detached:
            return
        if received.report.born != instance.incarnation:
            # The capacity of the new instance is known once it has an entry of its own.
            entry = replace(
                instance.entry,
                born=received.report.born,
                clock_ms=received.report.clock_ms,
                room=Resources(),
            )
            self.fleet.replace_incarnation(
                instance.id, instance, entry, received.answered_at, received.report.running
            )
            return
        if instance.missed_polls:
            event(logger, Event.WORKER_RESPONDED, worker=instance.id, misses=instance.missed_polls)
        if not instance.last_contact_at:
            # From now on the worker rejects the fencing tokens of earlier leaders.
            instance.leased_until = 0.0
            instance.extend_leases(received.answered_at, self.fleet.max_lease_s)
        instance.last_contact_at, instance.last_request_at = received.answered_at, received.sent_at
        instance.missed_polls = 0
        instance.record_forgotten_ends(received)
        # A worker removes its entry when it has left.
        instance.has_deregistered = False
        unassigned_runs = list(apply_report(instance, received))
        instance.has_unassigned_runs = bool(unassigned_runs)
        self.interference.observe(instance, received)
        for unassigned in unassigned_runs:
            self.commands.stop_unassigned(instance, unassigned)

    # Rounds

    def plan(self) -> None:
        """Requeue tasks whose leases have expired, and assign queued tasks to workers."""
        now = self._clock.monotonic()
        self._queues.update(self.workload.jobs.values())
        self._expire_leases(now)
        self.workload.update_job_states(self.workload.jobs.values(), now)
        wall_ms = self.wall_ms()
        pending = [
            pending_step
            for job in self.workload.jobs.values()
            for pending_step in self._pending_steps(job, now, wall_ms)
        ]
        instances = [each for each in self.instances.values() if self._is_capacity_known(each, now)]
        self._evict(pending, instances, now)
        placement_round = PlacementRound(
            instances, now, self.interference.costs, self._short_services
        )
        assigned_jobs: dict[str, Job] = {}
        for pending_step in sorted(pending, key=lambda each: urgency(each, now, wall_ms)):
            placed = placement_round.place(pending_step)
            if placed:
                self._assign(pending_step, placed)
                assigned_jobs[pending_step.job.id] = pending_step.job
        self._short_services = placement_round.short_services()
        self.workload.update_job_states(assigned_jobs.values(), now)

    def _pending_steps(self, job: Job, now: float, wall_ms: float) -> list[PendingStep]:
        if job.state in FINAL_JOB_STATES or job.cancelled:
            return []
        queue = self._queues.find_for_start(job)
        job.waits_for_queue = queue is None
        if queue is None:
            return []
        pending: list[PendingStep] = []
        for step in job.steps.values():
            waiting = [task for task in step.tasks if task.phase is TaskPhase.WAITING]
            if exhausted := find_exhausted(waiting, queue.max_attempts):
                self._give_up(job, exhausted, now)
                return []
            startable = find_startable(waiting, queue.max_attempts)
            tasks = [task for task in startable if not is_withheld(task, now)]
            if not tasks or (step.order.gang and len(tasks) < len(step.tasks)):
                continue
            if job.is_ready(step, wall_ms):
                permits = self._permits_for(step, queue)
                pending.extend(
                    PendingStep(job, step, group, queue, permits)
                    for group in _placement_groups(step, tasks)
                )
        return pending

    def _give_up(self, job: Job, exhausted: Iterable[Task], now: float) -> None:
        for task in exhausted:
            task.finish(TaskPhase.FAILED)
        self.workload.update_job_states([job], now)

    def _permits_for(self, step: Step, queue: Queue) -> Mapping[str, str] | None:
        if queue.advice is None or self.commands.permits is None:
            return None
        now = self._clock.monotonic()
        candidates = [
            instance.id
            for instance in self.instances.values()
            if instance.entry.service == step.job.service and instance.accepts_tasks(now)
        ]
        return self.commands.permits.get(step.key, candidates, queue.advice.valid_ms / 1000)

    def _evict(
        self, pending: Sequence[PendingStep], instances: Sequence[WorkerInstance], now: float
    ) -> None:
        """Stop runs on draining workers, stalled runs, and runs that long-running tasks preempt.

        Runs are preempted on `instances` only.
        """
        self.request_stop(list(runs_to_evacuate(self.instances.values())))
        for task in list(stalled_runs(self.instances.values(), now)):
            self._stop_stalled(task, now)
        for pending_step in pending:
            if not pending_step.step.order.lasting:
                continue
            overdue = [
                task for task in pending_step.tasks if now - task.queued_since > PREEMPTION_WAIT_S
            ]
            for task in overdue[:1]:
                self.request_stop(choose_preemptions(task, instances, now))

    def _stop_stalled(self, task: Task, now: float) -> None:
        """Stop a run that makes no progress; its task is retried on another worker."""
        event(logger, Event.RUN_STALLED, task=task.name, run=task.run, worker=task.worker)
        task.stalls += 1
        task.record_failure_on(task.worker)
        instance = self.instances.get(task.worker)
        if instance is not None:
            instance.suspect_until = now + SUSPECT_PERIOD_S
        self.request_stop([task])

    def _assign(self, pending: PendingStep, placed: Sequence[Placement]) -> None:
        gang_run = max(task.run for task in pending.step.tasks) + 1
        for placement in placed:
            run = gang_run if pending.step.order.gang else placement.task.run + 1
            task, instance = placement.task, placement.instance
            task.assign(instance.id, instance.incarnation, run, instance.entry.machine)
            task.permit = (pending.permits or {}).get(instance.id, "")
            instance.tasks[task.name] = task
            # Until the start is sent, assume that it is already on its way with a full lease.
            instance.extend_leases(self._clock.monotonic(), self.fleet.max_lease_s)
            self.commands.unsent_starts.append(PendingStart(task, instance, run))

    def _expire_leases(self, now: float) -> None:
        for key, instance in list(self.instances.items()):
            if instance.tasks and are_leases_over(instance, now):
                self.fleet.requeue_expired(instance, now)
            self.fleet.remove_if_idle(key, instance)

    def _is_capacity_known(self, instance: WorkerInstance, now: float) -> bool:
        """Return whether the worker checks its capacity itself, or has reported it lately."""
        manifest = self._manifest()
        policy = manifest.services.get(instance.entry.service) if manifest else None
        if policy is not None and policy.checks_capacity:
            return True
        return instance.entry_age_s(now) <= MAX_CAPACITY_AGE_HEARTBEATS * self.fleet.heartbeat_s

    def dispatch(self) -> None:
        """Send what has been committed: starts, stops and acknowledgements of task ends."""
        self.commands.send(self.instances.values(), self._are_steps_stored)

    def _are_steps_stored(self) -> bool:
        steps = (step for job in self.workload.jobs.values() for step in job.steps.values())
        return not any(step.dirty for step in steps)

    def request_stop(self, tasks: Collection[Task]) -> None:
        """Mark runs to be stopped; their tasks keep their checkpoints."""
        now = self._clock.monotonic()
        for task in tasks:
            if task.should_run:
                task.should_run, task.stop_requested_at = False, now


def _placement_groups(step: Step, tasks: Sequence[Task]) -> Iterator[tuple[Task, ...]]:
    """Yield the tasks that may crash their workers apart from the others; gangs as a whole."""
    suspects = () if step.order.gang else tuple(task for task in tasks if task.is_suspect)
    if suspects:
        yield suspects
    others = tuple(task for task in tasks if task not in suspects)
    if others:
        yield others
