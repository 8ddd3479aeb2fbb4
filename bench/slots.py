"""Measure ways to share each host's slots among daemons, in simulated time."""

import itertools
import random
import sys
from collections.abc import Callable, Mapping, Sequence
from functools import partial
from typing import Any

from bench.flood import FLOODED, POOL_RATE, RUN_S, SEED, WARM_S, Stream, jobs, make_view
from bench.model import (
    Fleet,
    Job,
    Loop,
    Make,
    make_parts,
    make_told,
    make_whole,
)
from demo.cluster import ROOT
from gypsumplank import porcelain

LOAD_TIMES = 1.3
TURN_S = 1.0
IN_USE_TARGET = 0.9

Route = Callable[[Job, random.Random, int], int]

WAYS: Mapping[str, Callable[[Fleet, Sequence[str]], Make]] = {
    "static split": lambda fleet, names: make_parts(fleet, names, cut_off=True),
    "no split": lambda fleet, names: make_whole(fleet),
    "told load": make_told,
    "demand split": lambda fleet, names: make_parts(fleet, names, cut_off=False),
}

ROUTES: Mapping[str, Route] = {
    "all to one": lambda job, rng, daemons: 0,
    "even": lambda job, rng, daemons: rng.randrange(daemons),
    "to each in turn": lambda job, rng, daemons: int(job.arrived / TURN_S) % daemons,
}


def measure(way: str, route: str, daemons: int) -> dict[str, Any]:
    """Return one row: slots in use and what the endpoints saw."""
    loop = Loop()
    fleet = Fleet(loop, make_view(), random.Random(SEED), WARM_S)
    names = [f"entry-{number}" for number in range(daemons)]
    held = list(map(WAYS[way](fleet, names), names))
    rng = random.Random(SEED)
    stream = Stream(FLOODED, mean_rate=LOAD_TIMES * POOL_RATE)
    for job in itertools.takewhile(lambda job: job.arrived < RUN_S, jobs(stream, rng)):
        number = ROUTES[route](job, rng, daemons)
        loop.after(job.arrived, partial(held[number].take, job))
    endpoints = [one for name, one in fleet.endpoints.items() if name.startswith(FLOODED)]
    slots = sum(spec.slots for spec in fleet.view.hosts.values() if spec.pool == FLOODED)
    loop.run(WARM_S)
    before = sum(one.busy_s for one in endpoints)
    loop.run(RUN_S)
    busy_s = sum(one.busy_s for one in endpoints) - before
    tally = fleet.tallies[FLOODED, ""]
    return {
        "daemons": daemons,
        "traffic": route,
        "way": way,
        "slots in use": round(busy_s / (slots * (RUN_S - WARM_S)), 3),
        "late share": round(tally.late / max(1, tally.on_time + tally.late), 4),
        "queued at endpoint": round(
            sum(one.waited for one in endpoints) / max(1, sum(one.ran for one in endpoints)), 3
        ),
        "most at a host": max(one.most for one in endpoints),
    }


def main() -> None:
    """Print the report and keep it."""
    found = [
        measure(way, route, daemons)
        for daemons, route, way in itertools.product((3, 7), ROUTES, WAYS)
    ]
    text = (
        f"{porcelain.table(found)}\n"
        f"simulated time, seed {SEED}, {LOAD_TIMES} of the pool's capacity offered; "
        f"target: {IN_USE_TARGET} of the slots in use\n"
    )
    sys.stdout.write(text)
    (ROOT / "docs" / "measurements" / "slots.txt").write_text(text, encoding="utf-8")


if __name__ == "__main__":
    main()
