"""Assemble the components that accept, place and monitor long-running tasks."""

from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from gypsumplank.coordination.submission import TaskService
from gypsumplank.coordination.task import Fence, TaskController
from gypsumplank.state.clock import Clock
from gypsumplank.state.group import GroupCommit
from gypsumplank.state.table import Table
from gypsumplank.state.task import TaskStore
from gypsumplank.state.view import View
from gypsumplank.transport.agent import HttpAgents

AGENT_TIMEOUT_S = 1.0
AGENT_THREADS = 8


class TaskComponents:
    """Create, start and stop the components that handle tasks."""

    def __init__(self, table: Table, view: Callable[[], View], fence: Fence, clock: Clock) -> None:
        self._group_commit = GroupCommit(table)
        self._agents = HttpAgents(AGENT_TIMEOUT_S)
        self._executor = ThreadPoolExecutor(AGENT_THREADS, "agents")
        store = TaskStore(table, self._group_commit)
        self.controller = TaskController(view, store, self._agents, fence, clock, self._executor)
        self.submission = TaskService(view, store, clock)

    def start(self) -> None:
        """Start the thread that commits submissions."""
        self._group_commit.start()

    def close(self) -> None:
        """Commit queued submissions and release all threads and connections."""
        self._group_commit.close()
        self._executor.shutdown()
        self._agents.close()
