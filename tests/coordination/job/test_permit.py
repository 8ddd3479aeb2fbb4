"""Play steps that only some workers may run, against an advice service that is asked of each."""

from collections import Counter

import pytest

from gypsumplank.coordination.job.permit import (
    DENIAL_VALID_S,
    MAX_REQUEST_S,
    MAX_WORKERS_PER_REQUEST,
    RETRY_DELAY_S,
    WANTED_FOR_S,
    PermitCache,
)
from gypsumplank.errors import AdviceError
from gypsumplank.protocol.queue import AdvicePolicy
from gypsumplank.state.clock import ManualClock

WORKERS = [f"w-{number:02}" for number in range(100)]
ADVICE = AdvicePolicy(50, 5, 10_000)
ROUND_S = 0.1


class Service:
    """Answer requests as the users' advice service does, one at a time; `asked` has all of them."""

    def __init__(self, clock, allowed):
        self.clock, self.allowed = clock, set(allowed)
        self.asked, self.queued, self.fails = [], [], 0

    def request_permits(self, step, workers):
        self.asked.append((step, tuple(workers)))
        if self.fails:
            self.fails -= 1
            raise AdviceError("out")
        return {worker: f"{step}-{worker}" for worker in workers if worker in self.allowed}

    def submit(self, work, *args):
        self.queued.append((work, args))

    def answer(self, advice):
        """Answer the next request after the time that it takes."""
        if self.queued:
            work, args = self.queued.pop(0)
            before = len(self.asked)
            work(*args)
            for _, workers in self.asked[before:]:
                self.clock.advance((advice.decide_ms + advice.period_ms * len(workers)) / 1000)


class Rounds:
    """Ask for the permits of steps in each round, as the scheduler does."""

    def __init__(self, allowed, workers=WORKERS[:40], advice=ADVICE):
        self.clock, self.workers, self.advice = ManualClock(100.0), workers, advice
        self.service = Service(self.clock, allowed)
        self.cache = PermitCache(self.service, self.clock, lambda call: call(), self.service)

    def run(self, seconds, *steps):
        permits = {}
        end = self.clock.now + seconds
        while self.clock.now < end:
            permits = {step: self.cache.get(step, self.workers, self.advice) for step in steps}
            self.service.answer(self.advice)
            self.clock.advance(ROUND_S)
        return permits


@pytest.mark.parametrize("workers", [40, 100])
def test_workers_beyond_the_first_request_are_asked_about(workers):
    """Guard against LOST: a job waited for ever, as only the first 30 workers were asked about."""
    rounds = Rounds(WORKERS[workers - 5 : workers], WORKERS[:workers])
    permits = rounds.run(3.0, "step")
    assert permits["step"].keys() == set(WORKERS[workers - 5 : workers])
    assert max(len(asked) for _, asked in rounds.service.asked) <= MAX_WORKERS_PER_REQUEST


def test_step_that_no_worker_may_run_asks_seldom():
    rounds = Rounds([])
    rounds.run(DENIAL_VALID_S - 1.0, "step")
    times = Counter(worker for _, asked in rounds.service.asked for worker in asked)
    assert times == Counter(WORKERS[:40])
    rounds.run(DENIAL_VALID_S, "step")
    times = Counter(worker for _, asked in rounds.service.asked for worker in asked)
    assert set(times.values()) == {2}


def test_new_worker_is_asked_about_at_once():
    rounds = Rounds([WORKERS[50]])
    rounds.run(5.0, "step")
    rounds.workers = [*WORKERS[:40], WORKERS[50]]
    assert rounds.run(1.0, "step")["step"].keys() == {WORKERS[50]}
    assert rounds.service.asked[-1] == ("step", (WORKERS[50],))


def test_step_that_waits_in_spite_of_its_permits_learns_of_other_workers():
    """Guard against LOST: the workers that were allowed first may be full."""
    rounds = Rounds([WORKERS[0], WORKERS[39]])
    assert rounds.run(2 * RETRY_DELAY_S, "step")["step"].keys() == {WORKERS[0], WORKERS[39]}


def test_permit_that_has_run_out_is_requested_for_its_worker_only():
    rounds = Rounds([WORKERS[35]])
    rounds.run(2.0, "step")
    rounds.service.asked.clear()
    assert rounds.run(ADVICE.valid_ms / 1000, "step")["step"].keys() == {WORKERS[35]}
    assert rounds.service.asked == [("step", (WORKERS[35],))]


def test_worker_that_is_not_allowed_any_more_has_no_permit():
    rounds = Rounds([WORKERS[3]])
    rounds.run(2.0, "step")
    rounds.service.allowed = set()
    assert rounds.run(ADVICE.valid_ms / 1000, "step") == {"step": {}}


def test_one_request_is_sent_at_a_time_and_answered_in_time():
    """Guard against LOST: requests that were given up kept the service from answering others."""
    advice = AdvicePolicy(200, 20, 60_000)
    rounds = Rounds(WORKERS[:32], WORKERS[:32], advice)
    steps = [f"step-{number}" for number in range(16)]
    permits = rounds.run(16 * 2 * (MAX_REQUEST_S + ROUND_S), *steps)
    assert all(permits[step] for step in steps)
    costs = [advice.decide_ms + advice.period_ms * len(asked) for _, asked in rounds.service.asked]
    assert max(costs) <= MAX_REQUEST_S * 1000
    cache = PermitCache(rounds.service, rounds.clock, lambda call: call())
    assert cache._executor._max_workers == 1


def test_no_request_is_sent_for_a_step_that_is_not_ready_any_more():
    rounds = Rounds(WORKERS)
    rounds.cache.get("gone", rounds.workers, ADVICE)
    rounds.clock.advance(WANTED_FOR_S + ROUND_S)
    rounds.run(1.0, "step")
    assert {step for step, _ in rounds.service.asked} == {"step"}


def test_failed_request_is_repeated_after_a_delay():
    rounds = Rounds(WORKERS)
    rounds.service.fails = 1
    assert rounds.run(2 * ROUND_S, "step") == {"step": {}}
    assert rounds.run(RETRY_DELAY_S + 3 * ROUND_S, "step")["step"]
    first, second = rounds.service.asked[:2]
    assert first == second


def test_step_without_permits_is_asked_about_before_the_others_of_one_that_has_some():
    """Guard against steps that wait for capacity and hold up those that could start."""
    rounds = Rounds(WORKERS[:1])
    assert rounds.run(4 * ROUND_S, "waits")["waits"]
    rounds.clock.advance(RETRY_DELAY_S)
    for step in ("new", "waits", "newer"):
        rounds.cache.get(step, rounds.workers, ADVICE)
    assert [args[0] for _, args in rounds.service.queued] == ["new", "newer"]
    rounds.run(4.0, "waits")
    asked = [workers for step, workers in rounds.service.asked if step == "waits"]
    assert set().union(*asked) == set(rounds.workers)
