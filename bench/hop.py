"""Measure what one hop through the daemon costs against a bare hop and none."""

import json
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Any

from bench.load import Figures
from demo.cluster import ROOT, Cluster, free_addresses
from gypsumplank import porcelain

CALLERS = (1, 8, 32)
SECONDS = 4.0
ROUNDS = 3
MAX_P50_RATIO = 1.25
MIN_RATE_RATIO = 0.85
KIB = 1024


def measure(address: str, path: str, callers: int, seconds: float = SECONDS) -> Figures:
    """Run one load in a process of its own."""
    args = ["--address", address, "--path", path]
    args += ["--callers", str(callers), "--seconds", str(seconds)]
    done = subprocess.run(
        [sys.executable, "-m", "bench.load", *args], cwd=ROOT, capture_output=True, check=True
    )
    return Figures(**json.loads(done.stdout))


def resident_mib(pid: int) -> float:
    """Return a process's resident memory in MiB."""
    lines = Path(f"/proc/{pid}/status").read_text(encoding="utf-8").splitlines()
    (line,) = [line for line in lines if line.startswith("VmRSS")]
    return int(line.split()[1]) / KIB


def write_records(folder: Path, address: str) -> Path:
    """Write a pool of one host with room for the load."""
    host = {"address": address, "pool": "quotes", "zone": "z", "rack": "r", "slots": 64}
    records = [
        {"kind": "pool", "name": "quotes", "schema": 2, "spec": {}},
        {"kind": "service", "name": "quotes", "schema": 2, "spec": {"pool": "quotes"}},
        {"kind": "host", "name": "h", "schema": 2, "spec": host},
    ]
    path = folder / "records.json"
    path.write_text(json.dumps(records), encoding="utf-8")
    return path


def best(figures: list[Figures]) -> Figures:
    """Return the round with the median rate."""
    return sorted(figures, key=lambda held: held.rate)[len(figures) // 2]


def rows(targets: Mapping[str, tuple[str, str]]) -> Iterator[dict[str, Any]]:
    """Yield one row a target and number of callers, rounds interleaved."""
    for callers in CALLERS:
        found: dict[str, list[Figures]] = {name: [] for name in targets}
        for _ in range(ROUNDS):
            for name, (address, path) in targets.items():
                found[name].append(measure(address, path, callers))
        bare = best(found["bare hop"])
        for name, held in found.items():
            figures = best(held)
            yield {
                "path": name,
                "callers": callers,
                "rate/s": round(figures.rate),
                "p50 ms": round(figures.p50_ms, 2),
                "p99 ms": round(figures.p99_ms, 2),
                "failed": figures.failed,
                "rate/bare": round(figures.rate / bare.rate, 2),
                "p50/bare": round(figures.p50_ms / bare.p50_ms, 2),
            }


def run(folder: Path) -> str:
    """Return the report."""
    with Cluster(folder) as cluster:
        cluster.start_platform()
        endpoint, bare = free_addresses(2)
        cluster.start_workers("worker", [endpoint], slots=64)
        cluster.start_module("bare", "bench.bare", "--listen", bare, "--endpoint", endpoint)
        cluster.wait_http(f"http://{bare}/_stats")
        cluster.start_daemon("entry-0", "z", limits={"daemons": 1})
        started = resident_mib(cluster.processes["entry-0"].pid)
        server = porcelain.Server(cluster.operators("entry-0"))
        porcelain.apply(server, [write_records(folder, endpoint)])
        time.sleep(1.0)
        targets = {
            "direct": (endpoint, "/work"),
            "bare hop": (bare, "/work"),
            "daemon": (cluster.callers("entry-0"), "/quotes/work"),
        }
        table = porcelain.table(rows(targets))
        loaded = resident_mib(cluster.processes["entry-0"].pid)
    return (
        f"{table}\n\nresident memory of the daemon: {started:.0f} MiB after start, "
        f"{loaded:.0f} MiB after the load\n"
        f"target: p50 at most {MAX_P50_RATIO} and rate at least {MIN_RATE_RATIO} of the bare hop\n"
    )


def main() -> None:
    """Print the report and keep it."""
    with tempfile.TemporaryDirectory() as folder:
        text = run(Path(folder))
    sys.stdout.write(text)
    path = ROOT / "docs" / "measurements" / "hop.txt"
    path.write_text(text, encoding="utf-8")


if __name__ == "__main__":
    main()
