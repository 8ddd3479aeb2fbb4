import contextlib
import http.client
import socket
import threading

import pytest

from gypsumplank.errors import CallError
from gypsumplank.platform.client import Client

WAIT_S = 10.0
REPLY = b'HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n{"a":1}'
CLOSE = b""


class ScriptedService:
    """Answer the requests of each connection with raw bytes, then close the connection."""

    def __init__(self, *connections):
        self.bodies = []
        self.closed = threading.Semaphore(0)
        self._server = socket.create_server(("127.0.0.1", 0))
        self._server.settimeout(WAIT_S)
        self.address = f"127.0.0.1:{self._server.getsockname()[1]}"
        self.thread = threading.Thread(target=self._run, args=(connections,))
        self.thread.start()

    def _run(self, connections):
        with self._server:
            for replies in connections:
                conn, _ = self._server.accept()
                # A client that closes while data is unread resets the connection.
                with conn, contextlib.suppress(ConnectionResetError):
                    for reply in replies:
                        if self._read_request(conn):
                            conn.sendall(reply)
                self.closed.release()

    def _read_request(self, conn):
        conn.settimeout(WAIT_S)
        with conn.makefile("rb") as reader:
            if not reader.readline():
                return False
            headers = http.client.parse_headers(reader)
            self.bodies.append(reader.read(int(headers["Content-Length"])))
            return True


@pytest.fixture
def serve():
    """Return a function that starts a service and returns it with a client."""
    started = []

    def start(*connections):
        service = ScriptedService(*connections)
        started.append((service, Client(service.address, WAIT_S, 4)))
        return started[-1]

    yield start
    for service, client in started:
        client.close()
        service.thread.join(WAIT_S)
        assert not service.thread.is_alive()


def post(client):
    return client.call("POST", "/", {})


def test_connection_closed_between_two_calls_is_replaced_before_the_next_request(serve):
    service, client = serve([REPLY], [REPLY])
    post(client)
    assert service.closed.acquire(timeout=WAIT_S)
    assert post(client).body == {"a": 1}
    assert len(service.bodies) == 2


def test_data_that_no_call_asked_for_is_not_taken_for_the_next_reply(serve):
    stray = b"HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\n\r\n" * 1000
    service, client = serve([REPLY + stray, REPLY], [REPLY])
    post(client)
    assert post(client).status == 200
    assert len(service.bodies) == 2


@pytest.mark.parametrize("before", [[], [REPLY]], ids=["new", "kept"])
@pytest.mark.parametrize("cut", [CLOSE, REPLY[:-3], REPLY[:10]], ids=["none", "body", "status"])
def test_connection_closed_after_a_request_leaves_the_outcome_unknown(serve, before, cut):
    service, client = serve([*before, cut], [REPLY])
    for _ in before:
        post(client)
    with pytest.raises(CallError) as caught:
        post(client)
    assert caught.value.sent
    # The call was not retried, and the next one uses another connection.
    assert len(service.bodies) == len(before) + 1
    assert post(client).status == 200


LARGE = b'"' + b"x" * 1_000_000 + b'"'
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
REPLIES = {
    "large": (b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(LARGE) + LARGE, "x" * 10**6),
    "chunked": (CHUNKED + b'3\r\n{"a\r\n4;x=y\r\n":1}\r\n0\r\n\r\n', {"a": 1}),
    "no content": (b"HTTP/1.1 204 No Content\r\n\r\n", None),
    "empty": (b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", None),
}


@pytest.mark.parametrize(("raw", "body"), REPLIES.values(), ids=REPLIES.keys())
def test_connection_is_kept_after_a_reply_of_any_framing(serve, raw, body):
    _, client = serve([raw, REPLY])
    assert post(client).body == body
    assert post(client).body == {"a": 1}


def test_request_that_the_kernel_cannot_buffer_is_sent_whole(serve):
    service, client = serve([REPLY])
    client.call("POST", "/", "x" * 20_000_000)
    assert len(service.bodies[0]) == 20_000_002


def test_request_that_is_not_taken_in_time_leaves_the_outcome_unknown():
    with socket.create_server(("127.0.0.1", 0)) as server:
        client = Client(f"127.0.0.1:{server.getsockname()[1]}", WAIT_S, 1, min_timeout_s=0.1)
        with pytest.raises(CallError) as caught:
            client.call("POST", "/", "x" * 20_000_000)
    assert caught.value.sent
    # The wait for the response, which the timeout adapts to, did not begin.
    assert client._timeout.current_s == pytest.approx(0.1)


def test_call_without_time_is_not_sent():
    with pytest.raises(CallError) as caught:
        Client("127.0.0.1:1", WAIT_S, 1).call("POST", "/", {}, max_timeout_s=0.0)
    assert not caught.value.sent
