"""Define the versioned records that operators write."""

import zlib
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

import msgspec

from gypsumplank.errors import EntryInvalidError, Fault, RecordsError
from gypsumplank.protocol.decoder import convert, decode_json

NEWEST_SCHEMA = 2
MAX_UNPACKED_BYTES = 32 << 20


class Kind(StrEnum):
    """List the kinds of records."""

    POOL = "pool"
    SERVICE = "service"
    HOST = "host"
    WAVE = "wave"
    TEAM = "team"
    POLICY = "policy"
    ASSIGNMENT = "assignment"


@dataclass(frozen=True)
class Record:
    """Represent a record as written; `spec` keeps fields that this version does not know."""

    kind: Kind
    name: str
    schema: int
    spec: Mapping[str, Any] = field(default_factory=dict)
    origin: str = ""

    @property
    def key(self) -> str:
        """Return the key that identifies the record among all records."""
        return record_key(self.kind, self.name)


def record_key(kind: str, name: str) -> str:
    """Return the key of the record of this kind and name."""
    return f"{kind}/{name}"


def decode_record(raw: Any, source: str = "") -> Record:
    """Convert decoded JSON to a record; raise RecordsError."""
    try:
        return convert(raw, Record)
    except EntryInvalidError as exc:
        raise RecordsError((Fault("record-malformed", "$", str(exc), source),)) from exc


def pack_records(records: tuple[Record, ...]) -> bytes:
    """Return the records as compressed JSON."""
    return zlib.compress(msgspec.json.encode(records))


def unpack_records(packed: bytes) -> tuple[Record, ...]:
    """Return records from compressed JSON; raise RecordsError."""
    try:
        raw = zlib.decompressobj().decompress(packed, MAX_UNPACKED_BYTES)
        return decode_json(raw, tuple[Record, ...])
    except (zlib.error, EntryInvalidError) as exc:
        raise RecordsError((Fault("record-malformed", "$", str(exc)),)) from exc
