"""Count the slots that pools, services and teams use."""

from collections import Counter

from gypsumplank.errors import InvariantError
from gypsumplank.protocol.ticket import Ticket


class Ledger:
    """Hold the counts of what this daemon has granted and not yet got back."""

    def __init__(self) -> None:
        self.total = 0
        self.by_pool: Counter[str] = Counter()
        self.by_service: Counter[tuple[str, str]] = Counter()
        self.by_team: Counter[tuple[str, str, str]] = Counter()

    def take(self, ticket: Ticket) -> None:
        """Count a grant."""
        self._change(ticket, 1)

    def give(self, ticket: Ticket) -> None:
        """Count a grant no more; raise InvariantError where there was none."""
        if self.by_team[_team_key(ticket)] <= 0:
            raise InvariantError(f"{ticket.service} gives back more slots than it took")
        self._change(ticket, -1)

    def _change(self, ticket: Ticket, step: int) -> None:
        self.total += step
        self.by_pool[ticket.pool] += step
        self.by_service[ticket.pool, ticket.service] += step
        self.by_team[_team_key(ticket)] += step


def _team_key(ticket: Ticket) -> tuple[str, str, str]:
    return ticket.pool, ticket.service, ticket.team
