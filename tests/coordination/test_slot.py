import random
from collections import Counter

import pytest

from gypsumplank.coordination.allocation import MAX_DISPATCH_AFTER_LEAVING_S, SlotAllocator
from gypsumplank.coordination.ejection import Ejector
from gypsumplank.coordination.peer import MemoryPeers
from gypsumplank.coordination.share import DemandTable
from gypsumplank.coordination.slot import SlotTracker
from gypsumplank.errors import InvariantError
from gypsumplank.state.clock import ManualClock
from tests.coordination.fleet import host, make_view

SERVICES = {"quotes": {"pool": "quotes"}}


class Daemon:
    def __init__(self, hosts, live=("d0",), max_daemons=8, zone="a"):
        self.hosts = hosts
        self.clock = ManualClock(100.0)
        self.view = make_view(SERVICES, hosts=hosts)
        self.leaving = frozenset()
        demands = DemandTable("d0", MemoryPeers(), self.clock, lambda: live, dict)
        self.ejector = Ejector(lambda: self.view, self.clock)
        self.slot_allocator = SlotAllocator(
            "d0",
            lambda: self.view,
            demands,
            self.ejector,
            lambda: self.leaving,
            self.clock,
            max_daemons,
        )
        self.slots = SlotTracker(random.Random(7), zone, self.slot_allocator)
        self.slot_allocator.tick()

    def acquire(self, view=None):
        view = view or self.view
        return self.slots.acquire(view.hosts, view.serving_hosts("quotes"))

    def assign(self, **states):
        assignments = [(name, {"pool": "quotes", "state": state}) for name, state in states.items()]
        self.view = make_view(SERVICES, hosts=self.hosts, assignments=assignments, revision=2)


def two_zones():
    return [host("near", "quotes", "a"), host("far", "quotes", "b")]


def test_acquires_every_slot_and_no_more():
    daemon = Daemon(two_zones())
    acquired = [daemon.acquire() for _ in range(17)]
    assert Counter(acquired) == {"near": 8, "far": 8, None: 1}


def test_own_zone_is_preferred_until_it_is_busier():
    daemon = Daemon(two_zones())
    assert [daemon.acquire() for _ in range(3)] == ["near"] * 3
    assert "far" in [daemon.acquire() for _ in range(2)]


def test_connections_of_all_daemons_stay_within_the_limit():
    daemon = Daemon([host("h", "quotes", connections=20)], live=["d0"], max_daemons=7)
    assert [daemon.acquire() for _ in range(3)] == ["h", "h", None]


def test_more_live_daemons_than_expected_lower_the_cap():
    live = [f"d{i}" for i in range(20)]
    daemon = Daemon([host("h", "quotes")], live=live)
    assert Counter(daemon.acquire() for _ in range(5)) == {"h": 3, None: 2}


def test_daemon_without_allotted_slots_may_run_one_request():
    daemon = Daemon([host("h", "quotes", slots=1)], live=["d0", "d1"])
    assert daemon.slot_allocator.allotted_slots(daemon.view.hosts, ("h",)) == {"h": 0}
    assert daemon.slot_allocator.capacity(daemon.view, "quotes") == 1
    assert daemon.acquire() == "h"


def test_fast_failing_host_does_not_attract_requests():
    daemon = Daemon([host(f"h{i}", "quotes", "a") for i in range(4)])
    daemon.ejector.record("h0", False)
    daemon.ejector.record("h0", False)
    counts = Counter()
    for _ in range(400):
        name = daemon.acquire()
        counts[name] += 1
        daemon.slots.release(name)
    assert counts["h0"] < 40


def test_host_that_failed_once_is_tried_again_under_light_load():
    daemon = Daemon([host(f"h{i}", "quotes", "a") for i in range(2)])
    daemon.ejector.record("h0", False)

    def chosen():
        name = daemon.acquire()
        daemon.slots.release(name)
        return name

    assert {chosen() for _ in range(30)} == {"h1"}
    daemon.clock.advance(5.0)
    assert {chosen() for _ in range(30)} == {"h0", "h1"}


@pytest.mark.parametrize("source", ["record", "membership"])
def test_leaving_host_gets_no_requests_even_from_a_stale_view(source):
    daemon = Daemon(two_zones())
    old = daemon.view
    if source == "record":
        daemon.assign(near="draining")
    else:
        daemon.leaving = frozenset({"near"})
    assert {daemon.acquire(old) for _ in range(9)} == {"far", None}


def test_request_to_a_host_known_to_be_leaving_is_an_invariant_error():
    daemon = Daemon(two_zones())
    daemon.leaving = frozenset({"near"})
    daemon.slot_allocator.tick()
    daemon.slot_allocator.check_assignable("near")
    daemon.clock.advance(MAX_DISPATCH_AFTER_LEAVING_S + 0.1)
    with pytest.raises(InvariantError):
        daemon.slot_allocator.check_assignable("near")


def test_returning_host_starts_slowly():
    daemon = Daemon(two_zones())
    daemon.assign(near="out")
    daemon.slot_allocator.tick()
    daemon.view = make_view(SERVICES, hosts=daemon.hosts, revision=3)
    daemon.slot_allocator.tick()
    parts = daemon.slot_allocator.allotted_slots(daemon.view.hosts, ("near", "far"))
    assert parts == {"near": 1, "far": 8}


def test_release_without_acquire_is_an_invariant_error():
    with pytest.raises(InvariantError):
        Daemon(two_zones()).slots.release("near")
