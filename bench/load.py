"""Send a bounded load over kept connections and time each answer."""

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
class Figures:
    """Hold what one load measured; times in milliseconds."""

    callers: int
    finished: int
    failed: int
    rate: float
    p50_ms: float
    p99_ms: float


def quantile(values: Sequence[float], share: float) -> float:
    """Return the value below which this share lies."""
    held = sorted(values)
    return held[min(len(held) - 1, int(share * len(held)))] if held else 0.0


def run_load(address: str, path: str, callers: int, seconds: float) -> Figures:
    """Send requests from so many callers for so long."""
    times: list[list[float]] = [[] for _ in range(callers)]
    failed = [0] * callers
    until = time.monotonic() + seconds

    def caller(number: int) -> None:
        host, _, port = address.rpartition(":")
        conn = http.client.HTTPConnection(host, int(port), timeout=10)
        while time.monotonic() < until:
            started = time.monotonic()
            conn.request("POST", path, BODY)
            resp = conn.getresponse()
            whole = resp.read() == BODY and resp.status == STATUS_OK
            times[number].append(time.monotonic() - started)
            failed[number] += not whole
        conn.close()

    started = time.monotonic()
    threads = [threading.Thread(target=caller, args=(number,)) for number in range(callers)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    elapsed = time.monotonic() - started
    held = [seconds * 1000 for caller_times in times for seconds in caller_times]
    return Figures(
        callers,
        len(held) - sum(failed),
        sum(failed),
        len(held) / elapsed,
        quantile(held, 0.5),
        quantile(held, 0.99),
    )


def main() -> None:
    """Run one load and print its figures as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--address", required=True)
    parser.add_argument("--path", required=True)
    parser.add_argument("--callers", type=int, required=True)
    parser.add_argument("--seconds", type=float, required=True)
    args = parser.parse_args()
    figures = run_load(args.address, args.path, args.callers, args.seconds)
    json.dump(asdict(figures), sys.stdout)


if __name__ == "__main__":
    main()
