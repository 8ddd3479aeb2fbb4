"""Compare what callers were told with what the endpoints ran."""

import threading
from collections import Counter
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass

from standins.workers import Run

SERVER_ERROR = 500
IDEMPOTENT = frozenset({"GET", "PUT"})


@dataclass(frozen=True)
class Told:
    """Hold what one caller sent and was told; `outcome` is empty where the caller hung up."""

    id: str
    method: str
    key: str
    sent: bytes
    status: int
    outcome: str
    got: bytes
    daemon: str


@dataclass(frozen=True)
class Breach:
    """Hold one broken promise."""

    promise: str
    detail: str


class Ledger:
    """Collect from all threads what callers were told."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self.told: list[Told] = []

    def add(self, told: Told) -> None:
        """Keep one entry."""
        with self._lock:
            self.told.append(told)


def check_answers(told: Iterable[Told]) -> Iterator[Breach]:
    """Find answers that are not whole or not the caller's own."""
    for held in told:
        finished = held.outcome == "finished" and held.status < SERVER_ERROR
        if finished and held.got != held.sent:
            yield Breach("whole and own answer", f"{held.id} sent {held.sent!r}, got {held.got!r}")


def check_not_run(told: Iterable[Told], runs: Sequence[Run]) -> Iterator[Breach]:
    """Find requests that ran although the caller was told that they did not."""
    ran = {run.id for run in runs}
    for held in told:
        if held.outcome == "not-run" and held.id in ran:
            yield Breach("told not run", f"{held.id} ran; {held.daemon} said status {held.status}")


def check_once(told: Iterable[Told], runs: Sequence[Run]) -> Iterator[Breach]:
    """Find non-idempotent requests that ran more than once, by id and by key."""
    unsafe = {held.id for held in told if held.method not in IDEMPOTENT}
    by_id = Counter(run.id for run in runs if run.id in unsafe)
    by_key = Counter(run.key for run in runs if run.key)
    for name, count in (*by_id.items(), *by_key.items()):
        if count > 1:
            yield Breach("at most once", f"{name} ran {count} times")


def check_revisions(seen: Iterable[tuple[str, int]]) -> Iterator[Breach]:
    """Find daemons whose revision in force went back; in order of time, a name per boot."""
    last: dict[str, int] = {}
    for name, revision in seen:
        if revision < last.get(name, 0):
            yield Breach("never reverts", f"{name} went from {last[name]} to {revision}")
        last[name] = revision


def check_all(
    told: Sequence[Told], runs: Sequence[Run], seen: Sequence[tuple[str, int]]
) -> list[Breach]:
    """Return every breach found."""
    return [
        *check_answers(told),
        *check_not_run(told, runs),
        *check_once(told, runs),
        *check_revisions(seen),
    ]
