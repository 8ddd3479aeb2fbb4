import pytest

from gypsumplank.errors import CallError, MachineError
from gypsumplank.platform.client import Response
from gypsumplank.platform.machine import HttpMachines


class FailingClient:
    def __init__(self, outcome):
        self.outcome = outcome

    def call(self, method, path, body=None, headers=None):
        if isinstance(self.outcome, CallError):
            raise self.outcome
        return Response(self.outcome, {"reason": "busy"}, {})


@pytest.mark.parametrize(
    ("outcome", "may_be_executed"),
    [
        (CallError("reset", sent=True), True),
        (CallError("connection refused", sent=False), False),
        (503, True),
        (400, False),
        (409, False),
        (429, False),
    ],
)
def test_order_without_an_answer_may_be_executed_and_a_refused_one_may_not(
    outcome, may_be_executed
):
    with pytest.raises(MachineError) as caught:
        HttpMachines(FailingClient(outcome)).start_maintenance("m-1", 1, "entry-0", 12)
    assert caught.value.may_be_executed is may_be_executed
