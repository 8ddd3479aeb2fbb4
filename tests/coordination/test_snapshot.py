import random

from gypsumplank.coordination.follower import Follower
from gypsumplank.coordination.peer import MemoryPeers
from gypsumplank.coordination.rollout import Own, Rollout
from gypsumplank.coordination.snapshot import Snapshots
from gypsumplank.errors import StateUnavailableError
from gypsumplank.protocol.peer import Snapshot
from gypsumplank.protocol.record import Kind, Record
from gypsumplank.state.clock import ManualClock
from gypsumplank.state.config import Change, ConfigStore
from gypsumplank.state.session import Session
from gypsumplank.state.table import MemoryTable
from gypsumplank.state.view import ViewHolder

LEASE_S = 5.0


class OutTable(MemoryTable):
    out = False

    def get(self, table, key):
        if self.out:
            raise StateUnavailableError
        return super().get(table, key)


def session(name):
    return Session(name, 1, "z", "", "", f"{name}:1", 0, 0.0)


class Node:
    """Hold one daemon's follower, rollout and snapshots over one table."""

    def __init__(self, name, table, clock, live=()):
        self.session, self.live = session(name), tuple(map(session, live))
        self.peers, self.holder = MemoryPeers(name), ViewHolder()
        own = Own(
            lambda: self.session,
            lambda: self.holder.current.revision,
            lambda: self.follower.caught_up,
        )
        self.rollout = Rollout(own, self.peers, clock, lambda: self.live, lambda: None)
        self.follower = Follower(
            ConfigStore(table, clock), self.holder, self.rollout.acknowledge, self.rollout.ahead
        )
        self.snapshots = Snapshots(
            self.peers,
            self.holder,
            self.follower,
            self.rollout,
            clock,
            lambda: self.session,
            lambda: self.live,
            LEASE_S,
            random.Random(1),
        )

    def tick(self):
        self.follower.tick()
        self.rollout.tick()
        self.snapshots.tick()


def fleet(live=("a", "b")):
    table, clock = OutTable(), ManualClock()
    store = ConfigStore(table, clock)
    for number in range(3):
        store.accept(Change(f"op-{number}", (Record(Kind.POOL, f"p{number}", 2),)))
    a, b = (Node(name, table, clock, live) for name in "ab")
    a.peers.join(b.peers)
    return table, clock, store, a, b


def start(table, clock, *others):
    late = Node("late", table, clock)
    for other in others:
        late.peers.join(other.peers)
    return late


def test_daemon_that_starts_in_an_outage_takes_a_peers_records():
    table, clock, _, a, b = fleet()
    a.tick()
    b.tick()
    table.out = True
    late = start(table, clock, a, b)
    for _ in range(3):
        for node in (a, b, late):
            node.tick()
    assert late.holder.current.records == a.holder.current.records
    assert late.follower.caught_up
    assert late.snapshots.addresses == {"a": "a:1", "b": "b:1"}


def test_not_ready_while_a_named_daemon_is_unheard_within_its_lease():
    table, clock, store, a, b = fleet()
    a.tick()
    store.accept(Change("newest", (Record(Kind.POOL, "newest", 2),)))
    b.tick()
    b.peers.cut_off = True
    table.out = True
    late = start(table, clock, a, b)
    for _ in range(4):
        for node in (a, late):
            node.tick()
        assert not late.follower.caught_up
        clock.advance(1.0)
    b.peers.cut_off = False
    for node in (b, late, late):
        node.tick()
    assert late.holder.current.revision == 4
    assert late.follower.caught_up


def test_daemon_silent_for_a_lease_is_waited_for_no_longer():
    table, clock, _, a, b = fleet()
    a.tick()
    b.peers.cut_off = True
    table.out = True
    late = start(table, clock, a, b)
    for _ in range(int(LEASE_S) + 2):
        for node in (a, late):
            node.tick()
        clock.advance(1.0)
    assert late.follower.caught_up


def test_daemons_that_all_start_in_an_outage_trust_nobody():
    table, clock, _, a, b = fleet()
    table.out = True
    for _ in range(int(LEASE_S) + 5):
        for node in (a, b):
            node.tick()
        clock.advance(1.0)
    assert not a.follower.caught_up
    assert not b.follower.caught_up
    table.out = False
    a.tick()
    assert a.follower.caught_up


def test_daemon_behind_in_an_outage_catches_up_from_a_peer():
    table, clock, store, a, b = fleet()
    a.tick()
    b.tick()
    store.accept(Change("newest", (Record(Kind.POOL, "newest", 2),)))
    a.tick()
    table.out = True
    b.tick()
    assert b.holder.current.revision == 4


def test_malformed_snapshot_is_refused(caplog):
    table, clock, _, a, _ = fleet()
    a.tick()
    a.peers.deliver(Snapshot("x", 1, 9, b"rubbish", {}))
    assert a.holder.current.revision == 3
    assert "peer-failed" in caplog.text
