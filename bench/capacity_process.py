"""Read the resource usage of processes and the call counts of the platform stand-in."""

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
from gypsumplank.transport.store import PlatformClient

BYTES_PER_KIB = 1024
MAX_READ_BYTES = 65_536
NS_PER_S = 1_000_000_000
DAEMON_LIBRARIES = (
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


def read_cpu_s(pid: int) -> float:
    """Return the CPU time of a process in seconds, from the schedstat of its threads."""
    files = Path(f"/proc/{pid}/task").glob("*/schedstat")
    return sum(int(file.read_text(encoding="utf-8").split()[0]) for file in files) / NS_PER_S


def resident_bytes(pid: int | str) -> int:
    """Return the resident memory of a process in bytes."""
    lines = Path(f"/proc/{pid}/status").read_text(encoding="utf-8").splitlines()
    (line,) = [line for line in lines if line.startswith("VmRSS")]
    return int(line.split()[1]) * BYTES_PER_KIB


def imports_bytes(modules: Iterable[str] = DAEMON_LIBRARIES) -> int:
    """Return the resident memory in bytes of a process that only imports these modules."""
    code = f"import {','.join(modules)}\nprint(open('/proc/self/status').read())"
    result = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, check=True, text=True
    )
    (line,) = [line for line in result.stdout.splitlines() if line.startswith("VmRSS")]
    return int(line.split()[1]) * BYTES_PER_KIB


def header_bytes(address: str) -> int:
    """Return the size in bytes of the HTTP headers of one platform request and its response.

    The request is captured on a local socket and relayed to the platform at `address`.
    """
    host, _, port = address.rpartition(":")
    with socket.create_server((host, 0)) as server:
        client = PlatformClient(f"{host}:{server.getsockname()[1]}", 5.0)
        reader = threading.Thread(target=client.read, args=("/tables/config/rows/head",))
        reader.start()
        conn, _ = server.accept()
        with conn:
            request = conn.recv(MAX_READ_BYTES)
            with socket.create_connection((host, int(port))) as platform:
                platform.sendall(request)
                response = platform.recv(MAX_READ_BYTES)
            conn.sendall(response)
            reader.join()
        client.close()
    return len(request) + response.index(b"\r\n\r\n") + 4


@dataclass(frozen=True)
class Usage:
    """Store the resource usage at one time: CPU seconds, platform calls and body bytes."""

    time_s: float
    cpu_s: float
    reads: int
    writes: int
    body_bytes: int

    def since(self, earlier: "Usage") -> "Usage":
        """Return the usage since an earlier reading; `time_s` is the seconds in between."""
        return Usage(
            self.time_s - earlier.time_s,
            self.cpu_s - earlier.cpu_s,
            self.reads - earlier.reads,
            self.writes - earlier.writes,
            self.body_bytes - earlier.body_bytes,
        )


def read_usage(cluster: Cluster, name: str) -> Usage:
    """Return a daemon's CPU time and all calls that the platform has counted so far."""
    counts = urllib3.request("GET", f"http://{cluster.platform}/stats").json()
    return Usage(
        time.monotonic(),
        read_cpu_s(cluster.processes[name].pid),
        counts.get("reads", 0),
        counts.get("writes", 0),
        counts.get("reads_bytes", 0) + counts.get("writes_bytes", 0),
    )


def measure_usage(cluster: Cluster, name: str, duration_s: float) -> Usage:
    """Return a daemon's usage over the next `duration_s` seconds."""
    before = read_usage(cluster, name)
    time.sleep(duration_s)
    return read_usage(cluster, name).since(before)
