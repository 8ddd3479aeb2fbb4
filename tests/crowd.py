"""Send what clients that don't behave send, and measure what of it a daemon and the kernel hold."""

import selectors
import socket
import time
from pathlib import Path

import urllib3

from demo.job import HOST_HEADER, PREFIX

KIB = 1 << 10
MIB = 1 << 20
# Guards against a hang only.
HANG_TIMEOUT_S = 120.0
SAMPLE_INTERVAL_S = 0.1
# A crowd has done what it can once nothing was sent, closed or held anew for this long.
QUIET_S = 2.0
# Bounds a crowd that the daemon reads without end.
MAX_CROWD_S = 20.0
# Received by a client of a crowd before its own kernel stops the daemon, bytes.
CLIENT_RECEIVE_BYTES = 4096
TCP_LISTEN = "0A"


def head(*fields, method="POST", path=f"{PREFIX}{'0' * 16}"):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST_HEADER}", *fields]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def plain_body(body_bytes):
    return head(f"Content-Length: {body_bytes}") + b"x" * body_bytes


def chunked_body(body_bytes, chunk_bytes):
    chunk = b"%x\r\n" % chunk_bytes + b"x" * chunk_bytes + b"\r\n"
    wire = head("Transfer-Encoding: chunked") + chunk * (body_bytes // chunk_bytes)
    return wire + b"0\r\n\r\n"


def ask(method, url, **options):
    return urllib3.request(
        method, url, headers={"Host": HOST_HEADER}, retries=False, timeout=HANG_TIMEOUT_S, **options
    )


class Meter:
    """Sum up a process's memory and what the kernel holds for its connections."""

    def __init__(self, process, addresses):
        self._process = process
        self._folder = Path(f"/proc/{process.pid}")
        self._addresses = {_hex_address(address) for address in addresses}
        self.peak_bytes = 0
        self.peak_descriptors = 0

    def sample(self):
        """Return whether more is held than ever before."""
        fields = (self._folder / "status").read_text(encoding="ascii").split("VmRSS:")
        # A process that has ended has no memory.
        resident = int(fields[1].split()[0]) * KIB if len(fields) > 1 else 0
        descriptors = len(list((self._folder / "fd").iterdir()))
        self.peak_descriptors = max(self.peak_descriptors, descriptors)
        held_bytes, last_peak = resident + self._kernel_bytes(), self.peak_bytes
        self.peak_bytes = max(held_bytes, last_peak)
        return held_bytes > last_peak

    def _kernel_bytes(self):
        """Return the bytes that were received and not read, or sent and not acknowledged."""
        total = 0
        rows = Path("/proc/net/tcp").read_text(encoding="ascii").splitlines()[1:]
        for row in rows:
            _, local, _, state, queues, *_ = row.split()
            if local in self._addresses and state != TCP_LISTEN:
                total += sum(int(number, 16) for number in queues.split(":"))
        return total

    def check(self, memory_bytes, max_descriptors):
        assert self._process.poll() is None
        assert self.peak_bytes <= memory_bytes, f"held {self.peak_bytes / MIB:.0f} MiB"
        assert self.peak_descriptors <= max_descriptors


def _hex_address(address):
    """Return an IPv4 address as /proc/net/tcp writes it."""
    host, _, port = address.rpartition(":")
    return f"{socket.inet_aton(host)[::-1].hex().upper()}:{int(port):04X}"


class Crowd:
    """Send the same bytes on many connections side by side, leave them open and read nothing."""

    def __init__(self, stack, address, connections, wire, piece_bytes):
        host, _, port = address.rpartition(":")
        self._piece_bytes = piece_bytes
        self._selector = stack.enter_context(selectors.DefaultSelector())
        self._pending = {}
        for _ in range(connections):
            sock = stack.enter_context(socket.socket())
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, CLIENT_RECEIVE_BYTES)
            sock.setblocking(False)
            sock.connect_ex((host, int(port)))
            self._pending[sock] = memoryview(wire)
            self._selector.register(sock, selectors.EVENT_WRITE)

    def run(self, meter):
        """Send until all is sent, or nothing moves, or the time of a crowd is over."""
        started_s = moved_s = sampled_s = time.monotonic()
        while (now_s := time.monotonic()) < min(moved_s + QUIET_S, started_s + MAX_CROWD_S):
            if self._step():
                moved_s = now_s
            if now_s >= sampled_s + SAMPLE_INTERVAL_S:
                sampled_s = now_s
                if meter.sample():
                    moved_s = now_s

    def _step(self):
        """Return whether any connection has sent a piece or was closed."""
        moved = False
        for key, _ in self._selector.select(SAMPLE_INTERVAL_S):
            sock = key.fileobj
            try:
                sent = sock.send(self._pending[sock][: self._piece_bytes])
            except BlockingIOError:
                continue
            except OSError:
                sent = len(self._pending[sock])
            moved = True
            self._pending[sock] = self._pending[sock][sent:]
            if not self._pending[sock]:
                self._selector.unregister(sock)
        return moved
