"""Minimal HTTP/1.1 over asyncio: a server for the stand-ins and a client for callers."""

import asyncio
import contextlib
import json
import socket
from collections.abc import Awaitable, Callable
from typing import Any

REASONS = {
    200: "OK",
    400: "Bad Request",
    403: "Forbidden",
    404: "Not Found",
    409: "Conflict",
    410: "Gone",
    412: "Precondition Failed",
    413: "Too Large",
    421: "Misdirected",
    429: "Too Many Requests",
    503: "Unavailable",
}


class Drop(Exception):
    """Raised by a handler: reset the connection instead of answering."""


class Silence(Exception):
    """Raised by a handler: keep the connection open, and never answer on it again."""


class Request:
    def __init__(self, method: str, path: str, headers: dict[str, str], raw: bytes) -> None:
        self.method, self.path, self.headers, self.raw = method, path, headers, raw

    @property
    def body(self) -> Any:
        return json.loads(self.raw) if self.raw else {}


Handler = Callable[[Request], Awaitable[tuple[int, Any]]]


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    return head[0], headers, await reader.readexactly(length) if length else b""


class Server:
    """Serve one handler on one address; `close` also resets the open connections."""

    def __init__(self, host: str, port: int, handler: Handler) -> None:
        self.host, self.port, self._handler = host, port, handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        return f"{self.host}:{self.port}"

    async def start(self) -> None:
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, reuse_address=True, backlog=512, limit=1 << 22
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        if self._server is not None:
            self._server.close()
            self._server = None
        self.reset_all()

    def reset_all(self) -> None:
        for writer in list(self._writers):
            reset(writer)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while True:
                first, headers, raw = await read_message(reader)
                method, path, _ = first.split(" ", 2)
                try:
                    status, value = await self._handler(Request(method, path, headers, raw))
                except Drop:
                    reset(writer)
                    return
                except Silence:
                    await asyncio.sleep(3600)
                body = json.dumps(value).encode()
                head = (
                    f"HTTP/1.1 {status} {REASONS.get(status, 'X')}\r\n"
                    f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
                )
                writer.write(head.encode() + body)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


def reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
    writer.transport.abort()


async def call(
    address: str, method: str, path: str, host: str = "", body: Any = None, timeout_s: float = 3.0
) -> tuple[int, Any]:
    """Send one request on a new connection; status 0 means that no answer came."""
    ip, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, int(port))
            raw = json.dumps(body).encode() if body is not None else b""
            head = (
                f"{method} {path} HTTP/1.1\r\nHost: {host or address}\r\n"
                f"Content-Type: application/json\r\nContent-Length: {len(raw)}\r\n"
                f"X-Gypsumplank-Deadline-Ms: {int(timeout_s * 1000)}\r\n"
                "Connection: close\r\n\r\n"
            )
            writer.write(head.encode() + raw)
            first, _, answer = await read_message(reader)
            return int(first.split(" ")[1]), json.loads(answer) if answer else None
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, None
    finally:
        if writer is not None:
            writer.close()
