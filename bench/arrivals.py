"""Generate open-loop load with Poisson arrivals and count the outcomes."""

import argparse
import http.client
import json
import random
import sys
import threading
import time
from collections import Counter
from collections.abc import Iterator, Sequence
from dataclasses import asdict, dataclass

BODY = b"x" * 512
STATUS_OK = 200
CALLER_THREADS = 400
TIMEOUT_MARGIN_S = 2.0


@dataclass(frozen=True)
class RequestCounts:
    """Count requests by outcome."""

    offered: int
    on_time: int
    late: int
    refused: int
    failed: int


def arrival_times(rate_per_s: float, duration_s: float, rng: random.Random) -> Iterator[float]:
    """Yield arrival times in seconds from the start, with exponential gaps."""
    arrival_s = rng.expovariate(rate_per_s)
    while arrival_s < duration_s:
        yield arrival_s
        arrival_s += rng.expovariate(rate_per_s)


class OpenLoopLoad:
    """Send requests at their scheduled times, whether or not earlier ones were answered."""

    def __init__(self, args: argparse.Namespace) -> None:
        self._args = args
        self._rng = random.Random(args.seed)
        self._schedule = arrival_times(args.rate, args.seconds, self._rng)
        self._lock = threading.Lock()
        self._outcomes: Counter[str] = Counter()
        self._starts_at = time.monotonic() + 0.5

    def run(self) -> RequestCounts:
        """Send all requests and return the counts."""
        threads = [threading.Thread(target=self._run_caller) for _ in range(CALLER_THREADS)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        outcomes = ("on_time", "late", "refused", "failed")
        return RequestCounts(
            self._outcomes.total(), *(self._outcomes[outcome] for outcome in outcomes)
        )

    def _run_caller(self) -> None:
        conns: dict[str, http.client.HTTPConnection] = {}
        while True:
            with self._lock:
                offset_s = next(self._schedule, None)
                address = self._rng.choice(self._args.address)
            if offset_s is None:
                break
            time.sleep(max(0.0, self._starts_at + offset_s - time.monotonic()))
            outcome = self._send(conns, address, self._starts_at + offset_s)
            with self._lock:
                self._outcomes[outcome] += 1
        for conn in conns.values():
            conn.close()

    def _send(
        self, conns: dict[str, http.client.HTTPConnection], address: str, scheduled_at: float
    ) -> str:
        args = self._args
        timeout_s = args.within_ms / 1000
        host, _, port = address.rpartition(":")
        conn = conns.get(address) or http.client.HTTPConnection(host, int(port))
        conn.timeout = timeout_s + TIMEOUT_MARGIN_S
        headers = {
            "Request-Timeout-Ms": str(args.within_ms),
            "X-Work-Ms": str(args.work_ms),
            "Priority": f"u={args.urgency}",
        }
        try:
            conn.request("POST", args.path, BODY, headers)
            resp = conn.getresponse()
            body = resp.read()
        except OSError:
            conns.pop(address, None)
            return "failed"
        conns[address] = conn
        if resp.status != STATUS_OK:
            return "refused" if b'"not-run"' in body else "failed"
        return "on_time" if time.monotonic() <= scheduled_at + timeout_s else "late"


def main(argv: Sequence[str] | None = None) -> None:
    """Run the load and print its counts as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--address", required=True, action="append")
    parser.add_argument("--path", required=True)
    parser.add_argument("--rate", type=float, required=True)
    parser.add_argument("--seconds", type=float, required=True)
    parser.add_argument("--work-ms", type=int, default=100)
    parser.add_argument("--within-ms", type=int, default=1000)
    parser.add_argument("--urgency", type=int, default=3)
    parser.add_argument("--seed", type=int, default=7)
    args = parser.parse_args(argv)
    json.dump(asdict(OpenLoopLoad(args).run()), sys.stdout)


if __name__ == "__main__":
    main()
