"""Measure the processor time of calls to a worker, and bursts of them beside a busy thread."""

import http.server
import json
import multiprocessing
import random
import resource
import sys
import threading
import time
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import asdict
from functools import partial
from statistics import median
from typing import Any

import msgspec
import urllib3

from bench.load import quantile
from demo.cluster import ROOT
from gypsumplank.coordination.job.orderqueue import OrderQueue
from gypsumplank.errors import WorkerError
from gypsumplank.platform.worker import HttpWorkers
from gypsumplank.porcelain import format_table
from gypsumplank.protocol.job import Resources
from gypsumplank.protocol.worker import StartCommand, WorkerEntry, WorkerState
from gypsumplank.state.clock import SystemClock

ROUNDS = 3
ALONE_CALLS = 4000
WARM_UP_CALLS = 200
# As many as the dispatcher has sender threads.
SENDERS = 24
STARTS_PER_S = 575
BUSY_S = 3.0
# The thread beside the senders computes and pauses in turn.
COMPUTE_S = 0.02
PAUSE_S = 0.015
BURST_SIZES = (1, 3, 8)
WORKERS = 40
SEED = 1
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


class Burst:
    """Send orders in sender threads while the main thread computes for most of the time."""

    def __init__(self, entries: list[WorkerEntry], is_queued: bool) -> None:
        self.entries = entries
        self.is_queued = is_queued
        self.workers = HttpWorkers()
        self.durations_ms: list[float] = []
        self.failed = 0
        self.senders = ThreadPoolExecutor(SENDERS)
        self.orders = OrderQueue(self._submit, SystemClock())

    def add(self, target: WorkerEntry) -> None:
        """Start a task on a worker."""
        send = partial(self._send, target, time.monotonic())
        if self.is_queued:
            self.orders.add(target.id, send)
        else:
            self.senders.submit(send)

    def _submit(self, work: Callable[[], object]) -> None:
        self.senders.submit(work)

    def _send(self, target: WorkerEntry, added_at: float) -> bool:
        try:
            self.workers.start(target, START)
        except WorkerError:
            self.failed += 1
        self.durations_ms.append((time.monotonic() - added_at) * 1000)
        return True

    def run(self, size: int) -> dict[str, Any]:
        """Add bursts of `size` starts, each for one worker; return the table's row."""
        rng = random.Random(SEED)
        before = accepted_connections(self.entries)
        started, added = time.monotonic(), 0
        while (elapsed_s := time.monotonic() - started) < BUSY_S:
            while added < elapsed_s * STARTS_PER_S:
                target = rng.choice(self.entries)
                for _ in range(size):
                    self.add(target)
                added += size
            compute(COMPUTE_S)
            time.sleep(PAUSE_S)
        while len(self.durations_ms) < added:
            time.sleep(PAUSE_S)
        self.senders.shutdown()
        return {
            "burst": size,
            "order queue": "yes" if self.is_queued else "no",
            "starts": added,
            "failed": self.failed,
            "p50 ms": round(quantile(self.durations_ms, 0.5), 1),
            "p99 ms": round(quantile(self.durations_ms, 0.99), 1),
            "connections": accepted_connections(self.entries) - before,
        }


def accepted_connections(entries: list[WorkerEntry]) -> int:
    """Return how many connections the stand-ins have accepted, without this one."""
    url = f"http://{entries[0].address}/"
    found: dict[str, int] = urllib3.request("GET", url, retries=False).json()
    return found["connections"] - 1


def compute(duration_s: float) -> None:
    """Hold the interpreter lock, as far as other threads do not ask for it."""
    ends_at = time.monotonic() + duration_s
    while time.monotonic() < ends_at:
        sum(range(2000))


def burst_rows(entries: list[WorkerEntry]) -> Iterator[dict[str, Any]]:
    """Yield a row per size of burst, with and without the order queue; rounds are interleaved."""
    for size in BURST_SIZES:
        for _ in range(ROUNDS):
            for is_queued in (False, True):
                yield Burst(entries, is_queued).run(size)


def make_report(ports: list[int]) -> str:
    """Return both tables."""
    entries = [entry(port) for port in ports]
    workers = HttpWorkers()
    alone = format_table(alone_rows(workers, entries[0]))
    busy = format_table(burst_rows(entries))
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
