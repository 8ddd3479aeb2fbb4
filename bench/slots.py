"""Compare strategies to divide each host's slots among daemons, in simulated time."""

import itertools
import random
import sys
from collections.abc import Callable, Mapping, Sequence
from functools import partial
from typing import Any

from bench.flood import (
    FLOODED_SERVICE,
    POOL_CAPACITY_PER_S,
    SEED,
    SIMULATION_S,
    WARMUP_S,
    Stream,
    generate_requests,
    make_view,
)
from bench.model import (
    DaemonFactory,
    EventLoop,
    SimulatedFleet,
    SimulatedRequest,
    demand_split_factory,
    no_split_factory,
    reported_load_factory,
)
from demo.cluster import ROOT
from gypsumplank import porcelain

LOAD_FACTOR = 1.3
ROUTE_TURN_S = 1.0
MIN_SLOT_UTILIZATION = 0.9

Route = Callable[[SimulatedRequest, random.Random, int], int]

STRATEGIES: Mapping[str, Callable[[SimulatedFleet, Sequence[str]], DaemonFactory]] = {
    "static split": lambda fleet, names: demand_split_factory(fleet, names, partitioned=True),
    "no split": lambda fleet, names: no_split_factory(fleet),
    "told load": reported_load_factory,
    "demand split": lambda fleet, names: demand_split_factory(fleet, names, partitioned=False),
}

ROUTES: Mapping[str, Route] = {
    "all to one": lambda req, rng, daemon_count: 0,
    "even": lambda req, rng, daemon_count: rng.randrange(daemon_count),
    "to each in turn": lambda req, rng, daemon_count: int(req.arrived_at / ROUTE_TURN_S)
    % daemon_count,
}


def measure(strategy: str, route: str, daemon_count: int) -> dict[str, Any]:
    """Return one row: slot utilization, late requests and the load at the endpoints."""
    loop = EventLoop()
    fleet = SimulatedFleet(loop, make_view(), random.Random(SEED), WARMUP_S)
    names = [f"entry-{index}" for index in range(daemon_count)]
    daemons = list(map(STRATEGIES[strategy](fleet, names), names))
    rng = random.Random(SEED)
    stream = Stream(FLOODED_SERVICE, mean_rate_per_s=LOAD_FACTOR * POOL_CAPACITY_PER_S)
    for req in itertools.takewhile(
        lambda req: req.arrived_at < SIMULATION_S, generate_requests(stream, rng)
    ):
        index = ROUTES[route](req, rng, daemon_count)
        loop.call_later(req.arrived_at, partial(daemons[index].handle, req))
    endpoints = [
        endpoint for name, endpoint in fleet.endpoints.items() if name.startswith(FLOODED_SERVICE)
    ]
    slots = sum(spec.slots for spec in fleet.view.hosts.values() if spec.pool == FLOODED_SERVICE)
    loop.run(WARMUP_S)
    busy_before_s = sum(endpoint.busy_s for endpoint in endpoints)
    loop.run(SIMULATION_S)
    busy_s = sum(endpoint.busy_s for endpoint in endpoints) - busy_before_s
    counts = fleet.counts[FLOODED_SERVICE, ""]
    return {
        "daemons": daemon_count,
        "traffic": route,
        "way": strategy,
        "slots in use": round(busy_s / (slots * (SIMULATION_S - WARMUP_S)), 3),
        "late share": round(counts.late / max(1, counts.on_time + counts.late), 4),
        "queued at endpoint": round(
            sum(endpoint.queued for endpoint in endpoints)
            / max(1, sum(endpoint.started for endpoint in endpoints)),
            3,
        ),
        "most at a host": max(endpoint.max_load for endpoint in endpoints),
    }


def main() -> None:
    """Print the report and write it to docs/measurements."""
    rows = [
        measure(strategy, route, daemon_count)
        for daemon_count, route, strategy in itertools.product((3, 7), ROUTES, STRATEGIES)
    ]
    text = (
        f"{porcelain.format_table(rows)}\n"
        f"simulated time, seed {SEED}, {LOAD_FACTOR} of the pool's capacity offered; "
        f"target: {MIN_SLOT_UTILIZATION} of the slots in use\n"
    )
    sys.stdout.write(text)
    (ROOT / "docs" / "measurements" / "slots.txt").write_text(text, encoding="utf-8")


if __name__ == "__main__":
    main()
