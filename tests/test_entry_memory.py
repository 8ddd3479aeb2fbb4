"""Test that incomplete requests cannot exhaust the memory of a daemon's process.

Few connections are used, with limits lowered to match: the checks are the memory, the descriptors
and one ordinary request, never a time.
"""

import contextlib
import json
import selectors
import socket
import time
from pathlib import Path

import pytest
import urllib3

from demo.job import HOST_HEADER, PREFIX, JobCluster
from gypsumplank.composition.platform import METRICS_PORT

pytestmark = pytest.mark.process

KIB = 1 << 10
MIB = 1 << 20
# The lowered limits: platformd's budget for incomplete requests is an eighth of `memory-mb`.
BUDGET_BYTES = 2 * MIB
MEMORY_MB = 8 * BUDGET_BYTES // MIB
# For the connections' own state, complete requests (bound: another budget) and the allocator.
ALLOWANCE_BYTES = 6 * MIB
GROWTH_BOUND_BYTES = BUDGET_BYTES + ALLOWANCE_BYTES
CONNECTIONS = 80
# Each connection needs one descriptor; the rest covers the daemon's calls to the platform.
SPARE_DESCRIPTORS = 32
BODY_BYTES = 250_000
MAX_BODY_BYTES = 1 << 18
# Of ten requests, this many stop one byte before their end and leave the connection open.
INCOMPLETE_OF_TEN = 8
# Guards against a hang only.
HANG_TIMEOUT_S = 120.0


def head(*fields):
    lines = [f"POST {PREFIX}{'0' * 16} HTTP/1.1", f"Host: {HOST_HEADER}", *fields]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def chunked_body(chunk_bytes):
    chunk = b"%x\r\n" % chunk_bytes + b"x" * chunk_bytes + b"\r\n"
    wire = head("Transfer-Encoding: chunked") + chunk * (150_000 // chunk_bytes)
    return wire + b"0\r\n\r\n"


def plain_body():
    return head(f"Content-Length: {BODY_BYTES}") + b"x" * BODY_BYTES


def chunk_extension():
    return head("Transfer-Encoding: chunked") + b"1;a=" + b"x" * BODY_BYTES + b"\r\nx\r\n0\r\n\r\n"


def long_header():
    return head(*(f"X-Filler-{number}: {'x' * 990}" for number in range(200)))


# Name, content of one request, bytes sent on a connection before the next one's turn.
LOADS = [
    pytest.param(chunked_body(64 * KIB - 1024), 64 * KIB, id="chunked-in-large-chunks"),
    pytest.param(chunked_body(8), 16 * KIB, id="chunked-in-tiny-chunks"),
    pytest.param(chunk_extension(), 16 * KIB, id="chunk-extension"),
    pytest.param(plain_body(), MIB, id="legal-size-whole"),
    pytest.param(plain_body(), 4 * KIB, id="legal-size-in-pieces"),
    pytest.param(long_header(), 16 * KIB, id="headers-above-the-limit"),
]


def send_load(stack, addresses, wire, piece_bytes):
    """Send the requests side by side; leave open what the daemon doesn't close."""
    pending = {}
    selector = stack.enter_context(selectors.DefaultSelector())
    for number in range(CONNECTIONS):
        host, _, port = addresses[number % len(addresses)].rpartition(":")
        sock = stack.enter_context(socket.create_connection((host, int(port)), HANG_TIMEOUT_S))
        sock.setblocking(False)
        complete = number % 10 >= INCOMPLETE_OF_TEN
        pending[sock] = memoryview(wire if complete else wire[:-1])
        selector.register(sock, selectors.EVENT_WRITE)
    deadline = time.monotonic() + HANG_TIMEOUT_S
    while pending and time.monotonic() < deadline:
        for key, _ in selector.select(1.0):
            sock = key.fileobj
            try:
                pending[sock] = pending[sock][sock.send(pending[sock][:piece_bytes]) :]
            except BlockingIOError:
                continue
            except OSError:
                pending[sock] = memoryview(b"")
            if not pending[sock]:
                selector.unregister(sock)
                del pending[sock]
    assert not pending, "the daemon neither reads nor closes"


class Watched:
    """Compare a daemon's memory and descriptors with those of the idle process."""

    def __init__(self, process):
        self._process = process
        self._folder = Path(f"/proc/{process.pid}")
        self._idle_bytes = self._status_bytes("VmRSS")
        self._idle_descriptors = self._descriptors()
        # Makes the kernel count the peak from now on.
        (self._folder / "clear_refs").write_text("5", encoding="ascii")

    def _status_bytes(self, field):
        lines = (self._folder / "status").read_text(encoding="ascii").splitlines()
        return next(int(line.split()[1]) * KIB for line in lines if line.startswith(field))

    def _descriptors(self):
        return len(list((self._folder / "fd").iterdir()))

    def settled_growth(self):
        """Return the growth of the peak, once the daemon has read what was sent."""
        deadline = time.monotonic() + HANG_TIMEOUT_S
        peak, unchanged = 0, 0
        while unchanged < 4 and time.monotonic() < deadline:
            time.sleep(0.5)
            last, peak = peak, self._status_bytes("VmHWM")
            unchanged = unchanged + 1 if peak == last else 0
        return peak - self._idle_bytes

    def check(self):
        growth = self.settled_growth()
        assert self._process.poll() is None
        assert growth <= GROWTH_BOUND_BYTES, f"grew by {growth / MIB:.1f} MiB"
        assert self._descriptors() <= self._idle_descriptors + CONNECTIONS + SPARE_DESCRIPTORS


def ask(method, url, **options):
    return urllib3.request(
        method, url, headers={"Host": HOST_HEADER}, retries=False, timeout=HANG_TIMEOUT_S, **options
    )


def check_load(process, addresses, wire, piece_bytes, ask_ordinary):
    for _ in range(20):
        ask_ordinary()
    watched = Watched(process)
    with contextlib.ExitStack() as stack:
        send_load(stack, addresses, wire, piece_bytes)
        ask_ordinary()
        watched.check()
        ask_ordinary()


@pytest.mark.parametrize(("wire", "piece_bytes"), LOADS)
def test_platform_daemon_survives_requests_that_do_not_end(tmp_path, wire, piece_bytes):
    """Guard against a daemon whose machine's memory is used up by bodies that never end."""
    with JobCluster(tmp_path) as cluster:
        cluster.start_users_platform()
        callers = cluster.start_entry(0)
        path = tmp_path / "entry-0.json"
        settings = json.loads(path.read_text())
        settings["limits"]["memory-mb"] = MEMORY_MB
        path.write_text(json.dumps(settings))
        assert cluster.stop("entry-0") == 0
        cluster.restart_entry("entry-0")
        cluster.wait_http(f"http://{settings['listen']['ready']}/api/readyz")
        addresses = [callers, settings["listen"]["ready"], f"{settings['ip']}:{METRICS_PORT}"]

        def ask_ordinary():
            assert ask("GET", f"http://{callers}{PREFIX}").status == 200

        check_load(cluster.processes["entry-0"], addresses, wire, piece_bytes, ask_ordinary)


@pytest.mark.parametrize(("wire", "piece_bytes"), LOADS)
def test_daemon_survives_requests_that_do_not_end(cluster, wire, piece_bytes):
    """Guard against the same with callers and operators of gypsumplankd."""
    cluster.start_platform()
    limits = {"max_body_bytes": MAX_BODY_BYTES, "incomplete_bytes": BUDGET_BYTES}
    cluster.start_daemon("entry-0", "kochi-a", limits=limits)
    addresses = [cluster.callers("entry-0"), cluster.operators("entry-0")]

    def ask_ordinary():
        url = f"http://{addresses[0]}/nothing/here"
        assert ask("POST", url, body=b"order").status == 404

    check_load(cluster.processes["entry-0"], addresses, wire, piece_bytes, ask_ordinary)
