"""Measure what a planning round costs, and moves and buffer against a planner without memory."""

import math
import random
import statistics
import sys
import time
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from typing import Any

from demo.cluster import ROOT
from gypsumplank import porcelain
from gypsumplank.coordination import move
from gypsumplank.coordination.planner import Planner
from gypsumplank.protocol.fleet import PlannedMove
from gypsumplank.protocol.record import Record
from gypsumplank.protocol.spec import AssignmentSpec
from gypsumplank.state.clock import ManualClock
from gypsumplank.state.view import View, build_view
from standins.fleet import Fleet, record

SIZES = ((425, 5, 30), (850, 10, 60), (1700, 21, 120))
PERIOD_S = 5.0
TARGET_SHARE = 0.013
ROUNDS = 15
SLOTS = 8
HOSTS = 8
POOLS = ("a", "b", "c", "d", "spare")
SIMULATED_S = 4 * 3600.0
MOVE_S = 10.0
TURN_S = 1800.0
BUSY, QUIET, NOISE, SPIKE = 1.4, 0.45, 0.08, 1.6
SPIKE_SHARE = 0.03
DEPLOYMENTS: Mapping[str, Mapping[str, float]] = {
    "cartofold": {"flood_protection": 3.0, "roll_out": 3.0, "buffer": 1.0, "moves": 1.0},
    "mossbrush": {"flood_protection": 1.0, "roll_out": 1.0, "buffer": 3.0, "moves": 3.0},
}


def fleet_records(hosts: int, pools: int, teams: int) -> list[Record]:
    """Return a fleet of this size over five zones."""
    names = [f"pool-{number}" for number in range(pools)]
    budget = {"min_share": 0.8, "max_out_per_rack": 2}
    records = [record("pool", name, budget=budget, spare=name == "pool-0") for name in names]
    records += [record("service", name, pool=name) for name in names]
    records += [record("team", f"team-{number}", share=0.001) for number in range(teams)]
    for number in range(hosts):
        spec = {
            "address": f"10.{number // 250}.{number % 250}.1:80",
            "pool": names[number % pools],
            "zone": f"zone-{number % 5}",
            "rack": f"rack-{number // 40}",
        }
        records.append(record("host", f"host-{number}", **spec))
    return records


def cost_rows() -> Iterator[dict[str, Any]]:
    """Yield the cost of a round of the planner and of the controller at each size."""
    for hosts, pools, teams in SIZES:
        records = fleet_records(hosts, pools, teams)
        view, clock, rng = build_view(1, records), ManualClock(), random.Random(1)
        demand = {pool: rng.uniform(50, 2 * SLOTS * hosts / pools) for pool in view.pools}
        planner = Planner(lambda: view, lambda: demand, set, clock)  # noqa: B023
        planner_ms = _median_ms(planner.tick, clock)
        fleet = Fleet(records, nodes=1)
        fleet.run(3)
        controller_ms = _median_ms(fleet.nodes[0].controller.tick, fleet.clock)
        yield {
            "workers": hosts,
            "pools": pools,
            "teams": teams,
            "planner ms": round(planner_ms, 2),
            "planner share of a core": f"{planner_ms / 1000 / PERIOD_S:.3%}",
            "controller ms (all pools)": round(controller_ms, 2),
            "us a worker": round(1000 * planner_ms / hosts, 1),
        }


def _median_ms(tick: Any, clock: ManualClock) -> float:
    times = []
    for _ in range(ROUNDS):
        clock.advance(1.0)
        started = time.thread_time()
        tick()
        times.append(time.thread_time() - started)
    return 1000 * statistics.median(times)


@dataclass
class Site:
    """Hold pools whose demand shifts, and carry out moves after the time that they take."""

    policy: Mapping[str, float]
    clock: ManualClock = field(default_factory=ManualClock)
    rng: random.Random = field(default_factory=lambda: random.Random(3))
    demand: dict[str, float] = field(default_factory=dict)
    moves: int = 0
    rounds: int = 0
    on_time: int = 0
    idle_hosts: float = 0.0

    def __post_init__(self) -> None:
        self._records = [record("policy", "default", **self.policy)]
        self._pool_of: dict[str, str] = {}
        self._epoch: dict[str, int] = {}
        self._under_way: dict[str, tuple[float, str]] = {}
        for pool in POOLS:
            budget = {"min_in_service": HOSTS - 4}
            self._records.append(record("pool", pool, budget=budget, spare=pool == "spare"))
            for number in range(HOSTS):
                self._add_host(pool, number)
        self.view = self._build()

    def _add_host(self, pool: str, number: int) -> None:
        name, zone = f"{pool}-{number}", f"zone-{number % 4}"
        spec = {"address": f"10.0.{number}.1:80", "pool": pool, "zone": zone, "rack": zone}
        self._records.append(record("host", name, **spec, slots=SLOTS))
        self._pool_of[name] = pool
        self._epoch[name] = 0

    def _build(self) -> View:
        assigned = [
            move.assignment_record(host, AssignmentSpec(pool, epoch=self._epoch[host]))
            for host, pool in self._pool_of.items()
            if self._epoch[host]
        ]
        return build_view(1, [*self._records, *assigned])

    def step(self, planned: tuple[PlannedMove, ...]) -> None:
        """Let one period pass; start the moves and end those that are due."""
        self.clock.advance(PERIOD_S)
        now = self.clock.now
        for host, (due, target) in list(self._under_way.items()):
            if now >= due:
                del self._under_way[host]
                self._pool_of[host] = target
                self._epoch[host] += 1
                self.view = self._build()
        for found in planned:
            if found.host not in self._under_way:
                self._under_way[found.host] = (now + MOVE_S, found.target)
                self.moves += 1
        self._ask(now)
        self._count()

    def _ask(self, now: float) -> None:
        """Set what each pool asks for: one of them is busy for a while, with short spikes."""
        busy = POOLS[int(now / TURN_S) % (len(POOLS) - 1)]
        for pool in POOLS:
            level = BUSY if pool == busy else QUIET
            level *= SPIKE if self.rng.random() < SPIKE_SHARE else 1.0
            self.demand[pool] = HOSTS * SLOTS * max(0.0, self.rng.gauss(level, NOISE * level))

    def _count(self) -> None:
        for pool in POOLS:
            hosts = [name for name, held in self._pool_of.items() if held == pool]
            serving = sum(name not in self._under_way for name in hosts)
            self.rounds += 1
            self.on_time += self.demand[pool] <= serving * SLOTS
            self.idle_hosts += max(0.0, serving - self.demand[pool] / SLOTS)


def plan_now(site: Site) -> tuple[PlannedMove, ...]:
    """Plan by the demand of this moment alone."""
    sizes = {pool: len(site.view.hosts_of(pool)) for pool in POOLS}
    lack = {pool: math.ceil(site.demand.get(pool, 0.0) / SLOTS) - sizes[pool] for pool in POOLS}
    target, source = max(POOLS, key=lambda p: lack[p]), min(POOLS, key=lambda p: lack[p])
    if lack[target] <= 0 or lack[source] >= 0 or sizes[source] <= HOSTS - 4:
        return ()
    host = min(site.view.hosts_of(source))
    return (PlannedMove(host, source, target, "lacks now"),)


def move_rows() -> Iterator[dict[str, Any]]:
    """Yield on-time share, moves and idle hosts of each way to plan."""
    for name, policy in DEPLOYMENTS.items():
        for way in ("planner", "by the moment", "never"):
            site = Site(policy)
            planner = Planner(lambda: site.view, lambda: site.demand, set, site.clock)  # noqa: B023
            while site.clock.now < SIMULATED_S:
                planned: tuple[PlannedMove, ...] = ()
                if way == "planner":
                    planner.tick()
                    planned = planner.plan.moves
                elif way == "by the moment":
                    planned = plan_now(site)
                site.step(planned)
            yield {
                "policy": name,
                "way": way,
                "on time": round(site.on_time / site.rounds, 4),
                "moves": site.moves,
                "idle hosts a pool": round(site.idle_hosts / site.rounds, 2),
            }


def main() -> None:
    """Print the report and keep it."""
    costs, moves = porcelain.table(cost_rows()), porcelain.table(move_rows())
    text = (
        f"Cost of a round, processor time, median of {ROUNDS}; the planner's period is "
        f"{PERIOD_S:.0f} s\n{costs}\ntarget: under {TARGET_SHARE:.1%} of a core\n\n"
        f"Moves and buffer over {SIMULATED_S / 3600:.0f} simulated hours, {len(POOLS)} pools "
        f"of {HOSTS}, demand shifts every {TURN_S / 60:.0f} minutes\n{moves}\n"
    )
    sys.stdout.write(text)
    path = ROOT / "docs" / "measurements" / "planner.txt"
    path.write_text(text, encoding="utf-8")


if __name__ == "__main__":
    main()
