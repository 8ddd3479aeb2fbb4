"""Schedule all jobs while this daemon is the leader; used by the scheduler's thread only."""

import logging
import math
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
from dataclasses import replace

from gypsumplank.coordination.job.accounts import AccountControl, Accounts
from gypsumplank.coordination.job.command import CommandSender, PendingStart
from gypsumplank.coordination.job.demand import Load, LoadTracker
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
from gypsumplank.coordination.job.model import Job, Task
from gypsumplank.coordination.job.observation import ReceivedReport
from gypsumplank.coordination.job.placement import (
    PendingStep,
    Placement,
    PlacementRound,
    objective_ms,
    urgency,
)
from gypsumplank.coordination.job.preemption import (
    PREEMPTION_WAIT_S,
    choose_preemptions,
    runs_to_evacuate,
    stalled_runs,
)
from gypsumplank.coordination.job.readiness import ReadySteps, examine
from gypsumplank.coordination.job.report import apply_report
from gypsumplank.coordination.job.workload import JobChanges, Workload, in_order
from gypsumplank.log import Event, event
from gypsumplank.protocol.job import Resources, TaskPhase
from gypsumplank.protocol.queue import Manifest
from gypsumplank.protocol.worker import (
    WorkerEntry,
)
from gypsumplank.state.clock import Clock
from gypsumplank.state.jobrow import JobRows, LoadedJob, in_chunks

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
        read_until: Callable[[], float] | None = None,
    ) -> None:
        """Create the scheduler of one term.

        `read_until` returns the monotonic time up to which all reports were handled; now, if None.
        """
        self._clock = clock
        self._manifest = manifest
        self._queues = queues or KnownQueues(manifest)
        self.workload = Workload()
        self._changes = self.workload.follow()
        self._ready = ReadySteps()
        # Followed from when the loads are first asked for, as not all deployments do.
        self._load_changes: JobChanges | None = None
        self._loads = LoadTracker(self.objective_ms)
        self._queues_seen = self._loads_seen = self._queues.generation
        self.interference = Interference()
        self._short_services: set[str] = set()
        self.fleet = Fleet(clock, max_lease_s, heartbeat_s, read_until)
        self.accounts = Accounts(manifest).begin_term()
        self.commands = CommandSender(clock, token, self._is_capacity_known, self.accounts)

    def use_dispatcher(self, dispatcher: WorkerDispatcher) -> None:
        """Set the dispatcher of this term."""
        self.fleet.dispatcher = self.commands.dispatcher = dispatcher

    def use_accounts(self, accounts: AccountControl) -> None:
        """Set what decides on the starts of accounts' tasks in this term."""
        self.accounts = self.commands.accounts = accounts

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

    def load_rows(
        self,
        rows: Iterable[JobRows],
        entries: Sequence[WorkerEntry],
        on_progress: Callable[[], None],
    ) -> None:
        """Restore the jobs that have begun, and postpone the others, the most urgent first.

        The others have no runs that a start must respect. Calls `on_progress` after each
        LOAD_CHUNK_JOBS jobs; an error that it raises ends the load.
        """
        begun: list[JobRows] = []
        waiting: list[JobRows] = []
        for job in in_chunks(rows, on_progress):
            (begun if job.has_begun else waiting).append(job)
        manifest = self._manifest()
        priorities = {queue.name: queue.priority for queue in manifest.queues} if manifest else {}
        waiting.sort(key=lambda job: (priorities.get(job.queue, math.inf), job.order.version))
        self.workload.postpone(waiting, self._clock.monotonic())
        decoded = (job.decode() for job in in_chunks(begun, on_progress))
        self.load([job for job in decoded if job is not None], entries, on_progress)

    def load(
        self,
        jobs: Sequence[LoadedJob],
        entries: Sequence[WorkerEntry],
        on_progress: Callable[[], None] = lambda: None,
    ) -> None:
        """Restore the state that an earlier leader has stored."""
        now = self._clock.monotonic()
        self.fleet.apply_entries(entries)
        restored = [self.workload.add(loaded, now) for loaded in in_chunks(jobs, on_progress)]
        self.fleet.restore([task for job in restored for task in job.assigned_tasks()], now)
        for job in restored:
            for task in job.tasks():
                self.fleet.undecided_losses.add(task)
        for instance in self.instances.values():
            instance.inherit_leases(now, EXTENSION_GRACE_S + self.fleet.max_lease_s)

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
        if not instance.last_contact_at:
            instance.limit_inherited_leases(received.answered_at, self.fleet.max_lease_s)
        instance.last_contact_at, instance.last_request_at = received.answered_at, received.sent_at
        instance.record_forgotten_ends(received)
        # A worker removes its entry when it has left.
        instance.has_deregistered = False
        # Their jobs may have been removed since.
        known = (*instance.unassigned_tasks, *instance.tasks.values())
        unassigned_runs = list(apply_report(instance, received))
        instance.has_unassigned_runs = bool(unassigned_runs)
        if self.accounts.is_active:
            by_name = {task.name: task for task in known} if unassigned_runs else {}
            found = (
                by_name.get(run.name) or self.workload.task(run.name) for run in unassigned_runs
            )
            instance.unassigned_tasks = tuple(task for task in found if task)
        self.interference.observe(instance, received)
        for unassigned in unassigned_runs:
            self.commands.stop_unassigned(instance, unassigned)

    # Rounds

    def plan(self) -> None:
        """Requeue tasks whose leases have expired, and assign queued tasks to workers."""
        now = self._clock.monotonic()
        self._queues.update(self.workload.jobs.values())
        self._expire_leases(now)
        changed = self._changes.take()
        self.workload.update_job_states(changed, now)
        wall_ms = self.wall_ms()
        self._update_ready(changed, now, wall_ms)
        permits = self._request_permits()
        instances = [each for each in self.instances.values() if self._is_capacity_known(each, now)]
        self.accounts.begin_round(self.instances.values(), self.workload, now, wall_ms)
        self._evict(self._ready.lasting(), instances, now)
        placement_round = PlacementRound(
            instances, now, self.interference.costs, self._short_services
        )
        assigned_jobs: dict[str, Job] = {}
        ordered = self.accounts.order(
            self._ready.that_may_fit(placement_round.most_free),
            lambda each: urgency(each, now, wall_ms),
            placement_round.free_by_service,
        )
        for pending_step in ordered:
            if pending_step.queue.advice is not None:
                known = permits.get(pending_step.step.key)
                pending_step = replace(pending_step, permits=known)  # noqa: PLW2901
            startable = self.accounts.limit(pending_step)
            placed = placement_round.place(startable) if startable else []
            if placed:
                self._assign(pending_step, placed)
                self.accounts.record_start(pending_step, len(placed))
                assigned_jobs[pending_step.job.id] = pending_step.job
        self._short_services = placement_round.short_services() | self._ready.skipped_services()
        self.workload.update_job_states(assigned_jobs.values(), now)
        if self._load_changes is not None:
            self._loads.update_changed(self._load_changes.take(), now, wall_ms)

    def _update_ready(self, changed: Collection[Job], now: float, wall_ms: float) -> None:
        """Bring the ready steps up to date: of the jobs that changed, and as time has passed."""
        due = set(self._ready.due_jobs(now, wall_ms))
        if self._queues_seen != self._queues.generation:
            self._queues_seen = self._queues.generation
            due.update(self.workload.jobs.values())
        for job in in_order(due.union(changed)):
            queue = self._queues.find_for_start(job)
            found = examine(job, queue, now, wall_ms)
            if found.exhausted:
                self._give_up(job, found.exhausted, now)
            self._ready.replace(job, found, now, wall_ms)
        self._ready.update_urgency(now, wall_ms)

    def _give_up(self, job: Job, exhausted: Iterable[Task], now: float) -> None:
        for task in exhausted:
            task.finish(TaskPhase.FAILED)
        self.workload.update_job_states([job], now)

    def _request_permits(self) -> dict[str, Mapping[str, str]]:
        """Return the permits of the ready steps that need them; request those that are missing."""
        cache = self.commands.permits
        if cache is None:
            return {}
        now = self._clock.monotonic()
        candidates: dict[str, list[str]] = {}
        permits: dict[str, Mapping[str, str]] = {}
        for pending in self._ready.advised():
            service, advice = pending.job.service, pending.queue.advice
            if service not in candidates:
                candidates[service] = [
                    instance.id
                    for instance in self.instances.values()
                    if instance.entry.service == service and instance.accepts_tasks(now)
                ]
            if advice is not None:
                key = pending.step.key
                permits[key] = cache.get(key, candidates[service], advice)
        return permits

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
            if not pending_step.step.order.lasting or not self.accounts.may_start(pending_step):
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
        read_until = self.fleet.read_until()
        for key, instance in list(self.instances.items()):
            if instance.tasks and are_leases_over(instance, now, read_until):
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
        self.commands.send(self.instances.values(), self.workload.are_steps_stored)

    def estimate_loads(self) -> dict[str, Load]:
        """Return the load of each service that has open jobs."""
        changed: Collection[Job] = self.workload.jobs.values()
        if self._load_changes is None:
            self._load_changes = self.workload.follow()
        elif self._loads_seen == self._queues.generation:
            changed = self._load_changes.take()
        self._loads_seen = self._queues.generation
        self._loads.update(changed, self.now(), self.wall_ms())
        return self._loads.loads()

    def objective_ms(self, job: Job) -> float:
        """Return the time from its arrival in which a job is done in time, infinite if unknown."""
        queue = self._queues.find_for_start(job)
        return objective_ms(job, queue) if queue is not None else math.inf

    def request_stop(self, tasks: Collection[Task]) -> None:
        """Mark runs to be stopped; their tasks keep their checkpoints."""
        now = self._clock.monotonic()
        for task in tasks:
            if task.should_run:
                task.should_run, task.stop_requested_at = False, now
