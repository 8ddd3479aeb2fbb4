"""Measure platformd's peak memory under requests that stop just short of their end.

Run `python -m bench.entry_memory`; it starts one daemon with the memory of a small machine and a
stand-in of the users' platform on loopback, once per load, and prints a table.
"""

import contextlib
import json
import selectors
import socket
import sys
import tempfile
import time
from collections.abc import Iterator
from pathlib import Path
from typing import cast

import urllib3
from urllib3.exceptions import HTTPError

from demo.job import HOST_HEADER, PREFIX, JobCluster

MEMORY_MB = 200
MAX_FDS = 4100
KIB = 1 << 10
# Sent on a connection before the next one's turn, bytes.
PIECE_BYTES = 16 * KIB
LOAD_S = 30.0
ASK_INTERVAL_S = 1.0
ASK_TIMEOUT_S = 5.0

HEAD = f"POST {PREFIX}{'0' * 16} HTTP/1.1\r\nHost: {HOST_HEADER}\r\n".encode()
LOADS = (
    ("700 bodies of 261 KB", 700, HEAD + b"Content-Length: 261000\r\n\r\n" + b"x" * 260_999),
    (
        "300 bodies of 100 KB, chunks of one byte",
        300,
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + b"1\r\nx\r\n" * 100_000,
    ),
    ("700 headers of 200 KB", 700, HEAD + b"X-Filler: " + b"x" * 200_000),
)


class Load:
    """Send one request on each connection, side by side, as far as the daemon reads it."""

    def __init__(self, address: str, connections: int, wire: bytes) -> None:
        host, _, port = address.rpartition(":")
        self._selector = selectors.DefaultSelector()
        self._sockets = [socket.socket() for _ in range(connections)]
        self._pending = dict.fromkeys(self._sockets, memoryview(wire))
        self.closed = 0
        for sock in self._sockets:
            sock.setblocking(False)
            sock.connect_ex((host, int(port)))
            self._selector.register(sock, selectors.EVENT_WRITE)

    def step(self) -> None:
        """Send one piece on each connection that takes it."""
        for key, _ in self._selector.select(0.05):
            sock = cast(socket.socket, key.fileobj)
            try:
                sent = sock.send(self._pending[sock][:PIECE_BYTES])
            except BlockingIOError:
                continue
            except OSError:
                self.closed += 1
                self._selector.unregister(sock)
                continue
            self._pending[sock] = self._pending[sock][sent:]
            if not self._pending[sock]:
                self._selector.unregister(sock)

    @property
    def sent(self) -> int:
        """Return on how many connections all was sent."""
        return sum(not rest for rest in self._pending.values())

    def close(self) -> None:
        """Close all connections."""
        self._selector.close()
        for sock in self._sockets:
            sock.close()


@contextlib.contextmanager
def start_daemon(folder: Path) -> Iterator[tuple[str, int]]:
    """Start a daemon with the limits of a small machine; yield its address and process id."""
    with JobCluster(folder) as cluster:
        cluster.start_users_platform()
        address = cluster.start_entry(0)
        path = folder / "entry-0.json"
        settings = json.loads(path.read_text(encoding="utf-8"))
        settings["limits"] = {"max-fds": MAX_FDS, "memory-mb": MEMORY_MB}
        path.write_text(json.dumps(settings), encoding="utf-8")
        cluster.stop("entry-0")
        cluster.restart_entry("entry-0")
        cluster.wait_http(f"http://{settings['listen']['ready']}/api/readyz")
        yield address, cluster.processes["entry-0"].pid


def status_mb(pid: int, field: str) -> float:
    """Return a value of the process's status in MB; 0 if the process has ended."""
    lines = Path(f"/proc/{pid}/status").read_text(encoding="ascii").splitlines()
    return next((int(line.split()[1]) / KIB for line in lines if line.startswith(field)), 0.0)


def ask(address: str) -> float | None:
    """Return how long an ordinary request took, in seconds; None if it was not answered 200."""
    started = time.monotonic()
    try:
        resp = urllib3.request(
            "GET",
            f"http://{address}{PREFIX}",
            headers={"Host": HOST_HEADER},
            retries=False,
            timeout=ASK_TIMEOUT_S,
        )
    except HTTPError:
        return None
    return time.monotonic() - started if resp.status == 200 else None


def measure(name: str, connections: int, wire: bytes) -> str:
    """Run one load and return a line of the table."""
    with tempfile.TemporaryDirectory() as folder, start_daemon(Path(folder)) as (address, pid):
        ask(address)
        idle_mb = status_mb(pid, "VmRSS")
        answers = []
        load = Load(address, connections, wire)
        deadline, next_ask = time.monotonic() + LOAD_S, time.monotonic() + ASK_INTERVAL_S
        while time.monotonic() < deadline:
            load.step()
            if time.monotonic() >= next_ask:
                answers.append(ask(address))
                next_ask = time.monotonic() + ASK_INTERVAL_S
        peak_mb, sent, closed = status_mb(pid, "VmHWM"), load.sent, load.closed
        load.close()
        after = ask(address)
    served = [seconds for seconds in answers if seconds is not None]
    longest = f"{max(served):.2f}" if served else "-"
    afterwards = f"{after:.2f}" if after is not None else "no answer"
    return (
        f"{name:42} {idle_mb:8.0f} {peak_mb:8.0f} {sent:6} {closed:7} "
        f"{len(served):4} of {len(answers):<4} {longest:>8} {afterwards:>10}"
    )


def main() -> None:
    """Print the table."""
    sys.stdout.write(
        f"{'load':42} {'idle MB':>8} {'peak MB':>8} {'sent':>6} {'closed':>7} "
        f"{'served':>12} {'longest s':>8} {'afterwards':>10}\n"
    )
    for load in LOADS:
        sys.stdout.write(f"{measure(*load)}\n")
        sys.stdout.flush()


if __name__ == "__main__":
    main()
