import pytest

from gypsumplank.coordination.job.instance import WorkerClock, WorkerInstance
from gypsumplank.coordination.job.silence import SILENCE_TIMEOUT_S, SilentWorkers
from gypsumplank.errors import StateUnavailableError
from gypsumplank.protocol.job import Resources
from gypsumplank.protocol.worker import WorkerEntry, WorkerState
from gypsumplank.state.clock import ClockRange, ManualClock
from gypsumplank.state.table import Check

FENCE = Check("leases", "scheduler", 1)
LEASE_S = 6.0
MAX_REMAINING_LEASE_S = 9.0


class MemorySilences:
    def __init__(self):
        self.rows = {}
        self.unavailable = False

    def silent_workers(self):
        return dict(self.rows)

    def update_silent_workers(self, fence, since, ended):
        if self.unavailable:
            raise StateUnavailableError("down")
        self.rows.update(since)
        for instance_id in ended:
            self.rows.pop(instance_id, None)


class Terms:
    """Play terms of leaders over one store; the store's clock lags by `lag_ms`."""

    def __init__(self):
        self.clock, self.store, self.lag_ms = ManualClock(100.0), MemorySilences(), 0
        self.take_over()

    def take_over(self):
        now = self.clock.now
        self.worker = WorkerInstance(make_entry(), 1, WorkerClock(0, now))
        self.worker.tasks["task"] = object()
        self.worker.inherit_leases(now, MAX_REMAINING_LEASE_S)
        self.silent_workers = SilentWorkers(self.store, self.store_clock)
        self.silent_workers.load([self.worker], MAX_REMAINING_LEASE_S, now)

    def store_clock(self):
        now_ms = int(self.clock.now * 1000)
        return ClockRange(now_ms - self.lag_ms, now_ms + 1)

    def answer(self):
        now = self.clock.now
        if not self.worker.last_contact_at:
            self.worker.limit_inherited_leases(now, LEASE_S)
        self.worker.last_contact_at, self.worker.missed_polls = now, 0
        self.worker.try_extend_leases(now, LEASE_S)

    def update(self):
        now = self.clock.now
        self.silent_workers.update(FENCE, [self.worker], now, now)

    def run(self, seconds, answering=False):
        for _ in range(round(seconds * 10)):
            self.clock.advance(0.1)
            if answering:
                self.answer()
            else:
                self.worker.missed_polls += 1
            self.update()


def make_entry():
    return WorkerEntry("w", "svc", "m", "http://w", WorkerState.READY, Resources(1, 1, 0))


@pytest.fixture
def terms():
    return Terms()


def test_worker_that_falls_silent_during_a_term_is_recorded(terms):
    terms.run(5.0, answering=True)
    assert terms.store.rows == {}
    terms.run(SILENCE_TIMEOUT_S + 0.1)
    assert list(terms.store.rows) == [terms.worker.instance_id]
    assert terms.worker.extension_suspended


@pytest.mark.parametrize("lag_ms", [0, 1000])
def test_successor_waits_until_the_recorded_leases_end_and_no_longer(terms, lag_ms):
    terms.run(5.0, answering=True)
    terms.run(SILENCE_TIMEOUT_S + 0.1)
    leased_until = terms.worker.leased_until
    terms.lag_ms = lag_ms
    for _ in range(2):
        terms.run(1.0)
        terms.take_over()
        assert leased_until <= terms.worker.leased_until
        assert terms.worker.leased_until <= leased_until + lag_ms / 1000 + 0.2
    terms.run(6.0)
    terms.take_over()
    assert terms.worker.leases_have_expired(terms.clock.now + 0.3)


def test_worker_that_answers_is_leased_again_once_its_record_is_removed(terms):
    terms.run(5.0, answering=True)
    terms.run(SILENCE_TIMEOUT_S + 0.1)
    terms.store.unavailable = True
    terms.clock.advance(0.1)
    terms.answer()
    with pytest.raises(StateUnavailableError):
        terms.update()
    assert terms.worker.extension_suspended
    terms.store.unavailable = False
    terms.update()
    assert terms.store.rows == {}
    assert not terms.worker.extension_suspended


def test_worker_whose_record_failed_to_be_written_is_leased_again_once_it_answers(terms):
    terms.store.unavailable = True
    terms.clock.advance(SILENCE_TIMEOUT_S + 0.1)
    with pytest.raises(StateUnavailableError):
        terms.update()
    terms.store.unavailable = False
    terms.clock.advance(0.1)
    terms.answer()
    terms.update()
    assert not terms.worker.extension_suspended
    assert terms.store.rows == {}


def test_record_that_failed_to_be_written_is_written_later(terms):
    terms.store.unavailable = True
    terms.clock.advance(SILENCE_TIMEOUT_S + 0.1)
    with pytest.raises(StateUnavailableError):
        terms.update()
    terms.store.unavailable = False
    terms.run(0.1)
    assert list(terms.store.rows) == [terms.worker.instance_id]


def test_worker_that_lost_its_tasks_while_silent_gets_tasks_again(terms):
    terms.run(5.0, answering=True)
    terms.run(SILENCE_TIMEOUT_S + 0.1)
    terms.worker.tasks.clear()
    terms.run(0.2, answering=True)
    assert terms.store.rows == {}
    assert not terms.worker.extension_suspended
    assert terms.worker.accepts_tasks(terms.clock.now)
