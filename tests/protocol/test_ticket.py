import itertools

import pytest

from gypsumplank.errors import InvariantError
from gypsumplank.protocol.ticket import ALLOWED_TRANSITIONS, Ticket, TicketState


@pytest.mark.parametrize(("old_state", "new_state"), list(itertools.product(TicketState, repeat=2)))
def test_only_listed_transitions_are_allowed(old_state, new_state):
    ticket = Ticket("quotes", "", 3, 0.0, 1.0, lambda ticket, refusal: None, old_state)
    if new_state in ALLOWED_TRANSITIONS.get(old_state, ()):
        ticket.transition(new_state)
        assert ticket.state is new_state
    else:
        with pytest.raises(InvariantError):
            ticket.transition(new_state)
