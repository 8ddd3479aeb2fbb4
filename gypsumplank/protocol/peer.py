"""Define the messages between daemons."""

import msgspec


class PeerMessage(msgspec.Struct, frozen=True, tag=True):
    """Base of all messages; `sender` and `epoch` name the daemon's session."""

    sender: str
    epoch: int


class Hello(PeerMessage, frozen=True, tag=True):
    """Tell where the sender listens for other daemons."""

    address: str


class Hint(PeerMessage, frozen=True, tag=True):
    """Tell that a revision was accepted."""

    revision: int


class InForce(PeerMessage, frozen=True, tag=True):
    """Tell that a revision is in force at the sender."""

    revision: int


class Demand(PeerMessage, frozen=True, tag=True):
    """Tell the requests that each service holds and waits for at the sender."""

    services: dict[str, int]
