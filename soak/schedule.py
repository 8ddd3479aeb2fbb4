"""Generate a schedule of faults from a seed, and save and load it as a JSON trace."""

import random
from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum
from pathlib import Path

import msgspec


class FaultKind(StrEnum):
    """List the kinds of fault that a soak run injects."""

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
    """Represent one fault; `number` modulo the count of daemons or workers selects the target."""

    kind: FaultKind
    number: int
    seconds: float


@dataclass(frozen=True)
class Phase:
    """Group the one or two concurrent faults of a phase, which all end with it."""

    faults: tuple[Fault, ...]


@dataclass(frozen=True)
class Trace:
    """Store a schedule of faults and the seed it was generated from."""

    seed: int
    phases: tuple[Phase, ...]


MIN_FAULT_S = 1.0
MAX_FAULT_S = 4.0
FAULT_NUMBER_LIMIT = 1_000


def generate_fault(kind: FaultKind, rng: random.Random) -> Fault:
    """Return a fault of this kind with a random target and duration."""
    seconds = round(rng.uniform(MIN_FAULT_S, MAX_FAULT_S), 2)
    return Fault(kind, rng.randrange(FAULT_NUMBER_LIMIT), seconds)


def generate_phases(rng: random.Random, count: int) -> Iterator[Phase]:
    """Yield each kind alone in random order, then random pairs of different kinds."""
    kinds = list(FaultKind)
    rng.shuffle(kinds)
    for index in range(count):
        alone = kinds[index : index + 1]
        chosen = alone or rng.sample(kinds, 2)
        yield Phase(tuple(generate_fault(kind, rng) for kind in chosen))


def generate_trace(seed: int, count: int) -> Trace:
    """Return a schedule of `count` phases; the same seed gives the same schedule."""
    return Trace(seed, tuple(generate_phases(random.Random(seed), count)))


def save_trace(trace: Trace, path: Path) -> None:
    """Write a trace as JSON."""
    path.write_bytes(msgspec.json.format(msgspec.json.encode(trace)))


def load_trace(path: Path) -> Trace:
    """Read a trace from a JSON file."""
    return msgspec.json.decode(path.read_bytes(), type=Trace)


def shrink_candidates(trace: Trace) -> Iterator[Trace]:
    """Yield smaller variants of a failing trace: each half, then all but one phase."""
    phases, half = trace.phases, len(trace.phases) // 2
    if half:
        yield Trace(trace.seed, phases[:half])
        yield Trace(trace.seed, phases[half:])
    if len(phases) > 2:
        for index in range(len(phases)):
            yield Trace(trace.seed, phases[:index] + phases[index + 1 :])
