"""Run jobs through real daemons on a stand-in of the users' platform while faults befall them.

    python -m soak.jobs --seed 1 --phases 6
    python -m soak.jobs --failed              # the seeds that ever failed

Exit 1 on a broken promise. The same seed gives the same faults; timing is the machine's.
"""

import argparse
import random
import signal
import sys
import tempfile
import threading
import time
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from enum import StrEnum
from pathlib import Path
from typing import Any

import msgspec
from urllib3.exceptions import HTTPError

from demo.cluster import free_addresses
from demo.job import PREFIX, JobCluster, call
from gypsumplank.platform.front import decode_job
from gypsumplank.protocol.job import JobOrder, Room
from soak.ledger import Breach
from soak.proxy import Mode, Proxy
from standins.judge import judge
from standins.users_platform import MANIFEST, UsersPlatform, make_users_platform

DAEMONS = 3
WORKERS = 6
CALLERS = 3
BEAT_S = 0.2
PAUSE_S = 0.15
LULL_S = 1.0
# Longest wait for accepted jobs to end once all faults are over, seconds: a take-over, the wait
# for a lost worker's leases, and the work.
SETTLE_S = 45.0
# Time after a confirmed cancellation from which nothing of the job may start, seconds.
CANCEL_S = 3.0
REFUSED = (404, 429, 503)
# Seeds that ever failed, with their phases; their causes are in docs/measurements/soak.md.
FAILED_SEEDS = ((126, 4),)
ACCEPTED = 200


class JobFault(StrEnum):
    """Name the kinds of fault."""

    KILL = "kill"
    STOP = "stop"
    PAUSE = "pause"
    RESET = "reset"
    SILENT = "silent"
    ONE_WAY = "one-way"
    DELAY = "delay"
    OUTAGE = "outage"
    ANSWERS_LOST = "answers-lost"
    WORKER_LOST = "worker-lost"
    WORKER_CUT = "worker-cut"


@dataclass(frozen=True)
class Blow:
    """Hold one fault: what, whom it befalls, and for how long."""

    kind: JobFault
    number: int
    seconds: float


def draw(seed: int, phases: int) -> list[tuple[Blow, ...]]:
    """Return the phases of a seed: one to three faults at once, each."""
    rng = random.Random(seed)
    return [
        tuple(
            Blow(kind, rng.randrange(100), round(rng.uniform(0.5, 4.0), 2))
            for kind in rng.sample(list(JobFault), rng.randint(1, 3))
        )
        for _ in range(phases)
    ]


@dataclass
class Sent:
    """Hold what a caller was told of one job; times are the workers' clock."""

    order: JobOrder
    statuses: list[int] = field(default_factory=list)
    cancel_sent: bool = False
    cancel_at: float | None = None

    @property
    def accepted(self) -> bool:
        """Tell whether any try was answered with success."""
        return ACCEPTED in self.statuses


class JobFleet:
    """Hold the daemons, a proxy between each and the platform, and the platform itself."""

    def __init__(self, cluster: JobCluster, seed: int) -> None:
        self._cluster = cluster
        (store,) = free_addresses(1, cluster.host)
        self._server, self.users = make_users_platform(store, seed)
        self._store = store
        self._proxies: list[Proxy] = []
        self._over = threading.Event()
        self._threads = [
            threading.Thread(target=self._server.serve_forever, daemon=True),
            threading.Thread(target=self._beat, daemon=True),
        ]

    def start(self) -> None:
        """Start everything, and wait until the daemons are ready."""
        self.users.put("op", "config", msgspec.json.encode(MANIFEST))
        for number in range(WORKERS):
            worker = self.users.farm.add(f"w{number}", "desk", Room(8000, 8000))
            worker.entry = replace(worker.entry, address=self._store)
        for thread in self._threads:
            thread.start()
        for number in range(DAEMONS):
            (address,) = free_addresses(1, self._cluster.host)
            proxy = Proxy(address, self._store)
            proxy.start()
            self._proxies.append(proxy)
            self._cluster.platform = address
            self._cluster.start_entry(number)

    def close(self) -> None:
        """Stop what runs in this process."""
        self._over.set()
        for proxy in self._proxies:
            proxy.close()
        self._server.shutdown()

    def _beat(self) -> None:
        while not self._over.wait(BEAT_S):
            self.users.advance()
            self.users.beat()

    def addresses(self) -> list[str]:
        """Return where callers reach the daemons."""
        return [self._cluster.callers_of[f"entry-{number}"] for number in range(DAEMONS)]

    def strike(self, blow: Blow) -> None:
        """Let a fault happen, and end it."""
        number = blow.number % DAEMONS
        name = f"entry-{number}"
        match blow.kind:
            case JobFault.KILL:
                self._cluster.kill(name)
                time.sleep(blow.seconds / 4)
                self._cluster.restart_entry(name)
            case JobFault.STOP:
                self._cluster.stop(name)
                self._cluster.restart_entry(name)
            case JobFault.PAUSE:
                self._cluster.signal(name, signal.SIGSTOP)
                time.sleep(blow.seconds)
                self._cluster.signal(name, signal.SIGCONT)
            case JobFault.OUTAGE:
                self._proxy_all(Mode.RESET, self._proxies, blow.seconds)
            case JobFault.ANSWERS_LOST:
                self.users.farm.lose = 0.3
                time.sleep(blow.seconds)
                self.users.farm.lose = 0.0
            case JobFault.WORKER_LOST | JobFault.WORKER_CUT:
                self._strike_worker(blow)
            case _:
                self._proxy_all(Mode(blow.kind.value), [self._proxies[number]], blow.seconds)

    @staticmethod
    def _proxy_all(mode: Mode, proxies: list[Proxy], seconds: float) -> None:
        for proxy in proxies:
            proxy.mode = mode
        time.sleep(seconds)
        for proxy in proxies:
            proxy.mode = Mode.PASS

    def _strike_worker(self, blow: Blow) -> None:
        users, name = self.users, f"w{blow.number % WORKERS}"
        if blow.kind is JobFault.WORKER_CUT:
            users.farm.workers[name].reachable = False
            time.sleep(blow.seconds)
            users.farm.workers[name].reachable = True
            return
        with users.lock:
            users.farm.crash(name)
        time.sleep(blow.seconds)
        with users.lock:
            users.farm.revive(name)


class JobCallers:
    """Submit and cancel jobs from several threads, and keep what was answered."""

    def __init__(self, fleet: JobFleet, seed: int) -> None:
        self._fleet = fleet
        self._seed = seed
        self._over = threading.Event()
        self.sent: dict[str, Sent] = {}
        self._threads = [
            threading.Thread(target=self._run, args=(number,)) for number in range(CALLERS)
        ]

    def start(self) -> None:
        """Begin."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """End after the calls under way."""
        self._over.set()
        for thread in self._threads:
            thread.join()

    def _run(self, number: int) -> None:
        rng = random.Random(self._seed * 100 + number)
        while not self._over.wait(PAUSE_S):
            job = f"{rng.getrandbits(64):016x}"
            body = _shape(rng)
            sent = self.sent[job] = Sent(decode_job(msgspec.json.encode(body)))
            for _ in range(4):
                status = self._call(rng, "POST", job, body)
                sent.statuses.append(status)
                if status == ACCEPTED:
                    break
            sent.cancel_sent = sent.accepted and rng.random() < 0.2
            if sent.cancel_sent and self._call(rng, "DELETE", job) == ACCEPTED:
                sent.cancel_at = self._fleet.users.farm.now

    def _call(self, rng: random.Random, method: str, job: str, body: Any = None) -> int:
        address = rng.choice(self._fleet.addresses())
        try:
            return call(address, method, f"{PREFIX}{job}", body)[0]
        except (HTTPError, ValueError):
            return 0


def _shape(rng: random.Random) -> dict[str, Any]:
    first = {"replicas": rng.randint(1, 3), "cpu": 500, "estimate-ms": 200}
    steps = [first, {"replicas": 1, "cpu": 500, "after": [0]}] if rng.random() < 0.5 else [first]
    return {"spec": str(round(rng.uniform(0.1, 0.8), 2)), "steps": steps}


def settled(fleet: JobFleet, sent: dict[str, Sent]) -> Iterator[Breach]:
    """Wait until accepted jobs have ended; yield those that are shown otherwise."""
    until = time.monotonic() + SETTLE_S
    left = {job for job, one in sent.items() if one.accepted}
    shown: dict[str, object] = {}
    while left and time.monotonic() < until:
        for job in sorted(left):
            try:
                status, body = call(fleet.addresses()[0], "GET", f"{PREFIX}{job}")
            except (HTTPError, ValueError):
                continue
            shown[job] = body.get("state", status)
            if shown[job] in ("completed", "cancelled"):
                left.discard(job)
        time.sleep(PAUSE_S)
    for job in sorted(left):
        yield Breach("an accepted job ends", f"{job} is shown as {shown.get(job)}")
    for job, one in sent.items():
        if shown.get(job) == "cancelled" and not one.cancel_sent:
            yield Breach("only a caller cancels", job)


def check(users: UsersPlatform, sent: dict[str, Sent]) -> Iterator[Breach]:
    """Yield what the workers' starts and the callers' answers contradict."""
    history = list(users.farm.history)
    for fault in judge(history, {job: one.order for job, one in sent.items()}):
        yield Breach("each task runs once at a time, in order", fault)
    for start in history:
        job = start.name.partition(".")[0]
        one = sent[job]
        if one.statuses and all(status in REFUSED for status in one.statuses):
            yield Breach("a refused job never runs", start.name)
        # An order that a worker carries out late was given before the job was cancelled.
        in_time = one.cancel_at is None or start.begun <= one.cancel_at + CANCEL_S
        if not in_time and not start.late:
            yield Breach("nothing of a cancelled job starts", start.name)


def run(seed: int, phases: int, folder: Path) -> tuple[list[Breach], str]:
    """Play the phases of a seed; return the broken promises and a summary."""
    with JobCluster(folder) as cluster:
        fleet = JobFleet(cluster, seed)
        fleet.start()
        callers = JobCallers(fleet, seed)
        callers.start()
        for blows in draw(seed, phases):
            threads = [threading.Thread(target=fleet.strike, args=(one,)) for one in _apart(blows)]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
            time.sleep(LULL_S)
        callers.stop()
        found = [*settled(fleet, callers.sent), *check(fleet.users, callers.sent)]
        told = Counter(status for one in callers.sent.values() for status in one.statuses)
        fleet.close()
    starts = len(fleet.users.farm.history)
    return found, f"seed {seed}: answers {dict(told)}, {starts} starts, {len(found)} breaches"


def _apart(blows: tuple[Blow, ...]) -> list[Blow]:
    """Leave one fault a process: signals for one daemon come one after the other, not at once."""
    signals = (JobFault.KILL, JobFault.STOP, JobFault.PAUSE)
    first = next((one for one in blows if one.kind in signals), None)
    return [one for one in blows if one.kind not in signals or one is first]


def main() -> None:
    """Play one seed or several in a row."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1, help="how many seeds in a row")
    parser.add_argument("--phases", type=int, default=6)
    parser.add_argument("--failed", action="store_true", help="play the seeds that ever failed")
    args = parser.parse_args()
    drawn = [(seed, args.phases) for seed in range(args.seed, args.seed + args.seeds)]
    broken = 0
    for seed, phases in FAILED_SEEDS if args.failed else drawn:
        with tempfile.TemporaryDirectory() as folder:
            found, text = run(seed, phases, Path(folder))
        sys.stdout.write(f"{text}\n")
        sys.stdout.writelines(f"  BREACH {one.promise}: {one.detail}\n" for one in found)
        sys.stdout.flush()
        broken += bool(found)
    sys.exit(bool(broken))


if __name__ == "__main__":
    main()
