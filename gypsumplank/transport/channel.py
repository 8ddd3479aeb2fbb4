"""Receive the requests of one connection within the limits of the process.

Answers clients that hold memory, a thread or the server thread: what a connection holds is
accounted for after each read, a connection whose bytes are costly to parse is read less often, and
its next request waits until the reply before it is sent.
"""

import array
import contextlib
import fcntl
import functools
import socket
import termios
import time
from typing import Any

from waitress.channel import ClientDisconnected, HTTPChannel
from waitress.parser import HTTPRequestParser
from waitress.task import ErrorTask

from gypsumplank.transport.bodybudget import (
    DropCause,
    Held,
    RefusalCause,
    RequestLimits,
    UnreadInput,
    overdue,
)
from gypsumplank.transport.requestparser import BoundedParser, cause_of, make_refusal
from gypsumplank.transport.socketbudget import WIDE_BUFFER_BYTES

# Bytes read at once. Bodies of known length cost little. Less is read of heads and chunked bodies,
# which may have a chunk in each six bytes, so that turns with hundreds of connections stay short.
RECV_BYTES = 32_768
HEAD_RECV_BYTES = 2048
# CPU time of one read above which the connection waits for its next turn, seconds.
COSTLY_READ_S = 0.0003


class BoundedChannel(HTTPChannel):
    """Receive requests, refuse the incomplete one when told to, and send replies.

    `is_pipelined` tells whether the next request was sent before the one ahead of it was answered.
    """

    request: BoundedParser | None
    requests: list[HTTPRequestParser]

    def __init__(
        self, server: Any, sock: Any, addr: Any, adj: Any, map: Any = None
    ) -> None:  # noqa: A002
        self.parser_class = functools.partial(BoundedParser, server.policy)
        self._ledger = server.ledger
        self._used = False
        self._refused = False
        self._finishing = False
        self._deferred = False
        self.is_pipelined = False
        self._read_bytes = 0
        self._unsent_bytes = 0
        self._unsent_since_s = server.clock_s
        self._accepted_s = server.clock_s
        self._arriving: BoundedParser | None = None
        self._since_s = server.clock_s
        self._resume_s = 0.0
        self._wide = False
        super().__init__(server, sock, addr, adj, map=map)

    def held(self) -> Held:
        """Return what the connection's requests hold."""
        request = self.request if self.connected else None
        incomplete = request.held_bytes if request is not None and not request.completed else 0
        complete = sum(getattr(req, "held_bytes", 0) for req in list(self.requests))
        return Held(incomplete, complete, self.total_outbufs_len)

    def account(self) -> None:
        """Report what is held; refuse the connections that the ledger chooses."""
        for victim in self._ledger.update(self):
            if victim.server is self.server:
                victim.refuse(RefusalCause.MEMORY)
            else:
                refuse = functools.partial(victim.refuse, RefusalCause.MEMORY)
                victim.server.trigger.pull_trigger(refuse)

    def settle(self) -> None:
        """Report what is held after it has become less."""
        self._ledger.settle(self)

    def readable(self) -> bool:
        """Return whether the next bytes are to be read."""
        if self._refused or self._finishing or self._resume_s > self.server.turn_s:
            return False
        return bool(super().readable())

    def recv(self, buffer_size: int) -> bytes:
        """Read from the socket."""
        request = self.request
        plain_body = request is not None and request.headers_finished and not request.chunked
        data: bytes = super().recv(buffer_size if plain_body else HEAD_RECV_BYTES)
        self._read_bytes += len(data)
        return data

    def received(self, data: bytes) -> bool:
        """Parse the next bytes, account for them, and yield to others if they were costly."""
        self._used = True
        if not self.requests:
            self.is_pipelined = False
        started_s = time.thread_time()
        used: bool = super().received(data)
        if self.request is not self._arriving:
            self._arriving = self.request
            self._since_s = self.server.clock_s
        self._widen()
        for req in list(self.requests):
            if req.error is not None and not self._refused:
                self._refused = True
                self._ledger.record_refusal(cause_of(req.error))
        self.account()
        cost_s = time.thread_time() - started_s
        if cost_s > COSTLY_READ_S and self.request is not None:
            self._resume_s = self.server.reserve(cost_s)
        return used

    def _widen(self) -> None:
        """Enlarge the receive buffer for a large body of known length, if the server has room."""
        request = self.request
        if request is None or self._wide or not request.headers_finished or request.chunked:
            return
        if request.content_length > self.server.sockets.receive_bytes and self.server.take_wide():
            self._wide = True
            # Without it the upload is only slower.
            with contextlib.suppress(OSError):
                self._set_receive_buffer(WIDE_BUFFER_BYTES)

    def _set_receive_buffer(self, size: int) -> None:
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
        # The clamp was inherited with the smaller buffer and would keep the window small.
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_WINDOW_CLAMP, size)

    def check_time(self) -> None:
        """Refuse the incomplete request if it takes too long; note whether replies are read."""
        if self.total_outbufs_len != self._unsent_bytes:
            self._unsent_bytes = self.total_outbufs_len
            self._unsent_since_s = self.server.clock_s
        if self.stalled_s > self._ledger.limits.reply_s:
            self.drop_reply(DropCause.TIME)
            return
        request = self.request
        if request is None or self._refused:
            return
        if self.requests or self.total_outbufs_len:
            # It is not read while earlier requests are answered, so its time starts anew.
            self._since_s = self.server.clock_s
            return
        in_body = request.headers_finished
        cause = overdue(self._ledger.limits, self._since_s, in_body, self.server.clock_s)
        if cause is not None:
            self.refuse(cause)

    def is_idle(self, limits: RequestLimits, now: float) -> bool:
        """Return whether the connection may make room for others."""
        busy = self.requests or self.request is not None or self.total_outbufs_len
        timeout_s = limits.idle_s if self._used else limits.header_s
        return not busy and now - self.last_activity > timeout_s

    @property
    def stalled_s(self) -> float:
        """Return for how long the client has read nothing of a reply."""
        unsent = self.total_outbufs_len
        if not unsent or unsent != self._unsent_bytes:
            return 0.0
        return float(self.server.clock_s - self._unsent_since_s)

    def drop_reply(self, cause: DropCause) -> None:
        """Close a connection whose reply is not read; call it in the server thread."""
        self._ledger.record_drop(cause)
        self.handle_close()

    def waits_for_flush(self) -> bool:
        """Return whether the next request waits until the reply to the last one is sent."""
        with self.outbuf_lock:
            self._deferred = self.total_outbufs_len > 0
            return self._deferred

    def handle_write(self) -> None:
        """Send what waits; when all is sent, continue with the request that was deferred."""
        unsent = self.total_outbufs_len
        super().handle_write()
        if self.total_outbufs_len != unsent:
            self.settle()
        if not self._deferred or self.total_outbufs_len:
            return
        with self.requests_lock:
            self._deferred = False
            if self.connected and self.requests:
                self.server.add_task(self)

    def _flush_outbufs_below_high_watermark(self) -> None:
        """Do nothing: a client that does not read must not hold a thread."""

    def is_finishing(self) -> bool:
        """Return whether the connection is closed once its requests are answered."""
        return self._finishing

    def unread_input(self) -> UnreadInput:
        """Return what waits unread behind a request of the connection."""
        unread = array.array("i", [0])
        if self.requests:
            # Without the count the connection is not chosen.
            with contextlib.suppress(OSError):
                fcntl.ioctl(self.socket.fileno(), termios.FIONREAD, unread)
        return UnreadInput(unread[0], self._read_bytes, self.server.clock_s - self._accepted_s)

    def finish(self) -> None:
        """Read nothing more, answer what is complete and close; call it in the server thread."""
        with self.requests_lock:
            self._finishing = True
            if self.request is not None:
                self.request.close()
                self.request = self._arriving = None
            if self.requests:
                self.requests[-1].headers["CONNECTION"] = "close"
        self.settle()
        self._close_if_finished()

    def _close_if_finished(self) -> None:
        if self._finishing and not self.requests:
            self.close_when_flushed = True
            self.server.pull_trigger()

    def refuse(self, cause: RefusalCause) -> None:
        """Refuse the incomplete request and close the connection; call it in the server thread."""
        with self.requests_lock:
            request = self.request
            if request is not None and self.connected:
                self._refused = True
                self.request = self._arriving = None
                request.refuse(make_refusal(cause))
                if self.requests:
                    # The answers keep the order of the requests.
                    self.requests.append(request)
        if request is not None and self._refused:
            self._ledger.record_refusal(cause)
            if not self.requests:
                self._answer(request)
        self.settle()

    def _answer(self, request: BoundedParser) -> None:
        """Send the error and close, without waiting for one of the threads."""
        if self.total_outbufs_len:
            # An earlier answer is not read by the client; write_soon could block this thread.
            self.handle_close()
            return
        with contextlib.suppress(ClientDisconnected):
            ErrorTask(self, request).service()
        self.close_when_flushed = True

    def service(self) -> None:
        """Execute one request in a thread."""
        self.is_pipelined = True
        try:
            super().service()
        finally:
            self.settle()
            self._close_if_finished()

    def cancel(self) -> None:
        """Drop all requests."""
        super().cancel()
        self.settle()

    def handle_close(self) -> None:
        """Close the connection."""
        super().handle_close()
        if self._wide:
            self._wide = False
            self.server.give_back_wide()
        self.settle()
