import math
import random
import threading

import pytest

from gypsumplank.coordination.job import neighbour
from gypsumplank.coordination.job.neighbour import LIVE_S, UNKNOWN_S, YIELD_S, Neighbours
from gypsumplank.errors import StateUnavailableError
from gypsumplank.state.clock import ManualClock
from gypsumplank.state.table import MemoryTable, Txn, Write


class Town:
    def __init__(self):
        self.clock = ManualClock(100.0)
        self.table = MemoryTable()

    def daemon(self, name, speed=0.0):
        return Neighbours(self.table, name, f"{name}:1", self.clock, random.Random(1), speed)


@pytest.fixture(autouse=True)
def quick(monkeypatch):
    monkeypatch.setattr(neighbour, "SECOND_ROUND_S", 0.0)


@pytest.fixture
def town():
    return Town()


def test_a_daemon_yields_until_it_has_looked_for_others(town):
    one = town.daemon("a", 1.0)
    assert one.patience_s() == UNKNOWN_S
    assert not one.are_faster()
    one.step()
    assert one.patience_s() == 0.0


def test_a_much_slower_daemon_yields_to_a_live_neighbour(town):
    large, small, alike = town.daemon("l", 2.0), town.daemon("s", 0.5), town.daemon("k", 1.5)
    for one in (large, small, alike):
        one.step()
    for one in (large, small, alike):
        one.step()
    assert small.patience_s() == math.inf
    assert [one.are_faster() for one in (large, small, alike)] == [False, True, False]
    town.clock.advance(YIELD_S)
    assert [one.patience_s() for one in (large, small, alike)] == [0.0, YIELD_S, 0.0]


def test_a_neighbour_that_fell_silent_is_not_waited_for(town):
    large, small, other = town.daemon("l", 2.0), town.daemon("s", 0.5), town.daemon("t", 0.5)
    large.step()
    other.step()
    small.step()
    town.clock.advance(LIVE_S + 1.0)
    other.step()
    small.step()
    assert small.patience_s() == 0.0
    assert list(small.addresses()) == ["t:1"]


def test_a_row_that_cannot_be_read_names_no_neighbour(town):
    town.table.commit(Txn((), (Write(neighbour.TABLE_DAEMONS, "junk", b"{"),)))
    one = town.daemon("a", 1.0)
    one.step()
    assert list(one.addresses()) == []


def test_a_round_that_failed_is_tried_again_soon(town, monkeypatch):
    monkeypatch.setattr("gypsumplank.coordination.job.survey.RETRY_S", 0.001)
    done = threading.Event()
    one = town.daemon("a", 1.0)
    failures = [StateUnavailableError("out"), StateUnavailableError("out")]

    def step():
        if failures:
            raise failures.pop()
        done.set()

    one.step = step
    one.start()
    assert done.wait(2.0)
    one.close()
