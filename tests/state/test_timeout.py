from hypothesis import given
from hypothesis import strategies as st

from gypsumplank.state.timeout import AdaptiveTimeout

MIN_S, MAX_S = 0.4, 1.2


def make_timeout(latencies=()):
    timeout = AdaptiveTimeout(MIN_S, MAX_S)
    for latency_s in latencies:
        timeout.record_response(latency_s)
    return timeout


def test_lost_responses_of_a_fast_service_cost_the_shortest_timeout():
    timeout = make_timeout([0.02] * 10)
    assert timeout.current_s == MIN_S
    timeout.record_timeout()
    timeout.record_response(0.02)
    assert timeout.current_s == MIN_S


def test_service_that_becomes_slow_is_waited_for_after_two_timeouts():
    timeout = make_timeout([0.02] * 10)
    timeout.record_timeout()
    timeout.record_timeout()
    assert timeout.current_s == MAX_S
    timeout.record_response(0.9)
    assert timeout.current_s == MAX_S


def test_timeout_returns_to_the_shortest_once_the_service_is_fast_again():
    assert make_timeout([0.9, *[0.02] * 30]).current_s == MIN_S


@given(st.lists(st.one_of(st.none(), st.floats(0, 10))))
def test_timeout_stays_within_its_bounds(events):
    timeout = make_timeout()
    for latency_s in events:
        if latency_s is None:
            timeout.record_timeout()
        else:
            timeout.record_response(latency_s)
        assert MIN_S <= timeout.current_s <= MAX_S
