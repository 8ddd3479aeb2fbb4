"""Size each pool from measured demand and failures, and suggest moves between pools."""

import math
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from ddsketch import DDSketch

from gypsumplank.coordination.budget import find_blocker, standing_of
from gypsumplank.protocol.fleet import Plan, PlannedMove, PoolPlan
from gypsumplank.protocol.record import Kind, record_key
from gypsumplank.protocol.spec import DEFAULT_SLOTS, AssignmentState, PolicySpec
from gypsumplank.state.clock import Clock
from gypsumplank.state.view import View

LOWEST_QUANTILE = 0.70
HIGHEST_QUANTILE = 0.999
WINDOW_S = 120.0
LEAST_SAMPLES = 12
HOLD_S = 15.0
RETURN_SURPLUS = 2
RETURN_HOLDS = 20
ACCURACY = 0.02
DEFAULT_POLICY = "default"

Sample = Mapping[str, float]


class Gauge:
    """Keep quantiles of a value over the last one to two windows."""

    def __init__(self) -> None:
        self._new, self._old = DDSketch(ACCURACY), DDSketch(ACCURACY)

    def add(self, value: float) -> None:
        """Take in one value, 0 or more."""
        self._new.add(value)

    def turn(self) -> None:
        """Begin a new window and forget the one before the last."""
        self._old, self._new = self._new, DDSketch(ACCURACY)

    @property
    def count(self) -> float:
        """Return the number of values held."""
        return float(self._new.count + self._old.count)

    def quantile(self, share: float) -> float:
        """Return the value below which this share of the values lies."""
        both = DDSketch(ACCURACY)
        both.merge(self._old)
        both.merge(self._new)
        return float(both.get_quantile_value(share) or 0.0)


@dataclass
class Measured:
    """Hold what was measured of a pool: slots in demand, and hosts that had failed."""

    demand: Gauge
    failed: Gauge


def policy_of(view: View, pool: str) -> PolicySpec:
    """Return the policy of the pool's deployment, by its record's origin."""
    record = view.records.get(record_key(Kind.POOL, pool))
    names = (record.origin if record else "", DEFAULT_POLICY)
    found = [view.policies[name] for name in names if name in view.policies]
    return found[0] if found else PolicySpec()


def quantile_of(policy: PolicySpec) -> float:
    """Return the share of time that a pool is to hold its demand; protection costs buffer."""
    weights = policy.flood_protection + policy.buffer
    share = policy.flood_protection / weights if weights else 0.5
    return LOWEST_QUANTILE + (HIGHEST_QUANTILE - LOWEST_QUANTILE) * share


def hold_s(policy: PolicySpec) -> float:
    """Return how long a lack must last before a host moves; dear moves wait longer."""
    weights = policy.moves + policy.roll_out
    return 2 * HOLD_S * (policy.moves / weights if weights else 0.5)


class Planner:
    """Sample demand, and plan with hysteresis."""

    def __init__(
        self,
        view: Callable[[], View],
        demand: Callable[[], Sample],
        failed: Callable[[], Iterable[str]],
        clock: Clock,
        act: Callable[[Plan], None] | None = None,
    ) -> None:
        self._view = view
        self._demand = demand
        self._failed = failed
        self._clock = clock
        self._act = act
        self._turned_at = clock.monotonic()
        self._measured: dict[str, Measured] = {}
        self._lacking_since: dict[str, float] = {}
        self._idle_since: dict[str, float] = {}
        self.plan = Plan()

    def tick(self) -> None:
        """Take one sample, plan anew and act on it where that is wanted."""
        view, now = self._view(), self._clock.monotonic()
        self._sample(view)
        if now - self._turned_at >= WINDOW_S:
            self._turned_at = now
            for held in self._measured.values():
                held.demand.turn()
                held.failed.turn()
        self.plan = self._make(view, now)
        if self._act is not None:
            self._act(self.plan)

    def _sample(self, view: View) -> None:
        demand, dead = self._demand(), set(self._failed())
        self._measured = {
            pool: self._measured.get(pool) or Measured(Gauge(), Gauge()) for pool in view.pools
        }
        for pool, held in self._measured.items():
            held.demand.add(demand.get(pool, 0.0))
            held.failed.add(sum(_is_failed(view, host, dead) for host in view.hosts_of(pool)))

    def _make(self, view: View, now: float) -> Plan:
        pools = tuple(self._size(view, pool) for pool in sorted(view.pools))
        lacking = {held.pool for held in pools if held.surplus < 0}
        self._lacking_since = {pool: self._lacking_since.get(pool, now) for pool in lacking}
        idle = {held.pool for held in pools if held.surplus >= RETURN_SURPLUS}
        self._idle_since = {pool: self._idle_since.get(pool, now) for pool in idle}
        moves: list[PlannedMove] = []
        notes: list[str] = []
        for held in sorted(pools, key=lambda size: size.surplus):
            if held.surplus < 0:
                self._fill(view, held, pools, now, moves, notes)
        if not moves:
            moves += _returns(view, [held for held in pools if self._long_idle(view, held, now)])
        return Plan(pools, tuple(moves), tuple(notes), self._act is not None)

    def _long_idle(self, view: View, held: PoolPlan, now: float) -> bool:
        least_s = RETURN_HOLDS * hold_s(policy_of(view, held.pool))
        return now - self._idle_since.get(held.pool, now) >= least_s

    def _size(self, view: View, pool: str) -> PoolPlan:
        measured, share = self._measured[pool], quantile_of(policy_of(view, pool))
        standing = standing_of(view, pool)
        slots = [view.hosts[host].slots for host in view.hosts_of(pool)]
        each = sum(slots) / len(slots) if slots else DEFAULT_SLOTS
        demand = measured.demand.quantile(share)
        for_demand = math.ceil(demand * (1 - ACCURACY) / each)
        for_failures = round(measured.failed.quantile(share))
        for_maintenance = 1 if view.pools[pool].guarded else 0
        need = max(standing.floor, for_demand) + for_failures + for_maintenance
        return PoolPlan(
            pool,
            standing.hosts,
            round(demand, 1),
            for_demand,
            for_failures,
            for_maintenance,
            standing.floor,
            need,
        )

    def _fill(
        self,
        view: View,
        lack: PoolPlan,
        pools: tuple[PoolPlan, ...],
        now: float,
        moves: list[PlannedMove],
        notes: list[str],
    ) -> None:
        """Plan moves into a pool that lacks hosts, or note why there are none."""
        held_s = now - self._lacking_since[lack.pool]
        least_s = hold_s(policy_of(view, lack.pool))
        if self._measured[lack.pool].demand.count < LEAST_SAMPLES or held_s < least_s:
            notes.append(f"{lack.pool} lacks {-lack.surplus} for {held_s:.0f} of {least_s:.0f} s")
            return
        coming = _coming(view, lack.pool)
        for _ in range(-lack.surplus - coming):
            found = _find_donor(view, lack.pool, pools, moves)
            if found is None:
                notes.append(f"{lack.pool} lacks {-lack.surplus} and no pool can give a host")
                return
            source, host = found
            reason = f"{lack.pool} needs {lack.need} of {lack.hosts} hosts"
            moves.append(PlannedMove(host, source, lack.pool, reason, round(held_s, 1)))


def _is_failed(view: View, host: str, dead: set[str]) -> bool:
    return host in dead or view.assignment(host).state is AssignmentState.FAILED


def _coming(view: View, pool: str) -> int:
    return sum(held.target_pool == pool for held in view.assignments.values())


def _find_donor(
    view: View, target: str, pools: tuple[PoolPlan, ...], moves: list[PlannedMove]
) -> tuple[str, str] | None:
    """Return a pool and its host that may go: spare pools first, then by surplus."""
    given = [move.source for move in moves]
    leaving = [held.pool for held in view.assignments.values() if held.target_pool]
    donors = [
        held
        for held in pools
        if held.pool != target
        and held.surplus - given.count(held.pool) - leaving.count(held.pool) > 0
    ]
    for held in sorted(donors, key=lambda one: (not view.pools[one.pool].spare, -one.surplus)):
        taken = {move.host for move in moves}
        free = [host for host in view.serving_hosts(held.pool) if host not in taken]
        free = [host for host in free if not find_blocker(view, host)]
        if free and standing_of(view, held.pool).room > given.count(held.pool):
            return held.pool, min(free, key=lambda host: _spread(view, host, held.pool, target))
    return None


def _spread(view: View, host: str, source: str, target: str) -> tuple[int, int, str]:
    """Return a key that prefers a zone crowded at the source and thin at the target."""
    zone = view.hosts[host].zone
    there = sum(view.hosts[name].zone == zone for name in view.hosts_of(target))
    here = sum(view.hosts[name].zone == zone for name in view.hosts_of(source))
    return there, -here, host


def _returns(view: View, idle: Iterable[PoolPlan]) -> list[PlannedMove]:
    """Plan to give a host back to the spare pool that it came from."""
    return [
        PlannedMove(host, held.pool, home, f"{held.pool} has {held.surplus} too many")
        for held in idle
        for host in view.serving_hosts(held.pool)
        if (home := view.hosts[host].pool) != held.pool
        and home in view.pools
        and view.pools[home].spare
        and not find_blocker(view, host)
    ][:1]
