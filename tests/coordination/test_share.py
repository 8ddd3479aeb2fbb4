from hypothesis import given
from hypothesis import strategies as st

from gypsumplank.coordination.peer import MemoryPeers
from gypsumplank.coordination.share import HEARD_FOR_S, REPEAT_S, DemandTable, split_slots
from gypsumplank.protocol.peer import Demand
from gypsumplank.state.clock import ManualClock

HOSTS = {f"h{i}": 8 for i in range(8)}
NAMES = st.sampled_from([f"d{i}" for i in range(7)])


@given(
    st.dictionaries(NAMES, st.integers(1, 500), min_size=1),
    st.dictionaries(st.sampled_from(list(HOSTS)), st.integers(0, 16)),
)
def test_parts_of_all_add_up_to_each_hosts_slots(weights, slots):
    parts = [split_slots(weights, slots, name) for name in weights]
    for host, count in slots.items():
        assert sum(part.get(host, 0) for part in parts) == count


@given(st.dictionaries(NAMES, st.integers(1, 500), min_size=1))
def test_part_spreads_evenly_over_hosts(weights):
    for name in weights:
        part = split_slots(weights, HOSTS, name)
        counts = [part.get(host, 0) for host in HOSTS]
        assert max(counts) - min(counts) <= 1


class Group:
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

    def tick(self, *but):
        for name, table in self.tables.items():
            if name not in but:
                table.tick()

    def parts(self, name):
        weights = self.tables[name].weights("quotes")
        return sum(split_slots(weights, HOSTS, name).values())


def test_daemon_with_all_the_demand_gets_nearly_all_slots():
    group = Group(7)
    group.demand["d3"] = {"quotes": 120}
    group.tick()
    assert sum(map(group.parts, group.live)) < 64, "the others make room first"
    group.tick()
    assert group.parts("d3") >= 0.9 * 64
    assert sum(map(group.parts, group.live)) == 64


def test_demand_that_ends_gives_slots_back_by_halves():
    group = Group(2)
    group.demand["d0"] = {"quotes": 100}
    group.tick()
    group.tick()
    before = group.parts("d0")
    group.demand["d0"] = {}
    for _ in range(7):
        group.tick()
    assert before > 60
    assert group.parts("d0") == 32


def test_paused_daemon_loses_its_slots_and_comes_back_on_a_fixed_split():
    group = Group(3)
    group.demand["d0"] = {"quotes": 100}
    group.tick()
    group.clock.advance(HEARD_FOR_S + 0.1)
    group.tick("d0")
    assert group.parts("d1") + group.parts("d2") == 64
    group.clock.advance(HEARD_FOR_S + 0.1)
    assert group.parts("d0") in (21, 22)


def test_cut_off_from_peers_all_use_a_fixed_split():
    group = Group(3)
    for peers in group.peers.values():
        peers.cut_off = True
    group.demand["d0"] = {"quotes": 100}
    group.tick()
    assert sorted(map(group.parts, group.live)) == [21, 21, 22]


def test_steady_demand_is_told_once_until_it_must_be_repeated():
    group, heard = Group(2), []
    group.peers["d1"].subscribe(Demand, heard.append)
    for count in (100, 110, 90, 100, 105):
        group.demand["d0"] = {"quotes": count}
        group.tables["d0"].tick()
    assert len(heard) == 1
    group.clock.advance(REPEAT_S)
    group.tables["d0"].tick()
    assert len(heard) == 2


def test_new_daemon_starts_small():
    group = Group(3)
    group.demand |= {"d0": {"quotes": 30}, "d1": {"quotes": 30}}
    group.tick()
    assert group.parts("d2") <= 2


def test_totals_add_what_all_heard_daemons_hold_and_wait_for():
    group = Group(2)
    group.demand = {"d0": {"a": 3}, "d1": {"a": 4, "b": 1}}
    group.tables["d1"].tick()
    assert group.tables["d0"].totals() == {"a": 7, "b": 1}
    group.clock.advance(HEARD_FOR_S + 1.0)
    assert group.tables["d0"].totals() == {"a": 3}
