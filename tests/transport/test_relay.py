import contextlib
import math
import time

import msgspec
import pynng
import pytest

from demo.cluster import free_addresses
from gypsumplank.errors import StateConflictError, StateUnavailableError, StateUnknownError
from gypsumplank.state.table import ABSENT, Check, MemoryTable, Txn, Write
from gypsumplank.transport.relay import SERVER_THREADS, PeerTable, RelayServer, RelayTable
from standins.faulty import ScriptedFaultTable
from tests.malformed import IMPOSSIBLE_ADDRESSES


class DirectTable(ScriptedFaultTable):
    """Reach the store directly; `is_failing` is what other threads have seen."""

    is_failing = False


INSERT = Txn((Check("t", "a", ABSENT),), (Write("t", "a", b"1"),))


@pytest.fixture
def peer():
    """Return the table of a peer daemon and the address of its relay server."""
    table = DirectTable(MemoryTable())
    (address,) = free_addresses(1)
    server = RelayServer(table, address)
    server.start()
    yield table, address
    server.close()


def make_disconnected_relay(peer, peers=None):
    direct = DirectTable(peer[0].table)
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
    relay = RelayTable(DirectTable(MemoryTable()), PeerTable(list))
    assert relay.commit(INSERT)
    assert relay.get("t", "a").value == b"1"


def test_call_skips_a_direct_connection_that_fails_for_other_threads(peer):
    relay = make_disconnected_relay(peer)
    direct = relay._table
    direct.unavailable, direct.is_failing = False, True
    relay._direct_failed_at = float("-inf")
    direct.commit_faults = ["dropped"]
    assert relay.commit(INSERT)
    assert direct.commits == 0
    direct.is_failing, direct.commit_faults = False, []
    relay.commit(Txn((), (Write("t", "b", b"1"),)))
    assert direct.commits == 1


def test_peer_that_is_cut_off_too_replies_without_a_call(peer):
    relay = make_disconnected_relay(peer)
    peer[0].is_failing = True
    commits = peer[0].commits
    with pytest.raises(StateUnavailableError):
        relay.commit(INSERT)
    assert peer[0].commits == commits


def test_direct_connection_is_tried_if_no_peer_reaches_the_store(peer):
    relay = make_disconnected_relay(peer)
    peer[0].is_failing = True
    relay._table.unavailable, relay._table.is_failing = False, True
    assert relay.commit(INSERT)
    assert relay._table.commits == 1


def test_connections_to_daemons_that_are_gone_are_closed(peer):
    gone = free_addresses(10)
    peers = []
    table = PeerTable(lambda: peers)
    for address in gone:
        peers[:] = [address]
        with pytest.raises(StateUnavailableError):
            table.get("t", "none")
    peers[:] = [peer[1]]
    # The connection may be too late for the call.
    with contextlib.suppress(StateUnavailableError):
        table.get("t", "none")
    assert set(table._sockets) == {peer[1]}
    table.close()


def commit_message(timeout_s):
    txn = {"checks": [], "writes": [], "timeout_s": timeout_s}
    return msgspec.msgpack.encode({"txn": txn})


@pytest.mark.parametrize(
    "raw",
    [
        b"",
        b"\x81\xa1x" + b"\x91" * 20_000 + b"\x90",
        msgspec.msgpack.encode({"table": "t", "limit": -1}),
        msgspec.msgpack.encode({"table": "t", "limit": 2**63}),
        commit_message(math.nan),
        commit_message(math.inf),
        commit_message(-1.0),
        commit_message(0.0),
    ],
    ids=lambda raw: repr(raw[:20]),
)
def test_malformed_request_is_answered_and_the_server_goes_on(peer, raw):
    with pynng.Req0(dial=f"tcp://{peer[1]}", recv_timeout=5000) as socket:
        for _ in range(SERVER_THREADS + 1):
            socket.send(raw)
            assert b"state-unavailable" in socket.recv()
    assert make_disconnected_relay(peer).get("t", "a") is None


def test_unexpected_error_does_not_end_the_server(peer):
    peer[0].get = lambda table, key: 1 / 0
    relay = make_disconnected_relay(peer)
    for _ in range(SERVER_THREADS + 1):
        with pytest.raises(StateUnavailableError):
            relay.get("t", "a")
    del peer[0].get
    assert relay.get("t", "a") is None


@pytest.mark.parametrize("address", IMPOSSIBLE_ADDRESSES)
def test_peer_with_an_address_that_cannot_exist_is_passed_over(peer, address):
    relay = make_disconnected_relay(peer, [address, peer[1]])
    assert relay.get("t", "a") is None
