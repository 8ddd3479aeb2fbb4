"""Measure keyed requests through batched claims against one claim a transaction."""

import json
import statistics
import subprocess
import sys
import tempfile
import uuid
from collections import Counter
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import urllib3

from bench.load import Figures
from demo.cluster import ROOT, Cluster, post
from gypsumplank import porcelain
from gypsumplank.composition.claim import WRITES_PER_S
from gypsumplank.state.writer import MAX_BATCH

DAEMONS = 7
CALLERS = 64
SECONDS = 3.0
ROUNDS = 3
STORE_WRITES_PER_S = 300
TARGET_PER_S = 2000


@dataclass(frozen=True)
class Mode:
    """Hold how a writer groups changes: rows a transaction, seconds between transactions.

    This share of keys comes through every daemon.
    """

    max_batch: int
    pace_s: float
    shared: float = 0.0


MODES: Mapping[str, Mode] = {
    "one a transaction": Mode(1, 0.0),
    "batched, unpaced": Mode(MAX_BATCH, 0.0),
    "batched, paced": Mode(MAX_BATCH, DAEMONS / WRITES_PER_S),
    "paced, 2% shared keys": Mode(MAX_BATCH, DAEMONS / WRITES_PER_S, 0.02),
}


@dataclass(frozen=True)
class Round:
    """Hold what all claimers of one round did together; calls of the store are per key."""

    rate: float
    failed: int
    p50_ms: float
    p99_ms: float
    writes: float
    reads: float


def count_calls(platform: str) -> Counter[str]:
    """Return how many calls of each kind the platform has had."""
    return Counter(urllib3.request("GET", f"http://{platform}/stats").json())


def run_round(platform: str, mode: Mode) -> Round:
    """Run one claimer for each daemon, all at once."""
    before = count_calls(platform)
    common = ["--platform", platform, "--callers", str(CALLERS), "--seconds", str(SECONDS)]
    common += ["--max-batch", str(mode.max_batch), "--pace", str(mode.pace_s)]
    common += ["--label", uuid.uuid4().hex, "--shared", str(mode.shared)]
    processes = [
        subprocess.Popen(
            [sys.executable, "-m", "bench.claimer", "--daemon", f"entry-{number}", *common],
            cwd=ROOT,
            stdout=subprocess.PIPE,
        )
        for number in range(DAEMONS)
    ]
    figures = [Figures(**json.loads(process.communicate()[0])) for process in processes]
    calls = count_calls(platform) - before
    return Round(
        sum(held.rate for held in figures),
        sum(held.failed for held in figures),
        statistics.median(held.p50_ms for held in figures),
        max(held.p99_ms for held in figures),
        calls["writes"] / sum(held.finished for held in figures),
        calls["reads"] / sum(held.finished for held in figures),
    )


def rows(platform: str) -> Iterator[dict[str, Any]]:
    """Yield one row a mode, the round of the median rate, rounds interleaved."""
    found: dict[str, list[Round]] = {name: [] for name in MODES}
    for _ in range(ROUNDS):
        for name, mode in MODES.items():
            found[name].append(run_round(platform, mode))
    median = {
        name: sorted(held, key=lambda one: one.rate)[ROUNDS // 2] for name, held in found.items()
    }
    baseline = median["one a transaction"]
    for name, held in median.items():
        yield {
            "claims": name,
            "keyed/s": round(held.rate),
            "failed": held.failed,
            "p50 ms": round(held.p50_ms),
            "p99 ms": round(held.p99_ms),
            "writes/key": round(held.writes, 3),
            "reads/key": round(held.reads, 3),
            "ratio": round(held.rate / baseline.rate, 1),
        }


def run(folder: Path) -> str:
    """Return the report."""
    with Cluster(folder) as cluster:
        platform = cluster.start_platform()
        post(platform, "/faults", {"writes_per_s": STORE_WRITES_PER_S})
        table = porcelain.table(rows(platform))
    return (
        f"{table}\n\n{DAEMONS} claimers of {CALLERS} callers each, {SECONDS:.0f} s a round, "
        f"store limited to {STORE_WRITES_PER_S} writes/s\n"
        "claim layer alone: the endpoint answers at once, no HTTP hop\n"
        f"target: {TARGET_PER_S} keyed requests/s over the daemons\n"
    )


def main() -> None:
    """Print the report and keep it."""
    with tempfile.TemporaryDirectory() as folder:
        text = run(Path(folder))
    sys.stdout.write(text)
    path = ROOT / "docs" / "measurements" / "claims.txt"
    path.write_text(text, encoding="utf-8")


if __name__ == "__main__":
    main()
