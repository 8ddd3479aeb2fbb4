"""Queue the tickets of one service and team by urgency, then by deadline."""

from bisect import bisect_left, insort
from collections.abc import Iterator

from gypsumplank.protocol.ticket import Ticket

QueueEntry = tuple[float, int, Ticket]


class TicketQueue:
    """Order waiting tickets by urgency, then deadline, then arrival."""

    def __init__(self) -> None:
        self._queues: dict[int, list[QueueEntry]] = {}
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def add(self, ticket: Ticket) -> None:
        """Insert a ticket."""
        insort(self._queues.setdefault(ticket.urgency, []), _queue_entry(ticket))
        self._length += 1

    def remove(self, ticket: Ticket) -> None:
        """Remove a ticket that is in the queue."""
        queue = self._queues[ticket.urgency]
        del queue[bisect_left(queue, _queue_entry(ticket))]
        self._length -= 1
        if not queue:
            del self._queues[ticket.urgency]

    def first_of_each_urgency(self) -> Iterator[Ticket]:
        """Yield the first ticket of each urgency, the most urgent first."""
        for urgency in sorted(self._queues):
            yield self._queues[urgency][0][2]

    def last(self) -> Ticket:
        """Return the last ticket in order."""
        return self._queues[max(self._queues)][-1][2]

    def counts_ahead(self, ticket: Ticket) -> Iterator[tuple[int, int]]:
        """Yield each urgency with the number of its tickets that come before this one."""
        for urgency, queue in self._queues.items():
            if urgency < ticket.urgency:
                yield urgency, len(queue)
            elif urgency == ticket.urgency:
                yield urgency, bisect_left(queue, _queue_entry(ticket))

    def __iter__(self) -> Iterator[Ticket]:
        return (ticket for queue in self._queues.values() for _, _, ticket in queue)


def _queue_entry(ticket: Ticket) -> QueueEntry:
    return ticket.deadline, ticket.number, ticket
