"""Measure how fast and at what cost a change comes in force everywhere."""

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
from gypsumplank.coordination.follower import Follower
from gypsumplank.errors import ServerError
from gypsumplank.protocol.operator import PATH_CHANGES, ChangeOrder, ChangeReceipt
from gypsumplank.protocol.record import Kind, Record
from gypsumplank.state.clock import ManualClock
from gypsumplank.state.config import Change, ConfigStore
from gypsumplank.state.reader import ConfigReader
from gypsumplank.state.view import ViewHolder
from gypsumplank.transport.platform import HttpTable, PlatformClient

DAEMONS = 7
CHANGES = 40
FLEETS = (7, 20, 60)
POLL_S = 0.5
PAUSE_S = 8.0
IDLE_S = 10.0
IDLE_FLEETS = (3, 7, 12)
WAIT_S = 40.0
IN_FORCE = re.compile(r"time=\"?(\S+ \S+?)\"? .*event=config-in-force .*revision=(\d+)")
TARGET = "targets: p99 at most 1 s with the store well, 19 s with loss and a paused daemon"


def start_fleet(
    cluster: Cluster, keys: Callable[[int], str], poll_s: float, count: int = DAEMONS
) -> None:
    """Start a platform and daemons, each with the key of its number."""
    cluster.start_platform(seed=1)
    for number in range(count):
        cluster.start_daemon(
            f"entry-{number}",
            "z",
            security={"peer_key": keys(number)},
            config={"poll_s": poll_s},
        )


def logged(cluster: Cluster, name: str) -> dict[int, float]:
    """Return when each revision came in force at a daemon, in seconds since the epoch."""
    found = IN_FORCE.findall(cluster.log(name))
    return {int(rev): datetime.fromisoformat(at.replace(",", ".")).timestamp() for at, rev in found}


def in_force_at(times: dict[int, float], revision: int) -> float | None:
    """Return when a revision, or a later one in its stead, came in force."""
    return min((at for rev, at in times.items() if rev >= revision), default=None)


def apply_pool(cluster: Cluster, number: int, daemon: int) -> tuple[int, float]:
    """Apply one change; return its revision and when it was sent."""
    server = porcelain.Server(cluster.operators(f"entry-{daemon}"))
    record = Record(Kind.POOL, f"p{number % 5}", 2, {"x_change": number})
    order = ChangeOrder(f"bench-{number}", (record,))
    sent = time.time()
    while True:
        try:
            receipt = server.call("POST", PATH_CHANGES, ChangeReceipt, order)
            return receipt.revision, sent
        except ServerError:
            time.sleep(0.05)


def wait_all(cluster: Cluster, revision: int) -> list[float]:
    """Return when a revision came in force at each daemon."""
    until = time.time() + WAIT_S
    while time.time() < until:
        times = [
            in_force_at(logged(cluster, f"entry-{number}"), revision) for number in range(DAEMONS)
        ]
        done = [at for at in times if at is not None]
        if len(done) == DAEMONS:
            return done
        time.sleep(0.02)
    raise TimeoutError(f"revision {revision}")


def stats(cluster: Cluster) -> dict[str, int]:
    """Return the platform's counts."""
    return urllib3.request("GET", f"http://{cluster.platform}/stats").json()


def spread(cluster: Cluster, count: int, after_s: float = 0.0) -> list[float]:
    """Apply changes through all daemons in turn; return the seconds until all had each."""
    taken = []
    for number in range(count):
        revision, sent = apply_pool(cluster, number, number % DAEMONS)
        taken.append(max(wait_all(cluster, revision)) - sent)
        time.sleep(after_s)
    return taken


def summary(name: str, taken: Sequence[float]) -> dict[str, Any]:
    """Return one row of times in milliseconds."""
    return {
        "way": name,
        "changes": len(taken),
        "p50 ms": round(quantile(taken, 0.5) * 1000),
        "p99 ms": round(quantile(taken, 0.99) * 1000),
        "max ms": round(max(taken) * 1000),
    }


def real_rows() -> Iterator[dict[str, Any]]:
    """Yield a row for each way of spreading over real daemons."""
    ways: tuple[tuple[str, Callable[[int], str], float], ...] = (
        ("polling 0.5 s only", lambda number: f"a-key-of-its-own-{number}", POLL_S),
        ("hints, polling 0.5 s", lambda _: "one-key-for-all-daemons", POLL_S),
        ("hints, polling 2 s", lambda _: "one-key-for-all-daemons", 4 * POLL_S),
    )
    for name, keys, poll_s in ways:
        with tempfile.TemporaryDirectory() as folder, Cluster(Path(folder)) as cluster:
            start_fleet(cluster, keys, poll_s)
            time.sleep(2.0)
            before, started = stats(cluster), time.time()
            taken = spread(cluster, CHANGES, 0.1)
            after, passed = stats(cluster), time.time() - started
            rate = {key: (after[key] - before.get(key, 0)) / passed for key in after}
            yield {
                **summary(name, taken),
                "reads/s": round(rate["reads"], 1),
                "read KB/s": round(rate["reads_bytes"] / 1000, 1),
                "writes/s": round(rate["writes"], 1),
            }


def idle_row(fleet: int) -> dict[str, Any]:
    """Return what an idle daemon spends, median of all, and what all ask of the store."""
    with tempfile.TemporaryDirectory() as folder, Cluster(Path(folder)) as cluster:
        start_fleet(cluster, lambda _: "one-key-for-all-daemons", POLL_S, fleet)
        time.sleep(3.0)
        pids = [cluster.processes[f"entry-{number}"].pid for number in range(fleet)]
        before, asked = [cpu_s(pid) for pid in pids], stats(cluster)
        time.sleep(IDLE_S)
        rate = {key: (count - asked.get(key, 0)) / IDLE_S for key, count in stats(cluster).items()}
        spent = [cpu_s(pid) - was for pid, was in zip(pids, before, strict=True)]
        return {
            "idle daemons": fleet,
            "reads/s": round(rate["reads"], 1),
            "read KB/s": round(rate["reads_bytes"] / 1000, 1),
            "writes/s": round(rate["writes"], 1),
            "written KB/s": round(rate["writes_bytes"] / 1000, 1),
            "% of a core": round(quantile(spent, 0.5) / IDLE_S * 100, 2),
            "resident MiB": round(quantile([resident_mib(pid) for pid in pids], 0.5), 1),
        }


def cpu_s(pid: int) -> float:
    """Return the processor time of a process, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text(encoding="utf-8").rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def faulty_row() -> dict[str, Any]:
    """Return a row for lost answers and a daemon that is paused and resumed."""
    with tempfile.TemporaryDirectory() as folder, Cluster(Path(folder)) as cluster:
        start_fleet(cluster, lambda _: "one-key-for-all-daemons", POLL_S)
        time.sleep(2.0)
        post(cluster.platform, "/faults", {"lose_answers": 0.3, "delay_s": 0.02})
        taken = []
        for number in range(2):
            cluster.signal("entry-6", signal.SIGSTOP)
            resume = threading.Timer(PAUSE_S, cluster.signal, ("entry-6", signal.SIGCONT))
            resume.start()
            revision, sent = apply_pool(cluster, number, number)
            taken.append(max(wait_all(cluster, revision)) - sent)
            resume.join()
        return summary(f"3 of 10 answers lost, one paused {PAUSE_S:g} s", taken)


def slope_row(fleet: int, hinted: bool) -> dict[str, Any]:
    """Return store reads and time in force for followers in one process."""
    with tempfile.TemporaryDirectory() as folder, Cluster(Path(folder)) as cluster:
        cluster.start_platform()
        client = PlatformClient(cluster.platform, 5.0)
        stop, lock = threading.Event(), threading.Lock()
        wakes = [threading.Event() for _ in range(fleet)]
        seen: dict[int, list[float]] = {}

        def note(revision: int) -> None:
            with lock:
                seen.setdefault(revision, []).append(time.time())

        def follow(wake: threading.Event, offset: float) -> None:
            follower = Follower(ConfigReader(HttpTable(client)), ViewHolder(), note)
            stop.wait(offset)
            while not stop.is_set():
                wake.clear()
                follower.tick()
                wake.wait(POLL_S)

        threads = [
            threading.Thread(target=follow, args=(wake, POLL_S * number / fleet))
            for number, wake in enumerate(wakes)
        ]
        for thread in threads:
            thread.start()
        time.sleep(1.0)
        before, started = stats(cluster), time.time()
        store, taken = ConfigStore(HttpTable(client), ManualClock()), []
        for number in range(8):
            sent = time.time()
            revision = store.accept(Change(f"op-{number}", (Record(Kind.POOL, "p", 2),)))
            for wake in wakes if hinted else ():
                wake.set()
            while len(seen.get(revision, ())) < fleet:
                time.sleep(0.005)
            taken.append(max(seen[revision]) - sent)
        after, passed = stats(cluster), time.time() - started
        stop.set()
        for wake, thread in zip(wakes, threads, strict=True):
            wake.set()
            thread.join()
        client.close()
    reads = after["reads"] - before.get("reads", 0)
    return {
        "followers": fleet,
        "hinted": hinted,
        "p50 ms": round(quantile(taken, 0.5) * 1000),
        "max ms": round(max(taken) * 1000),
        "idle reads/s": round(fleet / POLL_S),
        "reads a change": round((reads - passed * fleet / POLL_S) / len(taken), 1),
    }


def main() -> None:
    """Print the report and keep it."""
    parts = (
        f"{DAEMONS} daemons, {CHANGES} changes one after another, until the last has it in force",
        porcelain.table([*real_rows()]),
        porcelain.table([faulty_row()]),
        TARGET,
        "\nthe whole daemon, of which control is a part",
        porcelain.table(map(idle_row, IDLE_FLEETS)),
        "\nfollowers in one process over the stand-in, polling every 0.5 s",
        porcelain.table(slope_row(fleet, hinted) for fleet in FLEETS for hinted in (False, True)),
    )
    text = "\n".join(parts) + "\n"
    sys.stdout.write(text)
    (ROOT / "docs" / "measurements" / "rollout.txt").write_text(text, encoding="utf-8")


if __name__ == "__main__":
    main()
