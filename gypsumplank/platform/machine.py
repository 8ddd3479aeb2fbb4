"""Call the platform's machine API and its placement advisor."""

from collections.abc import Mapping, Sequence
from typing import Any
from urllib.parse import urlencode

import msgspec

from gypsumplank.errors import (
    AdviceError,
    CallError,
    EntryInvalidError,
    MachineError,
    MachineRefusedError,
)
from gypsumplank.platform.client import Client
from gypsumplank.protocol.decoder import NonEmptyStr, convert
from gypsumplank.protocol.queue import Machine, MachineState
from gypsumplank.state.row import DropLog

PATH_MACHINES = "/api/machines"
PATH_MOVE = "/api/machine-move"
PATH_UPKEEP = "/api/machine-upkeep"
PATH_ADVISE = "/api/advise"
HEADER_LEASE_HOLDER = "X-Gypsumplank-Lease-Holder"
HEADER_FENCING_TOKEN = "X-Gypsumplank-Fencing-Token"
MAX_REASON_CHARS = 100
STATUS_OK = 200
STATUS_BAD_REQUEST = 400
STATUS_CONFLICT = 409
STATUS_TOO_MANY_REQUESTS = 429
# A machine list with more pages is treated as malformed.
MAX_LIST_PAGES = 100
# One advice request may name at most this many workers.
MAX_WORKERS_PER_REQUEST = 100


class WireMachine(msgspec.Struct, rename="kebab"):
    """Represent a listed machine; `id` is that of its worker."""

    machine: NonEmptyStr
    pool: str | None = None
    state: str | None = None
    zone: str | None = None
    id: str | None = None
    labels: tuple[str, ...] | None = None


class HttpMachines:
    """List and move machines and start their maintenance through the platform."""

    def __init__(self, client: Client) -> None:
        self._client = client
        self._log = DropLog()

    def list_machines(self) -> Sequence[Machine]:
        """Return all machines; raise MachineError."""
        machines: list[Machine] = []
        page_token: str | None = None
        for _ in range(MAX_LIST_PAGES):
            query = f"?{urlencode({'page-token': page_token})}" if page_token else ""
            body = self._call("GET", f"{PATH_MACHINES}{query}", None, {})
            if not isinstance(body, dict) or not isinstance(body.get("machines"), list):
                raise MachineError("malformed list of machines")
            found = map(self._decode_or_log, body["machines"])
            machines.extend(machine for machine in found if machine is not None)
            page_token = body.get("next-token")
            if not isinstance(page_token, str | None):
                raise MachineError("malformed token of the next page of machines")
            if not page_token:
                return machines
        raise MachineError(f"list of machines has over {MAX_LIST_PAGES} pages")

    def _decode_or_log(self, raw: Any) -> Machine | None:
        """Return a listed machine, in an unknown state if malformed, or None without a name."""
        try:
            return _decode_machine(raw)
        except EntryInvalidError as exc:
            raw_name = raw.get("machine") if isinstance(raw, dict) else None
            name = raw_name if isinstance(raw_name, str) else ""
            self._log.record(PATH_MACHINES, name, exc)
            return Machine(name, "", MachineState.UNKNOWN, "", "") if name else None

    def move(self, machine: str, pool: str, holder: str, token: int) -> None:
        """Move a machine to another pool; raise MachineError."""
        self._call(
            "POST", PATH_MOVE, {"machine": machine, "pool": pool}, _lease_headers(holder, token)
        )

    def start_maintenance(self, machine: str, wave: int, holder: str, token: int) -> None:
        """Start the maintenance of a machine; raise MachineError."""
        self._call(
            "POST", PATH_UPKEEP, {"machine": machine, "wave": wave}, _lease_headers(holder, token)
        )

    def _call(self, method: str, path: str, body: Any, headers: dict[str, str]) -> Any:
        try:
            resp = self._client.call(method, path, body, headers)
        except CallError as exc:
            raise MachineError(f"{path}: {exc.detail}", may_be_executed=exc.sent) from exc
        if resp.status == STATUS_OK:
            return resp.body
        if resp.status == STATUS_BAD_REQUEST:
            raise MachineRefusedError("missing")
        if resp.status == STATUS_TOO_MANY_REQUESTS:
            raise MachineRefusedError("rate")
        if resp.status == STATUS_CONFLICT and isinstance(resp.body, dict):
            reason = resp.body.get("reason")
            raise MachineRefusedError(
                reason if isinstance(reason, str) and len(reason) <= MAX_REASON_CHARS else ""
            )
        raise MachineError(f"{path}: status {resp.status}")


class HttpAdvisor:
    """Ask the placement advisor which workers may run a step."""

    def __init__(self, client: Client) -> None:
        self._client = client

    def request_permits(self, step: str, workers: Sequence[str]) -> Mapping[str, str]:
        """Return the permits by worker for those that may run the step; raise AdviceError."""
        body = {"step": step, "workers": list(workers[:MAX_WORKERS_PER_REQUEST])}
        try:
            resp = self._client.call("POST", PATH_ADVISE, body)
        except CallError as exc:
            raise AdviceError(f"{step}: {exc.detail}") from exc
        rows = resp.body.get("allowed") if isinstance(resp.body, dict) else None
        if resp.status != STATUS_OK or not isinstance(rows, list):
            raise AdviceError(f"{step}: status {resp.status}")
        return {
            row[0]: row[1]
            for row in rows
            if isinstance(row, list) and len(row) > 1 and all(isinstance(x, str) for x in row[:2])
        }


def _lease_headers(holder: str, token: int) -> dict[str, str]:
    return {HEADER_LEASE_HOLDER: holder, HEADER_FENCING_TOKEN: str(token)}


def _decode_machine(raw: Any) -> Machine:
    wire = convert(raw, WireMachine)
    return Machine(
        wire.machine,
        wire.pool or "",
        _decode_state(wire.state or ""),
        wire.zone or "",
        wire.id or "",
        wire.labels or (),
    )


def _decode_state(raw: str) -> MachineState:
    try:
        return MachineState(raw)
    except ValueError:
        return MachineState.UNKNOWN
