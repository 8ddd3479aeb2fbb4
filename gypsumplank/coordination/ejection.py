"""Eject failing endpoints from load balancing, within their pool's availability budget."""

import logging
import math
import threading
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from gypsumplank.coordination.endpoint import EndpointClient
from gypsumplank.errors import EndpointError, EndpointTimeoutError, InvariantError
from gypsumplank.log import Event, event
from gypsumplank.protocol.exchange import EndpointResponse, Request
from gypsumplank.state.clock import Clock
from gypsumplank.state.view import View

CONSECUTIVE_FAILURES_TO_EJECT = 5
FAILURE_RATE_TO_EJECT = 0.5
# Results needed before the failure rate can eject a host.
MIN_RATE_SAMPLES = 20
# Weight of one result in the exponential moving average.
FAILURE_RATE_GAIN = 0.1
# The rate decays while a host gets no requests, so that it is tried again.
FAILURE_RATE_HALF_LIFE_S = 2.0
# A decayed rate below this counts as zero.
MIN_FAILURE_RATE = 0.05
# Duration of the first ejection; it doubles with each failed probe.
BASE_EJECTION_S = 1.0
MAX_EJECTION_S = 30.0
# Time in which a returning host's slots rise linearly to their full number.
SLOW_START_S = 5.0
# A timeout shorter than this is due to the caller's deadline and is not counted as a failure.
MIN_COUNTED_TIMEOUT_S = 1.0
FAILED_STATUSES = frozenset({500, 502, 503, 504})

logger = logging.getLogger(__name__)


@dataclass
class EndpointHealth:
    """Store the health of one endpoint; times are in monotonic seconds."""

    consecutive_failures: int = 0
    failure_rate: float = 0.0
    samples: int = 0
    recorded_at: float = 0.0
    ejections: int = 0
    ejected: bool = False
    ejected_until: float = 0.0
    returned_at: float = -math.inf


def required_hosts(view: View, pool: str) -> int:
    """Return the least number of hosts to keep in service by the pool's budget, at least one."""
    return max(1, view.pools[pool].budget.floor(len(view.hosts_of(pool))))


class Ejector:
    """Eject hosts by their recent results; thread-safe, hosts are identified by name."""

    def __init__(self, view: Callable[[], View], clock: Clock) -> None:
        self._view = view
        self._clock = clock
        self._lock = threading.Lock()
        self._health: dict[str, EndpointHealth] = {}
        self._ejected: frozenset[str] = frozenset()
        # Incremented with every change, so that cached limits can be recognised as out of date.
        self.version = 0

    def record(self, host: str, ok: bool) -> None:
        """Record the result of one request."""
        with self._lock:
            health = self._health.setdefault(host, EndpointHealth())
            health.samples += 1
            health.recorded_at = self._clock.monotonic()
            health.failure_rate += FAILURE_RATE_GAIN * ((not ok) - health.failure_rate)
            health.consecutive_failures = 0 if ok else health.consecutive_failures + 1
            if health.ejected:
                self._handle_probe_result(host, health, ok)
            elif _is_failing(health):
                self._eject_within_budget(host, health)

    def start_slowly(self, host: str) -> None:
        """Begin the slow start of a host that has come into service."""
        with self._lock:
            self._health[host] = EndpointHealth(returned_at=self._clock.monotonic())
            self._ejected -= {host}
            self.version += 1

    def enforce_budget(self, view: View) -> None:
        """Return ejected hosts to service where a pool's budget requires it."""
        if not self._ejected:
            return
        with self._lock:
            hosts = [name for name in self._ejected if name in view.hosts]
            for pool in {view.assignment(name).pool for name in hosts}:
                self._enforce_pool_budget(view, pool)

    def ejected(self) -> frozenset[str]:
        """Return the hosts that are ejected or being probed."""
        return frozenset(self._ejected)

    def limit(self, host: str, slots: int) -> int:
        """Return the usable slots of a host: 0 if ejected, 1 for a probe, fewer in slow start."""
        health = self._health.get(host)
        if health is None:
            return slots
        now = self._clock.monotonic()
        if health.ejected:
            return int(now >= health.ejected_until)
        ramp = (now - health.returned_at) / SLOW_START_S
        return slots if ramp >= 1 else min(slots, max(1, int(slots * ramp)))

    def failure_rate(self, host: str) -> float:
        """Return the failure rate, 0 to 1, decayed by the time since the last result."""
        health = self._health.get(host)
        if health is None or not health.failure_rate:
            return 0.0
        age_s = self._clock.monotonic() - health.recorded_at
        rate = health.failure_rate * 0.5 ** (age_s / FAILURE_RATE_HALF_LIFE_S)
        return rate if rate >= MIN_FAILURE_RATE else 0.0

    def _enforce_pool_budget(self, view: View, pool: str) -> list[str]:
        """Return excess ejected hosts to service; return the names of those still ejected."""
        serving = view.serving_hosts(pool)
        ejected = [name for name in serving if name in self._ejected]
        excess = len(ejected) - max(0, len(serving) - required_hosts(view, pool))
        if excess <= 0:
            return ejected
        ejected.sort(key=lambda name: self._health[name].ejected_until)
        for name in ejected[:excess]:
            self._return_to_service(name, self._health[name], "availability-budget")
        return ejected[excess:]

    def _eject_within_budget(self, host: str, health: EndpointHealth) -> None:
        view = self._view()
        if host not in view.hosts:
            return
        pool = view.assignment(host).pool
        serving, required = len(view.serving_hosts(pool)), required_hosts(view, pool)
        if serving - len(self._enforce_pool_budget(view, pool)) <= required:
            return
        self._mark_ejected(host, health)
        if serving - len(self._enforce_pool_budget(view, pool)) < required:
            raise InvariantError(f"pool {pool!r} would keep fewer than {required} hosts in service")

    def _handle_probe_result(self, host: str, health: EndpointHealth, ok: bool) -> None:
        if self._clock.monotonic() < health.ejected_until:
            return
        if ok:
            self._return_to_service(host, health, "probe")
        else:
            self._mark_ejected(host, health)

    def _mark_ejected(self, host: str, health: EndpointHealth) -> None:
        seconds = min(MAX_EJECTION_S, BASE_EJECTION_S * 2**health.ejections)
        health.ejections = min(health.ejections + 1, 10)
        health.ejected = True
        self._ejected |= {host}
        self.version += 1
        health.ejected_until = self._clock.monotonic() + seconds
        event(logger, Event.ENDPOINT_EJECTED, host=host, seconds=seconds)

    def _return_to_service(self, host: str, health: EndpointHealth, reason: str) -> None:
        restored = EndpointHealth(ejections=health.ejections, returned_at=self._clock.monotonic())
        restored.failure_rate, restored.recorded_at = health.failure_rate, health.recorded_at
        self._health[host] = restored
        self._ejected -= {host}
        self.version += 1
        event(logger, Event.ENDPOINT_RETURNED, host=host, reason=reason)


def _is_failing(health: EndpointHealth) -> bool:
    rate_exceeded = (
        health.samples >= MIN_RATE_SAMPLES and health.failure_rate >= FAILURE_RATE_TO_EJECT
    )
    return rate_exceeded or health.consecutive_failures >= CONSECUTIVE_FAILURES_TO_EJECT


class HealthTrackingClient:
    """Forward requests to endpoints and report the results to the ejector."""

    def __init__(
        self,
        endpoints: EndpointClient,
        ejector: Ejector,
        hosts_by_address: Callable[[], Mapping[str, str]],
    ) -> None:
        self._endpoints = endpoints
        self._ejector = ejector
        self._hosts_by_address = hosts_by_address

    def send(self, address: str, req: Request, timeout_s: float) -> EndpointResponse:
        """Return the endpoint's complete response; raise EndpointError."""
        try:
            response = self._endpoints.send(address, req, timeout_s)
        except EndpointTimeoutError:
            if timeout_s >= MIN_COUNTED_TIMEOUT_S:
                self._record(address, ok=False)
            raise
        except EndpointError:
            self._record(address, ok=False)
            raise
        self._record(address, response.status not in FAILED_STATUSES)
        return response

    def _record(self, address: str, ok: bool) -> None:
        host = self._hosts_by_address().get(address)
        if host is not None:
            self._ejector.record(host, ok)
