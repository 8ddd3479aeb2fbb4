"""Decide what a worker's answers prove about a run; an absence from an answer proves little."""

from dataclasses import dataclass

from gypsumplank.coordination.job.model import Task
from gypsumplank.protocol.worker import WorkerReport


@dataclass(frozen=True)
class ReceivedReport:
    """Store a report and when its request was sent and answered, in monotonic seconds."""

    report: WorkerReport
    sent_at: float
    answered_at: float


def is_over_unlisted(task: Task, received: ReceivedReport) -> bool:
    """Return whether a run that a report does not list is over and can't start any more.

    That is so if the report lists all ends, and was requested after the worker confirmed the run's
    start or its stop.
    """
    if not received.report.ends_complete:
        return False
    if task.stop_confirmed_at:
        return received.sent_at >= task.stop_confirmed_at
    return bool(task.start_confirmed_at) and received.sent_at > task.start_confirmed_at


def was_reported(task: Task) -> bool:
    """Return whether the worker instance that a task is assigned to has reported its run.

    A confirmed start proves less, as the next instance of the worker may have confirmed it.
    """
    return task.last_reported_at > 0
