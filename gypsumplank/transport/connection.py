"""Bound a whole HTTP exchange by one deadline, and know whether any of it was sent."""

import contextlib
import io
import socket
import time
from typing import Any, cast

from urllib3.connection import HTTPConnection
from urllib3.response import HTTPResponse

from gypsumplank.errors import RequestInvalidError

LEAST_S = 0.001


class UnsentError(OSError):
    """The connection broke before it took a byte of the request."""


class DeadlineSocket(socket.socket):
    """Share the timeout last set among all operations that follow it."""

    def __init__(self, sock: socket.socket) -> None:
        super().__init__(fileno=sock.detach())
        self.sent = False
        self.surplus = False
        self._deadline: float | None = None

    def settimeout(self, value: float | None) -> None:
        """Set the seconds that all operations from now on may take together."""
        self._deadline = None if value is None else time.monotonic() + value
        super().settimeout(value)

    def recv_into(self, *args: Any) -> int:
        """Receive within the time left."""
        self._use_time_left()
        return super().recv_into(*args)

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
        return SurplusReader(super().makefile("rb", buffering=0), self)

    def look_for_surplus(self, reader: "SurplusReader") -> None:
        """Break the connection if the reader has more bytes than it has given."""
        self._deadline = None
        try:
            self.setblocking(False)
            self.surplus = bool(reader.peek(1))
        except OSError:
            self.surplus = True
        if self.surplus:
            with contextlib.suppress(OSError):
                self.shutdown(socket.SHUT_RDWR)

    def _use_time_left(self) -> None:
        if self._deadline is None:
            return
        left = self._deadline - time.monotonic()
        if left <= 0:
            raise TimeoutError("the time for the exchange is over")
        super().settimeout(left)


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
        try:
            super().request(*args, **kwargs)
        except ValueError as exc:
            raise RequestInvalidError(str(exc)) from exc

    def getresponse(self) -> HTTPResponse:  # type: ignore[override]
        """Return the answer, and keep the socket that it is read from in `exchange`."""
        self.exchange = cast(DeadlineSocket, self.sock)
        return super().getresponse()
