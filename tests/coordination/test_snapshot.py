import itertools
import math
import random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from gypsumplank.coordination.follower import Follower
from gypsumplank.coordination.heartbeat import Heartbeat
from gypsumplank.coordination.peer import MemoryPeers
from gypsumplank.coordination.rollout import Own, Rollout
from gypsumplank.coordination.snapshot import Snapshots
from gypsumplank.errors import StateUnavailableError
from gypsumplank.protocol.peer import Hello, Snapshot
from gypsumplank.protocol.record import Kind, Record, pack_records
from gypsumplank.state.clock import ManualClock
from gypsumplank.state.config import Change, ConfigStore
from gypsumplank.state.session import Session, SessionStore
from gypsumplank.state.table import MemoryTable
from gypsumplank.state.view import ViewHolder

LEASE_S = 5.0


class OutTable(MemoryTable):
    out = False

    def get(self, table, key):
        if self.out:
            raise StateUnavailableError
        return super().get(table, key)

    def scan(self, table, prefix="", after="", limit=1000):
        if self.out:
            raise StateUnavailableError
        return super().scan(table, prefix, after, limit)

    def commit(self, txn):
        if self.out:
            raise StateUnavailableError
        return super().commit(txn)


def session(name):
    return Session(name, 0, "z", "", "", f"{name}:1", 0, 0.0)


class Node:
    """Hold one daemon's session, follower, rollout and snapshots over one table."""

    def __init__(self, name, table, clock, seed=1):
        self.peers, self.holder = MemoryPeers(name), ViewHolder()
        self.beat = Heartbeat(SessionStore(table), clock, session(name), LEASE_S, self.revision)
        own = Own(lambda: self.beat.session, self.revision, lambda: self.follower.caught_up)
        self.rollout = Rollout(own, self.peers, clock, lambda: self.beat.live, lambda: None)
        self.follower = Follower(
            ConfigStore(table, clock), self.holder, self.rollout.acknowledge, self.rollout.ahead
        )
        self.snapshots = Snapshots(
            self.peers,
            self.holder,
            self.follower,
            self.rollout,
            clock,
            lambda: self.beat.session,
            lambda: self.beat.live,
            LEASE_S,
            random.Random(seed),
        )

    def revision(self):
        return self.holder.current.revision

    def tick(self):
        self.beat.tick()
        self.follower.tick()
        self.rollout.tick()
        self.snapshots.tick()


def fleet():
    table, clock = OutTable(), ManualClock()
    store = ConfigStore(table, clock)
    for number in range(3):
        store.accept(Change(f"op-{number}", (Record(Kind.POOL, f"p{number}", 2),)))
    a, b = (Node(name, table, clock) for name in "ab")
    a.peers.join(b.peers)
    for node in (a, b, a):
        node.beat.tick()
        clock.advance(1.0)
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
        clock.advance(1.0)
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


def test_not_ready_while_the_snapshot_of_a_daemon_ahead_is_lost():
    table, clock = OutTable(), ManualClock()
    table.out = True
    late = start(table, clock)
    late.peers.deliver(Snapshot("b", 1, 0, b"", {"b": "b:1"}))
    late.peers.deliver(Hello("b", 1, "b:1", 9, True))
    late.tick()
    assert not late.follower.caught_up
    late.peers.deliver(Snapshot("b", 1, 9, pack_records(()), {"b": "b:1"}))
    late.tick()
    assert late.follower.caught_up


def test_malformed_snapshot_is_refused(caplog):
    table, clock, _, a, _ = fleet()
    a.tick()
    a.peers.deliver(Snapshot("x", 1, 9, b"rubbish", {}))
    assert a.holder.current.revision == 3
    assert "peer-failed" in caplog.text


class DistributionMachine(RuleBasedStateMachine):
    """Restart daemons, cut them off and take the store away; revisions only rise."""

    def __init__(self):
        super().__init__()
        self.table, self.clock = OutTable(), ManualClock()
        self.store = ConfigStore(self.table, self.clock, pause=lambda _s: None)
        self.numbers = itertools.count(1)
        self.nodes, self.ready, self.cut_at = {}, {}, {}
        self.highest = dict.fromkeys("abc", 0)
        for name in "abc":
            self.start(name)

    def start(self, name):
        node = Node(name, self.table, self.clock, next(self.numbers))
        self.nodes[name], self.ready[name] = node, False
        for other in self.nodes.values():
            node.peers.join(other.peers)

    @rule()
    def accept(self):
        if not self.table.out:
            number = next(self.numbers)
            self.store.accept(Change(f"op-{number}", (Record(Kind.POOL, f"p{number % 3}", 2),)))

    @rule(name=st.sampled_from("abc"))
    def tick(self, name):
        self.nodes[name].tick()

    @rule(seconds=st.sampled_from([0.5, 1.0, 2.0]), rounds=st.integers(1, 8))
    def run(self, seconds, rounds):
        for _ in range(rounds):
            for node in self.nodes.values():
                node.tick()
            self.clock.advance(seconds)
            self.rises()

    @rule()
    def toggle_store(self):
        self.table.out = not self.table.out

    @rule(name=st.sampled_from("abc"), cut=st.booleans())
    def cut_off(self, name, cut):
        self.nodes[name].peers.cut_off = cut
        self.cut_at[name] = self.clock.now

    @rule(name=st.sampled_from("abc"))
    def restart(self, name):
        self.nodes[name].peers.cut_off = True
        self.start(name)
        self.highest[name] = 0

    @invariant()
    def rises(self):
        for name, node in self.nodes.items():
            revision = node.holder.current.revision
            assert revision >= self.highest[name]
            self.highest[name] = revision
            if node.follower.caught_up and not self.ready[name]:
                heard = [other for key, other in self.nodes.items() if self.is_connected(key)]
                ready = (
                    [o for o in heard if o.follower.caught_up] if self.is_connected(name) else []
                )
                newest = max((o.holder.current.revision for o in ready), default=0)
                assert revision >= newest, f"{name} is ready on {revision}, a peer has {newest}"
            self.ready[name] = node.follower.caught_up

    def is_connected(self, name):
        """Tell whether a daemon was reachable for long enough to be heard."""
        since = self.clock.now - self.cut_at.get(name, -math.inf)
        return not self.nodes[name].peers.cut_off and since > 2 * LEASE_S

    def teardown(self):
        self.table.out = False
        for node in self.nodes.values():
            node.peers.cut_off = False
        for _ in range(3):
            self.run(1.0, 4)
        newest = self.store.head()[0].revision
        for node in self.nodes.values():
            assert node.follower.caught_up
            assert node.holder.current.revision == newest


TestDistribution = DistributionMachine.TestCase
TestDistribution.settings = settings(max_examples=150, stateful_step_count=30)
