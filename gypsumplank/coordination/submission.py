"""Accept tasks from callers; list, cancel and wait for them."""

import secrets
import threading
import time
from collections.abc import Callable

from gypsumplank.coordination.placement import host_capacity, impossible_reason, team_quota
from gypsumplank.errors import RequestInvalidError, TaskImpossibleError
from gypsumplank.protocol.task import FINAL_STATES, Task, TaskDefinition
from gypsumplank.state.clock import Clock
from gypsumplank.state.task import TaskStore
from gypsumplank.state.view import View

TASK_ID_RANDOM_BYTES = 6
WAIT_POLL_INTERVAL_S = 0.25
MAX_WAITERS = 16
MAX_URGENCY = 7
TASK_PAGE_SIZE = 100


class TaskService:
    """Serve callers' task requests; every method may raise StateError."""

    def __init__(self, view: Callable[[], View], store: TaskStore, clock: Clock) -> None:
        self._view = view
        self._store = store
        self._clock = clock
        self._waiters = threading.BoundedSemaphore(MAX_WAITERS)

    def submit(self, order: TaskDefinition, key: str = "") -> Task:
        """Validate and queue a task; raise RequestInvalidError or TaskImpossibleError."""
        view = self._view()
        service = view.services.get(order.service)
        if service is None:
            raise RequestInvalidError(f"no service {order.service!r}")
        _check_order(order)
        capacities = [host_capacity(name, view.hosts[name]) for name in view.hosts_of(service.pool)]
        team = view.teams.get(order.team)
        reason = impossible_reason(order.size, capacities, team_quota(team) if team else None)
        if reason:
            raise TaskImpossibleError(reason)
        now = self._clock.wall()
        task_id = f"{int(now * 1000):013d}-{secrets.token_hex(TASK_ID_RANDOM_BYTES)}"
        return self._store.submit(Task(task_id, service.pool, order, now), key)

    def get(self, task_id: str, wait_s: float = 0.0) -> Task:
        """Return a task after waiting up to `wait_s` for its end; raise TaskMissingError.

        Returns its current state at once if MAX_WAITERS calls are waiting already.
        """
        if wait_s <= 0 or not self._waiters.acquire(blocking=False):
            return self._store.get(task_id).task
        try:
            return self._wait(task_id, self._clock.monotonic() + wait_s)
        finally:
            self._waiters.release()

    def list_team(self, team: str, after: str = "") -> list[Task]:
        """Return a page of a team's tasks, those that follow the id `after`."""
        return self._store.list_by_team(team, after, TASK_PAGE_SIZE)

    def cancel(self, task_id: str) -> Task:
        """Cancel a task unless it has ended; raise TaskMissingError."""
        return self._store.cancel(task_id)

    def _wait(self, task_id: str, deadline: float) -> Task:
        while True:
            task = self._store.get(task_id).task
            if task.state in FINAL_STATES or self._clock.monotonic() >= deadline:
                return task
            time.sleep(WAIT_POLL_INTERVAL_S)


def _check_order(order: TaskDefinition) -> None:
    size = order.size
    if min(size.cores, size.memory_gb, size.accelerators, order.run_s) < 0:
        raise RequestInvalidError("size and run_s must not be negative")
    if not 0 <= order.urgency <= MAX_URGENCY:
        raise RequestInvalidError(f"urgency must be 0 to {MAX_URGENCY}")
    if "/" in order.team:
        raise RequestInvalidError("team must not contain a slash")
