import threading
import time
from concurrent.futures import ThreadPoolExecutor
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

import pytest

from gypsumplank.platform.worker import IDLE_TIMEOUT_S, HttpWorkers
from gypsumplank.protocol.job import Resources
from gypsumplank.protocol.worker import StartCommand, WorkerEntry, WorkerState
from gypsumplank.state.clock import ManualClock

RESPONSE = b'{"clock-ms":1}'
ORDER = StartCommand("a.0.0.0", 1, "100", 4000, 3)
PARALLEL_CALLS = 4
WAIT_S = 10.0


class WorkerServer(ThreadingHTTPServer):
    """Serve one worker; count the open connections of all such servers."""

    open_connections = 0
    lock = threading.Lock()
    daemon_threads = True

    def __init__(self):
        super().__init__(("127.0.0.1", 0), WorkerHandler)
        # While it is set, calls wait until that many are in flight.
        self.barrier = None
        self.in_call = threading.Event()
        self.may_respond = threading.Event()
        self.may_respond.set()
        threading.Thread(target=self.serve_forever, args=(0.01,), daemon=True).start()

    def entry(self, name):
        address = f"127.0.0.1:{self.server_address[1]}"
        return WorkerEntry(name, "desk", address, "z", WorkerState.READY, Resources(1, 1))


class WorkerHandler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def setup(self):
        super().setup()
        with WorkerServer.lock:
            WorkerServer.open_connections += 1

    def finish(self):
        super().finish()
        with WorkerServer.lock:
            WorkerServer.open_connections -= 1

    def do_POST(self):
        self.rfile.read(int(self.headers["Content-Length"]))
        if self.server.barrier is not None:
            self.server.barrier.wait(WAIT_S)
        self.server.in_call.set()
        self.server.may_respond.wait(WAIT_S)
        self.send_response(200)
        self.send_header("Content-Length", str(len(RESPONSE)))
        self.end_headers()
        self.wfile.write(RESPONSE)

    def log_message(self, *args):
        pass


@pytest.fixture
def make_server(monkeypatch):
    monkeypatch.setattr("gypsumplank.platform.worker.ORDER_TIMEOUT_S", WAIT_S)
    WorkerServer.open_connections = 0
    servers = []

    def make():
        servers.append(WorkerServer())
        return servers[-1]

    yield make
    for server in servers:
        server.shutdown()
        server.server_close()


def call_in_parallel(workers, server, name, calls=PARALLEL_CALLS):
    """Start tasks on a worker over several connections at once."""
    server.barrier = threading.Barrier(calls)
    with ThreadPoolExecutor(calls) as executor:
        clocks = list(
            executor.map(lambda _: workers.start(server.entry(name), ORDER), range(calls))
        )
    server.barrier = None
    assert clocks == [1] * calls


def has_at_most(connections):
    """Return whether so few connections are open, or are shortly after."""
    deadline = time.monotonic() + WAIT_S
    while WorkerServer.open_connections > connections and time.monotonic() < deadline:
        time.sleep(0.01)
    return WorkerServer.open_connections <= connections


def test_connections_to_workers_that_are_gone_are_closed(make_server):
    clock = ManualClock()
    workers = HttpWorkers(clock)
    for life in range(20):
        call_in_parallel(workers, make_server(), f"w{life}")
        clock.advance(IDLE_TIMEOUT_S / 2)
    # The last three are not idle for long enough.
    assert has_at_most(3 * PARALLEL_CALLS)
    assert len(workers._clients) <= 3


def test_call_in_flight_ends_although_its_worker_counts_as_idle(make_server):
    clock = ManualClock()
    workers = HttpWorkers(clock)
    slow, other = make_server(), make_server()
    slow.may_respond.clear()
    with ThreadPoolExecutor(1) as executor:
        fut = executor.submit(workers.start, slow.entry("w"), ORDER)
        assert slow.in_call.wait(WAIT_S)
        clock.advance(2 * IDLE_TIMEOUT_S)
        workers.start(other.entry("v"), ORDER)
        assert len(workers._clients) == 1
        slow.may_respond.set()
        assert fut.result(WAIT_S) == 1
    assert has_at_most(1)


def test_connections_to_a_worker_in_use_are_kept(make_server):
    clock = ManualClock()
    workers = HttpWorkers(clock)
    server = make_server()
    call_in_parallel(workers, server, "w")
    for _ in range(10):
        clock.advance(IDLE_TIMEOUT_S / 2)
        workers.start(server.entry("w"), ORDER)
    assert WorkerServer.open_connections == PARALLEL_CALLS


def test_address_that_another_worker_takes_is_called_again(make_server):
    clock = ManualClock()
    workers = HttpWorkers(clock)
    server, other = make_server(), make_server()
    workers.start(server.entry("w"), ORDER)
    clock.advance(2 * IDLE_TIMEOUT_S)
    workers.start(other.entry("x"), ORDER)
    assert workers.start(server.entry("v"), ORDER) == 1


def test_kept_connections_are_bounded_in_total(make_server):
    workers = HttpWorkers(ManualClock(), max_connections=12)
    servers = [make_server() for _ in range(6)]
    for _ in range(3):
        for number, server in enumerate(servers):
            call_in_parallel(workers, server, f"w{number}")
        assert has_at_most(12)
    # Each worker has one connection at least.
    assert WorkerServer.open_connections >= len(servers)


def test_kept_connections_are_bounded_with_more_workers_than_connections(make_server):
    workers = HttpWorkers(ManualClock(), max_connections=4)
    servers = [make_server() for _ in range(6)]
    for number, server in enumerate(servers):
        call_in_parallel(workers, server, f"w{number}")
    assert has_at_most(4)
    assert workers.start(servers[0].entry("w0"), ORDER) == 1


def test_call_in_flight_ends_although_the_pools_shrink(make_server):
    workers = HttpWorkers(ManualClock(), max_connections=4)
    slow, *others = (make_server() for _ in range(5))
    slow.may_respond.clear()
    with ThreadPoolExecutor(1) as executor:
        fut = executor.submit(workers.start, slow.entry("w"), ORDER)
        assert slow.in_call.wait(WAIT_S)
        for number, server in enumerate(others):
            workers.start(server.entry(f"v{number}"), ORDER)
        slow.may_respond.set()
        assert fut.result(WAIT_S) == 1
