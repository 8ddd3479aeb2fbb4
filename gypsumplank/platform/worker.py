"""Send leases and task orders to workers over the platform's HTTP API."""

import itertools
import threading
from collections import OrderedDict
from typing import Any

import msgspec

from gypsumplank.errors import (
    CallError,
    EntryInvalidError,
    WorkerRefusedError,
    WorkerUnknownError,
)
from gypsumplank.platform.client import Client, Response, find_count
from gypsumplank.protocol.decoder import Count, Finite, Int, convert
from gypsumplank.protocol.worker import (
    EndedTask,
    EndKind,
    RunningTask,
    StartCommand,
    StartRefusal,
    WorkerEntry,
    WorkerReport,
)
from gypsumplank.settings import check_host_address
from gypsumplank.state.clock import Clock, SystemClock

PATH_HOLD = "/api/hold"
PATH_START = "/api/run-start"
PATH_STOP = "/api/run-stop"
PATH_PACE = "/api/pace"
# Names the worker instance that an order is for; each start of a worker is a new instance.
HEADER_INSTANCE = "X-Gypsumplank-Expected-Instance"
CONFLICT = "conflict"
MAX_REASON_CHARS = 100
# A checkpoint is stored in its step's row, with those of the step's other tasks.
MAX_CHECKPOINT_CHARS = 4000
STATUS_OK = 200
STATUS_CONFLICT = 409
STATUS_OTHER_INSTANCE = 421
STATUS_BAD_REQUEST = 400
STATUSES_UNHEALTHY = (429, 503)
# Added to the requested wait; a healthy worker responds within milliseconds after it.
HOLD_TIMEOUT_S = 0.8
ORDER_TIMEOUT_S = 0.3
# Ends that one report lists; the platform states it.
MAX_LISTED_ENDS = 500
# Most connections kept to one worker; one carries the long poll for ended tasks, the others carry
# orders.
CONNECTIONS_PER_WORKER = 16
# Most connections kept to all workers.
MAX_KEPT_CONNECTIONS = 1600
# Time without calls after which the connections to a worker are closed, seconds; one that runs
# tasks is polled all the time.
IDLE_TIMEOUT_S = 60.0


class WireRun(msgspec.Struct, array_like=True):
    """Represent a run in progress; `load` may be missing."""

    name: str
    run: Count
    checkpoint: str
    percent: Int | Finite
    load: Int | Finite | None = None


class WireEnd(msgspec.Struct, array_like=True):
    """Represent the end of a run."""

    number: Count
    name: str
    run: Count
    kind: EndKind
    checkpoint: str


class WireReport(msgspec.Struct, rename="kebab"):
    """Represent a worker's report; the rows are positional."""

    born: Count
    clock_ms: Count
    running: tuple[WireRun, ...]
    finished: tuple[WireEnd, ...]


class HttpWorkers:
    """Send orders to workers, each over its own connection pool.

    Every method may raise WorkerRefusedError, or WorkerUnknownError if the outcome is unknown. The
    pools of workers that are gone are closed. Connections that are not in use are kept up to
    `max_connections` in total; the more workers there are, the fewer each.
    """

    def __init__(
        self, clock: Clock | None = None, max_connections: int = MAX_KEPT_CONNECTIONS
    ) -> None:
        self._clock = clock or SystemClock()
        self._max_connections = max(1, max_connections)
        self._connections_per_worker = min(CONNECTIONS_PER_WORKER, self._max_connections)
        self._clients: OrderedDict[str, Client] = OrderedDict()
        self._used_at: dict[str, float] = {}
        self._lock = threading.Lock()

    def poll(
        self, worker: WorkerEntry, token: int, until_ms: int | None, ack: int, wait_s: float
    ) -> WorkerReport:
        """Renew the leases of all tasks, acknowledge ends up to `ack`, wait for a new end."""
        body: dict[str, Any] = {"fencing-token": token, "ack-cursor": ack}
        if until_ms is not None:
            body["deadline-ms"] = until_ms
        if wait_s:
            body["wait-ms"] = int(wait_s * 1000)
        resp = self._call(worker, PATH_HOLD, body, HOLD_TIMEOUT_S - ORDER_TIMEOUT_S + wait_s)
        try:
            return _decode_report(resp.body)
        except EntryInvalidError as exc:
            raise WorkerUnknownError(f"malformed report from {worker.id}: {exc.detail}") from exc

    def start(self, worker: WorkerEntry, order: StartCommand) -> int:
        """Start a task; return the worker's clock in ms, 0 if the response lacks it."""
        body: dict[str, Any] = {
            "task": order.name,
            "run": order.run,
            "spec": order.spec,
            "deadline-ms": order.until_ms,
            "fencing-token": order.token,
        }
        if order.checkpoint:
            body["checkpoint"] = order.checkpoint
        if order.permit:
            body["ticket"] = order.permit
        resp = self._call(worker, PATH_START, body, 0.0)
        return find_count(resp.body, "clock-ms") or 0

    def stop(self, worker: WorkerEntry, name: str, run: int, token: int) -> None:
        """Stop a run; make the worker refuse a start that arrives later."""
        self._call(worker, PATH_STOP, {"task": name, "run": run, "fencing-token": token}, 0.0)

    def set_speed_limit(
        self, worker: WorkerEntry, name: str, run: int, percent: int, token: int
    ) -> None:
        """Set a run's speed in percent of its full speed."""
        body = {"task": name, "run": run, "percent": percent, "fencing-token": token}
        self._call(worker, PATH_PACE, body, 0.0)

    def _call(self, worker: WorkerEntry, path: str, body: Any, extra_timeout_s: float) -> Response:
        headers = {HEADER_INSTANCE: worker.id}
        try:
            client = self._client(worker.address)
        except EntryInvalidError as exc:
            detail = f"{worker.id}{path}: {exc.detail}"
            raise WorkerRefusedError(StartRefusal.UNREACHABLE, detail) from exc
        try:
            resp = client.call("POST", path, body, headers, extra_timeout_s)
        except CallError as exc:
            detail = f"{worker.id}{path}: {exc.detail}"
            if not exc.sent:
                raise WorkerRefusedError(StartRefusal.UNREACHABLE, detail) from exc
            raise WorkerUnknownError(detail) from exc
        if resp.status == STATUS_OK:
            return resp
        reason = _refusal_reason(resp)
        if reason is None:
            raise WorkerUnknownError(f"{worker.id}{path}: status {resp.status}")
        raise WorkerRefusedError(reason, f"{worker.id}{path}: {reason}")

    def _client(self, address: str) -> Client:
        now = self._clock.monotonic()
        with self._lock:
            if address not in self._clients:
                if problem := check_host_address(address):
                    raise EntryInvalidError(problem)
                self._make_room(now)
                self._clients[address] = Client(
                    address, ORDER_TIMEOUT_S, self._connections_per_worker
                )
            self._clients.move_to_end(address)
            self._used_at[address] = now
            return self._clients[address]

    def _make_room(self, now: float) -> None:
        """Drop clients that are idle or too large, so that one more keeps to the limit.

        The connections of a client are closed once no call uses it any more.
        """
        idle = itertools.takewhile(
            lambda address: now - self._used_at[address] > IDLE_TIMEOUT_S, self._clients
        )
        for address in list(idle):
            self._drop(address)
        if len(self._clients) >= self._max_connections:
            self._drop(next(iter(self._clients)))
        workers = len(self._clients) + 1
        if workers * self._connections_per_worker > self._max_connections:
            while workers * self._connections_per_worker > self._max_connections:
                self._connections_per_worker //= 2
            self._clients.clear()
            self._used_at.clear()

    def _drop(self, address: str) -> None:
        del self._clients[address], self._used_at[address]


def _refusal_reason(resp: Response) -> str | None:
    if resp.status == STATUS_OTHER_INSTANCE:
        return StartRefusal.OTHER_INSTANCE
    if resp.status == STATUS_BAD_REQUEST:
        return StartRefusal.INVALID
    if resp.status in STATUSES_UNHEALTHY:
        return StartRefusal.UNHEALTHY
    if resp.status == STATUS_CONFLICT and isinstance(resp.body, dict):
        reason = resp.body.get("reason")
        return reason if isinstance(reason, str) and len(reason) <= MAX_REASON_CHARS else CONFLICT
    return None


def _decode_report(body: Any) -> WorkerReport:
    wire = convert(body, WireReport)
    running = tuple(
        RunningTask(
            row.name, row.run, _bounded(row.checkpoint), int(row.percent), int(row.load or 0)
        )
        for row in wire.running
    )
    ended = tuple(
        EndedTask(row.number, row.name, row.run, row.kind, _bounded(row.checkpoint))
        for row in wire.finished
    )
    ends_complete = len(ended) < MAX_LISTED_ENDS
    return WorkerReport(wire.born, wire.clock_ms, running, ended, ends_complete)


def _bounded(checkpoint: str) -> str:
    """Return a checkpoint; one that is too long to be stored counts as none."""
    return checkpoint if len(checkpoint) <= MAX_CHECKPOINT_CHARS else ""
