"""Detect that this daemon cannot reach the store, although it keeps trying."""

from gypsumplank.state.clock import Clock

# Time without an answer from the store after a failed call, seconds; longer than a few calls in a
# row that fail by chance while the store rejects a part of all calls.
CUT_OFF_AFTER_S = 0.5


class CutOffDetector:
    """Track since when every call to the store has failed."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._failing_since: float | None = None

    def record_answer(self) -> None:
        """Record that the store answered, even if it refused the call because of its content."""
        self._failing_since = None

    def record_failure(self) -> None:
        """Record that a call was not answered or not accepted."""
        if self._failing_since is None:
            self._failing_since = self._clock.monotonic()

    @property
    def is_cut_off(self) -> bool:
        """Return whether calls have failed for CUT_OFF_AFTER_S, and none succeeded."""
        return (
            self._failing_since is not None
            and self._clock.monotonic() - self._failing_since >= CUT_OFF_AFTER_S
        )
