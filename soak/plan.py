"""Draw a schedule of faults from a seed, keep it as a trace and read it back."""

import random
from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum
from pathlib import Path

import msgspec


class FaultKind(StrEnum):
    """Name the kinds of fault that are tried."""

    DAEMON_KILLED = "daemon-killed"
    DAEMON_PAUSED = "daemon-paused"
    DAEMON_STOPPED = "daemon-stopped"
    STORE_DOWN = "store-down"
    STORE_SLOW = "store-slow"
    ANSWERS_LOST = "answers-lost"
    MEMBERS_STALE = "members-stale"
    WORKER_FAILS = "worker-fails"
    WORKER_RESETS = "worker-resets"
    WORKER_CROSSES = "worker-crosses"
    WORKER_TRUNCATES = "worker-truncates"
    FLOOD = "flood"
    CANCELLATIONS = "cancellations"
    OPERATORS_RACE = "operators-race"


@dataclass(frozen=True)
class Fault:
    """Hold one fault: what, of which number, for how long; `number` picks a daemon or worker."""

    kind: FaultKind
    number: int
    seconds: float


@dataclass(frozen=True)
class Phase:
    """Hold the faults of one phase, one or two at once, all of them over at its end."""

    faults: tuple[Fault, ...]


@dataclass(frozen=True)
class Trace:
    """Hold a schedule and the seed that it came from."""

    seed: int
    phases: tuple[Phase, ...]


SHORTEST_S = 1.0
LONGEST_S = 4.0
HIGHEST_NUMBER = 1_000


def draw_fault(kind: FaultKind, rng: random.Random) -> Fault:
    """Return a fault of this kind."""
    seconds = round(rng.uniform(SHORTEST_S, LONGEST_S), 2)
    return Fault(kind, rng.randrange(HIGHEST_NUMBER), seconds)


def draw_phases(rng: random.Random, count: int) -> Iterator[Phase]:
    """Yield every kind alone in drawn order, then pairs of different kinds."""
    kinds = list(FaultKind)
    rng.shuffle(kinds)
    for number in range(count):
        alone = kinds[number : number + 1]
        chosen = alone or rng.sample(kinds, 2)
        yield Phase(tuple(draw_fault(kind, rng) for kind in chosen))


def draw_trace(seed: int, count: int) -> Trace:
    """Return the schedule of a seed; the same seed gives the same schedule."""
    return Trace(seed, tuple(draw_phases(random.Random(seed), count)))


def save_trace(trace: Trace, path: Path) -> None:
    """Write a trace as JSON."""
    path.write_bytes(msgspec.json.format(msgspec.json.encode(trace)))


def load_trace(path: Path) -> Trace:
    """Return the trace in a file."""
    return msgspec.json.decode(path.read_bytes(), type=Trace)


def smaller(trace: Trace) -> Iterator[Trace]:
    """Yield traces to try instead of a failing one: halves, then without single phases."""
    phases, half = trace.phases, len(trace.phases) // 2
    if half:
        yield Trace(trace.seed, phases[:half])
        yield Trace(trace.seed, phases[half:])
    if len(phases) > 2:
        for at in range(len(phases)):
            yield Trace(trace.seed, phases[:at] + phases[at + 1 :])
