"""Measure the look-up of an API key's account, and the reading of a manifest with many keys."""

import sys
import time
from collections.abc import Callable
from typing import Any

import msgspec

from bench.load import quantile
from demo.cluster import ROOT
from gypsumplank.coordination.job.freshness import KeyPolicy, ManifestFreshness
from gypsumplank.coordination.job.identity import build_key_table
from gypsumplank.coordination.job.submission import JobService
from gypsumplank.platform.directory import decode_manifest
from gypsumplank.porcelain import format_table
from gypsumplank.protocol.account import hash_key
from gypsumplank.state.clock import SystemClock
from gypsumplank.state.job import JobStore
from gypsumplank.state.table import MemoryTable

# (accounts, keys)
SIZES = ((10, 50), (1000, 5000))
BATCHES = 200
CALLS_PER_BATCH = 500
BUILDS = 20
MAX_LOOKUP_US = 5.0
PATH = "/proofs/5c0e7a21d94b36f8"


def make_key(account: int, number: int) -> str:
    """Return a key of the length that is usual for random ones."""
    return f"key-{account:08d}-{number:08d}-{'x' * 18}"


def encode_manifest(accounts: int, keys: int) -> bytes:
    """Return the row of a manifest whose accounts share the keys evenly."""
    tenants = [
        {
            "name": f"team-{account:04d}",
            "api-keys": [make_key(account, number) for number in range(keys // accounts)],
            "weight": 1,
        }
        for account in range(accounts)
    ]
    route = {"name": "r", "host": "desk.example", "prefix": "/proofs/", "service": "desk"}
    return msgspec.json.encode({"version": 1, "routes": [route], "tenants": tenants})


def time_us(call: Callable[[int], object], batches: int, calls: int) -> tuple[float, float]:
    """Return the median and the 95th percentile of the mean time of a call in each batch."""
    times_us = []
    for batch in range(batches):
        started_at = time.perf_counter()
        for number in range(batch * calls, (batch + 1) * calls):
            call(number)
        times_us.append((time.perf_counter() - started_at) / calls * 1e6)
    return quantile(times_us, 0.5), quantile(times_us, 0.95)


def measure(accounts: int, keys: int) -> list[dict[str, Any]]:
    """Return one row for each step from a key to its account, and of reading the manifest."""
    raw = encode_manifest(accounts, keys)
    manifest = decode_manifest(raw)
    table = build_key_table(manifest)
    per_account = keys // accounts
    listed = [
        make_key(account, number) for account in range(accounts) for number in range(per_account)
    ]
    digests = [hash_key(key) for key in listed]
    freshness, clock = ManifestFreshness(), SystemClock()
    freshness.record_read(manifest, clock.monotonic())
    policy = KeyPolicy(True, 1e6)
    jobs = JobService(JobStore(MemoryTable()), clock, lambda: freshness.in_force, lambda: policy)
    # A stride that shares no factor with the numbers of keys, so that the order is not that of the
    # table's construction.
    calls: dict[str, tuple[Callable[[int], object], int, int]] = {
        "look-up": (lambda i: table.find(digests[i * 7919 % keys]), BATCHES, CALLS_PER_BATCH),
        "hash and look-up": (
            lambda i: table.find(hash_key(listed[i * 7919 % keys])),
            BATCHES,
            CALLS_PER_BATCH,
        ),
        "authorize": (
            lambda i: jobs.authorize("desk.example", PATH, digests[i * 7919 % keys]),
            BATCHES,
            CALLS_PER_BATCH,
        ),
        "decode manifest": (lambda _: decode_manifest(raw), BUILDS, 1),
        "build table": (lambda _: build_key_table(manifest), BUILDS, 1),
    }
    rows = []
    for name, (call, batches, per_batch) in calls.items():
        median_us, p95_us = time_us(call, batches, per_batch)
        rows.append(
            {
                "accounts": accounts,
                "keys": keys,
                "step": name,
                "us p50": round(median_us, 2),
                "us p95": round(p95_us, 2),
            }
        )
    return rows


def main() -> None:
    """Print the report and write it to docs/measurements."""
    rows = [row for size in SIZES for row in measure(*size)]
    text = (
        f"{format_table(iter(rows))}\ntarget: a look-up takes less than {MAX_LOOKUP_US} us; "
        f"p95 of batches of {CALLS_PER_BATCH} calls\n"
    )
    sys.stdout.write(text)
    (ROOT / "docs" / "measurements" / "identity.txt").write_text(text, encoding="utf-8")


if __name__ == "__main__":
    main()
