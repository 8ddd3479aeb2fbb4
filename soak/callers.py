"""Send requests of several kinds and record the response to each."""

import json
import random
import threading
from collections.abc import Sequence

import urllib3
from urllib3.exceptions import HTTPError

from soak.calllog import CallLog, CallRecord

METHODS = ("POST", "POST", "PUT", "GET")
REQUEST_TIMEOUT_MS = 3_000
CANCEL_AFTER_S = 0.03
RESPONSE_TIMEOUT_S = 20.0
WORK_CHOICES_MS = (0, 5, 40)
IDEMPOTENCY_KEY_SHARE = 0.3
REPEATED_KEY_SHARE = 0.3
REQUEST_INTERVAL_S = 0.02


class Callers:
    """Run callers in threads until stopped; each has its own seeded random generator.

    While `cancel_early` is set, callers close the connection after `CANCEL_AFTER_S`.
    """

    def __init__(
        self, daemons: Sequence[str], services: Sequence[str], call_log: CallLog, seed: int
    ) -> None:
        self._daemons = tuple(daemons)
        self._services = tuple(services)
        self._call_log = call_log
        self._seed = seed
        self._stop = threading.Event()
        self._threads: list[threading.Thread] = []
        self.cancel_early = threading.Event()

    def start(
        self, count: int, name: str = "caller", interval_s: float = REQUEST_INTERVAL_S
    ) -> None:
        """Start `count` more callers, each pausing `interval_s` between requests."""
        for number in range(count):
            args = (f"{name}-{number}", interval_s)
            thread = threading.Thread(target=self._run, args=args, daemon=True)
            self._threads.append(thread)
            thread.start()

    def stop(self) -> None:
        """Stop sending and wait for the calls in progress."""
        self._stop.set()
        for thread in self._threads:
            thread.join(RESPONSE_TIMEOUT_S + 1)

    def _run(self, name: str, interval_s: float) -> None:
        rng = random.Random(f"{self._seed}/{name}")
        pool = urllib3.PoolManager(retries=False)
        number = 0
        while not self._stop.wait(interval_s):
            number += 1
            self._send(pool, rng, f"{self._seed}-{name}-{number}")

    def _send(self, pool: urllib3.PoolManager, rng: random.Random, name: str) -> None:
        method = rng.choice(METHODS)
        idempotency_key = (
            f'"{name}"' if method == "POST" and rng.random() < IDEMPOTENCY_KEY_SHARE else ""
        )
        repeated = bool(idempotency_key) and rng.random() < REPEATED_KEY_SHARE
        work_ms = rng.choice(WORK_CHOICES_MS)
        for attempt in range(1 + repeated):
            daemon, service = rng.choice(self._daemons), rng.choice(self._services)
            target = (
                f"http://{daemon}/{service if not idempotency_key else self._services[0]}/{name}"
            )
            headers = {
                "X-Request-Id": f"{name}.{attempt}",
                "Request-Timeout-Ms": str(REQUEST_TIMEOUT_MS),
                "X-Work-Ms": str(work_ms),
            }
            if idempotency_key:
                headers["Idempotency-Key"] = idempotency_key
            self._send_once(pool, method, target, headers, name)

    def _send_once(
        self,
        pool: urllib3.PoolManager,
        method: str,
        target: str,
        headers: dict[str, str],
        name: str,
    ) -> None:
        body = b"" if method == "GET" else f"body of {name}".encode()
        timeout = CANCEL_AFTER_S if self.cancel_early.is_set() else RESPONSE_TIMEOUT_S
        status, outcome, response_body = 0, "", b""
        try:
            resp = pool.request(method, target, body=body, headers=headers, timeout=timeout)
            status, response_body, outcome = resp.status, resp.data, "finished"
            if resp.headers.get("Content-Type") == "application/problem+json":
                outcome = json.loads(response_body)["outcome"]
        except (HTTPError, ValueError):
            pass
        expected_body = body or f"/{name}".encode()
        idempotency_key = headers.get("Idempotency-Key", "")
        daemon, request_id = target.split("/")[2], headers["X-Request-Id"]
        self._call_log.add(
            CallRecord(
                request_id,
                method,
                idempotency_key,
                expected_body,
                status,
                outcome,
                response_body,
                daemon,
            )
        )
