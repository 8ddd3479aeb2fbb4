"""Measure what other work keeps during a flood, in simulated time with the real decisions.

Compared in one run: no admission with a static split, the version before admission, and
the product.
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
    Fleet,
    Job,
    Loop,
    Tally,
    ThreadDaemon,
    make_parts,
)
from demo.cluster import ROOT
from gypsumplank import porcelain
from gypsumplank.coordination.slot import WholeSlots
from gypsumplank.protocol.record import Kind, Record
from gypsumplank.state.view import View, build_view

SEED = 7
SERVICES = ("counter-desk", "layout-studio", "harbour-desk", "civic-desk", "dispatch-desk")
FLOODED = "counter-desk"
SPARE = "dispatch-desk"
HOSTS = 8
SLOTS = 8
ZONES = ("kochi-a", "kochi-b", "alappuzha", "kollam")
WORK_S = 0.08
RENDER_S = 4.0
MEAN_SHARE = 0.3
FLOOD_TIMES = 5
TROUGH_TIMES = 0.05
SWING_S = 3.0
DEADLINE_S = 1.0
TIGHT_S = 0.4
WARM_S = 2.0
RUN_S = 8.0
POOL_RATE = HOSTS * SLOTS / WORK_S
OTHERS_TARGET = 0.99
GOODPUT_TARGET = 0.95

Key = tuple[str, str]


@dataclass(frozen=True)
class Stream:
    """Describe one kind of request; `times` tells its rate over the mean at a time in seconds."""

    service: str
    team: str = ""
    urgency: int = 3
    mean_rate: float = MEAN_SHARE * POOL_RATE
    work_s: float = WORK_S
    within_s: float = DEADLINE_S
    times: Callable[[float], float] = lambda _now: 1.0


@dataclass(frozen=True)
class Scenario:
    """Hold the load without the flood, the flood, and whose work must not suffer."""

    name: str
    view: View
    base: tuple[Stream, ...]
    flood: Stream


def make_view(overflow: bool = False, teams: Mapping[str, float] | None = None) -> View:
    """Return five services with a pool each; renders share one with proofs."""
    records = [
        *(Record(Kind.POOL, name, 2, {"spare": name == SPARE}) for name in SERVICES),
        *(_service(name, name, overflow=overflow and name != SPARE) for name in SERVICES),
        _service("renders", "layout-studio", share=0.25, timeout_ms=60_000),
        *(_host(pool, number) for pool in SERVICES for number in range(HOSTS)),
        *(Record(Kind.TEAM, name, 2, {"share": part}) for name, part in (teams or {}).items()),
    ]
    return build_view(1, records)


def _service(name: str, pool: str, share: float = 0.5, **spec: Any) -> Record:
    return Record(Kind.SERVICE, name, 2, {"pool": pool, "share": share, **spec})


def _host(pool: str, number: int) -> Record:
    zone = ZONES[number % len(ZONES)]
    spec = {"address": f"{pool}-{number}:80", "pool": pool, "zone": zone, "rack": zone}
    return Record(Kind.HOST, f"{pool}-{number}", 2, {**spec, "slots": SLOTS})


def _flooding(_now: float) -> float:
    return FLOOD_TIMES


def _swinging(now: float) -> float:
    return FLOOD_TIMES if int(now / SWING_S) % 2 else TROUGH_TIMES * FLOOD_TIMES


def scenarios() -> Iterator[Scenario]:
    """Yield the floods."""
    others = tuple(Stream(name) for name in SERVICES if name != FLOODED)
    plain, overflow = make_view(), make_view(overflow=True)
    yield Scenario("least urgent", plain, others, Stream(FLOODED, urgency=7, times=_flooding))
    yield Scenario("most urgent", plain, others, Stream(FLOODED, urgency=0, times=_flooding))
    tight = Stream(FLOODED, within_s=TIGHT_S, times=_flooding)
    yield Scenario("tight deadlines", plain, others, tight)
    yield Scenario("twentyfold swings", plain, others, Stream(FLOODED, times=_swinging))
    yield Scenario("with overflow", overflow, others, Stream(FLOODED, times=_flooding))
    teams = make_view(teams={"desk": 0.4, "press": 0.4})
    desk = Stream(FLOODED, "desk", 7)
    press = Stream(FLOODED, "press", 0, times=_flooding)
    yield Scenario("team, most urgent", teams, (*others, desk), press)
    renders = Stream("renders", "", 0, POOL_RATE * WORK_S / RENDER_S, RENDER_S, 30.0)
    yield Scenario("renders over proofs", plain, others, renders)


def jobs(stream: Stream, rng: random.Random) -> Iterator[Job]:
    """Yield the requests of a stream: arrivals at random, sizes spread by half to double."""
    now = 0.0
    while now < RUN_S:
        now += rng.expovariate(stream.mean_rate * stream.times(now))
        work_s = stream.work_s * rng.choice((0.5, 0.75, 1.0, 1.25, 1.5))
        yield Job(stream.service, stream.team, stream.urgency, now, now + stream.within_s, work_s)


def run(view: View, streams: Sequence[Stream], variant: str, daemons: int) -> Fleet:
    """Run a load through daemons of one variant and return what became of it."""
    loop = Loop()
    fleet = Fleet(loop, view, random.Random(SEED), WARM_S)
    names = [f"entry-{number}" for number in range(daemons)]
    held = make_daemons(fleet, names, variant)
    for number, stream in enumerate(streams):
        rng = random.Random(f"{SEED}/{number}")
        _feed(fleet, jobs(stream, rng), held, rng)
    loop.run(RUN_S + DEADLINE_S)
    return fleet


def _feed(fleet: Fleet, source: Iterator[Job], held: Sequence[Daemon], rng: random.Random) -> None:
    """Schedule each request after the one before it."""
    job = next(source, None)
    if job is None:
        return

    def arrive() -> None:
        if job.arrived >= WARM_S:
            fleet.tally(job).offered += 1
        rng.choice(held).take(job)
        _feed(fleet, source, held, rng)

    fleet.loop.after(max(0.0, job.arrived - fleet.loop.clock.now), arrive)


def make_daemons(fleet: Fleet, names: Sequence[str], variant: str) -> list[Daemon]:
    """Return the daemons of a variant."""
    match variant:
        case "no admission, static":
            rule = EvenSlots(len(names))
            return [ThreadDaemon(fleet, rule, hold=True) for _ in names]
        case "version before":
            return [ThreadDaemon(fleet, WholeSlots(), hold=False) for _ in names]
        case _:
            return list(map(make_parts(fleet, names, cut_off=False), names))


VARIANTS = ("no admission, static", "version before", "product")


def share_on_time(tallies: Sequence[Tally]) -> float:
    """Return the share of the offered requests that finished on time."""
    return sum(held.on_time for held in tallies) / max(1, sum(held.offered for held in tallies))


def measure(scenario: Scenario, variant: str, daemons: int) -> dict[str, Any]:
    """Return one row: the others' share kept and the flooded service's goodput."""
    calm = run(scenario.view, scenario.base, variant, daemons)
    full = run(scenario.view, (*scenario.base, scenario.flood), variant, daemons)
    keys: list[Key] = [(stream.service, stream.team) for stream in scenario.base]
    before = share_on_time([calm.tallies[key] for key in keys])
    after = share_on_time([full.tallies[key] for key in keys])
    worst = min(share_on_time([full.tallies[key]]) for key in keys)
    pool = scenario.view.services[scenario.flood.service].pool
    useful = sum(
        held.on_time * _work_s(scenario, key)
        for key, held in full.tallies.items()
        if scenario.view.services[key[0]].pool == pool
    )
    seconds = RUN_S - WARM_S
    return {
        "daemons": daemons,
        "flood": scenario.name,
        "variant": variant,
        "others calm": round(before, 4),
        "others flooded": round(after, 4),
        "kept": round(after / before, 4) if before else 0.0,
        "worst other": round(worst, 4),
        "goodput/capacity": round(useful / (HOSTS * SLOTS * seconds), 3),
        "most at a host": max(endpoint.most for endpoint in full.endpoints.values()),
    }


def _work_s(scenario: Scenario, key: Key) -> float:
    streams = (*scenario.base, scenario.flood)
    return next(held.work_s for held in streams if (held.service, held.team) == key)


def main() -> None:
    """Print the report and keep it."""
    found = [
        measure(scenario, variant, daemons)
        for daemons, scenario, variant in itertools.product((3, 7), scenarios(), VARIANTS)
    ]
    text = (
        f"{porcelain.table(found)}\n"
        f"simulated time, seed {SEED}; targets: kept at least {OTHERS_TARGET}, "
        f"goodput at least {GOODPUT_TARGET} of the pool's capacity\n"
    )
    sys.stdout.write(text)
    (ROOT / "docs" / "measurements" / "flood.txt").write_text(text, encoding="utf-8")


if __name__ == "__main__":
    main()
