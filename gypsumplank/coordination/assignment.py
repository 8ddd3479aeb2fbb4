"""Compute the assignment transitions of a host: drain, move, maintenance, failure, return.

Transitions take `now` in seconds since the epoch, `DrainTracker` takes it in monotonic seconds.
"""

from collections.abc import Collection
from dataclasses import dataclass, replace
from enum import StrEnum

import msgspec

from gypsumplank.coordination.budget import drain_blocked_reason
from gypsumplank.errors import BudgetError, InvariantError, RecordMissingError, StepStaleError
from gypsumplank.protocol.record import NEWEST_SCHEMA, Kind, Record
from gypsumplank.protocol.spec import AssignmentSpec, AssignmentState
from gypsumplank.state.view import View

SERVING, DRAINING = AssignmentState.SERVING, AssignmentState.DRAINING
OUT, FAILED = AssignmentState.OUT, AssignmentState.FAILED


class OutReason(StrEnum):
    """Name why a host is out of service."""

    OPERATOR = "operator"
    WAVE = "wave"
    MOVE = "move"
    FAILURE = "failure"


@dataclass(frozen=True)
class DrainRequest:
    """Request a drain; `grace_s` bounds the wait for the host's requests in flight, in seconds."""

    host: str
    reason: str
    grace_s: float
    target_pool: str = ""
    run: str = ""
    override: bool = False


def assignment_record(host: str, spec: AssignmentSpec) -> Record:
    """Return the configuration record of a host's assignment."""
    return Record(Kind.ASSIGNMENT, host, NEWEST_SCHEMA, msgspec.to_builtins(spec))


def get_assignment(view: View, host: str) -> AssignmentSpec:
    """Return a host's assignment; raise RecordMissingError."""
    if host not in view.hosts:
        raise RecordMissingError(f"no host {host!r}")
    return view.assignment(host)


def begin_drain(
    view: View, request: DrainRequest, now: float, suspects: Collection[str] = ()
) -> AssignmentSpec:
    """Return the assignment that starts a drain.

    Raises BudgetError, RecordMissingError, and StepStaleError if the host is draining already or
    a wave run has it out of service.
    """
    current = get_assignment(view, request.host)
    out_without_run = current.state is OUT and not current.run
    if current.state not in (SERVING, FAILED) and not out_without_run:
        raise StepStaleError(f"host {request.host!r} is {current.state.value} already")
    if request.target_pool and request.target_pool not in view.pools:
        raise RecordMissingError(f"no pool {request.target_pool!r}")
    blocked_reason = (
        drain_blocked_reason(view, request.host, suspects) if current.state is SERVING else ""
    )
    if blocked_reason and not request.override:
        raise BudgetError(f"host {request.host!r} in pool {current.pool!r}: {blocked_reason}")
    return replace(
        current,
        state=DRAINING,
        reason=request.reason,
        target_pool=request.target_pool,
        epoch=current.epoch + 1,
        since=now,
        grace_s=request.grace_s,
        run=request.run,
        override=request.override,
    )


def finish_drain(current: AssignmentSpec, now: float) -> AssignmentSpec:
    """Return the assignment after a drain: out of service, or serving the target pool."""
    if current.state is not DRAINING:
        raise InvariantError(f"a host in state {current.state.value} has no drain to finish")
    if current.target_pool:
        return _to_serving(replace(current, pool=current.target_pool), now)
    return replace(current, state=OUT, epoch=current.epoch + 1, since=now)


def return_to_service(current: AssignmentSpec, now: float) -> AssignmentSpec:
    """Return the assignment that puts a host back into service, undoing a drain or a move."""
    if current.state is SERVING:
        raise StepStaleError("the host is serving already")
    return _to_serving(current, now)


def finish_maintenance(current: AssignmentSpec, now: float) -> AssignmentSpec:
    """Return the assignment that puts a host back into service after a wave's maintenance."""
    if current.state is not OUT or not current.run:
        raise InvariantError("only a host that a wave took out of service can finish maintenance")
    return _to_serving(replace(current, maintained=current.run), now)


def mark_failed(current: AssignmentSpec, now: float) -> AssignmentSpec:
    """Return the assignment that marks a serving host as failed."""
    if current.state is not SERVING:
        raise StepStaleError(f"the host is {current.state.value}")
    return replace(
        current, state=FAILED, reason=OutReason.FAILURE, epoch=current.epoch + 1, since=now
    )


def _to_serving(current: AssignmentSpec, now: float) -> AssignmentSpec:
    return replace(
        current,
        state=SERVING,
        reason="",
        target_pool="",
        epoch=current.epoch + 1,
        since=now,
        run="",
        override=False,
    )


@dataclass(frozen=True)
class ObservedDrain:
    """Store at which revision and monotonic time in seconds a drain was first observed."""

    epoch: int
    revision: int
    first_observed_at: float


class DrainTracker:
    """Track when this daemon first observed each drain, on its own clock.

    The first view that shows a drain has the revision that started it or a later one, so waiting
    until that view's revision is in force is safe whichever daemon started the drain.
    """

    def __init__(self) -> None:
        self._observed: dict[str, ObservedDrain] = {}

    def observe(self, view: View, now: float) -> None:
        """Record the draining and drained hosts of a view."""
        self._observed = {
            host: self._observe_drain(host, assignment.epoch, view.revision, now)
            for host, assignment in view.assignments.items()
            if assignment.state in (DRAINING, OUT)
        }

    def _observe_drain(self, host: str, epoch: int, revision: int, now: float) -> ObservedDrain:
        known = self._observed.get(host)
        if known is not None and known.epoch == epoch:
            return known
        return ObservedDrain(epoch, revision, now)

    def find(self, host: str) -> ObservedDrain | None:
        """Return when a host's drain was first observed, or None."""
        return self._observed.get(host)
