"""Grant slots to requests by fair share and priority, and refuse those that would be late."""

import math
import threading
from collections import Counter, defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from itertools import chain
from typing import Protocol

from gypsumplank.coordination.estimate import DurationEstimate
from gypsumplank.coordination.fairness import FairShares
from gypsumplank.coordination.grant import GrantedSlots
from gypsumplank.coordination.ticketqueue import TicketQueue
from gypsumplank.errors import InvariantError
from gypsumplank.protocol.exchange import Outcome, Refusal
from gypsumplank.protocol.ticket import Ticket, TicketState
from gypsumplank.state.clock import Clock
from gypsumplank.state.view import View

# Threads reserved for each pool; all reservations together take at most half of the threads.
RESERVED_THREADS_PER_POOL = 8
# Threads that no grant uses, so that refusals are answered while all other threads are busy.
REFUSAL_THREADS = 4
# Lower bound of the slots assumed when a wait is estimated; avoids a division by zero.
MIN_ESTIMATED_SLOTS = 0.5

# Service, team and urgency: requests whose duration is estimated together.
WorkClass = tuple[str, str, int]
# Tickets with the refusal, or None for a grant, to report once the lock is released.
Decisions = list[tuple[Ticket, Refusal | None]]


class CapacityProvider(Protocol):
    """Provide the number of slots that this daemon may use."""

    def capacity(self, view: View, pool: str) -> int:
        """Return the slots of a pool that this daemon may use now."""

    def expected_capacity(self, view: View, pool: str) -> int:
        """Return the slots of a pool that this daemon is expected to get soon."""


@dataclass(frozen=True)
class AdmissionLimits:
    """Limit one daemon's threads, and the waiting requests of each service."""

    max_threads: int = 128
    max_waiting_per_service: int = 256


class Admission:
    """Queue requests by service, team, urgency and deadline until a slot is free."""

    def __init__(
        self,
        view: Callable[[], View],
        capacity: CapacityProvider,
        clock: Clock,
        limits: AdmissionLimits,
    ) -> None:
        self._view = view
        self._capacity = capacity
        self._clock = clock
        self._limits = limits
        self._lock = threading.Lock()
        self._shares = FairShares(view())
        self._granted = GrantedSlots()
        self._queues: dict[str, dict[str, TicketQueue]] = {}
        self._waiting: Counter[str] = Counter()
        self._estimates: dict[WorkClass, DurationEstimate] = defaultdict(DurationEstimate)
        self._last_ticket_number = 0

    def submit(self, ticket: Ticket) -> None:
        """Grant, queue or refuse a new ticket."""
        decisions: Decisions = []
        with self._lock:
            shares, now = self._refresh_shares(), self._clock.monotonic()
            ticket.team = shares.accounted_team(ticket.team)
            self._last_ticket_number += 1
            ticket.number = self._last_ticket_number
            if not self._try_grant_immediately(ticket, now, decisions):
                self._enqueue(ticket, now, decisions)
        _notify(decisions)

    def cancel(self, ticket: Ticket) -> bool:
        """Remove a ticket from its queue; return whether it was still waiting."""
        with self._lock:
            if ticket.state is not TicketState.WAITING:
                return False
            self._dequeue_as(ticket, TicketState.WITHDRAWN)
            return True

    def release(self, ticket: Ticket) -> None:
        """Release a granted slot and grant free slots to waiting tickets."""
        decisions: Decisions = []
        with self._lock:
            now = self._clock.monotonic()
            ticket.transition(TicketState.FINISHED)
            self._granted.remove(ticket)
            self._estimates[_work_class(ticket)].record(now - ticket.started_at)
            if self._waiting:
                self._refresh_shares()
                self._fill_pools(now, decisions)
        _notify(decisions)

    def tick(self) -> None:
        """Refuse tickets whose deadline has passed and grant free slots."""
        decisions: Decisions = []
        with self._lock:
            self._refresh_shares()
            now = self._clock.monotonic()
            for ticket in self._waiting_tickets():
                if ticket.deadline <= now:
                    self._refuse(ticket, "deadline-passed", 0.0, decisions)
            self._fill_pools(now, decisions)
        _notify(decisions)

    def demand(self) -> dict[str, int]:
        """Return the number of requests that run in or wait for each pool."""
        with self._lock:
            counts = Counter(self._granted.by_pool)
            for name, count in self._waiting.items():
                service = self._shares.view.services.get(name)
                if service is not None:
                    counts[service.pool] += count
            return dict(+counts)

    def waiting(self) -> dict[str, int]:
        """Return the number of waiting requests of each service."""
        with self._lock:
            return dict(+self._waiting)

    def slots_in_use(self) -> dict[str, int]:
        """Return the number of granted slots of each pool."""
        with self._lock:
            return dict(+self._granted.by_pool)

    def _try_grant_immediately(self, ticket: Ticket, now: float, decisions: Decisions) -> bool:
        """Grant a ticket without queueing if none is waiting; return whether it was granted."""
        if self._waiting or ticket.service not in self._shares.view.services:
            return False
        pool = self._own_pool(ticket)
        capacity = self._capacity.capacity(self._shares.view, pool)
        free = capacity - self._granted.by_pool[pool]
        if free <= 0 or not self._has_free_thread(pool) or self._would_miss_deadline(ticket, now):
            return False
        if self._is_long_running(ticket, pool) and free <= self._shares.reserved_slots(
            self._granted, capacity, ticket
        ):
            return False
        self._grant(ticket, pool, capacity, now, decisions)
        return True

    def _enqueue(self, ticket: Ticket, now: float, decisions: Decisions) -> None:
        self._add_to_queue(ticket)
        if ticket.service in self._shares.view.services:
            self._fill_pool(self._own_pool(ticket), now, decisions)
            self._fill_spare_pools(ticket, now, decisions)
            self._enforce_queue_limits(ticket, now, decisions)
        else:
            self._refuse(ticket, "service-unknown", 0.0, decisions)

    def _refresh_shares(self) -> FairShares:
        """Return the current shares; requeue tickets of teams that no longer have a share."""
        view = self._view()
        if view is not self._shares.view:
            self._shares = FairShares(view)
            for ticket in self._waiting_tickets():
                team = self._shares.accounted_team(ticket.team)
                if team != ticket.team:
                    self._remove_from_queue(ticket)
                    ticket.team = team
                    self._add_to_queue(ticket)
        return self._shares

    def _waiting_tickets(self) -> list[Ticket]:
        queues = chain.from_iterable(team_queues.values() for team_queues in self._queues.values())
        return list(chain.from_iterable(queues))

    def _add_to_queue(self, ticket: Ticket) -> None:
        team_queues = self._queues.setdefault(ticket.service, {})
        team_queues.setdefault(ticket.team, TicketQueue()).add(ticket)
        self._waiting[ticket.service] += 1

    def _dequeue_as(self, ticket: Ticket, state: TicketState) -> None:
        ticket.transition(state)
        self._remove_from_queue(ticket)

    def _remove_from_queue(self, ticket: Ticket) -> None:
        team_queues = self._queues[ticket.service]
        team_queues[ticket.team].remove(ticket)
        if not team_queues[ticket.team]:
            del team_queues[ticket.team]
        self._waiting[ticket.service] -= 1
        if not self._waiting[ticket.service]:
            del self._waiting[ticket.service]
        if self._waiting[ticket.service] != sum(map(len, team_queues.values())):
            raise InvariantError(f"waiting count of service {ticket.service} differs from queues")

    def _refuse(self, ticket: Ticket, code: str, wait_s: float, decisions: Decisions) -> None:
        self._dequeue_as(ticket, TicketState.REFUSED)
        status = 504 if code == "deadline-passed" else 503
        retry_after_s = max(1, math.ceil(wait_s))
        decisions.append((ticket, Refusal(code, Outcome.NOT_RUN, status, "", retry_after_s)))

    def _fill_pools(self, now: float, decisions: Decisions) -> None:
        """Grant free slots in all pools that waiting tickets may use, the least used pool first."""
        services = self._shares.view.services
        if not self._waiting.keys() <= services.keys():
            for ticket in self._waiting_tickets():
                if ticket.service not in services:
                    self._refuse(ticket, "service-unknown", 0.0, decisions)
        pools = {services[name].pool for name, count in self._waiting.items() if count}
        for pool in sorted(pools, key=lambda name: (self._granted.by_pool[name], name)):
            self._fill_pool(pool, now, decisions)
        if any(self._waiting[name] for name in self._shares.overflow_services):
            for pool in self._shares.spare_pools:
                self._fill_pool(pool, now, decisions)

    def _fill_spare_pools(self, ticket: Ticket, now: float, decisions: Decisions) -> None:
        if ticket.state is TicketState.WAITING and ticket.service in self._shares.overflow_services:
            for pool in self._shares.spare_pools:
                self._fill_pool(pool, now, decisions)

    def _fill_pool(self, pool: str, now: float, decisions: Decisions) -> None:
        capacity = self._capacity.capacity(self._shares.view, pool)
        while self._granted.by_pool[pool] < capacity and self._has_free_thread(pool):
            ticket = self._next_ticket(pool, capacity, now)
            if ticket is None:
                return
            if self._would_miss_deadline(ticket, now):
                self._refuse(ticket, "deadline-unreachable", 0.0, decisions)
            else:
                self._remove_from_queue(ticket)
                self._grant(ticket, pool, capacity, now, decisions)

    def _grant(
        self, ticket: Ticket, pool: str, capacity: int, now: float, decisions: Decisions
    ) -> None:
        ticket.transition(TicketState.GRANTED)
        ticket.pool, ticket.started_at = pool, now
        self._granted.add(ticket)
        if self._granted.by_pool[pool] > capacity or self._granted.total > self._limits.max_threads:
            raise InvariantError(f"{pool} exceeds its {capacity} slots or the thread limit")
        decisions.append((ticket, None))

    def _has_free_thread(self, pool: str) -> bool:
        """Check whether a thread is free beyond those reserved for the other pools."""
        threads = self._limits.max_threads - REFUSAL_THREADS
        pools = self._shares.services_by_pool
        per_pool = min(RESERVED_THREADS_PER_POOL, threads // (2 * max(1, len(pools))))
        reserved = sum(
            max(0, per_pool - self._granted.by_pool[name]) for name in pools if name != pool
        )
        return self._granted.total < threads - reserved

    def _next_ticket(self, pool: str, capacity: int, now: float) -> Ticket | None:
        """Return the next ticket to grant in a pool, or one that would miss its deadline."""
        free = capacity - self._granted.by_pool[pool]
        for ticket in self._tickets_by_usage(pool, self._shares.services_by_pool.get(pool, ())):
            if not self._is_long_running(ticket, pool) or self._would_miss_deadline(ticket, now):
                return ticket
            if free > self._shares.reserved_slots(self._granted, capacity, ticket):
                return ticket
        if pool not in self._shares.spare_pools:
            return None
        if free <= self._shares.unused_guarantee(self._granted, pool, capacity):
            return None
        waiting_services = (name for name in self._shares.overflow_services if self._waiting[name])
        full_pool_services = [
            name for name in waiting_services if self._is_own_pool_full(name, pool)
        ]
        return next(self._tickets_by_usage(pool, full_pool_services), None)

    def _is_own_pool_full(self, service: str, spare_pool: str) -> bool:
        """Check whether the service's own pool, other than the spare pool, has no free slot."""
        pool = self._shares.view.services[service].pool
        in_use = self._granted.by_pool[pool]
        return pool != spare_pool and in_use >= self._capacity.capacity(self._shares.view, pool)

    def _tickets_by_usage(
        self, pool: str, services: tuple[str, ...] | list[str]
    ) -> Iterator[Ticket]:
        """Yield the first tickets of each queue, ordered by least usage relative to its share."""
        granted, shares = self._granted, self._shares

        def service_usage(service: str) -> float:
            return (granted.by_service[pool, service] + 1) / shares.service_weight(service)

        for service in sorted(
            (name for name in services if self._waiting[name]), key=service_usage
        ):
            team_queues = self._queues[service]

            def team_usage(team: str, service: str = service) -> float:
                return (granted.by_team[pool, service, team] + 1) / shares.team_shares.get(
                    team, 1.0
                )

            for team in sorted(team_queues, key=team_usage):
                yield from team_queues[team].first_of_each_urgency()

    def _is_long_running(self, ticket: Ticket, pool: str) -> bool:
        """Check whether requests of this class run long, or have never been measured."""
        estimate = self._estimates[_work_class(ticket)]
        return not estimate.samples or estimate.mean_s > self._shares.long_running_threshold_s[pool]

    def _would_miss_deadline(self, ticket: Ticket, now: float) -> bool:
        """Check whether the deadline would be missed on a start now.

        The estimate counts only while the team has a granted slot: only granted requests update
        it, so a high estimate could otherwise refuse every request of an idle team.
        """
        remaining_s = ticket.deadline - now
        key = (self._own_pool(ticket), ticket.service, ticket.team)
        running = self._granted.by_team[key] > 0
        return remaining_s <= 0 or (
            running and self._estimates[_work_class(ticket)].upper_estimate_s > remaining_s
        )

    def _own_pool(self, ticket: Ticket) -> str:
        return self._shares.view.services[ticket.service].pool

    def _enforce_queue_limits(self, ticket: Ticket, now: float, decisions: Decisions) -> None:
        """Refuse a ticket that would be late; refuse the last ticket of a full queue."""
        if ticket.state is not TicketState.WAITING:
            return
        wait_s = self._estimated_wait_s(ticket)
        upper_estimate_s = self._estimates[_work_class(ticket)].upper_estimate_s
        if now + wait_s + upper_estimate_s > ticket.deadline:
            self._refuse(ticket, "deadline-unreachable", wait_s, decisions)
        elif self._waiting[ticket.service] > self._limits.max_waiting_per_service:
            self._refuse(
                self._most_backlogged_queue(ticket.service).last(), "queue-full", wait_s, decisions
            )

    def _most_backlogged_queue(self, service: str) -> TicketQueue:
        """Return the queue of the service with the most tickets relative to its team's share."""
        team_queues, team_shares = self._queues[service], self._shares.team_shares
        return team_queues[
            max(team_queues, key=lambda team: len(team_queues[team]) / team_shares.get(team, 1.0))
        ]

    def _estimated_wait_s(self, ticket: Ticket) -> float:
        """Estimate how long a ticket will wait, in seconds."""
        queue = self._queues[ticket.service][ticket.team]
        work_s = sum(
            count * self._estimates[ticket.service, ticket.team, urgency].mean_s
            for urgency, count in queue.counts_ahead(ticket)
        )
        pool = self._own_pool(ticket)
        slots = self._capacity.expected_capacity(self._shares.view, pool) * self._pool_fraction(
            ticket, pool
        )
        slots += sum(
            self._granted.by_service[spare_pool, ticket.service]
            for spare_pool in self._shares.spare_pools
            if spare_pool != pool
        )
        return work_s / max(MIN_ESTIMATED_SLOTS, slots)

    def _pool_fraction(self, ticket: Ticket, pool: str) -> float:
        """Return the fraction of the pool that the ticket's service and team currently get."""
        granted, shares = self._granted, self._shares
        active_services = [
            name
            for name in shares.services_by_pool[pool]
            if self._waiting[name] or granted.by_service[pool, name]
        ]
        fraction = shares.service_weight(ticket.service) / sum(
            shares.service_weight(name) for name in active_services
        )
        team_queues = self._queues[ticket.service]
        active_team_shares = [
            share
            for name, share in shares.team_shares.items()
            if name in team_queues or granted.by_team[pool, ticket.service, name]
        ]
        return fraction * shares.team_shares[ticket.team] / sum(active_team_shares)


def _work_class(ticket: Ticket) -> WorkClass:
    return ticket.service, ticket.team, ticket.urgency


def _notify(decisions: Decisions) -> None:
    for ticket, refusal in decisions:
        ticket.on_decided(ticket, refusal)
