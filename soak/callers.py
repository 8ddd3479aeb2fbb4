"""Send requests of several kinds and keep what each caller was told."""

import json
import random
import threading
from collections.abc import Sequence

import urllib3
from urllib3.exceptions import HTTPError

from soak.ledger import Ledger, Told

METHODS = ("POST", "POST", "PUT", "GET")
TIMEOUT_MS = 3_000
IMPATIENT_S = 0.03
PATIENT_S = 20.0
WORK_MS = (0, 5, 40)
KEYED_SHARE = 0.3
REPEAT_SHARE = 0.3
PAUSE_S = 0.02


class Callers:
    """Run callers in threads until stopped; each chooses by a generator of its own."""

    def __init__(
        self, daemons: Sequence[str], services: Sequence[str], ledger: Ledger, seed: int
    ) -> None:
        self._daemons = tuple(daemons)
        self._services = tuple(services)
        self._ledger = ledger
        self._seed = seed
        self._stop = threading.Event()
        self._threads: list[threading.Thread] = []
        self.impatient = threading.Event()

    def start(self, count: int, name: str = "caller", pause_s: float = PAUSE_S) -> None:
        """Start so many more callers."""
        for number in range(count):
            args = (f"{name}-{number}", pause_s)
            thread = threading.Thread(target=self._run, args=args, daemon=True)
            self._threads.append(thread)
            thread.start()

    def stop(self) -> None:
        """Let every caller finish what it has begun."""
        self._stop.set()
        for thread in self._threads:
            thread.join(PATIENT_S + 1)

    def _run(self, name: str, pause_s: float) -> None:
        rng = random.Random(f"{self._seed}/{name}")
        pool = urllib3.PoolManager(retries=False)
        number = 0
        while not self._stop.wait(pause_s):
            number += 1
            self._send(pool, rng, f"{self._seed}-{name}-{number}")

    def _send(self, pool: urllib3.PoolManager, rng: random.Random, name: str) -> None:
        method = rng.choice(METHODS)
        key = f'"{name}"' if method == "POST" and rng.random() < KEYED_SHARE else ""
        again = bool(key) and rng.random() < REPEAT_SHARE
        work_ms = rng.choice(WORK_MS)
        for attempt in range(1 + again):
            daemon, service = rng.choice(self._daemons), rng.choice(self._services)
            target = f"http://{daemon}/{service if not key else self._services[0]}/{name}"
            headers = {
                "X-Request-Id": f"{name}.{attempt}",
                "Request-Timeout-Ms": str(TIMEOUT_MS),
                "X-Work-Ms": str(work_ms),
            }
            if key:
                headers["Idempotency-Key"] = key
            self._exchange(pool, method, target, headers, name)

    def _exchange(
        self,
        pool: urllib3.PoolManager,
        method: str,
        target: str,
        headers: dict[str, str],
        name: str,
    ) -> None:
        body = b"" if method == "GET" else f"body of {name}".encode()
        timeout = IMPATIENT_S if self.impatient.is_set() else PATIENT_S
        status, outcome, got = 0, "", b""
        try:
            resp = pool.request(method, target, body=body, headers=headers, timeout=timeout)
            status, got, outcome = resp.status, resp.data, "finished"
            if resp.headers.get("Content-Type") == "application/problem+json":
                outcome = json.loads(got)["outcome"]
        except (HTTPError, ValueError):
            pass
        sent = body or f"/{name}".encode()
        key = headers.get("Idempotency-Key", "")
        daemon, request_id = target.split("/")[2], headers["X-Request-Id"]
        self._ledger.add(Told(request_id, method, key, sent, status, outcome, got, daemon))
