"""Store tasks and their queues in the table service."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace
from typing import Protocol

import msgspec

from gypsumplank.errors import (
    EntryInvalidError,
    StateConflictError,
    StateUnknownError,
    TaskMissingError,
)
from gypsumplank.protocol.decoder import decode_json
from gypsumplank.protocol.task import FINAL_STATES, Task, TaskState
from gypsumplank.state.row import RowDecoder
from gypsumplank.state.table import ABSENT, Check, Row, Table, Txn, Write, scan_all

TABLE_TASKS = "tasks"
TABLE_OPEN_TASKS = "open_tasks"
TABLE_TEAM_TASKS = "team_tasks"
TABLE_TASK_KEYS = "task_keys"
TABLE_TASK_MARKS = "task_marks"
MAX_CANCEL_ATTEMPTS = 4
EMPTY_VALUE = b""


class Committer(Protocol):
    """Apply transactions; raise the errors of the table interface."""

    def commit(self, txn: Txn) -> int:
        """Apply a transaction and return the version that its rows now have."""


@dataclass(frozen=True)
class TaskRow:
    """Represent a task and the version of its row."""

    task: Task
    version: int


def open_task_key(task: Task) -> str:
    """Return the key of an unfinished task, by which its pool's controller finds it."""
    return f"{task.pool}/{task.id}"


class TaskStore:
    """Read and write tasks; changes to several rows are one transaction."""

    def __init__(self, table: Table, committer: Committer) -> None:
        self._table = table
        self._committer = committer
        self._decoder = RowDecoder(_decode_row)

    def submit(self, task: Task, key: str = "") -> Task:
        """Queue a new task and return it; return the existing task for a reused team and key."""
        checks = [Check(TABLE_TASKS, task.id, ABSENT)]
        writes = [
            *_task_writes(task),
            Write(TABLE_TEAM_TASKS, f"{task.order.team}/{task.id}", EMPTY_VALUE),
            Write(TABLE_TASK_MARKS, task.pool, EMPTY_VALUE),
        ]
        if key:
            key_row = f"{task.order.team}/{key}"
            checks.append(Check(TABLE_TASK_KEYS, key_row, ABSENT))
            writes.append(Write(TABLE_TASK_KEYS, key_row, task.id.encode()))
        try:
            self._committer.commit(Txn(tuple(checks), tuple(writes)))
        except (StateConflictError, StateUnknownError):
            found = self._find_submitted(task, key)
            if found is None:
                raise
            return found
        return task

    def _find_submitted(self, task: Task, key: str) -> Task | None:
        task_id = task.id
        if key:
            row = self._table.get(TABLE_TASK_KEYS, f"{task.order.team}/{key}")
            if row is None:
                return None
            task_id = row.value.decode()
        found = self._find(task_id)
        return None if found is None else found.task

    def get(self, task_id: str) -> TaskRow:
        """Return a task; raise TaskMissingError or EntryInvalidError."""
        found = self._find(task_id)
        if found is None:
            raise TaskMissingError(f"no task {task_id!r}")
        return found

    def list_by_team(self, team: str, after: str, limit: int) -> list[Task]:
        """Return a page of a team's tasks after the id `after`, in id order.

        Leaves out malformed tasks.
        """
        prefix = f"{team}/"
        rows = self._table.scan(TABLE_TEAM_TASKS, prefix, f"{prefix}{after}", limit)
        tasks = (self._table.get(TABLE_TASKS, row.key.removeprefix(prefix)) for row in rows)
        found = self._decoder.decode_all(row for row in tasks if row is not None)
        return [row.task for row in found]

    def list_open(self, pool: str, after: str = "") -> list[TaskRow]:
        """Return the pool's queued and running tasks after the id `after`, in id order.

        A malformed row is left out, as its task may be running.
        """
        prefix = f"{pool}/"
        rows = scan_all(self._table, TABLE_OPEN_TASKS, prefix, f"{prefix}{after}")
        return self._decoder.decode_all(rows)

    def submission_versions(self) -> dict[str, int]:
        """Return a number for each pool that increases with every submission to it."""
        return {row.key: row.version for row in scan_all(self._table, TABLE_TASK_MARKS)}

    def cancel(self, task_id: str) -> Task:
        """Cancel a task in one transaction unless it has ended; return the task."""
        for _ in range(MAX_CANCEL_ATTEMPTS):
            current = self.get(task_id)
            if current.task.state in FINAL_STATES:
                return current.task
            cancelled = replace(current.task, state=TaskState.CANCELLED)
            try:
                self._committer.commit(_update_txn((TaskRow(cancelled, current.version),)))
            except (StateConflictError, StateUnknownError):
                continue
            return cancelled
        raise StateConflictError(f"task {task_id!r} could not be cancelled; all attempts failed")

    def save(self, changed: Sequence[TaskRow], fence: Check | None) -> int:
        """Write tasks if their rows and the fence are unchanged; return the new version."""
        txn = _update_txn(changed)
        fences = () if fence is None else (fence,)
        return self._table.commit(Txn((*fences, *txn.checks), txn.writes))

    def _find(self, task_id: str) -> TaskRow | None:
        row = self._table.get(TABLE_TASKS, task_id)
        return None if row is None else _decode_row(row)


def _decode_row(row: Row) -> TaskRow:
    task = decode_json(row.value, Task)
    if row.key != (open_task_key(task) if row.table == TABLE_OPEN_TASKS else task.id):
        raise EntryInvalidError(f"the task is {task.id!r} of {task.pool!r}")
    return TaskRow(task, row.version)


def _task_writes(task: Task) -> tuple[Write, Write]:
    raw = msgspec.json.encode(task)
    open_value = None if task.state in FINAL_STATES else raw
    return Write(TABLE_TASKS, task.id, raw), Write(
        TABLE_OPEN_TASKS, open_task_key(task), open_value
    )


def _update_txn(changed: Iterable[TaskRow]) -> Txn:
    rows = tuple(changed)
    checks = tuple(Check(TABLE_TASKS, row.task.id, row.version) for row in rows)
    return Txn(checks, tuple(write for row in rows for write in _task_writes(row.task)))
