from collections import Counter

import pytest

from gypsumplank.coordination.lease import LeaseManager, preferred_holder
from gypsumplank.errors import StateConflictError, StateUnavailableError, StateUnknownError
from gypsumplank.state.clock import ClockRange, ManualClock
from gypsumplank.state.lease import LeaseStore
from gypsumplank.state.table import MemoryTable, Txn, Write
from standins.fleet import FaultyTable
from tests.malformed import MALFORMED_JSON

LEASE_S = 5.0
NAMES = ("a", "b", "c", "d")


class LeaseDaemons:
    def __init__(self, *names):
        self.clock = ManualClock(100.0)
        self.rows = MemoryTable()
        self.tables = {name: FaultyTable(self.rows) for name in names}
        self.leases = {
            name: LeaseManager(LeaseStore(table), self.clock, name, LEASE_S)
            for name, table in self.tables.items()
        }

    def tick(self, *names, live=None, seconds=1.0):
        self.clock.advance(seconds)
        for name in names:
            self.leases[name].tick(NAMES, live or list(self.leases))


def test_leases_are_spread_over_daemons():
    names = [f"pool-{i}" for i in range(210)]
    counts = Counter(preferred_holder(name, [f"d{i}" for i in range(7)]) for name in names)
    assert len(counts) == 7
    assert max(counts.values()) < 60


def test_each_lease_has_one_holder():
    daemons = LeaseDaemons("x", "y")
    for _ in range(20):
        daemons.tick("x", "y")
        assert not set(daemons.leases["x"].held()) & set(daemons.leases["y"].held())
    assert {*daemons.leases["x"].held(), *daemons.leases["y"].held()} == set(NAMES)


def test_lapsed_lease_is_taken_over_and_fences_the_old_holder():
    daemons = LeaseDaemons("x", "y")
    daemons.tick("x", live=["x"])
    fences = [daemons.leases["x"].fence(name) for name in NAMES]
    for _ in range(12):
        daemons.tick("y", live=["y"])
    assert set(daemons.leases["y"].held()) == set(NAMES)
    assert daemons.leases["x"].held() == ()
    for fence in fences:
        with pytest.raises(StateConflictError):
            daemons.rows.commit(Txn((fence,), (Write("t", "k", b""),)))
    daemons.tick("x", live=["x", "y"])
    assert not set(daemons.leases["x"].held()) & set(daemons.leases["y"].held())


def test_holder_that_cannot_renew_loses_its_leases():
    daemons = LeaseDaemons("x")
    daemons.tick("x")
    daemons.tables["x"].unavailable = True
    for _ in range(6):
        with pytest.raises(StateUnavailableError):
            daemons.tick("x")
    assert daemons.leases["x"].held() == ()
    assert daemons.leases["x"].fence("a") is None


def test_outage_of_the_reader_does_not_make_a_lease_look_lapsed():
    daemons = LeaseDaemons("x", "y")
    daemons.tick("x", "y", live=["x"])
    daemons.tables["y"].unavailable = True
    for _ in range(20):
        daemons.tick("x", live=["x"])
    daemons.tables["y"].unavailable = False
    daemons.tick("y", live=["x"])
    assert daemons.leases["y"].held() == ()


def test_acquisition_with_a_lost_response_is_recognised():
    daemons = LeaseDaemons("x")
    daemons.tables["x"].lost_responses = 1
    with pytest.raises(StateUnknownError):
        daemons.tick("x")
    daemons.tick("x")
    assert set(daemons.leases["x"].held()) == set(NAMES)
    assert daemons.rows.get("leases", "a").value.count(b'"epoch":1') == 1


def test_lease_is_handed_to_the_preferred_daemon():
    daemons = LeaseDaemons("x", "y")
    daemons.tick("x", live=["x"])
    for _ in range(4):
        daemons.tick("x", "y")
    preferred_names = {name for name in NAMES if preferred_holder(name, ["x", "y"]) == "y"}
    assert preferred_names == set(daemons.leases["y"].held())


def test_leases_released_by_close_are_free_at_once():
    daemons = LeaseDaemons("x", "y")
    daemons.tick("x", live=["x"])
    daemons.leases["x"].close()
    daemons.tick("y", live=["y"])
    assert set(daemons.leases["y"].held()) == set(NAMES)


def test_acquire_delay_leaves_a_free_lease_to_others():
    daemons = LeaseDaemons("x", "y")
    daemons.leases["x"].tick(("a",), (), acquire_delay_s=2.5)
    daemons.clock.advance(2.0)
    daemons.leases["x"].tick(("a",), (), acquire_delay_s=2.5)
    assert daemons.leases["x"].held() == ()
    daemons.clock.advance(1.0)
    daemons.leases["x"].tick(("a",), (), acquire_delay_s=2.5)
    assert daemons.leases["x"].held() == ("a",)


def test_acquire_delay_restarts_once_another_daemon_held_the_lease():
    daemons = LeaseDaemons("x", "y")
    daemons.leases["x"].tick(("a",), (), acquire_delay_s=2.5)
    daemons.leases["y"].tick(("a",), ())
    daemons.clock.advance(1.0)
    daemons.leases["x"].tick(("a",), (), acquire_delay_s=2.5)
    daemons.leases["y"].close()
    daemons.clock.advance(2.0)
    daemons.leases["x"].tick(("a",), (), acquire_delay_s=2.5)
    assert daemons.leases["x"].held() == ()


def test_restarted_daemon_takes_over_its_own_lease_at_once():
    daemons = LeaseDaemons("x", "y")
    daemons.leases["x"].tick(("a",), ())
    epoch = daemons.leases["x"].epoch("a")
    restarted = LeaseManager(LeaseStore(daemons.tables["x"]), daemons.clock, "x", LEASE_S)
    restarted.tick(("a",), (), acquire_delay_s=2.5)
    assert restarted.held() == ("a",)
    assert restarted.epoch("a") == epoch + 1
    with pytest.raises(StateConflictError):
        daemons.leases["x"].renew("a")


def test_lease_renewed_after_a_slow_response_is_not_taken_while_it_is_held():
    rows, clock = MemoryTable(), ManualClock(100.0)
    lag_ms = {"slow": 0, "x": 0}

    def make_manager(name):
        def store_clock():
            now_ms = int(clock.now * 1000)
            return ClockRange(now_ms - lag_ms[name], now_ms)

        return LeaseManager(LeaseStore(rows), clock, name, LEASE_S, store_clock=store_clock)

    holder, other = make_manager("slow"), make_manager("x")
    holder.tick(["a"], ())
    lag_ms["slow"] = 1200
    holder.renew("a")
    for _ in range(49):
        clock.advance(0.1)
        other.tick(["a"], ())
        assert holder.fence("a") is not None
        assert other.fence("a") is None
    clock.advance(0.3)
    other.tick(["a"], ())
    assert other.fence("a") is not None
    assert holder.fence("a") is None


@pytest.mark.parametrize("malformed", MALFORMED_JSON.values(), ids=MALFORMED_JSON)
def test_malformed_lease_row_is_waited_for_and_taken_over_above_its_epoch(malformed):
    daemons = LeaseDaemons("x", "y")
    daemons.tick("x", live=["x"])
    holder, other = daemons.leases["x"], daemons.leases["y"]
    fence, epoch = holder.fence("a"), holder.epoch("a")
    daemons.rows.commit(Txn((), (Write("leases", "a", malformed),)))
    with pytest.raises(StateConflictError):
        daemons.rows.commit(Txn((fence,), (Write("t", "k", b""),)))
    for _ in range(7):
        daemons.tick("y", live=["y"])
        assert other.fence("a") is None
        assert holder.fence("a") is None or daemons.clock.now < 101.0 + LEASE_S
    daemons.tick("y", live=["y"])
    daemons.tick("y", live=["y"])
    assert other.fence("a") is not None
    assert other.epoch("a") > epoch
    daemons.tick("x", live=["y"])
    assert holder.fence("a") is None
