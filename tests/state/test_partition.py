"""Test the access to partitions over HTTP, in memory and through another daemon alike."""

import pytest

from demo.cluster import free_addresses
from gypsumplank.errors import StateConflictError, StateThrottledError, StateUnavailableError
from gypsumplank.platform.client import Client
from gypsumplank.platform.table import RowPartitions
from gypsumplank.state.feed import MemoryFeedTable
from gypsumplank.state.partition import MemoryPartitions
from gypsumplank.state.table import ABSENT, Check, MemoryTable, Txn, Write
from gypsumplank.transport.partitionrelay import RelayPartitions
from gypsumplank.transport.relay import PeerTable, RelayServer
from tests.platform.conftest import client, platform_server  # noqa: F401
from tests.transport.test_relay import DirectTable


class CutOff:
    """Represent a store that this daemon cannot reach, and count the attempts."""

    is_unanswered = True

    def __init__(self, error=StateUnavailableError):
        self.error, self.calls = error, 0

    def in_partition(self, name):
        return self

    def names(self, table):
        raise self.error("out")

    def get(self, *args):
        raise self.error("out")

    scan = get

    def commit(self, txn):
        self.calls += 1
        raise self.error("out")


@pytest.fixture
def peer_address():
    """Return the address of a peer daemon that reaches the store."""
    (address,) = free_addresses(1)
    memory = MemoryPartitions(MemoryFeedTable())
    server = RelayServer(DirectTable(MemoryTable()), address, memory)
    server.start()
    yield address
    server.close()


# The feed is not relayed.
@pytest.fixture(params=["memory", "rows"])
def followed(request):
    if request.param == "memory":
        return MemoryPartitions(MemoryFeedTable())
    return RowPartitions(request.getfixturevalue("client"))


@pytest.fixture(params=["memory", "rows", "relay"])
def partitions(request):
    if request.param == "memory":
        yield MemoryPartitions(MemoryFeedTable())
    elif request.param == "rows":
        yield RowPartitions(request.getfixturevalue("client"))
    else:
        address = request.getfixturevalue("peer_address")
        peers = PeerTable(lambda: [address])
        cut_off = CutOff()
        relayed = RelayPartitions(cut_off, cut_off, peers)
        for _ in range(50):
            try:
                relayed.names("t")
                break
            except StateUnavailableError:
                continue
        yield relayed
        peers.close()


def insert(key, value=b"1"):
    return Txn((Check("t", key, ABSENT),), (Write("t", key, value),))


def test_rows_of_partitions_are_apart(partitions):
    first, second = partitions.in_partition("in-1"), partitions.in_partition("in-2")
    version = first.commit(insert("a"))
    assert second.get("t", "a") is None
    assert second.commit(insert("a", b"2")) > version
    assert [row.value for row in first.scan("t")] == [b"1"]
    assert list(partitions.names("t")) == ["in-1", "in-2"]
    with pytest.raises(StateConflictError):
        first.commit(insert("a"))
    first.commit(Txn((Check("t", "a", version),), (Write("t", "a", None),)))
    assert list(partitions.names("t")) == ["in-2"]


def test_feed_covers_all_partitions(followed):
    partitions = followed
    first = partitions.in_partition("in-1").commit(insert("a"))
    partitions.in_partition("in-2").commit(insert("b"))
    last = partitions.in_partition("in-1").commit(Txn((), (Write("t", "a", None),)))
    changes = partitions.changes("t", first, 0.0)
    assert [row.key for row in changes.rows] == ["b"]
    assert (changes.deleted_keys, changes.version) == (("a",), last)


def test_many_partitions_are_listed(client):  # noqa: F811
    """Guard against a list that ends after the 1,000 partitions of one response."""
    partitions = RowPartitions(client)
    names = [f"in-{number:04}" for number in range(1001)]
    for name in names:
        partitions.in_partition(name).commit(insert("a"))
    assert partitions.names("t") == names


def test_throttled_call_is_not_relayed(peer_address):
    """A partition throttles for all daemons, so that another attempt would only add load."""
    direct = CutOff(StateThrottledError)
    direct.is_unanswered = False
    peers = PeerTable(lambda: [peer_address])
    with pytest.raises(StateThrottledError):
        RelayPartitions(direct, direct, peers).in_partition("in-1").commit(insert("a"))
    assert direct.calls == 1
    peers.close()


def test_throttled_commit_is_told_apart(platform_server):  # noqa: F811
    platform, address = platform_server
    partition = RowPartitions(Client(address, 2.0, 1)).in_partition("in-1")
    platform.faults = ["429", "503"]
    with pytest.raises(StateThrottledError):
        partition.commit(insert("a"))
    with pytest.raises(StateUnavailableError) as caught:
        partition.commit(insert("a"))
    assert type(caught.value) is StateUnavailableError
