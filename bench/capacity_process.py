"""Read what a process and the platform's stand-in have used."""

import socket
import subprocess
import sys
import threading
import time
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

import urllib3

from demo.cluster import ROOT, Cluster
from gypsumplank.transport.platform import PlatformClient

KIB = 1024
LARGEST_HEADER = 65_536
NANO = 1_000_000_000
LIBRARIES = (
    "ddsketch",
    "logging",
    "msgspec",
    "opentelemetry.exporter.prometheus",
    "opentelemetry.sdk.metrics",
    "pyjson5",
    "pykka",
    "pynng",
    "pythonjsonlogger.json",
    "urllib3",
    "waitress.server",
)


def cpu_s(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    files = Path(f"/proc/{pid}/task").glob("*/schedstat")
    return sum(int(file.read_text(encoding="utf-8").split()[0]) for file in files) / NANO


def resident_bytes(pid: int | str) -> int:
    """Return the resident memory of a process."""
    lines = Path(f"/proc/{pid}/status").read_text(encoding="utf-8").splitlines()
    (line,) = [line for line in lines if line.startswith("VmRSS")]
    return int(line.split()[1]) * KIB


def imports_bytes(modules: Iterable[str] = LIBRARIES) -> int:
    """Return the resident memory of a process that only imports the daemon's libraries."""
    code = f"import {','.join(modules)}\nprint(open('/proc/self/status').read())"
    done = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, check=True, text=True
    )
    (line,) = [line for line in done.stdout.splitlines() if line.startswith("VmRSS")]
    return int(line.split()[1]) * KIB


def header_bytes(address: str) -> int:
    """Return the bytes of one call of the platform and its answer beside their bodies."""
    host, _, port = address.rpartition(":")
    with socket.create_server((host, 0)) as server:
        client = PlatformClient(f"{host}:{server.getsockname()[1]}", 5.0)
        caller = threading.Thread(target=client.read, args=("/tables/config/rows/head",))
        caller.start()
        conn, _ = server.accept()
        with conn:
            asked = conn.recv(LARGEST_HEADER)
            with socket.create_connection((host, int(port))) as other:
                other.sendall(asked)
                answered = other.recv(LARGEST_HEADER)
            conn.sendall(answered)
            caller.join()
        client.close()
    return len(asked) + answered.index(b"\r\n\r\n") + 4


@dataclass(frozen=True)
class Usage:
    """Hold what has been used up to now: seconds of a processor, calls and bytes of bodies."""

    at: float
    cpu_s: float
    reads: int
    writes: int
    body_bytes: int

    def since(self, earlier: "Usage") -> "Usage":
        """Return what was used since an earlier reading; `at` is the seconds between."""
        return Usage(
            self.at - earlier.at,
            self.cpu_s - earlier.cpu_s,
            self.reads - earlier.reads,
            self.writes - earlier.writes,
            self.body_bytes - earlier.body_bytes,
        )


def read_usage(cluster: Cluster, name: str) -> Usage:
    """Return what a daemon has used, and all calls that the platform has counted."""
    counts = urllib3.request("GET", f"http://{cluster.platform}/stats").json()
    return Usage(
        time.monotonic(),
        cpu_s(cluster.processes[name].pid),
        counts.get("reads", 0),
        counts.get("writes", 0),
        counts.get("reads_bytes", 0) + counts.get("writes_bytes", 0),
    )


def use_over(cluster: Cluster, name: str, seconds: float) -> Usage:
    """Return what a daemon uses over so many seconds."""
    before = read_usage(cluster, name)
    time.sleep(seconds)
    return read_usage(cluster, name).since(before)
