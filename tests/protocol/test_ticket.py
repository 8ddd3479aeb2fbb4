import itertools

import pytest

from gypsumplank.errors import InvariantError
from gypsumplank.protocol.ticket import NEXT_STATES, Ticket, TicketState


@pytest.mark.parametrize(("one", "other"), list(itertools.product(TicketState, repeat=2)))
def test_only_listed_moves(one, other):
    ticket = Ticket("quotes", "", 3, 0.0, 1.0, lambda ticket, refusal: None, one)
    if other in NEXT_STATES.get(one, ()):
        ticket.move(other)
        assert ticket.state is other
    else:
        with pytest.raises(InvariantError):
            ticket.move(other)
