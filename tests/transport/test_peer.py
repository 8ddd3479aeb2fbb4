import threading
from collections import Counter

import pynng
import pytest

from demo.cluster import free_addresses
from gypsumplank.protocol.envelope import MAX_MESSAGE_BYTES, Opener, Sealer
from gypsumplank.protocol.peer import Demand, Hint
from gypsumplank.state.clock import ManualClock
from gypsumplank.transport import peer
from gypsumplank.transport.peer import DROP_NO_ROUTE, DROP_QUEUE_FULL, PynngPeers

KEY = "sixteen-letters!"
WAIT_S = 20.0


class Inbox:
    """Keep what was received and wait for more."""

    def __init__(self):
        self.held = []
        self._changed = threading.Condition()

    def __call__(self, message):
        with self._changed:
            self.held.append(message)
            self._changed.notify_all()

    def wait(self, count):
        with self._changed:
            return self._changed.wait_for(lambda: len(self.held) >= count, WAIT_S)


class Node:
    """Join a daemon's peers with an inbox and counted drops."""

    def __init__(self, name, address, key=KEY):
        self.address, self.drops, self.inbox = address, Counter(), Inbox()
        self.clock = ManualClock()
        self.peers = PynngPeers(
            name,
            address,
            Sealer(key, 1),
            Opener(key, name, self.clock.monotonic),
            lambda code: self.drops.update([code]),
            self.clock.monotonic,
        )
        self.peers.subscribe(Hint, self.inbox)
        self.peers.start()


@pytest.fixture
def nodes():
    held = {
        name: Node(name, address) for name, address in zip("abc", free_addresses(3), strict=True)
    }
    addresses = {name: node.address for name, node in held.items()}
    for node in held.values():
        node.peers.connect(addresses)
    yield held
    for node in held.values():
        node.peers.close()


def test_broadcast_reaches_all_others(nodes):
    nodes["a"].peers.broadcast(Hint("a", 1, 5))
    assert nodes["b"].inbox.wait(1)
    assert nodes["c"].inbox.wait(1)
    assert nodes["a"].inbox.held == []
    assert nodes["a"].peers.known == ("b", "c")


def test_directed_message_reaches_one(nodes):
    nodes["a"].peers.send("b", Hint("a", 1, 5))
    nodes["a"].peers.broadcast(Hint("a", 1, 6))
    assert nodes["b"].inbox.wait(2)
    assert nodes["c"].inbox.wait(1)
    assert [hint.revision for hint in nodes["c"].inbox.held] == [6]


def test_bad_cut_huge_and_forged_messages_are_counted_and_the_next_is_taken(nodes):
    node = nodes["b"]
    sealed = Sealer(KEY, 2).seal(Hint("x", 1, 1))
    forged = Sealer("another-key-here", 2).seal(Hint("x", 1, 2))
    for raw in (b"", sealed[:-3], forged, b"\x00" * (MAX_MESSAGE_BYTES + 1), sealed, sealed):
        node.peers.receive(raw)
    assert node.drops == {
        "peer-malformed": 2,
        "peer-forged": 1,
        "peer-too-large": 1,
        "peer-replayed": 1,
    }
    assert [hint.revision for hint in node.inbox.held] == [1]


def test_huge_message_on_the_wire_is_refused_and_others_are_taken(nodes):
    with pynng.Push0() as stranger, pynng.Push0() as honest:
        stranger.dial(f"tcp://{nodes['b'].address}", block=True)
        stranger.send(b"\x00" * (MAX_MESSAGE_BYTES + 1))
        honest.dial(f"tcp://{nodes['b'].address}", block=True)
        honest.send(Sealer(KEY, 2).seal(Hint("x", 1, 7)))
        assert nodes["b"].inbox.wait(1)
    assert [hint.revision for hint in nodes["b"].inbox.held] == [7]


def test_full_queue_drops_and_never_blocks(nodes, monkeypatch):
    held = threading.Event()
    monkeypatch.setattr(nodes["a"].peers, "_push", lambda *_: held.wait(WAIT_S))
    extra = 10
    for number in range(peer.SEND_QUEUE + 1 + extra):
        nodes["a"].peers.broadcast(Hint("a", 1, number))
    held.set()
    assert extra <= nodes["a"].drops[DROP_QUEUE_FULL] <= extra + 1


def test_unreachable_daemon_costs_the_others_nothing(nodes):
    (gone,) = free_addresses(1)
    addresses = {name: node.address for name, node in nodes.items()}
    nodes["a"].peers.connect({**addresses, "gone": gone})
    for number in range(peer.PIPE_QUEUE + 20):
        nodes["a"].peers.broadcast(Hint("a", 1, number))
        assert nodes["b"].inbox.wait(number + 1)
    assert nodes["a"].drops[DROP_QUEUE_FULL] >= 19


def test_unknown_daemon_is_counted(nodes):
    nodes["a"].peers.send("nobody", Hint("a", 1, 1))
    nodes["a"].peers.send("b", Hint("a", 1, 2))
    assert nodes["b"].inbox.wait(1)
    assert nodes["a"].drops == {DROP_NO_ROUTE: 1}


def test_failing_subscriber_does_not_end_receiving(nodes):
    def fail(_message):
        raise ArithmeticError

    nodes["b"].peers.subscribe(Demand, fail)
    nodes["a"].peers.send("b", Demand("a", 1, {}))
    nodes["a"].peers.send("b", Hint("a", 1, 3))
    assert nodes["b"].inbox.wait(1)


def test_daemon_that_says_hello_is_answered_without_a_session(nodes):
    late = Node("late", free_addresses(1)[0])
    late.peers.connect({}, (nodes["a"].address,))
    nodes["a"].inbox.held.clear()
    late.peers.broadcast(peer.Hello("late", 0, late.address))
    late.peers.broadcast(Hint("late", 0, 1))
    assert nodes["a"].inbox.wait(1)
    nodes["a"].peers.connect({"b": nodes["b"].address})
    assert nodes["a"].peers.known == ("b", "late")
    nodes["a"].peers.send("late", Hint("a", 1, 9))
    assert late.inbox.wait(1)
    nodes["a"].clock.advance(peer.CONTACT_S)
    nodes["a"].peers.connect({"b": nodes["b"].address})
    assert nodes["a"].peers.known == ("b",)
    late.peers.close()
