"""Apply a worker's report to the tasks that are assigned to it."""

import logging
from collections.abc import Iterator

from gypsumplank.coordination.job.crash import give_up_if_deadly
from gypsumplank.coordination.job.evidence import Proof, find_proof_in_report, is_released_by
from gypsumplank.coordination.job.instance import WorkerInstance
from gypsumplank.coordination.job.model import Task
from gypsumplank.coordination.job.observation import ReceivedReport
from gypsumplank.log import Event, event
from gypsumplank.protocol.job import TaskPhase
from gypsumplank.protocol.worker import EndedTask, EndKind, RunningTask

logger = logging.getLogger(__name__)


def apply_report(instance: WorkerInstance, received: ReceivedReport) -> Iterator[RunningTask]:
    """Apply a report; yield the running tasks that are not assigned to the worker."""
    report = received.report
    ended = {
        (end.name, end.run): end for end in report.ended if end.number > instance.last_seen_end
    }
    running = {task.name: task for task in report.running}
    if not report.ends_complete:
        event(logger, Event.REPORT_CUT_OFF, worker=instance.id, last_end=report.ended[-1].number)
    for task in list(instance.tasks.values()):
        end = ended.get((task.name, task.run))
        running_task = running.get(task.name)
        if end is not None:
            _apply_end(instance, task, end, received.answered_at)
        elif task.is_final:
            if is_released_by(task, received):
                del instance.tasks[task.name]
        elif running_task is not None and running_task.run == task.run:
            _update_run(task, running_task, received)
        elif proof := find_proof_in_report(task, received):
            requeue_task(instance, task, received.answered_at, proof)
    instance.last_seen_end = max(
        instance.last_seen_end, max((end.number for end in report.ended), default=0)
    )
    for running_task in report.running:
        assigned = instance.tasks.get(running_task.name)
        if assigned is None or assigned.run != running_task.run:
            yield running_task


def requeue_task(instance: WorkerInstance, task: Task, now: float, proof: Proof) -> None:
    """Return a task to the queue, unless its phase is final; `proof` shows that its run is over.

    The other tasks of its gang are stopped. A task that crashed too many workers fails instead.
    """
    event(
        logger,
        Event.RUN_MISSING,
        task=task.name,
        run=task.run,
        worker=instance.id,
        why=proof.value,
        crashes=task.crashes,
    )
    instance.tasks.pop(task.name, None)
    if task.is_final:
        return
    run = task.run
    task.requeue(now)
    give_up_if_deadly(task)
    _stop_gang(task, run)


def _update_run(task: Task, running: RunningTask, received: ReceivedReport) -> None:
    task.record_progress(running.percent, received.answered_at)
    task.last_reported_at = received.answered_at
    task.sent_at = task.sent_at or received.sent_at
    task.start_confirmed_at = task.start_confirmed_at or received.answered_at
    task.unconfirmed_since = 0.0
    task.load = running.load
    if running.checkpoint:
        task.checkpoint = running.checkpoint
    is_available = running.percent >= 100 if task.step.order.lasting else True
    if is_available:
        task.running_since = task.running_since or received.answered_at
        task.unavailable_since = 0.0
    else:
        task.running_since = 0.0
        task.unavailable_since = task.unavailable_since or received.answered_at


def _apply_end(instance: WorkerInstance, task: Task, end: EndedTask, now: float) -> None:
    instance.tasks.pop(task.name, None)
    job = task.step.job
    event(
        logger,
        Event.RUN_ENDED,
        task=task.name,
        run=task.run,
        worker=instance.id,
        how=end.kind.value,
        took_ms=round((now - task.sent_at) * 1000) if task.sent_at else -1,
    )
    if end.checkpoint:
        task.checkpoint = end.checkpoint
    task.unavailable_since = task.unavailable_since or now
    task.running_since = 0.0
    order = task.step.order
    if not order.lasting:
        instance.record_task_end(job.id, end.kind is EndKind.FAILED, now)
    if task.is_final:
        return
    if end.kind is EndKind.DONE and not order.lasting:
        _finish(task, now)
        return
    if end.kind is EndKind.FAILED:
        task.failures += 1
        task.record_failure_on(instance.id)
    run = task.run
    task.requeue(now)
    _stop_gang(task, run)


def _finish(task: Task, now: float) -> None:
    """Mark a task, or all members of its gang, as done.

    One member's end represents all, and shows that all have started. The others stay assigned to
    their workers until a report shows what runs there now.
    """
    for member in task.step.tasks if task.step.order.gang else [task]:
        member.finish(TaskPhase.DONE)
        member.start_confirmed_at = now


def _stop_gang(task: Task, run: int) -> None:
    """Stop the other members of a gang run that has lost one."""
    if not task.step.order.gang:
        return
    for member in task.step.tasks:
        if member.phase is TaskPhase.ASSIGNED and member.run == run:
            member.should_run = False
