"""Bring about each failure of an endpoint over real sockets."""

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

ID = b"X-Request-Id: r1\r\n"
PATIENCE_S = 20.0


class Endpoint:
    """Run one script for each connection; a script reads and writes as it likes."""

    def __init__(self, *scripts):
        self.scripts = list(scripts)
        self.requests = []
        self.connections = 0
        self.over = threading.Event()
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
            thread = threading.Thread(target=self._run, args=(script, conn), daemon=True)
            self.threads.append(thread)
            thread.start()

    def _run(self, script, conn):
        with conn, contextlib.suppress(OSError):
            script(self, conn)

    def read(self, conn):
        """Read one whole request and keep it."""
        reader = conn.makefile("rb", buffering=0)
        head = b""
        while not head.endswith(b"\r\n\r\n"):
            byte = reader.read(1)
            if not byte:
                return False
            head += byte
        fields = [line.split(b": ") for line in head.lower().split(b"\r\n")]
        length = int(dict(f for f in fields if len(f) == 2).get(b"content-length", 0))
        while length:
            length -= len(reader.read(length))
        self.requests.append(head)
        return True

    def close(self):
        self.over.set()
        with contextlib.suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        for thread in self.threads:
            thread.join(PATIENCE_S)


def reset(conn):
    conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    conn.close()


def whole(body=b"ok", status=b"200 OK", fields=ID):
    length = b"Content-Length: %d\r\n" % len(body)
    return b"HTTP/1.1 " + status + b"\r\n" + fields + length + b"\r\n" + body


def answer(*answers):
    """Answer the requests of a connection one after another, then hold it open."""

    def script(endpoint, conn):
        for raw in answers:
            if endpoint.read(conn):
                conn.sendall(raw)
        endpoint.over.wait(PATIENCE_S)

    return script


def answer_and_end(raw):
    def script(endpoint, conn):
        endpoint.read(conn)
        conn.sendall(raw)

    return script


def reset_at_once(endpoint, conn):
    reset(conn)


def reset_while_writing(endpoint, conn):
    conn.recv(1000)
    reset(conn)


def reset_after_request(endpoint, conn):
    endpoint.read(conn)
    reset(conn)


def die_mid_request(endpoint, conn):
    endpoint.read(conn)


def reset_mid_answer(endpoint, conn):
    endpoint.read(conn)
    conn.sendall(whole(b"x" * 100)[:-50])
    reset(conn)


def reset_when_reused(endpoint, conn):
    endpoint.read(conn)
    conn.sendall(whole())
    endpoint.read(conn)
    reset(conn)


def silent(endpoint, conn):
    endpoint.read(conn)
    endpoint.over.wait(PATIENCE_S)


def trickle(raw, pause_s=0.05):
    def script(endpoint, conn):
        endpoint.read(conn)
        for byte in raw:
            conn.sendall(bytes([byte]))
            if endpoint.over.wait(pause_s):
                return

    return script


@pytest.fixture
def serve():
    with contextlib.ExitStack() as stack:

        def make(*scripts):
            endpoint = Endpoint(*scripts)
            stack.callback(endpoint.close)
            return endpoint

        yield make


@pytest.fixture
def client():
    held = HttpEndpointClient(4, 1.0)
    yield held
    held.close()


def req(method="POST", body=b"order", target="/x", **headers):
    return Request("r1", "quotes", method, target, 0.0, headers, body)


FAULTS = {
    "reset before writing": (reset_at_once, EndpointError),
    "reset while writing": (reset_while_writing, EndpointResetError),
    "reset after writing": (reset_after_request, EndpointResetError),
    "reset in the answer": (reset_mid_answer, EndpointResetError),
    "worker dies mid-request": (die_mid_request, EndpointResetError),
    "timeout waiting": (silent, EndpointTimeoutError),
    "trickled head": (trickle(whole()), EndpointTimeoutError),
    "trickled body": (trickle(whole(b"x" * 500, fields=ID), 0.01), EndpointTimeoutError),
    "short body": (answer_and_end(whole(b"x" * 10)[:-5]), EndpointAnswerError),
    "long body": (answer(whole() + b"more"), EndpointAnswerError),
    "long large body": (answer(whole(b"x" * 50_000) + b"more"), EndpointAnswerError),
    "two answers": (answer(whole() + whole()), EndpointAnswerError),
    "no length": (answer_and_end(b"HTTP/1.1 200 OK\r\n\r\nbody"), EndpointAnswerError),
    "length is no number": (
        answer_and_end(b"HTTP/1.1 200 OK\r\nContent-Length: ten\r\n\r\nbody"),
        EndpointAnswerError,
    ),
    "two lengths": (
        answer_and_end(whole(fields=ID + b"Content-Length: 7\r\n")),
        EndpointAnswerError,
    ),
    "short chunks": (
        answer_and_end(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab"),
        EndpointAnswerError,
    ),
    "malformed chunks": (
        answer_and_end(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n"),
        EndpointAnswerError,
    ),
    "not HTTP": (answer_and_end(b"\x00\x01garbage\r\n\r\n"), EndpointAnswerError),
    "crossed answer": (answer(whole(fields=b"X-Request-Id: r2\r\n")), EndpointAnswerError),
}


@pytest.mark.parametrize("name", FAULTS)
def test_fault_table(serve, client, name):
    script, error = FAULTS[name]
    endpoint = serve(script, answer(whole(b"next")))
    body = b"x" * 5_000_000 if name == "reset while writing" else b"order"
    with pytest.raises(error):
        client.send(endpoint.address, req(body=body), 0.5)
    assert client.send(endpoint.address, req(), 5.0).body == b"next"
    assert endpoint.connections == 2


def test_connect_refused(client):
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = f"127.0.0.1:{listener.getsockname()[1]}"
    with pytest.raises(EndpointConnectError):
        client.send(address, req(), 1.0)


def test_connect_timeout_with_full_backlog(client):
    with contextlib.ExitStack() as stack:
        listener = stack.enter_context(socket.socket())
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        for _ in range(4):
            filler = stack.enter_context(socket.socket())
            filler.setblocking(False)
            filler.connect_ex(listener.getsockname())
        with pytest.raises(EndpointConnectError):
            client.send(f"127.0.0.1:{listener.getsockname()[1]}", req(), 0.3)


def test_reset_of_a_reused_connection_is_unknown(serve, client):
    endpoint = serve(reset_when_reused)
    assert client.send(endpoint.address, req(), 5.0).body == b"ok"
    with pytest.raises(EndpointResetError):
        client.send(endpoint.address, req(), 5.0)
    assert len(endpoint.requests) == 2
    assert endpoint.connections == 1


def test_late_answer_reaches_no_other_request(serve, client):
    asked = threading.Event()

    def late(endpoint, conn):
        endpoint.read(conn)
        asked.wait(PATIENCE_S)
        conn.sendall(whole(b"late"))

    endpoint = serve(late, answer(whole(b"next")))
    with pytest.raises(EndpointTimeoutError):
        client.send(endpoint.address, req(), 0.2)
    asked.set()
    assert client.send(endpoint.address, req(), 5.0).body == b"next"


def test_deadline_bounds_the_whole_exchange(serve, client):
    endpoint = serve(trickle(whole(b"x" * 10_000), 0.02))
    started = time.monotonic()
    with pytest.raises(EndpointTimeoutError):
        client.send(endpoint.address, req(), 0.4)
    assert time.monotonic() - started < PATIENCE_S / 2


def test_answer_of_failed_endpoint_passes_through(serve, client):
    endpoint = serve(answer(whole(b"down", b"503 Service Unavailable")))
    found = client.send(endpoint.address, req(), 5.0)
    assert (found.status, found.body) == (503, b"down")


@pytest.mark.parametrize(
    ("method", "raw", "status"),
    [
        ("HEAD", b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n", 200),
        ("GET", b"HTTP/1.1 304 Not Modified\r\nContent-Length: 10\r\n\r\n", 304),
        ("POST", b"HTTP/1.1 204 No Content\r\n\r\n", 204),
        ("POST", b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n", 204),
    ],
)
def test_answers_without_body_keep_the_connection(serve, client, method, raw, status):
    endpoint = serve(answer(raw, whole()))
    found = client.send(endpoint.address, req(method, b""), 5.0)
    assert (found.status, found.body) == (status, b"")
    assert client.send(endpoint.address, req(), 5.0).body == b"ok"
    assert endpoint.connections == 1


def test_chunked_answer_is_whole(serve, client):
    raw = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"
    endpoint = serve(answer(raw, whole()))
    assert client.send(endpoint.address, req(), 5.0).body == b"abc"
    assert client.send(endpoint.address, req(), 5.0).body == b"ok"
    assert endpoint.connections == 1


@pytest.mark.parametrize(
    "bad", [req("P(ST"), req(**{"X-Name": "a\r\nb: c"}), req(**{"X-Name": "\u20ac"})]
)
def test_request_that_http_cannot_express_is_not_sent(serve, client, bad):
    endpoint = serve(answer(whole()))
    with pytest.raises(RequestInvalidError):
        client.send(endpoint.address, bad, 5.0)
    assert endpoint.requests == []
