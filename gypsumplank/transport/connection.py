"""Bound an HTTP exchange by one deadline and track whether any byte was sent."""

import contextlib
import errno
import io
import socket
import time
from typing import Any, cast

from urllib3.connection import HTTPConnection
from urllib3.response import HTTPResponse

from gypsumplank.errors import RequestInvalidError

# A timeout of 0 would make the socket non-blocking.
MIN_TIMEOUT_S = 0.001
TIMEOUT_SLACK_S = 0.05
MAX_COALESCED_BYTES = 16 << 10


class UnsentError(OSError):
    """The connection broke before any byte of the request was sent."""


class DeadlineSocket(socket.socket):
    """Apply one deadline to all operations after each `settimeout`.

    Setting the timeout of the socket itself releases the interpreter lock to other threads. So it
    is set again only if it is below the remaining time, or above it by more than TIMEOUT_SLACK_S.
    """

    def __init__(self, sock: socket.socket) -> None:
        super().__init__(fileno=sock.detach())
        self.any_sent = False
        self.has_trailing_data = False
        self._received_bytes = 0
        self._buffered_only = False
        self._deadline: float | None = None
        self._socket_timeout_s: float | None = None
        super().settimeout(None)

    def settimeout(self, value: float | None) -> None:
        """Set the total time in seconds for all operations from now on."""
        self._deadline = None if value is None else time.monotonic() + value
        self._set_socket_timeout(value)

    def recv_into(self, *args: Any) -> int:
        """Receive before the deadline."""
        if self._buffered_only:
            raise BlockingIOError(errno.EAGAIN, "only buffered data may be read")
        self._apply_remaining_time()
        count = super().recv_into(*args)
        self._received_bytes += count
        return count

    def sendall(self, data: Any, flags: int = 0) -> None:
        """Send before the deadline; raise UnsentError if no byte was sent."""
        self._apply_remaining_time()
        unsent = memoryview(data)
        if unsent and not self.any_sent:
            try:
                unsent = unsent[self.send(unsent, flags) :]
            except OSError as exc:
                raise UnsentError(str(exc)) from exc
            self.any_sent = True
        if unsent:
            super().sendall(unsent, flags)

    def makefile(self, *_args: Any, **_kwargs: Any) -> Any:
        """Return a reader that detects data after the end of the response."""
        self._received_bytes = 0
        return TrailingDataReader(super().makefile("rb", buffering=0), self)

    def check_trailing_data(self, reader: "TrailingDataReader") -> None:
        """Shut the connection down if data follows the response.

        After a small response, such data is already in the reader's buffer; after one of
        io.DEFAULT_BUFFER_SIZE or more, it may still be in the socket.
        """
        self._deadline = None
        self._buffered_only = self._received_bytes < io.DEFAULT_BUFFER_SIZE
        try:
            if not self._buffered_only:
                self._set_socket_timeout(0.0)
            self.has_trailing_data = bool(reader.peek(1))
        except OSError:
            self.has_trailing_data = True
        self._buffered_only = False
        if self.has_trailing_data:
            with contextlib.suppress(OSError):
                self.shutdown(socket.SHUT_RDWR)

    def _apply_remaining_time(self) -> None:
        if self._deadline is None:
            return
        remaining_s = self._deadline - time.monotonic()
        if remaining_s <= 0:
            raise TimeoutError("the exchange exceeded its deadline")
        self._set_socket_timeout(remaining_s)

    def _set_socket_timeout(self, value: float | None) -> None:
        current_s = self._socket_timeout_s
        if value and current_s and value <= current_s <= value + TIMEOUT_SLACK_S:
            return
        self._socket_timeout_s = value + TIMEOUT_SLACK_S / 2 if value else value
        super().settimeout(self._socket_timeout_s)


class TrailingDataReader(io.BufferedReader):
    """Read one response; on close, check for data beyond its end."""

    def __init__(self, raw: Any, sock: DeadlineSocket) -> None:
        super().__init__(raw)
        self._sock = sock

    def close(self) -> None:
        """Check for trailing data and close."""
        if not self.closed:
            self._sock.check_trailing_data(self)
        super().close()


class DeadlineConnection(HTTPConnection):
    """Apply the pool's timeout to connect, request and response together."""

    def __init__(self, *args: Any, connect_timeout_s: float, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._connect_timeout_s = connect_timeout_s
        self.response_socket: DeadlineSocket | None = None
        self._send_buffer: bytearray | None = None

    def connect(self) -> None:
        """Connect within the shorter of the connect timeout and the total timeout."""
        total_s = float(self.timeout or self._connect_timeout_s)
        started = time.monotonic()
        self.timeout = min(total_s, self._connect_timeout_s)
        try:
            super().connect()
        finally:
            self.timeout = total_s
        sock = DeadlineSocket(self.sock)
        sock.settimeout(max(MIN_TIMEOUT_S, total_s - (time.monotonic() - started)))
        self.sock = sock

    def request(self, *args: Any, **kwargs: Any) -> None:
        """Send a request; raise RequestInvalidError if it is not valid HTTP."""
        if isinstance(self.sock, DeadlineSocket):
            self.sock.any_sent = False
        self._send_buffer = bytearray()
        try:
            super().request(*args, **kwargs)
            self._flush()
        except ValueError as exc:
            raise RequestInvalidError(str(exc)) from exc
        finally:
            self._send_buffer = None

    def send(self, data: Any) -> None:
        """Send data; coalesce a request's head and small body into one write."""
        if (
            self._send_buffer is not None
            and len(self._send_buffer) + len(data) <= MAX_COALESCED_BYTES
        ):
            self._send_buffer += data
            return
        self._flush()
        super().send(data)

    def _flush(self) -> None:
        buffered, self._send_buffer = self._send_buffer, None
        if buffered:
            super().send(buffered)

    def getresponse(self) -> HTTPResponse:  # type: ignore[override]
        """Return the response; store the socket that it is read from in `response_socket`."""
        self.response_socket = cast(DeadlineSocket, self.sock)
        return super().getresponse()
