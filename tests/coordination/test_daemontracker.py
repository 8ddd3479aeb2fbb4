from dataclasses import replace

from gypsumplank.coordination.daemontracker import DaemonTracker
from gypsumplank.state.clock import ManualClock
from gypsumplank.state.session import Session

ONE = Session("one", 1, "z", "", "", "", 4, 0.0)
TWO = Session("two", 1, "z", "", "", "", 4, 0.0, {"h": 2})


def observe_renewals(daemon_tracker, clock, seconds, *sessions):
    for _ in range(seconds):
        clock.advance(1.0)
        renewed = tuple(replace(sess, renewed_at=clock.now) for sess in sessions[:1])
        daemon_tracker.observe((*renewed, *sessions[1:]))


def test_revision_must_be_in_force_at_every_daemon():
    clock = ManualClock()
    daemon_tracker = DaemonTracker(clock, 5.0, 2.0)
    assert not daemon_tracker.is_in_force_everywhere(0)
    daemon_tracker.observe((ONE, replace(TWO, revision=5)))
    assert daemon_tracker.is_in_force_everywhere(4)
    assert not daemon_tracker.is_in_force_everywhere(5)
    assert daemon_tracker.behind(5) == ("one",)
    assert daemon_tracker.in_flight("h") == 2


def test_daemon_lapses_after_lease_and_margin():
    clock = ManualClock()
    daemon_tracker = DaemonTracker(clock, 5.0, 2.0)
    behind = replace(TWO, revision=3)
    daemon_tracker.observe((ONE, behind))
    observe_renewals(daemon_tracker, clock, 7, ONE, behind)
    assert not daemon_tracker.is_in_force_everywhere(4)
    observe_renewals(daemon_tracker, clock, 1, ONE, behind)
    assert daemon_tracker.is_in_force_everywhere(4)
    assert daemon_tracker.lapsed == ("two",)


def test_gap_in_reading_restarts_lapse_timers():
    clock = ManualClock()
    daemon_tracker = DaemonTracker(clock, 5.0, 2.0)
    daemon_tracker.observe((ONE, TWO))
    clock.advance(100.0)
    assert not daemon_tracker.is_in_force_everywhere(1)
    daemon_tracker.observe((ONE, TWO))
    assert daemon_tracker.lapsed == ()
    assert daemon_tracker.is_in_force_everywhere(4)


def test_removed_session_is_dropped_immediately():
    daemon_tracker = DaemonTracker(ManualClock(), 5.0, 2.0)
    daemon_tracker.observe((ONE, replace(TWO, revision=1)))
    daemon_tracker.observe((ONE,))
    assert daemon_tracker.is_in_force_everywhere(4)
    assert daemon_tracker.lapsed == ()
