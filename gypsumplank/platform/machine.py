"""List machines and order moves and upkeep as the platform spells them."""

from collections.abc import Mapping, Sequence
from typing import Any
from urllib.parse import urlencode

from gypsumplank.errors import AdviceError, CallError, MachineError, MachineRefusedError
from gypsumplank.platform.client import Client
from gypsumplank.protocol.queue import Machine, MachineState

PATH_MACHINES = "/api/machines"
PATH_MOVE = "/api/machine-move"
PATH_UPKEEP = "/api/machine-upkeep"
PATH_ADVISE = "/api/advise"
HEADER_HOLDER = "X-Gypsumplank-Lease-Holder"
HEADER_TOKEN = "X-Gypsumplank-Fencing-Token"
STATUS_OK = 200
STATUS_MISSING = 400
STATUS_CONFLICT = 409
# Pages of one list after which it counts as broken.
MAX_PAGES = 100
# Workers that one question for advice may name.
MAX_ADVISED = 100


class HttpMachines:
    """Reach the platform's list of machines."""

    def __init__(self, client: Client) -> None:
        self._client = client

    def all(self) -> Sequence[Machine]:
        """Return all machines; raise MachineError."""
        found: list[Machine] = []
        token: str | None = None
        for _ in range(MAX_PAGES):
            query = f"?{urlencode({'page-token': token})}" if token else ""
            body = self._call("GET", f"{PATH_MACHINES}{query}", None, {})
            if not isinstance(body, dict) or not isinstance(body.get("machines"), list):
                raise MachineError("malformed list of machines")
            found.extend(_machine(one) for one in body["machines"])
            token = body.get("next-token")
            if not token:
                return found
        raise MachineError(f"list of machines has over {MAX_PAGES} pages")

    def move(self, machine: str, pool: str, holder: str, token: int) -> None:
        """Move a machine to another pool; raise MachineError."""
        self._call("POST", PATH_MOVE, {"machine": machine, "pool": pool}, _lease(holder, token))

    def upkeep(self, machine: str, wave: int, holder: str, token: int) -> None:
        """Start the upkeep of a machine; raise MachineError."""
        self._call("POST", PATH_UPKEEP, {"machine": machine, "wave": wave}, _lease(holder, token))

    def _call(self, method: str, path: str, body: Any, headers: dict[str, str]) -> Any:
        try:
            answer = self._client.call(method, path, body, headers)
        except CallError as exc:
            raise MachineError(f"{path}: {exc.detail}") from exc
        if answer.status == STATUS_OK:
            return answer.body
        if answer.status == STATUS_MISSING:
            raise MachineRefusedError("missing")
        if answer.status == STATUS_CONFLICT and isinstance(answer.body, dict):
            raise MachineRefusedError(str(answer.body.get("reason", "")))
        raise MachineError(f"{path}: status {answer.status}")


class HttpAdvisor:
    """Reach the service that tells which workers may run a step."""

    def __init__(self, client: Client) -> None:
        self._client = client

    def allowed(self, step: str, workers: Sequence[str]) -> Mapping[str, str]:
        """Return a permit for each worker that may run the step; raise AdviceError."""
        body = {"step": step, "workers": list(workers[:MAX_ADVISED])}
        try:
            answer = self._client.call("POST", PATH_ADVISE, body)
        except CallError as exc:
            raise AdviceError(f"{step}: {exc.detail}") from exc
        rows = answer.body.get("allowed") if isinstance(answer.body, dict) else None
        if answer.status != STATUS_OK or not isinstance(rows, list):
            raise AdviceError(f"{step}: status {answer.status}")
        return {str(row[0]): str(row[1]) for row in rows if len(row) > 1}


def _lease(holder: str, token: int) -> dict[str, str]:
    return {HEADER_HOLDER: holder, HEADER_TOKEN: str(token)}


def _machine(raw: dict[str, Any]) -> Machine:
    return Machine(
        str(raw.get("machine", "")),
        str(raw.get("pool", "")),
        _state(raw.get("state")),
        str(raw.get("zone", "")),
        str(raw.get("id") or ""),
        tuple(str(label) for label in raw.get("labels") or ()),
    )


def _state(raw: Any) -> MachineState:
    """Return a machine's state; one that is not known serves nobody."""
    try:
        return MachineState(raw)
    except ValueError:
        return MachineState.DOWN
