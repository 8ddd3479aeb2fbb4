"""Choose which hosts a wave takes out next, and forecast its end."""

import math
from collections.abc import Mapping
from dataclasses import dataclass

from gypsumplank.coordination.budget import find_blocker, standing_of
from gypsumplank.coordination.signals import Signals
from gypsumplank.protocol.spec import AssignmentState, WaveSpec
from gypsumplank.state.view import View
from gypsumplank.state.wave import WaveRun

CORRELATED_FAILURES = 2


@dataclass(frozen=True)
class WaveState:
    """Tell how far a run is; `waits` gives the reason by pool."""

    total: int
    done: tuple[str, ...]
    out: tuple[str, ...]
    ready: tuple[str, ...]
    waits: Mapping[str, str]
    failed: tuple[str, ...]


def selection(view: View, spec: WaveSpec) -> tuple[str, ...]:
    """Return the wave's hosts that exist, zone by zone and rack by rack in each pool."""
    by_pool = (host for pool in spec.pools for host in view.hosts_of(pool))
    chosen = {host for host in (*by_pool, *spec.hosts) if host in view.hosts}
    return tuple(sorted(chosen, key=lambda host: _place(view, host)))


def _place(view: View, host: str) -> tuple[str, str, str, str]:
    spec = view.hosts[host]
    return view.assignment(host).pool, spec.zone, spec.rack, host


def survey(view: View, spec: WaveSpec, run: WaveRun, signals: Signals) -> WaveState:
    """Return how far a run is and which hosts may go out next."""
    chosen = selection(view, spec)
    held = {host: view.assignment(host) for host in chosen}
    done = tuple(host for host in chosen if held[host].maintained == run.id)
    out = tuple(host for host in chosen if held[host].run == run.id)
    failed = tuple(
        host
        for host in chosen
        if held[host].state is AssignmentState.FAILED and held[host].since >= run.started_at
    )
    left = [host for host in chosen if held[host].maintained != run.id]
    waits: dict[str, str] = {}
    ready = []
    for host in left:
        if held[host].state is not AssignmentState.SERVING:
            if held[host].run != run.id:
                waits.setdefault(held[host].pool, f"{host}: is {held[host].state.value} already")
            continue
        reason = find_wait(view, spec, run, host, signals)
        if reason:
            waits.setdefault(held[host].pool, f"{host}: {reason}")
        else:
            ready.append(host)
    return WaveState(len(chosen), done, out, tuple(ready), waits, failed)


def find_wait(view: View, spec: WaveSpec, run: WaveRun, host: str, signals: Signals) -> str:
    """Return why the wave may not take a host out now; empty where it may."""
    pool = view.assignment(host).pool
    out = [name for name, held in view.assignments.items() if held.run == run.id]
    if len(out) >= spec.parallelism:
        return f"{len(out)} out at once, {spec.parallelism} allowed"
    peers = [name for name in out if name in view.hosts and view.assignment(name).pool == pool]
    zones = {view.hosts[name].zone for name in peers} - {view.hosts[host].zone}
    if zones and not spec.cross_domains:
        return f"hosts in {', '.join(sorted(zones))} are out"
    if spec.override:
        return ""
    if signals.flooded(pool):
        return "the pool is in flood"
    return find_blocker(view, host, signals.suspects())


def forecast_s(view: View, spec: WaveSpec, state: WaveState) -> float:
    """Return the seconds until the end if each host takes the whole grace."""
    left = [host for host in selection(view, spec) if host not in set(state.done)]
    each_s = spec.grace_s + spec.maintenance_s
    rounds = max((_rounds(view, spec, pool, left) for pool in _pools(view, left)), default=0)
    return each_s * max(rounds, math.ceil(len(left) / max(1, spec.parallelism)))


def _pools(view: View, hosts: list[str]) -> set[str]:
    return {view.assignment(host).pool for host in hosts}


def _rounds(view: View, spec: WaveSpec, pool: str, left: list[str]) -> int:
    """Return how many times hosts of a pool go out one after another."""
    members = [host for host in left if view.assignment(host).pool == pool]
    standing = standing_of(view, pool)
    budget = view.pools[pool].budget
    width = max(1, standing.hosts - standing.floor)
    if spec.cross_domains:
        return max(math.ceil(len(members) / width), _widest(view, members, "rack", budget))
    zones = {view.hosts[host].zone for host in members}
    return sum(_zone_rounds(view, pool, zone, members, width) for zone in zones)


def _zone_rounds(view: View, pool: str, zone: str, members: list[str], width: int) -> int:
    budget = view.pools[pool].budget
    inside = [host for host in members if view.hosts[host].zone == zone]
    limit = min(width, budget.max_out_per_zone or width)
    return max(math.ceil(len(inside) / limit), _widest(view, inside, "rack", budget))


def _widest(view: View, members: list[str], kind: str, budget: object) -> int:
    limit = getattr(budget, f"max_out_per_{kind}")
    if not limit:
        return 0
    domains = [getattr(view.hosts[host], kind) for host in members]
    return max((math.ceil(domains.count(name) / limit) for name in set(domains)), default=0)
