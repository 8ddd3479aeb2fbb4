"""Commit configuration changes to the table service, several per transaction."""

import random
import threading
import time
from collections import deque
from collections.abc import Callable, Sequence

from gypsumplank.errors import (
    GypsumplankError,
    RevisionConflictError,
    StateConflictError,
    StateTooLargeError,
    StateUnknownError,
)
from gypsumplank.state.batch import Batch, PendingChange
from gypsumplank.state.change import (
    Change,
    ChangeEntry,
    ChangeFactory,
    Guard,
    Head,
    PlannedChange,
    apply_entries,
    make_txn,
)
from gypsumplank.state.clock import Clock
from gypsumplank.state.reader import ConfigReader
from gypsumplank.state.retry import backoff_s
from gypsumplank.state.table import MAX_TXN_ROWS, Table
from gypsumplank.state.view import View

MAX_COMMIT_ATTEMPTS = 24
MAX_BATCH_CHANGES = 32
MAX_BATCH_ROWS = MAX_TXN_ROWS // 2
# Rows per change besides its records: operation check, change, operation and undo rows.
FIXED_ROWS_PER_CHANGE = 4
MAX_KEPT_CHANGES = 10_000

Pause = Callable[[float], None]


class ConfigStore(ConfigReader):
    """Commit changes one after another, each with the next revision.

    Every change is validated against the newest view in the transaction that commits it: each
    guard gets the views before and after the change, and raises GypsumplankError to reject it.
    Changes that arrive while a transaction is in progress share the next one.
    """

    def __init__(
        self,
        table: Table,
        clock: Clock,
        guards: Sequence[Guard] = (),
        rng: random.Random | None = None,
        sleep: Pause = time.sleep,
        max_kept_changes: int = MAX_KEPT_CHANGES,
    ) -> None:
        super().__init__(table)
        self._clock = clock
        self._guards = tuple(guards)
        self._rng = rng or random.Random()
        self._sleep = sleep
        self._max_kept_changes = max_kept_changes
        self._newest_view = View()
        self._waiting: deque[PendingChange] = deque()
        self._commit_lock = threading.Lock()

    def accept(self, change: Change) -> int:
        """Commit a change and return its revision.

        Raises the guards' errors, RevisionConflictError, StateUnavailableError, and
        StateUnknownError if it could not be determined whether the change was committed.
        """
        return self.propose(change.operation, lambda _view: change)

    def propose(self, operation: str, make_change: ChangeFactory) -> int:
        """Commit the change made from the newest view, and make it anew after every conflict."""
        pending = PendingChange(operation, make_change)
        self._waiting.append(pending)
        with self._commit_lock:
            while not pending.future.done():
                self._commit_next_batch()
        return pending.future.result()

    def _commit_next_batch(self) -> None:
        count = min(MAX_BATCH_CHANGES, len(self._waiting))
        batch = Batch([self._waiting.popleft() for _ in range(count)])
        try:
            self._commit_batch(batch)
        except GypsumplankError as exc:
            batch.fail_all(exc)
        finally:
            batch.fail_all(RevisionConflictError("too many concurrent changes"))

    def _commit_batch(self, batch: Batch) -> None:
        failures = 0
        while batch.unresolved and failures < MAX_COMMIT_ATTEMPTS:
            try:
                self._attempt_commit(batch)
            except (StateConflictError, StateUnknownError, StateTooLargeError):
                failures += 1
                self._sleep(backoff_s(failures, self._rng))

    def _attempt_commit(self, batch: Batch) -> None:
        """Commit the unresolved changes in one transaction; read the head before anything else."""
        head, version = self.head()
        before = self._view_at(head)
        batch.begin_attempt(version, self.accepted_revision)
        plans = self._plan_changes(batch, before)
        if not plans:
            return
        txn = make_txn(head, version, plans.values(), self._expired_entries(head, len(plans)))
        try:
            self._table.commit(txn)
        except (StateUnknownError, StateConflictError, StateTooLargeError) as exc:
            batch.record_failure(tuple(plans), exc)
            raise
        batch.mark_accepted({pending: plan.entry.revision for pending, plan in plans.items()})
        self._newest_view = [*plans.values()][-1].after

    def _plan_changes(self, batch: Batch, view: View) -> dict[PendingChange, PlannedChange]:
        """Return the valid changes, each planned on the view after the previous one."""
        plans: dict[PendingChange, PlannedChange] = {}
        rows = 0
        for pending in batch.selected:
            try:
                plan = self._plan_change(pending, view)
            except GypsumplankError as exc:
                batch.reject(pending, exc, self.accepted_revision)
                continue
            rows += (
                FIXED_ROWS_PER_CHANGE
                + len(plan.entry.puts)
                + len(plan.entry.deletes)
                + len(plan.fences)
            )
            if plans and rows > MAX_BATCH_ROWS:
                break
            plans[pending] = plan
            view = plan.after
        return plans

    def _plan_change(self, pending: PendingChange, before: View) -> PlannedChange:
        change = pending.make_change(before)
        if change.if_revision not in (None, before.revision):
            detail = f"configuration is at revision {before.revision}, not {change.if_revision}"
            raise RevisionConflictError(detail)
        entry = ChangeEntry(
            before.revision + 1,
            change.operation,
            change.actor,
            self._clock.wall(),
            change.puts,
            change.deletes,
        )
        after = apply_entries(before, (entry,))
        for guard in self._guards:
            guard(before, after)
        return PlannedChange(entry, before, after, change.fences)

    def _view_at(self, head: Head) -> View:
        """Return the view at the head's revision; raise StateConflictError if the head moved."""
        self._newest_view = self.catch_up(head, self._newest_view)
        if self._newest_view.revision != head.revision:
            raise StateConflictError("the configuration changed while it was read")
        return self._newest_view

    def _expired_entries(self, head: Head, added: int) -> list[ChangeEntry]:
        """Return the oldest log entries to delete when `added` changes are appended."""
        excess = head.revision + added - head.floor + 1 - self._max_kept_changes
        return self.oldest_entries(head.floor, min(max(excess, 0), 2 * added))
