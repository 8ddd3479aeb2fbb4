"""Weigh services and teams by their shares and keep what is guaranteed to others."""

import math
from collections import defaultdict
from collections.abc import Mapping
from functools import cached_property

from gypsumplank.coordination.ledger import Ledger
from gypsumplank.protocol.ticket import Ticket
from gypsumplank.state.view import View

MIN_WEIGHT = 0.05
UNNAMED_TEAM = ""
LONG_SHARE_OF_TIMEOUT = 0.1
LONG_WORK_RESERVE = 0.5
MS_PER_S = 1000


class Shares:
    """Hold the shares that one view gives."""

    def __init__(self, view: View) -> None:
        self.view = view

    @cached_property
    def services(self) -> Mapping[str, tuple[str, ...]]:
        """Return the services of each pool."""
        found: dict[str, list[str]] = defaultdict(list)
        for name, spec in self.view.services.items():
            found[spec.pool].append(name)
        return {pool: tuple(names) for pool, names in found.items()}

    @cached_property
    def spare_pools(self) -> tuple[str, ...]:
        """Return the pools that take overflow."""
        return tuple(name for name, spec in self.view.pools.items() if spec.spare)

    @cached_property
    def overflowing(self) -> tuple[str, ...]:
        """Return the services that may use a spare pool."""
        return tuple(name for name, spec in self.view.services.items() if spec.overflow)

    @cached_property
    def long_s(self) -> Mapping[str, float]:
        """Return for each pool the duration in seconds above which work is long."""
        return {
            pool: LONG_SHARE_OF_TIMEOUT
            * min(self.view.services[name].timeout_ms for name in names)
            / MS_PER_S
            for pool, names in self.services.items()
        }

    @cached_property
    def teams(self) -> Mapping[str, float]:
        """Return the share of each team that has one, and of all others together."""
        named = {name: spec.share for name, spec in self.view.teams.items() if spec.share > 0}
        return {**named, UNNAMED_TEAM: max(MIN_WEIGHT, 1 - sum(named.values()))}

    def team(self, name: str) -> str:
        """Return the name under which a team's work is counted."""
        return name if name in self.teams else UNNAMED_TEAM

    def weight(self, service: str) -> float:
        """Return a service's weight among the services of its pool."""
        return max(MIN_WEIGHT, self.view.services[service].share)

    def owed(self, ledger: Ledger, pool: str, capacity: int, but: str = "") -> float:
        """Return the slots guaranteed to the pool's services, but one, that they do not use."""
        return sum(
            max(0.0, self._guarantee(name, capacity) - ledger.by_service[pool, name])
            for name in self.services.get(pool, ())
            if name != but
        )

    def reserve(self, ledger: Ledger, capacity: int, ticket: Ticket) -> int:
        """Return the slots that long work must leave free in its own pool."""
        pool, service = self.view.services[ticket.service].pool, ticket.service
        owed = 0.0
        if ledger.by_service[pool, service] >= max(1.0, self._guarantee(service, capacity)):
            owed += self.owed(ledger, pool, capacity, service)
        if len(self.teams) > 1:
            owed += self._owed_to_teams(ledger, pool, capacity, ticket)
        return math.ceil(LONG_WORK_RESERVE * owed)

    def _owed_to_teams(self, ledger: Ledger, pool: str, capacity: int, ticket: Ticket) -> float:
        others = sum(
            self._guarantee(name, capacity)
            for name in self.services[pool]
            if name != ticket.service
        )
        room = max(0.0, capacity - others)
        used = ledger.by_team
        if used[pool, ticket.service, ticket.team] < max(1.0, self.teams[ticket.team] * room):
            return 0.0
        return sum(
            max(0.0, share * room - used[pool, ticket.service, name])
            for name, share in self.teams.items()
            if name != ticket.team
        )

    def _guarantee(self, service: str, capacity: int) -> float:
        return self.view.services[service].share * capacity
