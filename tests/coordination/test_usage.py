import pytest

from gypsumplank.coordination import move
from gypsumplank.coordination.endpoint import MemoryEndpointClient
from gypsumplank.coordination.usage import HostUsage
from gypsumplank.errors import EndpointConnectError, EndpointLeavingError, EndpointResetError
from gypsumplank.protocol.exchange import Answer, Request
from gypsumplank.protocol.spec import AssignmentSpec, AssignmentState
from gypsumplank.state.view import build_view
from standins.fleet import address_of, pool_records

RECORDS = (*pool_records("a", 2), *pool_records("b", 1))
A0, A1 = address_of("a", 0), address_of("a", 1)
OK = Answer(200, (), b"ok")
REQ = Request("r", "a", "POST", "/", 10.0)


def view_with(revision, *states):
    records = [
        move.assignment_record("a-0", AssignmentSpec(pool, state, epoch=epoch))
        for epoch, (pool, state) in enumerate(states, 1)
    ]
    return build_view(revision, (*RECORDS, *records[-1:]))


class World:
    def __init__(self, answer=lambda address, req: OK):
        self.view = view_with(1)
        self.cut_off = False
        self.evidence = []
        self.client = MemoryEndpointClient(answer)
        self.usage = HostUsage(
            self.client,
            lambda: self.view,
            lambda: self.cut_off,
            lambda host, answered: self.evidence.append((host, answered)),
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
    world = World()
    assert world.usage.send(A0, REQ, 1.0) == OK
    world.view = view_with(2, *states)
    with pytest.raises(EndpointLeavingError):
        world.usage.send(A0, REQ, 1.0)
    assert len(world.client.sent) == 1
    assert world.usage.send(A1, REQ, 1.0) == OK


def test_isolated_daemon_and_unknown_address_send_nothing():
    world = World()
    with pytest.raises(EndpointLeavingError):
        world.usage.send("10.9.9.9:80", REQ, 1.0)
    world.cut_off = True
    with pytest.raises(EndpointLeavingError):
        world.usage.send(A0, REQ, 1.0)
    assert world.client.sent == []


def test_request_in_flight_is_told_once_its_host_leaves():
    seen = []

    def answer(address, req):
        seen.append(dict(world.usage.leaving()))
        world.view = view_with(2, ("a", AssignmentState.DRAINING))
        seen.append(dict(world.usage.leaving()))
        return OK

    world = World(answer)
    world.usage.send(A0, REQ, 1.0)
    assert seen == [{}, {"a-0": 1}]
    assert world.usage.leaving() == {}


@pytest.mark.parametrize(
    ("error", "evidence"),
    [(None, [("a-0", True)]), (EndpointConnectError, [("a-0", False)]), (EndpointResetError, [])],
)
def test_evidence_of_traffic(error, evidence):
    def answer(address, req):
        if error:
            raise error
        return OK

    world = World(answer)
    if error:
        with pytest.raises(error):
            world.usage.send(A0, REQ, 1.0)
    else:
        world.usage.send(A0, REQ, 1.0)
    assert world.evidence == evidence
    assert world.usage.leaving() == {}
