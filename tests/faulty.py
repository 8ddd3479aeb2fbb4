"""Inject scripted faults into calls to the platform's table service."""

import contextlib
import threading

from gypsumplank.errors import StateConflictError, StateUnavailableError, StateUnknownError


class ScriptedFaultTable:
    """Delegate to a table and inject faults.

    `commit_faults` lists the faults of the next commits; while `unavailable` is true, every call
    fails. While `commit_gate` is set, commits block until it opens.

    Faults: "out" rejects the commit, "lost" applies it and loses the response, "dropped" loses
    both the request and the response, "late" loses the response and applies the commit at
    `apply_delayed()`, "then-out" applies the commit and starts an outage.
    """

    def __init__(self, table):
        self.table = table
        self.commit_faults = []
        self.unavailable = False
        self.late = []
        self.commits = 0
        self.commit_gate = None
        self.blocked_commits = 0
        self.lock = threading.Lock()

    def get(self, table, key):
        self._raise_if_out()
        return self.table.get(table, key)

    def scan(self, table, prefix="", after="", limit=1000):
        self._raise_if_out()
        return self.table.scan(table, prefix, after, limit)

    def commit(self, txn):
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

    def apply_delayed(self):
        """Apply the delayed commits in order; skip those in conflict."""
        while self.late:
            try:
                self.table.commit(self.late.pop(0))
            except StateConflictError:
                continue

    def _raise_if_out(self):
        if self.unavailable:
            raise StateUnavailableError("out")
