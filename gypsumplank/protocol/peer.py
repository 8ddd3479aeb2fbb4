"""Define the messages between daemons."""

import msgspec


class PeerMessage(msgspec.Struct, frozen=True, tag=True):
    """Base of all messages; `sender` and `epoch` name the daemon's session."""

    sender: str
    epoch: int


class Hint(PeerMessage, frozen=True, tag=True):
    """Tell that a revision was accepted."""

    revision: int


class InForce(PeerMessage, frozen=True, tag=True):
    """Tell that a revision is in force at the sender."""

    revision: int


class Demand(PeerMessage, frozen=True, tag=True):
    """Tell the requests that hold slots of each pool, or wait for them, at the sender."""

    pools: dict[str, int]
