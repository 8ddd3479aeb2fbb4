"""Inject scripted faults into calls to the platform's table service."""

import contextlib
import threading
from collections.abc import Sequence
from typing import Any

from gypsumplank.errors import StateConflictError, StateUnavailableError, StateUnknownError
from gypsumplank.state.table import Row, Txn


class ScriptedFaultTable:
    """Delegate to a table and inject faults.

    `commit_faults` lists the faults of the next commits; while `unavailable` is true, every call
    fails. While `commit_gate` is set, commits block until it opens.

    Faults: "out" rejects the commit, "lost" applies it and loses the response, "dropped" loses
    both the request and the response, "late" loses the response and applies the commit at
    `apply_delayed()`, "then-out" applies the commit and starts an outage.
    """

    def __init__(self, table: Any) -> None:
        self.table = table
        self.commit_faults: list[str] = []
        self.unavailable = False
        self.late: list[Txn] = []
        self.commits = 0
        self.commit_gate: threading.Event | None = None
        self.blocked_commits = 0
        self.lock = threading.Lock()

    def get(self, table: str, key: str) -> Row | None:
        """Return a row, unless the store is unavailable."""
        self._raise_if_out()
        return self.table.get(table, key)

    def scan(
        self, table: str, prefix: str = "", after: str = "", limit: int = 1000
    ) -> Sequence[Row]:
        """Return rows, unless the store is unavailable."""
        self._raise_if_out()
        return self.table.scan(table, prefix, after, limit)

    def commit(self, txn: Txn) -> int:
        """Commit a transaction, with the next fault of `commit_faults`, if any."""
        self._raise_if_out()
        self.blocked_commits += 1
        if self.commit_gate is not None:
            self.commit_gate.wait(20.0)
        with self.lock:
            self.commits += 1
            fault = self.commit_faults.pop(0) if self.commit_faults else ""
        match fault:
            case "out":
                raise StateUnavailableError("out")
            case "lost":
                with contextlib.suppress(StateConflictError):
                    self.table.commit(txn)
                raise StateUnknownError("lost")
            case "dropped":
                raise StateUnknownError("dropped")
            case "then-out":
                self.unavailable = True
            case "late":
                self.late.append(txn)
                raise StateUnknownError("late")
        return self.table.commit(txn)

    def apply_delayed(self) -> None:
        """Apply the delayed commits in order; skip those in conflict."""
        while self.late:
            try:
                self.table.commit(self.late.pop(0))
            except StateConflictError:
                continue

    def _raise_if_out(self) -> None:
        if self.unavailable:
            raise StateUnavailableError("out")
