"""Decide each step of a host from serving to drained and back, in its pool or another."""

from collections.abc import Collection
from dataclasses import dataclass, replace
from enum import StrEnum

import msgspec

from gypsumplank.coordination.budget import find_blocker
from gypsumplank.errors import BudgetError, InvariantError, RecordMissingError, StepStaleError
from gypsumplank.protocol.record import NEWEST_SCHEMA, Kind, Record
from gypsumplank.protocol.spec import AssignmentSpec, AssignmentState
from gypsumplank.state.view import View

SERVING, DRAINING = AssignmentState.SERVING, AssignmentState.DRAINING
OUT, FAILED = AssignmentState.OUT, AssignmentState.FAILED


class Reason(StrEnum):
    """Tell why a host is out of service."""

    OPERATOR = "operator"
    WAVE = "wave"
    MOVE = "move"
    FAILURE = "failure"


@dataclass(frozen=True)
class Drain:
    """Ask for a host to leave service; `grace_s` bounds the wait for its requests in flight."""

    host: str
    reason: str
    grace_s: float
    target_pool: str = ""
    run: str = ""
    override: bool = False


def assignment_record(host: str, spec: AssignmentSpec) -> Record:
    """Return the record of an assignment."""
    return Record(Kind.ASSIGNMENT, host, NEWEST_SCHEMA, msgspec.to_builtins(spec))


def held_assignment(view: View, host: str) -> AssignmentSpec:
    """Return a host's assignment; raise RecordMissingError."""
    if host not in view.hosts:
        raise RecordMissingError(f"no host {host!r}")
    return view.assignment(host)


def begin_drain(
    view: View, order: Drain, now: float, suspects: Collection[str] = ()
) -> AssignmentSpec:
    """Return the assignment of a host that starts to leave; raise BudgetError."""
    was = held_assignment(view, order.host)
    idle = was.state is OUT and not was.run
    if was.state not in (SERVING, FAILED) and not idle:
        raise StepStaleError(f"host {order.host!r} is {was.state.value} already")
    if order.target_pool and order.target_pool not in view.pools:
        raise RecordMissingError(f"no pool {order.target_pool!r}")
    blocker = find_blocker(view, order.host, suspects) if was.state is SERVING else ""
    if blocker and not order.override:
        raise BudgetError(f"host {order.host!r} in pool {was.pool!r}: {blocker}")
    return replace(
        was,
        state=DRAINING,
        reason=order.reason,
        target_pool=order.target_pool,
        epoch=was.epoch + 1,
        since=now,
        grace_s=order.grace_s,
        run=order.run,
        override=order.override,
    )


def finish_drain(was: AssignmentSpec, now: float) -> AssignmentSpec:
    """Return the assignment after the drain: out, or serving its new pool."""
    if was.state is not DRAINING:
        raise InvariantError(f"a host that is {was.state.value} has no drain to finish")
    if was.target_pool:
        return _serve(replace(was, pool=was.target_pool), now)
    return replace(was, state=OUT, epoch=was.epoch + 1, since=now)


def return_to_service(was: AssignmentSpec, now: float) -> AssignmentSpec:
    """Return the assignment of a host that serves its pool again; undoes a drain or a move."""
    if was.state is SERVING:
        raise StepStaleError("the host serves already")
    return _serve(was, now)


def finish_maintenance(was: AssignmentSpec, now: float) -> AssignmentSpec:
    """Return the assignment of a host that its wave run is done with."""
    if was.state is not OUT or not was.run:
        raise InvariantError("only a host that a wave has out can be maintained")
    return _serve(replace(was, maintained=was.run), now)


def fail(was: AssignmentSpec, now: float) -> AssignmentSpec:
    """Return the assignment of a serving host that was found dead."""
    if was.state is not SERVING:
        raise StepStaleError(f"the host is {was.state.value}")
    return replace(was, state=FAILED, reason=Reason.FAILURE, epoch=was.epoch + 1, since=now)


def _serve(was: AssignmentSpec, now: float) -> AssignmentSpec:
    return replace(
        was,
        state=SERVING,
        reason="",
        target_pool="",
        epoch=was.epoch + 1,
        since=now,
        run="",
        override=False,
    )


@dataclass(frozen=True)
class Progress:
    """Hold what a controller has seen of one drain: from which revision and time on."""

    epoch: int
    revision: int
    at: float


class DrainLog:
    """Remember when this daemon first saw each drain, on its own clock.

    The revision of the first view with the drain is at least that of the drain itself, so that
    waiting for it is safe whichever daemon began the drain.
    """

    def __init__(self) -> None:
        self._seen: dict[str, Progress] = {}

    def observe(self, view: View, now: float) -> None:
        """Take in the drains of a view."""
        self._seen = {
            host: self._progress(host, held.epoch, view.revision, now)
            for host, held in view.assignments.items()
            if held.state in (DRAINING, OUT)
        }

    def _progress(self, host: str, epoch: int, revision: int, now: float) -> Progress:
        known = self._seen.get(host)
        if known is not None and known.epoch == epoch:
            return known
        return Progress(epoch, revision, now)

    def find(self, host: str) -> Progress | None:
        """Return what was seen of a host's drain."""
        return self._seen.get(host)
