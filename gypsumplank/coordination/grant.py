"""Count the granted slots of each pool, service and team."""

from collections import Counter

from gypsumplank.errors import InvariantError
from gypsumplank.protocol.ticket import Ticket


class GrantedSlots:
    """Count the slots that this daemon has granted and that are not released yet."""

    def __init__(self) -> None:
        self.total = 0
        self.by_pool: Counter[str] = Counter()
        self.by_service: Counter[tuple[str, str]] = Counter()
        self.by_team: Counter[tuple[str, str, str]] = Counter()

    def add(self, ticket: Ticket) -> None:
        """Add a granted ticket to the counts."""
        self._adjust(ticket, 1)

    def remove(self, ticket: Ticket) -> None:
        """Subtract a released ticket; raise InvariantError if it was not granted."""
        if self.by_team[_team_key(ticket)] <= 0:
            raise InvariantError(f"{ticket.service} released a slot that was not granted")
        self._adjust(ticket, -1)

    def _adjust(self, ticket: Ticket, delta: int) -> None:
        self.total += delta
        self.by_pool[ticket.pool] += delta
        self.by_service[ticket.pool, ticket.service] += delta
        self.by_team[_team_key(ticket)] += delta


def _team_key(ticket: Ticket) -> tuple[str, str, str]:
    return ticket.pool, ticket.service, ticket.team
