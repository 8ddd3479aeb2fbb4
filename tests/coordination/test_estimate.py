from gypsumplank.coordination.estimate import DurationEstimate


def test_mean_follows_recent_durations():
    estimate = DurationEstimate()
    for seconds in [1.0] * 5 + [3.0] * 60:
        estimate.record(seconds)
    assert 2.9 < estimate.mean_s < 3.01
    assert estimate.upper_estimate_s >= estimate.mean_s
