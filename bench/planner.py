"""Measure the cost of a planning round, and compare moves and idle hosts with a naive planner."""

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
from gypsumplank.coordination import assignment
from gypsumplank.coordination.planner import Planner
from gypsumplank.protocol.fleet import PlannedMove
from gypsumplank.protocol.record import Record
from gypsumplank.protocol.spec import AssignmentSpec
from gypsumplank.state.clock import ManualClock
from gypsumplank.state.view import View, build_view
from standins.fleet import Fleet, record

# (hosts, pools, teams)
FLEET_SIZES = ((425, 5, 30), (850, 10, 60), (1700, 21, 120))
PLANNING_INTERVAL_S = 5.0
MAX_CPU_FRACTION = 0.013
TIMED_ROUNDS = 15
SLOTS_PER_HOST = 8
HOSTS_PER_POOL = 8
POOLS = ("a", "b", "c", "d", "spare")
SIMULATED_S = 4 * 3600.0
MOVE_DURATION_S = 10.0
BUSY_DURATION_S = 1800.0
BUSY_LOAD, QUIET_LOAD, NOISE_FRACTION, SPIKE_FACTOR = 1.4, 0.45, 0.08, 1.6
SPIKE_PROBABILITY = 0.03
DEPLOYMENT_POLICIES: Mapping[str, Mapping[str, float]] = {
    "cartofold": {"flood_protection": 3.0, "roll_out": 3.0, "buffer": 1.0, "moves": 1.0},
    "mossbrush": {"flood_protection": 1.0, "roll_out": 1.0, "buffer": 3.0, "moves": 3.0},
}


def fleet_records(hosts: int, pools: int, teams: int) -> list[Record]:
    """Return the records of a fleet of this size in five zones."""
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
    """Yield the CPU time of a planner round and of a controller round at each fleet size."""
    for hosts, pools, teams in FLEET_SIZES:
        records = fleet_records(hosts, pools, teams)
        view, clock, rng = build_view(1, records), ManualClock(), random.Random(1)
        demand = {pool: rng.uniform(50, 2 * SLOTS_PER_HOST * hosts / pools) for pool in view.pools}
        planner = Planner(lambda: view, lambda: demand, set, clock)  # noqa: B023
        planner_ms = _median_cpu_ms(planner.tick, clock)
        fleet = Fleet(records, nodes=1)
        fleet.run(3)
        controller_ms = _median_cpu_ms(fleet.nodes[0].controller.tick, fleet.clock)
        yield {
            "workers": hosts,
            "pools": pools,
            "teams": teams,
            "planner ms": round(planner_ms, 2),
            "planner share of a core": f"{planner_ms / 1000 / PLANNING_INTERVAL_S:.3%}",
            "controller ms (all pools)": round(controller_ms, 2),
            "us a worker": round(1000 * planner_ms / hosts, 1),
        }


def _median_cpu_ms(tick: Any, clock: ManualClock) -> float:
    durations_s = []
    for _ in range(TIMED_ROUNDS):
        clock.advance(1.0)
        started = time.thread_time()
        tick()
        durations_s.append(time.thread_time() - started)
    return 1000 * statistics.median(durations_s)


@dataclass
class SimulatedDeployment:
    """Simulate pools with shifting demand, and host moves that take `MOVE_DURATION_S`."""

    policy: Mapping[str, float]
    clock: ManualClock = field(default_factory=ManualClock)
    rng: random.Random = field(default_factory=lambda: random.Random(3))
    demand: dict[str, float] = field(default_factory=dict)
    moves: int = 0
    pool_rounds: int = 0
    served_rounds: int = 0
    idle_host_rounds: float = 0.0

    def __post_init__(self) -> None:
        self._records = [record("policy", "default", **self.policy)]
        self._pool_of: dict[str, str] = {}
        self._epochs: dict[str, int] = {}
        self._active_moves: dict[str, tuple[float, str]] = {}
        for pool in POOLS:
            budget = {"min_in_service": HOSTS_PER_POOL - 4}
            self._records.append(record("pool", pool, budget=budget, spare=pool == "spare"))
            for number in range(HOSTS_PER_POOL):
                self._add_host(pool, number)
        self.view = self._build()

    def _add_host(self, pool: str, number: int) -> None:
        name, zone = f"{pool}-{number}", f"zone-{number % 4}"
        spec = {"address": f"10.0.{number}.1:80", "pool": pool, "zone": zone, "rack": zone}
        self._records.append(record("host", name, **spec, slots=SLOTS_PER_HOST))
        self._pool_of[name] = pool
        self._epochs[name] = 0

    def _build(self) -> View:
        assigned = [
            assignment.assignment_record(host, AssignmentSpec(pool, epoch=self._epochs[host]))
            for host, pool in self._pool_of.items()
            if self._epochs[host]
        ]
        return build_view(1, [*self._records, *assigned])

    def step(self, planned: tuple[PlannedMove, ...]) -> None:
        """Advance by one planning interval; finish due moves and start the planned ones."""
        self.clock.advance(PLANNING_INTERVAL_S)
        now = self.clock.now
        for host, (ends_at, target) in list(self._active_moves.items()):
            if now >= ends_at:
                del self._active_moves[host]
                self._pool_of[host] = target
                self._epochs[host] += 1
                self.view = self._build()
        for planned_move in planned:
            if planned_move.host not in self._active_moves:
                self._active_moves[planned_move.host] = (now + MOVE_DURATION_S, planned_move.target)
                self.moves += 1
        self._update_demand(now)
        self._record_round()

    def _update_demand(self, now: float) -> None:
        """Set the demand of each pool: one pool is busy at a time, and all have short spikes."""
        busy_pool = POOLS[int(now / BUSY_DURATION_S) % (len(POOLS) - 1)]
        for pool in POOLS:
            load = BUSY_LOAD if pool == busy_pool else QUIET_LOAD
            load *= SPIKE_FACTOR if self.rng.random() < SPIKE_PROBABILITY else 1.0
            self.demand[pool] = (
                HOSTS_PER_POOL
                * SLOTS_PER_HOST
                * max(0.0, self.rng.gauss(load, NOISE_FRACTION * load))
            )

    def _record_round(self) -> None:
        for pool in POOLS:
            hosts = [name for name, assigned in self._pool_of.items() if assigned == pool]
            serving = sum(name not in self._active_moves for name in hosts)
            self.pool_rounds += 1
            self.served_rounds += self.demand[pool] <= serving * SLOTS_PER_HOST
            self.idle_host_rounds += max(0.0, serving - self.demand[pool] / SLOTS_PER_HOST)


def plan_by_current_demand(sim: SimulatedDeployment) -> tuple[PlannedMove, ...]:
    """Plan at most one move from the current demand alone, without history."""
    sizes = {pool: len(sim.view.hosts_of(pool)) for pool in POOLS}
    shortage = {
        pool: math.ceil(sim.demand.get(pool, 0.0) / SLOTS_PER_HOST) - sizes[pool] for pool in POOLS
    }
    target, source = max(POOLS, key=lambda name: shortage[name]), min(
        POOLS, key=lambda name: shortage[name]
    )
    if shortage[target] <= 0 or shortage[source] >= 0 or sizes[source] <= HOSTS_PER_POOL - 4:
        return ()
    host = min(sim.view.hosts_of(source))
    return (PlannedMove(host, source, target, "has too few hosts now"),)


def move_rows() -> Iterator[dict[str, Any]]:
    """Yield the on-time fraction, moves and idle hosts of each planning strategy."""
    for name, policy in DEPLOYMENT_POLICIES.items():
        for strategy in ("planner", "by the moment", "never"):
            sim = SimulatedDeployment(policy)
            planner = Planner(lambda: sim.view, lambda: sim.demand, set, sim.clock)  # noqa: B023
            while sim.clock.now < SIMULATED_S:
                planned: tuple[PlannedMove, ...] = ()
                if strategy == "planner":
                    planner.tick()
                    planned = planner.plan.moves
                elif strategy == "by the moment":
                    planned = plan_by_current_demand(sim)
                sim.step(planned)
            yield {
                "policy": name,
                "way": strategy,
                "on time": round(sim.served_rounds / sim.pool_rounds, 4),
                "moves": sim.moves,
                "idle hosts a pool": round(sim.idle_host_rounds / sim.pool_rounds, 2),
            }


def main() -> None:
    """Print the report and write it to docs/measurements."""
    costs, moves = porcelain.format_table(cost_rows()), porcelain.format_table(move_rows())
    text = (
        f"Cost of a round, processor time, median of {TIMED_ROUNDS}; the planner's period is "
        f"{PLANNING_INTERVAL_S:.0f} s\n{costs}\ntarget: under {MAX_CPU_FRACTION:.1%} of a core\n\n"
        f"Moves and buffer over {SIMULATED_S / 3600:.0f} simulated hours, {len(POOLS)} pools "
        f"of {HOSTS_PER_POOL}, demand shifts every {BUSY_DURATION_S / 60:.0f} minutes\n{moves}\n"
    )
    sys.stdout.write(text)
    path = ROOT / "docs" / "measurements" / "planner.txt"
    path.write_text(text, encoding="utf-8")


if __name__ == "__main__":
    main()
