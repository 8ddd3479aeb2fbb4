"""Run a maintenance wave over every host of the demo's pools under request traffic."""

import itertools
import json
import sys
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterable
from pathlib import Path

import urllib3

from gypsumplank import porcelain_fleet
from gypsumplank.porcelain import OperatorClient
from gypsumplank.state.wave import RunState

CALLER_THREADS = 8
WORK_MS = 50
POLL_INTERVAL_S = 0.3
WAVE_TIMEOUT_S = 40.0
STATUS_OK = 200

RunCommand = Callable[..., None]


class Traffic:
    """Send requests to all URLs in turn until the `with` block exits; count the outcomes."""

    def __init__(self, urls: Iterable[str]) -> None:
        self._urls = tuple(urls)
        self._stop = threading.Event()
        self._lock = threading.Lock()
        self._threads = [threading.Thread(target=self._run) for _ in range(CALLER_THREADS)]
        self.outcomes: Counter[str] = Counter()

    def __enter__(self) -> "Traffic":
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_exc: object) -> None:
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def _run(self) -> None:
        http_pool = urllib3.PoolManager(retries=False)
        headers = {"X-Work-Ms": str(WORK_MS)}
        for url in itertools.cycle(self._urls):
            if self._stop.is_set():
                return
            resp = http_pool.request("POST", url, body=b"order", headers=headers)
            is_echoed = resp.status == STATUS_OK and resp.data == b"order"
            outcome = "finished" if is_echoed else str(json.loads(resp.data)["code"])
            with self._lock:
                self.outcomes[outcome] += 1


def write_wave(folder: Path, pools: Iterable[str]) -> Path:
    """Write the record of a maintenance wave over the pools; return its path."""
    spec = {"pools": list(pools), "parallelism": 4, "grace_s": 10, "maintenance_s": 0.5}
    path = folder / "wave.json"
    record = {"kind": "wave", "name": "kernel-update", "schema": 2, "spec": spec}
    path.write_text(json.dumps(record, indent=2), encoding="utf-8")
    return path


def run_wave(run_command: RunCommand, server: str, urls: Iterable[str]) -> None:
    """Run the wave to completion under traffic; exit if a request failed."""
    started = time.monotonic()
    with Traffic(urls) as traffic:
        run_command(server, "wave", "start", "kernel-update")
        status_shown = False
        while porcelain_fleet.waves(OperatorClient(server))[0].state != RunState.FINISHED:
            time.sleep(POLL_INTERVAL_S)
            if not status_shown and time.monotonic() - started > 2:
                run_command(server, "wave", "status")
                run_command(server, "pool", "status")
                status_shown = True
            if time.monotonic() - started > WAVE_TIMEOUT_S:
                raise TimeoutError("the maintenance wave did not finish in time")
    run_command(server, "wave", "status")
    summary = ", ".join(f"{count} {outcome}" for outcome, count in traffic.outcomes.items())
    sys.stdout.write(f"\nduring the wave of {time.monotonic() - started:.0f} s: {summary}\n")
    if set(traffic.outcomes) != {"finished"}:
        sys.exit(1)
