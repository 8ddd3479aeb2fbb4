"""Measure how the costs of a daemon rise with the size of the fleet."""

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
    cpu_s,
    header_bytes,
    imports_bytes,
    resident_bytes,
    use_over,
)
from bench.fit import Fit, Point, fit_line
from bench.hop import measure
from demo.cluster import ROOT, Cluster, free_addresses
from gypsumplank import porcelain
from gypsumplank.protocol.envelope import Sealer
from gypsumplank.protocol.operator import PATH_CHANGES, ChangeOrder, ChangeReceipt
from gypsumplank.protocol.peer import Hello
from gypsumplank.protocol.record import Kind, Record
from gypsumplank.state.config import ChangeEntry, apply_entries
from gypsumplank.state.session import Session, SessionStore
from gypsumplank.state.view import build_view
from gypsumplank.transport.platform import HttpTable, PlatformClient

RECORDS = (500, 2_000, 6_000)
SESSIONS = (7, 20, 60)
CALLERS = 8
LOADS_S = (1.5, 3.0, 4.5, 6.0)
POOLS = 21
BATCH = 400
REST_S = 5.0
LONG_REST_S = 12.0
CHANGES = 20
CHANGE_GAP_S = 0.2
REPEATS = 15
SETTLE_S = 4.0
AN_HOUR_S = 3600.0
RELAXED = {"config": {"poll_s": 4.0}, "session": {"heartbeat_s": 3.0, "lease_s": 12.0}}
RESULT = ROOT / "docs" / "measurements" / "capacity.json"


@dataclass(frozen=True)
class Slope:
    """Hold one measured cost: its points over a size and the line through them."""

    name: str
    size: str
    unit: str
    points: tuple[Point, ...]
    fit: Fit


def slope(name: str, size: str, unit: str, values: Mapping[int, float]) -> Slope:
    """Return the slope of the values over their sizes."""
    points = tuple(Point(at, value) for at, value in values.items())
    return Slope(name, size, unit, points, fit_line(points))


def make_host(number: int, cores: int = 64) -> Record:
    """Return a host of the fleet."""
    spec = {
        "address": f"10.{number // 62_500}.{number // 250 % 250}.{number % 250 + 1}:8000",
        "pool": f"pool-{number % POOLS}",
        "zone": f"zone-{number % 5}",
        "rack": f"rack-{number // 4}",
        "cores": cores,
        "accelerators": 2,
    }
    return Record(Kind.HOST, f"host-{number}", 2, spec, "capacity")


def make_records(count: int) -> tuple[Record, ...]:
    """Return so many records: pools, their services, and hosts for the rest."""
    pools = (Record(Kind.POOL, f"pool-{number}", 2) for number in range(POOLS))
    services = (
        Record(Kind.SERVICE, f"pool-{number}", 2, {"pool": f"pool-{number}"})
        for number in range(POOLS)
    )
    hosts = (make_host(number) for number in range(count - 2 * POOLS))
    return tuple(chain(pools, services, hosts))


def median_ms(work: Callable[[], Any]) -> float:
    """Return the median processor time of a call, in milliseconds."""
    times = []
    for _ in range(REPEATS):
        started = time.process_time()
        work()
        times.append(time.process_time() - started)
    return statistics.median(times) * 1000


def measure_view(count: int) -> tuple[float, float, float]:
    """Return a view's bytes, its build and one change to it, in milliseconds."""
    raw = msgspec.json.encode(make_records(count))
    tracemalloc.start()
    view = build_view(1, msgspec.json.decode(raw, type=tuple[Record, ...]))
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    entry = ChangeEntry(2, "op", "a", 0.0, (make_host(1, 32),))
    build = median_ms(lambda: build_view(1, view.records.values()))

    def change() -> None:
        after = apply_entries(view, (entry,))
        after.serving_hosts("pool-1")

    return size, build, median_ms(change)


def view_slopes() -> Iterator[Slope]:
    """Yield the costs of the view in force, within this process."""
    held = {count: measure_view(count) for count in RECORDS}
    for index, (name, unit) in enumerate(
        (("view memory", "bytes"), ("view build", "ms"), ("view change", "ms"))
    ):
        yield slope(name, "records", unit, {count: row[index] for count, row in held.items()})


def change(server: porcelain.Server, puts: Sequence[Record]) -> int:
    """Put records in force and return the revision."""
    order = ChangeOrder(uuid.uuid4().hex, tuple(puts))
    return server.call("POST", PATH_CHANGES, ChangeReceipt, order).revision


def wait_revision(server: porcelain.Server, revision: int) -> None:
    """Wait until a daemon has a revision in force."""
    until = time.monotonic() + 30.0
    while porcelain.status(server).revision < revision and time.monotonic() < until:
        time.sleep(0.1)


def measure_daemon(count: int) -> dict[str, float]:
    """Return what a daemon that follows another costs with so many records in force."""
    with tempfile.TemporaryDirectory() as folder, Cluster(Path(folder)) as cluster:
        cluster.start_platform()
        for name in ("writer", "follower"):
            cluster.start_daemon(name, "zone-0")
        writer = porcelain.Server(cluster.operators("writer"))
        follower = porcelain.Server(cluster.operators("follower"))
        records = make_records(count)
        for first in range(0, count, BATCH):
            revision = change(writer, records[first : first + BATCH])
        wait_revision(follower, revision)
        time.sleep(1.0)
        rest = use_over(cluster, "follower", REST_S)
        pid = cluster.processes["follower"].pid
        used = cpu_s(pid)
        started = time.monotonic()
        for number in range(CHANGES):
            revision = change(writer, (make_host(number, 32),))
            time.sleep(CHANGE_GAP_S)
        wait_revision(follower, revision)
        busy = cpu_s(pid) - used - rest.cpu_s / rest.at * (time.monotonic() - started)
        return {
            "memory": resident_bytes(pid),
            "rest": rest.cpu_s / rest.at * 100,
            "change": busy / CHANGES * 1000,
        }


def daemon_slopes() -> Iterator[Slope]:
    """Yield the costs of a real daemon over the records in force."""
    held = {count: measure_daemon(count) for count in RECORDS}
    for key, name, unit in (
        ("memory", "daemon memory", "bytes"),
        ("rest", "daemon at rest by records", "% of a core"),
        ("change", "daemon change", "ms"),
    ):
        yield slope(name, "records", unit, {count: row[key] for count, row in held.items()})


def add_sessions(address: str, peers: Sequence[str]) -> None:
    """Write the rows of other daemons, live for an hour."""
    client = PlatformClient(address, 5.0)
    store = SessionStore(HttpTable(client))
    for number, at in enumerate(peers):
        name, zone = f"other-{number}", f"zone-{number % 5}"
        store.open(Session(name, 1, zone, at, at, at, 1, time.time() + AN_HOUR_S))
    client.close()


def start_peers(cluster: Cluster, addresses: Sequence[str], period_s: float) -> None:
    """Start what stands in for the other daemons, with their addresses for peers."""
    listen = cluster.settings["entry-0"]["listen"]["peers"]
    key = cluster.settings["entry-0"]["security"]["peer_key"]
    named = chain.from_iterable(("--address", address) for address in addresses)
    known = ("--daemon", listen, "--key", key, "--period-s", str(period_s))
    cluster.start_module("peers", "bench.peers", *known, *named)


def measure_sessions(
    count: int, sections: dict[str, Any], peers_up: bool = True
) -> dict[str, float]:
    """Return what a daemon at rest costs among so many sessions.

    It starts no load, so that several of these may run side by side.
    """
    with tempfile.TemporaryDirectory() as folder, Cluster(Path(folder)) as cluster:
        cluster.start_platform()
        others = free_addresses(count - 1)
        add_sessions(cluster.platform, others)
        cluster.start_daemon("entry-0", "zone-0", **sections)
        if peers_up:
            start_peers(cluster, others, sections.get("session", {}).get("heartbeat_s", 1.0))
        time.sleep(SETTLE_S if peers_up else 0.0)
        rest = use_over(cluster, "entry-0", LONG_REST_S if peers_up else REST_S)
        return {
            "cpu": rest.cpu_s / rest.at * 100,
            "bytes": rest.body_bytes / rest.at,
            "reads": rest.reads / rest.at,
            "writes": rest.writes / rest.at,
            "header": header_bytes(cluster.platform) * (rest.reads + rest.writes) / rest.at,
        }


def session_slopes() -> Iterator[Slope]:
    """Yield the costs of a daemon at rest over the live sessions, by default and relaxed."""
    for label, sections, peers_up in (
        ("", {}, True),
        (", relaxed periods", RELAXED, True),
        (", peers down", {}, False),
    ):
        work = partial(measure_sessions, sections=sections, peers_up=peers_up)
        with ThreadPoolExecutor(len(SESSIONS)) as executor:
            held = dict(zip(SESSIONS, executor.map(work, SESSIONS), strict=True))
        for key, name, unit in (
            ("cpu", "daemon at rest by sessions", "% of a core"),
            ("bytes", "bodies to and from the platform", "bytes/s"),
            ("header", "HTTP headers to and from the platform", "bytes/s"),
            ("reads", "reads of the platform", "1/s"),
            ("writes", "writes to the platform", "1/s"),
        ):
            values = {count: row[key] for count, row in held.items()}
            yield slope(f"{name}{label}", "sessions", unit, values)


def request_slope() -> Slope:
    """Return the processor time of carried requests over their number."""
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
        server = porcelain.Server(cluster.operators("entry-0"))
        wait_revision(server, change(server, (*make_records(2 * POOLS), *hosts)))
        pid = cluster.processes["entry-0"].pid
        values = {}
        for seconds in LOADS_S:
            used = cpu_s(pid)
            figures = measure(cluster.callers("entry-0"), "/pool-0/work", CALLERS, seconds)
            values[figures.finished] = cpu_s(pid) - used
    return slope("requests carried", "requests", "s", values)


def encoded_bytes() -> dict[str, int]:
    """Return the bytes of each row and message as encoded."""
    at = "10.0.0.1:8080"
    session = Session("entry-00", 1, "kochi-a", at, at, at, 6_300, time.time())
    hello = Hello("entry-00", 1, at, 6_300, True)
    record = make_host(1)
    entry = ChangeEntry(6_300, uuid.uuid4().hex, "operator", time.time(), (record,))
    return {
        "session row": len(msgspec.json.encode(session)),
        "host record": len(msgspec.json.encode(record)),
        "change of one host": len(msgspec.json.encode(entry)),
        "hello between daemons, sealed": len(Sealer("k" * 16, 1).seal(hello)),
        "snapshot of 2,000 records": len(msgspec.json.encode(make_records(2_000))),
    }


def run() -> dict[str, Any]:
    """Return all measurements."""
    found = (*view_slopes(), *daemon_slopes(), *session_slopes(), request_slope())
    return {
        "measured_at": time.strftime("%Y-%m-%d %H:%M", time.gmtime()),
        "python": platform.python_version(),
        "imports_bytes": imports_bytes(),
        "encoded_bytes": encoded_bytes(),
        "slopes": [asdict(held) for held in found],
    }


def main() -> None:
    """Keep the measurements and bring the page up to date with them."""
    from bench.capacity_page import write_page  # the page reads what is kept here

    RESULT.write_text(json.dumps(run(), indent=1) + "\n", encoding="utf-8")
    sys.stdout.write(write_page())


if __name__ == "__main__":
    main()
