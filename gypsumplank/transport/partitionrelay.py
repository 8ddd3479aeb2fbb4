"""Relay calls to a table's partitions through another daemon while the store is unreachable.

Answers a daemon that is cut off from the store. A partition that throttles does so for every
daemon, so that such an answer is not relayed: it would only add load.
"""

from collections.abc import Callable, Sequence
from typing import Protocol, TypeVar

from gypsumplank.errors import StateError, StateThrottledError, StateUnavailableError
from gypsumplank.state.partition import Partitions
from gypsumplank.state.table import SCAN_LIMIT, Row, Table, Txn
from gypsumplank.transport.relay import PartitionRequest, PeerTable, RelayRequest

T = TypeVar("T")


class Link(Protocol):
    """Tell whether the direct connection to the table service works."""

    @property
    def is_unanswered(self) -> bool:
        """Return whether the last call of any thread was not answered."""


class RelayPartitions:
    """Call the table service directly or, if it is unreachable, through other daemons.

    Implements Partitions. `link` reports on calls that other threads make all the time.
    """

    def __init__(self, partitions: Partitions, link: Link, peers: PeerTable) -> None:
        self._partitions = partitions
        self._link = link
        self._peers = peers

    def in_partition(self, name: str) -> Table:
        """Return the rows of one partition."""
        direct, relayed = self._partitions.in_partition(name), PeerPartition(self._peers, name)
        return RelayPartition(direct, relayed, self._link)

    def names(self, table: str) -> Sequence[str]:
        """Return the partitions that hold rows of a table."""
        request = PartitionRequest(None, RelayRequest(table))
        return _read(
            self._link,
            lambda: self._partitions.names(table),
            lambda: self._peers.relay(request).names,
        )


class PeerPartition:
    """Call one partition of the table service through other daemons; implements Table."""

    def __init__(self, peers: PeerTable, name: str) -> None:
        self._peers = peers
        self._name = name

    def get(self, table: str, key: str) -> Row | None:
        """Return one row."""
        rows = self._peers.relay(PartitionRequest(self._name, RelayRequest(table, key))).rows
        return rows[0] if rows else None

    def scan(
        self, table: str, prefix: str = "", after: str = "", limit: int = SCAN_LIMIT
    ) -> list[Row]:
        """Return the rows in key order whose keys start with `prefix` and follow `after`."""
        call = RelayRequest(table, None, prefix, after, limit)
        return list(self._peers.relay(PartitionRequest(self._name, call)).rows)

    def commit(self, txn: Txn) -> int:
        """Apply a transaction; return the new version of its rows."""
        return self._peers.relay(PartitionRequest(self._name, RelayRequest(txn=txn))).version


class RelayPartition:
    """Call one partition directly or through other daemons; implements Table."""

    def __init__(self, direct: Table, relayed: Table, link: Link) -> None:
        self._direct = direct
        self._relayed = relayed
        self._link = link

    def get(self, table: str, key: str) -> Row | None:
        """Return one row."""
        return _read(
            self._link,
            lambda: self._direct.get(table, key),
            lambda: self._relayed.get(table, key),
        )

    def scan(
        self, table: str, prefix: str = "", after: str = "", limit: int = SCAN_LIMIT
    ) -> list[Row]:
        """Return the rows in key order whose keys start with `prefix` and follow `after`."""
        return _read(
            self._link,
            lambda: self._direct.scan(table, prefix, after, limit),
            lambda: self._relayed.scan(table, prefix, after, limit),
        )

    def commit(self, txn: Txn) -> int:
        """Apply a transaction; return the new version of its rows."""
        first, second = self._direct, self._relayed
        if self._link.is_unanswered:
            first, second = second, first
        try:
            return first.commit(txn)
        except StateThrottledError:
            raise
        except StateUnavailableError:
            return second.commit(txn)


def _read(link: Link, direct: Callable[[], T], relayed: Callable[[], T]) -> T:
    first, second = (relayed, direct) if link.is_unanswered else (direct, relayed)
    try:
        return first()
    except StateThrottledError:
        raise
    except StateError:
        return second()
