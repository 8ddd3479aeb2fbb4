"""Tell from a lagging membership list and from traffic which hosts are dead or leaving."""

import logging
import threading
from collections.abc import Callable, Collection
from dataclasses import dataclass

from gypsumplank.errors import StateError
from gypsumplank.log import Event, event
from gypsumplank.state.clock import Clock
from gypsumplank.state.membership import Membership, MemberState

FAILURES_TO_FAIL = 3
DEAD_S = 5.0
FRESH_S = 30.0
MISSING_S = 20.0
ANSWERED_S = 20.0
GAP_S = 5.0
MAX_MISSING_SHARE = 0.5
NEVER = float("-inf")

logger = logging.getLogger(__name__)


@dataclass(frozen=True)
class Traffic:
    """Hold what requests told of a host; times in monotonic seconds."""

    answered_at: float = NEVER
    failing_since: float = NEVER
    failed_at: float = NEVER
    failures: int = 0


class Roster:
    """Weigh the list against traffic, with hysteresis both ways.

    A host that answers is alive whatever the list says. One that is missing counts as dead only
    after the list was read without it for long enough, and never while so many are missing that
    the list itself is in doubt. An outage of the platform adds nothing to the time missing.
    """

    def __init__(
        self, membership: Membership, clock: Clock, hosts: Callable[[], Collection[str]]
    ) -> None:
        self._membership = membership
        self._clock = clock
        self._hosts = hosts
        self._lock = threading.Lock()
        self._traffic: dict[str, Traffic] = {}
        self._missing_s: dict[str, float] = {}
        self._leaving: frozenset[str] = frozenset()
        self._read_at = NEVER
        self.in_doubt = True

    def tick(self) -> None:
        """Read the list once; an outage leaves what is known."""
        try:
            members = self._membership.members()
        except StateError as exc:
            event(logger, Event.STATE_UNAVAILABLE, logging.WARNING, code=exc.code, step="members")
            return
        now = self._clock.monotonic()
        known = set(self._hosts())
        listed = {member.host for member in members}
        leaving = {held.host for held in members if held.state is MemberState.LEAVING}
        passed_s = now - self._read_at if now - self._read_at <= GAP_S else 0.0
        self._read_at = now
        self._leaving = frozenset(leaving & known)
        self._take(known, listed, passed_s)

    def _take(self, known: set[str], listed: set[str], passed_s: float) -> None:
        missing = known - listed
        self.in_doubt = len(missing) > MAX_MISSING_SHARE * len(known)
        back = self._missing_s.keys() & listed
        with self._lock:
            for host in back:
                self._traffic.pop(host, None)
            for host in self._traffic.keys() - known:
                del self._traffic[host]
        before = self._missing_s
        grown_s = 0.0 if self.in_doubt else passed_s
        self._missing_s = {host: before.get(host, -grown_s) + grown_s for host in missing}

    def heard(self, host: str, answered: bool) -> None:
        """Take in whether a host answered a request."""
        now = self._clock.monotonic()
        with self._lock:
            was = self._traffic.get(host, Traffic())
            if answered:
                self._traffic[host] = Traffic(answered_at=now)
                return
            failing = was.failures and now - was.failed_at < FRESH_S
            since, count = (was.failing_since, was.failures) if failing else (now, 0)
            self._traffic[host] = Traffic(was.answered_at, since, now, count + 1)

    def forget(self, host: str) -> None:
        """Drop what traffic told of a host, as it gets another trial."""
        with self._lock:
            self._traffic.pop(host, None)

    def leaving(self) -> frozenset[str]:
        """Return the hosts that the platform says are leaving."""
        return self._leaving

    def missing(self, host: str) -> bool:
        """Tell whether the list, where it can be believed, has no such host."""
        return not self.in_doubt and host in self._missing_s

    def failed(self) -> frozenset[str]:
        """Return the hosts that are dead as far as this daemon can tell."""
        now = self._clock.monotonic()
        with self._lock:
            traffic = dict(self._traffic)
        missing = dict(self._missing_s)
        hosts = traffic.keys() | missing.keys()
        unknown = Traffic()
        return frozenset(
            host
            for host in hosts
            if _is_dead(traffic.get(host, unknown), missing.get(host, 0.0), now)
        )


def _is_dead(traffic: Traffic, missing_s: float, now: float) -> bool:
    lasts = now - traffic.failing_since >= DEAD_S and now - traffic.failed_at < FRESH_S
    refuses = lasts and traffic.failures >= FAILURES_TO_FAIL
    answered = now - traffic.answered_at < ANSWERED_S
    return refuses or (missing_s >= MISSING_S and not answered)
