"""Call the platform's HTTP services over connections that detect an unreachable peer."""

import socket
import time
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import msgspec
import urllib3
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
    ReadTimeoutError,
)

from gypsumplank.errors import CallError, EntryInvalidError
from gypsumplank.protocol.decoder import Count, convert, decode_any_json
from gypsumplank.state.timeout import AdaptiveTimeout

# Allows several round trips between availability zones; the TCP handshake needs one.
CONNECT_TIMEOUT_S = 0.5
# The kernel closes a connection whose sent data stays unacknowledged this long.
TCP_USER_TIMEOUT_MS = 1500
# Idle time before the first keep-alive probe, and the time between probes.
KEEPALIVE_INTERVAL_S = 1
JSON_HEADERS = {"Content-Type": "application/json"}

SOCKET_OPTIONS = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS),
]


@dataclass(frozen=True)
class Response:
    """Store a response; the decoded body is None if it was empty or not JSON."""

    status: int
    body: Any
    headers: Mapping[str, str]


class Client:
    """Manage a connection pool to one address."""

    def __init__(
        self, address: str, timeout_s: float, connections: int, min_timeout_s: float | None = None
    ) -> None:
        """Create a pool; with `min_timeout_s` the timeout adapts between it and `timeout_s`."""
        host, _, port = address.rpartition(":")
        self._timeout = AdaptiveTimeout(
            timeout_s if min_timeout_s is None else min_timeout_s, timeout_s
        )
        self._pool = urllib3.HTTPConnectionPool(
            host,
            int(port),
            maxsize=connections,
            retries=False,
            socket_options=SOCKET_OPTIONS,
        )

    def call(
        self,
        method: str,
        path: str,
        body: Any = None,
        headers: Mapping[str, str] | None = None,
        extra_timeout_s: float = 0.0,
        max_timeout_s: float | None = None,
    ) -> Response:
        """Return the response; extend the read timeout by `extra_timeout_s`; raise CallError.

        `max_timeout_s` limits the wait for a connection and for the response.
        """
        read_timeout_s = self._timeout.current_s + extra_timeout_s
        is_shortened = max_timeout_s is not None and max_timeout_s < read_timeout_s
        timeout = urllib3.Timeout(
            total=max_timeout_s, connect=CONNECT_TIMEOUT_S, read=read_timeout_s
        )
        started_at = time.monotonic()
        raw = None if body is None else msgspec.json.encode(body)
        try:
            resp = self._pool.request(
                method,
                path,
                body=raw,
                headers={**JSON_HEADERS, **(headers or {})},
                timeout=timeout,
                redirect=False,
            )
        except (NewConnectionError, ConnectTimeoutError) as exc:
            raise CallError(str(exc), sent=False) from exc
        except HTTPError as exc:
            if isinstance(exc, ReadTimeoutError) and not extra_timeout_s and not is_shortened:
                self._timeout.record_timeout()
            raise CallError(str(exc), sent=True) from exc
        if not extra_timeout_s:
            self._timeout.record_response(time.monotonic() - started_at)
        return Response(resp.status, _decode_body(resp.data), resp.headers)

    def close(self) -> None:
        """Close all idle connections."""
        self._pool.close()


def _decode_body(raw: bytes) -> Any:
    try:
        return decode_any_json(raw) if raw else None
    except EntryInvalidError:
        return None


def find_count(body: Any, name: str) -> int | None:
    """Return a whole number in a response's body, None if there is none."""
    try:
        return convert(body[name], Count) if isinstance(body, dict) and name in body else None
    except EntryInvalidError:
        return None
