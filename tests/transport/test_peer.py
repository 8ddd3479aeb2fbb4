import threading
from collections import Counter

import pynng
import pytest

from demo.cluster import free_addresses
from gypsumplank.protocol.envelope import MAX_MESSAGE_BYTES, MessageSigner, MessageVerifier
from gypsumplank.protocol.peer import Demand, Hint
from gypsumplank.state.clock import ManualClock
from gypsumplank.transport import peer
from gypsumplank.transport.peer import DROP_NO_ROUTE, DROP_QUEUE_FULL, PynngPeers

KEY = "sixteen-letters!"
WAIT_TIMEOUT_S = 20.0


class Inbox:
    """Store received messages and wait for a number of them."""

    def __init__(self):
        self.messages = []
        self._changed = threading.Condition()

    def __call__(self, message):
        with self._changed:
            self.messages.append(message)
            self._changed.notify_all()

    def wait(self, count):
        with self._changed:
            return self._changed.wait_for(lambda: len(self.messages) >= count, WAIT_TIMEOUT_S)


class Node:
    """Combine a daemon's peer transport with an inbox and a count of drops."""

    def __init__(self, name, address, key=KEY):
        self.address, self.drops, self.inbox = address, Counter(), Inbox()
        self.clock = ManualClock()
        self.peers = PynngPeers(
            name,
            address,
            MessageSigner(key, 1),
            MessageVerifier(key, name, self.clock.monotonic),
            lambda code: self.drops.update([code]),
            self.clock.monotonic,
        )
        self.peers.subscribe(Hint, self.inbox)
        self.peers.start()


@pytest.fixture
def nodes():
    started = {
        name: Node(name, address) for name, address in zip("abc", free_addresses(3), strict=True)
    }
    addresses = {name: node.address for name, node in started.items()}
    for node in started.values():
        node.peers.set_peers(addresses)
    yield started
    for node in started.values():
        node.peers.close()


def test_broadcast_reaches_all_others(nodes):
    nodes["a"].peers.broadcast(Hint("a", 1, 5))
    assert nodes["b"].inbox.wait(1)
    assert nodes["c"].inbox.wait(1)
    assert nodes["a"].inbox.messages == []
    assert nodes["a"].peers.peer_names == ("b", "c")


def test_message_to_one_daemon_reaches_only_it(nodes):
    nodes["a"].peers.send("b", Hint("a", 1, 5))
    nodes["a"].peers.broadcast(Hint("a", 1, 6))
    assert nodes["b"].inbox.wait(2)
    assert nodes["c"].inbox.wait(1)
    assert [hint.revision for hint in nodes["c"].inbox.messages] == [6]


def test_malformed_forged_oversized_and_replayed_messages_are_counted_and_dropped(nodes):
    node = nodes["b"]
    sealed = MessageSigner(KEY, 2).sign(Hint("x", 1, 1))
    forged = MessageSigner("another-key-here", 2).sign(Hint("x", 1, 2))
    for raw in (b"", sealed[:-3], forged, b"\x00" * (MAX_MESSAGE_BYTES + 1), sealed, sealed):
        node.peers.receive(raw)
    assert node.drops == {
        "peer-malformed": 2,
        "peer-forged": 1,
        "peer-too-large": 1,
        "peer-replayed": 1,
    }
    assert [hint.revision for hint in node.inbox.messages] == [1]


def test_oversized_message_on_the_wire_is_dropped_and_others_are_received(nodes):
    with pynng.Push0() as oversized_sender, pynng.Push0() as valid_sender:
        oversized_sender.dial(f"tcp://{nodes['b'].address}", block=True)
        oversized_sender.send(b"\x00" * (MAX_MESSAGE_BYTES + 1))
        valid_sender.dial(f"tcp://{nodes['b'].address}", block=True)
        valid_sender.send(MessageSigner(KEY, 2).sign(Hint("x", 1, 7)))
        assert nodes["b"].inbox.wait(1)
    assert [hint.revision for hint in nodes["b"].inbox.messages] == [7]


def test_full_queue_drops_messages_without_blocking(nodes, monkeypatch):
    resume = threading.Event()
    monkeypatch.setattr(nodes["a"].peers, "_push", lambda *_: resume.wait(WAIT_TIMEOUT_S))
    extra = 10
    for number in range(peer.SEND_QUEUE_MESSAGES + 1 + extra):
        nodes["a"].peers.broadcast(Hint("a", 1, number))
    resume.set()
    assert extra <= nodes["a"].drops[DROP_QUEUE_FULL] <= extra + 1


def test_unreachable_daemon_does_not_delay_the_others(nodes):
    (unreachable,) = free_addresses(1)
    addresses = {name: node.address for name, node in nodes.items()}
    nodes["a"].peers.set_peers({**addresses, "unreachable": unreachable})
    for number in range(peer.SOCKET_QUEUE_MESSAGES + 20):
        nodes["a"].peers.broadcast(Hint("a", 1, number))
        assert nodes["b"].inbox.wait(number + 1)
    assert nodes["a"].drops[DROP_QUEUE_FULL] >= 19


def test_message_to_unknown_daemon_is_counted_as_dropped(nodes):
    nodes["a"].peers.send("nobody", Hint("a", 1, 1))
    nodes["a"].peers.send("b", Hint("a", 1, 2))
    assert nodes["b"].inbox.wait(1)
    assert nodes["a"].drops == {DROP_NO_ROUTE: 1}


def test_failing_subscriber_does_not_stop_the_receiver(nodes):
    def fail(_message):
        raise ArithmeticError

    nodes["b"].peers.subscribe(Demand, fail)
    nodes["a"].peers.send("b", Demand("a", 1, {}))
    nodes["a"].peers.send("b", Hint("a", 1, 3))
    assert nodes["b"].inbox.wait(1)


def test_daemon_without_a_session_is_reachable_for_a_time_after_its_hello(nodes):
    newcomer = Node("newcomer", free_addresses(1)[0])
    newcomer.peers.set_peers({}, (nodes["a"].address,))
    nodes["a"].inbox.messages.clear()
    newcomer.peers.broadcast(peer.Hello("newcomer", 0, newcomer.address))
    newcomer.peers.broadcast(Hint("newcomer", 0, 1))
    assert nodes["a"].inbox.wait(1)
    nodes["a"].peers.set_peers({"b": nodes["b"].address})
    assert nodes["a"].peers.peer_names == ("b", "newcomer")
    nodes["a"].peers.send("newcomer", Hint("a", 1, 9))
    assert newcomer.inbox.wait(1)
    nodes["a"].clock.advance(peer.DISCOVERED_PEER_TTL_S)
    nodes["a"].peers.set_peers({"b": nodes["b"].address})
    assert nodes["a"].peers.peer_names == ("b",)
    newcomer.peers.close()
