"""Measure how a flood of requests to one service affects the others, in simulated time.

A flood is more requests than a service's pool can serve. The simulation runs the product's
admission and slot code and compares three variants: a static slot split without admission,
the version before admission control, and the current version.
"""

import itertools
import random
import sys
from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from bench.model import (
    Daemon,
    EvenSlots,
    EventLoop,
    OutcomeCounts,
    SimulatedFleet,
    SimulatedRequest,
    ThreadPoolDaemon,
    demand_split_factory,
)
from demo.cluster import ROOT
from gypsumplank import porcelain
from gypsumplank.coordination.slot import UnsharedSlots
from gypsumplank.protocol.record import Kind, Record
from gypsumplank.state.view import View, build_view

SEED = 7
SERVICES = ("counter-desk", "layout-studio", "harbour-desk", "civic-desk", "dispatch-desk")
FLOODED_SERVICE = "counter-desk"
SPARE_POOL = "dispatch-desk"
HOSTS_PER_POOL = 8
SLOTS_PER_HOST = 8
ZONES = ("kochi-a", "kochi-b", "alappuzha", "kollam")
REQUEST_WORK_S = 0.08
RENDER_WORK_S = 4.0
MEAN_UTILIZATION = 0.3
FLOOD_FACTOR = 5
TROUGH_FACTOR = 0.05
SWING_INTERVAL_S = 3.0
REQUEST_TIMEOUT_S = 1.0
SHORT_TIMEOUT_S = 0.4
WARMUP_S = 2.0
SIMULATION_S = 8.0
POOL_CAPACITY_PER_S = HOSTS_PER_POOL * SLOTS_PER_HOST / REQUEST_WORK_S
MIN_KEPT_FRACTION = 0.99
MIN_GOODPUT_FRACTION = 0.95

ServiceTeam = tuple[str, str]


@dataclass(frozen=True)
class Stream:
    """Describe one stream of requests.

    `rate_factor` returns the ratio of the rate to the mean rate at a time in seconds.
    """

    service: str
    team: str = ""
    urgency: int = 3
    mean_rate_per_s: float = MEAN_UTILIZATION * POOL_CAPACITY_PER_S
    work_s: float = REQUEST_WORK_S
    timeout_s: float = REQUEST_TIMEOUT_S
    rate_factor: Callable[[float], float] = lambda _now: 1.0


@dataclass(frozen=True)
class Scenario:
    """Describe a flood and the base load, whose requests must not be affected by it."""

    name: str
    view: View
    base: tuple[Stream, ...]
    flood: Stream


def make_view(overflow: bool = False, teams: Mapping[str, float] | None = None) -> View:
    """Return a view of five services with a pool each, and renders in one of these pools."""
    records = [
        *(Record(Kind.POOL, name, 2, {"spare": name == SPARE_POOL}) for name in SERVICES),
        *(_service(name, name, overflow=overflow and name != SPARE_POOL) for name in SERVICES),
        _service("renders", "layout-studio", share=0.25, timeout_ms=60_000),
        *(_host(pool, number) for pool in SERVICES for number in range(HOSTS_PER_POOL)),
        *(Record(Kind.TEAM, name, 2, {"share": share}) for name, share in (teams or {}).items()),
    ]
    return build_view(1, records)


def _service(name: str, pool: str, share: float = 0.5, **spec: Any) -> Record:
    return Record(Kind.SERVICE, name, 2, {"pool": pool, "share": share, **spec})


def _host(pool: str, number: int) -> Record:
    zone = ZONES[number % len(ZONES)]
    spec = {"address": f"{pool}-{number}:80", "pool": pool, "zone": zone, "rack": zone}
    return Record(Kind.HOST, f"{pool}-{number}", 2, {**spec, "slots": SLOTS_PER_HOST})


def _flood_rate_factor(_now: float) -> float:
    return FLOOD_FACTOR


def _swing_rate_factor(now: float) -> float:
    return FLOOD_FACTOR if int(now / SWING_INTERVAL_S) % 2 else TROUGH_FACTOR * FLOOD_FACTOR


def scenarios() -> Iterator[Scenario]:
    """Yield the flood scenarios."""
    others = tuple(Stream(name) for name in SERVICES if name != FLOODED_SERVICE)
    plain, overflow = make_view(), make_view(overflow=True)
    yield Scenario(
        "least urgent",
        plain,
        others,
        Stream(FLOODED_SERVICE, urgency=7, rate_factor=_flood_rate_factor),
    )
    yield Scenario(
        "most urgent",
        plain,
        others,
        Stream(FLOODED_SERVICE, urgency=0, rate_factor=_flood_rate_factor),
    )
    tight = Stream(FLOODED_SERVICE, timeout_s=SHORT_TIMEOUT_S, rate_factor=_flood_rate_factor)
    yield Scenario("tight deadlines", plain, others, tight)
    yield Scenario(
        "twentyfold swings", plain, others, Stream(FLOODED_SERVICE, rate_factor=_swing_rate_factor)
    )
    yield Scenario(
        "with overflow", overflow, others, Stream(FLOODED_SERVICE, rate_factor=_flood_rate_factor)
    )
    teams = make_view(teams={"desk": 0.4, "press": 0.4})
    desk = Stream(FLOODED_SERVICE, "desk", 7)
    press = Stream(FLOODED_SERVICE, "press", 0, rate_factor=_flood_rate_factor)
    yield Scenario("team, most urgent", teams, (*others, desk), press)
    renders = Stream(
        "renders", "", 0, POOL_CAPACITY_PER_S * REQUEST_WORK_S / RENDER_WORK_S, RENDER_WORK_S, 30.0
    )
    yield Scenario("renders over proofs", plain, others, renders)


def generate_requests(stream: Stream, rng: random.Random) -> Iterator[SimulatedRequest]:
    """Yield the requests of a stream with Poisson arrivals and run times of 0.5 to 1.5 `work_s`."""
    now = 0.0
    while now < SIMULATION_S:
        now += rng.expovariate(stream.mean_rate_per_s * stream.rate_factor(now))
        work_s = stream.work_s * rng.choice((0.5, 0.75, 1.0, 1.25, 1.5))
        yield SimulatedRequest(
            stream.service, stream.team, stream.urgency, now, now + stream.timeout_s, work_s
        )


def run_simulation(
    view: View, streams: Sequence[Stream], variant: str, daemon_count: int
) -> SimulatedFleet:
    """Run the streams through daemons of one variant; return the fleet with its counts."""
    loop = EventLoop()
    fleet = SimulatedFleet(loop, view, random.Random(SEED), WARMUP_S)
    names = [f"entry-{number}" for number in range(daemon_count)]
    daemons = make_daemons(fleet, names, variant)
    for number, stream in enumerate(streams):
        rng = random.Random(f"{SEED}/{number}")
        _schedule_next(fleet, generate_requests(stream, rng), daemons, rng)
    loop.run(SIMULATION_S + REQUEST_TIMEOUT_S)
    return fleet


def _schedule_next(
    fleet: SimulatedFleet,
    requests: Iterator[SimulatedRequest],
    daemons: Sequence[Daemon],
    rng: random.Random,
) -> None:
    """Schedule the next request; its arrival schedules the one after it."""
    req = next(requests, None)
    if req is None:
        return

    def arrive() -> None:
        if req.arrived_at >= WARMUP_S:
            fleet.counts_for(req).offered += 1
        rng.choice(daemons).handle(req)
        _schedule_next(fleet, requests, daemons, rng)

    fleet.loop.call_later(max(0.0, req.arrived_at - fleet.loop.clock.now), arrive)


def make_daemons(fleet: SimulatedFleet, names: Sequence[str], variant: str) -> list[Daemon]:
    """Return the simulated daemons of a variant."""
    match variant:
        case "no admission, static":
            slot_rule = EvenSlots(len(names))
            return [ThreadPoolDaemon(fleet, slot_rule, wait_for_slot=True) for _ in names]
        case "version before":
            return [ThreadPoolDaemon(fleet, UnsharedSlots(), wait_for_slot=False) for _ in names]
        case _:
            return list(map(demand_split_factory(fleet, names, partitioned=False), names))


VARIANTS = ("no admission, static", "version before", "product")


def on_time_fraction(counts: Sequence[OutcomeCounts]) -> float:
    """Return the fraction of the offered requests that finished on time."""
    return sum(entry.on_time for entry in counts) / max(1, sum(entry.offered for entry in counts))


def measure(scenario: Scenario, variant: str, daemon_count: int) -> dict[str, Any]:
    """Return one row: the other services' on-time fractions and the flooded pool's goodput."""
    baseline = run_simulation(scenario.view, scenario.base, variant, daemon_count)
    flooded = run_simulation(scenario.view, (*scenario.base, scenario.flood), variant, daemon_count)
    other_keys: list[ServiceTeam] = [(stream.service, stream.team) for stream in scenario.base]
    baseline_fraction = on_time_fraction([baseline.counts[key] for key in other_keys])
    flooded_fraction = on_time_fraction([flooded.counts[key] for key in other_keys])
    worst_fraction = min(on_time_fraction([flooded.counts[key]]) for key in other_keys)
    pool = scenario.view.services[scenario.flood.service].pool
    useful_s = sum(
        counts.on_time * _stream_work_s(scenario, key)
        for key, counts in flooded.counts.items()
        if scenario.view.services[key[0]].pool == pool
    )
    measured_s = SIMULATION_S - WARMUP_S
    return {
        "daemons": daemon_count,
        "flood": scenario.name,
        "variant": variant,
        "others calm": round(baseline_fraction, 4),
        "others flooded": round(flooded_fraction, 4),
        "kept": round(flooded_fraction / baseline_fraction, 4) if baseline_fraction else 0.0,
        "worst other": round(worst_fraction, 4),
        "goodput/capacity": round(useful_s / (HOSTS_PER_POOL * SLOTS_PER_HOST * measured_s), 3),
        "most at a host": max(endpoint.max_load for endpoint in flooded.endpoints.values()),
    }


def _stream_work_s(scenario: Scenario, key: ServiceTeam) -> float:
    streams = (*scenario.base, scenario.flood)
    return next(stream.work_s for stream in streams if (stream.service, stream.team) == key)


def main() -> None:
    """Print the report and write it to docs/measurements."""
    rows = [
        measure(scenario, variant, daemon_count)
        for daemon_count, scenario, variant in itertools.product((3, 7), scenarios(), VARIANTS)
    ]
    text = (
        f"{porcelain.format_table(rows)}\n"
        f"simulated time, seed {SEED}; targets: kept at least {MIN_KEPT_FRACTION}, "
        f"goodput at least {MIN_GOODPUT_FRACTION} of the pool's capacity\n"
    )
    sys.stdout.write(text)
    (ROOT / "docs" / "measurements" / "flood.txt").write_text(text, encoding="utf-8")


if __name__ == "__main__":
    main()
