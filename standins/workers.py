"""Simulate endpoints: execute requests in a bounded number of slots and log each of them."""

import argparse
import threading
import time
from dataclasses import dataclass, replace

import msgspec

from standins.server import Handler, Server, open_server, serve_all

DEFAULT_SLOTS = 8
TEXT_TYPE = "text/plain"
HEADER_REQUEST_ID = "X-Request-Id"
HEADER_WORK_MS = "X-Work-Ms"
HEADER_IDEMPOTENCY_KEY = "Idempotency-Key"


@dataclass(frozen=True)
class Fault:
    """Describe a fault of the next `times` requests; `delay_s` delays their responses.

    Modes: `fail` and `reset-before` respond 500 or reset the connection without executing the
    request. `reset-after`, `truncate` and `crossed` execute it, then reset the connection, cut
    the body in half or send another request's response. With an empty mode only the delay applies.
    """

    mode: str = ""
    times: int = 0
    delay_s: float = 0.0


@dataclass(frozen=True)
class ExecutedRequest:
    """Record one request that was executed."""

    id: str
    key: str
    method: str
    path: str
    finished: bool


class Worker:
    """Store the slots, the fault, the counters and the request log of one endpoint."""

    def __init__(self, slots: int = DEFAULT_SLOTS) -> None:
        self.slots = threading.Semaphore(slots)
        self.lock = threading.Lock()
        self.fault = Fault()
        self.executed: list[ExecutedRequest] = []
        self.connections = 0
        self.peak_connections = 0
        self.active_requests = 0
        self.peak_active_requests = 0

    def take_fault(self) -> Fault:
        """Return the fault of the current request and count it as used."""
        with self.lock:
            fault = self.fault
            if fault.times <= 0:
                return Fault()
            self.fault = replace(fault, times=fault.times - 1)
            return fault


class WorkerHandler(Handler):
    """Execute the requests of one connection in order."""

    worker: Worker

    def handle(self) -> None:
        """Handle a connection and count it while it is open."""
        worker = self.worker
        with worker.lock:
            worker.connections += 1
            worker.peak_connections = max(worker.peak_connections, worker.connections)
        try:
            super().handle()
        finally:
            with worker.lock:
                worker.connections -= 1

    def do_GET(self) -> None:  # noqa: N802
        """Execute a request, or return the request log or the counters."""
        if self.path == "/_runs":
            self.respond(200, msgspec.json.encode(self.worker.executed))
        elif self.path == "/_stats":
            worker = self.worker
            self.respond(
                200,
                msgspec.json.encode(
                    {
                        "connections": worker.connections,
                        "most_connections": worker.peak_connections,
                        "busy": worker.active_requests,
                        "most_busy": worker.peak_active_requests,
                        "runs": len(worker.executed),
                    }
                ),
            )
        else:
            self._handle_request(self.read_body())

    def do_POST(self) -> None:  # noqa: N802
        """Execute a request, or set the fault."""
        body = self.read_body()
        if self.path == "/_fault":
            with self.worker.lock:
                self.worker.fault = msgspec.json.decode(body, type=Fault)
            self.respond(200)
            return
        self._handle_request(body)

    do_PUT = do_POST  # noqa: N815
    do_DELETE = do_POST  # noqa: N815
    do_PATCH = do_POST  # noqa: N815
    do_HEAD = do_GET  # noqa: N815

    def _handle_request(self, body: bytes) -> None:
        fault = self.worker.take_fault()
        if fault.mode == "reset-before":
            self.reset_connection()
            return
        if fault.mode == "fail":
            self.respond(500, b"failed", TEXT_TYPE, self._request_id_header())
            return
        self._execute(body)
        if fault.delay_s:
            time.sleep(fault.delay_s)
        self._send_result(fault, body or self.path.encode())

    def _execute(self, body: bytes) -> None:
        worker = self.worker
        entry = ExecutedRequest(
            self.headers.get(HEADER_REQUEST_ID, ""),
            self.headers.get(HEADER_IDEMPOTENCY_KEY, ""),
            self.command,
            self.path,
            True,
        )
        with worker.slots:
            with worker.lock:
                worker.active_requests += 1
                worker.peak_active_requests = max(
                    worker.peak_active_requests, worker.active_requests
                )
                worker.executed.append(entry)
            work_ms = float(self.headers.get(HEADER_WORK_MS) or 0)
            if work_ms:
                time.sleep(work_ms / 1000)
            with worker.lock:
                worker.active_requests -= 1

    def _send_result(self, fault: Fault, body: bytes) -> None:
        match fault.mode:
            case "reset-after":
                self.reset_connection()
            case "truncate":
                self.respond(
                    200, body[: len(body) // 2], TEXT_TYPE, self._request_id_header(), len(body)
                )
                self.close_connection = True
            case "crossed":
                self.respond(
                    200, b"of another", TEXT_TYPE, ((HEADER_REQUEST_ID, "another-request"),)
                )
            case _:
                self.respond(200, body, TEXT_TYPE, self._request_id_header())

    def _request_id_header(self) -> tuple[tuple[str, str], ...]:
        request_id = self.headers.get(HEADER_REQUEST_ID)
        return ((HEADER_REQUEST_ID, request_id),) if request_id else ()


def make_worker(address: str, slots: int = DEFAULT_SLOTS) -> tuple[Server, Worker]:
    """Return an HTTP server and the worker behind it."""
    worker = Worker(slots)
    handler = type("BoundHandler", (WorkerHandler,), {"worker": worker})
    return open_server(address, handler), worker


def main() -> None:
    """Serve one worker per `--listen` address."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--listen", required=True, action="append")
    parser.add_argument("--slots", type=int, default=DEFAULT_SLOTS)
    args = parser.parse_args()
    servers = [make_worker(address, args.slots)[0] for address in args.listen]
    serve_all(servers)


if __name__ == "__main__":
    main()
