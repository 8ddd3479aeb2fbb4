"""Drive the tasks of the pools that this daemon controls."""

import logging
from collections.abc import Callable, Iterable, Mapping
from concurrent.futures import Executor
from dataclasses import replace
from functools import partial

from gypsumplank.coordination.agent import Agents
from gypsumplank.coordination.placement import (
    Placer,
    Plan,
    Room,
    impossible_reason,
    quota_of,
    room_of,
)
from gypsumplank.coordination.taskpool import TaskPool
from gypsumplank.errors import StateError
from gypsumplank.log import Event, event
from gypsumplank.protocol.task import Size, Task, TaskState
from gypsumplank.state.clock import Clock
from gypsumplank.state.table import Check
from gypsumplank.state.task import TaskStore
from gypsumplank.state.view import View

IDLE_LOOK_S = 0.75

logger = logging.getLogger(__name__)

Fence = Callable[[str], Check | None]


class TaskController:
    """Place and follow tasks in every pool whose lease this daemon holds."""

    def __init__(
        self,
        view: Callable[[], View],
        store: TaskStore,
        agents: Agents,
        fence: Fence,
        clock: Clock,
        executor: Executor,
    ) -> None:
        self._view = view
        self._store = store
        self._agents = agents
        self._fence = fence
        self._clock = clock
        self._executor = executor
        self.pools: dict[str, TaskPool] = {}
        self._look_at = 0.0

    def tick(self) -> None:
        """Do one round in every pool that is held."""
        view = self._view()
        fences = {pool: fence for pool in view.pools if (fence := self._fence(pool)) is not None}
        self.pools = {pool: held for pool, held in self.pools.items() if pool in fences}
        if not fences or self._may_wait(fences):
            return
        try:
            marks = self._store.marks()
        except StateError as exc:
            _log_outage(exc)
            return
        for pool, fence in fences.items():
            if pool not in self.pools:
                self.pools[pool] = TaskPool(pool, self._store, self._agents, self._clock)
            try:
                self.pools[pool].read(marks.get(pool, 0))
                if not self.pools[pool].idle:
                    self._round(view, pool, self.pools[pool], fence)
            except StateError as exc:
                _log_outage(exc)

    def _may_wait(self, pools: Iterable[str]) -> bool:
        """Tell whether there is nothing to follow and the marks were read a moment ago."""
        now = self._clock.monotonic()
        idle = all(pool in self.pools and self.pools[pool].idle for pool in pools)
        if idle and now < self._look_at:
            return True
        self._look_at = now + IDLE_LOOK_S
        return False

    def wait_at(self, pool: str, host: str) -> str:
        """Return why tasks hold up the drain of a host; empty where none does."""
        held = self.pools.get(pool)
        if held is None or not held.known:
            return "the pool's tasks are not read yet"
        count = len(held.running_on(host))
        return f"{count} tasks" if count else ""

    def _round(self, view: View, pool: str, held: TaskPool, fence: Check) -> None:
        if not held.save(held.contact(view, self._executor), fence):
            return
        quotas = {name: quota_of(spec) for name, spec in view.teams.items()}
        if not held.save(self._impossible(view, pool, held, quotas), fence):
            return
        plan = self._plan(view, pool, held, quotas)
        started = [
            replace(cand.task, state=TaskState.RUNNING, host=host, token=cand.task.token + 1)
            for cand, host in plan.starts
        ]
        if held.save(started, fence):
            list(self._executor.map(partial(held.start, view), started))
        overdue = held.overdue_evictions() if held.urgent_waits() else []
        leaving = held.drain_evictions(view)
        for eviction in (*plan.evictions, *overdue, *leaving):
            held.evict(view, eviction)

    def _plan(self, view: View, pool: str, held: TaskPool, quotas: Mapping[str, Size]) -> Plan:
        rooms = self._rooms(view, pool, held)
        placer = Placer(rooms, held.running(view.hosts_of(pool)), quotas)
        return placer.plan(held.candidates())

    def _rooms(self, view: View, pool: str, held: TaskPool) -> list[Room]:
        serving = view.serving_hosts(pool)
        floor = view.pools[pool].budget.floor(len(view.hosts_of(pool)))
        most_out = max(0, len(serving) - floor)
        selection = held.quarantine.select(serving, self._clock.monotonic(), most_out)
        idle_probes = [host for host in selection.probing if not held.running_on(host)]
        silent = held.silent_hosts()
        return [
            room_of(name, view.hosts[name])
            for name in (*selection.usable, *idle_probes)
            if name not in silent
        ]

    def _impossible(
        self, view: View, pool: str, held: TaskPool, quotas: Mapping[str, Size]
    ) -> list[Task]:
        rooms = [room_of(name, view.hosts[name]) for name in view.hosts_of(pool)]
        if not rooms:
            return []
        reasons = (
            (cand.task, impossible_reason(cand.size, rooms, quotas.get(cand.task.order.team)))
            for cand in held.candidates()
        )
        return [
            replace(task, state=TaskState.IMPOSSIBLE, reason=reason)
            for task, reason in reasons
            if reason
        ]


def _log_outage(exc: StateError) -> None:
    event(logger, Event.STATE_UNAVAILABLE, logging.WARNING, code=exc.code, step="task")
