import time

import pytest

from demo.cluster import free_addresses
from gypsumplank.errors import StateConflictError, StateUnavailableError, StateUnknownError
from gypsumplank.state.table import ABSENT, Check, MemoryTable, Txn, Write
from gypsumplank.transport.relay import PeerTable, RelayServer, RelayTable
from tests.faulty import ScriptedFaultTable

INSERT = Txn((Check("t", "a", ABSENT),), (Write("t", "a", b"1"),))


@pytest.fixture
def peer():
    """Return the table of a peer daemon and the address of its relay server."""
    table = ScriptedFaultTable(MemoryTable())
    (address,) = free_addresses(1)
    server = RelayServer(table, address)
    server.start()
    yield table, address
    server.close()


def make_disconnected_relay(peer, peers=None):
    direct = ScriptedFaultTable(peer[0].table)
    direct.unavailable = True
    relay = RelayTable(direct, PeerTable(lambda: peers or [peer[1]]))
    deadline = time.monotonic() + 10
    while time.monotonic() < deadline:
        try:
            relay.get("t", "none")
            break
        except StateUnavailableError:
            continue
    return relay


def test_calls_are_relayed_through_the_peer(peer):
    relay = make_disconnected_relay(peer)
    version = relay.commit(INSERT)
    assert relay.get("t", "a").version == version
    assert [row.key for row in relay.scan("t")] == ["a"]


def test_relayed_conflict_raises_conflict(peer):
    relay = make_disconnected_relay(peer)
    relay.commit(INSERT)
    with pytest.raises(StateConflictError):
        relay.commit(INSERT)


def test_commit_with_unknown_outcome_at_the_peer_raises_unknown(peer):
    relay = make_disconnected_relay(peer)
    peer[0].commit_faults = ["lost"]
    with pytest.raises(StateUnknownError):
        relay.commit(INSERT)


def test_commit_is_unavailable_if_no_daemon_reaches_the_store(peer):
    relay = make_disconnected_relay(peer)
    peer[0].unavailable = True
    with pytest.raises(StateUnavailableError):
        relay.commit(INSERT)


def test_unreachable_peer_is_skipped(peer):
    (unreachable,) = free_addresses(1)
    relay = make_disconnected_relay(peer, [unreachable, peer[1]])
    assert relay.commit(INSERT)


def test_direct_connection_is_used_while_it_works(peer):
    relay = RelayTable(MemoryTable(), PeerTable(list))
    assert relay.commit(INSERT)
    assert relay.get("t", "a").value == b"1"
