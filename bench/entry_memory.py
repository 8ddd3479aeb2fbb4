"""Measure what platformd and the kernel hold under crowds of clients that don't behave.

Run `python -m bench.entry_memory`; it starts one daemon with the memory of a small machine and a
stand-in of the users' platform on loopback, once per crowd, and prints a table.
"""

import contextlib
import json
import sys
import tempfile
import time
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

import urllib3
from urllib3.exceptions import HTTPError

from demo.job import HOST_HEADER, PREFIX, JobCluster
from gypsumplank.composition.platform import METRICS_PORT
from standins.crowd import Crowd, Load, chunked_body, head, plain_body
from standins.heldmemory import HeldMemory

MEMORY_MB = 200
MAX_FDS = 4100
MIB = 1 << 20
LOAD_S = 20.0
ASK_INTERVAL_S = 1.0
ASK_TIMEOUT_S = 5.0
METRICS = head(method="GET", path="/metrics")


@dataclass(frozen=True)
class Case:
    """Store a crowd, its name, and whether it is at the address of the metrics."""

    name: str
    load: Load
    at_metrics: bool = False


CASES = (
    Case("700 bodies of 261 KB without their end", Load(700, plain_body(261_000)[:-1])),
    Case("1,900 of these", Load(1900, plain_body(261_000)[:-1])),
    Case("1,900, 200 KB in chunks of one byte", Load(1900, chunked_body(200_000, 1)[:-1])),
    Case("1,900, 260 KB in chunks of 65,000", Load(1900, chunked_body(260_000, 65_000)[:-1])),
    Case("300, pipelined GETs, replies not read", Load(300, head(method="GET") * 20_000)),
    Case("300, pipelined bodies of 60 KB", Load(300, plain_body(60_000) * 20)),
    Case("700 headers of 200 KB", Load(700, head(f"X-Filler: {'x' * 200_000}"))),
    Case("3,500 connections of one byte", Load(3500, b"P")),
    Case("metrics: 100, replies not read", Load(100, METRICS * 2000), at_metrics=True),
)


@dataclass(frozen=True)
class Daemon:
    """Store a running daemon's process id and addresses."""

    pid: int
    callers: str
    metrics: str


@contextlib.contextmanager
def start_daemon(folder: Path) -> Iterator[Daemon]:
    """Start a daemon with the limits of a small machine."""
    with JobCluster(folder) as cluster:
        cluster.limits = {"max-fds": MAX_FDS, "memory-mb": MEMORY_MB}
        cluster.start_users_platform()
        address = cluster.start_entry(0)
        settings = json.loads((folder / "entry-0.json").read_text(encoding="utf-8"))
        metrics = f"{settings['ip']}:{METRICS_PORT}"
        yield Daemon(cluster.processes["entry-0"].pid, address, metrics)


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


def measure(case: Case) -> str:
    """Run one crowd and return a line of the table."""
    with tempfile.TemporaryDirectory() as folder, start_daemon(Path(folder)) as daemon:
        ask(daemon.callers)
        held = HeldMemory(daemon.pid, [daemon.callers, daemon.metrics])
        held.sample()
        idle_mb = held.peak_bytes / MIB
        answers = []
        crowd = Crowd(daemon.metrics if case.at_metrics else daemon.callers, case.load)
        deadline, next_ask = time.monotonic() + LOAD_S, time.monotonic() + ASK_INTERVAL_S
        while time.monotonic() < deadline:
            crowd.step()
            held.sample()
            if time.monotonic() >= next_ask:
                answers.append(ask(daemon.callers))
                next_ask = time.monotonic() + ASK_INTERVAL_S
        crowd.close()
        after = ask(daemon.callers)
    served = [seconds for seconds in answers if seconds is not None]
    longest = f"{max(served):.2f}" if served else "-"
    afterwards = f"{after:.2f}" if after is not None else "no answer"
    return (
        f"{case.name:42} {idle_mb:8.0f} {held.peak_bytes / MIB:8.0f} {held.peak_descriptors:6} "
        f"{len(served):4} of {len(answers):<4} {longest:>9} {afterwards:>10}"
    )


def main() -> None:
    """Print the table."""
    sys.stdout.write(
        f"{'crowd':42} {'idle MB':>8} {'peak MB':>8} {'files':>6} "
        f"{'served':>12} {'longest s':>9} {'afterwards':>10}\n"
    )
    for case in CASES:
        sys.stdout.write(f"{measure(case)}\n")
        sys.stdout.flush()


if __name__ == "__main__":
    main()
