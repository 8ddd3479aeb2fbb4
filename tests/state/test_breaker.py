import random

import pytest

from gypsumplank.errors import StateUnavailableError
from gypsumplank.state.breaker import FAILURES_TO_OPEN, OPEN_MAX_S, OPEN_MIN_S, Breaker
from gypsumplank.state.clock import ManualClock


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def opened(clock):
    breaker = Breaker(clock, random.Random(1))
    for _ in range(FAILURES_TO_OPEN):
        breaker.admit()
        breaker.failed()
    return breaker


def refuses(breaker):
    try:
        breaker.admit()
    except StateUnavailableError:
        return True
    return False


def test_opens_after_failures_in_a_row_only(clock):
    breaker = Breaker(clock, random.Random(1))
    for _ in range(FAILURES_TO_OPEN - 1):
        breaker.failed()
    breaker.succeeded()
    for _ in range(FAILURES_TO_OPEN - 1):
        breaker.failed()
    assert not refuses(breaker)
    breaker.failed()
    assert refuses(breaker)


def test_half_opens_for_one_probe(opened, clock):
    clock.advance(OPEN_MIN_S / 2)
    assert refuses(opened)
    clock.advance(OPEN_MAX_S)
    assert not refuses(opened)
    assert refuses(opened)


def test_probe_that_succeeds_closes(opened, clock):
    clock.advance(OPEN_MAX_S)
    opened.admit()
    opened.succeeded()
    assert not opened.open
    assert not refuses(opened)
    assert not refuses(opened)


def test_probe_that_fails_opens_again(opened, clock):
    clock.advance(OPEN_MAX_S)
    opened.admit()
    opened.failed()
    assert refuses(opened)
    clock.advance(OPEN_MAX_S)
    assert not refuses(opened)
