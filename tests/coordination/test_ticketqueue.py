from hypothesis import given
from hypothesis import strategies as st

from gypsumplank.coordination.ticketqueue import TicketQueue
from gypsumplank.protocol.ticket import Ticket


def make_ticket(number, urgency, deadline):
    ticket = Ticket("quotes", "", urgency, 0.0, deadline, lambda ticket, refusal: None)
    ticket.number = number
    return ticket


@given(st.lists(st.tuples(st.integers(0, 7), st.floats(0, 9))), st.randoms(use_true_random=False))
def test_order_is_urgency_then_deadline_after_any_removal(kinds, rng):
    tickets = [make_ticket(number, *kind) for number, kind in enumerate(kinds)]
    queue = TicketQueue()
    for ticket in tickets:
        queue.add(ticket)
    for ticket in rng.sample(tickets, len(tickets) // 2):
        queue.remove(ticket)
        tickets.remove(ticket)
    assert len(queue) == len(tickets)
    order = sorted(tickets, key=lambda ticket: (ticket.urgency, ticket.deadline, ticket.number))
    if order:
        assert queue.last() is order[-1]
    for position, expected in enumerate(order):
        assert next(queue.first_of_each_urgency()) is expected
        assert sum(count for _, count in queue.counts_ahead(order[-1])) == len(order) - 1 - position
        queue.remove(expected)
