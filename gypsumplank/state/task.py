"""Keep tasks and their queues in the table service."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace
from typing import Protocol

import msgspec

from gypsumplank.errors import StateConflictError, StateUnknownError, TaskMissingError
from gypsumplank.protocol.task import FINAL_STATES, Task, TaskState
from gypsumplank.state.table import ABSENT, Check, Row, Table, Txn, Write, scan_all

TABLE_TASKS = "tasks"
TABLE_OPEN_TASKS = "open_tasks"
TABLE_TEAM_TASKS = "team_tasks"
TABLE_TASK_KEYS = "task_keys"
TABLE_TASK_MARKS = "task_marks"
CANCEL_TRIES = 4
EMPTY = b""


class Committer(Protocol):
    """Apply transactions; raises what the table port raises."""

    def commit(self, txn: Txn) -> int:
        """Apply a transaction and return the version that its rows now have."""


@dataclass(frozen=True)
class HeldTask:
    """Hold a task and the version of its row."""

    task: Task
    version: int


def open_key(task: Task) -> str:
    """Return the key under which a pool's controller finds an open task."""
    return f"{task.pool}/{task.id}"


class TaskStore:
    """Read and write tasks; a change of several rows is one transaction."""

    def __init__(self, table: Table, committer: Committer) -> None:
        self._table = table
        self._committer = committer

    def submit(self, task: Task, key: str = "") -> Task:
        """Queue a new task, once for each idempotency key of a team, and return it."""
        checks = [Check(TABLE_TASKS, task.id, ABSENT)]
        writes = [
            *_task_writes(task),
            Write(TABLE_TEAM_TASKS, f"{task.order.team}/{task.id}", EMPTY),
            Write(TABLE_TASK_MARKS, task.pool, EMPTY),
        ]
        if key:
            place = f"{task.order.team}/{key}"
            checks.append(Check(TABLE_TASK_KEYS, place, ABSENT))
            writes.append(Write(TABLE_TASK_KEYS, place, task.id.encode()))
        try:
            self._committer.commit(Txn(tuple(checks), tuple(writes)))
        except (StateConflictError, StateUnknownError):
            found = self._submitted(task, key)
            if found is None:
                raise
            return found
        return task

    def _submitted(self, task: Task, key: str) -> Task | None:
        task_id = task.id
        if key:
            row = self._table.get(TABLE_TASK_KEYS, f"{task.order.team}/{key}")
            if row is None:
                return None
            task_id = row.value.decode()
        held = self._find(task_id)
        return None if held is None else held.task

    def get(self, task_id: str) -> HeldTask:
        """Return a task; raise TaskMissingError."""
        found = self._find(task_id)
        if found is None:
            raise TaskMissingError(f"no task {task_id!r}")
        return found

    def team(self, team: str, after: str, limit: int) -> list[Task]:
        """Return a team's tasks in order of their ids, those after one id."""
        prefix = f"{team}/"
        rows = self._table.scan(TABLE_TEAM_TASKS, prefix, f"{prefix}{after}", limit)
        found = (self._find(row.key.removeprefix(prefix)) for row in rows)
        return [held.task for held in found if held is not None]

    def open(self, pool: str, after: str = "") -> list[HeldTask]:
        """Return the pool's tasks that are queued or running, those after one id."""
        prefix = f"{pool}/"
        rows = scan_all(self._table, TABLE_OPEN_TASKS, prefix, f"{prefix}{after}")
        return [_held(row) for row in rows]

    def marks(self) -> dict[str, int]:
        """Return a number for each pool that rises with every submission to it."""
        return {row.key: row.version for row in scan_all(self._table, TABLE_TASK_MARKS)}

    def cancel(self, task_id: str) -> Task:
        """Cancel a task in one write unless it has ended; return what it is now."""
        for _ in range(CANCEL_TRIES):
            held = self.get(task_id)
            if held.task.state in FINAL_STATES:
                return held.task
            cancelled = replace(held.task, state=TaskState.CANCELLED)
            try:
                self._committer.commit(_change((HeldTask(cancelled, held.version),)))
            except (StateConflictError, StateUnknownError):
                continue
            return cancelled
        raise StateConflictError(f"task {task_id!r} changes too often")

    def save(self, changed: Sequence[HeldTask], fence: Check | None) -> int:
        """Write tasks over the versions held, all or none, and return the new version."""
        txn = _change(changed)
        fences = () if fence is None else (fence,)
        return self._table.commit(Txn((*fences, *txn.checks), txn.writes))

    def _find(self, task_id: str) -> HeldTask | None:
        row = self._table.get(TABLE_TASKS, task_id)
        return None if row is None else _held(row)


def _held(row: Row) -> HeldTask:
    return HeldTask(msgspec.json.decode(row.value, type=Task), row.version)


def _task_writes(task: Task) -> tuple[Write, Write]:
    raw = msgspec.json.encode(task)
    still_open = None if task.state in FINAL_STATES else raw
    return Write(TABLE_TASKS, task.id, raw), Write(TABLE_OPEN_TASKS, open_key(task), still_open)


def _change(changed: Iterable[HeldTask]) -> Txn:
    held = tuple(changed)
    checks = tuple(Check(TABLE_TASKS, one.task.id, one.version) for one in held)
    return Txn(checks, tuple(write for one in held for write in _task_writes(one.task)))
