"""Measure a flood on real daemons and stand-in workers over loopback."""

import itertools
import json
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Any

from bench.arrivals import Counts
from demo.cluster import ROOT, Cluster, free_addresses
from gypsumplank import porcelain

POOLS = ("quotes", "rounds")
FLOODED = "quotes"
HOSTS = 3
SLOTS = 8
WORK_MS = 200
CAPACITY = HOSTS * SLOTS * 1000 / WORK_MS
MEAN_RATE = 0.3 * CAPACITY
FLOOD_TIMES = 5
SECONDS = 6.0
SETTLE_S = 2.0
ALONE = "all traffic at one"


def start_load(addresses: list[str], service: str, rate: float, urgency: int) -> Any:
    """Start a load in a process of its own."""
    args = [part for address in addresses for part in ("--address", address)]
    args += ["--path", f"/{service}/work", "--rate", str(rate), "--seconds", str(SECONDS)]
    args += ["--work-ms", str(WORK_MS), "--urgency", str(urgency)]
    return subprocess.Popen(
        [sys.executable, "-m", "bench.arrivals", *args], cwd=ROOT, stdout=subprocess.PIPE
    )


def run_loads(addresses: list[str], loads: Mapping[str, tuple[float, int]]) -> dict[str, Counts]:
    """Run a load for each service at once."""
    running = {
        service: start_load(addresses, service, rate, urgency)
        for service, (rate, urgency) in loads.items()
    }
    return {name: Counts(**json.loads(proc.communicate()[0])) for name, proc in running.items()}


def write_records(folder: Path, addresses: Mapping[str, list[str]]) -> Path:
    """Write a pool and service for each name."""
    records: list[dict[str, Any]] = []
    for pool, held in addresses.items():
        records.append({"kind": "pool", "name": pool, "schema": 2, "spec": {}})
        spec: dict[str, Any] = {"pool": pool, "share": 0.5}
        records.append({"kind": "service", "name": pool, "schema": 2, "spec": spec})
        for number, address in enumerate(held):
            spec = {"address": address, "pool": pool, "zone": "z", "rack": "r", "slots": SLOTS}
            name = f"{pool}-{number}"
            records.append({"kind": "host", "name": name, "schema": 2, "spec": spec})
    path = folder / "records.json"
    path.write_text(json.dumps(records), encoding="utf-8")
    return path


def measure(cluster: Cluster, daemons: int) -> Iterator[dict[str, Any]]:
    """Yield a row for each flood."""
    callers = [cluster.callers(f"entry-{number}") for number in range(daemons)]
    other = next(pool for pool in POOLS if pool != FLOODED)
    calm = run_loads(callers, {other: (MEAN_RATE, 3)})[other]
    for name, urgency in (("least urgent", 7), ("most urgent", 0), (ALONE, 3)):
        held = callers[:1] if name == ALONE else callers
        flood = (FLOOD_TIMES * MEAN_RATE, urgency)
        found = run_loads(held, {other: (MEAN_RATE, 3), FLOODED: flood})
        before, after = (one.on_time / one.offered for one in (calm, found[other]))
        yield {
            "daemons": daemons,
            "flood": name,
            "others calm": round(before, 4),
            "others flooded": round(after, 4),
            "kept": round(after / before, 4),
            "goodput/capacity": round(found[FLOODED].on_time / (CAPACITY * SECONDS), 3),
            "late": found[FLOODED].late,
            "refused": found[FLOODED].refused,
            "failed": found[FLOODED].failed + found[other].failed,
        }


def run(daemons: int) -> list[dict[str, Any]]:
    """Return the rows of one number of daemons."""
    with tempfile.TemporaryDirectory() as folder, Cluster(Path(folder)) as cluster:
        cluster.start_platform()
        held = {pool: free_addresses(HOSTS) for pool in POOLS}
        cluster.start_workers("workers", itertools.chain.from_iterable(held.values()))
        for number in range(daemons):
            cluster.start_daemon(f"entry-{number}", "z")
        server = porcelain.Server(cluster.operators("entry-0"))
        porcelain.apply(server, [write_records(Path(folder), held)])
        time.sleep(SETTLE_S)
        return list(measure(cluster, daemons))


def main() -> None:
    """Print the report and keep it."""
    text = (
        f"{porcelain.table(run(3) + run(7))}\n"
        f"real processes on loopback, {CAPACITY:.0f} requests/s a pool, {WORK_MS} ms each; what "
        "finishes on time after the last arrival counts, so goodput may exceed 1\n"
    )
    sys.stdout.write(text)
    (ROOT / "docs" / "measurements" / "live.txt").write_text(text, encoding="utf-8")


if __name__ == "__main__":
    main()
