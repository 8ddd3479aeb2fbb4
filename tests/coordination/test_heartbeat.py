import pytest

from gypsumplank.coordination.heartbeat import FORGET_S, ROWS_PER_S, Heartbeat, SessionWatch
from gypsumplank.errors import SessionLapsedError, StateUnavailableError, StateUnknownError
from gypsumplank.state.clock import ManualClock
from gypsumplank.state.session import Session, SessionRow, SessionStore
from gypsumplank.state.table import MemoryTable

LEASE_S = 5.0


class FaultyTable(MemoryTable):
    """Be out, or lose the answers of commits, as set."""

    out = False
    losing = False

    def get(self, table, key):
        if self.out:
            raise StateUnavailableError
        return super().get(table, key)

    def commit(self, txn):
        if self.out:
            raise StateUnavailableError
        version = super().commit(txn)
        if self.losing:
            raise StateUnknownError
        return version


class SkewedClock(ManualClock):
    """Tell a wall time that is far off."""

    def __init__(self, skew):
        super().__init__()
        self.skew = skew

    def wall(self):
        return self.now + self.skew


def session(name):
    return Session(name, 0, "z", "", "", "", 0, 0.0)


def heartbeat(table, clock, name="a"):
    return Heartbeat(SessionStore(table), clock, session(name), LEASE_S, lambda: 0)


def test_paused_daemon_finds_out_before_it_acts():
    clock = ManualClock()
    beat = heartbeat(MemoryTable(), clock)
    with pytest.raises(SessionLapsedError):
        beat.check_held()
    beat.tick()
    assert beat.check_held() == 1
    clock.advance(LEASE_S)
    assert not beat.held
    with pytest.raises(SessionLapsedError):
        beat.check_held()
    beat.tick()
    assert beat.check_held() == 2


def test_lapse_is_judged_by_the_row_and_not_by_wall_time():
    table, clock = MemoryTable(), ManualClock()
    ahead, behind = SkewedClock(1e6), SkewedClock(-1e6)
    beats = [heartbeat(table, ahead, "b"), heartbeat(table, behind, "c")]
    watcher = heartbeat(table, clock, "a")
    for _ in range(10):
        for beat in (*beats, watcher):
            beat.tick()
        for held in (clock, ahead, behind):
            held.advance(1.0)
    assert {sess.id for sess in watcher.live} == {"a", "b", "c"}
    for _ in range(int(LEASE_S) + 1):
        for beat in (beats[0], watcher):
            beat.tick()
        for held in (clock, ahead, behind):
            held.advance(1.0)
    assert {sess.id for sess in watcher.live} == {"a", "b"}


def test_lost_answer_within_the_lease_keeps_the_epoch():
    table, clock = FaultyTable(), ManualClock()
    beat = heartbeat(table, clock)
    beat.tick()
    table.losing = True
    clock.advance(1.0)
    beat.tick()
    table.losing = False
    clock.advance(1.0)
    beat.tick()
    assert beat.check_held() == 1


def test_outage_longer_than_the_lease_takes_a_new_epoch():
    table, clock = FaultyTable(), ManualClock()
    beat = heartbeat(table, clock)
    beat.tick()
    table.out = True
    clock.advance(LEASE_S)
    beat.tick()
    assert not beat.held
    table.out = False
    beat.tick()
    assert beat.check_held() == 2


def test_epochs_rise_over_restarts_and_names():
    table, clock = MemoryTable(), ManualClock()
    epochs = []
    for name in ("a", "b", "a"):
        beat = heartbeat(table, clock, name)
        beat.tick()
        epochs.append(beat.check_held())
        beat.close()
        assert not beat.held
    assert epochs == [1, 2, 3]


def test_name_taken_by_another_daemon_ends_the_lease_at_the_next_renewal():
    table, clock = MemoryTable(), ManualClock()
    first, second = heartbeat(table, clock), heartbeat(table, clock)
    first.tick()
    second.tick()
    first.tick()
    clock.advance(LEASE_S)
    assert not first.held


def test_gap_in_reading_starts_the_count_anew():
    clock = ManualClock()
    watch = SessionWatch(clock, LEASE_S)
    rows = [SessionRow(session("a"), 7)]
    watch.observe(rows)
    clock.advance(LEASE_S + 1)
    watch.observe(rows)
    assert [sess.id for sess in watch.live] == ["a"]
    for _ in range(int(LEASE_S)):
        clock.advance(1.0)
        watch.observe(rows)
    assert watch.live == ()


def test_many_rows_are_read_less_often_and_still_lapse():
    clock = ManualClock()
    watch = SessionWatch(clock, LEASE_S)
    rows = [SessionRow(session(str(number)), 1) for number in range(150)]
    watch.observe(rows)
    clock.advance(1.0)
    assert not watch.due()
    clock.advance(len(rows) / ROWS_PER_S)
    assert watch.due()
    watch.observe(rows)
    assert watch.live == ()


def test_row_that_nobody_renews_is_removed():
    table, clock = MemoryTable(), ManualClock()
    heartbeat(table, clock, "gone").tick()
    beat = heartbeat(table, clock, "a")
    for _ in range(int(FORGET_S) + 2):
        beat.tick()
        clock.advance(1.0)
    assert [row.session.id for row in SessionStore(table).rows()] == ["a"]
