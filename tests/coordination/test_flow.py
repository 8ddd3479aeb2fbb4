from hypothesis import given
from hypothesis import strategies as st

from gypsumplank.coordination.flow import Flow
from gypsumplank.protocol.ticket import Ticket


def ticket(number, urgency, deadline):
    made = Ticket("quotes", "", urgency, 0.0, deadline, lambda ticket, refusal: None)
    made.number = number
    return made


@given(st.lists(st.tuples(st.integers(0, 7), st.floats(0, 9))), st.randoms(use_true_random=False))
def test_order_is_urgency_then_deadline_after_any_removal(kinds, rng):
    held = [ticket(number, *kind) for number, kind in enumerate(kinds)]
    flow = Flow()
    for one in held:
        flow.add(one)
    for one in rng.sample(held, len(held) // 2):
        flow.remove(one)
        held.remove(one)
    assert len(flow) == len(held)
    order = sorted(held, key=lambda one: (one.urgency, one.deadline, one.number))
    if order:
        assert flow.last() is order[-1]
    for place, expected in enumerate(order):
        assert next(flow.heads()) is expected
        assert sum(count for _, count in flow.ahead(order[-1])) == len(order) - 1 - place
        flow.remove(expected)
