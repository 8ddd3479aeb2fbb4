"""Take endpoints that fail out of the choice, within their pool's availability budget."""

import logging
import math
import threading
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from gypsumplank.coordination.endpoint import EndpointClient
from gypsumplank.errors import EndpointError, EndpointTimeoutError, InvariantError
from gypsumplank.log import Event, event
from gypsumplank.protocol.exchange import Answer, Request
from gypsumplank.state.clock import Clock
from gypsumplank.state.view import View

MAX_CONSECUTIVE = 5
MAX_FAILURE_RATE = 0.5
MIN_SAMPLES = 20
RATE_GAIN = 0.1
HALF_LIFE_S = 2.0
LEAST_RATE = 0.05
EJECT_S = 1.0
MAX_EJECT_S = 30.0
SLOW_START_S = 5.0
MIN_JUDGED_TIMEOUT_S = 1.0
FAILED_STATUSES = frozenset({500, 502, 503, 504})

logger = logging.getLogger(__name__)


@dataclass
class Health:
    """Hold what is known of one endpoint; times are in seconds of the monotonic clock."""

    consecutive: int = 0
    failure_rate: float = 0.0
    samples: int = 0
    recorded_at: float = 0.0
    ejections: int = 0
    ejected: bool = False
    out_until: float = 0.0
    back_since: float = -math.inf


def required_hosts(view: View, pool: str) -> int:
    """Return how many hosts of a pool the availability budget keeps in service, at least one."""
    return max(1, view.pools[pool].budget.floor(len(view.hosts_of(pool))))


class Ejector:
    """Judge endpoints by their answers; hosts are known by name."""

    def __init__(self, view: Callable[[], View], clock: Clock) -> None:
        self._view = view
        self._clock = clock
        self._lock = threading.Lock()
        self._health: dict[str, Health] = {}
        self._ejected: frozenset[str] = frozenset()
        self.version = 0

    def record(self, host: str, ok: bool) -> None:
        """Take the result of one request in."""
        with self._lock:
            health = self._health.setdefault(host, Health())
            health.samples += 1
            health.recorded_at = self._clock.monotonic()
            health.failure_rate += RATE_GAIN * ((not ok) - health.failure_rate)
            health.consecutive = 0 if ok else health.consecutive + 1
            if health.ejected:
                self._judge_probe(host, health, ok)
            elif _is_failing(health):
                self._eject(host, health)

    def arrive(self, host: str) -> None:
        """Start a host slowly that comes into service."""
        with self._lock:
            self._health[host] = Health(back_since=self._clock.monotonic())
            self._ejected -= {host}
            self.version += 1

    def keep_budget(self, view: View) -> None:
        """Let ejected hosts back that the pools' budgets need in service."""
        if not self._ejected:
            return
        with self._lock:
            hosts = [name for name in self._ejected if name in view.hosts]
            for pool in {view.assignment(name).pool for name in hosts}:
                self._out(view, pool)

    def ejected(self) -> frozenset[str]:
        """Return the hosts that are out of the choice or on probe."""
        return frozenset(self._ejected)

    def limit(self, host: str, slots: int) -> int:
        """Return how many of a host's slots may be used now: none, a probe's one, or a share."""
        health = self._health.get(host)
        if health is None:
            return slots
        now = self._clock.monotonic()
        if health.ejected:
            return int(now >= health.out_until)
        share = (now - health.back_since) / SLOW_START_S
        return slots if share >= 1 else min(slots, max(1, int(slots * share)))

    def failure_rate(self, host: str) -> float:
        """Return the recent share of failures, which fades so that the host is tried again."""
        health = self._health.get(host)
        if health is None or not health.failure_rate:
            return 0.0
        age_s = self._clock.monotonic() - health.recorded_at
        rate = health.failure_rate * 0.5 ** (age_s / HALF_LIFE_S)
        return rate if rate >= LEAST_RATE else 0.0

    def _out(self, view: View, pool: str) -> list[str]:
        serving = view.serving_hosts(pool)
        out = [name for name in serving if name in self._ejected]
        excess = len(out) - max(0, len(serving) - required_hosts(view, pool))
        if excess <= 0:
            return out
        out.sort(key=lambda name: self._health[name].out_until)
        for name in out[:excess]:
            self._return(name, self._health[name], "availability-budget")
        return out[excess:]

    def _eject(self, host: str, health: Health) -> None:
        view = self._view()
        if host not in view.hosts:
            return
        pool = view.assignment(host).pool
        serving, required = len(view.serving_hosts(pool)), required_hosts(view, pool)
        if serving - len(self._out(view, pool)) <= required:
            return
        self._put_out(host, health)
        if serving - len(self._out(view, pool)) < required:
            raise InvariantError(f"pool {pool!r} would keep fewer than {required} hosts")

    def _judge_probe(self, host: str, health: Health, ok: bool) -> None:
        if self._clock.monotonic() < health.out_until:
            return
        if ok:
            self._return(host, health, "probe")
        else:
            self._put_out(host, health)

    def _put_out(self, host: str, health: Health) -> None:
        seconds = min(MAX_EJECT_S, EJECT_S * 2**health.ejections)
        health.ejections = min(health.ejections + 1, 10)
        health.ejected = True
        self._ejected |= {host}
        self.version += 1
        health.out_until = self._clock.monotonic() + seconds
        event(logger, Event.ENDPOINT_EJECTED, host=host, seconds=seconds)

    def _return(self, host: str, health: Health, reason: str) -> None:
        held = Health(ejections=health.ejections, back_since=self._clock.monotonic())
        held.failure_rate, held.recorded_at = health.failure_rate, health.recorded_at
        self._health[host] = held
        self._ejected -= {host}
        self.version += 1
        event(logger, Event.ENDPOINT_RETURNED, host=host, reason=reason)


def _is_failing(health: Health) -> bool:
    often = health.samples >= MIN_SAMPLES and health.failure_rate >= MAX_FAILURE_RATE
    return often or health.consecutive >= MAX_CONSECUTIVE


class JudgedEndpoints:
    """Pass requests on to endpoints and their results to the ejector."""

    def __init__(
        self, endpoints: EndpointClient, ejector: Ejector, hosts: Callable[[], Mapping[str, str]]
    ) -> None:
        self._endpoints = endpoints
        self._ejector = ejector
        self._hosts = hosts

    def send(self, address: str, req: Request, timeout_s: float) -> Answer:
        """Return the endpoint's whole answer; raise EndpointError."""
        try:
            answer = self._endpoints.send(address, req, timeout_s)
        except EndpointTimeoutError:
            if timeout_s >= MIN_JUDGED_TIMEOUT_S:
                self._record(address, ok=False)
            raise
        except EndpointError:
            self._record(address, ok=False)
            raise
        self._record(address, answer.status not in FAILED_STATUSES)
        return answer

    def _record(self, address: str, ok: bool) -> None:
        host = self._hosts().get(address)
        if host is not None:
            self._ejector.record(host, ok)
