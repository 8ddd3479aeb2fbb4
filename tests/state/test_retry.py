import random

from gypsumplank.state.retry import BACKOFF_MAX_S, RetryBudget, backoff_s


def test_backoff_grows_with_jitter_up_to_a_maximum():
    rng = random.Random(1)
    early = [backoff_s(1, rng) for _ in range(200)]
    late = [backoff_s(50, rng) for _ in range(200)]
    assert max(early) < max(late) <= BACKOFF_MAX_S
    assert len(set(early)) == 200


def test_budget_allows_a_burst_and_then_a_share_of_calls():
    budget = RetryBudget(tokens=3, share=0.5)
    assert [budget.try_withdraw() for _ in range(4)] == [True, True, True, False]
    budget.deposit()
    assert not budget.try_withdraw()
    budget.deposit()
    assert budget.try_withdraw()
    for _ in range(100):
        budget.deposit()
    assert [budget.try_withdraw() for _ in range(4)] == [True, True, True, False]
