"""Carry out what operators ask of hosts and waves, and report on pools and waves."""

import logging
from collections.abc import Callable
from dataclasses import dataclass, replace

from gypsumplank.coordination import move
from gypsumplank.coordination.budget import standing_of
from gypsumplank.coordination.controller import Controller, Stores
from gypsumplank.coordination.lease import Leases
from gypsumplank.coordination.signals import Signals
from gypsumplank.coordination.wave import forecast_s, selection, survey
from gypsumplank.errors import RecordMissingError, StateUnknownError, WaveError
from gypsumplank.log import Event, event
from gypsumplank.protocol.fleet import (
    HostAction,
    HostOrder,
    HostReport,
    PoolReport,
    WaveAction,
    WaveOrder,
    WaveReport,
)
from gypsumplank.protocol.operator import ChangeReceipt
from gypsumplank.protocol.spec import AssignmentSpec, AssignmentState
from gypsumplank.state.clock import Clock
from gypsumplank.state.config import Change
from gypsumplank.state.table import ABSENT
from gypsumplank.state.view import View, ViewHolder
from gypsumplank.state.wave import RunRow, RunState, WaveRun

NEXT_HOSTS = 5
ALLOWED = {
    WaveAction.PAUSE: ((RunState.RUNNING,), RunState.PAUSED),
    WaveAction.RESUME: ((RunState.PAUSED,), RunState.RUNNING),
    WaveAction.ABORT: ((RunState.RUNNING, RunState.PAUSED), RunState.ABORTED),
}

logger = logging.getLogger(__name__)


@dataclass(frozen=True)
class Sources:
    """Hold what the reports are drawn from."""

    holder: ViewHolder
    leases: Leases
    controller: Controller
    signals: Signals


class FleetDesk:
    """Answer operators at any daemon, whoever holds the pools' leases."""

    def __init__(
        self, stores: Stores, sources: Sources, clock: Clock, accepted: Callable[[], None]
    ) -> None:
        self._stores = stores
        self._from = sources
        self._clock = clock
        self._accepted = accepted

    def host(self, order: HostOrder, actor: str) -> ChangeReceipt:
        """Accept a drain, undrain or move; raise GypsumplankError."""

        def propose(newest: View) -> Change:
            spec = self._decide(newest, order)
            return Change(order.operation, (move.assignment_record(order.host, spec),), (), actor)

        revision = self._stores.config.propose(order.operation, propose)
        what = Event.BUDGET_OVERRIDDEN if order.override else Event.HOST_ASSIGNED
        event(
            logger,
            what,
            host=order.host,
            action=order.action.value,
            revision=revision,
            actor=actor,
        )
        self._accepted()
        return ChangeReceipt(revision)

    def wave(self, order: WaveOrder, actor: str) -> WaveReport:
        """Start, pause, resume or abort a wave's run; raise GypsumplankError."""
        view = self._from.holder.current
        if order.wave not in view.waves:
            raise RecordMissingError(f"no wave {order.wave!r}")
        row = self._stores.waves.find(order.wave)
        run = self._next_run(order, row, actor)
        if order.action is WaveAction.START and view.waves[order.wave].override:
            event(logger, Event.BUDGET_OVERRIDDEN, logging.WARNING, run=run.id, actor=actor)
        self._put(run, row.version if row else ABSENT)
        event(logger, Event.WAVE_CHANGED, run=run.id, state=run.state.value, actor=actor)
        return self._report_wave(view, order.wave, run)

    def pools(self) -> tuple[PoolReport, ...]:
        """Return how every pool stands."""
        view = self._from.holder.current
        suspects = self._from.signals.suspects()
        return tuple(self._report_pool(view, pool, suspects) for pool in sorted(view.pools))

    def waves(self) -> tuple[WaveReport, ...]:
        """Return how far every wave is; one not yet started shows its plan."""
        view = self._from.holder.current
        rows = self._stores.waves.all()
        return tuple(
            self._report_wave(view, name, rows[name].run if name in rows else None)
            for name in sorted(view.waves)
        )

    def _decide(self, view: View, order: HostOrder) -> AssignmentSpec:
        now = self._clock.wall()
        if order.action is HostAction.UNDRAIN:
            return move.return_to_service(move.held_assignment(view, order.host), now)
        moving = order.action is HostAction.MOVE
        reason = move.Reason.MOVE if moving else move.Reason.OPERATOR
        target = order.target_pool if moving else ""
        drain = move.Drain(
            order.host, reason, order.grace_s, target_pool=target, override=order.override
        )
        return move.begin_drain(view, drain, now, self._from.signals.suspects())

    def _next_run(self, order: WaveOrder, row: RunRow | None, actor: str) -> WaveRun:
        state = row.run.state if row else None
        if order.action is WaveAction.START:
            if state in (RunState.RUNNING, RunState.PAUSED):
                raise WaveError(f"wave {order.wave!r} is {state.value} already")
            number = row.run.number + 1 if row else 1
            return WaveRun(order.wave, number, RunState.RUNNING, self._clock.wall(), actor)
        allowed, becomes = ALLOWED[order.action]
        if row is None or state not in allowed:
            held = state.value if state else "not started"
            raise WaveError(f"wave {order.wave!r} is {held}: cannot {order.action.value}")
        started_at = row.run.started_at
        if order.action is WaveAction.RESUME:
            started_at = self._clock.wall()
        return replace(row.run, state=becomes, actor=actor, reason="", started_at=started_at)

    def _put(self, run: WaveRun, version: int) -> None:
        """Write a run; settle a lost answer by reading the row back."""
        try:
            self._stores.waves.put(run, version)
        except StateUnknownError:
            found = self._stores.waves.find(run.wave)
            if found is None or found.run != run:
                raise

    def _report_pool(self, view: View, pool: str, suspects: frozenset[str]) -> PoolReport:
        standing = standing_of(view, pool, suspects)
        return PoolReport(
            pool,
            standing.hosts,
            standing.in_service,
            standing.floor,
            standing.room,
            self._from.leases.holders.get(pool, ""),
            self._from.signals.flooded(pool),
            tuple(self._report_host(view, host) for host in standing.out if host not in suspects),
            tuple(host for host in view.serving_hosts(pool) if host in suspects),
        )

    def _report_host(self, view: View, host: str) -> HostReport:
        held = view.assignment(host)
        draining = held.state is AssignmentState.DRAINING
        wait = self._from.controller.drain_wait(host) if draining else ""
        return HostReport(
            host,
            held.pool,
            view.hosts[host].zone,
            held.state.value,
            held.reason,
            held.run,
            held.target_pool,
            held.override,
            round(max(0.0, self._clock.wall() - held.since), 1),
            wait or self._from.controller.refusals.get(host, ""),
        )

    def _report_wave(self, view: View, name: str, run: WaveRun | None) -> WaveReport:
        spec = view.waves[name]
        shown = run or WaveRun(name, 0, RunState.PAUSED, 0.0)
        state = survey(view, spec, shown, self._from.signals)
        waits = dict(state.waits)
        starts_in_s = max(0.0, spec.not_before - self._clock.wall())
        if starts_in_s:
            waits[""] = f"not before {starts_in_s:.0f} s from now"
        over = run is not None and run.state in (RunState.ABORTED, RunState.FINISHED)
        return WaveReport(
            name,
            run.id if run else "",
            run.state.value if run else "planned",
            state.total,
            len(state.done),
            state.out,
            () if over else state.ready[:NEXT_HOSTS],
            0.0 if over else starts_in_s + forecast_s(view, spec, state),
            shown.actor,
            shown.reason,
            spec.override,
            {} if over else waits,
            selection(view, spec),
        )
