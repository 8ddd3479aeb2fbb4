"""Test that gypsumplankd's connections follow from its file descriptors."""

import resource

import pytest

from gypsumplank.composition.requests import MAX_CALLER_CONNECTIONS, make_socket_plan
from gypsumplank.transport.bodybudget import RequestLimits
from gypsumplank.transport.requestledger import RequestLedger


@pytest.mark.parametrize(
    ("descriptors", "connections"),
    [
        (1024, 512),
        (1 << 20, MAX_CALLER_CONNECTIONS),
        (resource.RLIM_INFINITY, MAX_CALLER_CONNECTIONS),
    ],
)
def test_callers_have_half_of_the_descriptors(monkeypatch, descriptors, connections):
    """Guard against a host without a limit of descriptors that admits no caller at all."""
    monkeypatch.setattr(resource, "getrlimit", lambda _kind: (descriptors, descriptors))
    plan = make_socket_plan(RequestLedger(RequestLimits()))
    assert plan.callers.connections == connections
