"""Convert records between schema versions so that old and new tools share them."""

from collections.abc import Mapping
from copy import deepcopy
from dataclasses import replace
from typing import Any

from gypsumplank.protocol.record import NEWEST_SCHEMA, Kind, Record

FieldPath = tuple[str, ...]

V1_PATHS: Mapping[Kind, Mapping[str, FieldPath]] = {
    Kind.POOL: {
        "min_in_service": ("budget", "min_in_service"),
        "guarded": ("guarded",),
        "spare": ("spare",),
    },
    Kind.SERVICE: {name: (name,) for name in ("pool", "timeout_ms", "idempotent")},
    Kind.HOST: {
        name: (name,) for name in ("address", "pool", "zone", "rack", "slots", "connections")
    },
    Kind.WAVE: {name: (name,) for name in ("pools", "hosts", "parallelism", "grace_s")},
}


def upgrade(record: Record) -> Record:
    """Return a record in the newest schema; keep fields that version 1 does not know."""
    if record.schema != 1:
        return record
    paths = V1_PATHS.get(record.kind, {})
    spec = {name: deepcopy(value) for name, value in record.spec.items() if name not in paths}
    for name, path in paths.items():
        if name in record.spec:
            _set_path(spec, path, deepcopy(record.spec[name]))
    return replace(record, schema=NEWEST_SCHEMA, spec=spec)


def downgrade(record: Record) -> Record:
    """Return a record in schema version 1, as old tools expect it."""
    paths = V1_PATHS.get(record.kind)
    if record.schema != NEWEST_SCHEMA or paths is None:
        return record
    found = {name: _get_path(record.spec, path) for name, path in paths.items()}
    spec = {name: deepcopy(value[0]) for name, value in found.items() if value}
    return replace(record, schema=1, spec=spec)


def merge(current: Record | None, written: Record) -> Record:
    """Return the record after a write; a write in version 1 keeps the fields it cannot express."""
    if current is None or current.schema != NEWEST_SCHEMA or written.schema != 1:
        return written
    paths = V1_PATHS.get(written.kind)
    if paths is None:
        return replace(written, schema=NEWEST_SCHEMA)
    spec: dict[str, Any] = deepcopy(dict(current.spec))
    for name, path in paths.items():
        if name not in written.spec:
            _remove_path(spec, path)
    for name, value in upgrade(written).spec.items():
        both_nested = isinstance(value, Mapping) and isinstance(spec.get(name), Mapping)
        spec[name] = {**spec[name], **value} if both_nested else deepcopy(value)
    return replace(written, schema=NEWEST_SCHEMA, spec=spec)


def _get_path(spec: Mapping[str, Any], path: FieldPath) -> tuple[Any, ...]:
    """Return the value at a path as a 1-tuple, or an empty tuple if there is none."""
    value: Any = spec
    for name in path:
        if not isinstance(value, Mapping) or name not in value:
            return ()
        value = value[name]
    return (value,)


def _set_path(spec: dict[str, Any], path: FieldPath, value: Any) -> None:
    *parents, name = path
    for parent in parents:
        spec[parent] = dict(spec[parent]) if isinstance(spec.get(parent), Mapping) else {}
        spec = spec[parent]
    spec[name] = value


def _remove_path(spec: dict[str, Any], path: FieldPath) -> None:
    *parents, name = path
    for parent in parents:
        child = spec.get(parent)
        if not isinstance(child, dict):
            return
        spec = child
    spec.pop(name, None)
