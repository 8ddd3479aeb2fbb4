"""Handle operators' requests on hosts and waves, and report on pools and waves."""

import logging
from collections.abc import Callable
from dataclasses import dataclass, replace

from gypsumplank.coordination import assignment as assignments
from gypsumplank.coordination.budget import pool_availability
from gypsumplank.coordination.controller import Controller, Stores
from gypsumplank.coordination.lease import LeaseManager
from gypsumplank.coordination.signals import HostSignals
from gypsumplank.coordination.wave import forecast_s, ordered_hosts, wave_progress
from gypsumplank.errors import RecordMissingError, StateUnknownError, WaveError
from gypsumplank.log import Event, event
from gypsumplank.protocol.fleet import (
    HostAction,
    HostReport,
    HostRequest,
    PoolReport,
    WaveAction,
    WaveReport,
    WaveRequest,
)
from gypsumplank.protocol.operator import ChangeReceipt
from gypsumplank.protocol.spec import AssignmentSpec, AssignmentState
from gypsumplank.state.clock import Clock
from gypsumplank.state.config import Change
from gypsumplank.state.table import ABSENT
from gypsumplank.state.view import CurrentView, View
from gypsumplank.state.wave import RunRow, RunState, WaveRun

MAX_NEXT_HOSTS = 5
WAVE_TRANSITIONS = {
    WaveAction.PAUSE: ((RunState.RUNNING,), RunState.PAUSED),
    WaveAction.RESUME: ((RunState.PAUSED,), RunState.RUNNING),
    WaveAction.ABORT: ((RunState.RUNNING, RunState.PAUSED), RunState.ABORTED),
}

logger = logging.getLogger(__name__)


@dataclass(frozen=True)
class ReportSources:
    """Group the components that the reports read."""

    current_view: CurrentView
    leases: LeaseManager
    controller: Controller
    signals: HostSignals


class FleetService:
    """Serve operators' fleet requests on any daemon, whichever holds the pools' leases."""

    def __init__(
        self, stores: Stores, sources: ReportSources, clock: Clock, on_accepted: Callable[[], None]
    ) -> None:
        self._stores = stores
        self._sources = sources
        self._clock = clock
        self._on_accepted = on_accepted

    def host(self, order: HostRequest, actor: str) -> ChangeReceipt:
        """Commit a drain, undrain or move of a host; raise GypsumplankError."""

        def propose(newest: View) -> Change:
            spec = self._next_assignment(newest, order)
            return Change(
                order.operation, (assignments.assignment_record(order.host, spec),), (), actor
            )

        revision = self._stores.config.propose(order.operation, propose)
        event_type = Event.BUDGET_OVERRIDDEN if order.override else Event.HOST_ASSIGNED
        event(
            logger,
            event_type,
            host=order.host,
            action=order.action.value,
            revision=revision,
            actor=actor,
        )
        self._on_accepted()
        return ChangeReceipt(revision)

    def wave(self, order: WaveRequest, actor: str) -> WaveReport:
        """Start, pause, resume or abort a wave's run; raise GypsumplankError."""
        view = self._sources.current_view.view
        if order.wave not in view.waves:
            raise RecordMissingError(f"no wave {order.wave!r}")
        row = self._stores.waves.find(order.wave)
        run = self._next_run(order, row, actor)
        if order.action is WaveAction.START and view.waves[order.wave].override:
            event(logger, Event.BUDGET_OVERRIDDEN, logging.WARNING, run=run.id, actor=actor)
        self._save_run(run, row.version if row else ABSENT)
        event(logger, Event.WAVE_CHANGED, run=run.id, state=run.state.value, actor=actor)
        return self._wave_report(view, order.wave, run)

    def pools(self) -> tuple[PoolReport, ...]:
        """Return a report on every pool."""
        view = self._sources.current_view.view
        suspects = self._sources.signals.suspect_hosts()
        return tuple(self._pool_report(view, pool, suspects) for pool in sorted(view.pools))

    def waves(self) -> tuple[WaveReport, ...]:
        """Return a report on every wave; for one not started yet, what it would do."""
        view = self._sources.current_view.view
        rows = self._stores.waves.all()
        return tuple(
            self._wave_report(view, name, rows[name].run if name in rows else None)
            for name in sorted(view.waves)
        )

    def _next_assignment(self, view: View, order: HostRequest) -> AssignmentSpec:
        now = self._clock.wall()
        if order.action is HostAction.UNDRAIN:
            return assignments.return_to_service(assignments.get_assignment(view, order.host), now)
        is_move = order.action is HostAction.MOVE
        reason = assignments.OutReason.MOVE if is_move else assignments.OutReason.OPERATOR
        target = order.target_pool if is_move else ""
        drain = assignments.DrainRequest(
            order.host, reason, order.grace_s, target_pool=target, override=order.override
        )
        return assignments.begin_drain(view, drain, now, self._sources.signals.suspect_hosts())

    def _next_run(self, order: WaveRequest, row: RunRow | None, actor: str) -> WaveRun:
        state = row.run.state if row else None
        if order.action is WaveAction.START:
            if state in (RunState.RUNNING, RunState.PAUSED):
                raise WaveError(f"wave {order.wave!r} is {state.value} already")
            number = row.run.number + 1 if row else 1
            return WaveRun(order.wave, number, RunState.RUNNING, self._clock.wall(), actor)
        allowed_states, next_state = WAVE_TRANSITIONS[order.action]
        if row is None or state not in allowed_states:
            state_name = state.value if state else "not started"
            raise WaveError(f"wave {order.wave!r} is {state_name}: cannot {order.action.value}")
        started_at = row.run.started_at
        if order.action is WaveAction.RESUME:
            started_at = self._clock.wall()
        return replace(row.run, state=next_state, actor=actor, reason="", started_at=started_at)

    def _save_run(self, run: WaveRun, version: int) -> None:
        """Write a run; after a lost response, read the row back to see whether it was written."""
        try:
            self._stores.waves.put(run, version)
        except StateUnknownError:
            stored = self._stores.waves.find(run.wave)
            if stored is None or stored.run != run:
                raise

    def _pool_report(self, view: View, pool: str, suspects: frozenset[str]) -> PoolReport:
        availability = pool_availability(view, pool, suspects)
        return PoolReport(
            pool,
            availability.hosts,
            availability.in_service,
            availability.floor,
            availability.disruptions_allowed,
            self._sources.leases.holders.get(pool, ""),
            self._sources.signals.flooded(pool),
            tuple(
                self._host_report(view, host) for host in availability.out if host not in suspects
            ),
            tuple(host for host in view.serving_hosts(pool) if host in suspects),
        )

    def _host_report(self, view: View, host: str) -> HostReport:
        assignment = view.assignment(host)
        is_draining = assignment.state is AssignmentState.DRAINING
        wait_reason = self._sources.controller.drain_wait_reason(host) if is_draining else ""
        return HostReport(
            host,
            assignment.pool,
            view.hosts[host].zone,
            assignment.state.value,
            assignment.reason,
            assignment.run,
            assignment.target_pool,
            assignment.override,
            round(max(0.0, self._clock.wall() - assignment.since), 1),
            wait_reason or self._sources.controller.refusals.get(host, ""),
        )

    def _wave_report(self, view: View, name: str, run: WaveRun | None) -> WaveReport:
        spec = view.waves[name]
        reported_run = run or WaveRun(name, 0, RunState.PAUSED, 0.0)
        progress = wave_progress(view, spec, reported_run, self._sources.signals)
        wait_reasons = dict(progress.waits)
        starts_in_s = max(0.0, spec.not_before - self._clock.wall())
        if starts_in_s:
            wait_reasons[""] = f"not before {starts_in_s:.0f} s from now"
        has_ended = run is not None and run.state in (RunState.ABORTED, RunState.FINISHED)
        return WaveReport(
            name,
            run.id if run else "",
            run.state.value if run else "planned",
            progress.total,
            len(progress.done),
            progress.out,
            () if has_ended else progress.ready[:MAX_NEXT_HOSTS],
            0.0 if has_ended else starts_in_s + forecast_s(view, spec, progress),
            reported_run.actor,
            reported_run.reason,
            spec.override,
            {} if has_ended else wait_reasons,
            ordered_hosts(view, spec),
        )
