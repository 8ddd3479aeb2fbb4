import random

import pytest

from gypsumplank.errors import StateUnavailableError
from gypsumplank.state.breaker import FAILURES_TO_OPEN, OPEN_MAX_S, OPEN_MIN_S, CircuitBreaker
from gypsumplank.state.clock import ManualClock


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def open_breaker(clock):
    breaker = CircuitBreaker(clock, random.Random(1))
    for _ in range(FAILURES_TO_OPEN):
        breaker.admit()
        breaker.record_failure()
    return breaker


def is_refused(breaker):
    try:
        breaker.admit()
    except StateUnavailableError:
        return True
    return False


def test_opens_after_consecutive_failures_only(clock):
    breaker = CircuitBreaker(clock, random.Random(1))
    for _ in range(FAILURES_TO_OPEN - 1):
        breaker.record_failure()
    breaker.record_success()
    for _ in range(FAILURES_TO_OPEN - 1):
        breaker.record_failure()
    assert not is_refused(breaker)
    breaker.record_failure()
    assert is_refused(breaker)


def test_half_open_breaker_admits_one_probe(open_breaker, clock):
    clock.advance(OPEN_MIN_S / 2)
    assert is_refused(open_breaker)
    clock.advance(OPEN_MAX_S)
    assert not is_refused(open_breaker)
    assert is_refused(open_breaker)


def test_successful_probe_closes_the_breaker(open_breaker, clock):
    clock.advance(OPEN_MAX_S)
    open_breaker.admit()
    open_breaker.record_success()
    assert not open_breaker.is_open
    assert not is_refused(open_breaker)
    assert not is_refused(open_breaker)


def test_failed_probe_opens_the_breaker_again(open_breaker, clock):
    clock.advance(OPEN_MAX_S)
    open_breaker.admit()
    open_breaker.record_failure()
    assert is_refused(open_breaker)
    clock.advance(OPEN_MAX_S)
    assert not is_refused(open_breaker)
