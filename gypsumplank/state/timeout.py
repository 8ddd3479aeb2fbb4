"""Derive the timeout of calls to one service from how long its responses took."""

# Multiple of the recent latency after which a call counts as unanswered.
LATENCY_FACTOR = 4.0
# Share of the recent latency that is kept at each faster response.
LATENCY_DECAY = 0.9
# Factor by which the timeout grows after each unanswered call.
BACKOFF_FACTOR = 2.0


class AdaptiveTimeout:
    """Hold the present timeout, between two bounds in seconds.

    Answers a service that loses single responses, which should cost little time, but may also
    become many times slower, where a short timeout would give up every call. May be used by several
    threads; an update that is lost only delays the adaptation.
    """

    def __init__(self, minimum_s: float, maximum_s: float) -> None:
        self._minimum_s = minimum_s
        self._maximum_s = maximum_s
        self._latency_s = 0.0
        self._backoff = 1.0

    @property
    def current_s(self) -> float:
        """Return the timeout of the next call, in seconds."""
        base_s = max(self._minimum_s, LATENCY_FACTOR * self._latency_s)
        return min(self._maximum_s, base_s * self._backoff)

    def record_response(self, latency_s: float) -> None:
        """Adapt the timeout to a response."""
        self._latency_s = max(latency_s, LATENCY_DECAY * self._latency_s)
        self._backoff = 1.0

    def record_timeout(self) -> None:
        """Prolong the timeout, as the service may have become slower."""
        if self.current_s < self._maximum_s:
            self._backoff *= BACKOFF_FACTOR
