"""Serve a small application through a listener, for the tests of its limits."""

import contextlib
import socket
import threading
import time

from demo.cluster import free_addresses
from gypsumplank.transport.bodybudget import RequestLimits
from gypsumplank.transport.listener import ClosingDispatcher, Listener
from gypsumplank.transport.requestledger import RequestLedger
from gypsumplank.transport.socketbudget import SocketLimits

MAX_BODY_BYTES = 100_000
# More than the kernel holds for a client that reads nothing.
LARGE_ANSWER_BYTES = 8 << 20
# waitress lets a thread wait for the client beyond 16 MiB.
ANSWER_BYTES = {"/large": LARGE_ANSWER_BYTES, "/huge": 20 << 20}
TIMEOUT_S = 20.0
POST = b"POST /jobs HTTP/1.1\r\nHost: desk\r\n"
DEFAULT_SOCKETS = SocketLimits(connections=50)
CHUNKED = POST + b"Transfer-Encoding: chunked\r\n\r\n"


class App:
    """Answer with the length of the body, at length for some paths.

    Hold /wait until told, and let one request of /step pass for each permit.
    """

    def __init__(self):
        self.bodies = []
        self.resume = threading.Event()
        self.steps = threading.Semaphore(0)

    def __call__(self, environ, start_response):
        if environ["PATH_INFO"] == "/wait":
            self.resume.wait(TIMEOUT_S)
        if environ["PATH_INFO"] == "/step":
            self.steps.acquire(timeout=TIMEOUT_S)
        body = environ["wsgi.input"].read()
        self.bodies.append(len(body))
        answer = str(len(body)).encode()
        answer = answer.ljust(ANSWER_BYTES.get(environ["PATH_INFO"], 0))
        start_response("200 OK", [("Content-Length", str(len(answer)))])
        return [answer]


class Served:
    def __init__(self, head_check=None, sockets=DEFAULT_SOCKETS, app=None, threads=2, **limits):
        (self.address,) = free_addresses(1)
        self.app = app or App()
        self.sockets = sockets
        self.ledger = RequestLedger(RequestLimits(**limits))
        self.dispatcher = ClosingDispatcher(threads)
        self.listener = Listener(
            self.app,
            self.address,
            self.dispatcher,
            MAX_BODY_BYTES,
            "limits-test",
            sockets,
            self.ledger,
            head_check,
        )
        self.listener.start()

    def connect(self):
        host, _, port = self.address.rpartition(":")
        return socket.create_connection((host, int(port)), TIMEOUT_S)

    def ask(self, *pieces):
        """Send pieces and return all that the server sends until it closes or goes quiet."""
        with self.connect() as sock:
            for piece in pieces:
                sock.sendall(piece)
            return read(sock)


def wait_until(condition):
    deadline = time.monotonic() + TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline, "the condition did not come true"
        time.sleep(0.01)


def read(sock, until=b""):
    data = b""
    with contextlib.suppress(ConnectionError):
        while not (until and until in data) and (part := sock.recv(65_536)):
            data += part
    return data


def close_header(body):
    return POST + b"Connection: close\r\nContent-Length: %d\r\n\r\n" % len(body) + body
