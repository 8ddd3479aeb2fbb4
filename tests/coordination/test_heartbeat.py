import pytest

from gypsumplank.coordination.heartbeat import (
    SESSION_ROWS_READ_PER_S,
    STALE_SESSION_S,
    Heartbeat,
    SessionMonitor,
)
from gypsumplank.errors import SessionLapsedError, StateUnavailableError, StateUnknownError
from gypsumplank.state.clock import ManualClock
from gypsumplank.state.session import Session, SessionRow, SessionStore
from gypsumplank.state.table import MemoryTable

LEASE_S = 5.0


class FaultyTable(MemoryTable):
    """Raise on each call while `unavailable`, or after each commit while `losing_responses`."""

    unavailable = False
    losing_responses = False

    def get(self, table, key):
        if self.unavailable:
            raise StateUnavailableError
        return super().get(table, key)

    def commit(self, txn):
        if self.unavailable:
            raise StateUnavailableError
        version = super().commit(txn)
        if self.losing_responses:
            raise StateUnknownError
        return version


class SkewedClock(ManualClock):
    """Return a wall time that is off by `skew` seconds."""

    def __init__(self, skew):
        super().__init__()
        self.skew = skew

    def wall(self):
        return self.now + self.skew


def session(name):
    return Session(name, 0, "z", "", "", "", 0, 0.0)


def make_heartbeat(table, clock, name="a"):
    return Heartbeat(SessionStore(table), clock, session(name), LEASE_S, lambda: 0)


def test_lease_lapses_during_a_pause_and_renews_with_a_new_epoch():
    clock = ManualClock()
    heartbeat = make_heartbeat(MemoryTable(), clock)
    with pytest.raises(SessionLapsedError):
        heartbeat.valid_epoch()
    heartbeat.tick()
    assert heartbeat.valid_epoch() == 1
    clock.advance(LEASE_S)
    assert not heartbeat.lease_valid
    with pytest.raises(SessionLapsedError):
        heartbeat.valid_epoch()
    heartbeat.tick()
    assert heartbeat.valid_epoch() == 2


def test_lapse_is_detected_by_the_unchanged_row_and_not_by_wall_time():
    table, clock = MemoryTable(), ManualClock()
    ahead, behind = SkewedClock(1e6), SkewedClock(-1e6)
    heartbeats = [make_heartbeat(table, ahead, "b"), make_heartbeat(table, behind, "c")]
    observer = make_heartbeat(table, clock, "a")
    for _ in range(10):
        for heartbeat in (*heartbeats, observer):
            heartbeat.tick()
        for each_clock in (clock, ahead, behind):
            each_clock.advance(1.0)
    assert {sess.id for sess in observer.live} == {"a", "b", "c"}
    for _ in range(int(LEASE_S) + 1):
        for heartbeat in (heartbeats[0], observer):
            heartbeat.tick()
        for each_clock in (clock, ahead, behind):
            each_clock.advance(1.0)
    assert {sess.id for sess in observer.live} == {"a", "b"}


def test_lost_response_within_the_lease_keeps_the_epoch():
    table, clock = FaultyTable(), ManualClock()
    heartbeat = make_heartbeat(table, clock)
    heartbeat.tick()
    table.losing_responses = True
    clock.advance(1.0)
    heartbeat.tick()
    table.losing_responses = False
    clock.advance(1.0)
    heartbeat.tick()
    assert heartbeat.valid_epoch() == 1


def test_outage_longer_than_the_lease_takes_a_new_epoch():
    table, clock = FaultyTable(), ManualClock()
    heartbeat = make_heartbeat(table, clock)
    heartbeat.tick()
    table.unavailable = True
    clock.advance(LEASE_S)
    heartbeat.tick()
    assert not heartbeat.lease_valid
    table.unavailable = False
    heartbeat.tick()
    assert heartbeat.valid_epoch() == 2


def test_epochs_increase_over_restarts_and_names():
    table, clock = MemoryTable(), ManualClock()
    epochs = []
    for name in ("a", "b", "a"):
        heartbeat = make_heartbeat(table, clock, name)
        heartbeat.tick()
        epochs.append(heartbeat.valid_epoch())
        heartbeat.close()
        assert not heartbeat.lease_valid
    assert epochs == [1, 2, 3]


def test_name_taken_by_another_daemon_ends_the_lease_at_the_next_renewal():
    table, clock = MemoryTable(), ManualClock()
    first, second = make_heartbeat(table, clock), make_heartbeat(table, clock)
    first.tick()
    second.tick()
    first.tick()
    clock.advance(LEASE_S)
    assert not first.lease_valid


def test_gap_between_reads_restarts_the_timeout():
    clock = ManualClock()
    monitor = SessionMonitor(clock, LEASE_S)
    rows = [SessionRow(session("a"), 7)]
    monitor.observe(rows)
    clock.advance(LEASE_S + 1)
    monitor.observe(rows)
    assert [sess.id for sess in monitor.live] == ["a"]
    for _ in range(int(LEASE_S)):
        clock.advance(1.0)
        monitor.observe(rows)
    assert monitor.live == ()


def test_many_rows_are_read_less_often_and_still_lapse():
    clock = ManualClock()
    monitor = SessionMonitor(clock, LEASE_S)
    rows = [SessionRow(session(str(number)), 1) for number in range(150)]
    monitor.observe(rows)
    clock.advance(1.0)
    assert not monitor.read_due()
    clock.advance(len(rows) / SESSION_ROWS_READ_PER_S)
    assert monitor.read_due()
    monitor.observe(rows)
    assert monitor.live == ()


def test_stale_session_row_is_deleted():
    table, clock = MemoryTable(), ManualClock()
    make_heartbeat(table, clock, "gone").tick()
    heartbeat = make_heartbeat(table, clock, "a")
    for _ in range(int(STALE_SESSION_S) + 2):
        heartbeat.tick()
        clock.advance(1.0)
    assert [row.session.id for row in SessionStore(table).rows()] == ["a"]
