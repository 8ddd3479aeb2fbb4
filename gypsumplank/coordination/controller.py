"""Advance the drains, moves and maintenance waves of pools whose leases this daemon holds."""

import logging
import uuid
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, replace

from gypsumplank.coordination import assignment as assignments
from gypsumplank.coordination.budget import pool_availability
from gypsumplank.coordination.daemontracker import DaemonTracker
from gypsumplank.coordination.isolation import is_majority
from gypsumplank.coordination.lease import LeaseManager
from gypsumplank.coordination.signals import HostSignals
from gypsumplank.coordination.wave import (
    PAUSE_AFTER_FAILED_HOSTS,
    WaveProgress,
    wait_reason,
    wave_progress,
)
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
from gypsumplank.state.view import CurrentView, View
from gypsumplank.state.wave import RunRow, RunState, WaveStore

# Time after which a failed host returns to service, unless the membership list lacks it.
FAILED_HOST_RETRY_S = 30.0
ACTOR = "controller"

Transition = Callable[[View, AssignmentSpec], AssignmentSpec]

logger = logging.getLogger(__name__)


@dataclass(frozen=True)
class Stores:
    """Group the stores that the controller reads and writes."""

    config: ConfigStore
    sessions: SessionStore
    waves: WaveStore


class Controller:
    """Commit the next transition of each host's assignment, fenced by its pool's lease.

    Each transition is computed from the newest view in the transaction that commits it. After a
    crash, a pause or a lost response between two transitions the host is therefore in exactly one
    pool, and the next lease holder can continue.
    """

    def __init__(
        self,
        stores: Stores,
        current_view: CurrentView,
        leases: LeaseManager,
        daemon_tracker: DaemonTracker,
        signals: HostSignals,
        clock: Clock,
    ) -> None:
        self._stores = stores
        self._current_view = current_view
        self._leases = leases
        self._daemon_tracker = daemon_tracker
        self._signals = signals
        self._failure_detector = signals.failure_detector
        self._clock = clock
        self._drain_tracker = assignments.DrainTracker()
        self._runs: Mapping[str, RunRow] = {}
        self.refusals: dict[str, str] = {}

    def tick(self) -> None:
        """Run one reconciliation round; do nothing while the platform is unavailable."""
        try:
            self._read_state()
        except StateError as exc:
            event(
                logger, Event.STATE_UNAVAILABLE, logging.WARNING, code=exc.code, step="controller"
            )
            return
        self.refusals = {}
        view = self._current_view.view
        due = self._hosts_due(view)
        for pool in self._leases.held():
            self._reconcile_pool(view, pool, due.get(pool, ()))

    def start_planned_moves(self, plan: Plan) -> None:
        """Start the planned moves out of pools whose leases this daemon holds."""
        view = self._current_view.view
        for planned in plan.moves:
            drain = assignments.DrainRequest(
                planned.host,
                assignments.OutReason.MOVE,
                DEFAULT_GRACE_S,
                target_pool=planned.target,
            )
            assignment = view.assignment(planned.host)
            if (
                assignment.pool == planned.source
                and self._leases.fence(assignment.pool) is not None
            ):
                self._commit_assignment(
                    assignment.pool, planned.host, assignment, self._drain_transition(drain)
                )

    def drain_wait_reason(self, host: str) -> str:
        """Return why a drain cannot finish yet, or an empty string."""
        assignment = self._current_view.view.assignment(host)
        observed = self._drain_tracker.find(host)
        if observed is None:
            return "the drain to be observed here"
        age_s = self._clock.monotonic() - observed.first_observed_at
        propagation = self._propagation_wait_reason(observed.revision)
        if propagation or age_s >= max(assignment.grace_s, self._daemon_tracker.lapse_timeout_s):
            return propagation
        if lapsed := self._daemon_tracker.lapsed:
            return f"the whole grace period, as lapsed {', '.join(lapsed)} may still use the host"
        busy = self._daemon_tracker.in_flight(host)
        if busy and age_s < assignment.grace_s:
            return f"{busy} requests in flight, {assignment.grace_s - age_s:.0f} s of grace left"
        return (
            self._signals.task_wait_reason(assignment.pool, host)
            if age_s < assignment.grace_s
            else ""
        )

    def _propagation_wait_reason(self, revision: int) -> str:
        """Return why live daemons may not have a revision in force yet, or an empty string."""
        if not self._daemon_tracker.is_in_force_everywhere(revision):
            behind = ", ".join(self._daemon_tracker.behind(revision))
            return f"revision {revision} is not in force at {behind or 'any'}"
        live, lapsed = self._daemon_tracker.live, self._daemon_tracker.lapsed
        if not is_majority(len(live), len(live) + len(lapsed)):
            return f"sessions of most daemons, lapsed are {', '.join(lapsed)}"
        return ""

    def _read_state(self) -> None:
        """Read sessions, leases and wave runs, and renew leases."""
        view = self._current_view.view
        self._daemon_tracker.observe(self._stores.sessions.all())
        self._drain_tracker.observe(view, self._clock.monotonic())
        live = [session.id for session in self._daemon_tracker.live]
        self._leases.tick(view.pools, live)
        self._runs = self._stores.waves.all()

    def _hosts_due(self, view: View) -> dict[str, list[str]]:
        """Return by pool the hosts whose assignment may need a transition."""
        due: dict[str, list[str]] = {}
        for host, assignment in view.assignments.items():
            if assignment.state is not AssignmentState.SERVING or host not in view.hosts:
                due.setdefault(assignment.pool, []).append(host)
        for host in self._failure_detector.failed():
            is_serving = (
                host in view.hosts and view.assignment(host).state is AssignmentState.SERVING
            )
            if (
                is_serving
                and pool_availability(view, view.assignment(host).pool).disruptions_allowed
            ):
                due.setdefault(view.assignment(host).pool, []).append(host)
        return due

    def _reconcile_pool(self, view: View, pool: str, due: Iterable[str]) -> None:
        for host in due:
            if host in view.hosts:
                self._reconcile_host(view, pool, host)
            else:
                self._delete_assignment(pool, host)
        for name, row in self._runs.items():
            if row.run.state is RunState.RUNNING and name in view.waves:
                self._advance_wave(view, pool, row)

    def _reconcile_host(self, view: View, pool: str, host: str) -> None:
        assignment = view.assignment(host)
        match assignment.state:
            case AssignmentState.DRAINING:
                self._advance_drain(pool, host, assignment)
            case AssignmentState.OUT if assignment.run:
                self._advance_maintenance(view, pool, host, assignment)
            case AssignmentState.FAILED:
                self._retry_failed_host(pool, host, assignment)
            case AssignmentState.SERVING:
                self._commit_assignment(
                    pool,
                    host,
                    assignment,
                    lambda _, current: assignments.mark_failed(current, self._clock.wall()),
                )

    def _advance_drain(self, pool: str, host: str, assignment: AssignmentSpec) -> None:
        if assignment.run and self._run_state(assignment.run) is RunState.ABORTED:
            self._commit_assignment(
                pool,
                host,
                assignment,
                lambda _, current: assignments.return_to_service(current, self._clock.wall()),
            )
            return
        if not self.drain_wait_reason(host):
            self._commit_assignment(
                pool,
                host,
                assignment,
                lambda _, current: assignments.finish_drain(current, self._clock.wall()),
            )

    def _advance_maintenance(
        self, view: View, pool: str, host: str, assignment: AssignmentSpec
    ) -> None:
        wave = view.waves.get(assignment.run.rpartition("#")[0])
        maintenance_s = wave.maintenance_s if wave else 0.0
        if self._clock.wall() - assignment.since < maintenance_s or self._failure_detector.missing(
            host
        ):
            return
        self._failure_detector.clear_results(host)
        self._commit_assignment(
            pool,
            host,
            assignment,
            lambda _, current: assignments.finish_maintenance(current, self._clock.wall()),
        )

    def _retry_failed_host(self, pool: str, host: str, assignment: AssignmentSpec) -> None:
        if (
            self._clock.wall() - assignment.since < FAILED_HOST_RETRY_S
            or self._failure_detector.missing(host)
        ):
            return
        self._failure_detector.clear_results(host)
        self._commit_assignment(
            pool,
            host,
            assignment,
            lambda _, current: assignments.return_to_service(current, self._clock.wall()),
        )

    def _advance_wave(self, view: View, pool: str, row: RunRow) -> None:
        spec = view.waves[row.run.wave]
        progress = wave_progress(view, spec, row.run, self._signals)
        if self._pause_or_finish_run(progress, row) or self._clock.wall() < spec.not_before:
            return
        for host in progress.ready:
            assignment = view.assignment(host)
            if assignment.pool == pool:
                self._commit_assignment(
                    pool,
                    host,
                    assignment,
                    self._wave_drain_transition(host, spec, row),
                    (row.fence,),
                )

    def _drain_transition(self, drain: assignments.DrainRequest) -> Transition:
        return lambda newest, _: assignments.begin_drain(
            newest, drain, self._clock.wall(), self._signals.suspect_hosts()
        )

    def _wave_drain_transition(self, host: str, spec: WaveSpec, row: RunRow) -> Transition:
        drain = assignments.DrainRequest(
            host, assignments.OutReason.WAVE, spec.grace_s, run=row.run.id, override=spec.override
        )

        def transition(newest: View, current: AssignmentSpec) -> AssignmentSpec:
            reason = wait_reason(newest, spec, row.run, host, self._signals)
            if reason:
                raise BudgetError(f"host {host!r}: {reason}")
            return start_drain(newest, current)

        start_drain = self._drain_transition(drain)
        return transition

    def _pause_or_finish_run(self, progress: WaveProgress, row: RunRow) -> bool:
        """Pause a run after correlated failures or finish it; return whether either was due."""
        failed = {*progress.failed, *(self._failure_detector.failed() & set(progress.done))}
        if len(failed) >= PAUSE_AFTER_FAILED_HOSTS:
            reason = f"{len(failed)} hosts failed: {', '.join(sorted(failed))}"
            self._save_run(row, RunState.PAUSED, reason)
            return True
        if len(progress.done) == progress.total:
            self._save_run(row, RunState.FINISHED, "")
            return True
        return False

    def _save_run(self, row: RunRow, state: RunState, reason: str) -> None:
        run = replace(row.run, state=state, actor=ACTOR, reason=reason)
        try:
            self._stores.waves.put(run, row.version)
        except StateError as exc:
            self._record_refusal(run.wave, exc)
            return
        event(logger, Event.WAVE_CHANGED, run=run.id, state=state.value, reason=reason)

    def _run_state(self, run_id: str) -> RunState | None:
        """Return a run's state; one whose row is gone or holds a newer run counts as aborted."""
        row = self._runs.get(run_id.rpartition("#")[0])
        return row.run.state if row is not None and row.run.id == run_id else RunState.ABORTED

    def _commit_assignment(
        self,
        pool: str,
        host: str,
        assignment: AssignmentSpec,
        transition: Transition,
        fences: tuple[Check, ...] = (),
    ) -> None:
        """Commit a transition of a host whose assignment is still the one that was read."""

        def propose(newest: View) -> Change:
            fence = self._leases.fence(pool)
            if fence is None:
                raise PoolLeaseLostError(f"no lease held of pool {pool!r}")
            current = assignments.get_assignment(newest, host)
            if current != assignment:
                raise StepStaleError(f"host {host!r} has become {current.state.value} meanwhile")
            record = assignments.assignment_record(host, transition(newest, current))
            return Change(operation, (record,), actor=ACTOR, fences=(fence, *fences))

        operation = uuid.uuid4().hex
        try:
            revision = self._stores.config.propose(operation, propose)
        except GypsumplankError as exc:
            self._record_refusal(host, exc)
            return
        event(logger, Event.HOST_ASSIGNED, host=host, pool=pool, revision=revision)

    def _delete_assignment(self, pool: str, host: str) -> None:
        """Delete the assignment of a host whose record was deleted."""

        def propose(newest: View) -> Change:
            fence = self._leases.fence(pool)
            if fence is None or host in newest.hosts or host not in newest.assignments:
                raise StepStaleError(f"cannot delete the assignment of host {host!r}")
            key = record_key(Kind.ASSIGNMENT, host)
            return Change(operation, (), (key,), ACTOR, fences=(fence,))

        operation = uuid.uuid4().hex
        try:
            self._stores.config.propose(operation, propose)
        except GypsumplankError as exc:
            self._record_refusal(host, exc)

    def _record_refusal(self, subject: str, exc: GypsumplankError) -> None:
        self.refusals[subject] = exc.detail
        event(logger, Event.STEP_REFUSED, of=subject, code=exc.code, detail=exc.detail)
