"""Offer each operators' command as one function."""

import time
import uuid
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any, TypeVar
from urllib.parse import urlencode

import msgspec
import pyjson5
import urllib3
from urllib3.exceptions import HTTPError

from gypsumplank.errors import Fault, RecordsError, ServerError, ServerUnreachableError
from gypsumplank.protocol.operator import (
    PATH_CHANGES,
    PATH_RECORDS,
    PATH_STATUS,
    ChangeOrder,
    ChangeReceipt,
    RecordList,
    Status,
)
from gypsumplank.protocol.problem import Problem
from gypsumplank.protocol.record import Record, decode_record, record_key
from gypsumplank.state.validation import find_faults, find_warnings, with_files

STATUS_OK = 200
TIMEOUT_S = 30.0
RETRY_S = 5.0
RETRY_PAUSE_S = 0.25
RETRY_CODES = frozenset({"state-unavailable", "state-unknown"})
SUFFIXES = (".json", ".json5")

T = TypeVar("T")


@dataclass(frozen=True)
class Server:
    """Reach the operators' listener of any daemon."""

    address: str
    token: str = ""

    def call(self, method: str, path: str, kind: type[T], body: Any = None) -> T:
        """Return the decoded answer; raise ServerError or ServerUnreachableError."""
        headers = {"Authorization": f"Bearer {self.token}"} if self.token else {}
        raw = None if body is None else msgspec.json.encode(body)
        url = f"http://{self.address}{path}"
        try:
            resp = urllib3.request(
                method, url, body=raw, headers=headers, timeout=TIMEOUT_S, retries=False
            )
        except HTTPError as exc:
            raise ServerUnreachableError(f"{self.address}: {exc}") from exc
        if resp.status != STATUS_OK:
            raise _error_of(resp.data, resp.status)
        return msgspec.json.decode(resp.data, type=kind)

    def change(self, path: str, order: Any) -> ChangeReceipt:
        """Send a change; while the store does not answer, send it again for a while.

        The operation id makes that safe: what was accepted before is found and not repeated.
        """
        until = time.monotonic() + RETRY_S
        while True:
            try:
                return self.call("POST", path, ChangeReceipt, order)
            except ServerError as exc:
                if exc.code not in RETRY_CODES or time.monotonic() >= until:
                    raise
            time.sleep(RETRY_PAUSE_S)


def _error_of(raw: bytes, status: int) -> ServerError:
    try:
        problem = msgspec.json.decode(raw, type=Problem)
    except msgspec.MsgspecError:
        return ServerError("server", f"status {status}")
    return ServerError(problem.code, problem.detail, problem.faults)


def read_records(paths: Iterable[Path]) -> tuple[Record, ...]:
    """Return the records in files and folders; raise RecordsError with every fault."""
    files = [file for path in paths for file in _files(path)]
    records: list[Record] = []
    faults: list[Fault] = []
    for file in files:
        try:
            records += _read_file(file)
        except RecordsError as exc:
            faults += exc.faults
    if faults:
        raise RecordsError(faults)
    return tuple(records)


def record_files(paths: Iterable[Path]) -> dict[str, str]:
    """Return the file of each record by its key."""
    files = (file for path in paths for file in _files(path))
    return {record.key: str(file) for file in files for record in _read_file(file)}


def _files(path: Path) -> list[Path]:
    if path.is_dir():
        return sorted(file for file in path.rglob("*") if file.suffix in SUFFIXES)
    return [path]


def _read_file(path: Path) -> list[Record]:
    try:
        raw = pyjson5.decode(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, pyjson5.Json5Exception) as exc:
        raise RecordsError((Fault("unreadable", "$", str(exc), str(path)),)) from exc
    items = raw if isinstance(raw, list) else [raw]
    return [decode_record(item, str(path)) for item in items]


def validate(paths: Iterable[Path]) -> tuple[Record, ...]:
    """Check files by themselves, without a daemon; raise RecordsError."""
    held = tuple(paths)
    records = read_records(held)
    faults = find_faults(records)
    if faults:
        raise RecordsError(with_files(faults, record_files(held)))
    return records


def warnings(paths: Iterable[Path]) -> tuple[Fault, ...]:
    """Return what is odd in files though it would be accepted."""
    held = tuple(paths)
    return with_files(find_warnings(read_records(held)), record_files(held))


def apply(server: Server, paths: Iterable[Path], if_revision: int | None = None) -> ChangeReceipt:
    """Put the records in files in force, all or none."""
    held = tuple(paths)
    order = ChangeOrder(uuid.uuid4().hex, read_records(held), (), if_revision)
    try:
        return server.change(PATH_CHANGES, order)
    except ServerError as exc:
        faults = with_files(exc.faults, record_files(held))
        raise ServerError(exc.code, exc.detail, faults) from exc


def delete(server: Server, kind: str, name: str) -> ChangeReceipt:
    """Delete one record."""
    order = ChangeOrder(uuid.uuid4().hex, (), (record_key(kind, name),))
    return server.change(PATH_CHANGES, order)


def get(server: Server, kind: str = "", schema: int | None = None) -> RecordList:
    """List the records in force, as tools of this schema see them."""
    asked = {"kind": kind, "schema": schema}
    query = urlencode({name: value for name, value in asked.items() if value})
    return server.call("GET", f"{PATH_RECORDS}?{query}", RecordList)


def describe(server: Server, kind: str, name: str) -> Record:
    """Return one record in force."""
    return server.call("GET", f"{PATH_RECORDS}/{record_key(kind, name)}", Record)


def status(server: Server) -> Status:
    """Return the status of the fleet."""
    return server.call("GET", PATH_STATUS, Status)


def table(rows: Iterable[Mapping[str, Any]]) -> str:
    """Return rows as aligned columns under a heading."""
    held = [{name: str(value) for name, value in row.items()} for row in rows]
    if not held:
        return ""
    names = tuple(held[0])
    widths = {name: max(len(name), *(len(row[name]) for row in held)) for name in names}
    lines = [dict(zip(names, (name.upper() for name in names), strict=True)), *held]
    return "\n".join(
        "  ".join(line[name].ljust(widths[name]) for name in names).rstrip() for line in lines
    )
