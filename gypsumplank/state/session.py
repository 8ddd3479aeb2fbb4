"""Store one session row, a renewable lease, for each live daemon."""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

import msgspec

from gypsumplank.errors import EntryInvalidError
from gypsumplank.protocol.decoder import Count, Finite, decode_json
from gypsumplank.state.row import RowDecoder
from gypsumplank.state.table import ABSENT, Check, Row, Table, Txn, Write, scan_all

TABLE_SESSIONS = "sessions"
TABLE_COUNTERS = "counters"
KEY_EPOCH = "epoch"


@dataclass(frozen=True)
class Session:
    """Represent a daemon as it reports itself; `renewed_at` is in seconds since the epoch.

    `callers`, `operators` and `peers` are the daemon's addresses for them. `leaving` counts, by
    host, the requests in flight at hosts that no longer serve at this revision.
    """

    id: str
    epoch: Count
    zone: str
    callers: str
    operators: str
    peers: str
    revision: Count
    renewed_at: Finite
    leaving: Mapping[str, Count] = field(default_factory=dict)


@dataclass(frozen=True)
class SessionRow:
    """Represent a session and its row's version, which changes with every heartbeat."""

    session: Session
    version: int


class SessionStore:
    """Read and write session rows."""

    def __init__(self, table: Table) -> None:
        self._table = table
        self._decoder = RowDecoder(_decode)
        self._last_read: dict[str, Session] = {}

    def open(self, session: Session) -> SessionRow:
        """Write the daemon's row with the next fleet-wide epoch; raise StateError."""
        counter = self._table.get(TABLE_COUNTERS, KEY_EPOCH)
        row = self._table.get(TABLE_SESSIONS, session.id)
        epoch = 1 + (_decode_epoch(counter) if counter else 0)
        opened = replace(session, epoch=epoch)
        checks = (
            Check(TABLE_COUNTERS, KEY_EPOCH, counter.version if counter else ABSENT),
            Check(TABLE_SESSIONS, session.id, row.version if row else ABSENT),
        )
        writes = (
            Write(TABLE_COUNTERS, KEY_EPOCH, msgspec.json.encode(epoch)),
            Write(TABLE_SESSIONS, session.id, msgspec.json.encode(opened)),
        )
        return SessionRow(opened, self._table.commit(Txn(checks, writes)))

    def renew(self, session: Session, version: int) -> int:
        """Write the daemon's row if it still has this version; return the new version.

        Raises StateError.
        """
        check = Check(TABLE_SESSIONS, session.id, version)
        write = Write(TABLE_SESSIONS, session.id, msgspec.json.encode(session))
        return self._table.commit(Txn((check,), (write,)))

    def find(self, name: str) -> SessionRow | None:
        """Return a daemon's session row, if any."""
        row = self._table.get(TABLE_SESSIONS, name)
        return None if row is None else _decode(row)

    def remove(self, session: Session, version: int) -> None:
        """Delete the daemon's row if it still has this version; raise StateError."""
        check = Check(TABLE_SESSIONS, session.id, version)
        self._table.commit(Txn((check,), (Write(TABLE_SESSIONS, session.id, None),)))

    def rows(self) -> list[SessionRow]:
        """Return every session row; one that became malformed keeps its last session."""
        found = (self._decode_or_last(row) for row in scan_all(self._table, TABLE_SESSIONS))
        rows = [row for row in found if row is not None]
        self._last_read = {row.session.id: row.session for row in rows}
        return rows

    def all(self) -> list[Session]:
        """Return every session."""
        return [row.session for row in self.rows()]

    def _decode_or_last(self, row: Row) -> SessionRow | None:
        decoded = self._decoder.decode(row)
        last = self._last_read.get(row.key)
        return SessionRow(last, row.version) if decoded is None and last is not None else decoded


def _decode(row: Row) -> SessionRow:
    session = decode_json(row.value, Session)
    if session.id != row.key:
        raise EntryInvalidError(f"the session is of {session.id!r}")
    return SessionRow(session, row.version)


def _decode_epoch(counter: Row) -> int:
    try:
        return decode_json(counter.value, Count)
    except EntryInvalidError:
        # Each epoch takes a transaction, so that none can be above the row's version.
        return counter.version
