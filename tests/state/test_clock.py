import time

from gypsumplank.state.clock import SystemClock


def test_time_in_which_the_machine_was_suspended_counts(monkeypatch):
    """Guard against TWICE: a leader that was suspended must know that its lease has run out."""
    readings = {time.CLOCK_MONOTONIC: 10.0, time.CLOCK_BOOTTIME: 18.0}
    monkeypatch.setattr(time, "clock_gettime", readings.__getitem__)
    monkeypatch.setattr(time, "monotonic", lambda: readings[time.CLOCK_MONOTONIC])
    assert SystemClock().monotonic() == 18.0
