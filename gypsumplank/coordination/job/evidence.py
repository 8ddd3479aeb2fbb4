"""Decide what a worker's answers prove about a run; an absence from an answer proves little."""

from dataclasses import dataclass

from gypsumplank.coordination.job.model import Task
from gypsumplank.protocol.worker import WorkerReport

# Longest time after which a start without an answer may still be executed, seconds; the platform's
# pages say "seconds".
MAX_START_DELAY_S = 12.0


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


def may_start_late(
    task: Task, incarnation: int, last_request_at: float, lease_s: float, now: float
) -> bool:
    """Return whether a silent worker may still execute a start that it did not answer.

    The start's deadline is on the clock of the instance that it was sent to. It binds only if that
    one has received it, which a report requested later (at `last_request_at`, from the instance
    `incarnation`) proves. The worker's next instance executes it whatever the deadline is, and
    holds it for `lease_s`. Long-running tasks are not waited for that long: of them the
    interruption is worse than a second copy that ends with its lease.
    """
    is_sent = bool(task.sent_to) and not task.start_confirmed_at
    if not is_sent or task.step.order.lasting:
        return False
    unanswered_at = task.unconfirmed_since or now
    is_received = task.sent_to == incarnation and last_request_at >= unanswered_at
    return not is_received and now <= unanswered_at + MAX_START_DELAY_S + lease_s


def was_reported(task: Task) -> bool:
    """Return whether the worker instance that a task is assigned to has reported its run.

    A confirmed start proves less, as the next instance of the worker may have confirmed it.
    """
    return task.last_reported_at > 0
