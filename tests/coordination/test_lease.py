from collections import Counter

import pytest

from gypsumplank.coordination.lease import Leases, preferred
from gypsumplank.errors import StateConflictError, StateUnavailableError, StateUnknownError
from gypsumplank.state.clock import ManualClock
from gypsumplank.state.lease import LeaseStore
from gypsumplank.state.table import MemoryTable, Txn, Write
from standins.fleet import FaultyTable

LIFE_S = 5.0
NAMES = ("a", "b", "c", "d")


class Holders:
    def __init__(self, *names):
        self.clock = ManualClock(100.0)
        self.rows = MemoryTable()
        self.tables = {name: FaultyTable(self.rows) for name in names}
        self.of = {
            name: Leases(LeaseStore(table), self.clock, name, LIFE_S)
            for name, table in self.tables.items()
        }

    def tick(self, *names, live=None, seconds=1.0):
        self.clock.advance(seconds)
        for name in names:
            self.of[name].tick(NAMES, live or list(self.of))


def test_spread_over_daemons():
    names = [f"pool-{i}" for i in range(210)]
    counts = Counter(preferred(name, [f"d{i}" for i in range(7)]) for name in names)
    assert len(counts) == 7
    assert max(counts.values()) < 60


def test_each_lease_has_one_holder():
    held = Holders("x", "y")
    for _ in range(20):
        held.tick("x", "y")
        assert not set(held.of["x"].held()) & set(held.of["y"].held())
    assert {*held.of["x"].held(), *held.of["y"].held()} == set(NAMES)


def test_lapsed_lease_is_taken_and_fences_the_old_holder():
    held = Holders("x", "y")
    held.tick("x", live=["x"])
    fences = [held.of["x"].fence(name) for name in NAMES]
    for _ in range(12):
        held.tick("y", live=["y"])
    assert set(held.of["y"].held()) == set(NAMES)
    assert held.of["x"].held() == ()
    for fence in fences:
        with pytest.raises(StateConflictError):
            held.rows.commit(Txn((fence,), (Write("t", "k", b""),)))
    held.tick("x", live=["x", "y"])
    assert not set(held.of["x"].held()) & set(held.of["y"].held())


def test_holder_that_cannot_renew_stops():
    held = Holders("x")
    held.tick("x")
    held.tables["x"].out = True
    for _ in range(6):
        with pytest.raises(StateUnavailableError):
            held.tick("x")
    assert held.of["x"].held() == ()
    assert held.of["x"].fence("a") is None


def test_outage_of_the_reader_does_not_make_a_lease_look_lapsed():
    held = Holders("x", "y")
    held.tick("x", "y", live=["x"])
    held.tables["y"].out = True
    for _ in range(20):
        held.tick("x", live=["x"])
    held.tables["y"].out = False
    held.tick("y", live=["x"])
    assert held.of["y"].held() == ()


def test_lost_answer_of_a_taking_is_recognised():
    held = Holders("x")
    held.tables["x"].lose = 1
    with pytest.raises(StateUnknownError):
        held.tick("x")
    held.tick("x")
    assert set(held.of["x"].held()) == set(NAMES)
    assert held.rows.get("leases", "a").value.count(b'"epoch":1') == 1


def test_lease_is_handed_to_the_preferred_daemon():
    held = Holders("x", "y")
    held.tick("x", live=["x"])
    for _ in range(4):
        held.tick("x", "y")
    wanted = {name for name in NAMES if preferred(name, ["x", "y"]) == "y"}
    assert wanted == set(held.of["y"].held())


def test_closed_leases_are_free_at_once():
    held = Holders("x", "y")
    held.tick("x", live=["x"])
    held.of["x"].close()
    held.tick("y", live=["y"])
    assert set(held.of["y"].held()) == set(NAMES)


def test_a_patient_daemon_leaves_a_free_lease_to_others():
    held = Holders("x", "y")
    held.of["x"].tick(("a",), (), patience_s=2.5)
    held.clock.advance(2.0)
    held.of["x"].tick(("a",), (), patience_s=2.5)
    assert held.of["x"].held() == ()
    held.clock.advance(1.0)
    held.of["x"].tick(("a",), (), patience_s=2.5)
    assert held.of["x"].held() == ("a",)


def test_patience_starts_anew_once_the_lease_was_taken():
    held = Holders("x", "y")
    held.of["x"].tick(("a",), (), patience_s=2.5)
    held.of["y"].tick(("a",), ())
    held.clock.advance(1.0)
    held.of["x"].tick(("a",), (), patience_s=2.5)
    held.of["y"].close()
    held.clock.advance(2.0)
    held.of["x"].tick(("a",), (), patience_s=2.5)
    assert held.of["x"].held() == ()


def test_a_restarted_daemon_takes_its_own_lease_back_at_once():
    held = Holders("x", "y")
    held.of["x"].tick(("a",), ())
    epoch = held.of["x"].epoch("a")
    again = Leases(LeaseStore(held.tables["x"]), held.clock, "x", LIFE_S)
    again.tick(("a",), (), patience_s=2.5)
    assert again.held() == ("a",)
    assert again.epoch("a") == epoch + 1
    with pytest.raises(StateConflictError):
        held.of["x"].renew("a")
