"""Serve HTTP/1.1 with faults (TCP resets, wrong lengths) that server libraries avoid."""

import socket
import struct
import threading
from collections.abc import Iterable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any

RESET_LINGER = struct.pack("ii", 1, 0)
JSON_TYPE = "application/json"


class Server(ThreadingHTTPServer):
    """Serve each connection in its own thread."""

    daemon_threads = True
    request_queue_size = 1024

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Ignore broken connections, since injected faults break them on purpose."""


class Handler(BaseHTTPRequestHandler):
    """Handle the requests of a persistent connection."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = -1

    def read_body(self) -> bytes:
        """Read the request body."""
        return self.rfile.read(int(self.headers.get("Content-Length") or 0))

    def respond(
        self,
        status: int,
        body: bytes = b"",
        media_type: str = JSON_TYPE,
        headers: tuple[tuple[str, str], ...] = (),
        content_length: int | None = None,
    ) -> None:
        """Send a response; `content_length` overrides the header, e.g. to truncate the body."""
        self.send_response_only(status)
        self.send_header("Content-Type", media_type)
        self.send_header(
            "Content-Length", str(len(body) if content_length is None else content_length)
        )
        for name, value in headers:
            self.send_header(name, value)
        self.end_headers()
        if self.command != "HEAD":
            self.wfile.write(body)
        self.wfile.flush()

    def reset_connection(self) -> None:
        """Close the connection with a TCP reset."""
        self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
        self.connection.close()
        self.close_connection = True

    def log_message(self, format: str, *args: Any) -> None:  # noqa: A002
        """Suppress the access log."""


def open_server(address: str, handler: type[Handler]) -> Server:
    """Return a server that listens on `ip:port`."""
    host, _, port = address.rpartition(":")
    return Server((host, int(port)), handler)


def serve_all(servers: Iterable[Server]) -> None:
    """Run each server in its own thread and wait for all of them."""
    threads = [threading.Thread(target=server.serve_forever) for server in servers]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
