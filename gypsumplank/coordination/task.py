"""Schedule the tasks of the pools whose leases this daemon holds."""

import logging
from collections.abc import Callable, Iterable, Mapping
from concurrent.futures import Executor
from dataclasses import replace
from functools import partial

from gypsumplank.coordination.agent import Agents
from gypsumplank.coordination.placement import (
    HostCapacity,
    PlacementPlan,
    Placer,
    host_capacity,
    impossible_reason,
    team_quota,
)
from gypsumplank.coordination.taskpool import TaskPool
from gypsumplank.errors import StateError
from gypsumplank.log import Event, event
from gypsumplank.protocol.task import Task, TaskResources, TaskState
from gypsumplank.state.clock import Clock
from gypsumplank.state.table import Check
from gypsumplank.state.task import TaskStore
from gypsumplank.state.view import View

# Interval of checks for new submissions while no pool has an open task.
IDLE_POLL_INTERVAL_S = 0.75

logger = logging.getLogger(__name__)

Fence = Callable[[str], Check | None]


class TaskController:
    """Place and monitor the tasks of every pool whose lease this daemon holds."""

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
        self._next_poll_at = 0.0

    def tick(self) -> None:
        """Run one scheduling round in every pool whose lease is held."""
        view = self._view()
        fences = {pool: fence for pool in view.pools if (fence := self._fence(pool)) is not None}
        self.pools = {pool: task_pool for pool, task_pool in self.pools.items() if pool in fences}
        if not fences or self._can_skip_round(fences):
            return
        try:
            submission_versions = self._store.submission_versions()
        except StateError as exc:
            _log_outage(exc)
            return
        for pool, fence in fences.items():
            if pool not in self.pools:
                self.pools[pool] = TaskPool(pool, self._store, self._agents, self._clock)
            try:
                self.pools[pool].read(submission_versions.get(pool, 0))
                if not self.pools[pool].idle:
                    self._run_round(view, pool, self.pools[pool], fence)
            except StateError as exc:
                _log_outage(exc)

    def _can_skip_round(self, pools: Iterable[str]) -> bool:
        """Return whether all pools are idle and were checked within IDLE_POLL_INTERVAL_S."""
        now = self._clock.monotonic()
        idle = all(pool in self.pools and self.pools[pool].idle for pool in pools)
        if idle and now < self._next_poll_at:
            return True
        self._next_poll_at = now + IDLE_POLL_INTERVAL_S
        return False

    def drain_wait_reason(self, pool: str, host: str) -> str:
        """Return why a host's tasks delay its drain, or an empty string."""
        task_pool = self.pools.get(pool)
        if task_pool is None or not task_pool.loaded:
            return "the pool's tasks are not read yet"
        count = len(task_pool.running_on(host))
        return f"{count} tasks" if count else ""

    def _run_round(self, view: View, pool: str, task_pool: TaskPool, fence: Check) -> None:
        if not task_pool.save(task_pool.renew_leases(view, self._executor), fence):
            return
        quotas = {name: team_quota(spec) for name, spec in view.teams.items()}
        if not task_pool.save(self._impossible_tasks(view, pool, task_pool, quotas), fence):
            return
        plan = self._plan(view, pool, task_pool, quotas)
        started = [
            replace(cand.task, state=TaskState.RUNNING, host=host, token=cand.task.token + 1)
            for cand, host in plan.starts
        ]
        if task_pool.save(started, fence):
            list(self._executor.map(partial(task_pool.start, view), started))
        overdue = task_pool.overdue_evictions() if task_pool.has_urgent_queued() else []
        for_drains = task_pool.drain_evictions(view)
        for eviction in (*plan.evictions, *overdue, *for_drains):
            task_pool.evict(view, eviction)

    def _plan(
        self, view: View, pool: str, task_pool: TaskPool, quotas: Mapping[str, TaskResources]
    ) -> PlacementPlan:
        capacities = self._available_hosts(view, pool, task_pool)
        placer = Placer(capacities, task_pool.running_attempts(view.hosts_of(pool)), quotas)
        return placer.plan(task_pool.candidates())

    def _available_hosts(self, view: View, pool: str, task_pool: TaskPool) -> list[HostCapacity]:
        serving = view.serving_hosts(pool)
        floor = view.pools[pool].budget.floor(len(view.hosts_of(pool)))
        max_out = max(0, len(serving) - floor)
        selection = task_pool.quarantine.select(serving, self._clock.monotonic(), max_out)
        idle_probes = [host for host in selection.probing if not task_pool.running_on(host)]
        unresponsive = task_pool.unresponsive_hosts()
        return [
            host_capacity(name, view.hosts[name])
            for name in (*selection.usable, *idle_probes)
            if name not in unresponsive
        ]

    def _impossible_tasks(
        self, view: View, pool: str, task_pool: TaskPool, quotas: Mapping[str, TaskResources]
    ) -> list[Task]:
        capacities = [host_capacity(name, view.hosts[name]) for name in view.hosts_of(pool)]
        if not capacities:
            return []
        reasons = (
            (cand.task, impossible_reason(cand.size, capacities, quotas.get(cand.task.order.team)))
            for cand in task_pool.candidates()
        )
        return [
            replace(task, state=TaskState.IMPOSSIBLE, reason=reason)
            for task, reason in reasons
            if reason
        ]


def _log_outage(exc: StateError) -> None:
    event(logger, Event.STATE_UNAVAILABLE, logging.WARNING, code=exc.code, step="task")
