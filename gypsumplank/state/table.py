"""Define the interface to the platform's table service, with an in-memory implementation."""

import threading
from bisect import bisect_left, bisect_right, insort
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from itertools import islice, takewhile
from typing import Annotated, Protocol

import msgspec

from gypsumplank.errors import StateConflictError, StateTooLargeError
from gypsumplank.protocol.decoder import Count

ABSENT = 0
MAX_ROW_BYTES = 1 << 20
MAX_TXN_ROWS = 1000
MAX_TIMEOUT_S = 3600.0
SCAN_LIMIT = 1000


PositiveFloat = Annotated[float, msgspec.Meta(gt=0, le=MAX_TIMEOUT_S)]


@dataclass(frozen=True)
class Row:
    """Represent a row; `version` increases with every write to the table service."""

    table: str
    key: str
    version: Count
    value: bytes


@dataclass(frozen=True)
class Check:
    """Require that a row has this version; ABSENT requires that it does not exist."""

    table: str
    key: str
    version: Count


@dataclass(frozen=True)
class Write:
    """Set a row's value; None deletes it."""

    table: str
    key: str
    value: bytes | None


@dataclass(frozen=True)
class Txn:
    """Represent checks and writes that are applied atomically.

    `timeout_s` limits the wait for the response, in seconds, beside the limits of the client.
    """

    checks: tuple[Check, ...] = ()
    writes: tuple[Write, ...] = ()
    timeout_s: PositiveFloat | None = None


class Table(Protocol):
    """Read and write rows of the table service.

    Every call may raise StateUnavailableError; `commit` may also raise StateUnknownError,
    StateConflictError and StateTooLargeError.
    """

    def get(self, table: str, key: str) -> Row | None:
        """Return one row, or None if it does not exist."""

    def scan(
        self, table: str, prefix: str = "", after: str = "", limit: int = SCAN_LIMIT
    ) -> list[Row]:
        """Return, in key order, the rows whose keys start with `prefix` and follow `after`."""

    def commit(self, txn: Txn) -> int:
        """Apply a transaction and return the version that its rows now have."""


def check_size(txn: Txn) -> None:
    """Raise StateTooLargeError if a transaction exceeds the platform's limits."""
    if len(txn.checks) + len(txn.writes) > MAX_TXN_ROWS:
        raise StateTooLargeError(f"transaction has more than {MAX_TXN_ROWS} checks and writes")
    largest = max((len(write.value or b"") for write in txn.writes), default=0)
    if largest > MAX_ROW_BYTES:
        raise StateTooLargeError(f"row of {largest} bytes exceeds {MAX_ROW_BYTES}")


def scan_all(
    table: Table,
    name: str,
    prefix: str = "",
    after: str = "",
    on_page: Callable[[], None] = lambda: None,
) -> list[Row]:
    """Return all matching rows, read page by page; call `on_page` after each page."""
    rows: list[Row] = []
    while True:
        page = table.scan(name, prefix, after)
        rows.extend(page)
        on_page()
        if len(page) < SCAN_LIMIT:
            return rows
        after = page[-1].key


class MemoryTable:
    """Store rows in memory, with the semantics of the table service."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._rows: dict[str, dict[str, Row]] = {}
        self._keys: dict[str, list[str]] = {}
        self._version = ABSENT

    def get(self, table: str, key: str) -> Row | None:
        """Return one row, or None if it does not exist."""
        with self._lock:
            return self._rows.get(table, {}).get(key)

    def scan(
        self, table: str, prefix: str = "", after: str = "", limit: int = SCAN_LIMIT
    ) -> list[Row]:
        """Return, in key order, the rows whose keys start with `prefix` and follow `after`."""
        with self._lock:
            keys = self._keys.get(table, [])
            first = max(bisect_left(keys, prefix), bisect_right(keys, after) if after else 0)
            page = takewhile(lambda key: key.startswith(prefix), islice(keys, first, first + limit))
            rows = self._rows.get(table, {})
            return [rows[key] for key in page]

    def commit(self, txn: Txn) -> int:
        """Apply a transaction and return the version that its rows now have."""
        check_size(txn)
        with self._lock:
            self._check(txn.checks)
            self._version += 1
            for write in txn.writes:
                self._write(write)
            return self._version

    def _check(self, checks: Sequence[Check]) -> None:
        for check in checks:
            row = self._rows.get(check.table, {}).get(check.key)
            found = row.version if row else ABSENT
            if found != check.version:
                detail = f"{check.table}/{check.key} has version {found}, not {check.version}"
                raise StateConflictError(detail)

    def _write(self, write: Write) -> None:
        rows = self._rows.setdefault(write.table, {})
        keys = self._keys.setdefault(write.table, [])
        if write.value is None:
            if rows.pop(write.key, None) is not None:
                del keys[bisect_left(keys, write.key)]
            return
        if write.key not in rows:
            insort(keys, write.key)
        rows[write.key] = Row(write.table, write.key, self._version, write.value)
