from hypothesis import given
from hypothesis import strategies as st

from gypsumplank.protocol.record import Kind, Record
from gypsumplank.state.view import View, build_view, change_view

pools = st.builds(
    lambda name, schema, spare: Record(Kind.POOL, name, schema, {"spare": spare}),
    st.sampled_from("pq"),
    st.sampled_from([1, 2, 9]),
    st.booleans(),
)
hosts = st.builds(
    lambda name, pool: Record(
        Kind.HOST, name, 2, {"address": "10.0.0.1:1", "pool": pool, "zone": "z", "rack": "r"}
    ),
    st.sampled_from("abc"),
    st.sampled_from("pq"),
)
assignments = st.builds(
    lambda name, pool, state: Record(Kind.ASSIGNMENT, name, 2, {"pool": pool, "state": state}),
    st.sampled_from("abc"),
    st.sampled_from("pq"),
    st.sampled_from(["serving", "draining"]),
)
puts = st.one_of(pools, hosts, assignments).map(lambda record: (record.key, record))
deletes = st.sampled_from(["pool/p", "host/a", "assignment/a", "host/b"]).map(
    lambda key: (key, None)
)


@given(st.lists(st.lists(st.one_of(puts, deletes), max_size=4).map(dict), max_size=6))
def test_incremental_view_equals_the_view_built_from_all_records(changes):
    incremental = rebuilt = View()
    for revision, change in enumerate(changes, 1):
        incremental = change_view(incremental, revision, change)
        records = {**rebuilt.records, **change}
        kept = [record for record in records.values() if record is not None]
        rebuilt = build_view(revision, kept, rebuilt)
        assert incremental.records == rebuilt.records
        assert incremental.specs == rebuilt.specs
        assert incremental.unreadable == rebuilt.unreadable
        placement = incremental.placement
        assert (placement.members, placement.serving) == (
            rebuilt.placement.members,
            rebuilt.placement.serving,
        )
        assert all(
            name in incremental.serving_hosts(pool)
            or incremental.assignment(name).state != "serving"
            for pool in "pq"
            for name in incremental.hosts_of(pool)
        )
