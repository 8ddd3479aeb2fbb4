"""Stand in for endpoints: run requests in slots and keep a log of what ran."""

import argparse
import threading
import time
from dataclasses import dataclass, replace

import msgspec

from standins.server import Handler, Server, open_server, serve_all

SLOTS = 8
TEXT_TYPE = "text/plain"
HEADER_ID = "X-Request-Id"
HEADER_WORK_MS = "X-Work-Ms"
HEADER_KEY = "Idempotency-Key"


@dataclass(frozen=True)
class Fault:
    """Hold what goes wrong with the next requests: a mode of `MODES` and how many."""

    mode: str = ""
    times: int = 0
    delay_s: float = 0.0


@dataclass(frozen=True)
class Run:
    """Hold one request that ran."""

    id: str
    key: str
    method: str
    path: str
    finished: bool


class Worker:
    """Hold the slots, faults and log of one endpoint."""

    def __init__(self, slots: int = SLOTS) -> None:
        self.slots = threading.Semaphore(slots)
        self.lock = threading.Lock()
        self.fault = Fault()
        self.runs: list[Run] = []
        self.connections = 0
        self.most_connections = 0
        self.busy = 0
        self.most_busy = 0

    def next_fault(self) -> Fault:
        """Return what goes wrong with this request."""
        with self.lock:
            fault = self.fault
            if fault.times <= 0:
                return Fault()
            self.fault = replace(fault, times=fault.times - 1)
            return fault


class WorkerHandler(Handler):
    """Run one request after another of a connection."""

    worker: Worker

    def handle(self) -> None:
        """Count the connection while it is open."""
        worker = self.worker
        with worker.lock:
            worker.connections += 1
            worker.most_connections = max(worker.most_connections, worker.connections)
        try:
            super().handle()
        finally:
            with worker.lock:
                worker.connections -= 1

    def do_GET(self) -> None:  # noqa: N802
        """Run a request, or show the log."""
        if self.path == "/_runs":
            self.answer(200, msgspec.json.encode(self.worker.runs))
        elif self.path == "/_stats":
            worker = self.worker
            self.answer(
                200,
                msgspec.json.encode(
                    {
                        "connections": worker.connections,
                        "most_connections": worker.most_connections,
                        "busy": worker.busy,
                        "most_busy": worker.most_busy,
                        "runs": len(worker.runs),
                    }
                ),
            )
        else:
            self._serve(self.body())

    def do_POST(self) -> None:  # noqa: N802
        """Run a request, or set a fault."""
        body = self.body()
        if self.path == "/_fault":
            with self.worker.lock:
                self.worker.fault = msgspec.json.decode(body, type=Fault)
            self.answer(200)
            return
        self._serve(body)

    do_PUT = do_POST  # noqa: N815
    do_DELETE = do_POST  # noqa: N815
    do_PATCH = do_POST  # noqa: N815
    do_HEAD = do_GET  # noqa: N815

    def _serve(self, body: bytes) -> None:
        fault = self.worker.next_fault()
        if fault.mode == "reset-before":
            self.reset()
            return
        if fault.mode == "fail":
            self.answer(500, b"failed", TEXT_TYPE, self._identity())
            return
        self._work(body)
        if fault.delay_s:
            time.sleep(fault.delay_s)
        self._answer_with(fault, body or self.path.encode())

    def _work(self, body: bytes) -> None:
        worker = self.worker
        entry = Run(
            self.headers.get(HEADER_ID, ""),
            self.headers.get(HEADER_KEY, ""),
            self.command,
            self.path,
            True,
        )
        with worker.slots:
            with worker.lock:
                worker.busy += 1
                worker.most_busy = max(worker.most_busy, worker.busy)
                worker.runs.append(entry)
            work_ms = float(self.headers.get(HEADER_WORK_MS) or 0)
            if work_ms:
                time.sleep(work_ms / 1000)
            with worker.lock:
                worker.busy -= 1

    def _answer_with(self, fault: Fault, body: bytes) -> None:
        match fault.mode:
            case "reset-after":
                self.reset()
            case "truncate":
                self.answer(200, body[: len(body) // 2], TEXT_TYPE, self._identity(), len(body))
                self.close_connection = True
            case "crossed":
                self.answer(200, b"of another", TEXT_TYPE, ((HEADER_ID, "another-request"),))
            case _:
                self.answer(200, body, TEXT_TYPE, self._identity())

    def _identity(self) -> tuple[tuple[str, str], ...]:
        found = self.headers.get(HEADER_ID)
        return ((HEADER_ID, found),) if found else ()


def make_worker(address: str, slots: int = SLOTS) -> tuple[Server, Worker]:
    """Return a worker and the server that speaks for it."""
    worker = Worker(slots)
    handler = type("BoundHandler", (WorkerHandler,), {"worker": worker})
    return open_server(address, handler), worker


def main() -> None:
    """Serve one or more workers until ended."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--listen", required=True, action="append")
    parser.add_argument("--slots", type=int, default=SLOTS)
    args = parser.parse_args()
    servers = [make_worker(address, args.slots)[0] for address in args.listen]
    serve_all(servers)


if __name__ == "__main__":
    main()
