import itertools
import math
import random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from gypsumplank.coordination.follower import ConfigFollower
from gypsumplank.coordination.heartbeat import Heartbeat
from gypsumplank.coordination.peer import MemoryPeers
from gypsumplank.coordination.rollout import LocalState, RevisionTracker
from gypsumplank.coordination.snapshot import SnapshotExchange
from gypsumplank.errors import StateUnavailableError
from gypsumplank.protocol.peer import Hello, Snapshot
from gypsumplank.protocol.record import Kind, Record, pack_records
from gypsumplank.state.clock import ManualClock
from gypsumplank.state.config import Change, ConfigStore
from gypsumplank.state.session import Session, SessionStore
from gypsumplank.state.table import MemoryTable
from gypsumplank.state.view import CurrentView

LEASE_S = 5.0


class UnavailableTable(MemoryTable):
    unavailable = False

    def get(self, table, key):
        if self.unavailable:
            raise StateUnavailableError
        return super().get(table, key)

    def scan(self, table, prefix="", after="", limit=1000):
        if self.unavailable:
            raise StateUnavailableError
        return super().scan(table, prefix, after, limit)

    def commit(self, txn):
        if self.unavailable:
            raise StateUnavailableError
        return super().commit(txn)


def session(name):
    return Session(name, 0, "z", "", "", f"{name}:1", 0, 0.0)


class Node:
    """Set up the session, follower, rollout and snapshots of one daemon over a table."""

    def __init__(self, name, table, clock, seed=1):
        self.peers, self.current_view = MemoryPeers(name), CurrentView()
        self.heartbeat = Heartbeat(
            SessionStore(table), clock, session(name), LEASE_S, self.revision
        )
        own = LocalState(
            lambda: self.heartbeat.session, self.revision, lambda: self.follower.caught_up
        )
        self.rollout = RevisionTracker(
            own, self.peers, clock, lambda: self.heartbeat.live, lambda: None
        )
        self.follower = ConfigFollower(
            ConfigStore(table, clock),
            self.current_view,
            self.rollout.announce_in_force,
            self.rollout.newest_revision,
        )
        self.snapshots = SnapshotExchange(
            self.peers,
            self.current_view,
            self.follower,
            self.rollout,
            clock,
            lambda: self.heartbeat.session,
            lambda: self.heartbeat.live,
            LEASE_S,
            random.Random(seed),
        )

    def revision(self):
        return self.current_view.view.revision

    def tick(self):
        self.heartbeat.tick()
        self.follower.tick()
        self.rollout.tick()
        self.snapshots.tick()


def make_nodes():
    table, clock = UnavailableTable(), ManualClock()
    store = ConfigStore(table, clock)
    for number in range(3):
        store.accept(Change(f"op-{number}", (Record(Kind.POOL, f"p{number}", 2),)))
    a, b = (Node(name, table, clock) for name in "ab")
    a.peers.join(b.peers)
    for node in (a, b, a):
        node.heartbeat.tick()
        clock.advance(1.0)
    return table, clock, store, a, b


def start_node(table, clock, *others):
    late_node = Node("late", table, clock)
    for other in others:
        late_node.peers.join(other.peers)
    return late_node


def test_daemon_started_in_an_outage_loads_the_records_of_a_peer():
    table, clock, _, a, b = make_nodes()
    a.tick()
    b.tick()
    table.unavailable = True
    late_node = start_node(table, clock, a, b)
    for _ in range(3):
        for node in (a, b, late_node):
            node.tick()
        clock.advance(1.0)
    assert late_node.current_view.view.records == a.current_view.view.records
    assert late_node.follower.caught_up
    assert late_node.snapshots.addresses == {"a": "a:1", "b": "b:1"}


def test_not_caught_up_while_a_reported_daemon_is_silent_within_its_lease():
    table, clock, store, a, b = make_nodes()
    a.tick()
    store.accept(Change("newest", (Record(Kind.POOL, "newest", 2),)))
    b.tick()
    b.peers.partitioned = True
    table.unavailable = True
    late_node = start_node(table, clock, a, b)
    for _ in range(4):
        for node in (a, late_node):
            node.tick()
        assert not late_node.follower.caught_up
        clock.advance(1.0)
    b.peers.partitioned = False
    for node in (b, late_node, late_node):
        node.tick()
    assert late_node.current_view.view.revision == 4
    assert late_node.follower.caught_up


def test_daemon_silent_for_a_lease_is_not_waited_for():
    table, clock, _, a, b = make_nodes()
    a.tick()
    b.peers.partitioned = True
    table.unavailable = True
    late_node = start_node(table, clock, a, b)
    for _ in range(int(LEASE_S) + 2):
        for node in (a, late_node):
            node.tick()
        clock.advance(1.0)
    assert late_node.follower.caught_up


def test_daemons_all_started_in_an_outage_do_not_catch_up():
    table, clock, _, a, b = make_nodes()
    table.unavailable = True
    for _ in range(int(LEASE_S) + 5):
        for node in (a, b):
            node.tick()
        clock.advance(1.0)
    assert not a.follower.caught_up
    assert not b.follower.caught_up
    table.unavailable = False
    a.tick()
    assert a.follower.caught_up


def test_daemon_behind_in_an_outage_catches_up_from_a_peer():
    table, clock, store, a, b = make_nodes()
    a.tick()
    b.tick()
    store.accept(Change("newest", (Record(Kind.POOL, "newest", 2),)))
    a.tick()
    table.unavailable = True
    b.tick()
    assert b.current_view.view.revision == 4


def test_not_caught_up_while_the_snapshot_of_a_newer_daemon_is_lost():
    table, clock = UnavailableTable(), ManualClock()
    table.unavailable = True
    late_node = start_node(table, clock)
    late_node.peers.deliver(Snapshot("b", 1, 0, b"", {"b": "b:1"}))
    late_node.peers.deliver(Hello("b", 1, "b:1", 9, True))
    late_node.tick()
    assert not late_node.follower.caught_up
    late_node.peers.deliver(Snapshot("b", 1, 9, pack_records(()), {"b": "b:1"}))
    late_node.tick()
    assert late_node.follower.caught_up


def test_malformed_snapshot_is_refused(caplog):
    table, clock, _, a, _ = make_nodes()
    a.tick()
    a.peers.deliver(Snapshot("x", 1, 9, b"rubbish", {}))
    assert a.current_view.view.revision == 3
    assert "peer-failed" in caplog.text


class DistributionMachine(RuleBasedStateMachine):
    """Interleave restarts, partitions and store outages; no revision in force may decrease."""

    def __init__(self):
        super().__init__()
        self.table, self.clock = UnavailableTable(), ManualClock()
        self.store = ConfigStore(self.table, self.clock, sleep=lambda _s: None)
        self.numbers = itertools.count(1)
        self.nodes, self.ready, self.cut_at = {}, {}, {}
        self.highest = dict.fromkeys("abc", 0)
        for name in "abc":
            self.start_node(name)

    def start_node(self, name):
        node = Node(name, self.table, self.clock, next(self.numbers))
        self.nodes[name], self.ready[name] = node, False
        for other in self.nodes.values():
            node.peers.join(other.peers)

    @rule()
    def accept(self):
        if not self.table.unavailable:
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
            self.check_revisions()

    @rule()
    def toggle_store(self):
        self.table.unavailable = not self.table.unavailable

    @rule(name=st.sampled_from("abc"), cut=st.booleans())
    def cut_off(self, name, cut):
        self.nodes[name].peers.partitioned = cut
        self.cut_at[name] = self.clock.now

    @rule(name=st.sampled_from("abc"))
    def restart(self, name):
        self.nodes[name].peers.partitioned = True
        self.start_node(name)
        self.highest[name] = 0

    @invariant()
    def check_revisions(self):
        for name, node in self.nodes.items():
            revision = node.current_view.view.revision
            assert revision >= self.highest[name]
            self.highest[name] = revision
            if node.follower.caught_up and not self.ready[name]:
                connected = [other for key, other in self.nodes.items() if self.is_connected(key)]
                ready = (
                    [other for other in connected if other.follower.caught_up]
                    if self.is_connected(name)
                    else []
                )
                newest = max((other.current_view.view.revision for other in ready), default=0)
                assert revision >= newest, f"{name} is ready on {revision}, a peer has {newest}"
            self.ready[name] = node.follower.caught_up

    def is_connected(self, name):
        """Return whether a daemon was connected for long enough that its peers heard from it."""
        since = self.clock.now - self.cut_at.get(name, -math.inf)
        return not self.nodes[name].peers.partitioned and since > 2 * LEASE_S

    def teardown(self):
        self.table.unavailable = False
        for node in self.nodes.values():
            node.peers.partitioned = False
        for _ in range(3):
            self.run(1.0, 4)
        newest = self.store.head()[0].revision
        for node in self.nodes.values():
            assert node.follower.caught_up
            assert node.current_view.view.revision == newest


TestDistribution = DistributionMachine.TestCase
TestDistribution.settings = settings(max_examples=150, stateful_step_count=30)
