import math
import random
import threading

import msgspec
import pytest

from gypsumplank.coordination.job import registry
from gypsumplank.coordination.job.registry import (
    DISCOVERY_DELAY_S,
    LIVENESS_TIMEOUT_S,
    YIELD_DELAY_S,
    DaemonRegistry,
)
from gypsumplank.errors import StateUnavailableError
from gypsumplank.state.clock import ManualClock
from gypsumplank.state.table import MemoryTable, Txn, Write
from tests.malformed import BAD_NUMBERS, IMPOSSIBLE_ADDRESSES, MALFORMED_JSON


class Deployment:
    def __init__(self):
        self.clock = ManualClock(100.0)
        self.table = MemoryTable()

    def daemon(self, name, speed=0.0):
        return DaemonRegistry(
            self.table, name, f"10.0.0.{ord(name)}:1", self.clock, random.Random(1), speed
        )


@pytest.fixture(autouse=True)
def no_refresh_delay(monkeypatch):
    monkeypatch.setattr(registry, "SECOND_REFRESH_DELAY_S", 0.0)


@pytest.fixture
def deployment():
    return Deployment()


def test_daemon_delays_take_over_until_first_refresh(deployment):
    daemon = deployment.daemon("a", 1.0)
    assert daemon.takeover_delay_s() == DISCOVERY_DELAY_S
    assert not daemon.any_faster()
    daemon.step()
    assert daemon.takeover_delay_s() == 0.0


def test_slower_daemon_yields_to_faster_live_peer(deployment):
    large, small, similar = (
        deployment.daemon("l", 2.0),
        deployment.daemon("s", 0.5),
        deployment.daemon("k", 1.5),
    )
    for daemon in (large, small, similar):
        daemon.step()
    for daemon in (large, small, similar):
        daemon.step()
    assert small.takeover_delay_s() == math.inf
    assert [daemon.any_faster() for daemon in (large, small, similar)] == [False, True, False]
    deployment.clock.advance(YIELD_DELAY_S)
    assert [daemon.takeover_delay_s() for daemon in (large, small, similar)] == [
        0.0,
        YIELD_DELAY_S,
        0.0,
    ]


def test_peer_without_heartbeats_is_ignored(deployment):
    large, small, other = (
        deployment.daemon("l", 2.0),
        deployment.daemon("s", 0.5),
        deployment.daemon("t", 0.5),
    )
    large.step()
    other.step()
    small.step()
    deployment.clock.advance(LIVENESS_TIMEOUT_S + 1.0)
    other.step()
    small.step()
    assert small.takeover_delay_s() == 0.0
    assert list(small.addresses()) == [f"10.0.0.{ord('t')}:1"]


def test_malformed_row_is_ignored(deployment):
    deployment.table.commit(Txn((), (Write(registry.TABLE_DAEMONS, "junk", b"{"),)))
    daemon = deployment.daemon("a", 1.0)
    daemon.step()
    assert list(daemon.addresses()) == []


def test_failed_refresh_is_retried_soon(deployment, monkeypatch):
    monkeypatch.setattr("gypsumplank.coordination.job.watch.RETRY_DELAY_S", 0.001)
    done = threading.Event()
    daemon = deployment.daemon("a", 1.0)
    failures = [StateUnavailableError("out"), StateUnavailableError("out")]

    def step():
        if failures:
            raise failures.pop()
        done.set()

    daemon.step = step
    daemon.start()
    assert done.wait(2.0)
    daemon.close()


@pytest.mark.parametrize(
    "raw",
    [
        *MALFORMED_JSON.values(),
        *(b'{"address":"10.0.0.1:1","beat":1,"speed":%s}' % raw for raw in BAD_NUMBERS),
        *(b'{"address":"10.0.0.1:1","beat":%s}' % raw for raw in BAD_NUMBERS),
        *(msgspec.json.encode({"address": bad, "beat": 1}) for bad in IMPOSSIBLE_ADDRESSES),
    ],
    ids=lambda raw: repr(raw[:50]),
)
def test_malformed_row_of_a_daemon_is_left_out(deployment, raw):
    daemon, other = deployment.daemon("a", 1.0), deployment.daemon("b", 1.0)
    other.step()
    deployment.table.commit(Txn((), (Write("daemons", "c", raw),)))
    daemon.step()
    assert daemon.addresses() == ["10.0.0.98:1"]
    assert not daemon.any_faster()


def test_malformed_row_of_a_daemon_is_logged_once(deployment, caplog):
    deployment.table.commit(Txn((), (Write("daemons", "c", b"["),)))
    daemon = deployment.daemon("a", 1.0)
    for _ in range(3):
        daemon.step()
    (record,) = caplog.records
    assert (record.msg, record.entry) == ("entry-dropped", "c")


def test_submissions_are_written_only_while_all_live_daemons_read_them(deployment):
    """Guard against jobs that a daemon of an older build neither finds nor adopts."""
    new, other = (
        DaemonRegistry(
            deployment.table, name, "10.0.0.1:1", deployment.clock, random.Random(1), 1.0, True
        )
        for name in "no"
    )
    old = deployment.daemon("a", 1.0)
    assert not new.all_read_submissions()
    for daemon in (new, other, new):
        daemon.step()
    assert new.all_read_submissions()
    old.step()
    new.step()
    assert not new.all_read_submissions()
    assert not old.all_read_submissions()
    deployment.clock.advance(LIVENESS_TIMEOUT_S + 1)
    other.step()
    new.step()
    assert new.all_read_submissions()
