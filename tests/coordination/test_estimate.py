from gypsumplank.coordination.estimate import Estimate


def test_follows_what_is_measured():
    estimate = Estimate()
    for seconds in [1.0] * 5 + [3.0] * 60:
        estimate.record(seconds)
    assert 2.9 < estimate.mean_s < 3.01
    assert estimate.likely_s >= estimate.mean_s
