"""Measure a flood of one pool on daemon processes and stand-in workers over loopback."""

import itertools
import json
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Any

from bench.arrivals import RequestCounts
from demo.cluster import ROOT, Cluster, free_addresses
from gypsumplank import porcelain

POOLS = ("quotes", "rounds")
FLOODED_POOL = "quotes"
HOSTS_PER_POOL = 3
SLOTS_PER_HOST = 8
WORK_MS = 200
POOL_CAPACITY_PER_S = HOSTS_PER_POOL * SLOTS_PER_HOST * 1000 / WORK_MS
MEAN_RATE_PER_S = 0.3 * POOL_CAPACITY_PER_S
FLOOD_FACTOR = 5
LOAD_DURATION_S = 6.0
SETTLE_DELAY_S = 2.0
SINGLE_DAEMON = "all traffic at one"


def start_load(addresses: list[str], service: str, rate_per_s: float, urgency: int) -> Any:
    """Start an open-loop load in a separate process."""
    args = [part for address in addresses for part in ("--address", address)]
    args += [
        "--path",
        f"/{service}/work",
        "--rate",
        str(rate_per_s),
        "--seconds",
        str(LOAD_DURATION_S),
    ]
    args += ["--work-ms", str(WORK_MS), "--urgency", str(urgency)]
    return subprocess.Popen(
        [sys.executable, "-m", "bench.arrivals", *args], cwd=ROOT, stdout=subprocess.PIPE
    )


def run_loads(
    addresses: list[str], loads: Mapping[str, tuple[float, int]]
) -> dict[str, RequestCounts]:
    """Run the loads of all services at the same time; a load is its rate and urgency."""
    processes = {
        service: start_load(addresses, service, rate_per_s, urgency)
        for service, (rate_per_s, urgency) in loads.items()
    }
    return {
        name: RequestCounts(**json.loads(process.communicate()[0]))
        for name, process in processes.items()
    }


def write_records(folder: Path, addresses: Mapping[str, list[str]]) -> Path:
    """Write the records of a pool, a service and hosts for each pool name."""
    records: list[dict[str, Any]] = []
    for pool, pool_addresses in addresses.items():
        records.append({"kind": "pool", "name": pool, "schema": 2, "spec": {}})
        spec: dict[str, Any] = {"pool": pool, "share": 0.5}
        records.append({"kind": "service", "name": pool, "schema": 2, "spec": spec})
        for number, address in enumerate(pool_addresses):
            spec = {
                "address": address,
                "pool": pool,
                "zone": "z",
                "rack": "r",
                "slots": SLOTS_PER_HOST,
            }
            name = f"{pool}-{number}"
            records.append({"kind": "host", "name": name, "schema": 2, "spec": spec})
    path = folder / "records.json"
    path.write_text(json.dumps(records), encoding="utf-8")
    return path


def measure(cluster: Cluster, daemon_count: int) -> Iterator[dict[str, Any]]:
    """Yield one row per flood."""
    caller_addresses = [cluster.callers(f"entry-{number}") for number in range(daemon_count)]
    other_pool = next(pool for pool in POOLS if pool != FLOODED_POOL)
    baseline = run_loads(caller_addresses, {other_pool: (MEAN_RATE_PER_S, 3)})[other_pool]
    for name, urgency in (("least urgent", 7), ("most urgent", 0), (SINGLE_DAEMON, 3)):
        entry_addresses = caller_addresses[:1] if name == SINGLE_DAEMON else caller_addresses
        flood = (FLOOD_FACTOR * MEAN_RATE_PER_S, urgency)
        counts = run_loads(entry_addresses, {other_pool: (MEAN_RATE_PER_S, 3), FLOODED_POOL: flood})
        baseline_fraction, flooded_fraction = (
            outcome.on_time / outcome.offered for outcome in (baseline, counts[other_pool])
        )
        yield {
            "daemons": daemon_count,
            "flood": name,
            "others calm": round(baseline_fraction, 4),
            "others flooded": round(flooded_fraction, 4),
            "kept": round(flooded_fraction / baseline_fraction, 4),
            "goodput/capacity": round(
                counts[FLOODED_POOL].on_time / (POOL_CAPACITY_PER_S * LOAD_DURATION_S), 3
            ),
            "late": counts[FLOODED_POOL].late,
            "refused": counts[FLOODED_POOL].refused,
            "failed": counts[FLOODED_POOL].failed + counts[other_pool].failed,
        }


def run(daemon_count: int) -> list[dict[str, Any]]:
    """Return the rows measured with this number of daemons."""
    with tempfile.TemporaryDirectory() as folder, Cluster(Path(folder)) as cluster:
        cluster.start_platform()
        worker_addresses = {pool: free_addresses(HOSTS_PER_POOL) for pool in POOLS}
        cluster.start_workers("workers", itertools.chain.from_iterable(worker_addresses.values()))
        for number in range(daemon_count):
            cluster.start_daemon(f"entry-{number}", "z")
        server = porcelain.OperatorClient(cluster.operators("entry-0"))
        porcelain.apply(server, [write_records(Path(folder), worker_addresses)])
        time.sleep(SETTLE_DELAY_S)
        return list(measure(cluster, daemon_count))


def main() -> None:
    """Print the report and write it to docs/measurements."""
    text = (
        f"{porcelain.format_table(run(3) + run(7))}\n"
        f"real processes on loopback, {POOL_CAPACITY_PER_S:.0f} requests/s a pool, "
        f"{WORK_MS} ms each; what finishes on time "
        f"after the last arrival counts, so goodput may exceed 1\n"
    )
    sys.stdout.write(text)
    (ROOT / "docs" / "measurements" / "live.txt").write_text(text, encoding="utf-8")


if __name__ == "__main__":
    main()
