"""Run the demo: records in two schema versions, request traffic, a maintenance wave and a job."""

import itertools
import json
import signal
import sys
import tempfile
import threading
import time
from collections import Counter
from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import urllib3

from demo.cluster import Cluster, free_addresses
from demo.job import run_job
from demo.wave import run_wave, write_wave
from gypsumplank import cli

ZONES = ("kochi-a", "kochi-b", "alappuzha")
SERVICE_SCHEMAS = {"counter-desk": 1, "harbour-desk": 2}
HOSTS_PER_POOL = 4
DAEMONS = 3
BURST_REQUESTS = 600
CALLER_THREADS = 24
WORK_MS = 10


def make_records(folder: Path, addresses: dict[str, list[str]]) -> list[Path]:
    """Write one records file per service, each in its own schema version; return the paths."""
    paths = []
    for service, schema in SERVICE_SCHEMAS.items():
        budget: dict[str, Any] = {"min_in_service": 3}
        pool_spec = budget if schema == 1 else {"budget": {**budget, "max_out_per_rack": 1}}
        hosts = [
            {
                "kind": "host",
                "name": f"{service}-{number}",
                "schema": schema,
                "spec": {
                    "address": address,
                    "pool": service,
                    "zone": ZONES[number % len(ZONES)],
                    "rack": f"rack-{number // 4}",
                },
            }
            for number, address in enumerate(addresses[service])
        ]
        records = [
            {"kind": "pool", "name": service, "schema": schema, "spec": pool_spec},
            {"kind": "service", "name": service, "schema": schema, "spec": {"pool": service}},
            *hosts,
        ]
        path = folder / f"{service}.json"
        path.write_text(json.dumps(records, indent=2), encoding="utf-8")
        paths.append(path)
    return paths


def run_command(server: str, *args: str) -> None:
    """Run one command of the operator command line; exit if it fails."""
    sys.stdout.write(f"\n$ gypsumplank {' '.join(args)}\n")
    sys.stdout.flush()
    code = cli.main(["--server", server, *args])
    if code:
        sys.exit(code)


def send_request(http_pool: urllib3.PoolManager, url: str) -> tuple[str, float]:
    """Send one request; return its outcome and duration in seconds."""
    started = time.monotonic()
    resp = http_pool.request("POST", url, body=b"order", headers={"X-Work-Ms": str(WORK_MS)})
    outcome = "finished" if resp.status == 200 else json.loads(resp.data)["outcome"]
    return outcome, time.monotonic() - started


def service_urls(addresses: Iterable[str]) -> list[str]:
    """Return the URL of every service at every daemon."""
    pairs = itertools.product(addresses, SERVICE_SCHEMAS)
    return [f"http://{address}/{service}/orders" for address, service in pairs]


def send_burst(addresses: Iterable[str]) -> None:
    """Send requests through all daemons and print the outcomes; exit if one failed."""
    http_pool = urllib3.PoolManager(maxsize=CALLER_THREADS, retries=False)
    urls = list(itertools.islice(itertools.cycle(service_urls(addresses)), BURST_REQUESTS))
    with ThreadPoolExecutor(CALLER_THREADS) as executor:
        results = list(executor.map(lambda url: send_request(http_pool, url), urls))
    outcomes = Counter(outcome for outcome, _ in results)
    slowest = max(duration_s for _, duration_s in results)
    summary = ", ".join(f"{count} {outcome}" for outcome, count in outcomes.items())
    sys.stdout.write(f"\n{len(results)} requests: {summary}; slowest {slowest * 1000:.0f} ms\n")
    if outcomes["finished"] < BURST_REQUESTS:
        sys.exit(1)


def run_fleet_demo(folder: Path) -> None:
    """Start the fleet, apply the records, send the burst and run the maintenance wave."""
    with Cluster(folder) as cluster:
        cluster.start_platform()
        addresses = {service: free_addresses(HOSTS_PER_POOL) for service in SERVICE_SCHEMAS}
        for service, worker_addresses in addresses.items():
            cluster.start_workers(service, worker_addresses)
        names = [f"entry-{number}" for number in range(DAEMONS)]
        for name, zone in zip(names, ZONES, strict=True):
            cluster.start_daemon(name, zone)
        server = cluster.operators(names[0])
        paths = [str(path) for path in make_records(folder, addresses)]
        run_command(server, "apply", *paths)
        time.sleep(1.5)
        run_command(server, "status")
        send_burst(cluster.callers(name) for name in names)
        run_command(server, "apply", str(write_wave(folder, SERVICE_SCHEMAS)))
        run_wave(run_command, server, service_urls(cluster.callers(name) for name in names))
        run_command(server, "plan")
        sys.stdout.write("\nStopping gracefully:\n")
        for name in names:
            sys.stdout.write(f"  {name} exit {cluster.stop(name)}\n")


def main() -> None:
    """Run the demo; stop all processes and remove its files also on Ctrl-C or SIGTERM."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    with tempfile.TemporaryDirectory() as folder:
        run_fleet_demo(Path(folder))
    with tempfile.TemporaryDirectory() as folder:
        run_job(Path(folder))


if __name__ == "__main__":
    assert threading.current_thread() is threading.main_thread()
    main()
