"""Check the hosts that each pool has out of service against its availability budget."""

from collections import Counter
from collections.abc import Collection, Iterator
from dataclasses import dataclass

from gypsumplank.errors import AssignmentError, BudgetError, InvariantError
from gypsumplank.protocol.record import Kind, record_key
from gypsumplank.protocol.spec import AssignmentSpec, AssignmentState
from gypsumplank.state.view import View


@dataclass(frozen=True)
class PoolAvailability:
    """Represent a pool's hosts in service against the minimum, `floor`, of its budget."""

    pool: str
    hosts: int
    in_service: int
    floor: int
    out: tuple[str, ...]

    @property
    def disruptions_allowed(self) -> int:
        """Return how many more hosts may go out of service."""
        return max(0, self.in_service - self.floor)

    @property
    def shortfall(self) -> int:
        """Return how many hosts in service the pool is below its minimum."""
        return max(0, self.floor - self.in_service)


def pool_availability(view: View, pool: str, suspects: Collection[str] = ()) -> PoolAvailability:
    """Return a pool's availability; `suspects` are failed or ejected hosts not recorded as out."""
    budget = view.pools[pool].budget
    hosts = view.hosts_of(pool)
    serving = [name for name in view.serving_hosts(pool) if name not in suspects]
    floor = budget.floor(len(hosts))
    in_service = set(serving)
    out = tuple(name for name in hosts if name not in in_service)
    return PoolAvailability(pool, len(hosts), len(serving), floor, out)


def drain_blocked_reason(view: View, host: str, suspects: Collection[str] = ()) -> str:
    """Return why the budget keeps a serving host from going out of service, or an empty string."""
    pool = view.assignment(host).pool
    availability = pool_availability(view, pool, suspects)
    if availability.disruptions_allowed < 1 and host not in suspects:
        return (
            f"{availability.in_service} of {availability.hosts} in service, "
            f"{availability.floor} promised"
        )
    spec, budget = view.hosts[host], view.pools[pool].budget
    for kind, domain, limit in (
        ("zone", spec.zone, budget.max_out_per_zone),
        ("rack", spec.rack, budget.max_out_per_rack),
    ):
        hosts_out = [name for name in availability.out if getattr(view.hosts[name], kind) == domain]
        hosts_out = [name for name in hosts_out if name != host]
        if limit is not None and len(hosts_out) >= limit:
            return (
                f"{len(hosts_out)} out in {kind} {domain}, {limit} allowed: {', '.join(hosts_out)}"
            )
    return ""


def check_budgets(before: View, after: View) -> None:
    """Raise BudgetError if a change takes a pool below its budget, or further below it.

    A pool is not checked if all hosts that the change takes out have an override. The limits by
    zone and rack are not checked if all of them have failed.
    """
    for pool in after.pools:
        if not before.hosts_of(pool):
            continue
        taken_out = _hosts_taken_out(before, after, pool)
        if taken_out and all(_has_override(after, host) for host in taken_out):
            continue
        _check_floor(before, after, pool)
        if not taken_out or not all(_is_failed(after, host) for host in taken_out):
            _check_failure_domains(before, after, pool)


def check_assignments(before: View, after: View) -> None:
    """Raise AssignmentError or InvariantError if a host's pool or epoch changes illegally."""
    for host in after.hosts:
        assignment = after.assignment(host)
        if assignment.pool not in after.pools:
            raise AssignmentError(
                f"host {host!r} is assigned to pool {assignment.pool!r}, which does not exist"
            )
        if host in before.hosts:
            _check_transition(host, before.assignment(host), assignment)


def is_assignment_key(key: str) -> bool:
    """Return whether a record's key is that of an assignment."""
    return key.startswith(record_key(Kind.ASSIGNMENT, ""))


def _check_transition(host: str, old: AssignmentSpec, new: AssignmentSpec) -> None:
    if old == new:
        return
    if new.epoch != old.epoch + 1 and (old.epoch, new.epoch) != (0, 0):
        raise InvariantError(f"host {host!r} changes from epoch {old.epoch} to {new.epoch}")
    drained = old.state in (AssignmentState.DRAINING, AssignmentState.OUT)
    if old.pool != new.pool and not (drained and old.target_pool == new.pool):
        raise AssignmentError(
            f"host {host!r} is {old.state.value} in pool {old.pool!r}: use `host move`, "
            "which drains it first"
        )


def _hosts_taken_out(before: View, after: View, pool: str) -> list[str]:
    serving = set(after.serving_hosts(pool))
    return [host for host in before.serving_hosts(pool) if host not in serving]


def _has_override(view: View, host: str) -> bool:
    return host in view.hosts and view.assignment(host).override


def _is_failed(view: View, host: str) -> bool:
    return host in view.hosts and view.assignment(host).state is AssignmentState.FAILED


def _check_floor(before: View, after: View, pool: str) -> None:
    old_shortfall = pool_availability(before, pool).shortfall if pool in before.pools else 0
    availability = pool_availability(after, pool)
    if availability.shortfall > old_shortfall:
        detail = (
            f"{availability.in_service} of {availability.hosts} in service, "
            f"{availability.floor} promised"
        )
        raise BudgetError(f"pool {pool!r} would have {detail}")


def _check_failure_domains(before: View, after: View, pool: str) -> None:
    old_excesses = dict(_domain_excesses(before, pool)) if pool in before.pools else {}
    for domain, excess in _domain_excesses(after, pool):
        if excess > max(0, old_excesses.get(domain, 0)):
            raise BudgetError(f"pool {pool!r} would have {excess} too many out in {domain}")


def _domain_excesses(view: View, pool: str) -> Iterator[tuple[str, int]]:
    """Yield each zone and rack with hosts out, and by how many they exceed its limit."""
    budget = view.pools[pool].budget
    out = [view.hosts[name] for name in pool_availability(view, pool).out]
    for kind, limit in (("zone", budget.max_out_per_zone), ("rack", budget.max_out_per_rack)):
        if limit is not None:
            counts = Counter(getattr(spec, kind) for spec in out)
            yield from ((f"{kind} {name}", count - limit) for name, count in counts.items())
