"""Count what becomes of submissions, for operators."""

import threading
from collections import Counter
from collections.abc import Mapping
from enum import StrEnum


class SubmitOutcome(StrEnum):
    """Enumerate the results of storing a submission; the value is a metric's label."""

    NEW = "new"
    REPEATED = "repeated"
    BUSY = "busy"
    UNKNOWN = "unknown"
    FAILED = "failed"


class IntakeStats:
    """Keep the counts of one daemon; may be used by several threads.

    `oldest_ms` is when the oldest submission was accepted whose job the leader has not stored yet,
    in ms since 1970; None if there is none.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._submissions: Counter[SubmitOutcome] = Counter()
        self.adoptions = 0
        self.removals = 0
        self.oldest_ms: int | None = None

    def count_submission(self, outcome: SubmitOutcome) -> None:
        """Count a submission by its result."""
        with self._lock:
            self._submissions[outcome] += 1

    def count_adoption(self) -> None:
        """Count a submission whose job was new to the leader."""
        with self._lock:
            self.adoptions += 1

    def count_removals(self, submissions: int) -> None:
        """Count submissions that were removed after their jobs were stored."""
        with self._lock:
            self.removals += submissions

    def submissions(self) -> Mapping[SubmitOutcome, int]:
        """Return how many submissions had each result."""
        with self._lock:
            return dict(self._submissions)
