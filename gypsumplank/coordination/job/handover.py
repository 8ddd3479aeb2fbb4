"""Decide when the scheduler's lease is left or handed over to another daemon.

Answers fleets of unequal hosts, where a slow leader delays all starts, and outages of the whole
store, which should not change the leader by themselves.
"""

from gypsumplank.coordination.job.contact import HOLDER_RENEWAL_GRACE_S, StoreContact
from gypsumplank.coordination.job.term import LeaderCandidates
from gypsumplank.state.clock import Clock

# Minimum time between hand-overs of the lease to a faster daemon, seconds; equals
# LIVENESS_TIMEOUT_S in registry.py, for which a daemon that exited may still count as live.
MIN_YIELD_INTERVAL_S = 10.0


class LeaseHandover:
    """Compare this daemon with the other candidates for the lease."""

    def __init__(self, clock: Clock, candidates: LeaderCandidates, contact: StoreContact) -> None:
        self._clock = clock
        self._candidates = candidates
        self._contact = contact
        self._next_yield_at = 0.0

    def begin_term(self, earliest_yield_at: float) -> None:
        """Keep the lease until this time at least, in monotonic seconds."""
        self._next_yield_at = max(self._next_yield_at, earliest_yield_at)

    def should_yield(self) -> bool:
        """Return whether to hand the lease over to a faster daemon now."""
        now = self._clock.monotonic()
        may_yield = now >= self._next_yield_at and not self._contact.is_lost
        if not (may_yield and self._candidates.any_faster()):
            return False
        self._next_yield_at = now + MIN_YIELD_INTERVAL_S
        return True

    def takeover_delay_s(self) -> float:
        """Return for how long a free lease is left to others, in seconds; may be infinite."""
        grace_s = HOLDER_RENEWAL_GRACE_S if self._contact.is_renewal_expected else 0.0
        # The delays add up, so that after an outage faster daemons still come first.
        return self._candidates.takeover_delay_s() + grace_s
