import pytest

from gypsumplank.coordination.job.orderqueue import (
    MAX_PARALLEL_ORDERS,
    SLOW_ORDER_S,
    OrderQueue,
)
from gypsumplank.state.clock import ManualClock

ORDERS = 3 * MAX_PARALLEL_ORDERS


class Senders:
    """Run what the queue submits one by one, and record the orders sent."""

    def __init__(self):
        self.clock = ManualClock(100.0)
        self.submitted = []
        self.sent = []
        self.queue = OrderQueue(self.submitted.append, self.clock)

    def add(self, worker, number, duration_s=0.0, outcome=True):
        def order():
            self.sent.append((worker, number))
            self.clock.advance(duration_s)
            if isinstance(outcome, Exception):
                raise outcome
            return outcome

        self.queue.add(worker, order)

    def run(self):
        while self.submitted:
            self.submitted.pop(0)()


def test_orders_for_a_worker_wait_for_others_but_not_for_those_of_another_worker():
    senders = Senders()
    for _ in range(2):
        senders.sent.clear()
        for number in range(ORDERS):
            senders.add("w", number)
        senders.add("v", 0)
        assert len(senders.submitted) == MAX_PARALLEL_ORDERS + 1
        senders.submitted.pop()()
        senders.submitted.pop(0)()
        # The first sender also sends all that wait.
        expected = [0, *range(MAX_PARALLEL_ORDERS, ORDERS)]
        assert senders.sent == [("v", 0)] + [("w", number) for number in expected]
        senders.run()
        assert len(senders.sent) == ORDERS + 1


@pytest.mark.parametrize(
    "first",
    [{"outcome": False}, {"outcome": RuntimeError("bug")}, {"duration_s": 2 * SLOW_ORDER_S}],
    ids=["failed", "raised", "slow"],
)
def test_orders_do_not_wait_any_longer_for_a_worker_that_is_slow_or_fails(first):
    senders = Senders()
    for number in range(ORDERS):
        senders.add("w", number, **({} if number else first))
    senders.submitted.pop(0)()
    assert senders.sent == [("w", 0)]
    assert len(senders.submitted) == ORDERS - 1
    senders.run()
    assert sorted(senders.sent) == [("w", number) for number in range(ORDERS)]
    assert not senders.queue._lanes
