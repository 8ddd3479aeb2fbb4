"""Wrap the ports of the platform with faults that a test scripts."""

import contextlib
import threading

from gypsumplank.errors import StateConflictError, StateUnavailableError, StateUnknownError


class FaultyTable:
    """Pass calls on; `script` holds what befalls the next commits, `out` fails every call.

    Faults: "out" refuses, "lost" applies and loses the answer, "dropped" loses the request and
    the answer, "late" loses the answer and applies at `land()`, "then-out" begins an outage.
    """

    def __init__(self, table):
        self.table = table
        self.script = []
        self.out = False
        self.late = []
        self.commits = 0
        self.gate = None
        self.waiting = 0
        self.lock = threading.Lock()

    def get(self, table, key):
        self._check_out()
        return self.table.get(table, key)

    def scan(self, table, prefix="", after="", limit=1000):
        self._check_out()
        return self.table.scan(table, prefix, after, limit)

    def commit(self, txn):
        self._check_out()
        self.waiting += 1
        if self.gate is not None:
            self.gate.wait(20.0)
        with self.lock:
            self.commits += 1
            fault = self.script.pop(0) if self.script else ""
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
                self.out = True
            case "late":
                self.late.append(txn)
                raise StateUnknownError("late")
        return self.table.commit(txn)

    def land(self):
        """Apply what is late."""
        while self.late:
            try:
                self.table.commit(self.late.pop(0))
            except StateConflictError:
                continue

    def _check_out(self):
        if self.out:
            raise StateUnavailableError("out")
