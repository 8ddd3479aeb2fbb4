"""Queue the tickets of one service and team by urgency, then by deadline."""

from bisect import bisect_left, insort
from collections.abc import Iterator

from gypsumplank.protocol.ticket import Ticket

Entry = tuple[float, int, Ticket]


class Flow:
    """Hold what waits, in the order in which it is to start."""

    def __init__(self) -> None:
        self._queues: dict[int, list[Entry]] = {}
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def add(self, ticket: Ticket) -> None:
        """Put a ticket in its place."""
        insort(self._queues.setdefault(ticket.urgency, []), _entry(ticket))
        self._length += 1

    def remove(self, ticket: Ticket) -> None:
        """Take a ticket out that waits here."""
        queue = self._queues[ticket.urgency]
        del queue[bisect_left(queue, _entry(ticket))]
        self._length -= 1
        if not queue:
            del self._queues[ticket.urgency]

    def heads(self) -> Iterator[Ticket]:
        """Yield the first ticket of each urgency, the most urgent first."""
        for urgency in sorted(self._queues):
            yield self._queues[urgency][0][2]

    def last(self) -> Ticket:
        """Return the ticket that would start last."""
        return self._queues[max(self._queues)][-1][2]

    def ahead(self, ticket: Ticket) -> Iterator[tuple[int, int]]:
        """Yield each urgency and how many of it would start before this ticket."""
        for urgency, queue in self._queues.items():
            if urgency < ticket.urgency:
                yield urgency, len(queue)
            elif urgency == ticket.urgency:
                yield urgency, bisect_left(queue, _entry(ticket))

    def __iter__(self) -> Iterator[Ticket]:
        return (ticket for queue in self._queues.values() for _, _, ticket in queue)


def _entry(ticket: Ticket) -> Entry:
    return ticket.deadline, ticket.number, ticket
