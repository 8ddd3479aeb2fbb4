"""Call the platform's HTTP services over connections that detect an unreachable peer."""

import http.client
import time
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import msgspec
from urllib3.exceptions import HTTPError

from gypsumplank.errors import CallError, EntryInvalidError
from gypsumplank.protocol.decoder import Count, convert, decode_any_json
from gypsumplank.state.timeout import AdaptiveTimeout
from gypsumplank.transport.keepalive import (
    Connection,
    ConnectionPool,
    ResponseTimeoutError,
)

# Allows several round trips between availability zones; the TCP handshake needs one.
CONNECT_TIMEOUT_S = 0.5
JSON_HEADERS = {"Content-Type": "application/json"}


@dataclass(frozen=True)
class Response:
    """Store a response; the decoded body is None if it was empty or not JSON."""

    status: int
    body: Any
    headers: Mapping[str, str] | http.client.HTTPMessage


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
        self._pool = ConnectionPool(host, int(port), connections)

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
        started_at = time.monotonic()
        raw = None if body is None else msgspec.json.encode(body)
        conn = self._connect(max_timeout_s)
        try:
            conn.send_request(method, path, raw, {**JSON_HEADERS, **(headers or {})})
            if max_timeout_s is not None:
                elapsed_s = time.monotonic() - started_at
                read_timeout_s = min(read_timeout_s, max_timeout_s - elapsed_s)
            resp = _receive(conn, read_timeout_s)
        except (OSError, http.client.HTTPException) as exc:
            conn.close()
            if isinstance(exc, ResponseTimeoutError) and not extra_timeout_s and not is_shortened:
                self._timeout.record_timeout()
            raise CallError(str(exc), sent=True) from exc
        except BaseException:
            conn.close()
            raise
        self._pool.give_back(conn)
        if not extra_timeout_s:
            self._timeout.record_response(time.monotonic() - started_at)
        return resp

    def _connect(self, max_timeout_s: float | None) -> Connection:
        """Return a connection whose send timeout is set; raise CallError."""
        timeout_s = CONNECT_TIMEOUT_S
        if max_timeout_s is not None:
            timeout_s = min(timeout_s, max_timeout_s)
        if timeout_s <= 0:
            raise CallError("no time is left for the call", sent=False)
        try:
            conn = self._pool.take(timeout_s)
        except (OSError, HTTPError) as exc:
            raise CallError(str(exc), sent=False) from exc
        conn.limit_send(timeout_s)
        return conn

    def close(self) -> None:
        """Close all idle connections."""
        self._pool.close()


def _receive(conn: Connection, timeout_s: float) -> Response:
    if timeout_s <= 0:
        raise ResponseTimeoutError("no time is left for the response")
    conn.limit_receive(timeout_s)
    with conn.getresponse() as resp:
        raw = resp.read()
    return Response(resp.status, _decode_body(raw), resp.headers)


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
