"""Store the product's tables as rows of the platform's store, all in one partition."""

import math
from base64 import b64encode
from dataclasses import dataclass
from typing import Any, TypeVar
from urllib.parse import urlencode

import msgspec

from gypsumplank.errors import (
    CallError,
    EntryInvalidError,
    StateConflictError,
    StateHistoryLostError,
    StateThrottledError,
    StateTooLargeError,
    StateUnavailableError,
    StateUnknownError,
)
from gypsumplank.platform.client import Client, Response, find_count
from gypsumplank.protocol.decoder import Count, convert
from gypsumplank.state.clock import ClockRange, steady_s
from gypsumplank.state.feed import Changes
from gypsumplank.state.table import SCAN_LIMIT, Row, Txn

PATH_TX = "/api/rows-tx"
PATH_GET = "/api/rows-get"
PATH_FEED = "/api/rows-feed"
PATH_PARTS = "/api/rows-parts"
# Partitions in one response, as the platform states.
MAX_PAGE_PARTS = 1000
MAX_PAGE_ROWS = 500
MS_PER_S = 1000.0
LAST_CHARACTER = "\U0010ffff"
# Surrogates are no characters, so that keys cannot hold them.
SURROGATE = "\ud800"
FIRST_AFTER_SURROGATES = "\ue000"
STATUS_OK = 200
STATUS_GONE = 410
STATUS_CONFLICT = 412
STATUS_THROTTLED = 429
STATUSES_TOO_LARGE = (400, 403, 413)
# The platform guarantees that a request with one of these statuses was not applied.
STATUSES_NOT_APPLIED = (429, 503)


T = TypeVar("T")


@dataclass(frozen=True)
class ClockSample:
    """Store a reading of the store's clock that a call returned; times in monotonic seconds."""

    reading_ms: int
    sent_at: float
    answered_at: float


class WireRow(msgspec.Struct):
    """Represent a row as the store returns it; a deleted one may have a key only."""

    key: str
    table: str | None = None
    ver: Count | None = None
    part: str = ""
    value: bytes | None = None
    deleted: bool = False


class WireRows(msgspec.Struct, rename="kebab"):
    """Represent a page of rows or changes; `ver` is the store's newest version."""

    rows: tuple[WireRow, ...]
    ver: Count | None = None
    has_more: bool = False


class WireParts(msgspec.Struct):
    """Represent a page of partition names."""

    parts: tuple[str, ...]


class RowTable:
    """Access the rows of one partition; implements Table and ChangeFeed."""

    def __init__(self, client: Client, partition: str) -> None:
        self._client = client
        self._partition = partition
        self._clock_sample: ClockSample | None = None
        self._is_failing = False
        self._is_unanswered = False

    @property
    def is_unanswered(self) -> bool:
        """Return whether the last call was not answered; a rejection is an answer."""
        return self._is_unanswered

    @property
    def is_failing(self) -> bool:
        """Return whether the last call was not answered, or turned away."""
        return self._is_failing

    def clock_range(self) -> ClockRange:
        """Return bounds of the store's monotonic clock; unknown before any response."""
        sample, now = self._clock_sample, steady_s()
        if sample is None:
            return ClockRange()
        return ClockRange(
            sample.reading_ms + int((now - sample.answered_at) * MS_PER_S),
            sample.reading_ms + math.ceil((now - sample.sent_at) * MS_PER_S),
        )

    def _update_clock(self, body: Any, sent_at: float) -> None:
        reading_ms = find_count(body, "now-ms")
        if reading_ms is not None:
            self._clock_sample = ClockSample(reading_ms, sent_at, steady_s())

    def get(self, table: str, key: str) -> Row | None:
        """Return one row."""
        rows, _ = self._read_page(table, key, f"{key}\x00", 1)
        return rows[0] if rows else None

    def scan(
        self, table: str, prefix: str = "", after: str = "", limit: int = SCAN_LIMIT
    ) -> list[Row]:
        """Return the rows in key order whose keys start with `prefix` and follow `after`."""
        start_key = max(prefix, f"{after}\x00" if after else "")
        end_key = _key_after(prefix)
        rows: list[Row] = []
        more = True
        while more and len(rows) < limit:
            page, more = self._read_page(
                table, start_key, end_key, min(MAX_PAGE_ROWS, limit - len(rows))
            )
            rows.extend(page)
            if page:
                start_key = f"{page[-1].key}\x00"
            more = more and bool(page)
        return rows

    def commit(self, txn: Txn) -> int:
        """Apply a transaction; return the new version of its rows."""
        checks = [
            {"table": check.table, "part": self._partition, "key": check.key, "ver": check.version}
            for check in txn.checks
        ]
        writes = [
            {
                "table": write.table,
                "part": self._partition,
                "key": write.key,
                "value": b64encode(write.value).decode(),
            }
            for write in txn.writes
            if write.value is not None
        ]
        deletes = [
            {"table": write.table, "part": self._partition, "key": write.key}
            for write in txn.writes
            if write.value is None
        ]
        body = {"expected-rev": checks, "writes": writes, "remove": deletes}
        sent_at = steady_s()
        try:
            resp = self._client.call("POST", PATH_TX, body, max_timeout_s=txn.timeout_s)
        except CallError as exc:
            self._is_failing = self._is_unanswered = True
            error = StateUnknownError if exc.sent else StateUnavailableError
            raise error(exc.detail) from exc
        self._is_failing = resp.status in STATUSES_NOT_APPLIED
        self._is_unanswered = False
        return self._commit_version(resp, sent_at)

    def changes(self, table: str, after: int, wait_s: float) -> Changes:
        """Return the changes after a version; wait up to `wait_s` seconds for the first one."""
        return self._changes_of(self._read_feed(table, after, wait_s), self._partition)

    def changes_in_all(self, table: str, after: int, wait_s: float) -> Changes:
        """Return the changes after a version in all partitions."""
        return self._changes_of(self._read_feed(table, after, wait_s), None)

    def partitions(self, table: str) -> list[str]:
        """Return the partitions that hold rows of a table."""
        names: list[str] = []
        while True:
            query = {"table": table} | ({"after": names[-1]} if names else {})
            page = self._fetch(f"{PATH_PARTS}?{urlencode(query)}", 0.0, table, WireParts)
            names.extend(page.parts)
            if len(page.parts) < MAX_PAGE_PARTS:
                return names

    def _read_feed(self, table: str, after: int, wait_s: float) -> WireRows:
        query = urlencode({"table": table, "after": after, "wait-ms": int(wait_s * 1000)})
        return self._read(f"{PATH_FEED}?{query}", wait_s, table)

    @staticmethod
    def _changes_of(page: WireRows, partition: str | None) -> Changes:
        found = [row for row in page.rows if partition in (None, row.part)]
        rows = tuple(_decode_row(row) for row in found if not row.deleted)
        deleted_keys = tuple(row.key for row in found if row.deleted)
        return Changes(rows, deleted_keys, _newest(page))

    def newest(self, table: str) -> int:
        """Return the store's newest version."""
        query = urlencode({"table": table, "part": self._partition, "limit": 1})
        return _newest(self._read(f"{PATH_GET}?{query}", 0.0, table))

    def _read_page(
        self, table: str, start_key: str, end_key: str, limit: int
    ) -> tuple[list[Row], bool]:
        query = {"table": table, "part": self._partition, "limit": limit}
        query |= {"from": start_key} if start_key else {}
        query |= {"target": end_key} if end_key else {}
        page = self._read(f"{PATH_GET}?{urlencode(query)}", 0.0, table)
        return [_decode_row(row) for row in page.rows], page.has_more

    def _read(self, path: str, wait_s: float, table: str) -> WireRows:
        return self._fetch(path, wait_s, table, WireRows)

    def _fetch(self, path: str, wait_s: float, table: str, kind: type[T]) -> T:
        sent_at = steady_s()
        try:
            resp = self._client.call("GET", path, extra_timeout_s=wait_s)
        except CallError as exc:
            self._is_failing = self._is_unanswered = True
            raise StateUnavailableError(exc.detail) from exc
        self._is_failing = resp.status in STATUSES_NOT_APPLIED
        self._is_unanswered = False
        if resp.status == STATUS_GONE and path.startswith(PATH_FEED):
            raise StateHistoryLostError(
                f"change history of {table} is not kept", self.newest(table)
            )
        if resp.status != STATUS_OK:
            raise StateUnavailableError(f"status {resp.status} for {table}")
        try:
            page = convert(resp.body, kind)
        except EntryInvalidError as exc:
            raise StateUnavailableError(f"malformed rows of {table}: {exc.detail}") from exc
        # The response of a call that waits for a change tells little about the present reading.
        if not wait_s:
            self._update_clock(resp.body, sent_at)
        return page

    def _commit_version(self, resp: Response, sent_at: float) -> int:
        version = find_count(resp.body, "ver")
        if resp.status == STATUS_OK and version is not None:
            self._update_clock(resp.body, sent_at)
            return version
        if resp.status == STATUS_CONFLICT:
            raise StateConflictError("a checked row has a different version")
        if resp.status in STATUSES_TOO_LARGE:
            raise StateTooLargeError(f"status {resp.status}")
        if resp.status == STATUS_THROTTLED:
            raise StateThrottledError(f"status {resp.status}")
        if resp.status in STATUSES_NOT_APPLIED:
            raise StateUnavailableError(f"status {resp.status}")
        raise StateUnknownError(f"status {resp.status}")


def _decode_row(row: WireRow) -> Row:
    if row.table is None or row.ver is None or row.value is None:
        raise StateUnavailableError(f"malformed row: {row.key!r} lacks a field")
    return Row(row.table, row.key, row.ver, row.value)


def _newest(page: WireRows) -> int:
    if page.ver is None:
        raise StateUnavailableError("malformed rows: no version")
    return page.ver


def _key_after(prefix: str) -> str:
    """Return the first key after all that start with a prefix, empty if there is none."""
    prefix = prefix.rstrip(LAST_CHARACTER)
    if not prefix:
        return ""
    following = chr(ord(prefix[-1]) + 1)
    return f"{prefix[:-1]}{FIRST_AFTER_SURROGATES if following == SURROGATE else following}"


class RowPartitions:
    """Access a table's partitions by name, and its feed; implements Partitions and ChangeFeed."""

    def __init__(self, client: Client) -> None:
        self._client = client
        self._rows = RowTable(client, "")

    def in_partition(self, name: str) -> RowTable:
        """Return the rows of one partition."""
        return RowTable(self._client, name)

    def names(self, table: str) -> list[str]:
        """Return the partitions that hold rows of a table."""
        return self._rows.partitions(table)

    def changes(self, table: str, after: int, wait_s: float) -> Changes:
        """Return the changes after a version in all partitions."""
        return self._rows.changes_in_all(table, after, wait_s)
