"""Track the changes of one transaction until each is committed or rejected."""

from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from concurrent.futures import Future
from dataclasses import dataclass, field

from gypsumplank.errors import (
    GypsumplankError,
    StateConflictError,
    StateTooLargeError,
    StateUnknownError,
)
from gypsumplank.state.change import ChangeFactory

MAX_FENCE_CONFLICTS = 2

RevisionLookup = Callable[[str], int | None]


@dataclass(frozen=True, eq=False)
class PendingChange:
    """Represent a change that waits to be committed; `future` resolves to its revision."""

    operation: str
    make_change: ChangeFactory
    future: "Future[int]" = field(default_factory=Future)


@dataclass(frozen=True)
class InDoubtCommit:
    """Represent a commit whose response was lost and the head's version that it checked."""

    version: int
    error: StateUnknownError


class Batch:
    """Resolve each pending change exactly once: with a revision or an error, never both.

    A commit whose response was lost may be applied late, but only while the head keeps the
    version that it checked. Until the head has moved, such a change fails only with
    StateUnknownError.
    """

    def __init__(self, changes: Sequence[PendingChange]) -> None:
        self._changes = tuple(changes)
        self._one_at_a_time = False
        self._version: int | None = None
        self._conflicted: tuple[PendingChange, ...] = ()
        self._conflict_counts: Counter[PendingChange] = Counter()
        self._in_doubt: dict[PendingChange, InDoubtCommit] = {}

    @property
    def unresolved(self) -> tuple[PendingChange, ...]:
        """Return the changes that are neither committed nor rejected yet."""
        return tuple(pending for pending in self._changes if not pending.future.done())

    @property
    def selected(self) -> tuple[PendingChange, ...]:
        """Return the changes to commit in the next transaction."""
        return self.unresolved[:1] if self._one_at_a_time else self.unresolved

    def begin_attempt(self, version: int, find_revision: RevisionLookup) -> None:
        """Resolve changes left by earlier attempts, given the version of the head just read."""
        head_unchanged = version == self._version
        self._version = version
        for pending in dict.fromkeys((*self._in_doubt, *self._conflicted)):
            self._resolve_if_committed(pending, find_revision)
        if head_unchanged:
            self._isolate_failing_fence(self._conflicted)
        self._conflicted = ()

    def mark_accepted(self, revisions: Mapping[PendingChange, int]) -> None:
        """Resolve changes with the revisions at which they were accepted."""
        for pending, revision in revisions.items():
            pending.future.set_result(revision)

    def record_failure(self, attempted: Sequence[PendingChange], exc: GypsumplankError) -> None:
        """Record that a transaction was not committed, or that its outcome is unknown."""
        match exc:
            case StateUnknownError():
                in_doubt = InDoubtCommit(self._version or 0, exc)
                self._in_doubt.update(dict.fromkeys(attempted, in_doubt))
            case StateConflictError():
                self._conflicted = tuple(attempted)
            case StateTooLargeError() if len(attempted) > 1:
                self._one_at_a_time = True
            case _:
                for pending in attempted:
                    self._reject_change(pending, exc)

    def reject(
        self, pending: PendingChange, exc: GypsumplankError, find_revision: RevisionLookup
    ) -> None:
        """Resolve a change with an error unless an earlier attempt committed it."""
        if not self._resolve_if_committed(pending, find_revision):
            self._reject_change(pending, exc)

    def fail_all(self, exc: GypsumplankError) -> None:
        """Resolve all unresolved changes with an error."""
        for pending in self.unresolved:
            self._reject_change(pending, exc)

    def _resolve_if_committed(self, pending: PendingChange, find_revision: RevisionLookup) -> bool:
        if pending.future.done():
            return True
        revision = find_revision(pending.operation)
        if revision is not None:
            pending.future.set_result(revision)
            return True
        in_doubt = self._in_doubt.get(pending)
        if in_doubt is not None and in_doubt.version != self._version:
            del self._in_doubt[pending]
        return False

    def _reject_change(self, pending: PendingChange, exc: GypsumplankError) -> None:
        in_doubt = self._in_doubt.get(pending)
        pending.future.set_exception(exc if in_doubt is None else in_doubt.error)

    def _isolate_failing_fence(self, conflicted: Sequence[PendingChange]) -> None:
        """Find the change whose fence check failed; the check of the unchanged head passed."""
        if len(conflicted) > 1:
            self._one_at_a_time = True
            return
        self._conflict_counts.update(conflicted)
        for pending in conflicted:
            if self._conflict_counts[pending] >= MAX_FENCE_CONFLICTS and not pending.future.done():
                self._reject_change(
                    pending, StateConflictError("a fence check of the change failed")
                )
                self._one_at_a_time = False
