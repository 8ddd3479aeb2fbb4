"""Count idempotency keys executed more than once under random faults.

Faults hit daemons, workers and the platform's store.
"""

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
HOST_COUNT = 4
CALLERS = 12
RUN_S = 30.0
MAX_FAULT_S = 1.0
MAX_SENDS_PER_KEY = 4
MAX_RESEND_DELAY_S = 0.3
TIMEOUT_MS = 3000
SESSION_SETTINGS = {"heartbeat_s": 0.3, "lease_s": 1.5}
SETTLE_DELAY_S = 4.0
WORKER_FAULT_MODES = ("reset-before", "reset-after", "truncate", "crossed", "fail")
SERVICE = "counter-desk"


@dataclass(frozen=True)
class KeyedReply:
    """Represent one reply to a request with an idempotency key."""

    key: str
    outcome: str
    status: int
    body: bytes


class FaultRun:
    """Run callers that resend their keys while random faults are injected."""

    def __init__(self, cluster: Cluster, workers: list[str], seed: int) -> None:
        self._cluster = cluster
        self._workers = workers
        self._rng = random.Random(seed)
        self._names = [f"entry-{number}" for number in range(DAEMONS)]
        self._ends_at = time.monotonic() + RUN_S
        self.replies: list[KeyedReply] = []
        self.faults: Counter[str] = Counter()

    def run_with_faults(self) -> None:
        """Run callers and inject faults for `RUN_S`, then wait until the fleet has recovered."""
        seeds = [self._rng.random() for _ in range(CALLERS)]
        threads = [
            threading.Thread(target=self._run_caller, args=(number, random.Random(seed)))
            for number, seed in enumerate(seeds)
        ]
        for thread in threads:
            thread.start()
        while time.monotonic() < self._ends_at:
            self._inject_fault()
        for thread in threads:
            thread.join()
        time.sleep(SETTLE_DELAY_S)

    def resend_all_keys(self) -> None:
        """Send every key once more without faults."""
        http_pool = urllib3.PoolManager(maxsize=1)
        for key in dict.fromkeys(reply.key for reply in self.replies):
            self.replies.append(self._send(http_pool, self._names[0], key))

    def count_executions(self) -> Counter[str]:
        """Return how often each key was executed, from the workers' logs."""
        logs = [urllib3.request("GET", f"http://{host}/_runs").json() for host in self._workers]
        return Counter(execution["key"] for execution in itertools.chain(*logs) if execution["key"])

    def _run_caller(self, number: int, rng: random.Random) -> None:
        http_pool = urllib3.PoolManager(maxsize=1)
        for sequence in itertools.count():
            for _ in range(rng.randint(1, MAX_SENDS_PER_KEY)):
                if time.monotonic() >= self._ends_at:
                    return
                name = rng.choice(self._names)
                self.replies.append(self._send(http_pool, name, f"{number}-{sequence}"))
                time.sleep(rng.uniform(0, MAX_RESEND_DELAY_S))

    def _send(self, http_pool: urllib3.PoolManager, name: str, key: str) -> KeyedReply:
        headers = {"Idempotency-Key": key, "Request-Timeout-Ms": str(TIMEOUT_MS), "X-Work-Ms": "20"}
        url = f"http://{self._cluster.callers(name)}/{SERVICE}/orders"
        try:
            resp = http_pool.request(
                "POST", url, body=key.encode(), headers=headers, retries=False, timeout=10.0
            )
        except HTTPError:
            return KeyedReply(key, "no-answer", 0, b"")
        is_problem = resp.headers.get("Content-Type", "").startswith("application/problem")
        outcome = json.loads(resp.data)["outcome"] if is_problem else "finished"
        return KeyedReply(key, outcome, resp.status, resp.data)

    def _inject_fault(self) -> None:
        injectors: list[Callable[[], None]] = [self._kill, self._pause, self._store, self._worker]
        inject = self._rng.choice(injectors)
        # The report names each fault after its method.
        self.faults[inject.__name__.strip("_")] += 1
        inject()
        time.sleep(self._rng.uniform(0.1, MAX_FAULT_S))

    def _kill(self) -> None:
        name = self._rng.choice(self._names)
        self._cluster.kill(name)
        self._cluster.start_daemon(name, "kochi-a")

    def _pause(self) -> None:
        name = self._rng.choice(self._names)
        self._cluster.signal(name, signal.SIGSTOP)
        time.sleep(self._rng.uniform(0.2, 2 * SESSION_SETTINGS["lease_s"]))
        self._cluster.signal(name, signal.SIGCONT)

    def _store(self) -> None:
        faults = self._rng.choice(
            [{"outage": True}, {"lose_answers": 0.5}, {"lose_answers": 1.0}, {"delay_s": 0.5}]
        )
        post(self._cluster.platform, "/faults", faults)
        time.sleep(self._rng.uniform(0.1, MAX_FAULT_S))
        post(self._cluster.platform, "/faults", {})

    def _worker(self) -> None:
        fault = {"mode": self._rng.choice(WORKER_FAULT_MODES), "times": 10}
        post(self._rng.choice(self._workers), "/_fault", fault)


def count_conflicting_keys(replies: list[KeyedReply]) -> int:
    """Return the number of keys that got different responses."""
    finished: dict[str, set[tuple[int, bytes]]] = {}
    for reply in replies:
        if reply.outcome == "finished":
            finished.setdefault(reply.key, set()).add((reply.status, reply.body))
    return sum(len(answers) > 1 for answers in finished.values())


def report_lines(run: FaultRun, executions: Counter[str], seed: int) -> Iterator[str]:
    """Yield the lines of the report."""
    outcomes = Counter(reply.outcome for reply in run.replies)
    keys = {reply.key for reply in run.replies}
    finished = {reply.key for reply in run.replies if reply.outcome == "finished"}
    yield f"seed {seed}, {DAEMONS} daemons, {CALLERS} callers, {RUN_S:.0f} s"
    yield f"faults: {dict(sorted(run.faults.items()))}"
    yield f"keys {len(keys)}, requests {len(run.replies)}, replies {dict(sorted(outcomes.items()))}"
    yield f"keys finished {len(finished)}, keys run {len(executions)}"
    yield f"keys run more than once: {sum(count > 1 for count in executions.values())} (target 0)"
    yield f"keys with two different answers: {count_conflicting_keys(run.replies)} (target 0)"
    misdelivered = sum(
        reply.status == 200 and reply.body != reply.key.encode() for reply in run.replies
    )
    yield f"answers of another request: {misdelivered} (target 0)"


def measure(folder: Path, seed: int) -> str:
    """Run one fleet with faults and return the report."""
    with Cluster(folder) as cluster:
        cluster.start_platform(seed)
        workers = free_addresses(HOST_COUNT)
        cluster.start_workers("workers", workers)
        for number in range(DAEMONS):
            cluster.start_daemon(f"entry-{number}", "kochi-a", session=SESSION_SETTINGS)
        server = porcelain.OperatorClient(cluster.operators("entry-0"))
        records = make_records(folder, {SERVICE: workers, "harbour-desk": []})
        porcelain.apply(server, records[:1])
        time.sleep(1.5)
        run = FaultRun(cluster, workers, seed)
        run.run_with_faults()
        run.resend_all_keys()
        return "\n".join(report_lines(run, run.count_executions(), seed)) + "\n"


def main() -> None:
    """Print the report and write it to docs/measurements."""
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
