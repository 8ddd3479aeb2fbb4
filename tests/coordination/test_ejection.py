import contextlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gypsumplank.coordination.ejection import (
    BASE_EJECTION_S,
    CONSECUTIVE_FAILURES_TO_EJECT,
    SLOW_START_S,
    Ejector,
    HealthTrackingClient,
    required_hosts,
)
from gypsumplank.coordination.endpoint import MemoryEndpointClient
from gypsumplank.errors import EndpointConnectError, EndpointError, EndpointTimeoutError
from gypsumplank.protocol.exchange import EndpointResponse, Request
from gypsumplank.state.clock import ManualClock
from tests.coordination.fleet import host, make_view

SERVICES = {"quotes": {"pool": "quotes"}}
HOSTS = [host(f"h{i}", "quotes") for i in range(8)]


def make_pool_view(budget, assignments=()):
    return make_view(SERVICES, {}, {"quotes": {"budget": budget}}, HOSTS, assignments)


def make_ejector(budget):
    clock, views = ManualClock(50.0), [make_pool_view(budget)]
    return Ejector(lambda: views[-1], clock), clock, views


def record_failures(ejector, name, times=CONSECUTIVE_FAILURES_TO_EJECT):
    for _ in range(times):
        ejector.record(name, False)


def test_consecutive_failures_eject_and_a_probe_starts_slow_recovery():
    ejector, clock, _ = make_ejector({"min_in_service": 6})
    record_failures(ejector, "h0")
    assert ejector.limit("h0", 8) == 0
    clock.advance(BASE_EJECTION_S)
    assert ejector.limit("h0", 8) == 1
    ejector.record("h0", True)
    assert ejector.limit("h0", 8) == 1
    clock.advance(SLOW_START_S / 2)
    assert ejector.limit("h0", 8) == 4
    clock.advance(SLOW_START_S / 2)
    assert ejector.limit("h0", 8) == 8


def test_failed_probe_doubles_the_ejection_time():
    ejector, clock, _ = make_ejector({"min_in_service": 6})
    record_failures(ejector, "h0")
    clock.advance(BASE_EJECTION_S)
    ejector.record("h0", False)
    clock.advance(BASE_EJECTION_S * 1.5)
    assert ejector.limit("h0", 8) == 0
    clock.advance(BASE_EJECTION_S * 0.5)
    assert ejector.limit("h0", 8) == 1


def test_high_failure_rate_ejects():
    ejector, _, _ = make_ejector({"min_in_service": 6})
    for number in range(60):
        ejector.record("h0", number % 3 == 0)
    assert ejector.ejected() == {"h0"}


@pytest.mark.parametrize(
    ("budget", "ejected_count"),
    [
        ({"min_in_service": 6}, 2),
        ({"min_share": 0.7}, 2),
        ({"min_in_service": 8}, 0),
        ({"min_in_service": 20}, 0),
        ({}, 7),
    ],
)
def test_ejections_stay_within_the_availability_budget(budget, ejected_count):
    ejector, _, views = make_ejector(budget)
    for name in views[0].hosts:
        record_failures(ejector, name)
    assert len(ejector.ejected()) == ejected_count


@given(st.lists(st.tuples(st.integers(0, 7), st.booleans(), st.integers(0, 3)), max_size=200))
def test_budget_holds_while_hosts_fail_and_drain(steps):
    ejector, clock, views = make_ejector({"min_in_service": 5})
    for number, drain, seconds in steps:
        clock.advance(seconds)
        if drain:
            state = ("h7", {"pool": "quotes", "state": "draining"})
            views.append(make_pool_view({"min_in_service": 5}, [state]))
        record_failures(ejector, f"h{number}", 3)
        ejector.enforce_budget(views[-1])
        serving = set(views[-1].serving_hosts("quotes"))
        assert len(serving - ejector.ejected()) >= required_hosts(views[-1], "quotes")


def test_drain_returns_an_ejected_host_to_keep_the_budget():
    ejector, _, views = make_ejector({"min_in_service": 6})
    record_failures(ejector, "h0")
    record_failures(ejector, "h1")
    state = ("h7", {"pool": "quotes", "state": "draining"})
    ejector.enforce_budget(make_pool_view({"min_in_service": 6}, [state]))
    assert len(ejector.ejected()) == 1


def raising(exc):
    def answer(address, req):
        raise exc

    return answer


@pytest.mark.parametrize(
    ("answer", "timeout_s", "rate"),
    [
        (lambda address, req: EndpointResponse(200, (), b""), 5.0, 0.0),
        (lambda address, req: EndpointResponse(404, (), b""), 5.0, 0.0),
        (lambda address, req: EndpointResponse(500, (), b""), 5.0, 0.1),
        (raising(EndpointConnectError()), 5.0, 0.1),
        (raising(EndpointTimeoutError()), 5.0, 0.1),
        (raising(EndpointTimeoutError()), 0.1, 0.0),
    ],
    ids=["200", "404", "500", "no connection", "timeout", "caller's own short timeout"],
)
def test_what_counts_as_a_failure(answer, timeout_s, rate):
    ejector, _, _ = make_ejector({})
    client = MemoryEndpointClient(answer)
    tracked = HealthTrackingClient(client, ejector, lambda: {"h0:80": "h0"})
    req = Request("r", "quotes", "GET", "/", 1.0)
    with contextlib.suppress(EndpointError):
        tracked.send("h0:80", req, timeout_s)
    assert ejector.failure_rate("h0") == pytest.approx(rate)
