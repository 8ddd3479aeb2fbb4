import pytest

from gypsumplank.coordination import assignment
from gypsumplank.coordination.flood import is_flooded
from gypsumplank.protocol.spec import AssignmentSpec, AssignmentState
from gypsumplank.state.view import build_view
from standins.fleet import pool_records


@pytest.mark.parametrize(("demand", "flooded"), [({}, False), ({"a": 8}, False), ({"a": 9}, True)])
def test_pool_is_flooded_when_demand_exceeds_its_serving_slots(demand, flooded):
    out = assignment.assignment_record("a-0", AssignmentSpec("a", AssignmentState.OUT))
    view = build_view(1, (*pool_records("a", 2), out))
    assert is_flooded(view, "a", demand) is flooded
