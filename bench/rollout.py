"""Measure the latency and cost of rolling out a configuration change to all daemons."""

import os
import re
import signal
import sys
import tempfile
import threading
import time
from collections.abc import Callable, Iterator, Sequence
from datetime import datetime
from pathlib import Path
from typing import Any

import urllib3

from bench.hop import resident_mib
from bench.load import quantile
from demo.cluster import ROOT, Cluster, post
from gypsumplank import porcelain
from gypsumplank.coordination.follower import ConfigFollower
from gypsumplank.errors import ServerError
from gypsumplank.protocol.operator import PATH_CHANGES, ChangeReceipt, ChangeRequest
from gypsumplank.protocol.record import Kind, Record
from gypsumplank.state.clock import ManualClock
from gypsumplank.state.config import Change, ConfigStore
from gypsumplank.state.reader import ConfigReader
from gypsumplank.state.view import CurrentView
from gypsumplank.transport.store import HttpTable, PlatformClient

DAEMONS = 7
CHANGE_COUNT = 40
FOLLOWER_COUNTS = (7, 20, 60)
POLL_INTERVAL_S = 0.5
DAEMON_PAUSE_S = 8.0
IDLE_WINDOW_S = 10.0
IDLE_DAEMON_COUNTS = (3, 7, 12)
IN_FORCE_TIMEOUT_S = 40.0
IN_FORCE_PATTERN = re.compile(r"time=\"?(\S+ \S+?)\"? .*event=config-in-force .*revision=(\d+)")
TARGET_TEXT = "targets: p99 at most 1 s with the store well, 19 s with loss and a paused daemon"


def start_fleet(
    cluster: Cluster,
    peer_key_of: Callable[[int], str],
    poll_interval_s: float,
    count: int = DAEMONS,
) -> None:
    """Start a platform and daemons; daemons with different peer keys drop each other's hints."""
    cluster.start_platform(seed=1)
    for number in range(count):
        cluster.start_daemon(
            f"entry-{number}",
            "z",
            security={"peer_key": peer_key_of(number)},
            config={"poll_s": poll_interval_s},
        )


def read_in_force_times(cluster: Cluster, name: str) -> dict[int, float]:
    """Return when each revision came in force at a daemon, in Unix time, from its log."""
    found = IN_FORCE_PATTERN.findall(cluster.log(name))
    return {int(rev): datetime.fromisoformat(at.replace(",", ".")).timestamp() for at, rev in found}


def in_force_at(times: dict[int, float], revision: int) -> float | None:
    """Return when a revision, or a later one that includes it, came in force; None if not yet."""
    return min((at for rev, at in times.items() if rev >= revision), default=None)


def apply_pool_change(cluster: Cluster, number: int, daemon: int) -> tuple[int, float]:
    """Apply one change, with retries; return its revision and the time of the first attempt."""
    server = porcelain.OperatorClient(cluster.operators(f"entry-{daemon}"))
    record = Record(Kind.POOL, f"p{number % 5}", 2, {"x_change": number})
    order = ChangeRequest(f"bench-{number}", (record,))
    sent_at = time.time()
    while True:
        try:
            receipt = server.call("POST", PATH_CHANGES, ChangeReceipt, order)
            return receipt.revision, sent_at
        except ServerError:
            time.sleep(0.05)


def wait_until_in_force(cluster: Cluster, revision: int) -> list[float]:
    """Wait until a revision is in force at all daemons; return the time of each."""
    deadline = time.time() + IN_FORCE_TIMEOUT_S
    while time.time() < deadline:
        times = [
            in_force_at(read_in_force_times(cluster, f"entry-{number}"), revision)
            for number in range(DAEMONS)
        ]
        known = [at for at in times if at is not None]
        if len(known) == DAEMONS:
            return known
        time.sleep(0.02)
    raise TimeoutError(f"timed out waiting for revision {revision}")


def read_platform_stats(cluster: Cluster) -> dict[str, int]:
    """Return the platform's call and byte counts."""
    return urllib3.request("GET", f"http://{cluster.platform}/stats").json()


def roll_out_changes(cluster: Cluster, count: int, interval_s: float = 0.0) -> list[float]:
    """Apply changes through the daemons in turn; return each one's seconds to reach all."""
    latencies_s = []
    for number in range(count):
        revision, sent_at = apply_pool_change(cluster, number, number % DAEMONS)
        latencies_s.append(max(wait_until_in_force(cluster, revision)) - sent_at)
        time.sleep(interval_s)
    return latencies_s


def latency_row(name: str, latencies_s: Sequence[float]) -> dict[str, Any]:
    """Return one row of latency quantiles in milliseconds."""
    return {
        "way": name,
        "changes": len(latencies_s),
        "p50 ms": round(quantile(latencies_s, 0.5) * 1000),
        "p99 ms": round(quantile(latencies_s, 0.99) * 1000),
        "max ms": round(max(latencies_s) * 1000),
    }


def rollout_rows() -> Iterator[dict[str, Any]]:
    """Yield one row per rollout method, measured on daemon processes."""
    variants: tuple[tuple[str, Callable[[int], str], float], ...] = (
        ("polling 0.5 s only", lambda number: f"a-key-of-its-own-{number}", POLL_INTERVAL_S),
        ("hints, polling 0.5 s", lambda _: "one-key-for-all-daemons", POLL_INTERVAL_S),
        ("hints, polling 2 s", lambda _: "one-key-for-all-daemons", 4 * POLL_INTERVAL_S),
    )
    for name, peer_key_of, poll_interval_s in variants:
        with tempfile.TemporaryDirectory() as folder, Cluster(Path(folder)) as cluster:
            start_fleet(cluster, peer_key_of, poll_interval_s)
            time.sleep(2.0)
            stats_before, started_at = read_platform_stats(cluster), time.time()
            latencies_s = roll_out_changes(cluster, CHANGE_COUNT, 0.1)
            stats_after, elapsed_s = read_platform_stats(cluster), time.time() - started_at
            rate = {
                key: (stats_after[key] - stats_before.get(key, 0)) / elapsed_s
                for key in stats_after
            }
            yield {
                **latency_row(name, latencies_s),
                "reads/s": round(rate["reads"], 1),
                "read KB/s": round(rate["reads_bytes"] / 1000, 1),
                "writes/s": round(rate["writes"], 1),
            }


def idle_row(daemon_count: int) -> dict[str, Any]:
    """Return the median usage of an idle daemon and the store load of all daemons."""
    with tempfile.TemporaryDirectory() as folder, Cluster(Path(folder)) as cluster:
        start_fleet(cluster, lambda _: "one-key-for-all-daemons", POLL_INTERVAL_S, daemon_count)
        time.sleep(3.0)
        pids = [cluster.processes[f"entry-{number}"].pid for number in range(daemon_count)]
        cpu_before_s, stats_before = [read_cpu_s(pid) for pid in pids], read_platform_stats(cluster)
        time.sleep(IDLE_WINDOW_S)
        rate = {
            key: (count - stats_before.get(key, 0)) / IDLE_WINDOW_S
            for key, count in read_platform_stats(cluster).items()
        }
        cpu_used_s = [
            read_cpu_s(pid) - before_s for pid, before_s in zip(pids, cpu_before_s, strict=True)
        ]
        return {
            "idle daemons": daemon_count,
            "reads/s": round(rate["reads"], 1),
            "read KB/s": round(rate["reads_bytes"] / 1000, 1),
            "writes/s": round(rate["writes"], 1),
            "written KB/s": round(rate["writes_bytes"] / 1000, 1),
            "% of a core": round(quantile(cpu_used_s, 0.5) / IDLE_WINDOW_S * 100, 2),
            "resident MiB": round(quantile([resident_mib(pid) for pid in pids], 0.5), 1),
        }


def read_cpu_s(pid: int) -> float:
    """Return the CPU time of a process in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text(encoding="utf-8").rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def faulty_row() -> dict[str, Any]:
    """Return one row measured with lost store responses and a daemon that is paused for a while."""
    with tempfile.TemporaryDirectory() as folder, Cluster(Path(folder)) as cluster:
        start_fleet(cluster, lambda _: "one-key-for-all-daemons", POLL_INTERVAL_S)
        time.sleep(2.0)
        post(cluster.platform, "/faults", {"lose_answers": 0.3, "delay_s": 0.02})
        latencies_s = []
        for number in range(2):
            cluster.signal("entry-6", signal.SIGSTOP)
            resume = threading.Timer(DAEMON_PAUSE_S, cluster.signal, ("entry-6", signal.SIGCONT))
            resume.start()
            revision, sent_at = apply_pool_change(cluster, number, number)
            latencies_s.append(max(wait_until_in_force(cluster, revision)) - sent_at)
            resume.join()
        return latency_row(f"3 of 10 answers lost, one paused {DAEMON_PAUSE_S:g} s", latencies_s)


def follower_row(follower_count: int, hinted: bool) -> dict[str, Any]:
    """Return the store reads and rollout latency of config followers in one process.

    With `hinted`, all followers are woken after each change instead of at their next poll.
    """
    with tempfile.TemporaryDirectory() as folder, Cluster(Path(folder)) as cluster:
        cluster.start_platform()
        client = PlatformClient(cluster.platform, 5.0)
        stop, lock = threading.Event(), threading.Lock()
        wake_events = [threading.Event() for _ in range(follower_count)]
        in_force_times: dict[int, list[float]] = {}

        def record_in_force(revision: int) -> None:
            with lock:
                in_force_times.setdefault(revision, []).append(time.time())

        def follow(wake: threading.Event, start_delay_s: float) -> None:
            follower = ConfigFollower(
                ConfigReader(HttpTable(client)), CurrentView(), record_in_force
            )
            stop.wait(start_delay_s)
            while not stop.is_set():
                wake.clear()
                follower.tick()
                wake.wait(POLL_INTERVAL_S)

        threads = [
            threading.Thread(target=follow, args=(wake, POLL_INTERVAL_S * number / follower_count))
            for number, wake in enumerate(wake_events)
        ]
        for thread in threads:
            thread.start()
        time.sleep(1.0)
        stats_before, started_at = read_platform_stats(cluster), time.time()
        store, latencies_s = ConfigStore(HttpTable(client), ManualClock()), []
        for number in range(8):
            sent_at = time.time()
            revision = store.accept(Change(f"op-{number}", (Record(Kind.POOL, "p", 2),)))
            for wake in wake_events if hinted else ():
                wake.set()
            while len(in_force_times.get(revision, ())) < follower_count:
                time.sleep(0.005)
            latencies_s.append(max(in_force_times[revision]) - sent_at)
        stats_after, elapsed_s = read_platform_stats(cluster), time.time() - started_at
        stop.set()
        for wake, thread in zip(wake_events, threads, strict=True):
            wake.set()
            thread.join()
        client.close()
    reads = stats_after["reads"] - stats_before.get("reads", 0)
    return {
        "followers": follower_count,
        "hinted": hinted,
        "p50 ms": round(quantile(latencies_s, 0.5) * 1000),
        "max ms": round(max(latencies_s) * 1000),
        "idle reads/s": round(follower_count / POLL_INTERVAL_S),
        "reads a change": round(
            (reads - elapsed_s * follower_count / POLL_INTERVAL_S) / len(latencies_s), 1
        ),
    }


def main() -> None:
    """Print the report and write it to docs/measurements."""
    sections = (
        f"{DAEMONS} daemons, {CHANGE_COUNT} changes one after another, "
        "until the last has it in force",
        porcelain.format_table([*rollout_rows()]),
        porcelain.format_table([faulty_row()]),
        TARGET_TEXT,
        "\nthe whole daemon, of which control is a part",
        porcelain.format_table(map(idle_row, IDLE_DAEMON_COUNTS)),
        "\nfollowers in one process over the stand-in, polling every 0.5 s",
        porcelain.format_table(
            follower_row(count, hinted) for count in FOLLOWER_COUNTS for hinted in (False, True)
        ),
    )
    text = "\n".join(sections) + "\n"
    sys.stdout.write(text)
    (ROOT / "docs" / "measurements" / "rollout.txt").write_text(text, encoding="utf-8")


if __name__ == "__main__":
    main()
