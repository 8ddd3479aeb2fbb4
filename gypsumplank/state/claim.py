"""Keep one claim row for each idempotency key, with the first reply once there is one."""

from dataclasses import dataclass, replace

import msgspec

from gypsumplank.errors import AnswerNotKeptError, StateUnavailableError
from gypsumplank.protocol.exchange import Answer, Outcome, Refusal, Reply
from gypsumplank.state.objects import ObjectStore
from gypsumplank.state.table import ABSENT, Row, Table
from gypsumplank.state.writer import RowChange

TABLE_CLAIMS = "claims"
OBJECT_PREFIX = "claim-"
INLINE_BYTES = 16 << 10
MAX_KEPT_BYTES = 8 << 20
MAX_HEADER_BYTES = 64 << 10


@dataclass(frozen=True)
class KeptReply:
    """Hold a reply; a large body is an object, and one too large is not `whole`."""

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
    """Hold who may run a key's request; `opened_at` and `until` are seconds since the epoch.

    `owner` and `epoch` name the daemon's session, `id` this one try to claim. The request's
    deadline is `until`.
    """

    service: str
    key: str
    id: str
    owner: str
    epoch: int
    fingerprint: str
    opened_at: float
    until: float
    reply: KeptReply | None = None

    @property
    def row_key(self) -> str:
        """Return the key of the claim's row."""
        return f"{self.service}/{self.key}"


@dataclass(frozen=True)
class Found:
    """Hold a stored claim and its row's version."""

    claim: Claim
    version: int


def opening(claim: Claim) -> RowChange:
    """Return the change that stores a new claim where the key has none."""
    return RowChange(TABLE_CLAIMS, claim.row_key, ABSENT, msgspec.json.encode(claim))


def finishing(claim: Claim, version: int, reply: KeptReply) -> RowChange:
    """Return the change that adds the reply to an open claim."""
    value = msgspec.json.encode(replace(claim, reply=reply))
    return RowChange(TABLE_CLAIMS, claim.row_key, version, value)


def releasing(claim: Claim, version: int) -> RowChange:
    """Return the change that removes a claim."""
    return RowChange(TABLE_CLAIMS, claim.row_key, version, None)


class ClaimStore:
    """Read claims, and keep and restore replies."""

    def __init__(self, table: Table, objects: ObjectStore) -> None:
        self._table = table
        self._objects = objects

    def find(self, service: str, key: str) -> Found | None:
        """Return the key's claim; raise StateUnavailableError."""
        row = self._table.get(TABLE_CLAIMS, f"{service}/{key}")
        return None if row is None else _found(row)

    def page(self, after: str, limit: int) -> list[Found]:
        """Return claims in the order of their row keys; raise StateUnavailableError."""
        return [_found(row) for row in self._table.scan(TABLE_CLAIMS, after=after, limit=limit)]

    def keep(self, claim: Claim, reply: Reply) -> KeptReply:
        """Return the form of a reply that a claim row holds; raise StateError."""
        if isinstance(reply, Refusal):
            return KeptReply(reply.outcome, reply.status, code=reply.code, detail=reply.detail)
        kept = KeptReply(Outcome.FINISHED, reply.status, reply.headers)
        size = sum(len(name) + len(value) for name, value in reply.headers)
        if size > MAX_HEADER_BYTES or len(reply.body) > MAX_KEPT_BYTES:
            return KeptReply(Outcome.FINISHED, reply.status, whole=False)
        if len(reply.body) <= INLINE_BYTES:
            return replace(kept, body=reply.body)
        name = f"{OBJECT_PREFIX}{claim.id}"
        self._objects.put(name, reply.body)
        return replace(kept, object=name)

    def restore(self, kept: KeptReply) -> Reply:
        """Return the first reply; raise AnswerNotKeptError or StateUnavailableError."""
        if kept.outcome is not Outcome.FINISHED:
            return Refusal(kept.code, kept.outcome, kept.status, kept.detail)
        if not kept.whole:
            raise AnswerNotKeptError(f"the answer exceeded {MAX_KEPT_BYTES} bytes")
        if not kept.object:
            return Answer(kept.status, kept.headers, kept.body)
        body = self._objects.get(kept.object)
        if body is None:
            raise AnswerNotKeptError(f"object {kept.object!r} is gone")
        return Answer(kept.status, kept.headers, body)

    def drop_object(self, claim: Claim) -> None:
        """Remove the object of a claim's reply, if it has one; raise StateError."""
        if claim.reply is not None and claim.reply.object:
            self._objects.delete(claim.reply.object)


def _found(row: Row) -> Found:
    try:
        return Found(msgspec.json.decode(row.value, type=Claim), row.version)
    except msgspec.MsgspecError as exc:
        raise StateUnavailableError(f"claim {row.key!r} cannot be read: {exc}") from exc
