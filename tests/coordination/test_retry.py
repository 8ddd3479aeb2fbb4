import random

import pytest

from gypsumplank.coordination.retry import RetryPolicy, ServiceRetryBudgets


def make_policy(budget=None):
    sleeps = []
    return RetryPolicy(budget or ServiceRetryBudgets(), random.Random(7), sleeps.append), sleeps


def test_retries_are_a_fixed_ratio_of_first_attempts():
    budget = ServiceRetryBudgets(ratio=0.25, burst=2.0)
    assert [budget.try_withdraw("quotes") for _ in range(3)] == [True, True, False]
    allowed_retries = 0
    for _ in range(1000):
        budget.deposit("quotes")
        allowed_retries += budget.try_withdraw("quotes")
    assert allowed_retries == 250


def test_each_service_has_its_own_budget():
    budget = ServiceRetryBudgets(burst=1.0)
    assert budget.try_withdraw("quotes")
    assert not budget.try_withdraw("quotes")
    assert budget.try_withdraw("rounds")


@pytest.mark.parametrize(("attempts", "bound"), [(1, 0.01), (2, 0.02), (3, 0.04), (10, 0.25)])
def test_delay_has_full_jitter_under_a_doubling_bound(attempts, bound):
    policy, _ = make_policy()
    delays = [policy.random_delay_s(attempts) for _ in range(500)]
    assert 0.0 <= min(delays) < 0.1 * bound
    assert 0.9 * bound < max(delays) <= bound


@pytest.mark.parametrize(
    ("attempts", "remaining_s", "allowed"), [(1, 5.0, True), (3, 5.0, False), (1, 0.0, False)]
)
def test_retry_needs_remaining_attempts_and_time(attempts, remaining_s, allowed):
    policy, sleeps = make_policy()
    assert policy.wait_for_retry("quotes", attempts, remaining_s) is allowed
    assert len(sleeps) == allowed


def test_exhausted_budget_allows_no_retry():
    policy, sleeps = make_policy(ServiceRetryBudgets(burst=0.0))
    assert not policy.wait_for_retry("quotes", 1, 5.0)
    assert sleeps == []
