"""Test every implementation of the agent interface against one contract."""

import threading
import time

import pytest

from gypsumplank.coordination.agent import MemoryAgents
from gypsumplank.errors import AgentError, AgentFencedError
from gypsumplank.protocol.task import AgentState, RenewalRequest, StartRequest, TaskDefinition
from gypsumplank.state.clock import SystemClock
from gypsumplank.transport.agent import HttpAgents
from standins.agent import make_agent

LONG_S = 60.0
UNREACHABLE_ADDRESS = "127.0.0.1:1"


@pytest.fixture(params=["memory", "http"])
def agents_and_address(request):
    if request.param == "memory":
        agents = MemoryAgents(SystemClock())
        agents.unreachable.add(UNREACHABLE_ADDRESS)
        yield agents, "one"
        return
    server, standin = make_agent("127.0.0.1:0")
    thread = threading.Thread(target=server.serve_forever, kwargs={"poll_interval": 0.01})
    thread.start()
    agents = HttpAgents(5.0)
    yield agents, f"127.0.0.1:{server.server_address[1]}"
    agents.close()
    server.shutdown()
    server.server_close()
    standin.close()


def start(token=1, lease_s=LONG_S, name="t1"):
    return StartRequest(name, token, lease_s, TaskDefinition("s", payload=str(LONG_S)))


def reports(agents, address, tokens=None, settled=None):
    found = agents.renew(address, RenewalRequest(LONG_S, tokens or {}, settled or {}))
    return {report.id: (report.token, report.state) for report in found}


def test_start_is_idempotent(agents_and_address):
    agents, address = agents_and_address
    agents.start(address, start())
    agents.start(address, start())
    assert reports(agents, address) == {"t1": (1, AgentState.RUNNING)}


def test_older_token_is_fenced(agents_and_address):
    agents, address = agents_and_address
    agents.start(address, start(token=2))
    with pytest.raises(AgentFencedError):
        agents.start(address, start(token=1))
    assert reports(agents, address) == {"t1": (2, AgentState.RUNNING)}


def test_settled_attempt_is_deleted_and_never_restarts(agents_and_address):
    agents, address = agents_and_address
    agents.start(address, start())
    assert reports(agents, address, settled={"t1": 1}) == {}
    with pytest.raises(AgentFencedError):
        agents.start(address, start())
    agents.start(address, start(token=2))
    assert reports(agents, address) == {"t1": (2, AgentState.RUNNING)}


def test_unrenewed_lease_stops_the_attempt(agents_and_address):
    agents, address = agents_and_address
    agents.start(address, start(lease_s=0.05))
    agents.start(address, start(lease_s=0.05, name="kept"))
    reports(agents, address, tokens={"kept": 1})
    deadline = time.monotonic() + 20
    while reports(agents, address)["t1"][1] is AgentState.RUNNING:
        assert time.monotonic() < deadline
    assert reports(agents, address)["kept"] == (1, AgentState.RUNNING)


@pytest.mark.parametrize(
    ("call", "state"),
    [("checkpoint", AgentState.CHECKPOINTED), ("stop", AgentState.STOPPED)],
)
def test_attempt_is_ended_only_with_its_token(agents_and_address, call, state):
    agents, address = agents_and_address
    agents.start(address, start(token=2))
    getattr(agents, call)(address, "t1", 1)
    assert reports(agents, address) == {"t1": (2, AgentState.RUNNING)}
    getattr(agents, call)(address, "t1", 2)
    assert reports(agents, address) == {"t1": (2, state)}


def test_throttled_attempt_is_reported_as_throttled(agents_and_address):
    agents, address = agents_and_address
    agents.start(address, start())
    agents.throttle(address, "t1", 1)
    (report,) = agents.renew(address, RenewalRequest(LONG_S, {}))
    assert report.throttled


def test_unreachable_agent_is_an_error(agents_and_address):
    agents, _ = agents_and_address
    with pytest.raises(AgentError):
        agents.start(UNREACHABLE_ADDRESS, start())
