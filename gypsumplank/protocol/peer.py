"""Define the messages between daemons."""

import msgspec

from gypsumplank.protocol.decoder import Count


class PeerMessage(msgspec.Struct, frozen=True, tag=True):
    """Base of all messages; `sender` and `epoch` identify the daemon's session."""

    sender: str
    epoch: Count


class Hello(PeerMessage, frozen=True, tag=True):
    """Announce the sender's address and the revision that it has in force.

    `caught_up` is set if this is known to be the newest revision, or was when the sender started.
    """

    address: str
    revision: Count = 0
    caught_up: bool = False


class Hint(PeerMessage, frozen=True, tag=True):
    """Announce that a revision was accepted."""

    revision: Count


class InForce(PeerMessage, frozen=True, tag=True):
    """Announce that a revision is in force at the sender."""

    revision: Count


class Demand(PeerMessage, frozen=True, tag=True):
    """Report how many requests at the sender use or wait for slots of each pool."""

    pools: dict[str, Count]


class SnapshotRequest(PeerMessage, frozen=True, tag=True):
    """Request the records in force at the receiver if they are newer than this revision."""

    revision: Count


class Snapshot(PeerMessage, frozen=True, tag=True):
    """Represent all records at a revision, compressed, and the live daemons' peer addresses."""

    revision: Count
    records: bytes
    daemons: dict[str, str]
