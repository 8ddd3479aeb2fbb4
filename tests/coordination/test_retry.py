import random

import pytest

from gypsumplank.coordination.retry import RetryPolicy, ServiceBudgets


def policy(budget=None):
    pauses = []
    return RetryPolicy(budget or ServiceBudgets(), random.Random(7), pauses.append), pauses


def test_budget_is_a_share_of_first_tries():
    budget = ServiceBudgets(share=0.25, reserve=2.0)
    assert [budget.spend("quotes") for _ in range(3)] == [True, True, False]
    granted = 0
    for _ in range(1000):
        budget.earn("quotes")
        granted += budget.spend("quotes")
    assert granted == 250


def test_services_have_budgets_of_their_own():
    budget = ServiceBudgets(reserve=1.0)
    assert budget.spend("quotes")
    assert not budget.spend("quotes")
    assert budget.spend("rounds")


@pytest.mark.parametrize(("tries", "bound"), [(1, 0.01), (2, 0.02), (3, 0.04), (10, 0.25)])
def test_delay_has_full_jitter_under_a_doubling_bound(tries, bound):
    found, _ = policy()
    delays = [found.delay_s(tries) for _ in range(500)]
    assert 0.0 <= min(delays) < 0.1 * bound
    assert 0.9 * bound < max(delays) <= bound


@pytest.mark.parametrize(
    ("tries", "left_s", "allowed"), [(1, 5.0, True), (3, 5.0, False), (1, 0.0, False)]
)
def test_retry_needs_tries_and_time_left(tries, left_s, allowed):
    found, pauses = policy()
    assert found.allows("quotes", tries, left_s) is allowed
    assert len(pauses) == allowed


def test_spent_budget_allows_no_retry():
    found, pauses = policy(ServiceBudgets(reserve=0.0))
    assert not found.allows("quotes", 1, 5.0)
    assert pauses == []
