"""Compare a manifest with the version in force.

Answers the load of a manifest with thousands of entries, in which a change that was not meant to be
made is easily missed. Keys are counted, never shown.
"""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from typing import Any

from gypsumplank.protocol.manifestdraft import DraftEntry, ManifestDraft

ABSENT = "-"


@dataclass(frozen=True)
class FieldChange:
    """Describe one field that differs; `-` marks a missing value."""

    record: str
    field: str
    before: Any
    after: Any


def compare_manifests(before: ManifestDraft, after: ManifestDraft) -> tuple[FieldChange, ...]:
    """Return what differs, field by field; entries of one kind are matched by name."""
    return tuple(
        change
        for old, new in (
            ({"manifest": _top_fields(before)}, {"manifest": _top_fields(after)}),
            (_records("route", before.routes), _records("route", after.routes)),
            (_records("service", before.services), _records("service", after.services)),
            (_records("account", before.accounts), _records("account", after.accounts)),
        )
        for record in dict.fromkeys((*old, *new))
        for change in _compare_fields(record, old.get(record, {}), new.get(record, {}))
    ) + tuple(_compare_keys(before, after))


def _top_fields(draft: ManifestDraft) -> dict[str, Any]:
    limits = {f"{draft.limits.path}.{name}": value for name, value in draft.limits.fields.items()}
    has_accounts = draft.accounts is not None
    return {"version": draft.version, "has-accounts": has_accounts, **limits}


def _records(kind: str, entries: Iterable[DraftEntry[Any]] | None) -> dict[str, Mapping[str, Any]]:
    records: dict[str, Mapping[str, Any]] = {}
    for entry in entries or ():
        records.setdefault(f"{kind}/{entry.value.name}", entry.fields)
    return records


def _compare_fields(
    record: str, before: Mapping[str, Any], after: Mapping[str, Any]
) -> Iterator[FieldChange]:
    for name in dict.fromkeys((*before, *after)):
        old, new = before.get(name, ABSENT), after.get(name, ABSENT)
        if old != new:
            yield FieldChange(record, name, old, new)


def _compare_keys(before: ManifestDraft, after: ManifestDraft) -> Iterator[FieldChange]:
    old, new = _keys(before), _keys(after)
    for name in dict.fromkeys((*old, *new)):
        had, has = old.get(name, frozenset()), new.get(name, frozenset())
        if had != has:
            text = f"{len(has)} ({len(has - had)} added, {len(had - has)} removed)"
            yield FieldChange(f"account/{name}", after.names.keys, len(had), text)


def _keys(draft: ManifestDraft) -> dict[str, frozenset[bytes]]:
    keys: dict[str, frozenset[bytes]] = {}
    for entry in draft.accounts or ():
        keys.setdefault(entry.value.name, entry.value.key_digests)
    return keys
