"""Serve a WSGI application with waitress in dedicated threads."""

import threading
import time
from collections.abc import Callable, Iterable
from typing import Any

from waitress.channel import HTTPChannel
from waitress.server import create_server
from waitress.task import ThreadedTaskDispatcher

from gypsumplank.errors import ListenError

StartResponse = Callable[[str, list[tuple[str, str]]], Any]
Application = Callable[[dict[str, Any], StartResponse], Iterable[bytes]]

REQUEST_LOOKAHEAD = 1
ACCEPT_BACKLOG = 1024
CONNECTION_LIMIT = 2000
CLOSE_POLL_INTERVAL_S = 0.02
JOIN_TIMEOUT_S = 5.0
# Longest wait at a close for the exit of threads that have no request, seconds.
THREAD_EXIT_TIMEOUT_S = 1.0


class ClosingDispatcher(ThreadedTaskDispatcher):
    """Run requests in threads; when `closing`, answer with `Connection: close`."""

    channel_class = HTTPChannel

    def __init__(self, threads: int) -> None:
        super().__init__()
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
    """Serve a WSGI application on one address until closed; raise ListenError if it is taken."""

    def __init__(
        self,
        app: Application,
        address: str,
        dispatcher: ClosingDispatcher,
        max_body_bytes: int,
        name: str,
        connection_limit: int = CONNECTION_LIMIT,
    ) -> None:
        self._dispatcher = dispatcher
        try:
            self._server = create_server(
                app,
                listen=address,
                _dispatcher=self._dispatcher,
                max_request_body_size=max_body_bytes,
                channel_request_lookahead=REQUEST_LOOKAHEAD,
                connection_limit=connection_limit,
                backlog=ACCEPT_BACKLOG,
                asyncore_use_poll=True,
                ident=None,
                clear_untrusted_proxy_headers=True,
            )
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
