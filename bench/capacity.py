"""Measure how a daemon's costs grow with the size of the fleet."""

import gc
import json
import platform
import statistics
import sys
import tempfile
import time
import tracemalloc
import uuid
from collections.abc import Callable, Iterator, Mapping, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import asdict, dataclass
from functools import partial
from itertools import chain
from pathlib import Path
from typing import Any

import msgspec

from bench.capacity_process import (
    header_bytes,
    imports_bytes,
    measure_usage,
    read_cpu_s,
    resident_bytes,
)
from bench.fit import Fit, Point, fit_line
from bench.hop import measure_load
from demo.cluster import ROOT, Cluster, free_addresses
from gypsumplank import porcelain
from gypsumplank.protocol.envelope import MessageSigner
from gypsumplank.protocol.operator import PATH_CHANGES, ChangeReceipt, ChangeRequest
from gypsumplank.protocol.peer import Hello
from gypsumplank.protocol.record import Kind, Record
from gypsumplank.state.config import ChangeEntry, apply_entries
from gypsumplank.state.session import Session, SessionStore
from gypsumplank.state.view import build_view
from gypsumplank.transport.store import HttpTable, PlatformClient

RECORD_COUNTS = (500, 2_000, 6_000)
SESSION_COUNTS = (7, 20, 60)
CALLER_THREADS = 8
LOAD_DURATIONS_S = (1.5, 3.0, 4.5, 6.0)
POOL_COUNT = 21
RECORDS_PER_CHANGE = 400
IDLE_WINDOW_S = 5.0
LONG_IDLE_WINDOW_S = 12.0
CHANGE_COUNT = 20
CHANGE_INTERVAL_S = 0.2
TIMED_CALLS = 15
SETTLE_DELAY_S = 4.0
SESSION_VALIDITY_S = 3600.0
RELAXED_SETTINGS = {"config": {"poll_s": 4.0}, "session": {"heartbeat_s": 3.0, "lease_s": 12.0}}
RESULT_PATH = ROOT / "docs" / "measurements" / "capacity.json"


@dataclass(frozen=True)
class CostSlope:
    """Store the measurements of one cost at several sizes and the line fitted to them."""

    name: str
    size: str
    unit: str
    points: tuple[Point, ...]
    fit: Fit


def make_slope(name: str, size: str, unit: str, values: Mapping[int, float]) -> CostSlope:
    """Return the cost with a line fitted to `values`, which maps sizes to measurements."""
    points = tuple(Point(count, value) for count, value in values.items())
    return CostSlope(name, size, unit, points, fit_line(points))


def make_host(number: int, cores: int = 64) -> Record:
    """Return the record of one host of the fleet."""
    spec = {
        "address": f"10.{number // 62_500}.{number // 250 % 250}.{number % 250 + 1}:8000",
        "pool": f"pool-{number % POOL_COUNT}",
        "zone": f"zone-{number % 5}",
        "rack": f"rack-{number // 4}",
        "cores": cores,
        "accelerators": 2,
    }
    return Record(Kind.HOST, f"host-{number}", 2, spec, "capacity")


def make_records(count: int) -> tuple[Record, ...]:
    """Return `count` records: the pools, a service for each, and hosts for the rest."""
    pools = (Record(Kind.POOL, f"pool-{number}", 2) for number in range(POOL_COUNT))
    services = (
        Record(Kind.SERVICE, f"pool-{number}", 2, {"pool": f"pool-{number}"})
        for number in range(POOL_COUNT)
    )
    hosts = (make_host(number) for number in range(count - 2 * POOL_COUNT))
    return tuple(chain(pools, services, hosts))


def median_cpu_ms(call: Callable[[], Any]) -> float:
    """Return the median CPU time of a call in milliseconds."""
    durations_s = []
    for _ in range(TIMED_CALLS):
        started = time.process_time()
        call()
        durations_s.append(time.process_time() - started)
    return statistics.median(durations_s) * 1000


def measure_view(count: int) -> tuple[float, float, float]:
    """Return a view's memory in bytes, and the CPU time of its build and of a change in ms."""
    raw = msgspec.json.encode(make_records(count))
    tracemalloc.start()
    view = build_view(1, msgspec.json.decode(raw, type=tuple[Record, ...]))
    gc.collect()
    memory_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    entry = ChangeEntry(2, "op", "a", 0.0, (make_host(1, 32),))
    build_ms = median_cpu_ms(lambda: build_view(1, view.records.values()))

    def apply_change() -> None:
        changed_view = apply_entries(view, (entry,))
        changed_view.serving_hosts("pool-1")

    return memory_bytes, build_ms, median_cpu_ms(apply_change)


def view_slopes() -> Iterator[CostSlope]:
    """Yield the costs of a configuration view, measured in this process."""
    costs = {count: measure_view(count) for count in RECORD_COUNTS}
    for index, (name, unit) in enumerate(
        (("view memory", "bytes"), ("view build", "ms"), ("view change", "ms"))
    ):
        yield make_slope(name, "records", unit, {count: row[index] for count, row in costs.items()})


def submit_change(server: porcelain.OperatorClient, puts: Sequence[Record]) -> int:
    """Submit records as one change and return its revision."""
    order = ChangeRequest(uuid.uuid4().hex, tuple(puts))
    return server.call("POST", PATH_CHANGES, ChangeReceipt, order).revision


def wait_for_revision(server: porcelain.OperatorClient, revision: int) -> None:
    """Wait until a daemon has a revision in force, for at most 30 s."""
    until = time.monotonic() + 30.0
    while porcelain.status(server).revision < revision and time.monotonic() < until:
        time.sleep(0.1)


def measure_daemon(count: int) -> dict[str, float]:
    """Return the costs of a daemon with `count` records when another daemon writes changes."""
    with tempfile.TemporaryDirectory() as folder, Cluster(Path(folder)) as cluster:
        cluster.start_platform()
        for name in ("writer", "follower"):
            cluster.start_daemon(name, "zone-0")
        writer = porcelain.OperatorClient(cluster.operators("writer"))
        follower = porcelain.OperatorClient(cluster.operators("follower"))
        records = make_records(count)
        for first in range(0, count, RECORDS_PER_CHANGE):
            revision = submit_change(writer, records[first : first + RECORDS_PER_CHANGE])
        wait_for_revision(follower, revision)
        time.sleep(1.0)
        idle = measure_usage(cluster, "follower", IDLE_WINDOW_S)
        pid = cluster.processes["follower"].pid
        cpu_before_s = read_cpu_s(pid)
        started = time.monotonic()
        for number in range(CHANGE_COUNT):
            revision = submit_change(writer, (make_host(number, 32),))
            time.sleep(CHANGE_INTERVAL_S)
        wait_for_revision(follower, revision)
        busy_s = (
            read_cpu_s(pid) - cpu_before_s - idle.cpu_s / idle.time_s * (time.monotonic() - started)
        )
        return {
            "memory_bytes": resident_bytes(pid),
            "idle_percent": idle.cpu_s / idle.time_s * 100,
            "change_ms": busy_s / CHANGE_COUNT * 1000,
        }


def daemon_slopes() -> Iterator[CostSlope]:
    """Yield the costs of a daemon process by the number of records in force."""
    costs = {count: measure_daemon(count) for count in RECORD_COUNTS}
    for key, name, unit in (
        ("memory_bytes", "daemon memory", "bytes"),
        ("idle_percent", "daemon at rest by records", "% of a core"),
        ("change_ms", "daemon change", "ms"),
    ):
        yield make_slope(name, "records", unit, {count: row[key] for count, row in costs.items()})


def add_sessions(platform_address: str, peer_addresses: Sequence[str]) -> None:
    """Write session rows of other daemons that stay valid for an hour."""
    client = PlatformClient(platform_address, 5.0)
    store = SessionStore(HttpTable(client))
    for number, address in enumerate(peer_addresses):
        name, zone = f"other-{number}", f"zone-{number % 5}"
        store.open(
            Session(name, 1, zone, address, address, address, 1, time.time() + SESSION_VALIDITY_S)
        )
    client.close()


def start_peers(cluster: Cluster, addresses: Sequence[str], period_s: float) -> None:
    """Start a process that simulates the other daemons at these peer addresses."""
    listen = cluster.settings["entry-0"]["listen"]["peers"]
    key = cluster.settings["entry-0"]["security"]["peer_key"]
    address_args = chain.from_iterable(("--address", address) for address in addresses)
    fixed_args = ("--daemon", listen, "--key", key, "--period-s", str(period_s))
    cluster.start_module("peers", "bench.peers", *fixed_args, *address_args)


def measure_sessions(
    count: int, sections: dict[str, Any], peers_up: bool = True
) -> dict[str, float]:
    """Return the costs of an idle daemon in a fleet of `count` sessions.

    No load is started, so several of these measurements can run in parallel.
    """
    with tempfile.TemporaryDirectory() as folder, Cluster(Path(folder)) as cluster:
        cluster.start_platform()
        peer_addresses = free_addresses(count - 1)
        add_sessions(cluster.platform, peer_addresses)
        cluster.start_daemon("entry-0", "zone-0", **sections)
        if peers_up:
            start_peers(
                cluster, peer_addresses, sections.get("session", {}).get("heartbeat_s", 1.0)
            )
        time.sleep(SETTLE_DELAY_S if peers_up else 0.0)
        idle = measure_usage(cluster, "entry-0", LONG_IDLE_WINDOW_S if peers_up else IDLE_WINDOW_S)
        return {
            "cpu": idle.cpu_s / idle.time_s * 100,
            "bytes": idle.body_bytes / idle.time_s,
            "reads": idle.reads / idle.time_s,
            "writes": idle.writes / idle.time_s,
            "header": header_bytes(cluster.platform) * (idle.reads + idle.writes) / idle.time_s,
        }


def session_slopes() -> Iterator[CostSlope]:
    """Yield the costs of an idle daemon by the number of live sessions.

    Each is measured with the default intervals, with relaxed intervals and with peers down.
    """
    for label, sections, peers_up in (
        ("", {}, True),
        (", relaxed periods", RELAXED_SETTINGS, True),
        (", peers down", {}, False),
    ):
        measure_count = partial(measure_sessions, sections=sections, peers_up=peers_up)
        with ThreadPoolExecutor(len(SESSION_COUNTS)) as executor:
            costs = dict(
                zip(SESSION_COUNTS, executor.map(measure_count, SESSION_COUNTS), strict=True)
            )
        for key, name, unit in (
            ("cpu", "daemon at rest by sessions", "% of a core"),
            ("bytes", "bodies to and from the platform", "bytes/s"),
            ("header", "HTTP headers to and from the platform", "bytes/s"),
            ("reads", "reads of the platform", "1/s"),
            ("writes", "writes to the platform", "1/s"),
        ):
            values = {count: row[key] for count, row in costs.items()}
            yield make_slope(f"{name}{label}", "sessions", unit, values)


def request_slope() -> CostSlope:
    """Return a daemon's CPU time by the number of forwarded requests."""
    with tempfile.TemporaryDirectory() as folder, Cluster(Path(folder)) as cluster:
        cluster.start_platform()
        addresses = free_addresses(4)
        cluster.start_workers("worker", addresses, slots=64)
        cluster.start_daemon("entry-0", "zone-0")
        hosts = tuple(
            Record(
                Kind.HOST,
                f"h-{number}",
                2,
                {"address": address, "pool": "pool-0", "zone": "z", "rack": "r", "slots": 64},
            )
            for number, address in enumerate(addresses)
        )
        server = porcelain.OperatorClient(cluster.operators("entry-0"))
        wait_for_revision(server, submit_change(server, (*make_records(2 * POOL_COUNT), *hosts)))
        pid = cluster.processes["entry-0"].pid
        values = {}
        for duration_s in LOAD_DURATIONS_S:
            cpu_before_s = read_cpu_s(pid)
            result = measure_load(
                cluster.callers("entry-0"), "/pool-0/work", CALLER_THREADS, duration_s
            )
            values[result.finished] = read_cpu_s(pid) - cpu_before_s
    return make_slope("requests carried", "requests", "s", values)


def encoded_bytes() -> dict[str, int]:
    """Return the encoded size in bytes of each kind of row and message."""
    address = "10.0.0.1:8080"
    session = Session("entry-00", 1, "kochi-a", address, address, address, 6_300, time.time())
    hello = Hello("entry-00", 1, address, 6_300, True)
    record = make_host(1)
    entry = ChangeEntry(6_300, uuid.uuid4().hex, "operator", time.time(), (record,))
    return {
        "session row": len(msgspec.json.encode(session)),
        "host record": len(msgspec.json.encode(record)),
        "change of one host": len(msgspec.json.encode(entry)),
        "hello between daemons, sealed": len(MessageSigner("k" * 16, 1).sign(hello)),
        "snapshot of 2,000 records": len(msgspec.json.encode(make_records(2_000))),
    }


def measure_all() -> dict[str, Any]:
    """Run all measurements and return the results."""
    slopes = (*view_slopes(), *daemon_slopes(), *session_slopes(), request_slope())
    return {
        "measured_at": time.strftime("%Y-%m-%d %H:%M", time.gmtime()),
        "python": platform.python_version(),
        "imports_bytes": imports_bytes(),
        "encoded_bytes": encoded_bytes(),
        "slopes": [asdict(cost) for cost in slopes],
    }


def main() -> None:
    """Write the measurements to `RESULT_PATH` and update the capacity page from them."""
    from bench.capacity_page import write_page  # the page is rendered from RESULT_PATH

    RESULT_PATH.write_text(json.dumps(measure_all(), indent=1) + "\n", encoding="utf-8")
    sys.stdout.write(write_page())


if __name__ == "__main__":
    main()
