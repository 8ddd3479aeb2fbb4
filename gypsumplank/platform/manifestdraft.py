"""Decode a manifest entry by entry, so that a check can list all of its faults.

The daemons decode the same types by `directory.decode_manifest`, which stops at the first fault.
"""

import math
from collections.abc import Callable, Mapping
from dataclasses import replace
from typing import Any, TypeVar

import msgspec

from gypsumplank.errors import EntryInvalidError
from gypsumplank.platform.directory import (
    WireAdvice,
    WireCapacity,
    WireManifest,
    WireRoute,
    WireService,
    WireTenant,
    decode_account,
    decode_manifest,
    decode_queue,
)
from gypsumplank.protocol.decoder import Int, convert, decode_any_json
from gypsumplank.protocol.manifestdraft import (
    DocumentNames,
    DraftEntry,
    DraftFault,
    DraftLimits,
    ManifestDraft,
)
from gypsumplank.protocol.queue import Queue, ServicePolicy

LIMITS = "limits"
ROUTES = "routes"
SERVICES = "services"
TENANTS = "tenants"
API_KEYS = "api-keys"
NAMES = DocumentNames(
    ROUTES,
    SERVICES,
    TENANTS,
    API_KEYS,
    max_attempts="max-attempts",
    objective="slo-ms",
    max_header_bytes="max-header-bytes",
    header_timeout="header-timeout-ms",
)
# Separates the text of a fault from its place in the document, in the decoder's messages.
PLACE_MARK = " - at `$"

T = TypeVar("T")
W = TypeVar("W", bound=msgspec.Struct)


class WireLimits(msgspec.Struct, rename="kebab"):
    """Represent the limits of requests."""

    max_header_bytes: Int | None = None
    max_body_bytes: Int | None = None
    header_timeout_ms: Int | None = None
    idle_timeout_ms: Int | None = None


class WireVersion(msgspec.Struct):
    """Represent the version alone."""

    version: Int


# Fields that are objects themselves, by the type that holds them.
NESTED: Mapping[type, Mapping[str, type]] = {
    WireRoute: {"hint": WireAdvice},
    WireTenant: {"cap": WireCapacity},
}


def decode_draft(raw: bytes) -> ManifestDraft:
    """Decode a document; raise EntryInvalidError if it is not a JSON object."""
    document = decode_any_json(raw)
    if not isinstance(document, dict):
        raise EntryInvalidError("expected an object")
    reader = _Reader(document)
    draft = ManifestDraft(
        reader.version(),
        reader.entries(ROUTES, WireRoute, _draft_queue),
        reader.entries(SERVICES, WireService, _draft_service),
        (
            None
            if document.get(TENANTS) is None
            else reader.entries(TENANTS, WireTenant, decode_account)
        ),
        reader.limits(),
        names=NAMES,
    )
    if all(fault.is_unknown for fault in reader.faults):
        # The daemons' own decoder has the last word.
        try:
            decode_manifest(raw)
        except EntryInvalidError as exc:
            reader.faults.append(_fault("$", exc))
    return replace(draft, faults=tuple(reader.faults))


def _draft_queue(route: WireRoute) -> Queue:
    # The daemons use at least one attempt and whole milliseconds; the check needs what is stated.
    return replace(
        decode_queue(route),
        max_attempts=route.max_attempts,
        objective_ms=math.floor(route.slo_ms),
    )


def _draft_service(service: WireService) -> ServicePolicy:
    return ServicePolicy(service.name, service.enforces_capacity, service.standby)


def _draft_limits(limits: WireLimits) -> DraftLimits:
    return DraftLimits(
        limits.max_header_bytes,
        limits.max_body_bytes,
        limits.header_timeout_ms,
        limits.idle_timeout_ms,
    )


class _Reader:
    def __init__(self, document: Mapping[str, Any]) -> None:
        self._document = document
        self.faults: list[DraftFault] = []
        known = (*_field_names(WireManifest), LIMITS)
        self._note_unknown("", document, known)

    def version(self) -> int | None:
        try:
            return convert(self._document, WireVersion).version
        except EntryInvalidError as exc:
            self.faults.append(_fault("", exc))
            return None

    def entries(
        self, name: str, kind: type[W], decode: Callable[[W], T]
    ) -> tuple[DraftEntry[T], ...]:
        items = self._document.get(name, [])
        if not isinstance(items, list):
            self.faults.append(DraftFault(name, "expected a list"))
            return ()
        found = (
            self._entry(f"{name}[{index}]", item, kind, decode) for index, item in enumerate(items)
        )
        return tuple(entry for entry in found if entry is not None)

    def limits(self) -> DraftEntry[DraftLimits]:
        raw = self._document.get(LIMITS, {})
        found = self._entry(LIMITS, raw, WireLimits, _draft_limits)
        return found or DraftEntry(LIMITS, DraftLimits(), {})

    def _entry(
        self, path: str, raw: Any, kind: type[W], decode: Callable[[W], T]
    ) -> DraftEntry[T] | None:
        try:
            wire = convert(raw, kind)
        except EntryInvalidError as exc:
            self.faults.append(_fault(path, exc))
            return None
        self._note_unknown(f"{path}.", raw, _field_names(kind))
        for name, nested in NESTED.get(kind, {}).items():
            self._note_unknown(f"{path}.{name}.", raw.get(name) or {}, _field_names(nested))
        return DraftEntry(path, decode(wire), _flatten(msgspec.to_builtins(wire)))

    def _note_unknown(self, prefix: str, raw: Mapping[str, Any], known: tuple[str, ...]) -> None:
        self.faults += [
            DraftFault(f"{prefix}{name}", "unknown field, ignored by the daemons", True)
            for name in raw
            if name not in known
        ]


def _field_names(kind: type[msgspec.Struct]) -> tuple[str, ...]:
    return tuple(each.encode_name for each in msgspec.structs.fields(kind))


def _flatten(fields: Mapping[str, Any]) -> dict[str, Any]:
    flat: dict[str, Any] = {}
    for name, value in fields.items():
        if isinstance(value, dict):
            flat |= {f"{name}.{inner}": each for inner, each in value.items()}
        elif name != API_KEYS and value is not None:
            flat[name] = value
    return flat


def _fault(path: str, exc: EntryInvalidError) -> DraftFault:
    text, _, place = exc.detail.partition(PLACE_MARK)
    return DraftFault(f"{path}{place.rstrip('`')}".lstrip(".") or "$", text)
