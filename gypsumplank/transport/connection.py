"""Bound a whole HTTP exchange by one deadline, and know whether any of it was sent."""

import contextlib
import errno
import io
import socket
import time
from typing import Any, cast

from urllib3.connection import HTTPConnection
from urllib3.response import HTTPResponse

from gypsumplank.errors import RequestInvalidError

LEAST_S = 0.001
SLACK_S = 0.05
TOGETHER_BYTES = 16 << 10


class UnsentError(OSError):
    """The connection broke before it took a byte of the request."""


class DeadlineSocket(socket.socket):
    """Share the timeout last set among all operations that follow it.

    Setting the timeout of the socket itself gives the interpreter to other threads. So it is
    set only where it differs from the time left, and exceeds that by SLACK_S at most.
    """

    def __init__(self, sock: socket.socket) -> None:
        super().__init__(fileno=sock.detach())
        self.sent = False
        self.surplus = False
        self._received = 0
        self._buffered_only = False
        self._deadline: float | None = None
        self._applied: float | None = None
        super().settimeout(None)

    def settimeout(self, value: float | None) -> None:
        """Set the seconds that all operations from now on may take together."""
        self._deadline = None if value is None else time.monotonic() + value
        self._apply(value)

    def recv_into(self, *args: Any) -> int:
        """Receive within the time left."""
        if self._buffered_only:
            raise BlockingIOError(errno.EAGAIN, "only what is buffered is asked for")
        self._use_time_left()
        count = super().recv_into(*args)
        self._received += count
        return count

    def sendall(self, data: Any, flags: int = 0) -> None:
        """Send within the time left; raise UnsentError where no byte was taken."""
        self._use_time_left()
        rest = memoryview(data)
        if rest and not self.sent:
            try:
                rest = rest[self.send(rest, flags) :]
            except OSError as exc:
                raise UnsentError(str(exc)) from exc
            self.sent = True
        if rest:
            super().sendall(rest, flags)

    def makefile(self, *_args: Any, **_kwargs: Any) -> Any:
        """Return a reader that notices what comes after the answer."""
        self._received = 0
        return SurplusReader(super().makefile("rb", buffering=0), self)

    def look_for_surplus(self, reader: "SurplusReader") -> None:
        """Break the connection if the reader has more bytes than it has given.

        A small answer comes into the reader's buffer with what follows it; after a large one
        the rest is still in the socket.
        """
        self._deadline = None
        self._buffered_only = self._received < io.DEFAULT_BUFFER_SIZE
        try:
            if not self._buffered_only:
                self._apply(0.0)
            self.surplus = bool(reader.peek(1))
        except OSError:
            self.surplus = True
        self._buffered_only = False
        if self.surplus:
            with contextlib.suppress(OSError):
                self.shutdown(socket.SHUT_RDWR)

    def _use_time_left(self) -> None:
        if self._deadline is None:
            return
        left = self._deadline - time.monotonic()
        if left <= 0:
            raise TimeoutError("the time for the exchange is over")
        self._apply(left)

    def _apply(self, value: float | None) -> None:
        applied = self._applied
        if value and applied and value <= applied <= value + SLACK_S:
            return
        self._applied = value + SLACK_S / 2 if value else value
        super().settimeout(self._applied)


class SurplusReader(io.BufferedReader):
    """Read one answer, and look on close whether more has come than was read."""

    def __init__(self, raw: Any, sock: DeadlineSocket) -> None:
        super().__init__(raw)
        self._sock = sock

    def close(self) -> None:
        """Look for surplus bytes and close."""
        if not self.closed:
            self._sock.look_for_surplus(self)
        super().close()


class DeadlineConnection(HTTPConnection):
    """Take the pool's timeout as the time for connect, request and answer together."""

    def __init__(self, *args: Any, connect_timeout_s: float, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._connect_timeout_s = connect_timeout_s
        self.exchange: DeadlineSocket | None = None
        self._unsent: bytearray | None = None

    def connect(self) -> None:
        """Connect within the connect timeout or the time left, the shorter holds."""
        whole = float(self.timeout or self._connect_timeout_s)
        started = time.monotonic()
        self.timeout = min(whole, self._connect_timeout_s)
        try:
            super().connect()
        finally:
            self.timeout = whole
        sock = DeadlineSocket(self.sock)
        sock.settimeout(max(LEAST_S, whole - (time.monotonic() - started)))
        self.sock = sock

    def request(self, *args: Any, **kwargs: Any) -> None:
        """Send a request; raise RequestInvalidError where it cannot be put into HTTP."""
        if isinstance(self.sock, DeadlineSocket):
            self.sock.sent = False
        self._unsent = bytearray()
        try:
            super().request(*args, **kwargs)
            self._flush()
        except ValueError as exc:
            raise RequestInvalidError(str(exc)) from exc
        finally:
            self._unsent = None

    def send(self, data: Any) -> None:
        """Send, a request's head and small body together."""
        if self._unsent is not None and len(self._unsent) + len(data) <= TOGETHER_BYTES:
            self._unsent += data
            return
        self._flush()
        super().send(data)

    def _flush(self) -> None:
        unsent, self._unsent = self._unsent, None
        if unsent:
            super().send(unsent)

    def getresponse(self) -> HTTPResponse:  # type: ignore[override]
        """Return the answer, and keep the socket that it is read from in `exchange`."""
        self.exchange = cast(DeadlineSocket, self.sock)
        return super().getresponse()
