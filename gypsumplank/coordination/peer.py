"""Define the interface for messages to other daemons, and an in-memory implementation."""

from collections.abc import Callable
from typing import Protocol

from gypsumplank.protocol.peer import PeerMessage

MessageHandler = Callable[[PeerMessage], None]


class Peers(Protocol):
    """Send messages to the other live daemons; any may be lost, delayed or reordered."""

    def broadcast(self, message: PeerMessage) -> None:
        """Send a message to all other daemons; never block or raise."""

    def send(self, to: str, message: PeerMessage) -> None:
        """Send a message to the daemon of this name; never block or raise."""

    def subscribe(self, kind: type[PeerMessage], receive: MessageHandler) -> None:
        """Call `receive`, which must not block, with each message of this type."""


class MemoryPeers:
    """Deliver messages between daemons within one process."""

    def __init__(self, name: str = "") -> None:
        self.name = name
        self._connected: list[MemoryPeers] = [self]
        self._receivers: list[tuple[type[PeerMessage], MessageHandler]] = []
        self.partitioned = False

    def join(self, other: "MemoryPeers") -> None:
        """Connect two daemons and all daemons that either is connected to."""
        merged = list(dict.fromkeys([*self._connected, *other._connected]))
        for peers in merged:
            peers._connected = merged

    def broadcast(self, message: PeerMessage) -> None:
        """Send a message to all other daemons unless either side is partitioned."""
        if self.partitioned:
            return
        for other in self._connected:
            if other is not self and not other.partitioned:
                other.deliver(message)

    def send(self, to: str, message: PeerMessage) -> None:
        """Send a message to the daemon of this name unless either side is partitioned."""
        if self.partitioned:
            return
        for other in self._connected:
            if other.name == to and other is not self and not other.partitioned:
                other.deliver(message)

    def subscribe(self, kind: type[PeerMessage], receive: MessageHandler) -> None:
        """Call `receive`, which must not block, with each message of this type."""
        self._receivers.append((kind, receive))

    def deliver(self, message: PeerMessage) -> None:
        """Pass a message to the subscribers to its type."""
        for kind, receive in self._receivers:
            if isinstance(message, kind):
                receive(message)
