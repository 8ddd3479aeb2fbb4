"""Maintain every host of the demo's pools while requests go on."""

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
from gypsumplank.porcelain import Server
from gypsumplank.state.wave import RunState

CALLERS = 8
WORK_MS = 50
POLL_S = 0.3
BOUND_S = 40.0
STATUS_OK = 200

Command = Callable[..., None]


class Traffic:
    """Send requests in turn to all URLs while the `with` block lasts."""

    def __init__(self, urls: Iterable[str]) -> None:
        self._urls = tuple(urls)
        self._stop = threading.Event()
        self._lock = threading.Lock()
        self._threads = [threading.Thread(target=self._run) for _ in range(CALLERS)]
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
        pool = urllib3.PoolManager(retries=False)
        headers = {"X-Work-Ms": str(WORK_MS)}
        for url in itertools.cycle(self._urls):
            if self._stop.is_set():
                return
            resp = pool.request("POST", url, body=b"order", headers=headers)
            whole = resp.status == STATUS_OK and resp.data == b"order"
            outcome = "finished" if whole else str(json.loads(resp.data)["code"])
            with self._lock:
                self.outcomes[outcome] += 1


def write_wave(folder: Path, pools: Iterable[str]) -> Path:
    """Write the record of a wave over the pools."""
    spec = {"pools": list(pools), "parallelism": 4, "grace_s": 10, "maintenance_s": 0.5}
    path = folder / "wave.json"
    record = {"kind": "wave", "name": "kernel-update", "schema": 2, "spec": spec}
    path.write_text(json.dumps(record, indent=2), encoding="utf-8")
    return path


def maintain(command: Command, server: str, urls: Iterable[str]) -> None:
    """Run the wave to its end under traffic; end the demo where a request was lost."""
    started = time.monotonic()
    with Traffic(urls) as traffic:
        command(server, "wave", "start", "kernel-update")
        shown = False
        while porcelain_fleet.waves(Server(server))[0].state != RunState.FINISHED:
            time.sleep(POLL_S)
            if not shown and time.monotonic() - started > 2:
                command(server, "wave", "status")
                command(server, "pool", "status")
                shown = True
            if time.monotonic() - started > BOUND_S:
                raise TimeoutError("wave")
    command(server, "wave", "status")
    counted = ", ".join(f"{count} {outcome}" for outcome, count in traffic.outcomes.items())
    sys.stdout.write(f"\nduring the wave of {time.monotonic() - started:.0f} s: {counted}\n")
    if set(traffic.outcomes) != {"finished"}:
        sys.exit(1)
