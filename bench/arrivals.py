"""Send requests at random times, whether or not earlier ones were answered."""

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
CALLERS = 400
SPARE_S = 2.0


@dataclass(frozen=True)
class Counts:
    """Hold what became of the requests."""

    offered: int
    on_time: int
    late: int
    refused: int
    failed: int


def times(rate: float, seconds: float, rng: random.Random) -> Iterator[float]:
    """Yield the times of arrivals, in seconds from the start."""
    now = rng.expovariate(rate)
    while now < seconds:
        yield now
        now += rng.expovariate(rate)


class Load:
    """Hold one load and its counts."""

    def __init__(self, args: argparse.Namespace) -> None:
        self._args = args
        self._rng = random.Random(args.seed)
        self._schedule = times(args.rate, args.seconds, self._rng)
        self._lock = threading.Lock()
        self._found: Counter[str] = Counter()
        self._started = time.monotonic() + 0.5

    def run(self) -> Counts:
        """Send all requests and return the counts."""
        threads = [threading.Thread(target=self._caller) for _ in range(CALLERS)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        kinds = ("on_time", "late", "refused", "failed")
        return Counts(self._found.total(), *(self._found[kind] for kind in kinds))

    def _caller(self) -> None:
        conns: dict[str, http.client.HTTPConnection] = {}
        while True:
            with self._lock:
                due = next(self._schedule, None)
                address = self._rng.choice(self._args.address)
            if due is None:
                break
            time.sleep(max(0.0, self._started + due - time.monotonic()))
            kind = self._send(conns, address, self._started + due)
            with self._lock:
                self._found[kind] += 1
        for conn in conns.values():
            conn.close()

    def _send(self, conns: dict[str, http.client.HTTPConnection], address: str, due: float) -> str:
        args = self._args
        within_s = args.within_ms / 1000
        host, _, port = address.rpartition(":")
        conn = conns.get(address) or http.client.HTTPConnection(host, int(port))
        conn.timeout = within_s + SPARE_S
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
        return "on_time" if time.monotonic() <= due + within_s else "late"


def main(argv: Sequence[str] | None = None) -> None:
    """Run one load and print its counts as JSON."""
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
    json.dump(asdict(Load(args).run()), sys.stdout)


if __name__ == "__main__":
    main()
