import pytest

from gypsumplank.coordination import assignment
from gypsumplank.coordination.endpoint import MemoryEndpointClient
from gypsumplank.coordination.usage import ServingHostClient
from gypsumplank.errors import EndpointConnectError, EndpointLeavingError, EndpointResetError
from gypsumplank.protocol.exchange import EndpointResponse, Request
from gypsumplank.protocol.spec import AssignmentSpec, AssignmentState
from gypsumplank.state.view import build_view
from standins.fleet import address_of, pool_records

RECORDS = (*pool_records("a", 2), *pool_records("b", 1))
A0, A1 = address_of("a", 0), address_of("a", 1)
OK = EndpointResponse(200, (), b"ok")
REQ = Request("r", "a", "POST", "/", 10.0)


def make_view(revision, *states):
    records = [
        assignment.assignment_record("a-0", AssignmentSpec(pool, state, epoch=epoch))
        for epoch, (pool, state) in enumerate(states, 1)
    ]
    return build_view(revision, (*RECORDS, *records[-1:]))


class UsageHarness:
    def __init__(self, answer=lambda address, req: OK):
        self.view = make_view(1)
        self.isolated = False
        self.observations = []
        self.client = MemoryEndpointClient(answer)
        self.usage = ServingHostClient(
            self.client,
            lambda: self.view,
            lambda: self.isolated,
            lambda host, answered: self.observations.append((host, answered)),
        )


@pytest.mark.parametrize(
    "states",
    [
        [("a", AssignmentState.DRAINING)],
        [("a", AssignmentState.OUT)],
        [("a", AssignmentState.FAILED)],
        [("a", AssignmentState.DRAINING), ("b", AssignmentState.SERVING)],
    ],
)
def test_nothing_is_sent_to_a_host_that_left_the_pool(states):
    harness = UsageHarness()
    assert harness.usage.send(A0, REQ, 1.0) == OK
    harness.view = make_view(2, *states)
    with pytest.raises(EndpointLeavingError):
        harness.usage.send(A0, REQ, 1.0)
    assert len(harness.client.sent) == 1
    assert harness.usage.send(A1, REQ, 1.0) == OK


def test_isolated_daemon_and_unknown_address_send_nothing():
    harness = UsageHarness()
    with pytest.raises(EndpointLeavingError):
        harness.usage.send("10.9.9.9:80", REQ, 1.0)
    harness.isolated = True
    with pytest.raises(EndpointLeavingError):
        harness.usage.send(A0, REQ, 1.0)
    assert harness.client.sent == []


def test_request_in_flight_is_reported_once_its_host_leaves():
    seen = []

    def answer(address, req):
        seen.append(dict(harness.usage.in_flight_at_leaving_hosts()))
        harness.view = make_view(2, ("a", AssignmentState.DRAINING))
        seen.append(dict(harness.usage.in_flight_at_leaving_hosts()))
        return OK

    harness = UsageHarness(answer)
    harness.usage.send(A0, REQ, 1.0)
    assert seen == [{}, {"a-0": 1}]
    assert harness.usage.in_flight_at_leaving_hosts() == {}


@pytest.mark.parametrize(
    ("error", "observations"),
    [(None, [("a-0", True)]), (EndpointConnectError, [("a-0", False)]), (EndpointResetError, [])],
)
def test_connection_results_are_reported(error, observations):
    def answer(address, req):
        if error:
            raise error
        return OK

    harness = UsageHarness(answer)
    if error:
        with pytest.raises(error):
            harness.usage.send(A0, REQ, 1.0)
    else:
        harness.usage.send(A0, REQ, 1.0)
    assert harness.observations == observations
    assert harness.usage.in_flight_at_leaving_hosts() == {}
