"""Apply the size limits of the users' platform to an in-memory table."""

from base64 import b64encode

import msgspec

from gypsumplank.errors import StateTooLargeError
from gypsumplank.state.feed import MemoryFeedTable
from gypsumplank.state.table import Txn

# The limits that the platform states for one call, and in its settings file for one row.
MAX_ENTRIES = 100
MAX_BODY_BYTES = 1_000_000
MAX_ROW_BYTES = 65_536
MAX_KEY_BYTES = 200


class LimitedFeedTable(MemoryFeedTable):
    """Store rows in memory, and refuse the transactions that the platform refuses."""

    def __init__(self) -> None:
        super().__init__()
        self.refused = 0

    def commit(self, txn: Txn) -> int:
        """Apply a transaction and return the version that its rows now have."""
        if problem := _find_problem(txn):
            self.refused += 1
            raise StateTooLargeError(problem)
        return super().commit(txn)


def _find_problem(txn: Txn) -> str:
    rows = [(check.table, check.key) for check in txn.checks]
    rows += [(write.table, write.key) for write in txn.writes]
    if len(rows) > MAX_ENTRIES:
        return f"{len(rows)} entries"
    if any(len(text.encode()) > MAX_KEY_BYTES for row in rows for text in row):
        return "a key is too long"
    if any(len(write.value or b"") > MAX_ROW_BYTES for write in txn.writes):
        return "a row is too large"
    size = len(msgspec.json.encode([_as_sent(*row) for row in rows]))
    size += sum(len(b64encode(write.value or b"")) for write in txn.writes)
    return f"{size} bytes" if size > MAX_BODY_BYTES else ""


def _as_sent(table: str, key: str) -> dict[str, str | int]:
    return {"table": table, "part": "fleet", "key": key, "value": "", "ver": 1 << 40}
