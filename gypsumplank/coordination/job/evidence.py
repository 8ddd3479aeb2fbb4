"""Decide what observations prove about runs and workers; an absence by itself proves little.

Only this module declares a run over, by returning a Proof; None means that nothing is proven. It
has no sockets, rows, threads or clock of its own.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum

from gypsumplank.coordination.job.instance import (
    LEASE_EXPIRY_MARGIN_S,
    MIN_CLOCK_RATE,
    WorkerInstance,
)
from gypsumplank.coordination.job.model import Task
from gypsumplank.coordination.job.observation import ReceivedReport
from gypsumplank.errors import WorkerError, WorkerRefusedError
from gypsumplank.protocol.job import LostWorker
from gypsumplank.protocol.queue import Machine, MachineState
from gypsumplank.protocol.worker import WorkerState

# Longest time after which a start without an answer may still be executed, seconds; the platform
# states no figure.
MAX_START_DELAY_S = 12.0
# Age of a draining worker's entry up to which its removal means a clean exit, in heartbeats; the
# platform removes the entries of silent workers after three.
CLEAN_EXIT_MAX_AGE_HEARTBEATS = 2.5
# States in which a machine has no worker.
STATES_WITHOUT_WORKER = frozenset({MachineState.DOWN, MachineState.MOVING, MachineState.UPKEEP})


class Proof(StrEnum):
    """Enumerate what proves that a run is over and cannot start any more; the value is logged."""

    UNSENT = "unsent"
    REFUSED = "refused"
    UNLISTED = "unlisted"
    RESTARTED = "restarted"
    REPLACED = "replaced"
    DOWN = "down"
    LEFT = "left"
    LEASE_OVER = "lease-over"


@dataclass(frozen=True)
class CurrentWorkers:
    """Store known instances by worker, and the latest on each machine that has answered."""

    instances: Mapping[str, WorkerInstance]
    latest_by_machine: Mapping[str, WorkerInstance]


def find_proof_before_start(task: Task) -> Proof | None:
    """Judge a task whose start has not been sent yet."""
    return None if task.sent_at or task.unconfirmed_since else Proof.UNSENT


def find_proof_in_failure(failure: WorkerError) -> Proof | None:
    """Judge a failed start; the worker refused it, or it was not sent, if the error says so."""
    return Proof.REFUSED if isinstance(failure, WorkerRefusedError) else None


def find_proof_in_report(task: Task, received: ReceivedReport) -> Proof | None:
    """Judge a run that a report lists neither as running nor as ended.

    The report has to list all ends, and to be requested after the worker confirmed the run's start
    or its stop.
    """
    if not received.report.ends_complete:
        return None
    if task.stop_confirmed_at:
        return Proof.UNLISTED if received.sent_at >= task.stop_confirmed_at else None
    is_known = bool(task.start_confirmed_at) and received.sent_at > task.start_confirmed_at
    return Proof.UNLISTED if is_known else None


def find_proof_in_restart(task: Task) -> Proof | None:
    """Judge a run of an instance whose worker has started again under its id.

    Only what the instance had reported ended with it. A confirmed start proves less, as the next
    instance may have confirmed it.
    """
    return Proof.RESTARTED if task.last_reported_at else None


def find_proof_of_replacement(
    instance: WorkerInstance, latest: WorkerInstance | None, read_until: float
) -> Proof | None:
    """Judge the runs of an instance by the latest worker on its machine that has answered.

    A worker that answers is never taken for replaced, whatever the order of the start times is.
    Its reports are known up to `read_until`.
    """
    if latest is None:
        return None
    is_later = latest.id != instance.id and latest.incarnation > instance.incarnation
    has_answered_since = latest.last_contact_at > instance.last_contact_at
    is_replaced = is_later and has_answered_since and not instance.is_in_contact(read_until)
    return Proof.REPLACED if is_replaced else None


def has_no_worker(instance: WorkerInstance, machine: Machine | None, requested_at: float) -> bool:
    """Return whether a list of machines shows that an instance has ended.

    An instance that answered before the list was requested has ended if its machine had none.
    """
    is_without = machine is not None and machine.state in STATES_WITHOUT_WORKER
    return is_without and 0 < instance.last_contact_at < requested_at


def find_proof_in_list(task: Task, requested_at: float) -> Proof | None:
    """Judge a run whose instance has ended by a list of machines requested at `requested_at`.

    A start that was not confirmed may still be executed by the worker's next instance.
    """
    is_confirmed = 0 < task.start_confirmed_at < requested_at and not task.unconfirmed_since
    return Proof.DOWN if is_confirmed else None


def has_deregistered(instance: WorkerInstance, heartbeat_s: float, now: float) -> bool:
    """Return whether a draining worker's missing entry can't have expired, so that it was removed.

    The entries have to be complete.
    """
    age_s = now - instance.entry_changed_after
    is_draining = instance.entry.state is WorkerState.DRAINING and instance.entry_changed_after > 0
    is_fresh = age_s < CLEAN_EXIT_MAX_AGE_HEARTBEATS * heartbeat_s
    return instance.registered and is_draining and is_fresh


def find_proof_of_departure(instance: WorkerInstance) -> Proof | None:
    """Judge the runs of an instance whose entry is missing; one that answers has not left."""
    has_left = instance.has_deregistered and not instance.is_reachable
    return Proof.LEFT if has_left else None


def are_leases_over(instance: WorkerInstance, now: float, read_until: float) -> bool:
    """Return whether all leases that a silent instance was granted have expired.

    Reports that came after `read_until` are not known yet, so that its silence counts up to then.
    """
    return not instance.is_in_contact(read_until) and instance.leases_have_expired(now)


def find_proof_in_lease(
    task: Task, instance: WorkerInstance, max_lease_s: float, now: float
) -> Proof | None:
    """Judge a run of a silent instance whose leases have expired."""
    is_late = _may_start_late(task, instance, max_lease_s, now)
    return None if is_late else Proof.LEASE_OVER


def _may_start_late(task: Task, instance: WorkerInstance, max_lease_s: float, now: float) -> bool:
    """Return whether a silent worker may still execute a start that it did not answer.

    The start's deadline is on the clock of the instance that it was sent to. It binds only if that
    one has received it, which a report that was requested later proves. The worker's next instance
    executes it whatever the deadline is, under a full lease. Long-running tasks are not waited for
    that long: for them the interruption is worse than a second copy that ends with its lease.
    """
    if not task.sent_to or task.start_confirmed_at or task.step.order.lasting:
        return False
    unanswered_at = task.unconfirmed_since or now
    is_received = task.sent_to == instance.incarnation and instance.last_request_at >= unanswered_at
    lease_s = max_lease_s / MIN_CLOCK_RATE + LEASE_EXPIRY_MARGIN_S
    return not is_received and now <= unanswered_at + MAX_START_DELAY_S + lease_s


def is_released_by(task: Task, received: ReceivedReport) -> bool:
    """Return whether a worker holds nothing any more for a task that is final.

    A report that was requested after the task ended tells what runs now; if it still lists the run,
    that is one which is not assigned to the worker.
    """
    return received.sent_at > task.start_confirmed_at


def has_crashed(lost: LostWorker, workers: CurrentWorkers) -> bool:
    """Return whether a worker that fell silent, or its machine, has started again."""
    instance = workers.instances.get(lost.worker)
    latest = workers.latest_by_machine.get(lost.machine)
    has_restarted = instance is not None and instance.incarnation > lost.born
    return has_restarted or (
        latest is not None and latest.id != lost.worker and latest.incarnation > lost.born
    )


def has_survived(lost: LostWorker, workers: CurrentWorkers, now: float) -> bool:
    """Return whether a worker that fell silent answers again."""
    instance = workers.instances.get(lost.worker)
    return (
        instance is not None and instance.incarnation == lost.born and instance.is_in_contact(now)
    )
