import http.client
import json
import socket
import threading
import time

import pytest

from demo.cluster import free_addresses
from gypsumplank.coordination.admission import Admission, AdmissionLimits
from gypsumplank.protocol.exchange import EndpointResponse
from gypsumplank.state.clock import SystemClock
from gypsumplank.transport.admission import QueueingDispatcher
from gypsumplank.transport.caller import CallerApp
from gypsumplank.transport.listener import Listener
from tests.coordination.fleet import FixedCapacity, make_view

WAIT_TIMEOUT_S = 20.0
THREADS = 12
VIEW = make_view(
    {"proofs": {"pool": "layout", "share": 1.0}, "quotes": {"pool": "quotes", "share": 1.0}}
)


def wait_until(condition):
    deadline = time.monotonic() + WAIT_TIMEOUT_S
    while not condition() and time.monotonic() < deadline:
        time.sleep(0.01)
    assert condition()


class BlockingHandler:
    """Block every request of one service until `resume` is set."""

    def __init__(self):
        self.resume = threading.Event()
        self.handled = []

    def handle(self, req):
        self.handled.append(req)
        if req.service == "proofs":
            self.resume.wait(WAIT_TIMEOUT_S)
        return EndpointResponse(200, (), req.target.encode())


class QueueingServer:
    def __init__(self):
        (self.address,) = free_addresses(1)
        self.handler = BlockingHandler()
        capacity = FixedCapacity({"layout": 2, "quotes": 2})
        limits = AdmissionLimits(THREADS, max_waiting_per_service=500)
        self.admission = Admission(lambda: VIEW, capacity, SystemClock(), limits)
        app = CallerApp(self.handler, lambda: VIEW.services, lambda *measured: None)
        queue = QueueingDispatcher(THREADS, self.admission, lambda: VIEW.services)
        self.listener = Listener(app, self.address, queue, 1 << 20, "callers")
        self.listener.start()

    def connect(self):
        host, _, port = self.address.rpartition(":")
        return http.client.HTTPConnection(host, int(port), timeout=WAIT_TIMEOUT_S)

    def send(self, path, **headers):
        conn = self.connect()
        conn.request("POST", path, b"x", headers)
        return conn

    def expire_waiting(self):
        self.admission.tick()
        return self.waiting() == 0

    def waiting(self):
        return self.admission.waiting().get("proofs", 0)


@pytest.fixture
def server():
    running_server = QueueingServer()
    yield running_server
    running_server.handler.resume.set()
    running_server.listener.close(1.0)


def test_waiting_requests_occupy_no_thread_and_all_finish(server):
    conns = [server.send(f"/proofs/{i}") for i in range(100)]
    wait_until(lambda: server.waiting() == 98)
    assert server.send("/quotes/1").getresponse().read() == b"/1"
    assert server.send("/nothing").getresponse().status == 200
    server.handler.resume.set()
    assert [conn.getresponse().read() for conn in conns] == [b"/%d" % i for i in range(100)]
    wait_until(lambda: server.admission.demand() == {})


def test_mass_disconnect_empties_the_queue_and_runs_nothing(server):
    conns = [server.send(f"/proofs/{i}") for i in range(300)]
    wait_until(lambda: server.waiting() == 298)
    started = {req.target for req in server.handler.handled}
    for number, conn in enumerate(conns):
        if f"/{number}" not in started:
            conn.close()
    wait_until(lambda: server.waiting() == 0)
    server.handler.resume.set()
    wait_until(lambda: server.admission.demand() == {})
    assert {req.target for req in server.handler.handled} == started
    assert server.send("/proofs/after").getresponse().read() == b"/after"


def test_expired_request_answers_504_not_run_with_retry_after(server):
    conns = [server.send("/proofs/long") for _ in range(2)]
    wait_until(lambda: len(server.handler.handled) == 2)
    conn = server.send("/proofs/late", **{"Request-Timeout-Ms": "300"})
    wait_until(lambda: server.waiting() == 1)
    wait_until(server.expire_waiting)
    resp = conn.getresponse()
    assert resp.status == 504
    assert int(resp.headers["Retry-After"]) >= 1
    assert json.loads(resp.read())["outcome"] == "not-run"
    assert [req.target for req in server.handler.handled] == ["/long", "/long"]
    del conns


@pytest.mark.parametrize("value", ["0", "soon"])
def test_malformed_timeout_answers_400_without_a_slot(server, value):
    resp = server.send("/proofs/x", **{"Request-Timeout-Ms": value}).getresponse()
    assert resp.status == 400
    assert server.admission.demand() == {}


def test_pipelined_requests_are_answered_in_order(server):
    host, _, port = server.address.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=WAIT_TIMEOUT_S) as sock:
        sock.sendall(b"".join(b"GET /quotes/%d HTTP/1.1\r\nHost: x\r\n\r\n" % i for i in range(3)))
        received = b""
        while received.count(b"HTTP/1.1 200") < 3 or not received.endswith(b"/2"):
            received += sock.recv(4096)
    assert received.index(b"\n/0") < received.index(b"\n/1") < received.index(b"\n/2")
    wait_until(lambda: server.admission.demand() == {})
