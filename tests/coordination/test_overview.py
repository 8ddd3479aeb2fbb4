from gypsumplank.coordination.overview import OverviewBuilder, min_serving_hosts
from gypsumplank.protocol.overview import PoolOverview, WaveOverview
from gypsumplank.protocol.record import Kind, Record
from gypsumplank.state.view import build_view
from tests.coordination.test_burn import assignment, host

VIEW = build_view(
    7,
    (
        Record(Kind.POOL, "quotes", 2, {"budget": {"min_in_service": 1, "min_share": 0.7}}),
        Record(Kind.WAVE, "spring", 2, {"pools": ["quotes"]}),
        *map(host, "abc"),
        assignment("a", "quotes", "draining"),
        assignment("b", "quotes", "out"),
    ),
)


def test_hosts_by_state_and_broken_budget():
    builder = OverviewBuilder(
        "entry-0", lambda: VIEW, lambda: {"c": 2, "x": 9}, lambda: {"quotes": 4}
    )
    found = builder.overview()
    assert found.pools == (PoolOverview("quotes", 3, 1, 1, 1, 3, 2),)
    assert not found.pools[0].meets_budget
    assert found.waves == (WaveOverview("spring", 3, 1, 1),)
    assert (found.revision, found.waiting) == (7, {"quotes": 4})


def test_min_serving_hosts_is_the_larger_of_count_and_share():
    assert min_serving_hosts(VIEW, "quotes") == 3
