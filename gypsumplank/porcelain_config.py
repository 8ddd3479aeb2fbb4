"""Provide the configuration commands as functions: diff, history, rollback and rollout."""

import time
import uuid
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from gypsumplank import porcelain
from gypsumplank.porcelain import OperatorClient
from gypsumplank.protocol.operator import (
    PATH_HISTORY,
    PATH_ROLLBACK,
    PATH_ROLLOUT,
    ChangeReceipt,
    HistoryEntry,
    RollbackRequest,
    RolloutStatus,
)
from gypsumplank.protocol.record import Record
from gypsumplank.protocol.schema import merge

POLL_INTERVAL_S = 0.05
ABSENT = "-"


@dataclass(frozen=True)
class Difference:
    """Describe one field that an apply would change; `-` marks a missing value."""

    record: str
    field: str
    before: Any
    after: Any


def diff(server: OperatorClient, paths: Iterable[Path]) -> tuple[Difference, ...]:
    """Return the fields that applying these files would change."""
    current = {record.key: record for record in porcelain.get(server).records}
    desired = porcelain.read_records(paths)
    return tuple(
        difference
        for record in desired
        for difference in _differences(
            current.get(record.key), merge(current.get(record.key), record)
        )
    )


def _differences(current: Record | None, record: Record) -> Iterator[Difference]:
    before = {} if current is None else _flatten({"schema": current.schema, "spec": current.spec})
    after = _flatten({"schema": record.schema, "spec": record.spec})
    for name in sorted({*before, *after}):
        old, new = before.get(name, ABSENT), after.get(name, ABSENT)
        if old != new:
            yield Difference(record.key, name, old, new)


def _flatten(value: Mapping[str, Any], prefix: str = "") -> dict[str, Any]:
    flat: dict[str, Any] = {}
    for name, item in value.items():
        if isinstance(item, Mapping) and item:
            flat.update(_flatten(item, f"{prefix}{name}."))
        else:
            flat[f"{prefix}{name}"] = item
    return flat


def history(server: OperatorClient, limit: int) -> tuple[HistoryEntry, ...]:
    """Return up to `limit` accepted changes, newest first."""
    return server.call("GET", f"{PATH_HISTORY}?limit={limit}", tuple[HistoryEntry, ...])


def rollback(
    server: OperatorClient, revision: int, if_revision: int | None = None
) -> ChangeReceipt:
    """Put the records of an older revision in force as a new revision."""
    order = RollbackRequest(uuid.uuid4().hex, revision, if_revision)
    return server.submit_change(PATH_ROLLBACK, order)


def rollout(server: OperatorClient, revision: int) -> RolloutStatus:
    """Return which live daemons have a revision in force and which are behind."""
    return server.call("GET", f"{PATH_ROLLOUT}?revision={revision}", RolloutStatus)


def wait_in_force(server: OperatorClient, revision: int, timeout_s: float) -> RolloutStatus:
    """Poll until every live daemon has a revision in force, or the timeout has passed."""
    deadline = time.monotonic() + timeout_s
    while (status := rollout(server, revision)).behind and time.monotonic() < deadline:
        time.sleep(POLL_INTERVAL_S)
    return status
