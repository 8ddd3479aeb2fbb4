"""Schedule all jobs while this daemon is the leader; used by the scheduler's thread only."""

import logging
from collections.abc import Callable, Collection, Iterator, Mapping, Sequence
from dataclasses import dataclass, replace

from gypsumplank.coordination.job.attempt import AttemptLimits
from gypsumplank.coordination.job.crash import is_withheld
from gypsumplank.coordination.job.dispatcher import WorkerDispatcher
from gypsumplank.coordination.job.evidence import (
    are_leases_over,
    find_proof_before_start,
    find_proof_in_failure,
)
from gypsumplank.coordination.job.fleet import EXTENSION_GRACE_S, Fleet
from gypsumplank.coordination.job.instance import (
    REFUSAL_BACKOFF_S,
    SUSPECT_PERIOD_S,
    WorkerInstance,
)
from gypsumplank.coordination.job.knownqueue import KnownQueues
from gypsumplank.coordination.job.model import Job, Step, Task
from gypsumplank.coordination.job.observation import ReceivedReport
from gypsumplank.coordination.job.permit import PermitCache
from gypsumplank.coordination.job.placement import PendingStep, Placement, PlacementRound, urgency
from gypsumplank.coordination.job.preemption import (
    PREEMPTION_WAIT_S,
    choose_preemptions,
    runs_to_evacuate,
    stalled_runs,
)
from gypsumplank.coordination.job.refusal import STOP_RETRY_S, RefusedStarts
from gypsumplank.coordination.job.report import apply_report, requeue_task
from gypsumplank.coordination.job.throttle import SpeedChange, speed_changes
from gypsumplank.coordination.job.workload import Workload
from gypsumplank.errors import WorkerError, WorkerRefusedError
from gypsumplank.log import Event, event
from gypsumplank.protocol.job import FINAL_JOB_STATES, Resources, TaskPhase
from gypsumplank.protocol.queue import Manifest, Queue
from gypsumplank.protocol.worker import (
    RunningTask,
    StartCommand,
    StartRefusal,
    WorkerEntry,
)
from gypsumplank.state.clock import Clock
from gypsumplank.state.job import LoadedJob

# Age of a worker's entry up to which its capacity is relied on if the worker does not check it, in
# heartbeats; the platform allows three.
MAX_CAPACITY_AGE_HEARTBEATS = 2.0

logger = logging.getLogger(__name__)


@dataclass(frozen=True)
class PendingStart:
    """Represent a start that has to be committed before it is sent."""

    task: Task
    instance: WorkerInstance
    run: int


class Scheduler:
    """Decide on starts and stops of tasks from jobs, workers' entries and workers' reports.

    `fenced` is set when a worker has seen a newer fencing token than this term's.
    """

    def __init__(
        self,
        clock: Clock,
        manifest: Callable[[], Manifest | None],
        token: int,
        max_lease_s: float,
        heartbeat_s: float = 1.5,
    ) -> None:
        self._clock = clock
        self._manifest = manifest
        self._token = token
        self._queues = KnownQueues(manifest)
        self._attempt_limits = AttemptLimits(self._queues)
        self.workload = Workload()
        self.fleet = Fleet(clock, max_lease_s, heartbeat_s)
        self.unsent_starts: list[PendingStart] = []
        self._refused_starts = RefusedStarts()
        self.permits: PermitCache | None = None
        self.fenced = False

    def use_dispatcher(self, dispatcher: WorkerDispatcher) -> None:
        """Set the dispatcher of this term."""
        self.fleet.dispatcher = dispatcher

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return self._clock.monotonic()

    def wall_ms(self) -> float:
        """Return the time of day in milliseconds since 1970."""
        return self._clock.wall() * 1000

    @property
    def dispatcher(self) -> WorkerDispatcher:
        """Return the dispatcher of this term."""
        assert self.fleet.dispatcher is not None
        return self.fleet.dispatcher

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
            self._attempt_limits.restore(job.tasks())
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
        unassigned_runs = list(apply_report(instance, received, self._attempt_limits.find))
        instance.has_unassigned_runs = bool(unassigned_runs)
        for unassigned in unassigned_runs:
            self._stop_unassigned(instance, unassigned)

    def _stop_unassigned(self, instance: WorkerInstance, unassigned: RunningTask) -> None:
        event(
            logger,
            Event.RUN_UNASSIGNED,
            task=unassigned.name,
            run=unassigned.run,
            worker=instance.id,
        )
        self.dispatcher.stop(instance, unassigned.name, unassigned.run, lambda _failure, _at: None)

    # Rounds

    def plan(self) -> None:
        """Requeue tasks whose leases have expired, and assign queued tasks to workers."""
        now = self._clock.monotonic()
        self._queues.update(self.workload.jobs.values())
        self._attempt_limits.apply()
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
        placement_round = PlacementRound(instances, now)
        assigned_jobs: dict[str, Job] = {}
        for pending_step in sorted(pending, key=lambda each: urgency(each, now, wall_ms)):
            placed = placement_round.place(pending_step)
            if placed:
                self._assign(pending_step, placed)
                assigned_jobs[pending_step.job.id] = pending_step.job
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
            tasks = [
                task
                for task in step.tasks
                if task.phase is TaskPhase.WAITING and not is_withheld(task, now)
            ]
            if not tasks or (step.order.gang and len(tasks) < len(step.tasks)):
                continue
            if job.is_ready(step, wall_ms):
                permits = self._permits_for(step, queue)
                pending.extend(
                    PendingStep(job, step, group, queue, permits)
                    for group in _placement_groups(step, tasks)
                )
        return pending

    def _permits_for(self, step: Step, queue: Queue) -> Mapping[str, str] | None:
        if queue.advice is None or self.permits is None:
            return None
        now = self._clock.monotonic()
        candidates = [
            instance.id
            for instance in self.instances.values()
            if instance.entry.service == step.job.service and instance.accepts_tasks(now)
        ]
        return self.permits.get(step.key, candidates, queue.advice.valid_ms / 1000)

    def _is_capacity_known(self, instance: WorkerInstance, now: float) -> bool:
        """Return whether the worker checks its capacity itself, or has reported it lately."""
        manifest = self._manifest()
        policy = manifest.services.get(instance.entry.service) if manifest else None
        if policy is None or policy.checks_capacity:
            return True
        return instance.entry_age_s(now) <= MAX_CAPACITY_AGE_HEARTBEATS * self.fleet.heartbeat_s

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
            self.unsent_starts.append(PendingStart(task, instance, run))

    def _expire_leases(self, now: float) -> None:
        for key, instance in list(self.instances.items()):
            if instance.tasks and are_leases_over(instance, now):
                self.fleet.requeue_expired(instance, now)
            self.fleet.remove_if_idle(key, instance)

    def dispatch(self) -> None:
        """Send what has been committed: starts, stops and acknowledgements of task ends."""
        now = self._clock.monotonic()
        ready = [start for start in self.unsent_starts if not start.task.step.dirty]
        self.unsent_starts = [start for start in self.unsent_starts if start.task.step.dirty]
        for start in ready:
            self._send_start(start, now)
        for change in list(speed_changes(self.instances.values(), now)):
            self._send_speed_limit(change, now)
        self._refused_starts.remove_expired(now)
        all_stored = not self._has_unstored()
        for instance in list(self.instances.values()):
            self._send_stops(instance, now)
            self._refused_starts.bar(instance, now, self.dispatcher.stop)
            if all_stored and instance.last_acked_end < instance.last_seen_end:
                instance.last_acked_end, instance.acked_at = instance.last_seen_end, now
                instance.wake.set()

    def _has_unstored(self) -> bool:
        return any(step.dirty for job in self.workload.jobs.values() for step in job.steps.values())

    def _send_start(self, start: PendingStart, now: float) -> None:
        task, instance = start.task, start.instance
        if task.run != start.run or task.phase is not TaskPhase.ASSIGNED:
            return
        is_over = task.step.job.cancelled or task.step.job.state in FINAL_JOB_STATES
        if is_over or instance.is_overfull:
            if proof := find_proof_before_start(task):
                requeue_task(instance, task, now, proof)
            return
        task.sent_at, task.sent_to = now, instance.incarnation
        checkpoint = _shared_checkpoint(task)
        event(logger, Event.RUN_STARTED, task=task.name, run=task.run, worker=instance.id)
        self.dispatcher.start(
            instance,
            lambda until_ms: self._start_command(start, until_ms, checkpoint),
            lambda failure, at: self._handle_start_result(start, failure, at),
        )
        instance.wake.set()

    def _start_command(
        self, start: PendingStart, until_ms: int, checkpoint: str
    ) -> StartCommand | None:
        """Return the start command for a worker; None if the run was abandoned meanwhile.

        Raises WorkerRefusedError if the worker's capacity is not known any more.
        """
        task = start.task
        if task.run != start.run or start.instance.tasks.get(task.name) is not task:
            return None
        if not self._is_capacity_known(start.instance, self._clock.monotonic()):
            raise WorkerRefusedError(
                StartRefusal.NO_CAPACITY, f"{start.instance.id} has not reported its capacity"
            )
        spec = task.step.job.stored.order.spec
        return StartCommand(
            task.name, start.run, spec, until_ms, self._token, checkpoint, task.permit
        )

    def _handle_start_result(
        self, start: PendingStart, failure: WorkerError | None, at: float
    ) -> None:
        task, instance = start.task, start.instance
        if task.run != start.run or instance.tasks.get(task.name) is not task:
            return
        if failure is None:
            task.start_confirmed_at = at
            return
        event(
            logger,
            Event.RUN_REFUSED,
            logging.WARNING,
            task=task.name,
            run=task.run,
            worker=instance.id,
            code=failure.code,
            detail=failure.detail,
        )
        proof = find_proof_in_failure(failure)
        if proof is None or not isinstance(failure, WorkerRefusedError):
            task.unconfirmed_since = at
            instance.missed_polls += 1
            self.dispatcher.poll_now(instance)
            return
        if failure.reason == StartRefusal.UNREACHABLE:
            instance.missed_polls += 1
        instance.refused_until = at + REFUSAL_BACKOFF_S
        self.fenced = self.fenced or failure.reason == StartRefusal.FENCED
        if failure.reason == StartRefusal.NO_PERMIT and self.permits is not None:
            self.permits.invalidate(task.step.key)
        requeue_task(instance, task, at, proof)

    def _send_speed_limit(self, change: SpeedChange, now: float) -> None:
        task, previous_percent = change.task, change.task.speed_limit_percent
        task.speed_limit_percent, task.speed_limit_set_at = change.percent, now
        event(
            logger,
            Event.TASK_SPEED_CHANGED,
            task=task.name,
            run=task.run,
            worker=change.instance.id,
            percent=change.percent,
        )

        def handle_result(failure: WorkerError | None, _at: float) -> None:
            if failure is not None and task.speed_limit_percent == change.percent:
                task.speed_limit_percent = previous_percent

        self.dispatcher.set_speed_limit(
            change.instance, task.name, task.run, change.percent, handle_result
        )

    def _send_stops(self, instance: WorkerInstance, now: float) -> None:
        if instance.detached:
            return
        for task in list(instance.tasks.values()):
            if task.sent_at == 0 and not task.unconfirmed_since:
                continue
            if (
                _must_stop(task, instance)
                and now >= task.stop_sent_at + STOP_RETRY_S
                and not task.stop_confirmed_at
            ):
                task.stop_sent_at = now
                self.dispatcher.stop(
                    instance,
                    task.name,
                    task.run,
                    lambda failure, at, task=task, run=task.run: self._handle_stop_result(  # type: ignore[misc]
                        instance, task, run, failure, at
                    ),
                )

    def _handle_stop_result(
        self, instance: WorkerInstance, task: Task, run: int, failure: WorkerError | None, at: float
    ) -> None:
        is_current = task.run == run and instance.tasks.get(task.name) is task
        if failure is None and is_current:
            task.stop_confirmed_at = at
            if task.unconfirmed_since:
                self._refused_starts.record(instance, task.name, run, at)
                self.dispatcher.poll_now(instance)

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


def _must_stop(task: Task, instance: WorkerInstance) -> bool:
    job = task.step.job
    is_over = job.cancelled or job.state in FINAL_JOB_STATES
    is_missing = 0 < task.unconfirmed_since < instance.last_contact_at
    return is_over or is_missing or not task.should_run


def _shared_checkpoint(task: Task) -> str:
    """Return the checkpoint that a task resumes from; the tasks of a gang share one."""
    if not task.step.order.gang:
        return task.checkpoint
    return next((member.checkpoint for member in task.step.tasks if member.checkpoint), "")
