"""Renew the scheduler's lease in time, also in the middle of a round or of a take-over.

Answers rounds with many commits while the store is slow, and take-overs with over 1,000 jobs: the
renewal waited for their end, and the lease expired.
"""

from collections.abc import Callable

from gypsumplank.coordination.lease import LeaseManager
from gypsumplank.state.clock import Clock


class LeaseRenewal:
    """Renew one lease at intervals; used by one thread only.

    `record_gap` gets the time between two renewals that succeeded, in seconds.
    """

    def __init__(
        self,
        leases: LeaseManager,
        name: str,
        clock: Clock,
        interval_s: float,
        record_gap: Callable[[float], None],
    ) -> None:
        self._leases = leases
        self._name = name
        self._clock = clock
        self._interval_s = interval_s
        self._record_gap = record_gap
        self._tried_at = self._renewed_at = clock.monotonic()

    def begin_term(self) -> None:
        """Note that the lease has just been acquired."""
        self._tried_at = self._renewed_at = self._clock.monotonic()

    @property
    def is_due(self) -> bool:
        """Return whether the interval has passed since the last attempt."""
        return self._clock.monotonic() >= self._tried_at + self._interval_s

    def renew(self) -> None:
        """Renew the lease now; raise StateError."""
        self._tried_at = started = self._clock.monotonic()
        self._leases.renew(self._name)
        self._record_gap(started - self._renewed_at)
        self._renewed_at = started

    def renew_if_due(self) -> None:
        """Renew the lease if that is due and it is held; raise StateError."""
        if self.is_due and self._leases.fence(self._name) is not None:
            self.renew()
