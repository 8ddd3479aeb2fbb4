"""Select the hosts that a maintenance wave takes out of service next, and forecast its end."""

import math
from collections.abc import Mapping
from dataclasses import dataclass

from gypsumplank.coordination.budget import drain_blocked_reason, pool_availability
from gypsumplank.coordination.signals import HostSignals
from gypsumplank.protocol.spec import AssignmentState, WaveSpec
from gypsumplank.state.view import View
from gypsumplank.state.wave import WaveRun

# A run pauses once this many of its hosts have failed since it started.
PAUSE_AFTER_FAILED_HOSTS = 2


@dataclass(frozen=True)
class WaveProgress:
    """Represent the progress of a run; `waits` gives by pool why its next host waits."""

    total: int
    done: tuple[str, ...]
    out: tuple[str, ...]
    ready: tuple[str, ...]
    waits: Mapping[str, str]
    failed: tuple[str, ...]


def ordered_hosts(view: View, spec: WaveSpec) -> tuple[str, ...]:
    """Return the wave's existing hosts, ordered by pool, zone, rack and name."""
    by_pool = (host for pool in spec.pools for host in view.hosts_of(pool))
    selected = {host for host in (*by_pool, *spec.hosts) if host in view.hosts}
    return tuple(sorted(selected, key=lambda host: _order_key(view, host)))


def _order_key(view: View, host: str) -> tuple[str, str, str, str]:
    spec = view.hosts[host]
    return view.assignment(host).pool, spec.zone, spec.rack, host


def wave_progress(view: View, spec: WaveSpec, run: WaveRun, signals: HostSignals) -> WaveProgress:
    """Return the progress of a run and the hosts that may go out of service next."""
    selected = ordered_hosts(view, spec)
    assignments = {host: view.assignment(host) for host in selected}
    done = tuple(host for host in selected if assignments[host].maintained == run.id)
    out = tuple(host for host in selected if assignments[host].run == run.id)
    failed = tuple(
        host
        for host in selected
        if assignments[host].state is AssignmentState.FAILED
        and assignments[host].since >= run.started_at
    )
    remaining = [host for host in selected if assignments[host].maintained != run.id]
    waits: dict[str, str] = {}
    ready = []
    for host in remaining:
        if assignments[host].state is not AssignmentState.SERVING:
            if assignments[host].run != run.id:
                waits.setdefault(
                    assignments[host].pool, f"{host}: is {assignments[host].state.value} already"
                )
            continue
        reason = wait_reason(view, spec, run, host, signals)
        if reason:
            waits.setdefault(assignments[host].pool, f"{host}: {reason}")
        else:
            ready.append(host)
    return WaveProgress(len(selected), done, out, tuple(ready), waits, failed)


def wait_reason(view: View, spec: WaveSpec, run: WaveRun, host: str, signals: HostSignals) -> str:
    """Return why a wave may not take a host out of service now, or an empty string."""
    pool = view.assignment(host).pool
    out = [name for name, assignment in view.assignments.items() if assignment.run == run.id]
    if len(out) >= spec.parallelism:
        return f"{len(out)} out at once, {spec.parallelism} allowed"
    pool_out = [name for name in out if name in view.hosts and view.assignment(name).pool == pool]
    zones = {view.hosts[name].zone for name in pool_out} - {view.hosts[host].zone}
    if zones and not spec.cross_domains:
        return f"hosts in {', '.join(sorted(zones))} are out"
    if spec.override:
        return ""
    if signals.flooded(pool):
        return "the pool is in flood"
    return drain_blocked_reason(view, host, signals.suspect_hosts())


def forecast_s(view: View, spec: WaveSpec, progress: WaveProgress) -> float:
    """Return the seconds until a run ends if each host uses its whole grace period."""
    remaining = [host for host in ordered_hosts(view, spec) if host not in set(progress.done)]
    per_host_s = spec.grace_s + spec.maintenance_s
    rounds = max(
        (_rounds(view, spec, pool, remaining) for pool in _pools(view, remaining)), default=0
    )
    return per_host_s * max(rounds, math.ceil(len(remaining) / max(1, spec.parallelism)))


def _pools(view: View, hosts: list[str]) -> set[str]:
    return {view.assignment(host).pool for host in hosts}


def _rounds(view: View, spec: WaveSpec, pool: str, remaining: list[str]) -> int:
    """Return how many successive batches the remaining hosts of a pool need."""
    members = [host for host in remaining if view.assignment(host).pool == pool]
    availability = pool_availability(view, pool)
    budget = view.pools[pool].budget
    batch_size = max(1, availability.hosts - availability.floor)
    if spec.cross_domains:
        return max(
            math.ceil(len(members) / batch_size), _domain_rounds(view, members, "rack", budget)
        )
    zones = {view.hosts[host].zone for host in members}
    return sum(_zone_rounds(view, pool, zone, members, batch_size) for zone in zones)


def _zone_rounds(view: View, pool: str, zone: str, members: list[str], batch_size: int) -> int:
    budget = view.pools[pool].budget
    in_zone = [host for host in members if view.hosts[host].zone == zone]
    limit = min(batch_size, budget.max_out_per_zone or batch_size)
    return max(math.ceil(len(in_zone) / limit), _domain_rounds(view, in_zone, "rack", budget))


def _domain_rounds(view: View, members: list[str], kind: str, budget: object) -> int:
    limit = getattr(budget, f"max_out_per_{kind}")
    if not limit:
        return 0
    domains = [getattr(view.hosts[host], kind) for host in members]
    return max((math.ceil(domains.count(name) / limit) for name in set(domains)), default=0)
