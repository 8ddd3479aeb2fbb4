"""Serve a WSGI application with waitress in threads of its own."""

import threading
import time
from collections.abc import Callable, Iterable
from typing import Any

from waitress.channel import HTTPChannel
from waitress.server import create_server
from waitress.task import ThreadedTaskDispatcher

StartResponse = Callable[[str, list[tuple[str, str]]], Any]
Application = Callable[[dict[str, Any], StartResponse], Iterable[bytes]]

LOOKAHEAD = 1
BACKLOG = 1024
CONNECTION_LIMIT = 2000
POLL_S = 0.02
JOIN_S = 5.0


class ClosingDispatcher(ThreadedTaskDispatcher):
    """Run requests in threads; once `closing`, ask each caller to close its connection."""

    channel_class = HTTPChannel

    def __init__(self, threads: int) -> None:
        super().__init__()
        self.closing = False
        self.set_thread_count(threads)

    def add_task(self, task: HTTPChannel) -> None:
        """Queue the oldest request of a connection."""
        if self.closing:
            self.mark_last(task)
        self.run(task)

    def run(self, task: Any) -> None:
        """Hand a task to the threads."""
        super().add_task(task)

    @staticmethod
    def mark_last(channel: HTTPChannel) -> None:
        """Make waitress answer the connection's requests with `Connection: close`."""
        for request in channel.requests:
            request.headers["CONNECTION"] = "close"


class Listener:
    """Listen on one address until closed."""

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
        self._server = create_server(
            app,
            listen=address,
            _dispatcher=self._dispatcher,
            max_request_body_size=max_body_bytes,
            channel_request_lookahead=LOOKAHEAD,
            connection_limit=connection_limit,
            backlog=BACKLOG,
            asyncore_use_poll=True,
            ident=None,
            clear_untrusted_proxy_headers=True,
        )
        self._server.channel_class = dispatcher.channel_class
        self._thread = threading.Thread(target=self._server.run, name=name, daemon=True)

    def start(self) -> None:
        """Begin to serve."""
        self._thread.start()

    def announce_close(self) -> None:
        """Serve on, and ask callers to close their connections after the next answer."""
        self._dispatcher.closing = True
        for channel in list(self._server.active_channels.values()):
            self._dispatcher.mark_last(channel)

    def close(self, grace_s: float) -> bool:
        """Stop to accept, let what is in flight finish, close; return whether all finished."""
        self._server.trigger.pull_trigger(self._stop_accepting)
        until = time.monotonic() + grace_s
        while self._busy() and time.monotonic() < until:
            time.sleep(POLL_S)
        idle = not self._busy()
        self._server.trigger.pull_trigger(self._close_all)
        self._thread.join(JOIN_S)
        self._dispatcher.shutdown(timeout=0)
        return idle

    def _busy(self) -> bool:
        return any(
            channel.requests or channel.request is not None or channel.total_outbufs_len
            for channel in list(self._server.active_channels.values())
        )

    def _stop_accepting(self) -> None:
        self._server.accepting = False
        self._server.del_channel()
        self._server.socket.close()

    def _close_all(self) -> None:
        for channel in list(self._server.active_channels.values()):
            channel.handle_close()
        self._server.trigger.close()
