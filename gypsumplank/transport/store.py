"""Access the platform's table service, object store and membership list over HTTP."""

from typing import Any, TypeVar
from urllib.parse import quote, urlencode

import msgspec
import urllib3
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

from gypsumplank.errors import (
    EntryInvalidError,
    StateConflictError,
    StateError,
    StateTooLargeError,
    StateUnavailableError,
    StateUnknownError,
)
from gypsumplank.protocol.decoder import Count, decode_json
from gypsumplank.state.membership import Member
from gypsumplank.state.table import SCAN_LIMIT, Row, Txn, check_size

CONNECTIONS = 8
STATUS_OK = 200
STATUS_NOT_FOUND = 404
WRITE_ERRORS: dict[int, type[StateError]] = {
    409: StateConflictError,
    413: StateTooLargeError,
    503: StateUnavailableError,
}

T = TypeVar("T")


class PlatformClient:
    """Share one connection pool to the platform among its adapters."""

    def __init__(self, address: str, timeout_s: float) -> None:
        host, _, port = address.rpartition(":")
        self._pool = urllib3.HTTPConnectionPool(
            host, int(port), maxsize=CONNECTIONS, timeout=timeout_s, retries=False
        )

    def read(self, path: str) -> bytes | None:
        """Return the content at a path, None if there is none; raise StateUnavailableError."""
        try:
            resp = self._pool.request("GET", path)
        except HTTPError as exc:
            raise StateUnavailableError(str(exc)) from exc
        if resp.status == STATUS_NOT_FOUND:
            return None
        if resp.status != STATUS_OK:
            raise StateUnavailableError(f"status {resp.status}")
        return resp.data

    def write(self, method: str, path: str, body: bytes | None) -> bytes:
        """Send a write to a path and return the response body; raise StateError."""
        try:
            resp = self._pool.request(method, path, body=body)
        except (NewConnectionError, ConnectTimeoutError) as exc:
            raise StateUnavailableError(str(exc)) from exc
        except HTTPError as exc:
            raise StateUnknownError(str(exc)) from exc
        if resp.status != STATUS_OK:
            error = WRITE_ERRORS.get(resp.status, StateUnknownError)
            raise error(resp.data.decode(errors="replace"))
        return resp.data

    def close(self) -> None:
        """Close all idle connections."""
        self._pool.close()


def _decode(raw: bytes, kind: type[T]) -> T:
    try:
        return decode_json(raw, kind)
    except EntryInvalidError as exc:
        raise StateUnavailableError(f"malformed response: {exc.detail}") from exc


class HttpTable:
    """Access the table service."""

    def __init__(self, client: PlatformClient) -> None:
        self._client = client

    def get(self, table: str, key: str) -> Row | None:
        """Return one row."""
        raw = self._client.read(f"/tables/{table}/rows/{quote(key, safe='')}")
        return None if raw is None else _decode(raw, Row)

    def scan(
        self, table: str, prefix: str = "", after: str = "", limit: int = SCAN_LIMIT
    ) -> list[Row]:
        """Return the rows in key order whose keys start with `prefix` and follow `after`."""
        query = urlencode({"prefix": prefix, "after": after, "limit": limit})
        raw = self._client.read(f"/tables/{table}/rows?{query}")
        return [] if raw is None else _decode(raw, list[Row])

    def commit(self, txn: Txn) -> int:
        """Apply a transaction; return the new version of its rows."""
        check_size(txn)
        raw = self._client.write("POST", "/tables/commit", msgspec.json.encode(txn))
        try:
            return decode_json(raw, Count)
        except EntryInvalidError as exc:
            raise StateUnknownError(f"malformed response: {exc.detail}") from exc


class HttpObjectStore:
    """Access the object store."""

    def __init__(self, client: PlatformClient) -> None:
        self._client = client

    def get(self, name: str) -> bytes | None:
        """Return an object, None if there is none."""
        return self._client.read(f"/objects/{quote(name, safe='')}")

    def put(self, name: str, value: bytes) -> None:
        """Create or replace an object."""
        self._client.write("PUT", f"/objects/{quote(name, safe='')}", value)

    def delete(self, name: str) -> None:
        """Delete an object."""
        self._client.write("DELETE", f"/objects/{quote(name, safe='')}", None)


class HttpMembership:
    """Access the membership list."""

    def __init__(self, client: PlatformClient) -> None:
        self._client = client

    def members(self) -> tuple[Member, ...]:
        """Return the current members."""
        raw: Any = self._client.read("/members")
        return () if raw is None else _decode(raw, tuple[Member, ...])
