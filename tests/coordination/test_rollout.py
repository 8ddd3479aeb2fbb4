from gypsumplank.coordination.peer import MemoryPeers
from gypsumplank.coordination.rollout import (
    CONTACT_TIMEOUT_S,
    HELLOS_PER_S,
    LocalState,
    RevisionTracker,
)
from gypsumplank.protocol.peer import Hello, Hint, InForce
from gypsumplank.state.clock import ManualClock
from gypsumplank.state.session import Session


def session(name, epoch=1, revision=0):
    return Session(name, epoch, "z", "", "", "", revision, 0.0)


class Node:
    """Set up the rollout of one daemon over in-memory peers."""

    def __init__(self, name, live=()):
        self.peers, self.clock, self.live = MemoryPeers(name), ManualClock(), live
        self.revision, self.pull_requests = 0, 0
        own = LocalState(lambda: session(name), lambda: self.revision, lambda: True)
        self.rollout = RevisionTracker(
            own, self.peers, self.clock, lambda: self.live, self.pull_now
        )

    def pull_now(self):
        self.pull_requests += 1


def test_newer_revision_makes_a_daemon_pull():
    node = Node("a")
    node.revision = 5
    for message, pulls in (
        (Hint("b", 1, 5), 0),
        (Hint("b", 1, 6), 1),
        (InForce("b", 1, 6), 2),
        (Hello("b", 1, "", 6, True), 3),
        (Hello("b", 1, "", 5, True), 3),
    ):
        node.peers.deliver(message)
        assert node.pull_requests == pulls


def test_revisions_are_the_newest_of_session_and_message():
    node = Node("a", (session("a"), session("b", 1, 4), session("c", 2, 3)))
    node.revision = 5
    node.peers.deliver(InForce("b", 1, 5))
    node.peers.deliver(InForce("c", 1, 5))
    assert node.rollout.revisions() == {"a": 5, "b": 5, "c": 3}


def test_contact_ahead_counts_until_it_times_out():
    node = Node("a")
    node.peers.deliver(InForce("b", 1, 9))
    assert node.rollout.newest_revision() == 9
    node.clock.advance(CONTACT_TIMEOUT_S)
    assert node.rollout.newest_revision() == 0


def test_messages_reach_the_other_daemons():
    one, two = Node("a"), Node("b")
    one.peers.join(two.peers)
    one.rollout.announce_accepted(3)
    assert two.pull_requests == 1
    one.revision = 3
    one.rollout.announce_in_force(3)
    one.rollout.tick()
    assert two.rollout.recent_peers()["a"].revision == 3
    assert two.rollout.recent_peers()["a"].caught_up


def test_hellos_are_less_frequent_with_many_contacts():
    node, other = Node("a"), Node("b")
    node.peers.join(other.peers)
    hellos = []
    other.peers.subscribe(Hello, hellos.append)
    for number in range(60):
        node.peers.deliver(Hello(f"d{number}", 1, "", 0, True))
    for _ in range(8):
        node.rollout.tick()
        node.clock.advance(1.0)
    assert len(hellos) == 2
    assert 60 / HELLOS_PER_S < CONTACT_TIMEOUT_S
