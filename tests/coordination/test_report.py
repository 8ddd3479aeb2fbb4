from collections import Counter

import pytest

from gypsumplank.coordination.burn import BurnCounter, BurnWriter
from gypsumplank.coordination.report import (
    AcceptedRevision,
    BurnReporter,
    buffer_host_share,
    on_time_share_in_floods,
    rollout_times_s,
    service_burn,
    total_moves,
    window_burn,
)
from gypsumplank.protocol.burn import BurnRow, Result, RevisionAdvance
from gypsumplank.protocol.record import Kind, Record
from gypsumplank.state.burn import BurnStore
from gypsumplank.state.clock import ManualClock
from gypsumplank.state.view import build_view
from tests.coordination.test_burn import OK, VIEW, FailingTable, host

NOW = 30_000.0


def row(bucket, writer="a", moves=0, advances=(), **services):
    counts = {
        name: {Result.ON_TIME: good, Result.FLOOD: bad} for name, (good, bad) in services.items()
    }
    return BurnRow(bucket, writer, counts, tuple(advances), moves)


def test_rate_of_one_spends_the_budget_exactly():
    counts = Counter({Result.ON_TIME: 99, Result.ENDPOINT: 1})
    burn = window_burn(counts, 300, 0.99)
    assert burn.burn_rate == pytest.approx(1.0)
    assert (burn.total, burn.on_time, burn.spent) == (100, 99, {Result.ENDPOINT: 1})


def test_burn_rate_without_requests_is_zero():
    assert window_burn(Counter(), 300, 0.99).burn_rate == 0


def test_windows_add_up_the_rows_of_all_daemons():
    rows = [
        row(29_700, "a", quotes=(10, 0)),
        row(29_700, "b", quotes=(0, 10)),
        row(27_000, "a", quotes=(20, 0)),
        row(12_000, "a", quotes=(40, 0)),
    ]
    burn = service_burn("quotes", 0.9, rows, NOW)
    assert [window.total for window in burn.windows] == [20, 40, 80]
    assert [window.burn_rate for window in burn.windows] == [5.0, 2.5, 1.25]


def test_rollout_time_is_of_the_last_daemon_and_ignores_later_starts():
    rows = [
        row(0, "a", advances=[RevisionAdvance(1, 2, 10.5)]),
        row(0, "b", advances=[RevisionAdvance(1, 3, 13.0)]),
        row(0, "started-later", advances=[RevisionAdvance(3, 4, 90.0)]),
    ]
    accepted = [AcceptedRevision(2, 10.0), AcceptedRevision(3, 11.0), AcceptedRevision(9, 1.0)]
    assert rollout_times_s(rows, accepted) == [3.0, 2.0]


def test_moves_seen_by_every_daemon_count_once():
    assert total_moves([row(0, "a", moves=2), row(0, "b", moves=2), row(300, "a", moves=1)]) == 3


def test_on_time_share_covers_other_services_during_floods_only():
    rows = [
        row(0, quotes=(1, 9), rounds=(8, 0)),
        BurnRow(0, "b", {"rounds": {Result.LATE: 2}}),
        row(300, rounds=(100, 0)),
    ]
    assert on_time_share_in_floods(rows) == pytest.approx(0.8)
    assert on_time_share_in_floods([row(0, rounds=(5, 0))]) is None


def test_buffer_counts_spare_hosts_and_hosts_beyond_the_budget():
    records = (
        Record(Kind.POOL, "quotes", 2, {"budget": {"min_in_service": 1}}),
        Record(Kind.POOL, "backoffice", 2, {"spare": True}),
        host("a"),
        host("b"),
        host("c", "backoffice"),
    )
    assert buffer_host_share(build_view(1, records)) == pytest.approx(2 / 3)
    assert buffer_host_share(build_view(1, ())) is None


def test_report_in_an_outage_uses_own_counts_and_is_incomplete():
    table, clock = FailingTable(), ManualClock(NOW)
    counter = BurnCounter("a", lambda: VIEW, clock)
    store = BurnStore(table)
    reporter = BurnReporter(
        counter, BurnWriter(counter, store, clock), store, clock, lambda: VIEW, lambda after: ()
    )
    counter.count(OK)
    assert reporter.report().complete
    table.unavailable = True
    table.reads_unavailable = True
    counter.count(OK)
    found = reporter.report()
    assert not found.complete
    assert found.services[0].windows[0].on_time == 2
