"""Represent what a daemon observes of a worker, with when it asked and when it was told."""

from dataclasses import dataclass

from gypsumplank.protocol.worker import WorkerReport


@dataclass(frozen=True)
class ReceivedReport:
    """Store a report and when its request was sent and answered, in monotonic seconds."""

    report: WorkerReport
    sent_at: float
    answered_at: float
