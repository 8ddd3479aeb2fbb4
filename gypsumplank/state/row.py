"""Decode stored rows, so that a malformed one costs only itself."""

import logging
from collections.abc import Callable, Iterable
from typing import Generic, TypeVar

from gypsumplank.errors import EntryInvalidError, StateUnavailableError
from gypsumplank.log import Event, event
from gypsumplank.protocol.decoder import decode_json
from gypsumplank.state.table import Row

# Entries whose last fault is remembered, so that it is logged once.
MAX_LOGGED_ENTRIES = 1000

T = TypeVar("T")

logger = logging.getLogger(__name__)


def decode_needed(row: Row, kind: type[T]) -> T:
    """Decode a row that nothing can replace; raise StateUnavailableError."""
    try:
        return decode_json(row.value, kind)
    except EntryInvalidError as exc:
        detail = f"{row.table}/{row.key} cannot be read: {exc.detail}"
        raise StateUnavailableError(detail) from exc


class DropLog:
    """Log each malformed entry once for each fault."""

    def __init__(self) -> None:
        self._logged_details: dict[str, str] = {}

    def record(self, table: str, entry: str, exc: EntryInvalidError) -> None:
        """Log an entry unless its last fault was the same."""
        if self._logged_details.get(entry) == exc.detail:
            return
        if len(self._logged_details) >= MAX_LOGGED_ENTRIES:
            self._logged_details.clear()
        self._logged_details[entry] = exc.detail
        event(
            logger,
            Event.ENTRY_DROPPED,
            logging.WARNING,
            table=table,
            entry=entry,
            code=exc.code,
            detail=exc.detail,
        )


class RowDecoder(Generic[T]):
    """Decode the rows of scans; leave out a malformed one, and log it once for each fault."""

    def __init__(self, decode: Callable[[Row], T]) -> None:
        """Create a decoder; `decode` may raise EntryInvalidError."""
        self._decode = decode
        self._log = DropLog()

    def decode(self, row: Row) -> T | None:
        """Return the decoded row, or None if it is malformed."""
        try:
            return self._decode(row)
        except EntryInvalidError as exc:
            self._log.record(row.table, row.key, exc)
            return None

    def decode_all(self, rows: Iterable[Row]) -> list[T]:
        """Return the rows that are well-formed, decoded."""
        return [decoded for row in rows if (decoded := self.decode(row)) is not None]
