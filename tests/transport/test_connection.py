import socket
import struct

import pytest
from urllib3.util import wait_for_read

from gypsumplank.transport.connection import DeadlineConnection, DeadlineSocket, UnsentError

WAIT_TIMEOUT_S = 10.0


@pytest.fixture
def conn_and_peer():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        conn = DeadlineConnection(
            "127.0.0.1", listener.getsockname()[1], timeout=5.0, connect_timeout_s=1.0
        )
        conn.connect()
        peer, _ = listener.accept()
    with peer:
        yield conn, peer
    conn.close()


def test_reset_before_the_first_byte_raises_unsent_error(conn_and_peer):
    conn, peer = conn_and_peer
    peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    peer.close()
    assert wait_for_read(conn.sock, WAIT_TIMEOUT_S)
    with pytest.raises(UnsentError):
        conn.request("POST", "/x", b"order")


def test_reset_after_the_first_byte_raises_another_error(conn_and_peer):
    conn, peer = conn_and_peer
    conn.putrequest("POST", "/x")
    conn.putheader("Content-Length", "5")
    conn.endheaders()
    peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    peer.close()
    assert wait_for_read(conn.sock, WAIT_TIMEOUT_S)
    with pytest.raises(OSError) as raised:  # noqa: PT011
        conn.send(b"order")
    assert not isinstance(raised.value, UnsentError)


def test_operations_share_one_timeout():
    left, right = socket.socketpair()
    with DeadlineSocket(left) as sock, right:
        sock.settimeout(0.05)
        with pytest.raises(TimeoutError):
            sock.recv_into(bytearray(1))
        right.sendall(b"late")
        with pytest.raises(TimeoutError):
            sock.recv_into(bytearray(1))
        with pytest.raises(TimeoutError):
            sock.sendall(b"late")
        sock.settimeout(WAIT_TIMEOUT_S)
        assert sock.recv_into(bytearray(4)) == 4
