"""Offer the commands on configuration: differences, history, rollback and roll-out."""

import time
import uuid
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from gypsumplank import porcelain
from gypsumplank.porcelain import Server
from gypsumplank.protocol.operator import (
    PATH_HISTORY,
    PATH_ROLLBACK,
    PATH_ROLLOUT,
    ChangeReceipt,
    HistoryEntry,
    RollbackOrder,
    RolloutStatus,
)
from gypsumplank.protocol.record import Record
from gypsumplank.protocol.schema import merge

POLL_S = 0.05
ABSENT = "-"


@dataclass(frozen=True)
class Difference:
    """Hold one field that an apply would change; `-` stands where there is none."""

    record: str
    field: str
    before: Any
    after: Any


def diff(server: Server, paths: Iterable[Path]) -> tuple[Difference, ...]:
    """Return what an apply of these files would change."""
    held = {record.key: record for record in porcelain.get(server).records}
    written = porcelain.read_records(paths)
    return tuple(
        difference
        for record in written
        for difference in _differences(held.get(record.key), merge(held.get(record.key), record))
    )


def _differences(held: Record | None, record: Record) -> Iterator[Difference]:
    before = {} if held is None else _leaves({"schema": held.schema, "spec": held.spec})
    after = _leaves({"schema": record.schema, "spec": record.spec})
    for name in sorted({*before, *after}):
        old, new = before.get(name, ABSENT), after.get(name, ABSENT)
        if old != new:
            yield Difference(record.key, name, old, new)


def _leaves(value: Mapping[str, Any], prefix: str = "") -> dict[str, Any]:
    found: dict[str, Any] = {}
    for name, held in value.items():
        if isinstance(held, Mapping) and held:
            found.update(_leaves(held, f"{prefix}{name}."))
        else:
            found[f"{prefix}{name}"] = held
    return found


def history(server: Server, limit: int) -> tuple[HistoryEntry, ...]:
    """Return the newest accepted changes, newest first."""
    return server.call("GET", f"{PATH_HISTORY}?limit={limit}", tuple[HistoryEntry, ...])


def rollback(server: Server, revision: int, if_revision: int | None = None) -> ChangeReceipt:
    """Accept a new revision with the records of an older one."""
    order = RollbackOrder(uuid.uuid4().hex, revision, if_revision)
    return server.change(PATH_ROLLBACK, order)


def rollout(server: Server, revision: int) -> RolloutStatus:
    """Tell which live daemons have a revision in force."""
    return server.call("GET", f"{PATH_ROLLOUT}?revision={revision}", RolloutStatus)


def wait_in_force(server: Server, revision: int, timeout_s: float) -> RolloutStatus:
    """Return once every live daemon has a revision in force, or the time is over."""
    until = time.monotonic() + timeout_s
    while (found := rollout(server, revision)).behind and time.monotonic() < until:
        time.sleep(POLL_S)
    return found
