"""Hold the changes that share one transaction and settle each of them."""

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
from gypsumplank.state.change import Propose

FENCE_TRIES = 2

LookUp = Callable[[str], int | None]


@dataclass(frozen=True, eq=False)
class Pending:
    """Hold a proposal that waits for its revision."""

    operation: str
    propose: Propose
    future: "Future[int]" = field(default_factory=Future)


@dataclass(frozen=True)
class Doubt:
    """Hold a commit whose answer was lost and the head's version that it was checked against."""

    version: int
    error: StateUnknownError


class Batch:
    """Settle each pending change exactly once: a revision or an error, never both.

    A commit whose answer was lost may land late, but only while the head keeps the version that
    it was checked against. Until the head has moved on, no change in doubt is refused.
    """

    def __init__(self, pendings: Sequence[Pending]) -> None:
        self._pendings = tuple(pendings)
        self._alone = False
        self._version: int | None = None
        self._conflicted: tuple[Pending, ...] = ()
        self._strikes: Counter[Pending] = Counter()
        self._doubts: dict[Pending, Doubt] = {}

    @property
    def open(self) -> tuple[Pending, ...]:
        """Return what is not settled yet."""
        return tuple(pending for pending in self._pendings if not pending.future.done())

    @property
    def picked(self) -> tuple[Pending, ...]:
        """Return what to commit together next."""
        return self.open[:1] if self._alone else self.open

    def begin(self, version: int, look_up: LookUp) -> None:
        """Settle what earlier tries left, on a head of this version that was just read."""
        unmoved = version == self._version
        self._version = version
        for pending in dict.fromkeys((*self._doubts, *self._conflicted)):
            self._settle(pending, look_up)
        if unmoved:
            self._blame(self._conflicted)
        self._conflicted = ()

    def accepted(self, revisions: Mapping[Pending, int]) -> None:
        """Settle changes with the revisions that they were accepted with."""
        for pending, revision in revisions.items():
            pending.future.set_result(revision)

    def failed(self, tried: Sequence[Pending], exc: GypsumplankError) -> None:
        """Take note that a transaction was not, or not known to be, committed."""
        match exc:
            case StateUnknownError():
                doubt = Doubt(self._version or 0, exc)
                self._doubts.update(dict.fromkeys(tried, doubt))
            case StateConflictError():
                self._conflicted = tuple(tried)
            case StateTooLargeError() if len(tried) > 1:
                self._alone = True
            case _:
                for pending in tried:
                    self._fail(pending, exc)

    def refuse(self, pending: Pending, exc: GypsumplankError, look_up: LookUp) -> None:
        """Settle a change with an error unless it was accepted before."""
        if not self._settle(pending, look_up):
            self._fail(pending, exc)

    def fail(self, exc: GypsumplankError) -> None:
        """Settle all that is open with an error."""
        for pending in self.open:
            self._fail(pending, exc)

    def _settle(self, pending: Pending, look_up: LookUp) -> bool:
        if pending.future.done():
            return True
        revision = look_up(pending.operation)
        if revision is not None:
            pending.future.set_result(revision)
            return True
        doubt = self._doubts.get(pending)
        if doubt is not None and doubt.version != self._version:
            del self._doubts[pending]
        return False

    def _fail(self, pending: Pending, exc: GypsumplankError) -> None:
        doubt = self._doubts.get(pending)
        pending.future.set_exception(exc if doubt is None else doubt.error)

    def _blame(self, conflicted: Sequence[Pending]) -> None:
        """Find the change whose fence fails: the head has not moved since the conflict."""
        if len(conflicted) > 1:
            self._alone = True
            return
        self._strikes.update(conflicted)
        for pending in conflicted:
            if self._strikes[pending] >= FENCE_TRIES and not pending.future.done():
                self._fail(pending, StateConflictError("a fence of the change does not hold"))
                self._alone = False
