"""Test that the example deployments are valid and complete."""

from collections import Counter
from pathlib import Path

import pytest

from gypsumplank import porcelain
from gypsumplank.state.view import build_view

EXAMPLES = Path(__file__).resolve().parent.parent / "examples"


def test_example_of_the_first_steps_names_only_addresses_of_this_machine():
    """Guard against a first request that goes to whatever answers at an example's address."""
    view = build_view(1, porcelain.validate([EXAMPLES / "loopback"]))
    assert not view.unreadable
    assert {service.pool for service in view.services.values()} == set(view.pools)
    assert {host.address for host in view.hosts.values()} == {"127.0.0.1:8100", "127.0.0.1:8101"}


@pytest.mark.parametrize(
    ("name", "zones", "workers", "spare"),
    [("cartofold", 4, 8, "dispatch-desk"), ("mossbrush", 3, 6, "backoffice")],
)
def test_deployment_is_valid_and_complete(name, zones, workers, spare):
    view = build_view(1, porcelain.validate([EXAMPLES / name]))
    assert not view.unreadable
    assert len(view.services) == 5
    assert {service.pool for service in view.services.values()} == set(view.pools)
    assert all(len(view.hosts_of(pool)) == workers for pool in view.pools)
    assert [pool for pool, spec in view.pools.items() if spec.spare] == [spare]
    assert all(spec.guarded for spec in view.pools.values())
    assert len({host.zone for host in view.hosts.values()}) == zones
    assert max(Counter(host.rack for host in view.hosts.values()).values()) == 4
    assert {(host.slots, host.connections) for host in view.hosts.values()} == {(8, 64)}
    assert len({host.address for host in view.hosts.values()}) == len(view.hosts)
