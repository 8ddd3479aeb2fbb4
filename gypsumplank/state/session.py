"""Keep one lease row for each live daemon."""

from collections.abc import Mapping
from dataclasses import dataclass, field

import msgspec

from gypsumplank.state.table import Check, Table, Txn, Write, scan_all

TABLE_SESSIONS = "sessions"


@dataclass(frozen=True)
class Session:
    """Hold what a daemon tells of itself; `renewed_at` is in seconds since the epoch.

    `leaving` counts the requests in flight at hosts that do not serve at this revision.
    """

    id: str
    epoch: int
    zone: str
    callers: str
    operators: str
    peers: str
    revision: int
    renewed_at: float
    leaving: Mapping[str, int] = field(default_factory=dict)


class SessionStore:
    """Read and write session rows."""

    def __init__(self, table: Table) -> None:
        self._table = table

    def renew(self, session: Session, version: int) -> int:
        """Write the daemon's row over this version and return the new one."""
        check = Check(TABLE_SESSIONS, session.id, version)
        write = Write(TABLE_SESSIONS, session.id, msgspec.json.encode(session))
        return self._table.commit(Txn((check,), (write,)))

    def find(self, name: str) -> tuple[Session | None, int]:
        """Return a daemon's session and its row's version."""
        row = self._table.get(TABLE_SESSIONS, name)
        if row is None:
            return None, 0
        return msgspec.json.decode(row.value, type=Session), row.version

    def remove(self, session: Session, version: int) -> None:
        """Delete the daemon's row if it still has this version."""
        check = Check(TABLE_SESSIONS, session.id, version)
        self._table.commit(Txn((check,), (Write(TABLE_SESSIONS, session.id, None),)))

    def all(self) -> list[Session]:
        """Return every session row."""
        rows = scan_all(self._table, TABLE_SESSIONS)
        return [msgspec.json.decode(row.value, type=Session) for row in rows]
