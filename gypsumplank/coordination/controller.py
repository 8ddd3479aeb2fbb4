"""Carry on every drain, move and wave of the pools whose leases this daemon holds."""

import logging
import uuid
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, replace

from gypsumplank.coordination import move
from gypsumplank.coordination.budget import standing_of
from gypsumplank.coordination.isolation import is_majority
from gypsumplank.coordination.lease import Leases
from gypsumplank.coordination.signals import Signals
from gypsumplank.coordination.wave import (
    CORRELATED_FAILURES,
    WaveState,
    find_wait,
    survey,
)
from gypsumplank.coordination.witness import Witness
from gypsumplank.errors import (
    BudgetError,
    GypsumplankError,
    PoolLeaseLostError,
    StateError,
    StepStaleError,
)
from gypsumplank.log import Event, event
from gypsumplank.protocol.fleet import Plan
from gypsumplank.protocol.record import Kind, record_key
from gypsumplank.protocol.spec import DEFAULT_GRACE_S, AssignmentSpec, AssignmentState, WaveSpec
from gypsumplank.state.clock import Clock
from gypsumplank.state.config import Change, ConfigStore
from gypsumplank.state.session import SessionStore
from gypsumplank.state.table import Check
from gypsumplank.state.view import View, ViewHolder
from gypsumplank.state.wave import RunRow, RunState, WaveStore

TRIAL_S = 30.0
ACTOR = "controller"

Decide = Callable[[View, AssignmentSpec], AssignmentSpec]

logger = logging.getLogger(__name__)


@dataclass(frozen=True)
class Stores:
    """Hold what the controller reads and writes."""

    config: ConfigStore
    sessions: SessionStore
    waves: WaveStore


class Controller:
    """Take the next step of each host, fenced by its pool's lease.

    Every step is decided on the newest view in the transaction that commits it, so that a crash,
    a pause or a lost answer between two steps leaves the host in one pool for the next holder.
    """

    def __init__(
        self,
        stores: Stores,
        holder: ViewHolder,
        leases: Leases,
        witness: Witness,
        signals: Signals,
        clock: Clock,
    ) -> None:
        self._stores = stores
        self._holder = holder
        self._leases = leases
        self._witness = witness
        self._signals = signals
        self._roster = signals.roster
        self._clock = clock
        self._drains = move.DrainLog()
        self._runs: Mapping[str, RunRow] = {}
        self.refusals: dict[str, str] = {}

    def tick(self) -> None:
        """Do one round; an outage of the platform leaves everything as it is."""
        try:
            self._look()
        except StateError as exc:
            event(
                logger, Event.STATE_UNAVAILABLE, logging.WARNING, code=exc.code, step="controller"
            )
            return
        self.refusals = {}
        view = self._holder.current
        due = self._due(view)
        for pool in self._leases.held():
            self._run_pool(view, pool, due.get(pool, ()))

    def begin_moves(self, plan: Plan) -> None:
        """Begin the planned moves out of pools whose leases are held here."""
        view = self._holder.current
        for found in plan.moves:
            order = move.Drain(
                found.host, move.Reason.MOVE, DEFAULT_GRACE_S, target_pool=found.target
            )
            held = view.assignment(found.host)
            if held.pool == found.source and self._leases.fence(held.pool) is not None:
                self._assign(held.pool, found.host, held, self._begin(order))

    def drain_wait(self, host: str) -> str:
        """Return why a drain is not over; empty where it is."""
        held = self._holder.current.assignment(host)
        seen = self._drains.find(host)
        if seen is None:
            return "not seen yet"
        age_s = self._clock.monotonic() - seen.at
        spread = self._spread_wait(seen.revision)
        if spread or age_s >= max(held.grace_s, self._witness.wait_s):
            return spread
        if lapsed := self._witness.lapsed:
            return f"the whole grace, as {', '.join(lapsed)} may still use it"
        busy = self._witness.in_flight(host)
        if busy and age_s < held.grace_s:
            return f"{busy} requests in flight, {held.grace_s - age_s:.0f} s of grace left"
        return self._signals.tasks(held.pool, host) if age_s < held.grace_s else ""

    def _spread_wait(self, revision: int) -> str:
        """Return which daemons may not know of a revision; empty where all that matter do."""
        if not self._witness.in_force(revision):
            behind = ", ".join(self._witness.behind(revision))
            return f"revision {revision} is not in force at {behind or 'any'}"
        live, lapsed = self._witness.live, self._witness.lapsed
        if not is_majority(len(live), len(live) + len(lapsed)):
            return f"sessions of most daemons, lapsed are {', '.join(lapsed)}"
        return ""

    def _look(self) -> None:
        """Read sessions, leases and wave runs."""
        view = self._holder.current
        self._witness.observe(self._stores.sessions.all())
        self._drains.observe(view, self._clock.monotonic())
        live = [session.id for session in self._witness.live]
        self._leases.tick(view.pools, live)
        self._runs = self._stores.waves.all()

    def _due(self, view: View) -> dict[str, list[str]]:
        """Return the hosts that may have a next step, by pool."""
        due: dict[str, list[str]] = {}
        for host, held in view.assignments.items():
            if held.state is not AssignmentState.SERVING or host not in view.hosts:
                due.setdefault(held.pool, []).append(host)
        for host in self._roster.failed():
            serves = host in view.hosts and view.assignment(host).state is AssignmentState.SERVING
            if serves and standing_of(view, view.assignment(host).pool).room:
                due.setdefault(view.assignment(host).pool, []).append(host)
        return due

    def _run_pool(self, view: View, pool: str, due: Iterable[str]) -> None:
        for host in due:
            if host in view.hosts:
                self._step(view, pool, host)
            else:
                self._forget(pool, host)
        for name, row in self._runs.items():
            if row.run.state is RunState.RUNNING and name in view.waves:
                self._run_wave(view, pool, row)

    def _step(self, view: View, pool: str, host: str) -> None:
        held = view.assignment(host)
        match held.state:
            case AssignmentState.DRAINING:
                self._drain_step(pool, host, held)
            case AssignmentState.OUT if held.run:
                self._maintenance_step(view, pool, host, held)
            case AssignmentState.FAILED:
                self._trial_step(pool, host, held)
            case AssignmentState.SERVING:
                self._assign(pool, host, held, lambda _, was: move.fail(was, self._clock.wall()))

    def _drain_step(self, pool: str, host: str, held: AssignmentSpec) -> None:
        if held.run and self._run_state(held.run) is RunState.ABORTED:
            self._assign(
                pool, host, held, lambda _, was: move.return_to_service(was, self._clock.wall())
            )
            return
        if not self.drain_wait(host):
            self._assign(
                pool, host, held, lambda _, was: move.finish_drain(was, self._clock.wall())
            )

    def _maintenance_step(self, view: View, pool: str, host: str, held: AssignmentSpec) -> None:
        wave = view.waves.get(held.run.rpartition("#")[0])
        needs_s = wave.maintenance_s if wave else 0.0
        if self._clock.wall() - held.since < needs_s or self._roster.missing(host):
            return
        self._roster.forget(host)
        self._assign(
            pool, host, held, lambda _, was: move.finish_maintenance(was, self._clock.wall())
        )

    def _trial_step(self, pool: str, host: str, held: AssignmentSpec) -> None:
        if self._clock.wall() - held.since < TRIAL_S or self._roster.missing(host):
            return
        self._roster.forget(host)
        self._assign(
            pool, host, held, lambda _, was: move.return_to_service(was, self._clock.wall())
        )

    def _run_wave(self, view: View, pool: str, row: RunRow) -> None:
        spec = view.waves[row.run.wave]
        state = survey(view, spec, row.run, self._signals)
        if self._settle_run(state, row) or self._clock.wall() < spec.not_before:
            return
        for host in state.ready:
            held = view.assignment(host)
            if held.pool == pool:
                self._assign(pool, host, held, self._wave_drain(host, spec, row), (row.fence,))

    def _begin(self, order: move.Drain) -> Decide:
        return lambda newest, _was: move.begin_drain(
            newest, order, self._clock.wall(), self._signals.suspects()
        )

    def _wave_drain(self, host: str, spec: WaveSpec, row: RunRow) -> Decide:
        order = move.Drain(
            host, move.Reason.WAVE, spec.grace_s, run=row.run.id, override=spec.override
        )

        def decide(newest: View, was: AssignmentSpec) -> AssignmentSpec:
            wait = find_wait(newest, spec, row.run, host, self._signals)
            if wait:
                raise BudgetError(f"host {host!r}: {wait}")
            return begin(newest, was)

        begin = self._begin(order)
        return decide

    def _settle_run(self, state: WaveState, row: RunRow) -> bool:
        """Finish or pause a run where it is due; tell whether it was."""
        failed = {*state.failed, *(self._roster.failed() & set(state.done))}
        if len(failed) >= CORRELATED_FAILURES:
            reason = f"{len(failed)} hosts failed: {', '.join(sorted(failed))}"
            self._put_run(row, RunState.PAUSED, reason)
            return True
        if len(state.done) == state.total:
            self._put_run(row, RunState.FINISHED, "")
            return True
        return False

    def _put_run(self, row: RunRow, state: RunState, reason: str) -> None:
        run = replace(row.run, state=state, actor=ACTOR, reason=reason)
        try:
            self._stores.waves.put(run, row.version)
        except StateError as exc:
            self._refuse(run.wave, exc)
            return
        event(logger, Event.WAVE_CHANGED, run=run.id, state=state.value, reason=reason)

    def _run_state(self, run_id: str) -> RunState | None:
        row = self._runs.get(run_id.rpartition("#")[0])
        return row.run.state if row is not None and row.run.id == run_id else RunState.ABORTED

    def _assign(
        self,
        pool: str,
        host: str,
        held: AssignmentSpec,
        decide: Decide,
        fences: tuple[Check, ...] = (),
    ) -> None:
        """Commit one step of a host that is still as this daemon saw it."""

        def propose(newest: View) -> Change:
            fence = self._leases.fence(pool)
            if fence is None:
                raise PoolLeaseLostError(f"lease of pool {pool!r}")
            was = move.held_assignment(newest, host)
            if was != held:
                raise StepStaleError(f"host {host!r} is {was.state.value} by now")
            record = move.assignment_record(host, decide(newest, was))
            return Change(operation, (record,), actor=ACTOR, fences=(fence, *fences))

        operation = uuid.uuid4().hex
        try:
            revision = self._stores.config.propose(operation, propose)
        except GypsumplankError as exc:
            self._refuse(host, exc)
            return
        event(logger, Event.HOST_ASSIGNED, host=host, pool=pool, revision=revision)

    def _forget(self, pool: str, host: str) -> None:
        """Delete the assignment of a host whose record is gone."""

        def propose(newest: View) -> Change:
            fence = self._leases.fence(pool)
            if fence is None or host in newest.hosts or host not in newest.assignments:
                raise StepStaleError(f"assignment of {host!r}")
            key = record_key(Kind.ASSIGNMENT, host)
            return Change(operation, (), (key,), ACTOR, fences=(fence,))

        operation = uuid.uuid4().hex
        try:
            self._stores.config.propose(operation, propose)
        except GypsumplankError as exc:
            self._refuse(host, exc)

    def _refuse(self, what: str, exc: GypsumplankError) -> None:
        self.refusals[what] = exc.detail
        event(logger, Event.STEP_REFUSED, of=what, code=exc.code, detail=exc.detail)
