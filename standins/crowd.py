"""Stand in for clients that don't behave: they send on many connections and read nothing."""

import contextlib
import selectors
import socket
import struct
import threading
from collections.abc import Sequence
from dataclasses import dataclass

from demo.job import HOST_HEADER, PREFIX

KIB = 1 << 10
JOB_PATH = f"{PREFIX}{'0' * 16}"
POLL_INTERVAL_S = 0.1
# What a client's own kernel receives before its daemon's has to keep the rest, bytes.
CLIENT_RECEIVE_BYTES = 4 * KIB


@dataclass(frozen=True)
class Load:
    """Store a crowd: its connections and what each sends, in pieces that take turns."""

    connections: int
    wire: bytes
    piece_bytes: int = 64 * KIB


def head(*fields: str, method: str = "POST", path: str = JOB_PATH) -> bytes:
    """Return the head of a request."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST_HEADER}", *fields]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def plain_body(body_bytes: int) -> bytes:
    """Return a request with a body of known length."""
    return head(f"Content-Length: {body_bytes}") + b"x" * body_bytes


def chunked_body(body_bytes: int, chunk_bytes: int) -> bytes:
    """Return a request with a body in chunks of one size."""
    chunk = b"%x\r\n" % chunk_bytes + b"x" * chunk_bytes + b"\r\n"
    wire = head("Transfer-Encoding: chunked") + chunk * (body_bytes // chunk_bytes)
    return wire + b"0\r\n\r\n"


def peer_message(protocol: int, size: int) -> bytes:
    """Return what a daemon sends another over pynng: the protocol's header and one message."""
    return b"\0SP\0" + struct.pack(">HHQ", protocol, 0, size) + b"x" * size


class Crowd:
    """Send the same bytes on all connections side by side, and open closed ones again if told."""

    def __init__(self, address: str, load: Load, reopens: bool = False) -> None:
        host, _, port = address.rpartition(":")
        self._address = host, int(port)
        self._load = load
        self._reopens = reopens
        self._selector = selectors.DefaultSelector()
        self._pending: dict[socket.socket, memoryview] = {}
        for _ in range(load.connections):
            self._open()

    def _open(self) -> None:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, CLIENT_RECEIVE_BYTES)
        sock.setblocking(False)
        sock.connect_ex(self._address)
        self._pending[sock] = memoryview(self._load.wire)
        self._selector.register(sock, selectors.EVENT_WRITE)

    def step(self) -> bool:
        """Send a piece wherever it is taken; return whether any was, or a connection was closed."""
        moved = False
        for key, _ in self._selector.select(POLL_INTERVAL_S):
            sock = key.fileobj
            assert isinstance(sock, socket.socket)
            try:
                sent = sock.send(self._pending[sock][: self._load.piece_bytes])
            except BlockingIOError:
                continue
            except OSError:
                self._close(sock)
                moved = True
                continue
            moved = True
            self._pending[sock] = self._pending[sock][sent:]
            if not self._pending[sock]:
                self._selector.unregister(sock)
        return moved

    def _close(self, sock: socket.socket) -> None:
        self._selector.unregister(sock)
        del self._pending[sock]
        sock.close()
        if self._reopens:
            self._open()

    def close(self) -> None:
        """Close all connections."""
        self._selector.close()
        for sock in self._pending:
            sock.close()


class CrowdThread:
    """Run crowds side by side in a thread until stopped."""

    def __init__(self, addresses: Sequence[str], load: Load) -> None:
        self._crowds = [Crowd(address, load, reopens=True) for address in addresses]
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Start sending."""
        self._thread.start()

    def stop(self) -> None:
        """Stop sending and close all connections."""
        self._stopped.set()
        self._thread.join()

    def _run(self) -> None:
        with contextlib.ExitStack() as stack:
            for crowd in self._crowds:
                stack.callback(crowd.close)
            while not self._stopped.wait(POLL_INTERVAL_S):
                for crowd in self._crowds:
                    crowd.step()
