"""Track whether the leader's daemon reaches the store, and what may be missing after an outage."""

import logging

from gypsumplank.errors import StateError
from gypsumplank.log import Event, event
from gypsumplank.state.clock import Clock

# Time after a store outage in which the holder may renew the lease before another daemon takes it,
# seconds; two checks of the lease (LEASE_CHECK_INTERVAL_S in leader.py).
HOLDER_RENEWAL_GRACE_S = 0.8
# Time after a store outage in which workers' entries may still be missing, seconds; the platform
# states about 2 s.
ENTRY_RECOVERY_S = 2.5

logger = logging.getLogger(__name__)


class StoreContact:
    """Record the results of calls to the store; `is_lost` while the last one failed."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.is_lost = False
        self._recovered_at = -ENTRY_RECOVERY_S

    def record(self, exc: StateError | None) -> None:
        """Record the error of a call to the store, None if it succeeded."""
        if (exc is not None) == self.is_lost:
            return
        self.is_lost = exc is not None
        if exc is not None:
            event(logger, Event.STORE_LOST, logging.WARNING, code=exc.code, detail=exc.detail)
        else:
            self._recovered_at = self._clock.monotonic()
            event(logger, Event.STORE_REGAINED)

    @property
    def is_renewal_expected(self) -> bool:
        """Return whether the holder of the lease may be about to renew it after an outage."""
        has_recovered = self._clock.monotonic() < self._recovered_at + 2 * HOLDER_RENEWAL_GRACE_S
        return has_recovered or self.is_lost

    def are_entries_complete(self, requested_at: float) -> bool:
        """Return whether the workers' entries had time to come back before they were requested."""
        return requested_at >= self._recovered_at + ENTRY_RECOVERY_S and not self.is_lost
