"""Send commands about runs to workers, and process what became of them."""

import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from gypsumplank.coordination.job.accounts import AccountControl
from gypsumplank.coordination.job.dispatcher import WorkerDispatcher
from gypsumplank.coordination.job.evidence import find_proof_before_start, find_proof_in_failure
from gypsumplank.coordination.job.instance import REFUSAL_BACKOFF_S, WorkerInstance
from gypsumplank.coordination.job.model import Task
from gypsumplank.coordination.job.permit import PermitCache
from gypsumplank.coordination.job.preemption import is_stop_void
from gypsumplank.coordination.job.refusal import STOP_RETRY_S, RefusedStarts
from gypsumplank.coordination.job.report import requeue_task
from gypsumplank.coordination.job.throttle import SpeedChange, speed_changes
from gypsumplank.errors import WorkerError, WorkerRefusedError, WorkerUnknownError
from gypsumplank.log import Event, event
from gypsumplank.protocol.job import FINAL_JOB_STATES, TaskPhase
from gypsumplank.protocol.worker import RunningTask, StartCommand, StartRefusal
from gypsumplank.state.clock import Clock

logger = logging.getLogger(__name__)


@dataclass(frozen=True)
class PendingStart:
    """Represent a start that has to be committed before it is sent."""

    task: Task
    instance: WorkerInstance
    run: int


class CommandSender:
    """Send starts, stops, speed limits and acknowledgements; used by the scheduler's thread only.

    `unsent_starts` wait until they are stored. `fenced` is set when a worker has seen a newer
    fencing token than this term's. `is_capacity_known` tells whether a worker's capacity can be
    relied on at a monotonic time.
    """

    def __init__(
        self,
        clock: Clock,
        token: int,
        is_capacity_known: Callable[[WorkerInstance, float], bool],
        accounts: AccountControl,
    ) -> None:
        self._clock = clock
        self._token = token
        self._is_capacity_known = is_capacity_known
        self.accounts = accounts
        self._refused_starts = RefusedStarts()
        self.unsent_starts: list[PendingStart] = []
        self.dispatcher: WorkerDispatcher | None = None
        self.permits: PermitCache | None = None
        self.fenced = False

    @property
    def _dispatcher(self) -> WorkerDispatcher:
        assert self.dispatcher is not None
        return self.dispatcher

    def send(
        self, instances: Iterable[WorkerInstance], are_changes_stored: Callable[[], bool]
    ) -> None:
        """Send what has been committed; ends are acknowledged only if all changes are stored.

        A start that is given up is a change.
        """
        now = self._clock.monotonic()
        instances = list(instances)
        ready = [start for start in self.unsent_starts if not start.task.step.dirty]
        self.unsent_starts = [start for start in self.unsent_starts if start.task.step.dirty]
        self.accounts.begin_sending(instances)
        for start in ready:
            self._send_start(start, now)
        for change in list(speed_changes(instances, now)):
            self._send_speed_limit(change, now)
        self._refused_starts.remove_expired(now)
        may_acknowledge = are_changes_stored()
        for instance in instances:
            self._send_stops(instance, now)
            self._refused_starts.bar(instance, now, self._dispatcher.stop)
            if may_acknowledge and instance.last_acked_end < instance.last_seen_end:
                instance.last_acked_end, instance.acked_at = instance.last_seen_end, now
                instance.wake.set()

    def stop_unassigned(self, instance: WorkerInstance, unassigned: RunningTask) -> None:
        """Stop a run that a worker executes and that is not assigned to it."""
        event(
            logger,
            Event.RUN_UNASSIGNED,
            task=unassigned.name,
            run=unassigned.run,
            worker=instance.id,
        )
        self._dispatcher.stop(instance, unassigned.name, unassigned.run, lambda _failure, _at: None)

    def _send_start(self, start: PendingStart, now: float) -> None:
        task, instance = start.task, start.instance
        if task.run != start.run or task.phase is not TaskPhase.ASSIGNED:
            return
        is_over = task.step.job.cancelled or task.step.job.state in FINAL_JOB_STATES
        if is_over or instance.is_overfull or not self.accounts.may_send(task):
            if proof := find_proof_before_start(task):
                requeue_task(instance, task, now, proof)
            return
        task.sent_at, task.sent_to = now, instance.incarnation
        checkpoint = _shared_checkpoint(task)
        event(logger, Event.RUN_STARTED, task=task.name, run=task.run, worker=instance.id)
        self._dispatcher.start(
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
            self._dispatcher.poll_now(instance)
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
        run = task.run
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
            if task.run != run or task.speed_limit_percent != change.percent:
                return
            if failure is None:
                task.is_speed_limit_unsure = False
                return
            task.is_speed_limit_unsure |= isinstance(failure, WorkerUnknownError)
            task.speed_limit_percent = previous_percent

        self._dispatcher.set_speed_limit(
            change.instance, task.name, task.run, change.percent, handle_result
        )

    def _send_stops(self, instance: WorkerInstance, now: float) -> None:
        if instance.detached:
            return
        # This looks at each run in each round, so that a call for each would be most of its cost.
        must_stop = [
            task
            for task in instance.tasks.values()
            if not task.should_run
            or 0 < task.unconfirmed_since < instance.last_contact_at
            or (job := task.step.job).cancelled
            or job.state in FINAL_JOB_STATES
        ]
        for task in must_stop:
            if task.sent_at == 0 and not task.unconfirmed_since:
                continue
            if now >= task.stop_sent_at + STOP_RETRY_S and not task.stop_confirmed_at:
                if not task.stop_sent_at and is_stop_void(task, instance, now):
                    task.should_run, task.stop_requested_at = True, 0.0
                    event(logger, Event.STOP_WITHDRAWN, task=task.name, worker=instance.id)
                    continue
                task.stop_sent_at = now
                self._dispatcher.stop(
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
                self._dispatcher.poll_now(instance)


def _shared_checkpoint(task: Task) -> str:
    """Return the checkpoint that a task resumes from; the tasks of a gang share one."""
    if not task.step.order.gang:
        return task.checkpoint
    return next((member.checkpoint for member in task.step.tasks if member.checkpoint), "")
