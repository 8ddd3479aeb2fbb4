from hypothesis import given
from hypothesis import strategies as st

from gypsumplank.coordination.peer import MemoryPeers
from gypsumplank.coordination.share import (
    PEER_DEMAND_TTL_S,
    REBROADCAST_INTERVAL_S,
    DemandTable,
    split_slots,
)
from gypsumplank.protocol.peer import Demand
from gypsumplank.state.clock import ManualClock

HOSTS = {f"h{i}": 8 for i in range(8)}
DAEMON_NAMES = st.sampled_from([f"d{i}" for i in range(7)])


@given(
    st.dictionaries(DAEMON_NAMES, st.integers(1, 500), min_size=1),
    st.dictionaries(st.sampled_from(list(HOSTS)), st.integers(0, 16)),
)
def test_splits_of_all_daemons_add_up_to_each_hosts_slots(weights, slots):
    splits = [split_slots(weights, slots, name) for name in weights]
    for host, count in slots.items():
        assert sum(split.get(host, 0) for split in splits) == count


@given(st.dictionaries(DAEMON_NAMES, st.integers(1, 500), min_size=1))
def test_split_is_even_across_hosts(weights):
    for name in weights:
        split = split_slots(weights, HOSTS, name)
        counts = [split.get(host, 0) for host in HOSTS]
        assert max(counts) - min(counts) <= 1


class DaemonGroup:
    def __init__(self, count):
        self.clock = ManualClock(10.0)
        self.live = [f"d{i}" for i in range(count)]
        self.demand = {name: {} for name in self.live}
        self.peers = {name: MemoryPeers() for name in self.live}
        for name in self.live[1:]:
            self.peers[self.live[0]].join(self.peers[name])
        self.tables = {name: self.table(name) for name in self.live}

    def table(self, name):
        return DemandTable(
            name, self.peers[name], self.clock, lambda: self.live, lambda: self.demand[name]
        )

    def tick(self, *paused):
        for name, table in self.tables.items():
            if name not in paused:
                table.tick()

    def slot_count(self, name):
        weights = self.tables[name].weights("quotes")
        return sum(split_slots(weights, HOSTS, name).values())


def test_daemon_with_all_the_demand_gets_nearly_all_slots():
    group = DaemonGroup(7)
    group.demand["d3"] = {"quotes": 120}
    group.tick()
    assert sum(map(group.slot_count, group.live)) < 64, "the other daemons release slots first"
    group.tick()
    assert group.slot_count("d3") >= 0.9 * 64
    assert sum(map(group.slot_count, group.live)) == 64


def test_slots_are_released_by_halves_after_demand_ends():
    group = DaemonGroup(2)
    group.demand["d0"] = {"quotes": 100}
    group.tick()
    group.tick()
    before = group.slot_count("d0")
    group.demand["d0"] = {}
    for _ in range(7):
        group.tick()
    assert before > 60
    assert group.slot_count("d0") == 32


def test_paused_daemon_loses_its_slots_and_resumes_on_an_even_split():
    group = DaemonGroup(3)
    group.demand["d0"] = {"quotes": 100}
    group.tick()
    group.clock.advance(PEER_DEMAND_TTL_S + 0.1)
    group.tick("d0")
    assert group.slot_count("d1") + group.slot_count("d2") == 64
    group.clock.advance(PEER_DEMAND_TTL_S + 0.1)
    assert group.slot_count("d0") in (21, 22)


def test_daemons_isolated_from_peers_use_an_even_split():
    group = DaemonGroup(3)
    for peers in group.peers.values():
        peers.partitioned = True
    group.demand["d0"] = {"quotes": 100}
    group.tick()
    assert sorted(map(group.slot_count, group.live)) == [21, 21, 22]


def test_steady_demand_is_broadcast_only_at_the_rebroadcast_interval():
    group, messages = DaemonGroup(2), []
    group.peers["d1"].subscribe(Demand, messages.append)
    for count in (100, 110, 90, 100, 105):
        group.demand["d0"] = {"quotes": count}
        group.tables["d0"].tick()
    assert len(messages) == 1
    group.clock.advance(REBROADCAST_INTERVAL_S)
    group.tables["d0"].tick()
    assert len(messages) == 2


def test_new_daemon_gets_few_slots():
    group = DaemonGroup(3)
    group.demand |= {"d0": {"quotes": 30}, "d1": {"quotes": 30}}
    group.tick()
    assert group.slot_count("d2") <= 2


def test_totals_sum_the_demand_of_all_recently_heard_daemons():
    group = DaemonGroup(2)
    group.demand = {"d0": {"a": 3}, "d1": {"a": 4, "b": 1}}
    group.tables["d1"].tick()
    assert group.tables["d0"].total_demand() == {"a": 7, "b": 1}
    group.clock.advance(PEER_DEMAND_TTL_S + 1.0)
    assert group.tables["d0"].total_demand() == {"a": 3}
