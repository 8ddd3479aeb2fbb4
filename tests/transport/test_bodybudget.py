"""Test which requests are refused when they hold too much memory, with times passed in."""

from gypsumplank.transport.bodybudget import (
    Arrival,
    Held,
    RefusalCause,
    RequestLimits,
    UnreadInput,
    choose_backlogged,
    choose_slowest,
    overdue,
)
from gypsumplank.transport.requestledger import RequestLedger

LIMITS = RequestLimits(incomplete_bytes=1000, complete_bytes=500)


class Connection:
    def __init__(self, incomplete=0, complete=0):
        self.now = Held(incomplete, complete)

    def held(self):
        return self.now

    def refuse(self, cause):
        raise AssertionError("refused by the ledger itself")


class Clock:
    now = 0.0

    def __call__(self):
        return self.now


def test_slowest_arrivals_are_chosen_until_enough_is_freed():
    """Guard against a refusal of the largest or newest request, which may be an ordinary one."""
    arrivals = [
        ("fast", Arrival(500, 9.0)),
        ("stalled", Arrival(500, 0.0)),
        ("slow", Arrival(9, 5)),
    ]
    assert choose_slowest(arrivals, 5, 10.0) == ["slow"]
    assert choose_slowest(arrivals, 10, 10.0) == ["slow", "stalled"]
    assert choose_slowest(arrivals, 0, 10.0) == []


def test_ledger_chooses_a_connection_once_and_counts_it_as_freed():
    clock = Clock()
    ledger = RequestLedger(LIMITS, clock)
    stalled, quick = Connection(800), Connection(900)
    assert ledger.update(stalled) == []
    clock.now = 5.0
    assert ledger.update(quick) == [stalled]
    assert ledger.update(quick) == []


def test_complete_requests_are_never_chosen():
    """Guard against a refusal of what may run already; only incomplete requests make room."""
    ledger = RequestLedger(LIMITS, Clock())
    complete, incomplete = Connection(0, 1400), Connection(200)
    assert ledger.update(complete) == []
    assert ledger.is_full()
    assert ledger.update(incomplete) == [incomplete]
    complete.now = Held()
    ledger.settle(complete)
    assert not ledger.is_full()
    assert ledger.update(incomplete) == []


def test_time_limits_of_headers_and_bodies():
    assert overdue(LIMITS, 0.0, False, 3.0) is None
    assert overdue(LIMITS, 0.0, False, 3.1) is RefusalCause.HEADER_TIME
    assert overdue(LIMITS, 0.0, True, LIMITS.body_s) is None
    assert overdue(LIMITS, 0.0, True, LIMITS.body_s + 1) is RefusalCause.BODY_TIME


def test_refusals_are_logged_once_per_period(caplog):
    """Guard against a log line for each refused request of a flood."""
    clock = Clock()
    ledger = RequestLedger(LIMITS, clock)
    for _ in range(100):
        ledger.record_refusal(RefusalCause.MEMORY)
    clock.now = 60.0
    ledger.log_refusals()
    ledger.log_refusals()
    assert [record.causes for record in caplog.records] == [{"memory": 1}, {"memory": 99}]


def test_connection_with_the_most_unread_bytes_for_its_progress_is_chosen_first():
    inputs = [
        ("busy", UnreadInput(unread_bytes=8000, read_bytes=800_000, age_s=10.0)),
        ("stuck", UnreadInput(unread_bytes=8000, read_bytes=8000, age_s=10.0)),
        ("new", UnreadInput(unread_bytes=8000, read_bytes=2000, age_s=0.1)),
        ("read", UnreadInput(unread_bytes=0, read_bytes=1, age_s=100.0)),
    ]
    assert choose_backlogged(inputs, 9) == ["stuck", "new", "busy"]
    assert choose_backlogged(inputs, 1) == ["stuck"]
