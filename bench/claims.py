"""Compare batched idempotency claims with one claim per transaction."""

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

from bench.load import LoadResult
from demo.cluster import ROOT, Cluster, post
from gypsumplank import porcelain
from gypsumplank.composition.claim import FLEET_COMMITS_PER_S
from gypsumplank.state.writer import MAX_BATCH_CHANGES

DAEMONS = 7
CALLERS_PER_DAEMON = 64
ROUND_S = 3.0
ROUNDS = 3
STORE_WRITES_PER_S = 300
TARGET_REQUESTS_PER_S = 2000


@dataclass(frozen=True)
class WriterMode:
    """Configure a batch writer: maximum rows per transaction and seconds between commits.

    `shared_fraction` of the keys are sent through every daemon.
    """

    max_batch: int
    commit_interval_s: float
    shared_fraction: float = 0.0


MODES: Mapping[str, WriterMode] = {
    "one a transaction": WriterMode(1, 0.0),
    "batched, unpaced": WriterMode(MAX_BATCH_CHANGES, 0.0),
    "batched, paced": WriterMode(MAX_BATCH_CHANGES, DAEMONS / FLEET_COMMITS_PER_S),
    "paced, 2% shared keys": WriterMode(MAX_BATCH_CHANGES, DAEMONS / FLEET_COMMITS_PER_S, 0.02),
}


@dataclass(frozen=True)
class RoundResult:
    """Store the combined result of all claimers of one round; store calls are per key."""

    rate_per_s: float
    failed: int
    p50_ms: float
    p99_ms: float
    writes_per_key: float
    reads_per_key: float


def count_calls(platform: str) -> Counter[str]:
    """Return the number of calls of each kind that the platform has received."""
    return Counter(urllib3.request("GET", f"http://{platform}/stats").json())


def run_round(platform: str, mode: WriterMode) -> RoundResult:
    """Run one claimer process per simulated daemon, all at the same time."""
    calls_before = count_calls(platform)
    common = [
        "--platform",
        platform,
        "--callers",
        str(CALLERS_PER_DAEMON),
        "--seconds",
        str(ROUND_S),
    ]
    common += ["--max-batch", str(mode.max_batch), "--pace", str(mode.commit_interval_s)]
    common += ["--label", uuid.uuid4().hex, "--shared", str(mode.shared_fraction)]
    processes = [
        subprocess.Popen(
            [sys.executable, "-m", "bench.claimer", "--daemon", f"entry-{number}", *common],
            cwd=ROOT,
            stdout=subprocess.PIPE,
        )
        for number in range(DAEMONS)
    ]
    results = [LoadResult(**json.loads(process.communicate()[0])) for process in processes]
    calls = count_calls(platform) - calls_before
    return RoundResult(
        sum(result.rate for result in results),
        sum(result.failed for result in results),
        statistics.median(result.p50_ms for result in results),
        max(result.p99_ms for result in results),
        calls["writes"] / sum(result.finished for result in results),
        calls["reads"] / sum(result.finished for result in results),
    )


def mode_rows(platform: str) -> Iterator[dict[str, Any]]:
    """Yield one row per mode: its round with the median rate; rounds are interleaved."""
    rounds: dict[str, list[RoundResult]] = {name: [] for name in MODES}
    for _ in range(ROUNDS):
        for name, mode in MODES.items():
            rounds[name].append(run_round(platform, mode))
    median_rounds = {
        name: sorted(mode_rounds, key=lambda result: result.rate_per_s)[ROUNDS // 2]
        for name, mode_rounds in rounds.items()
    }
    baseline = median_rounds["one a transaction"]
    for name, result in median_rounds.items():
        yield {
            "claims": name,
            "keyed/s": round(result.rate_per_s),
            "failed": result.failed,
            "p50 ms": round(result.p50_ms),
            "p99 ms": round(result.p99_ms),
            "writes/key": round(result.writes_per_key, 3),
            "reads/key": round(result.reads_per_key, 3),
            "ratio": round(result.rate_per_s / baseline.rate_per_s, 1),
        }


def make_report(folder: Path) -> str:
    """Run all rounds and return the report."""
    with Cluster(folder) as cluster:
        platform = cluster.start_platform()
        post(platform, "/faults", {"writes_per_s": STORE_WRITES_PER_S})
        table = porcelain.format_table(mode_rows(platform))
    return (
        f"{table}\n\n{DAEMONS} claimers of {CALLERS_PER_DAEMON} callers each, "
        f"{ROUND_S:.0f} s a round, "
        f"store limited to {STORE_WRITES_PER_S} writes/s\n"
        "claim layer alone: the endpoint answers at once, no HTTP hop\n"
        f"target: {TARGET_REQUESTS_PER_S} keyed requests/s over the daemons\n"
    )


def main() -> None:
    """Print the report and write it to docs/measurements."""
    with tempfile.TemporaryDirectory() as folder:
        text = make_report(Path(folder))
    sys.stdout.write(text)
    path = ROOT / "docs" / "measurements" / "claims.txt"
    path.write_text(text, encoding="utf-8")


if __name__ == "__main__":
    main()
