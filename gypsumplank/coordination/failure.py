"""Detect failed and leaving hosts from the lagging membership list and request results."""

import logging
import threading
from collections.abc import Callable, Collection
from dataclasses import dataclass

from gypsumplank.errors import StateError
from gypsumplank.log import Event, event
from gypsumplank.state.clock import Clock
from gypsumplank.state.membership import Membership, MemberState

# A host counts as failed after this many request failures in a row, over at least this time.
MIN_FAILURES = 3
MIN_FAILING_S = 5.0
# Request failures older than this no longer count.
FAILURE_TTL_S = 30.0
# A host that is missing from the list for this long counts as failed, unless it responded within
# RESPONSE_TTL_S.
MISSING_TIMEOUT_S = 20.0
RESPONSE_TTL_S = 20.0
# After a longer gap between two reads, the time between them does not count as missing.
MAX_READ_GAP_S = 5.0
MAX_MISSING_SHARE = 0.5
NEVER = float("-inf")

logger = logging.getLogger(__name__)


@dataclass(frozen=True)
class RequestResults:
    """Store the results of recent requests to a host; times are in monotonic seconds."""

    responded_at: float = NEVER
    failing_since: float = NEVER
    failed_at: float = NEVER
    failures: int = 0


class HostFailureDetector:
    """Combine the membership list with request results, with hysteresis in both directions.

    A host that responds is alive whatever the list says. A missing host counts as failed only
    after the list was read without it for MISSING_TIMEOUT_S. While more than MAX_MISSING_SHARE of
    all hosts are missing, the list is unreliable and adds nothing to the time missing; nor does an
    outage of the platform.
    """

    def __init__(
        self, membership: Membership, clock: Clock, hosts: Callable[[], Collection[str]]
    ) -> None:
        self._membership = membership
        self._clock = clock
        self._hosts = hosts
        self._lock = threading.Lock()
        self._results: dict[str, RequestResults] = {}
        self._missing_s: dict[str, float] = {}
        self._leaving: frozenset[str] = frozenset()
        self._last_read_at = NEVER
        self.list_unreliable = True

    def tick(self) -> None:
        """Read the membership list once; keep what is known during an outage."""
        try:
            members = self._membership.members()
        except StateError as exc:
            event(logger, Event.STATE_UNAVAILABLE, logging.WARNING, code=exc.code, step="members")
            return
        now = self._clock.monotonic()
        known = set(self._hosts())
        listed = {member.host for member in members}
        leaving = {member.host for member in members if member.state is MemberState.LEAVING}
        elapsed_s = now - self._last_read_at if now - self._last_read_at <= MAX_READ_GAP_S else 0.0
        self._last_read_at = now
        self._leaving = frozenset(leaving & known)
        self._update_missing(known, listed, elapsed_s)

    def _update_missing(self, known: set[str], listed: set[str], elapsed_s: float) -> None:
        missing = known - listed
        self.list_unreliable = len(missing) > MAX_MISSING_SHARE * len(known)
        returned = self._missing_s.keys() & listed
        with self._lock:
            for host in returned:
                self._results.pop(host, None)
            for host in self._results.keys() - known:
                del self._results[host]
        before = self._missing_s
        added_s = 0.0 if self.list_unreliable else elapsed_s
        self._missing_s = {host: before.get(host, -added_s) + added_s for host in missing}

    def record_result(self, host: str, responded: bool) -> None:
        """Record whether a host responded to a request."""
        now = self._clock.monotonic()
        with self._lock:
            last = self._results.get(host, RequestResults())
            if responded:
                self._results[host] = RequestResults(responded_at=now)
                return
            is_failing = last.failures and now - last.failed_at < FAILURE_TTL_S
            since, count = (last.failing_since, last.failures) if is_failing else (now, 0)
            self._results[host] = RequestResults(last.responded_at, since, now, count + 1)

    def clear_results(self, host: str) -> None:
        """Drop the request results of a host that is about to return to service."""
        with self._lock:
            self._results.pop(host, None)

    def leaving(self) -> frozenset[str]:
        """Return the known hosts that the membership list marks as leaving."""
        return self._leaving

    def missing(self, host: str) -> bool:
        """Return whether a host is missing from the list, if the list is reliable."""
        return not self.list_unreliable and host in self._missing_s

    def failed(self) -> frozenset[str]:
        """Return the hosts that have failed as far as this daemon can observe."""
        now = self._clock.monotonic()
        with self._lock:
            results = dict(self._results)
        missing = dict(self._missing_s)
        hosts = results.keys() | missing.keys()
        no_results = RequestResults()
        return frozenset(
            host
            for host in hosts
            if _has_failed(results.get(host, no_results), missing.get(host, 0.0), now)
        )


def _has_failed(results: RequestResults, missing_s: float, now: float) -> bool:
    is_failing = (
        now - results.failing_since >= MIN_FAILING_S and now - results.failed_at < FAILURE_TTL_S
    )
    is_unresponsive = is_failing and results.failures >= MIN_FAILURES
    has_responded = now - results.responded_at < RESPONSE_TTL_S
    return is_unresponsive or (missing_s >= MISSING_TIMEOUT_S and not has_responded)
