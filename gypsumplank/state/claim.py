"""Store one claim per idempotency key, together with the reply to its first request."""

from dataclasses import dataclass, replace

import msgspec

from gypsumplank.errors import AnswerNotKeptError
from gypsumplank.protocol.decoder import decode_json
from gypsumplank.protocol.exchange import EndpointResponse, Outcome, Refusal, Reply
from gypsumplank.state.objects import ObjectStore
from gypsumplank.state.row import RowDecoder, decode_needed
from gypsumplank.state.table import ABSENT, Row, Table
from gypsumplank.state.writer import RowChange

TABLE_CLAIMS = "claims"
OBJECT_PREFIX = "claim-"
MAX_INLINE_BODY_BYTES = 16 << 10
MAX_KEPT_BODY_BYTES = 8 << 20
MAX_KEPT_HEADER_BYTES = 64 << 10


@dataclass(frozen=True)
class StoredReply:
    """Represent a stored reply.

    `object` names the object that holds a large body; `whole` is false if the reply was too large
    to store.
    """

    outcome: Outcome
    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    object: str = ""
    whole: bool = True
    code: str = ""
    detail: str = ""


@dataclass(frozen=True)
class Claim:
    """Represent the right to run a key's request; times are in seconds since the epoch.

    `owner` and `epoch` identify the daemon's session, `id` this attempt to claim the key. `until`
    is the request's deadline.
    """

    service: str
    key: str
    id: str
    owner: str
    epoch: int
    fingerprint: str
    opened_at: float
    until: float
    reply: StoredReply | None = None

    @property
    def row_key(self) -> str:
        """Return the key of the claim's row."""
        return f"{self.service}/{self.key}"


@dataclass(frozen=True)
class ClaimRow:
    """Represent a stored claim and its row's version."""

    claim: Claim
    version: int


@dataclass(frozen=True)
class ClaimPage:
    """Represent a page of claims; `resume_key` is where the next one starts, empty at the end."""

    claims: tuple[ClaimRow, ...]
    resume_key: str = ""


def open_change(claim: Claim) -> RowChange:
    """Return the change that stores a new claim if the key has none."""
    return RowChange(TABLE_CLAIMS, claim.row_key, ABSENT, msgspec.json.encode(claim))


def finish_change(claim: Claim, version: int, reply: StoredReply) -> RowChange:
    """Return the change that adds the reply to an open claim."""
    value = msgspec.json.encode(replace(claim, reply=reply))
    return RowChange(TABLE_CLAIMS, claim.row_key, version, value)


def release_change(claim: Claim, version: int) -> RowChange:
    """Return the change that removes a claim."""
    return RowChange(TABLE_CLAIMS, claim.row_key, version, None)


class ClaimStore:
    """Read claims; store and load replies."""

    def __init__(self, table: Table, objects: ObjectStore) -> None:
        self._table = table
        self._objects = objects
        self._decoder = RowDecoder(_decode_row)

    def find(self, service: str, key: str) -> ClaimRow | None:
        """Return the key's claim, if any; raise StateUnavailableError."""
        row = self._table.get(TABLE_CLAIMS, f"{service}/{key}")
        return None if row is None else ClaimRow(decode_needed(row, Claim), row.version)

    def page(self, after: str, limit: int) -> ClaimPage:
        """Return a page of claims in row key order, without malformed ones.

        Raises StateUnavailableError.
        """
        rows = self._table.scan(TABLE_CLAIMS, after=after, limit=limit)
        resume_key = rows[-1].key if len(rows) == limit else ""
        return ClaimPage(tuple(self._decoder.decode_all(rows)), resume_key)

    def store_reply(self, claim: Claim, reply: Reply) -> StoredReply:
        """Return a reply in its stored form; store a large body as an object; raise StateError."""
        if isinstance(reply, Refusal):
            return StoredReply(reply.outcome, reply.status, code=reply.code, detail=reply.detail)
        stored = StoredReply(Outcome.FINISHED, reply.status, reply.headers)
        header_bytes = sum(len(name) + len(value) for name, value in reply.headers)
        if header_bytes > MAX_KEPT_HEADER_BYTES or len(reply.body) > MAX_KEPT_BODY_BYTES:
            return StoredReply(Outcome.FINISHED, reply.status, whole=False)
        if len(reply.body) <= MAX_INLINE_BODY_BYTES:
            return replace(stored, body=reply.body)
        name = f"{OBJECT_PREFIX}{claim.id}"
        self._objects.put(name, reply.body)
        return replace(stored, object=name)

    def load_reply(self, stored: StoredReply) -> Reply:
        """Return the original reply; raise AnswerNotKeptError or StateUnavailableError."""
        if stored.outcome is not Outcome.FINISHED:
            return Refusal(stored.code, stored.outcome, stored.status, stored.detail)
        if not stored.whole:
            raise AnswerNotKeptError(
                f"the response was too large to store (body limit: {MAX_KEPT_BODY_BYTES} bytes)"
            )
        if not stored.object:
            return EndpointResponse(stored.status, stored.headers, stored.body)
        body = self._objects.get(stored.object)
        if body is None:
            raise AnswerNotKeptError(f"object {stored.object!r} no longer exists")
        return EndpointResponse(stored.status, stored.headers, body)

    def delete_object(self, claim: Claim) -> None:
        """Delete the object of a claim's reply, if it has one; raise StateError."""
        if claim.reply is not None and claim.reply.object:
            self._objects.delete(claim.reply.object)


def _decode_row(row: Row) -> ClaimRow:
    return ClaimRow(decode_json(row.value, Claim), row.version)
