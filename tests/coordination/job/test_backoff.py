"""Guard against each request retrying on its own at a partition that throttles."""

import random

from gypsumplank.coordination.job.backoff import MAX_SPACING_S, PartitionBackoff


def test_requests_share_the_spacing_of_a_throttled_partition():
    backoff = PartitionBackoff(random.Random(1))
    assert backoff.reserve("a", 1.0, 2.0) == 1.0
    backoff.record_throttled("a", 1.0)
    slots = [backoff.reserve("a", 1.0, 9.0) for _ in range(4)]
    assert slots == sorted(slots)
    assert min(later - earlier for earlier, later in zip(slots, slots[1:], strict=False)) > 0.05
    assert backoff.reserve("b", 1.0, 2.0) == 1.0


def test_no_slot_is_given_after_the_deadline_and_none_is_lost():
    backoff = PartitionBackoff(random.Random(1))
    for _ in range(20):
        backoff.record_throttled("a", 1.0)
    assert [backoff.reserve("a", 1.0, 1.01) for _ in range(99)] == [None] * 99
    assert backoff.reserve("a", 1.0, 9.0) < 1.0 + 2 * MAX_SPACING_S


def test_accepted_calls_end_the_spacing():
    backoff = PartitionBackoff(random.Random(1))
    backoff.record_throttled("a", 1.0)
    for _ in range(10):
        backoff.record_accepted("a")
    assert backoff.reserve("a", 1.0, 2.0) == 1.0
    assert not backoff._spacing
