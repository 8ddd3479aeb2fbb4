"""Keep connections to a service, and exchange requests that release the interpreter lock rarely."""

import contextlib
import http.client
import queue
import socket
import struct
import time
import weakref
from collections.abc import Mapping
from typing import Any

from urllib3.util.connection import create_connection
from urllib3.util.wait import wait_for_read

from gypsumplank.errors import CallError

# The kernel takes a timeout of 0 as none.
MIN_TIMEOUT_S = 0.001
# The kernel closes a connection whose sent data stays unacknowledged this long.
TCP_USER_TIMEOUT_MS = 1500
# Idle time before the first keep-alive probe, and the time between probes.
KEEPALIVE_INTERVAL_S = 1
# The value of an established connection in the first byte of TCP_INFO.
TCP_ESTABLISHED = b"\x01"
# The kernel's use of a socket's memory (linux/socket.h); the first number counts received data, and
# a close by the other side, that are not read yet.
SO_MEMINFO = 55
NOTHING_UNREAD = bytes(4)

SOCKET_OPTIONS: list[tuple[int, int, int | bytes]] = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS),
]


class ResponseTimeoutError(TimeoutError):
    """No data of the response arrived within the timeout."""


class KernelTimeoutSocket(socket.socket):
    """Leave timeouts to the kernel.

    With `settimeout`, each operation polls the socket first, which releases the interpreter lock
    once more. To get it back beside a busy thread takes milliseconds.
    """

    def __init__(self, sock: socket.socket) -> None:
        super().__init__(fileno=sock.detach())
        self._timeouts_s: dict[int, float] = {}
        self.settimeout(None)

    def limit_send(self, timeout_s: float) -> None:
        """Set the timeout of `sendall`."""
        self._limit(socket.SO_SNDTIMEO, timeout_s)

    def limit_receive(self, timeout_s: float) -> None:
        """Set the timeout of each receive operation."""
        self._limit(socket.SO_RCVTIMEO, timeout_s)

    def _limit(self, option: int, timeout_s: float) -> None:
        timeout_s = max(MIN_TIMEOUT_S, timeout_s)
        if self._timeouts_s.get(option) != timeout_s:
            seconds, fraction = divmod(timeout_s, 1.0)
            timeval = struct.pack("@ll", int(seconds), int(fraction * 1e6))
            self.setsockopt(socket.SOL_SOCKET, option, timeval)
            self._timeouts_s[option] = timeout_s

    def sendall(self, data: Any, flags: int = 0) -> None:
        """Send all data within the timeout."""
        started = time.monotonic()
        count = self.send(data, flags)
        if count == len(data):
            return
        elapsed_s = time.monotonic() - started
        self.settimeout(max(MIN_TIMEOUT_S, self._timeouts_s[socket.SO_SNDTIMEO] - elapsed_s))
        super().sendall(memoryview(data)[count:], flags)
        self.settimeout(None)

    def recv_into(self, *args: Any) -> int:
        """Receive data; raise ResponseTimeoutError."""
        try:
            return super().recv_into(*args)
        except (BlockingIOError, TimeoutError) as exc:
            raise ResponseTimeoutError("the response timed out") from exc

    def is_quiet(self) -> bool:
        """Return whether the connection is established and nothing arrived that is not read.

        Getting a socket option keeps the interpreter lock, unlike a poll; that is needed only if
        the options are not available, or cannot tell.
        """
        try:
            state = self.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
            unread = self.getsockopt(socket.SOL_SOCKET, SO_MEMINFO, 4)
        except OSError:
            return not wait_for_read(self, 0.0)
        if state == TCP_ESTABLISHED and unread == NOTHING_UNREAD:
            return True
        return not wait_for_read(self, 0.0)


class Connection(http.client.HTTPConnection):
    """Exchange requests over one connection, which is of no use after an error."""

    # A connection that was lost must not be replaced within a request.
    auto_open = 0
    sock: KernelTimeoutSocket | None
    _unsent: list[bytes]

    def connect(self) -> None:
        """Connect within `timeout`."""
        address = (self.host, self.port)
        sock = create_connection(address, self.timeout, socket_options=SOCKET_OPTIONS)
        self.sock = KernelTimeoutSocket(sock)

    def limit_send(self, timeout_s: float) -> None:
        """Set the timeout of sending a request."""
        assert self.sock is not None
        self.sock.limit_send(timeout_s)

    def limit_receive(self, timeout_s: float) -> None:
        """Set the timeout of each receive operation."""
        assert self.sock is not None
        self.sock.limit_receive(timeout_s)

    def send(self, data: Any) -> None:
        """Collect a part of the request."""
        self._unsent.append(data)

    def send_request(
        self, method: str, path: str, body: bytes | None, headers: Mapping[str, str]
    ) -> None:
        """Send a request in one operation; raise OSError."""
        self._unsent = []
        self.request(method, path, body, headers)
        assert self.sock is not None
        # A server may respond and close the connection before it has read the whole request.
        with contextlib.suppress(BrokenPipeError, ConnectionResetError):
            self.sock.sendall(b"".join(self._unsent))


class ConnectionPool:
    """Keep up to `size` connections to one address that are not in use."""

    def __init__(self, host: str, port: int, size: int) -> None:
        self._host = host
        self._port = port
        self._idle: queue.LifoQueue[Connection] = queue.LifoQueue(size)
        self._is_closed = False
        weakref.finalize(self, _close_all, self._idle)

    def take(self, connect_timeout_s: float) -> Connection:
        """Return the connection that was used last, or a new one; raise OSError, HTTPError."""
        if self._is_closed:
            raise CallError("the client is closed", sent=False)
        while True:
            try:
                conn = self._idle.get_nowait()
            except queue.Empty:
                break
            if conn.sock is not None and conn.sock.is_quiet():
                return conn
            conn.close()
        conn = Connection(self._host, self._port, timeout=connect_timeout_s)
        conn.connect()
        return conn

    def give_back(self, conn: Connection) -> None:
        """Keep a connection whose response was read, unless it or the pool is closed, or full."""
        if conn.sock is None:
            return
        try:
            self._idle.put_nowait(conn)
        except queue.Full:
            conn.close()
        if self._is_closed:
            _close_all(self._idle)

    def close(self) -> None:
        """Close all idle connections; those in use are closed when given back."""
        self._is_closed = True
        _close_all(self._idle)


def _close_all(idle: "queue.LifoQueue[Connection]") -> None:
    with contextlib.suppress(queue.Empty):
        while True:
            idle.get_nowait().close()
