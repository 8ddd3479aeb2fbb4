"""Generate closed-loop load over keep-alive connections and measure latencies."""

import argparse
import http.client
import json
import sys
import threading
import time
from collections.abc import Sequence
from dataclasses import asdict, dataclass

BODY = b"x" * 512
STATUS_OK = 200


@dataclass(frozen=True)
class LoadResult:
    """Store the result of one load; `rate` is in requests per second."""

    callers: int
    finished: int
    failed: int
    rate: float
    p50_ms: float
    p99_ms: float


def quantile(values: Sequence[float], fraction: float) -> float:
    """Return the value below which this fraction of the values lies; 0 if there are none."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))] if ordered else 0.0


def run_load(address: str, path: str, callers: int, duration_s: float) -> LoadResult:
    """Send requests from concurrent callers for `duration_s` seconds."""
    durations_s: list[list[float]] = [[] for _ in range(callers)]
    failed = [0] * callers
    ends_at = time.monotonic() + duration_s

    def run_caller(number: int) -> None:
        host, _, port = address.rpartition(":")
        conn = http.client.HTTPConnection(host, int(port), timeout=10)
        while time.monotonic() < ends_at:
            started = time.monotonic()
            conn.request("POST", path, BODY)
            resp = conn.getresponse()
            is_echoed = resp.read() == BODY and resp.status == STATUS_OK
            durations_s[number].append(time.monotonic() - started)
            failed[number] += not is_echoed
        conn.close()

    started = time.monotonic()
    threads = [threading.Thread(target=run_caller, args=(number,)) for number in range(callers)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    elapsed = time.monotonic() - started
    latencies_ms = [
        duration_s * 1000 for caller_durations in durations_s for duration_s in caller_durations
    ]
    return LoadResult(
        callers,
        len(latencies_ms) - sum(failed),
        sum(failed),
        len(latencies_ms) / elapsed,
        quantile(latencies_ms, 0.5),
        quantile(latencies_ms, 0.99),
    )


def main() -> None:
    """Run one load and print its result as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--address", required=True)
    parser.add_argument("--path", required=True)
    parser.add_argument("--callers", type=int, required=True)
    parser.add_argument("--seconds", type=float, required=True)
    args = parser.parse_args()
    result = run_load(args.address, args.path, args.callers, args.seconds)
    json.dump(asdict(result), sys.stdout)


if __name__ == "__main__":
    main()
