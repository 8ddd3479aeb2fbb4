"""Measure what a daemon and the kernel hold of what clients send and do not read."""

import socket
import time
from pathlib import Path

import urllib3

from demo.job import HOST_HEADER

KIB = 1 << 10
MIB = 1 << 20
# Guards against a hang only.
HANG_TIMEOUT_S = 120.0
SAMPLE_INTERVAL_S = 0.1
# A crowd has done what it can once nothing was sent, closed or held anew for this long.
QUIET_S = 2.0
# Bounds a crowd that the daemon reads without end.
MAX_CROWD_S = 20.0
TCP_LISTEN = "0A"


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


def run_crowd(crowd, meter):
    """Send until nothing moves, or the time of a crowd is over."""
    started_s = moved_s = sampled_s = time.monotonic()
    while (now_s := time.monotonic()) < min(moved_s + QUIET_S, started_s + MAX_CROWD_S):
        if crowd.step():
            moved_s = now_s
        if now_s >= sampled_s + SAMPLE_INTERVAL_S:
            sampled_s = now_s
            if meter.sample():
                moved_s = now_s
