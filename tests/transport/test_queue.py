import http.client
import json
import socket
import threading
import time

import pytest

from demo.cluster import free_addresses
from gypsumplank.coordination.admission import Admission, Limits
from gypsumplank.protocol.exchange import Answer
from gypsumplank.state.clock import SystemClock
from gypsumplank.transport.caller import CallerApp
from gypsumplank.transport.listener import Listener
from gypsumplank.transport.queue import QueueingDispatcher
from tests.coordination.fleet import FixedCapacity, make_view

WAIT_S = 20.0
THREADS = 12
VIEW = make_view(
    {"proofs": {"pool": "layout", "share": 1.0}, "quotes": {"pool": "quotes", "share": 1.0}}
)


def until(condition):
    end = time.monotonic() + WAIT_S
    while not condition() and time.monotonic() < end:
        time.sleep(0.01)
    assert condition()


class HeldCarrier:
    """Hold every request of one service until told to go on."""

    def __init__(self):
        self.go = threading.Event()
        self.ran = []

    def carry(self, req):
        self.ran.append(req)
        if req.service == "proofs":
            self.go.wait(WAIT_S)
        return Answer(200, (), req.target.encode())


class Server:
    def __init__(self):
        (self.address,) = free_addresses(1)
        self.carrier = HeldCarrier()
        capacity = FixedCapacity({"layout": 2, "quotes": 2})
        limits = Limits(THREADS, waiting=500)
        self.admission = Admission(lambda: VIEW, capacity, SystemClock(), limits)
        app = CallerApp(self.carrier, lambda: VIEW.services, lambda *measured: None)
        queue = QueueingDispatcher(THREADS, self.admission, lambda: VIEW.services)
        self.listener = Listener(app, self.address, queue, 1 << 20, "callers")
        self.listener.start()

    def connect(self):
        host, _, port = self.address.rpartition(":")
        return http.client.HTTPConnection(host, int(port), timeout=WAIT_S)

    def send(self, path, **headers):
        conn = self.connect()
        conn.request("POST", path, b"x", headers)
        return conn

    def expire(self):
        self.admission.tick()
        return self.waiting() == 0

    def waiting(self):
        return self.admission.waiting().get("proofs", 0)


@pytest.fixture
def server():
    held = Server()
    yield held
    held.carrier.go.set()
    held.listener.close(1.0)


def test_waiting_requests_hold_no_thread_and_all_finish(server):
    conns = [server.send(f"/proofs/{i}") for i in range(100)]
    until(lambda: server.waiting() == 98)
    assert server.send("/quotes/1").getresponse().read() == b"/1"
    assert server.send("/nothing").getresponse().status == 200
    server.carrier.go.set()
    assert [conn.getresponse().read() for conn in conns] == [b"/%d" % i for i in range(100)]
    until(lambda: server.admission.demand() == {})


def test_wave_of_hang_ups_frees_every_place_and_runs_nothing(server):
    conns = [server.send(f"/proofs/{i}") for i in range(300)]
    until(lambda: server.waiting() == 298)
    started = {req.target for req in server.carrier.ran}
    for number, conn in enumerate(conns):
        if f"/{number}" not in started:
            conn.close()
    until(lambda: server.waiting() == 0)
    server.carrier.go.set()
    until(lambda: server.admission.demand() == {})
    assert {req.target for req in server.carrier.ran} == started
    assert server.send("/proofs/after").getresponse().read() == b"/after"


def test_refusal_tells_not_run_and_when_to_come_back(server):
    conns = [server.send("/proofs/long") for _ in range(2)]
    until(lambda: len(server.carrier.ran) == 2)
    conn = server.send("/proofs/late", **{"Request-Timeout-Ms": "300"})
    until(lambda: server.waiting() == 1)
    until(server.expire)
    resp = conn.getresponse()
    assert resp.status == 504
    assert int(resp.headers["Retry-After"]) >= 1
    assert json.loads(resp.read())["outcome"] == "not-run"
    assert [req.target for req in server.carrier.ran] == ["/long", "/long"]
    del conns


@pytest.mark.parametrize("value", ["0", "soon"])
def test_malformed_deadline_is_answered_without_a_slot(server, value):
    resp = server.send("/proofs/x", **{"Request-Timeout-Ms": value}).getresponse()
    assert resp.status == 400
    assert server.admission.demand() == {}


def test_pipelined_requests_each_get_their_own_answer(server):
    host, _, port = server.address.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=WAIT_S) as sock:
        sock.sendall(b"".join(b"GET /quotes/%d HTTP/1.1\r\nHost: x\r\n\r\n" % i for i in range(3)))
        seen = b""
        while seen.count(b"HTTP/1.1 200") < 3 or not seen.endswith(b"/2"):
            seen += sock.recv(4096)
    assert seen.index(b"\n/0") < seen.index(b"\n/1") < seen.index(b"\n/2")
    until(lambda: server.admission.demand() == {})
