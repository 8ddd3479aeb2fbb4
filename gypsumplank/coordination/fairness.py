"""Compute fair shares of services and teams, and the slots reserved for guarantees."""

import math
from collections import defaultdict
from collections.abc import Mapping
from functools import cached_property

from gypsumplank.coordination.grant import GrantedSlots
from gypsumplank.protocol.ticket import Ticket
from gypsumplank.state.view import View

# Minimum weight of a service, and of all teams without a share together.
MIN_WEIGHT = 0.05
# Key under which all teams without a share of their own are counted.
OTHER_TEAMS = ""
# Work is long-running above this fraction of the shortest service timeout of its pool.
LONG_RUNNING_TIMEOUT_FRACTION = 0.1
# Fraction of unused guarantees that long-running work must leave free for others.
LONG_RUNNING_RESERVE_FRACTION = 0.5
MS_PER_S = 1000


class FairShares:
    """Provide the shares configured in one view."""

    def __init__(self, view: View) -> None:
        self.view = view

    @cached_property
    def services_by_pool(self) -> Mapping[str, tuple[str, ...]]:
        """Return the names of the services of each pool."""
        names_by_pool: dict[str, list[str]] = defaultdict(list)
        for name, spec in self.view.services.items():
            names_by_pool[spec.pool].append(name)
        return {pool: tuple(names) for pool, names in names_by_pool.items()}

    @cached_property
    def spare_pools(self) -> tuple[str, ...]:
        """Return the pools that accept overflow."""
        return tuple(name for name, spec in self.view.pools.items() if spec.spare)

    @cached_property
    def overflow_services(self) -> tuple[str, ...]:
        """Return the services that may use a spare pool."""
        return tuple(name for name, spec in self.view.services.items() if spec.overflow)

    @cached_property
    def long_running_threshold_s(self) -> Mapping[str, float]:
        """Return the duration in seconds above which a pool's requests are long-running."""
        return {
            pool: LONG_RUNNING_TIMEOUT_FRACTION
            * min(self.view.services[name].timeout_ms for name in names)
            / MS_PER_S
            for pool, names in self.services_by_pool.items()
        }

    @cached_property
    def team_shares(self) -> Mapping[str, float]:
        """Return the share of each team that has one, and of all other teams together."""
        named = {name: spec.share for name, spec in self.view.teams.items() if spec.share > 0}
        return {**named, OTHER_TEAMS: max(MIN_WEIGHT, 1 - sum(named.values()))}

    def accounted_team(self, name: str) -> str:
        """Return the name under which a team's requests are counted."""
        return name if name in self.team_shares else OTHER_TEAMS

    def service_weight(self, service: str) -> float:
        """Return the service's weight among the services of its pool."""
        return max(MIN_WEIGHT, self.view.services[service].share)

    def unused_guarantee(
        self, granted: GrantedSlots, pool: str, capacity: int, excluding: str = ""
    ) -> float:
        """Return the unused slots guaranteed to the pool's services, except one if named."""
        return sum(
            max(0.0, self._guaranteed_slots(name, capacity) - granted.by_service[pool, name])
            for name in self.services_by_pool.get(pool, ())
            if name != excluding
        )

    def reserved_slots(self, granted: GrantedSlots, capacity: int, ticket: Ticket) -> int:
        """Return the slots that a long-running ticket must leave free in its own pool."""
        pool, service = self.view.services[ticket.service].pool, ticket.service
        unused = 0.0
        if granted.by_service[pool, service] >= max(1.0, self._guaranteed_slots(service, capacity)):
            unused += self.unused_guarantee(granted, pool, capacity, service)
        if len(self.team_shares) > 1:
            unused += self._unused_team_guarantee(granted, pool, capacity, ticket)
        return math.ceil(LONG_RUNNING_RESERVE_FRACTION * unused)

    def _unused_team_guarantee(
        self, granted: GrantedSlots, pool: str, capacity: int, ticket: Ticket
    ) -> float:
        others = sum(
            self._guaranteed_slots(name, capacity)
            for name in self.services_by_pool[pool]
            if name != ticket.service
        )
        available = max(0.0, capacity - others)
        granted_by_team = granted.by_team
        if granted_by_team[pool, ticket.service, ticket.team] < max(
            1.0, self.team_shares[ticket.team] * available
        ):
            return 0.0
        return sum(
            max(0.0, share * available - granted_by_team[pool, ticket.service, name])
            for name, share in self.team_shares.items()
            if name != ticket.team
        )

    def _guaranteed_slots(self, service: str, capacity: int) -> float:
        return self.view.services[service].share * capacity
