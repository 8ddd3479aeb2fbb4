"""Wire what takes in, places and follows tasks that run long."""

from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from gypsumplank.coordination.submission import Submission
from gypsumplank.coordination.task import Fence, TaskController
from gypsumplank.state.clock import Clock
from gypsumplank.state.group import GroupCommit
from gypsumplank.state.table import Table
from gypsumplank.state.task import TaskStore
from gypsumplank.state.view import View
from gypsumplank.transport.agent import HttpAgents

AGENT_TIMEOUT_S = 1.0
AGENT_THREADS = 8


class TaskParts:
    """Hold the parts that concern tasks."""

    def __init__(self, table: Table, view: Callable[[], View], fence: Fence, clock: Clock) -> None:
        self._group = GroupCommit(table)
        self._agents = HttpAgents(AGENT_TIMEOUT_S)
        self._executor = ThreadPoolExecutor(AGENT_THREADS, "agents")
        store = TaskStore(table, self._group)
        self.controller = TaskController(view, store, self._agents, fence, clock, self._executor)
        self.submission = Submission(view, store, clock)

    def start(self) -> None:
        """Begin to commit submissions."""
        self._group.start()

    def close(self) -> None:
        """Commit what waits and release all connections."""
        self._group.close()
        self._executor.shutdown()
        self._agents.close()
