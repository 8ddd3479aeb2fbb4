"""Define a manifest as its document states it, for a check before it is sent.

Unlike `Manifest` it keeps what the daemons correct or leave out: entries of the same name, values
out of range, unknown fields and the faults of single entries.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, Generic, TypeVar

from gypsumplank.protocol.account import Account
from gypsumplank.protocol.queue import Queue, ServicePolicy

T = TypeVar("T")


@dataclass(frozen=True)
class DraftFault:
    """Describe a field that cannot be decoded, or that is unknown and thus ignored."""

    path: str
    text: str
    is_unknown: bool = False


@dataclass(frozen=True)
class DraftEntry(Generic[T]):
    """Store one entry, its path in the document and its fields without keys, by document name."""

    path: str
    value: T
    fields: Mapping[str, Any]


@dataclass(frozen=True)
class DraftLimits:
    """Store limits of requests in bytes and ms; None where the document states none."""

    max_header_bytes: int | None = None
    max_body_bytes: int | None = None
    header_timeout_ms: int | None = None
    idle_timeout_ms: int | None = None


@dataclass(frozen=True)
class DocumentNames:
    """Store the names of the document's sections and fields that findings refer to."""

    routes: str = "routes"
    services: str = "services"
    accounts: str = "accounts"
    keys: str = "keys"
    max_attempts: str = "max_attempts"
    objective: str = "objective_ms"
    max_header_bytes: str = "max_header_bytes"
    header_timeout: str = "header_timeout_ms"


@dataclass(frozen=True)
class ManifestDraft:
    """Represent a document; `version` is None and entries are missing where they are faulty."""

    version: int | None
    routes: tuple[DraftEntry[Queue], ...] = ()
    services: tuple[DraftEntry[ServicePolicy], ...] = ()
    accounts: tuple[DraftEntry[Account], ...] | None = None
    limits: DraftEntry[DraftLimits] = DraftEntry("limits", DraftLimits(), {})
    faults: tuple[DraftFault, ...] = field(default=())
    names: DocumentNames = DocumentNames()
