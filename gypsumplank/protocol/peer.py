"""Define the messages between daemons."""

import msgspec


class PeerMessage(msgspec.Struct, frozen=True, tag=True):
    """Base of all messages; `sender` and `epoch` name the daemon's session."""

    sender: str
    epoch: int


class Hello(PeerMessage, frozen=True, tag=True):
    """Tell where the sender listens and what it has in force.

    `caught_up` tells that this is known to be the newest revision, or was when it started.
    """

    address: str
    revision: int = 0
    caught_up: bool = False


class Hint(PeerMessage, frozen=True, tag=True):
    """Tell that a revision was accepted."""

    revision: int


class InForce(PeerMessage, frozen=True, tag=True):
    """Tell that a revision is in force at the sender."""

    revision: int


class Demand(PeerMessage, frozen=True, tag=True):
    """Tell the requests that hold slots of each pool, or wait for them, at the sender."""

    pools: dict[str, int]


class SnapshotRequest(PeerMessage, frozen=True, tag=True):
    """Ask for the records in force at the receiver if they are newer than this revision."""

    revision: int


class Snapshot(PeerMessage, frozen=True, tag=True):
    """Hold all records at a revision, packed, and the peer addresses of the live daemons."""

    revision: int
    records: bytes
    daemons: dict[str, str]
