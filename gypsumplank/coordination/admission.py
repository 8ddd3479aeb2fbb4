"""Decide which waiting request gets the next slot and which cannot be served in time."""

import math
import threading
from collections import Counter, defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from itertools import chain
from typing import Protocol

from gypsumplank.coordination.estimate import Estimate
from gypsumplank.coordination.fairness import Shares
from gypsumplank.coordination.flow import Flow
from gypsumplank.coordination.ledger import Ledger
from gypsumplank.errors import InvariantError
from gypsumplank.protocol.exchange import Outcome, Refusal
from gypsumplank.protocol.ticket import Ticket, TicketState
from gypsumplank.state.clock import Clock
from gypsumplank.state.view import View

POOL_THREADS = 8
EXPRESS_THREADS = 4
MIN_SLOTS = 0.5

Class = tuple[str, str, int]
Settled = list[tuple[Ticket, Refusal | None]]


class Capacity(Protocol):
    """Tell the slots that this daemon may use."""

    def capacity(self, view: View, pool: str) -> int:
        """Return the slots of a pool that this daemon may use now."""

    def prospect(self, view: View, pool: str) -> int:
        """Return the slots of a pool that this daemon may count on soon."""


@dataclass(frozen=True)
class Limits:
    """Bound what one daemon holds: threads, and waiting requests of each service."""

    threads: int = 128
    waiting: int = 256


class Admission:
    """Queue requests by service, team, urgency and deadline until a slot is free."""

    def __init__(
        self, view: Callable[[], View], capacity: Capacity, clock: Clock, limits: Limits
    ) -> None:
        self._view = view
        self._capacity = capacity
        self._clock = clock
        self._limits = limits
        self._lock = threading.Lock()
        self._shares = Shares(view())
        self._ledger = Ledger()
        self._flows: dict[str, dict[str, Flow]] = {}
        self._waiting: Counter[str] = Counter()
        self._estimates: dict[Class, Estimate] = defaultdict(Estimate)
        self._numbers = 0

    def offer(self, ticket: Ticket) -> None:
        """Grant a ticket, let it wait or refuse it."""
        settled: Settled = []
        with self._lock:
            shares, now = self._refreshed(), self._clock.monotonic()
            ticket.team = shares.team(ticket.team)
            self._numbers += 1
            ticket.number = self._numbers
            if not self._starts_at_once(ticket, now, settled):
                self._queue(ticket, now, settled)
        _tell(settled)

    def withdraw(self, ticket: Ticket) -> bool:
        """Free the place of a ticket that still waits; return whether it did."""
        with self._lock:
            if ticket.state is not TicketState.WAITING:
                return False
            self._leave(ticket, TicketState.WITHDRAWN)
            return True

    def finish(self, ticket: Ticket) -> None:
        """Take a granted slot back and grant it anew."""
        settled: Settled = []
        with self._lock:
            now = self._clock.monotonic()
            ticket.move(TicketState.FINISHED)
            self._ledger.give(ticket)
            self._estimates[_class(ticket)].record(now - ticket.started)
            if self._waiting:
                self._refreshed()
                self._fill_all(now, settled)
        _tell(settled)

    def tick(self) -> None:
        """Refuse what can no longer finish in time and use slots that came free."""
        settled: Settled = []
        with self._lock:
            self._refreshed()
            now = self._clock.monotonic()
            for ticket in self._everything():
                if ticket.deadline <= now:
                    self._refuse(ticket, "deadline-passed", 0.0, settled)
            self._fill_all(now, settled)
        _tell(settled)

    def demand(self) -> dict[str, int]:
        """Return the requests that each pool holds and that wait for it."""
        with self._lock:
            found = Counter(self._ledger.by_pool)
            for name, count in self._waiting.items():
                service = self._shares.view.services.get(name)
                if service is not None:
                    found[service.pool] += count
            return dict(+found)

    def waiting(self) -> dict[str, int]:
        """Return the requests of each service that wait."""
        with self._lock:
            return dict(+self._waiting)

    def in_use(self) -> dict[str, int]:
        """Return the slots of each pool that are granted."""
        with self._lock:
            return dict(+self._ledger.by_pool)

    def _starts_at_once(self, ticket: Ticket, now: float, settled: Settled) -> bool:
        """Grant a ticket without queueing it where nothing waits; return whether it was."""
        if self._waiting or ticket.service not in self._shares.view.services:
            return False
        pool = self._home(ticket)
        capacity = self._capacity.capacity(self._shares.view, pool)
        free = capacity - self._ledger.by_pool[pool]
        if free <= 0 or not self._has_thread(pool) or self._is_late(ticket, now):
            return False
        if self._is_long(ticket, pool) and free <= self._shares.reserve(
            self._ledger, capacity, ticket
        ):
            return False
        self._grant(ticket, pool, capacity, now, settled)
        return True

    def _queue(self, ticket: Ticket, now: float, settled: Settled) -> None:
        self._enter(ticket)
        if ticket.service in self._shares.view.services:
            self._fill(self._home(ticket), now, settled)
            self._spill(ticket, now, settled)
            self._bound(ticket, now, settled)
        else:
            self._refuse(ticket, "service-unknown", 0.0, settled)

    def _refreshed(self) -> Shares:
        """Return the shares in force; move what waits for a team that is no more."""
        view = self._view()
        if view is not self._shares.view:
            self._shares = Shares(view)
            for ticket in self._everything():
                team = self._shares.team(ticket.team)
                if team != ticket.team:
                    self._take_out(ticket)
                    ticket.team = team
                    self._enter(ticket)
        return self._shares

    def _everything(self) -> list[Ticket]:
        flows = chain.from_iterable(teams.values() for teams in self._flows.values())
        return list(chain.from_iterable(flows))

    def _enter(self, ticket: Ticket) -> None:
        teams = self._flows.setdefault(ticket.service, {})
        teams.setdefault(ticket.team, Flow()).add(ticket)
        self._waiting[ticket.service] += 1

    def _leave(self, ticket: Ticket, state: TicketState) -> None:
        ticket.move(state)
        self._take_out(ticket)

    def _take_out(self, ticket: Ticket) -> None:
        teams = self._flows[ticket.service]
        teams[ticket.team].remove(ticket)
        if not teams[ticket.team]:
            del teams[ticket.team]
        self._waiting[ticket.service] -= 1
        if not self._waiting[ticket.service]:
            del self._waiting[ticket.service]
        if self._waiting[ticket.service] != sum(map(len, teams.values())):
            raise InvariantError(f"the count of {ticket.service}'s waiting requests is wrong")

    def _refuse(self, ticket: Ticket, code: str, wait_s: float, settled: Settled) -> None:
        self._leave(ticket, TicketState.REFUSED)
        status = 504 if code == "deadline-passed" else 503
        retry_after_s = max(1, math.ceil(wait_s))
        settled.append((ticket, Refusal(code, Outcome.NOT_RUN, status, "", retry_after_s)))

    def _fill_all(self, now: float, settled: Settled) -> None:
        """Fill the pools, the least used first, that waiting work may use."""
        services = self._shares.view.services
        if not self._waiting.keys() <= services.keys():
            for ticket in self._everything():
                if ticket.service not in services:
                    self._refuse(ticket, "service-unknown", 0.0, settled)
        pools = {services[name].pool for name, count in self._waiting.items() if count}
        for pool in sorted(pools, key=lambda name: (self._ledger.by_pool[name], name)):
            self._fill(pool, now, settled)
        if any(self._waiting[name] for name in self._shares.overflowing):
            for pool in self._shares.spare_pools:
                self._fill(pool, now, settled)

    def _spill(self, ticket: Ticket, now: float, settled: Settled) -> None:
        if ticket.state is TicketState.WAITING and ticket.service in self._shares.overflowing:
            for pool in self._shares.spare_pools:
                self._fill(pool, now, settled)

    def _fill(self, pool: str, now: float, settled: Settled) -> None:
        capacity = self._capacity.capacity(self._shares.view, pool)
        while self._ledger.by_pool[pool] < capacity and self._has_thread(pool):
            ticket = self._next(pool, capacity, now)
            if ticket is None:
                return
            if self._is_late(ticket, now):
                self._refuse(ticket, "deadline-unreachable", 0.0, settled)
            else:
                self._take_out(ticket)
                self._grant(ticket, pool, capacity, now, settled)

    def _grant(
        self, ticket: Ticket, pool: str, capacity: int, now: float, settled: Settled
    ) -> None:
        ticket.move(TicketState.GRANTED)
        ticket.pool, ticket.started = pool, now
        self._ledger.take(ticket)
        if self._ledger.by_pool[pool] > capacity or self._ledger.total > self._limits.threads:
            raise InvariantError(f"{pool} grants more than its {capacity} slots")
        settled.append((ticket, None))

    def _has_thread(self, pool: str) -> bool:
        """Tell whether a thread is left once every other pool has its own few."""
        threads = self._limits.threads - EXPRESS_THREADS
        pools = self._shares.services
        own = min(POOL_THREADS, threads // (2 * max(1, len(pools))))
        owed = sum(max(0, own - self._ledger.by_pool[name]) for name in pools if name != pool)
        return self._ledger.total < threads - owed

    def _next(self, pool: str, capacity: int, now: float) -> Ticket | None:
        """Return the ticket that the next slot of a pool goes to, or one that is late."""
        free = capacity - self._ledger.by_pool[pool]
        for ticket in self._in_order(pool, self._shares.services.get(pool, ())):
            if not self._is_long(ticket, pool) or self._is_late(ticket, now):
                return ticket
            if free > self._shares.reserve(self._ledger, capacity, ticket):
                return ticket
        if pool not in self._shares.spare_pools:
            return None
        if free <= self._shares.owed(self._ledger, pool, capacity):
            return None
        others = (name for name in self._shares.overflowing if self._waiting[name])
        full = [name for name in others if self._is_full(name, pool)]
        return next(self._in_order(pool, full), None)

    def _is_full(self, service: str, spare: str) -> bool:
        """Tell whether a service's own pool has no slot for it."""
        pool = self._shares.view.services[service].pool
        held = self._ledger.by_pool[pool]
        return pool != spare and held >= self._capacity.capacity(self._shares.view, pool)

    def _in_order(self, pool: str, services: tuple[str, ...] | list[str]) -> Iterator[Ticket]:
        """Yield the first tickets of each flow, those with the least use of their share first."""
        ledger, shares = self._ledger, self._shares

        def use(service: str) -> float:
            return (ledger.by_service[pool, service] + 1) / shares.weight(service)

        for service in sorted((name for name in services if self._waiting[name]), key=use):
            teams = self._flows[service]

            def use_of_team(team: str, service: str = service) -> float:
                return (ledger.by_team[pool, service, team] + 1) / shares.teams.get(team, 1.0)

            for team in sorted(teams, key=use_of_team):
                yield from teams[team].heads()

    def _is_long(self, ticket: Ticket, pool: str) -> bool:
        """Tell whether work of this class is long, or was never measured."""
        estimate = self._estimates[_class(ticket)]
        return not estimate.samples or estimate.mean_s > self._shares.long_s[pool]

    def _is_late(self, ticket: Ticket, now: float) -> bool:
        """Tell whether a start now is too late, going by work of its class that is running."""
        left = ticket.deadline - now
        key = (self._home(ticket), ticket.service, ticket.team)
        running = self._ledger.by_team[key] > 0
        return left <= 0 or (running and self._estimates[_class(ticket)].likely_s > left)

    def _home(self, ticket: Ticket) -> str:
        return self._shares.view.services[ticket.service].pool

    def _bound(self, ticket: Ticket, now: float, settled: Settled) -> None:
        """Refuse a waiting ticket that will be late, or the last in the queue if it is full."""
        if ticket.state is not TicketState.WAITING:
            return
        wait_s = self._wait_s(ticket)
        likely_s = self._estimates[_class(ticket)].likely_s
        if now + wait_s + likely_s > ticket.deadline:
            self._refuse(ticket, "deadline-unreachable", wait_s, settled)
        elif self._waiting[ticket.service] > self._limits.waiting:
            self._refuse(self._longest(ticket.service).last(), "queue-full", wait_s, settled)

    def _longest(self, service: str) -> Flow:
        """Return the service's flow that waits most for its share."""
        teams, weights = self._flows[service], self._shares.teams
        return teams[max(teams, key=lambda team: len(teams[team]) / weights.get(team, 1.0))]

    def _wait_s(self, ticket: Ticket) -> float:
        """Return how long a ticket is likely to wait, in seconds."""
        flow = self._flows[ticket.service][ticket.team]
        work_s = sum(
            count * self._estimates[ticket.service, ticket.team, urgency].mean_s
            for urgency, count in flow.ahead(ticket)
        )
        pool = self._home(ticket)
        slots = self._capacity.prospect(self._shares.view, pool) * self._part(ticket, pool)
        slots += sum(
            self._ledger.by_service[spare, ticket.service]
            for spare in self._shares.spare_pools
            if spare != pool
        )
        return work_s / max(MIN_SLOTS, slots)

    def _part(self, ticket: Ticket, pool: str) -> float:
        """Return the part of its pool that a ticket's service and team get at present."""
        ledger, shares = self._ledger, self._shares
        busy = [
            name
            for name in shares.services[pool]
            if self._waiting[name] or ledger.by_service[pool, name]
        ]
        part = shares.weight(ticket.service) / sum(shares.weight(name) for name in busy)
        waiting = self._flows[ticket.service]
        teams = [
            share
            for name, share in shares.teams.items()
            if name in waiting or ledger.by_team[pool, ticket.service, name]
        ]
        return part * shares.teams[ticket.team] / sum(teams)


def _class(ticket: Ticket) -> Class:
    return ticket.service, ticket.team, ticket.urgency


def _tell(settled: Settled) -> None:
    for ticket, refusal in settled:
        ticket.settle(ticket, refusal)
