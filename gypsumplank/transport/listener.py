"""Serve a WSGI application with waitress in dedicated threads."""

import threading
import time
from collections.abc import Callable, Iterable
from typing import Any

from waitress.adjustments import Adjustments
from waitress.channel import HTTPChannel
from waitress.task import ThreadedTaskDispatcher

from gypsumplank.errors import ListenError
from gypsumplank.transport.bodybudget import RequestLimits
from gypsumplank.transport.channel import RECV_BYTES, BoundedChannel
from gypsumplank.transport.requestledger import RequestLedger
from gypsumplank.transport.requestparser import HeadCheck
from gypsumplank.transport.requestqueue import RequestQueue
from gypsumplank.transport.server import BoundedServer
from gypsumplank.transport.socketbudget import SocketLimits

StartResponse = Callable[[str, list[tuple[str, str]]], Any]
Application = Callable[[dict[str, Any], StartResponse], Iterable[bytes]]

REQUEST_LOOKAHEAD = 1
DEFAULT_SOCKETS = SocketLimits()
CLOSE_POLL_INTERVAL_S = 0.02
JOIN_TIMEOUT_S = 5.0
# Longest wait at a close for the exit of threads that have no request, seconds.
THREAD_EXIT_TIMEOUT_S = 1.0


class ClosingDispatcher(ThreadedTaskDispatcher):
    """Run requests in threads; when `closing`, answer with `Connection: close`."""

    channel_class = BoundedChannel

    def __init__(self, threads: int) -> None:
        super().__init__()
        self.queue = RequestQueue()
        self.closing = False
        self.set_thread_count(threads)

    def add_task(self, task: HTTPChannel) -> None:
        """Schedule the oldest request of a connection."""
        if self.closing:
            self.set_connection_close(task)
        self.dispatch(task)

    def dispatch(self, task: Any) -> None:
        """Pass a task to the threads."""
        super().add_task(task)

    @staticmethod
    def set_connection_close(channel: HTTPChannel) -> None:
        """Make waitress answer the connection's pending requests with `Connection: close`."""
        for request in channel.requests:
            request.headers["CONNECTION"] = "close"


class Listener:
    """Serve a WSGI application on one address until closed; raise ListenError if it is taken.

    The listeners of a process share `ledger`, which holds the limits of incomplete requests, and
    divide the memory for the kernel's buffers, `sockets` each.
    `head_check` decides on each request by its headers, in the server thread, before its body is
    read; a refusal is answered and the connection closed.
    """

    def __init__(
        self,
        app: Application,
        address: str,
        dispatcher: ClosingDispatcher,
        max_body_bytes: int,
        name: str,
        sockets: SocketLimits = DEFAULT_SOCKETS,
        ledger: RequestLedger | None = None,
        head_check: HeadCheck | None = None,
    ) -> None:
        self._dispatcher = dispatcher
        ledger = ledger or RequestLedger(RequestLimits())
        # waitress refuses sizes that reach its limits.
        adj = Adjustments(
            listen=address,
            max_request_body_size=max_body_bytes + 1,
            max_request_header_size=ledger.limits.header_bytes + 1,
            # Bodies stay in memory, where they are accounted for: a host may have no disk.
            inbuf_overflow=max_body_bytes + 1,
            recv_bytes=RECV_BYTES,
            channel_request_lookahead=REQUEST_LOOKAHEAD,
            connection_limit=sockets.connections,
            backlog=sockets.backlog,
            ident=None,
            clear_untrusted_proxy_headers=True,
        )
        try:
            self._server = BoundedServer(app, dispatcher, adj, ledger, head_check, sockets)
        except OSError as exc:
            raise ListenError(f"{name} at {address}: {exc.strerror or exc}") from exc
        self._server.channel_class = dispatcher.channel_class
        self._thread = threading.Thread(target=self._server.run, name=name, daemon=True)

    def start(self) -> None:
        """Start the server thread."""
        self._thread.start()

    def start_closing_connections(self) -> None:
        """Start answering with `Connection: close`, but still accept connections."""
        self._dispatcher.closing = True
        for channel in list(self._server.active_channels.values()):
            self._dispatcher.set_connection_close(channel)

    def close(self, grace_s: float) -> bool:
        """Drain for up to `grace_s` without new connections, close; return whether all finished."""
        self._server.trigger.pull_trigger(self._stop_accepting)
        deadline = time.monotonic() + grace_s
        while self._has_requests() and time.monotonic() < deadline:
            time.sleep(CLOSE_POLL_INTERVAL_S)
        idle = not self._has_requests()
        self._server.trigger.pull_trigger(self._close_channels)
        self._thread.join(JOIN_TIMEOUT_S)
        self._dispatcher.shutdown(timeout=THREAD_EXIT_TIMEOUT_S if idle else 0.0)
        self._close_trigger()
        return idle

    def _has_requests(self) -> bool:
        return any(
            channel.requests or channel.request is not None or channel.total_outbufs_len
            for channel in list(self._server.active_channels.values())
        )

    def _stop_accepting(self) -> None:
        self._server.accepting = False
        self._server.del_channel()
        self._server.socket.close()

    def _close_channels(self) -> None:
        for channel in list(self._server.active_channels.values()):
            channel.handle_close()
        # The server thread ends as soon as nothing is left to poll.
        self._server.trigger.del_channel()

    def _close_trigger(self) -> None:
        # Every thread that still runs writes to the trigger, so its descriptors must stay open.
        if not self._thread.is_alive() and not self._dispatcher.threads:
            self._server.trigger.close()
