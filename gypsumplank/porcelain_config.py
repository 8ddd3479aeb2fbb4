"""Provide the configuration commands as functions: diff, history, rollback and rollout."""

import re
import time
import uuid
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Protocol

from gypsumplank import porcelain
from gypsumplank.coordination.job.manifestcheck import Finding, Severity, check_manifest
from gypsumplank.coordination.job.manifestdiff import FieldChange, compare_manifests
from gypsumplank.errors import Fault, RecordsError
from gypsumplank.porcelain import OperatorClient
from gypsumplank.protocol.manifestdraft import ManifestDraft
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
# The largest number that a manifest can carry has 16 digits.
VERSION_NUMBER = re.compile(r"[0-9]{1,16}")


@dataclass(frozen=True)
class Difference:
    """Describe one field that an apply would change; `-` marks a missing value."""

    record: str
    field: str
    before: Any
    after: Any


@dataclass(frozen=True)
class ManifestCheck:
    """Store what a check of a manifest found, and how it differs from the version in force."""

    findings: tuple[Finding, ...]
    changes: tuple[FieldChange, ...]

    def faults(self, source: str, severity: Severity) -> tuple[Fault, ...]:
        """Return the findings of one severity as faults of a file."""
        return tuple(
            Fault(finding.code, finding.path, finding.text, source)
            for finding in self.findings
            if finding.severity is severity
        )


class ManifestReader(Protocol):
    """Read manifests; every method may raise GypsumplankError."""

    def read_file(self, path: Path) -> ManifestDraft:
        """Return the manifest in a file."""

    def read_version(self, version: int) -> ManifestDraft:
        """Return a version that the store has."""


def check(reader: ManifestReader, path: Path, against: str | None = None) -> ManifestCheck:
    """Check a manifest, also against the version in force: a file, or a number in the store."""
    draft = reader.read_file(path)
    if against is None:
        return ManifestCheck(check_manifest(draft, None), ())
    is_number = VERSION_NUMBER.fullmatch(against) and not Path(against).exists()
    in_force = reader.read_version(int(against)) if is_number else reader.read_file(Path(against))
    faults = [fault for fault in in_force.faults if not fault.is_unknown]
    if faults:
        # A comparison with a part of the version in force would show changes that are none.
        raise RecordsError(
            [Fault("value-invalid", fault.path, fault.text, against) for fault in faults]
        )
    return ManifestCheck(check_manifest(draft, in_force), compare_manifests(in_force, draft))


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
