"""Define the port to the other daemons, with an in-memory variant."""

from collections.abc import Callable
from typing import Protocol

from gypsumplank.protocol.peer import PeerMessage

Receive = Callable[[PeerMessage], None]


class Peers(Protocol):
    """Send messages to the other live daemons; any may be lost, late or out of order."""

    def broadcast(self, message: PeerMessage) -> None:
        """Send to all; never blocks and never raises."""

    def send(self, to: str, message: PeerMessage) -> None:
        """Send to the daemon of this name; never blocks and never raises."""

    def subscribe(self, kind: type[PeerMessage], receive: Receive) -> None:
        """Call `receive`, which must be quick, with each message of this kind."""


class MemoryPeers:
    """Join daemons within one process."""

    def __init__(self, name: str = "") -> None:
        self.name = name
        self._joined: list[MemoryPeers] = [self]
        self._receivers: list[tuple[type[PeerMessage], Receive]] = []
        self.cut_off = False

    def join(self, other: "MemoryPeers") -> None:
        """Let two daemons and all that they are joined to reach each other."""
        merged = list(dict.fromkeys([*self._joined, *other._joined]))
        for one in merged:
            one._joined = merged

    def broadcast(self, message: PeerMessage) -> None:
        """Send to all that are not cut off."""
        if self.cut_off:
            return
        for other in self._joined:
            if other is not self and not other.cut_off:
                other.deliver(message)

    def send(self, to: str, message: PeerMessage) -> None:
        """Send to the daemon of this name unless either is cut off."""
        if self.cut_off:
            return
        for other in self._joined:
            if other.name == to and other is not self and not other.cut_off:
                other.deliver(message)

    def subscribe(self, kind: type[PeerMessage], receive: Receive) -> None:
        """Call `receive`, which must be quick, with each message of this kind."""
        self._receivers.append((kind, receive))

    def deliver(self, message: PeerMessage) -> None:
        """Hand a message to those that subscribed to its kind."""
        for kind, receive in self._receivers:
            if isinstance(message, kind):
                receive(message)
