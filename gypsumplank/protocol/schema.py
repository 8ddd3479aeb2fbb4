"""Convert records between schema versions so that old and new tools share them."""

from collections.abc import Mapping
from copy import deepcopy
from dataclasses import replace
from typing import Any

from gypsumplank.protocol.record import NEWEST_SCHEMA, Kind, Record

Path = tuple[str, ...]

V1_PATHS: Mapping[Kind, Mapping[str, Path]] = {
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
    """Return a record in the newest schema; fields that version 1 does not know stay."""
    if record.schema != 1:
        return record
    paths = V1_PATHS.get(record.kind, {})
    spec = {name: deepcopy(value) for name, value in record.spec.items() if name not in paths}
    for name, path in paths.items():
        if name in record.spec:
            _set(spec, path, deepcopy(record.spec[name]))
    return replace(record, schema=NEWEST_SCHEMA, spec=spec)


def downgrade(record: Record) -> Record:
    """Return what a tool of version 1 sees of a record."""
    paths = V1_PATHS.get(record.kind)
    if record.schema != NEWEST_SCHEMA or paths is None:
        return record
    found = {name: _get(record.spec, path) for name, path in paths.items()}
    spec = {name: deepcopy(held[0]) for name, held in found.items() if held}
    return replace(record, schema=1, spec=spec)


def merge(held: Record | None, written: Record) -> Record:
    """Return the record after a write; one of version 1 keeps what only the newest knows."""
    if held is None or held.schema != NEWEST_SCHEMA or written.schema != 1:
        return written
    paths = V1_PATHS.get(written.kind)
    if paths is None:
        return replace(written, schema=NEWEST_SCHEMA)
    spec: dict[str, Any] = deepcopy(dict(held.spec))
    for name, path in paths.items():
        if name not in written.spec:
            _remove(spec, path)
    for name, value in upgrade(written).spec.items():
        nested = isinstance(value, Mapping) and isinstance(spec.get(name), Mapping)
        spec[name] = {**spec[name], **value} if nested else deepcopy(value)
    return replace(written, schema=NEWEST_SCHEMA, spec=spec)


def _get(spec: Mapping[str, Any], path: Path) -> tuple[Any, ...]:
    """Return the value at a path alone in a tuple, which is empty where there is none."""
    value: Any = spec
    for name in path:
        if not isinstance(value, Mapping) or name not in value:
            return ()
        value = value[name]
    return (value,)


def _set(spec: dict[str, Any], path: Path, value: Any) -> None:
    *parents, name = path
    for parent in parents:
        spec[parent] = dict(spec[parent]) if isinstance(spec.get(parent), Mapping) else {}
        spec = spec[parent]
    spec[name] = value


def _remove(spec: dict[str, Any], path: Path) -> None:
    *parents, name = path
    for parent in parents:
        held = spec.get(parent)
        if not isinstance(held, dict):
            return
        spec = held
    spec.pop(name, None)
