"""Test the endpoint client against each endpoint failure over real sockets."""

import contextlib
import socket
import struct
import threading
import time

import pytest

from gypsumplank.errors import (
    EndpointAnswerError,
    EndpointConnectError,
    EndpointError,
    EndpointResetError,
    EndpointTimeoutError,
    RequestInvalidError,
)
from gypsumplank.protocol.exchange import Request
from gypsumplank.transport.endpoint import HttpEndpointClient

REQUEST_ID_HEADER = b"X-Request-Id: r1\r\n"
WAIT_TIMEOUT_S = 20.0


class ScriptedEndpoint:
    """Accept connections and run one script on each, which reads and writes freely."""

    def __init__(self, *scripts):
        self.scripts = list(scripts)
        self.requests = []
        self.connections = 0
        self.stopped = threading.Event()
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.threads = [threading.Thread(target=self._accept, daemon=True)]
        self.threads[0].start()

    def _accept(self):
        for script in self.scripts:
            try:
                conn, _ = self.listener.accept()
            except OSError:
                return
            self.connections += 1
            thread = threading.Thread(target=self._run_script, args=(script, conn), daemon=True)
            self.threads.append(thread)
            thread.start()

    def _run_script(self, script, conn):
        with conn, contextlib.suppress(OSError):
            script(self, conn)

    def read(self, conn):
        """Read one complete request and record its head."""
        reader = conn.makefile("rb", buffering=0)
        head = b""
        while not head.endswith(b"\r\n\r\n"):
            byte = reader.read(1)
            if not byte:
                return False
            head += byte
        headers = [line.split(b": ") for line in head.lower().split(b"\r\n")]
        length = int(dict(f for f in headers if len(f) == 2).get(b"content-length", 0))
        while length:
            length -= len(reader.read(length))
        self.requests.append(head)
        return True

    def close(self):
        self.stopped.set()
        with contextlib.suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        for thread in self.threads:
            thread.join(WAIT_TIMEOUT_S)


def reset_connection(conn):
    conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    conn.close()


def make_response(body=b"ok", status=b"200 OK", headers=REQUEST_ID_HEADER):
    length = b"Content-Length: %d\r\n" % len(body)
    return b"HTTP/1.1 " + status + b"\r\n" + headers + length + b"\r\n" + body


def send_responses(*responses):
    """Send one response to each request, then keep the connection open."""

    def script(endpoint, conn):
        for raw in responses:
            if endpoint.read(conn):
                conn.sendall(raw)
        endpoint.stopped.wait(WAIT_TIMEOUT_S)

    return script


def respond_and_close(raw):
    def script(endpoint, conn):
        endpoint.read(conn)
        conn.sendall(raw)

    return script


def reset_on_accept(endpoint, conn):
    reset_connection(conn)


def reset_during_request(endpoint, conn):
    conn.recv(1000)
    reset_connection(conn)


def reset_after_request(endpoint, conn):
    endpoint.read(conn)
    reset_connection(conn)


def close_without_response(endpoint, conn):
    endpoint.read(conn)


def reset_during_response(endpoint, conn):
    endpoint.read(conn)
    conn.sendall(make_response(b"x" * 100)[:-50])
    reset_connection(conn)


def reset_when_reused(endpoint, conn):
    endpoint.read(conn)
    conn.sendall(make_response())
    endpoint.read(conn)
    reset_connection(conn)


def never_respond(endpoint, conn):
    endpoint.read(conn)
    endpoint.stopped.wait(WAIT_TIMEOUT_S)


def send_slowly(raw, pause_s=0.05):
    def script(endpoint, conn):
        endpoint.read(conn)
        for byte in raw:
            conn.sendall(bytes([byte]))
            if endpoint.stopped.wait(pause_s):
                return

    return script


@pytest.fixture
def start_endpoint():
    with contextlib.ExitStack() as stack:

        def make(*scripts):
            endpoint = ScriptedEndpoint(*scripts)
            stack.callback(endpoint.close)
            return endpoint

        yield make


@pytest.fixture
def client():
    http_client = HttpEndpointClient(4, 1.0)
    yield http_client
    http_client.close()


def make_request(method="POST", body=b"order", target="/x", **headers):
    return Request("r1", "quotes", method, target, 0.0, headers, body)


FAULTS = {
    "reset on accept": (reset_on_accept, EndpointError),
    "reset during the request": (reset_during_request, EndpointResetError),
    "reset after the request": (reset_after_request, EndpointResetError),
    "reset during the response": (reset_during_response, EndpointResetError),
    "close without response": (close_without_response, EndpointResetError),
    "no response": (never_respond, EndpointTimeoutError),
    "slow head": (send_slowly(make_response()), EndpointTimeoutError),
    "slow body": (
        send_slowly(make_response(b"x" * 500, headers=REQUEST_ID_HEADER), 0.01),
        EndpointTimeoutError,
    ),
    "short body": (respond_and_close(make_response(b"x" * 10)[:-5]), EndpointAnswerError),
    "long body": (send_responses(make_response() + b"more"), EndpointAnswerError),
    "long large body": (
        send_responses(make_response(b"x" * 50_000) + b"more"),
        EndpointAnswerError,
    ),
    "two responses": (send_responses(make_response() + make_response()), EndpointAnswerError),
    "neither length nor chunks": (
        respond_and_close(b"HTTP/1.1 200 OK\r\n\r\nbody"),
        EndpointAnswerError,
    ),
    "non-numeric length": (
        respond_and_close(b"HTTP/1.1 200 OK\r\nContent-Length: ten\r\n\r\nbody"),
        EndpointAnswerError,
    ),
    "conflicting lengths": (
        respond_and_close(make_response(headers=REQUEST_ID_HEADER + b"Content-Length: 7\r\n")),
        EndpointAnswerError,
    ),
    "short chunks": (
        respond_and_close(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab"),
        EndpointAnswerError,
    ),
    "malformed chunks": (
        respond_and_close(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n"),
        EndpointAnswerError,
    ),
    "not HTTP": (respond_and_close(b"\x00\x01garbage\r\n\r\n"), EndpointAnswerError),
    "response to another request": (
        send_responses(make_response(headers=b"X-Request-Id: r2\r\n")),
        EndpointAnswerError,
    ),
}


@pytest.mark.parametrize("name", FAULTS)
def test_fault_raises_its_error_and_closes_the_connection(start_endpoint, client, name):
    script, error = FAULTS[name]
    endpoint = start_endpoint(script, send_responses(make_response(b"next")))
    body = b"x" * 5_000_000 if name == "reset during the request" else b"order"
    with pytest.raises(error):
        client.send(endpoint.address, make_request(body=body), 0.5)
    assert client.send(endpoint.address, make_request(), 5.0).body == b"next"
    assert endpoint.connections == 2


def test_refused_connection_is_a_connect_error(client):
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = f"127.0.0.1:{listener.getsockname()[1]}"
    with pytest.raises(EndpointConnectError):
        client.send(address, make_request(), 1.0)


def test_full_backlog_is_a_connect_error(client):
    with contextlib.ExitStack() as stack:
        listener = stack.enter_context(socket.socket())
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        for _ in range(4):
            filler = stack.enter_context(socket.socket())
            filler.setblocking(False)
            filler.connect_ex(listener.getsockname())
        with pytest.raises(EndpointConnectError):
            client.send(f"127.0.0.1:{listener.getsockname()[1]}", make_request(), 0.3)


def test_reset_of_a_reused_connection_is_not_retried(start_endpoint, client):
    endpoint = start_endpoint(reset_when_reused)
    assert client.send(endpoint.address, make_request(), 5.0).body == b"ok"
    with pytest.raises(EndpointResetError):
        client.send(endpoint.address, make_request(), 5.0)
    assert len(endpoint.requests) == 2
    assert endpoint.connections == 1


def test_late_response_is_not_delivered_to_the_next_request(start_endpoint, client):
    timed_out = threading.Event()

    def respond_late(endpoint, conn):
        endpoint.read(conn)
        timed_out.wait(WAIT_TIMEOUT_S)
        conn.sendall(make_response(b"late"))

    endpoint = start_endpoint(respond_late, send_responses(make_response(b"next")))
    with pytest.raises(EndpointTimeoutError):
        client.send(endpoint.address, make_request(), 0.2)
    timed_out.set()
    assert client.send(endpoint.address, make_request(), 5.0).body == b"next"


def test_timeout_bounds_the_whole_exchange(start_endpoint, client):
    endpoint = start_endpoint(send_slowly(make_response(b"x" * 10_000), 0.02))
    started = time.monotonic()
    with pytest.raises(EndpointTimeoutError):
        client.send(endpoint.address, make_request(), 0.4)
    assert time.monotonic() - started < WAIT_TIMEOUT_S / 2


def test_error_response_is_returned(start_endpoint, client):
    endpoint = start_endpoint(send_responses(make_response(b"down", b"503 Service Unavailable")))
    answer = client.send(endpoint.address, make_request(), 5.0)
    assert (answer.status, answer.body) == (503, b"down")


@pytest.mark.parametrize(
    ("method", "raw", "status"),
    [
        ("HEAD", b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n", 200),
        ("GET", b"HTTP/1.1 304 Not Modified\r\nContent-Length: 10\r\n\r\n", 304),
        ("POST", b"HTTP/1.1 204 No Content\r\n\r\n", 204),
        ("POST", b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n", 204),
    ],
)
def test_bodiless_response_keeps_the_connection_open(start_endpoint, client, method, raw, status):
    endpoint = start_endpoint(send_responses(raw, make_response()))
    answer = client.send(endpoint.address, make_request(method, b""), 5.0)
    assert (answer.status, answer.body) == (status, b"")
    assert client.send(endpoint.address, make_request(), 5.0).body == b"ok"
    assert endpoint.connections == 1


def test_chunked_response_is_complete(start_endpoint, client):
    raw = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"
    endpoint = start_endpoint(send_responses(raw, make_response()))
    assert client.send(endpoint.address, make_request(), 5.0).body == b"abc"
    assert client.send(endpoint.address, make_request(), 5.0).body == b"ok"
    assert endpoint.connections == 1


@pytest.mark.parametrize(
    "invalid_request",
    [
        make_request("P(ST"),
        make_request(**{"X-Name": "a\r\nb: c"}),
        make_request(**{"X-Name": "\u20ac"}),
    ],
)
def test_invalid_http_request_is_not_sent(start_endpoint, client, invalid_request):
    endpoint = start_endpoint(send_responses(make_response()))
    with pytest.raises(RequestInvalidError):
        client.send(endpoint.address, invalid_request, 5.0)
    assert endpoint.requests == []
