"""Provide the operators' commands as functions that call a daemon over HTTP."""

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

from gypsumplank.errors import (
    MAX_DETAIL_CHARS,
    EntryInvalidError,
    Fault,
    RecordsError,
    ServerError,
    ServerUnreachableError,
)
from gypsumplank.protocol.decoder import decode_json
from gypsumplank.protocol.operator import (
    PATH_CHANGES,
    PATH_RECORDS,
    PATH_STATUS,
    ChangeReceipt,
    ChangeRequest,
    RecordList,
    Status,
)
from gypsumplank.protocol.problem import Problem
from gypsumplank.protocol.record import Record, decode_record, record_key
from gypsumplank.state.validation import add_file_names, find_faults, find_warnings

STATUS_OK = 200
REQUEST_TIMEOUT_S = 30.0
RETRY_TIMEOUT_S = 5.0
RETRY_INTERVAL_S = 0.25
RETRYABLE_CODES = frozenset({"state-unavailable", "state-unknown"})
RECORD_FILE_SUFFIXES = (".json", ".json5")

T = TypeVar("T")


@dataclass(frozen=True)
class OperatorClient:
    """Call the operators' HTTP API of one daemon; `address` is `ip:port`."""

    address: str
    token: str = ""

    def call(self, method: str, path: str, response_type: type[T], body: Any = None) -> T:
        """Return the decoded response; raise ServerError or ServerUnreachableError."""
        headers = {"Authorization": f"Bearer {self.token}"} if self.token else {}
        data = None if body is None else msgspec.json.encode(body)
        url = f"http://{self.address}{path}"
        try:
            resp = urllib3.request(
                method, url, body=data, headers=headers, timeout=REQUEST_TIMEOUT_S, retries=False
            )
        except HTTPError as exc:
            raise ServerUnreachableError(f"{self.address}: {exc}") from exc
        if resp.status != STATUS_OK:
            raise _decode_error(resp.data, resp.status)
        try:
            return decode_json(resp.data, response_type)
        except EntryInvalidError as exc:
            raise ServerError("server", f"malformed response: {exc.detail}") from exc

    def submit_change(self, path: str, order: Any) -> ChangeReceipt:
        """Send a change and retry it for up to RETRY_TIMEOUT_S while the store is unavailable.

        The retries are idempotent: the daemon recognizes the operation id of an accepted change.
        """
        deadline = time.monotonic() + RETRY_TIMEOUT_S
        while True:
            try:
                return self.call("POST", path, ChangeReceipt, order)
            except ServerError as exc:
                if exc.code not in RETRYABLE_CODES or time.monotonic() >= deadline:
                    raise
            time.sleep(RETRY_INTERVAL_S)


def _decode_error(raw: bytes, status: int) -> ServerError:
    try:
        problem = decode_json(raw, Problem)
    except EntryInvalidError:
        return ServerError("server", f"status {status}")
    return ServerError(problem.code, problem.detail, problem.faults)


def read_records(paths: Iterable[Path]) -> tuple[Record, ...]:
    """Return the records in files and directories; raise RecordsError listing every fault."""
    files = [file for path in paths for file in _expand_path(path)]
    records: list[Record] = []
    faults: list[Fault] = []
    for file in files:
        try:
            records += _decode_file(file)
        except RecordsError as exc:
            faults += exc.faults
    if faults:
        raise RecordsError(faults)
    return tuple(records)


def record_files(paths: Iterable[Path]) -> dict[str, str]:
    """Return the path of the file that holds each record, by record key."""
    files = (file for path in paths for file in _expand_path(path))
    return {record.key: str(file) for file in files for record in _decode_file(file)}


def _expand_path(path: Path) -> list[Path]:
    if path.is_dir():
        return sorted(file for file in path.rglob("*") if file.suffix in RECORD_FILE_SUFFIXES)
    return [path]


def _decode_file(path: Path) -> list[Record]:
    try:
        raw = pyjson5.decode(path.read_text(encoding="utf-8"))
    except (OSError, ValueError, RecursionError, pyjson5.Json5Exception) as exc:
        detail = str(exc)[:MAX_DETAIL_CHARS]
        raise RecordsError((Fault("unreadable", "$", detail, str(path)),)) from exc
    items = raw if isinstance(raw, list) else [raw]
    return [decode_record(item, str(path)) for item in items]


def validate(paths: Iterable[Path]) -> tuple[Record, ...]:
    """Check the records in files without a daemon; raise RecordsError."""
    file_paths = tuple(paths)
    records = read_records(file_paths)
    faults = find_faults(records)
    if faults:
        raise RecordsError(add_file_names(faults, record_files(file_paths)))
    return records


def warnings(paths: Iterable[Path]) -> tuple[Fault, ...]:
    """Return warnings about records that are valid but suspicious."""
    file_paths = tuple(paths)
    return add_file_names(find_warnings(read_records(file_paths)), record_files(file_paths))


def apply(
    server: OperatorClient, paths: Iterable[Path], if_revision: int | None = None
) -> ChangeReceipt:
    """Put the records in files in force atomically."""
    file_paths = tuple(paths)
    order = ChangeRequest(uuid.uuid4().hex, read_records(file_paths), (), if_revision)
    try:
        return server.submit_change(PATH_CHANGES, order)
    except ServerError as exc:
        faults = add_file_names(exc.faults, record_files(file_paths))
        raise ServerError(exc.code, exc.detail, faults) from exc


def delete(server: OperatorClient, kind: str, name: str) -> ChangeReceipt:
    """Delete one record."""
    order = ChangeRequest(uuid.uuid4().hex, (), (record_key(kind, name),))
    return server.submit_change(PATH_CHANGES, order)


def get(server: OperatorClient, kind: str = "", schema: int | None = None) -> RecordList:
    """Return the records in force, converted to a schema version if one is given."""
    params = {"kind": kind, "schema": schema}
    query = urlencode({name: value for name, value in params.items() if value})
    return server.call("GET", f"{PATH_RECORDS}?{query}", RecordList)


def describe(server: OperatorClient, kind: str, name: str) -> Record:
    """Return one record in force."""
    return server.call("GET", f"{PATH_RECORDS}/{record_key(kind, name)}", Record)


def status(server: OperatorClient) -> Status:
    """Return the fleet's status as the daemon sees it."""
    return server.call("GET", PATH_STATUS, Status)


def format_table(rows: Iterable[Mapping[str, Any]]) -> str:
    """Return rows as aligned columns under a header line."""
    text_rows = [{name: str(value) for name, value in row.items()} for row in rows]
    if not text_rows:
        return ""
    names = tuple(text_rows[0])
    widths = {name: max(len(name), *(len(row[name]) for row in text_rows)) for name in names}
    lines = [dict(zip(names, (name.upper() for name in names), strict=True)), *text_rows]
    return "\n".join(
        "  ".join(line[name].ljust(widths[name]) for name in names).rstrip() for line in lines
    )
