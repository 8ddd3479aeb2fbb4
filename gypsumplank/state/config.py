"""Accept changes of configuration into the table service, many to a transaction."""

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
from gypsumplank.state.batch import Batch, Pending
from gypsumplank.state.change import (
    Change,
    ChangeEntry,
    Guard,
    Head,
    Propose,
    Step,
    apply_entries,
    make_txn,
)
from gypsumplank.state.clock import Clock
from gypsumplank.state.reader import ConfigReader
from gypsumplank.state.retry import backoff_s
from gypsumplank.state.table import MAX_TXN_ROWS, Table
from gypsumplank.state.view import View

COMMIT_TRIES = 24
MAX_BATCH = 32
MAX_BATCH_ROWS = MAX_TXN_ROWS // 2
ROWS_A_STEP = 4
KEPT_CHANGES = 10_000

Pause = Callable[[float], None]


class ConfigStore(ConfigReader):
    """Accept changes one after another, each with the next revision.

    Every change is decided on the newest view in the transaction that commits it: each guard
    sees the view before and after, and raises GypsumplankError where the change must not be.
    Changes that arrive while a transaction is under way share the next one.
    """

    def __init__(
        self,
        table: Table,
        clock: Clock,
        guards: Sequence[Guard] = (),
        rng: random.Random | None = None,
        pause: Pause = time.sleep,
        kept: int = KEPT_CHANGES,
    ) -> None:
        super().__init__(table)
        self._clock = clock
        self._guards = tuple(guards)
        self._rng = rng or random.Random()
        self._pause = pause
        self._kept = kept
        self._newest = View()
        self._waiting: deque[Pending] = deque()
        self._committing = threading.Lock()

    def accept(self, change: Change) -> int:
        """Commit a change and return its revision.

        Raises what the guards raise, RevisionConflictError, StateUnavailableError, and
        StateUnknownError where it could not be settled whether the change was accepted.
        """
        return self.propose(change.operation, lambda _view: change)

    def propose(self, operation: str, propose: Propose) -> int:
        """Commit what `propose` makes of the newest view, made anew after every conflict."""
        pending = Pending(operation, propose)
        self._waiting.append(pending)
        with self._committing:
            while not pending.future.done():
                self._commit_next()
        return pending.future.result()

    def _commit_next(self) -> None:
        count = min(MAX_BATCH, len(self._waiting))
        batch = Batch([self._waiting.popleft() for _ in range(count)])
        try:
            self._settle(batch)
        except GypsumplankError as exc:
            batch.fail(exc)
        finally:
            batch.fail(RevisionConflictError("too many other changes at the same time"))

    def _settle(self, batch: Batch) -> None:
        failures = 0
        while batch.open and failures < COMMIT_TRIES:
            try:
                self._try(batch)
            except (StateConflictError, StateUnknownError, StateTooLargeError):
                failures += 1
                self._pause(backoff_s(failures, self._rng))

    def _try(self, batch: Batch) -> None:
        """Commit what is open in one transaction; the head is read before anything else."""
        head, version = self.head()
        before = self._view_at(head)
        batch.begin(version, self.accepted)
        steps = self._plan(batch, before)
        if not steps:
            return
        txn = make_txn(head, version, steps.values(), self._expired(head, len(steps)))
        try:
            self._table.commit(txn)
        except (StateUnknownError, StateConflictError, StateTooLargeError) as exc:
            batch.failed(tuple(steps), exc)
            raise
        batch.accepted({pending: step.entry.revision for pending, step in steps.items()})
        self._newest = [*steps.values()][-1].after

    def _plan(self, batch: Batch, view: View) -> dict[Pending, Step]:
        """Return the steps that may be committed, each on the view after the last."""
        steps: dict[Pending, Step] = {}
        rows = 0
        for pending in batch.picked:
            try:
                step = self._step(pending, view)
            except GypsumplankError as exc:
                batch.refuse(pending, exc, self.accepted)
                continue
            rows += ROWS_A_STEP + len(step.entry.puts) + len(step.entry.deletes) + len(step.fences)
            if steps and rows > MAX_BATCH_ROWS:
                break
            steps[pending] = step
            view = step.after
        return steps

    def _step(self, pending: Pending, before: View) -> Step:
        change = pending.propose(before)
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
        return Step(entry, before, after, change.fences)

    def _view_at(self, head: Head) -> View:
        """Return the view at the head's revision; raise StateConflictError if it has moved."""
        self._newest = self.catch_up(head, self._newest)
        if self._newest.revision != head.revision:
            raise StateConflictError("the head has moved")
        return self._newest

    def _expired(self, head: Head, added: int) -> list[ChangeEntry]:
        """Return the oldest changes that are no longer kept once so many are added."""
        excess = head.revision + added - head.floor + 1 - self._kept
        return self.oldest(head.floor, min(max(excess, 0), 2 * added))
