"""Measure the processor time of calls to a worker, and their delay beside a busy thread."""

import http.server
import json
import multiprocessing
import resource
import sys
import threading
import time
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import asdict
from statistics import median
from typing import Any

import msgspec
import urllib3

from bench.load import quantile
from demo.cluster import ROOT
from gypsumplank.errors import WorkerError
from gypsumplank.platform.worker import HttpWorkers
from gypsumplank.porcelain import format_table
from gypsumplank.protocol.job import Resources
from gypsumplank.protocol.worker import StartCommand, WorkerEntry, WorkerState

ROUNDS = 3
ALONE_CALLS = 4000
WARM_UP_CALLS = 200
# As many as the dispatcher has sender threads.
SENDERS = 24
STARTS_PER_S = 575
BUSY_S = 5.0
WORKERS = 20
START = StartCommand("job-0123456789abcdef-0-1", 1, "1.25", 1_700_000_000_000, 7)
RUNNING = [[f"job-{number:016x}-0", 1, "", 100, 40] for number in range(8)]
REPORT = {"born": 3, "clock-ms": 1_700_000_000_000, "running": RUNNING, "finished": []}


class WorkerHandler(http.server.BaseHTTPRequestHandler):
    """Answer every order with the clock and every poll with a report."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = -1
    connections = 0

    def setup(self) -> None:
        """Count the connection."""
        WorkerHandler.connections += 1
        super().setup()

    def do_GET(self) -> None:
        """Return the number of connections accepted so far."""
        self._answer({"connections": WorkerHandler.connections})

    def do_POST(self) -> None:
        """Read the order and answer it."""
        self.rfile.read(int(self.headers["Content-Length"]))
        self._answer(REPORT if self.path == "/api/hold" else {"clock-ms": 1_700_000_000_000})

    def _answer(self, body: Any) -> None:
        raw = json.dumps(body).encode()
        self.send_response(200)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(raw)))
        self.end_headers()
        self.wfile.write(raw)

    def log_message(self, *_args: Any) -> None:
        """Log nothing."""


class WorkerServer(http.server.ThreadingHTTPServer):
    """Accept the connections of a burst."""

    request_queue_size = 256
    daemon_threads = True


def serve(ports: Any) -> None:
    """Run the stand-ins of all workers in this process; send their ports."""
    servers = [WorkerServer(("127.0.0.1", 0), WorkerHandler) for _ in range(WORKERS)]
    for server in servers:
        threading.Thread(target=server.serve_forever, daemon=True).start()
    ports.put([server.server_address[1] for server in servers])
    threading.Event().wait()


def entry(port: int) -> WorkerEntry:
    """Return the entry of a stand-in worker."""
    room = Resources(64_000, 131_072)
    address = f"127.0.0.1:{port}"
    return WorkerEntry(f"w-{port}", "desk", address, "z", WorkerState.READY, room)


def measure_alone(call: Callable[[], Any]) -> tuple[float, float]:
    """Return the processor time in microseconds and the waits of one call."""
    for _ in range(WARM_UP_CALLS):
        call()
    switches = resource.getrusage(resource.RUSAGE_THREAD).ru_nvcsw
    started = time.thread_time()
    for _ in range(ALONE_CALLS):
        call()
    used_s = time.thread_time() - started
    switches = resource.getrusage(resource.RUSAGE_THREAD).ru_nvcsw - switches
    return used_s / ALONE_CALLS * 1e6, switches / ALONE_CALLS


def alone_rows(workers: HttpWorkers, target: WorkerEntry) -> Iterator[dict[str, Any]]:
    """Yield a row per kind of call; they run one after another, and nothing else runs."""
    http_pool = urllib3.PoolManager(retries=False)
    url, raw = f"http://{target.address}/api/run-start", msgspec.json.encode(asdict(START))
    calls = {
        "urllib3": lambda: http_pool.request("POST", url, body=raw),
        "start": lambda: workers.start(target, START),
        "poll": lambda: workers.poll(target, 7, START.until_ms, 5, 0.0),
    }
    rounds = [{name: measure_alone(call) for name, call in calls.items()} for _ in range(ROUNDS)]
    baseline_us = median(found["urllib3"][0] for found in rounds)
    for name in calls:
        used_us = median(found[name][0] for found in rounds)
        yield {
            "call": name,
            "cpu us": round(used_us),
            "cpu/urllib3": round(used_us / baseline_us, 2),
            "waits/call": round(median(found[name][1] for found in rounds), 1),
        }


def busy_row(workers: HttpWorkers, entries: list[WorkerEntry]) -> dict[str, Any]:
    """Measure starts in sender threads while the main thread computes."""
    durations_ms: list[float] = []
    failures: list[str] = []

    def send(number: int) -> None:
        started = time.monotonic()
        try:
            workers.start(entries[number % len(entries)], START)
        except WorkerError as exc:
            failures.append(exc.detail)
        durations_ms.append((time.monotonic() - started) * 1000)

    connections = workers._client(entries[0].address).call("GET", "/").body["connections"]
    with ThreadPoolExecutor(SENDERS) as senders:
        started, sent = time.monotonic(), 0
        while (now := time.monotonic()) - started < BUSY_S:
            while sent < (now - started) * STARTS_PER_S:
                senders.submit(send, sent)
                sent += 1
            sum(range(2000))
    after = workers._client(entries[0].address).call("GET", "/").body["connections"]
    return {
        "starts": len(durations_ms),
        "failed": len(failures),
        "p50 ms": round(quantile(durations_ms, 0.5), 1),
        "p99 ms": round(quantile(durations_ms, 0.99), 1),
        "sender s": round(sum(durations_ms) / 1000, 1),
        "connections": after - connections,
    }


def make_report(ports: list[int]) -> str:
    """Return both tables."""
    entries = [entry(port) for port in ports]
    workers = HttpWorkers()
    alone = format_table(alone_rows(workers, entries[0]))
    busy = format_table(iter([busy_row(workers, entries) for _ in range(ROUNDS)]))
    return f"{alone}\n\n{SENDERS} senders, {WORKERS} workers, beside a busy thread\n{busy}\n"


def main() -> None:
    """Print the report and write it to docs/measurements."""
    ports: Any = multiprocessing.Queue()
    server = multiprocessing.Process(target=serve, args=(ports,), daemon=True)
    server.start()
    text = make_report(ports.get())
    server.terminate()
    sys.stdout.write(text)
    path = ROOT / "docs" / "measurements" / "calls.txt"
    path.write_text(text, encoding="utf-8")


if __name__ == "__main__":
    main()
