"""Count keys that ran more than once while daemons, workers and the store fail at random."""

import argparse
import itertools
import json
import random
import signal
import sys
import tempfile
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from pathlib import Path

import urllib3
from urllib3.exceptions import HTTPError

from demo.__main__ import make_records
from demo.cluster import ROOT, Cluster, free_addresses, post
from gypsumplank import porcelain

DAEMONS = 3
HOSTS = 4
CALLERS = 12
SECONDS = 30.0
FAULT_S = 1.0
REPEATS = 4
REPEAT_PAUSE_S = 0.3
TIMEOUT_MS = 3000
LEASE = {"heartbeat_s": 0.3, "lease_s": 1.5}
SETTLE_S = 4.0
WORKER_MODES = ("reset-before", "reset-after", "truncate", "crossed", "fail")
SERVICE = "counter-desk"


@dataclass(frozen=True)
class Told:
    """Hold one reply to a request with a key."""

    key: str
    outcome: str
    status: int
    body: bytes


class Run:
    """Hold one randomised run: callers that repeat their keys, and a maker of faults."""

    def __init__(self, cluster: Cluster, workers: list[str], seed: int) -> None:
        self._cluster = cluster
        self._workers = workers
        self._rng = random.Random(seed)
        self._names = [f"entry-{number}" for number in range(DAEMONS)]
        self._until = time.monotonic() + SECONDS
        self.told: list[Told] = []
        self.faults: Counter[str] = Counter()

    def drive(self) -> None:
        """Run callers and faults until the time is over, then let all settle."""
        seeds = [self._rng.random() for _ in range(CALLERS)]
        threads = [
            threading.Thread(target=self._call, args=(number, random.Random(seed)))
            for number, seed in enumerate(seeds)
        ]
        for thread in threads:
            thread.start()
        while time.monotonic() < self._until:
            self._make_fault()
        for thread in threads:
            thread.join()
        time.sleep(SETTLE_S)

    def repeat_all(self) -> None:
        """Repeat every key once more when nothing fails."""
        pool = urllib3.PoolManager(maxsize=1)
        for key in dict.fromkeys(told.key for told in self.told):
            self.told.append(self._send(pool, self._names[0], key))

    def runs(self) -> Counter[str]:
        """Return how often each key ran."""
        logs = [urllib3.request("GET", f"http://{host}/_runs").json() for host in self._workers]
        return Counter(run["key"] for run in itertools.chain(*logs) if run["key"])

    def _call(self, number: int, rng: random.Random) -> None:
        pool = urllib3.PoolManager(maxsize=1)
        for serial in itertools.count():
            for _ in range(rng.randint(1, REPEATS)):
                if time.monotonic() >= self._until:
                    return
                name = rng.choice(self._names)
                self.told.append(self._send(pool, name, f"{number}-{serial}"))
                time.sleep(rng.uniform(0, REPEAT_PAUSE_S))

    def _send(self, pool: urllib3.PoolManager, name: str, key: str) -> Told:
        headers = {"Idempotency-Key": key, "Request-Timeout-Ms": str(TIMEOUT_MS), "X-Work-Ms": "20"}
        url = f"http://{self._cluster.callers(name)}/{SERVICE}/orders"
        try:
            resp = pool.request(
                "POST", url, body=key.encode(), headers=headers, retries=False, timeout=10.0
            )
        except HTTPError:
            return Told(key, "no-answer", 0, b"")
        problem = resp.headers.get("Content-Type", "").startswith("application/problem")
        outcome = json.loads(resp.data)["outcome"] if problem else "finished"
        return Told(key, outcome, resp.status, resp.data)

    def _make_fault(self) -> None:
        makers: list[Callable[[], None]] = [self._kill, self._pause, self._store, self._worker]
        maker = self._rng.choice(makers)
        self.faults[maker.__name__.strip("_")] += 1
        maker()
        time.sleep(self._rng.uniform(0.1, FAULT_S))

    def _kill(self) -> None:
        name = self._rng.choice(self._names)
        self._cluster.kill(name)
        self._cluster.start_daemon(name, "kochi-a")

    def _pause(self) -> None:
        name = self._rng.choice(self._names)
        self._cluster.signal(name, signal.SIGSTOP)
        time.sleep(self._rng.uniform(0.2, 2 * LEASE["lease_s"]))
        self._cluster.signal(name, signal.SIGCONT)

    def _store(self) -> None:
        faults = self._rng.choice(
            [{"outage": True}, {"lose_answers": 0.5}, {"lose_answers": 1.0}, {"delay_s": 0.5}]
        )
        post(self._cluster.platform, "/faults", faults)
        time.sleep(self._rng.uniform(0.1, FAULT_S))
        post(self._cluster.platform, "/faults", {})

    def _worker(self) -> None:
        fault = {"mode": self._rng.choice(WORKER_MODES), "times": 10}
        post(self._rng.choice(self._workers), "/_fault", fault)


def different_answers(told: list[Told]) -> int:
    """Return how many keys got two finished replies that differ."""
    finished: dict[str, set[tuple[int, bytes]]] = {}
    for one in told:
        if one.outcome == "finished":
            finished.setdefault(one.key, set()).add((one.status, one.body))
    return sum(len(replies) > 1 for replies in finished.values())


def lines(run: Run, runs: Counter[str], seed: int) -> Iterator[str]:
    """Yield the report."""
    outcomes = Counter(told.outcome for told in run.told)
    keys = {told.key for told in run.told}
    finished = {told.key for told in run.told if told.outcome == "finished"}
    yield f"seed {seed}, {DAEMONS} daemons, {CALLERS} callers, {SECONDS:.0f} s"
    yield f"faults: {dict(sorted(run.faults.items()))}"
    yield f"keys {len(keys)}, requests {len(run.told)}, replies {dict(sorted(outcomes.items()))}"
    yield f"keys finished {len(finished)}, keys run {len(runs)}"
    yield f"keys run more than once: {sum(count > 1 for count in runs.values())} (target 0)"
    yield f"keys with two different answers: {different_answers(run.told)} (target 0)"
    foreign = sum(told.status == 200 and told.body != told.key.encode() for told in run.told)
    yield f"answers of another request: {foreign} (target 0)"


def measure(folder: Path, seed: int) -> str:
    """Return the report of one run."""
    with Cluster(folder) as cluster:
        cluster.start_platform(seed)
        workers = free_addresses(HOSTS)
        cluster.start_workers("workers", workers)
        for number in range(DAEMONS):
            cluster.start_daemon(f"entry-{number}", "kochi-a", session=LEASE)
        server = porcelain.Server(cluster.operators("entry-0"))
        records = make_records(folder, {SERVICE: workers, "harbour-desk": []})
        porcelain.apply(server, records[:1])
        time.sleep(1.5)
        run = Run(cluster, workers, seed)
        run.drive()
        run.repeat_all()
        return "\n".join(lines(run, run.runs(), seed)) + "\n"


def main() -> None:
    """Print the report and keep it."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    args, _ = parser.parse_known_args()
    with tempfile.TemporaryDirectory() as folder:
        text = measure(Path(folder), args.seed)
    sys.stdout.write(text)
    path = ROOT / "docs" / "measurements" / "once.txt"
    path.write_text(text, encoding="utf-8")


if __name__ == "__main__":
    main()
