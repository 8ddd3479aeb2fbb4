"""Compute the hosts that each pool needs from demand and failures, and plan moves of hosts."""

import math
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from ddsketch import DDSketch

from gypsumplank.coordination.budget import drain_blocked_reason, pool_availability
from gypsumplank.protocol.fleet import Plan, PlannedMove, PoolPlan
from gypsumplank.protocol.record import Kind, record_key
from gypsumplank.protocol.spec import DEFAULT_SLOTS, AssignmentState, PolicySpec
from gypsumplank.state.clock import Clock
from gypsumplank.state.view import View

MIN_DEMAND_QUANTILE = 0.70
MAX_DEMAND_QUANTILE = 0.999
# Length of a window of samples; quantiles cover the current and the previous one.
WINDOW_S = 120.0
# Samples of a pool's demand needed before a move into it.
MIN_SAMPLES = 12
# Time that a shortage must last before a move, if moves and roll-out have equal weights.
SHORTAGE_DELAY_S = 15.0
MIN_RETURN_SURPLUS_HOSTS = 2
# A surplus must last this many times longer than a shortage before a host is returned.
RETURN_DELAY_FACTOR = 20
# Relative error of the quantiles.
SKETCH_ACCURACY = 0.02
DEFAULT_POLICY = "default"

PoolDemand = Mapping[str, float]


class WindowedQuantiles:
    """Estimate quantiles of a value over the current and the previous window."""

    def __init__(self) -> None:
        self._current, self._previous = DDSketch(SKETCH_ACCURACY), DDSketch(SKETCH_ACCURACY)

    def add(self, value: float) -> None:
        """Add one value, 0 or more."""
        self._current.add(value)

    def rotate(self) -> None:
        """Start a new window and drop all values before the one that ends."""
        self._previous, self._current = self._current, DDSketch(SKETCH_ACCURACY)

    @property
    def count(self) -> float:
        """Return the number of values in both windows."""
        return float(self._current.count + self._previous.count)

    def quantile(self, share: float) -> float:
        """Return the value below which this share, 0 to 1, of the values lies."""
        both = DDSketch(SKETCH_ACCURACY)
        both.merge(self._previous)
        both.merge(self._current)
        return float(both.get_quantile_value(share) or 0.0)


@dataclass
class PoolSamples:
    """Store the samples of a pool: its demand in slots and its number of failed hosts."""

    demand: WindowedQuantiles
    failed: WindowedQuantiles


def pool_policy(view: View, pool: str) -> PolicySpec:
    """Return the policy named by the origin of the pool's record, else the default policy."""
    record = view.records.get(record_key(Kind.POOL, pool))
    names = (record.origin if record else "", DEFAULT_POLICY)
    found = [view.policies[name] for name in names if name in view.policies]
    return found[0] if found else PolicySpec()


def demand_quantile(policy: PolicySpec) -> float:
    """Return the quantile of demand to size a pool for.

    A higher weight of `flood_protection` raises it, as that needs a larger buffer; a higher weight
    of `buffer` lowers it.
    """
    weights = policy.flood_protection + policy.buffer
    share = policy.flood_protection / weights if weights else 0.5
    return MIN_DEMAND_QUANTILE + (MAX_DEMAND_QUANTILE - MIN_DEMAND_QUANTILE) * share


def shortage_delay_s(policy: PolicySpec) -> float:
    """Return how long in seconds a shortage must last before a move.

    Costly moves wait longer: a higher weight of `moves` lengthens the delay, a higher weight of
    `roll_out` shortens it.
    """
    weights = policy.moves + policy.roll_out
    return 2 * SHORTAGE_DELAY_S * (policy.moves / weights if weights else 0.5)


class Planner:
    """Sample demand and failures periodically, and plan moves with hysteresis."""

    def __init__(
        self,
        view: Callable[[], View],
        demand: Callable[[], PoolDemand],
        failed: Callable[[], Iterable[str]],
        clock: Clock,
        act: Callable[[Plan], None] | None = None,
    ) -> None:
        self._view = view
        self._demand = demand
        self._failed = failed
        self._clock = clock
        self._act = act
        self._rotated_at = clock.monotonic()
        self._samples: dict[str, PoolSamples] = {}
        self._short_since: dict[str, float] = {}
        self._surplus_since: dict[str, float] = {}
        self.plan = Plan()

    def tick(self) -> None:
        """Take one sample, compute a new plan and pass it to `act` if that is set."""
        view, now = self._view(), self._clock.monotonic()
        self._sample(view)
        if now - self._rotated_at >= WINDOW_S:
            self._rotated_at = now
            for samples in self._samples.values():
                samples.demand.rotate()
                samples.failed.rotate()
        self.plan = self._make_plan(view, now)
        if self._act is not None:
            self._act(self.plan)

    def _sample(self, view: View) -> None:
        demand, failed_hosts = self._demand(), set(self._failed())
        self._samples = {
            pool: self._samples.get(pool) or PoolSamples(WindowedQuantiles(), WindowedQuantiles())
            for pool in view.pools
        }
        for pool, samples in self._samples.items():
            samples.demand.add(demand.get(pool, 0.0))
            samples.failed.add(
                sum(_is_failed(view, host, failed_hosts) for host in view.hosts_of(pool))
            )

    def _make_plan(self, view: View, now: float) -> Plan:
        pools = tuple(self._plan_pool(view, pool) for pool in sorted(view.pools))
        short_pools = {pool_plan.pool for pool_plan in pools if pool_plan.surplus < 0}
        self._short_since = {pool: self._short_since.get(pool, now) for pool in short_pools}
        surplus_pools = {
            pool_plan.pool for pool_plan in pools if pool_plan.surplus >= MIN_RETURN_SURPLUS_HOSTS
        }
        self._surplus_since = {pool: self._surplus_since.get(pool, now) for pool in surplus_pools}
        moves: list[PlannedMove] = []
        notes: list[str] = []
        for pool_plan in sorted(pools, key=lambda pool_plan: pool_plan.surplus):
            if pool_plan.surplus < 0:
                self._plan_moves_into(view, pool_plan, pools, now, moves, notes)
        if not moves:
            moves += _return_moves(
                view,
                [
                    pool_plan
                    for pool_plan in pools
                    if self._has_lasting_surplus(view, pool_plan, now)
                ],
            )
        return Plan(pools, tuple(moves), tuple(notes), self._act is not None)

    def _has_lasting_surplus(self, view: View, pool_plan: PoolPlan, now: float) -> bool:
        min_s = RETURN_DELAY_FACTOR * shortage_delay_s(pool_policy(view, pool_plan.pool))
        return now - self._surplus_since.get(pool_plan.pool, now) >= min_s

    def _plan_pool(self, view: View, pool: str) -> PoolPlan:
        samples, share = self._samples[pool], demand_quantile(pool_policy(view, pool))
        availability = pool_availability(view, pool)
        slots = [view.hosts[host].slots for host in view.hosts_of(pool)]
        slots_per_host = sum(slots) / len(slots) if slots else DEFAULT_SLOTS
        demand = samples.demand.quantile(share)
        for_demand = math.ceil(demand * (1 - SKETCH_ACCURACY) / slots_per_host)
        for_failures = round(samples.failed.quantile(share))
        for_maintenance = 1 if view.pools[pool].guarded else 0
        need = max(availability.floor, for_demand) + for_failures + for_maintenance
        return PoolPlan(
            pool,
            availability.hosts,
            round(demand, 1),
            for_demand,
            for_failures,
            for_maintenance,
            availability.floor,
            need,
        )

    def _plan_moves_into(
        self,
        view: View,
        short: PoolPlan,
        pools: tuple[PoolPlan, ...],
        now: float,
        moves: list[PlannedMove],
        notes: list[str],
    ) -> None:
        """Append moves into a pool that is short of hosts, or a note why there are none."""
        short_for_s = now - self._short_since[short.pool]
        min_s = shortage_delay_s(pool_policy(view, short.pool))
        if self._samples[short.pool].demand.count < MIN_SAMPLES or short_for_s < min_s:
            notes.append(
                f"{short.pool} lacks {-short.surplus} for {short_for_s:.0f} of {min_s:.0f} s"
            )
            return
        incoming = _incoming_hosts(view, short.pool)
        for _ in range(-short.surplus - incoming):
            donor = _find_donor(view, short.pool, pools, moves)
            if donor is None:
                notes.append(f"{short.pool} lacks {-short.surplus} and no pool can give a host")
                return
            source, host = donor
            reason = f"{short.pool} needs {short.need} of {short.hosts} hosts"
            moves.append(PlannedMove(host, source, short.pool, reason, round(short_for_s, 1)))


def _is_failed(view: View, host: str, failed_hosts: set[str]) -> bool:
    return host in failed_hosts or view.assignment(host).state is AssignmentState.FAILED


def _incoming_hosts(view: View, pool: str) -> int:
    return sum(assignment.target_pool == pool for assignment in view.assignments.values())


def _find_donor(
    view: View, target: str, pools: tuple[PoolPlan, ...], moves: list[PlannedMove]
) -> tuple[str, str] | None:
    """Return a pool and its host that can be moved: spare pools first, then the largest surplus."""
    planned_sources = [move.source for move in moves]
    sources_in_progress = [
        assignment.pool for assignment in view.assignments.values() if assignment.target_pool
    ]
    donors = [
        donor
        for donor in pools
        if donor.pool != target
        and donor.surplus
        - planned_sources.count(donor.pool)
        - sources_in_progress.count(donor.pool)
        > 0
    ]
    for donor in sorted(
        donors, key=lambda candidate: (not view.pools[candidate.pool].spare, -candidate.surplus)
    ):
        planned_hosts = {move.host for move in moves}
        movable = [host for host in view.serving_hosts(donor.pool) if host not in planned_hosts]
        movable = [host for host in movable if not drain_blocked_reason(view, host)]
        if movable and pool_availability(
            view, donor.pool
        ).disruptions_allowed > planned_sources.count(donor.pool):
            return donor.pool, min(
                movable, key=lambda host: _zone_balance(view, host, donor.pool, target)
            )
    return None


def _zone_balance(view: View, host: str, source: str, target: str) -> tuple[int, int, str]:
    """Return a sort key that prefers zones with few hosts in the target and many in the source."""
    zone = view.hosts[host].zone
    in_target = sum(view.hosts[name].zone == zone for name in view.hosts_of(target))
    in_source = sum(view.hosts[name].zone == zone for name in view.hosts_of(source))
    return in_target, -in_source, host


def _return_moves(view: View, surplus_pools: Iterable[PoolPlan]) -> list[PlannedMove]:
    """Return at most one move that returns a host to the spare pool of its record."""
    return [
        PlannedMove(
            host,
            pool_plan.pool,
            recorded_pool,
            f"{pool_plan.pool} has {pool_plan.surplus} too many",
        )
        for pool_plan in surplus_pools
        for host in view.serving_hosts(pool_plan.pool)
        if (recorded_pool := view.hosts[host].pool) != pool_plan.pool
        and recorded_pool in view.pools
        and view.pools[recorded_pool].spare
        and not drain_blocked_reason(view, host)
    ][:1]
