"""Compare latency and rate through a daemon with a minimal proxy and with no proxy."""

import json
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Any

from bench.load import LoadResult
from demo.cluster import ROOT, Cluster, free_addresses
from gypsumplank import porcelain

CALLER_COUNTS = (1, 8, 32)
LOAD_DURATION_S = 4.0
ROUNDS = 3
MAX_P50_RATIO = 1.25
MIN_RATE_RATIO = 0.85
KIB_PER_MIB = 1024


def measure_load(
    address: str, path: str, callers: int, duration_s: float = LOAD_DURATION_S
) -> LoadResult:
    """Run one closed-loop load in a separate process."""
    args = ["--address", address, "--path", path]
    args += ["--callers", str(callers), "--seconds", str(duration_s)]
    process = subprocess.run(
        [sys.executable, "-m", "bench.load", *args], cwd=ROOT, capture_output=True, check=True
    )
    return LoadResult(**json.loads(process.stdout))


def resident_mib(pid: int) -> float:
    """Return a process's resident memory in MiB."""
    lines = Path(f"/proc/{pid}/status").read_text(encoding="utf-8").splitlines()
    (line,) = [line for line in lines if line.startswith("VmRSS")]
    return int(line.split()[1]) / KIB_PER_MIB


def write_records(folder: Path, address: str) -> Path:
    """Write the records of a pool with one host that has a slot for each request of the load."""
    host = {"address": address, "pool": "quotes", "zone": "z", "rack": "r", "slots": 64}
    records = [
        {"kind": "pool", "name": "quotes", "schema": 2, "spec": {}},
        {"kind": "service", "name": "quotes", "schema": 2, "spec": {"pool": "quotes"}},
        {"kind": "host", "name": "h", "schema": 2, "spec": host},
    ]
    path = folder / "records.json"
    path.write_text(json.dumps(records), encoding="utf-8")
    return path


def median_round(rounds: list[LoadResult]) -> LoadResult:
    """Return the round with the median rate."""
    return sorted(rounds, key=lambda result: result.rate)[len(rounds) // 2]


def target_rows(targets: Mapping[str, tuple[str, str]]) -> Iterator[dict[str, Any]]:
    """Yield one row per target and number of callers; rounds are interleaved."""
    for callers in CALLER_COUNTS:
        rounds: dict[str, list[LoadResult]] = {name: [] for name in targets}
        for _ in range(ROUNDS):
            for name, (address, path) in targets.items():
                rounds[name].append(measure_load(address, path, callers))
        baseline = median_round(rounds["bare hop"])
        for name, target_rounds in rounds.items():
            result = median_round(target_rounds)
            yield {
                "path": name,
                "callers": callers,
                "rate/s": round(result.rate),
                "p50 ms": round(result.p50_ms, 2),
                "p99 ms": round(result.p99_ms, 2),
                "failed": result.failed,
                "rate/bare": round(result.rate / baseline.rate, 2),
                "p50/bare": round(result.p50_ms / baseline.p50_ms, 2),
            }


def make_report(folder: Path) -> str:
    """Run all rounds and return the report."""
    with Cluster(folder) as cluster:
        cluster.start_platform()
        endpoint, proxy = free_addresses(2)
        cluster.start_workers("worker", [endpoint], slots=64)
        cluster.start_module("bare", "bench.bare", "--listen", proxy, "--endpoint", endpoint)
        cluster.wait_http(f"http://{proxy}/_stats")
        cluster.start_daemon("entry-0", "z", limits={"daemons": 1})
        idle_mib = resident_mib(cluster.processes["entry-0"].pid)
        server = porcelain.OperatorClient(cluster.operators("entry-0"))
        porcelain.apply(server, [write_records(folder, endpoint)])
        time.sleep(1.0)
        targets = {
            "direct": (endpoint, "/work"),
            "bare hop": (proxy, "/work"),
            "daemon": (cluster.callers("entry-0"), "/quotes/work"),
        }
        table = porcelain.format_table(target_rows(targets))
        loaded_mib = resident_mib(cluster.processes["entry-0"].pid)
    return (
        f"{table}\n\nresident memory of the daemon: {idle_mib:.0f} MiB after start, "
        f"{loaded_mib:.0f} MiB after the load\n"
        f"target: p50 at most {MAX_P50_RATIO} and rate at least {MIN_RATE_RATIO} of the bare hop\n"
    )


def main() -> None:
    """Print the report and write it to docs/measurements."""
    with tempfile.TemporaryDirectory() as folder:
        text = make_report(Path(folder))
    sys.stdout.write(text)
    path = ROOT / "docs" / "measurements" / "hop.txt"
    path.write_text(text, encoding="utf-8")


if __name__ == "__main__":
    main()
