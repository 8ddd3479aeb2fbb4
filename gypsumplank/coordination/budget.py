"""Count what each pool has out of service against the budget that it promises."""

from collections import Counter
from collections.abc import Collection, Iterator
from dataclasses import dataclass

from gypsumplank.errors import AssignmentError, BudgetError, InvariantError
from gypsumplank.protocol.record import Kind, record_key
from gypsumplank.protocol.spec import AssignmentSpec, AssignmentState
from gypsumplank.state.view import View


@dataclass(frozen=True)
class Standing:
    """Tell how a pool stands against its budget; `room` more hosts may go out."""

    pool: str
    hosts: int
    in_service: int
    floor: int
    out: tuple[str, ...]

    @property
    def room(self) -> int:
        """Return how many more hosts may be out of service."""
        return max(0, self.in_service - self.floor)

    @property
    def shortfall(self) -> int:
        """Return how many hosts the pool lacks in service."""
        return max(0, self.floor - self.in_service)


def standing_of(view: View, pool: str, suspects: Collection[str] = ()) -> Standing:
    """Return how a pool of the view stands; suspects are dead or ejected, not yet recorded."""
    budget = view.pools[pool].budget
    hosts = view.hosts_of(pool)
    serving = [name for name in view.serving_hosts(pool) if name not in suspects]
    floor = budget.floor(len(hosts))
    held = set(serving)
    out = tuple(name for name in hosts if name not in held)
    return Standing(pool, len(hosts), len(serving), floor, out)


def find_blocker(view: View, host: str, suspects: Collection[str] = ()) -> str:
    """Return why a serving host may not go out of service now; empty where it may."""
    pool = view.assignment(host).pool
    standing = standing_of(view, pool, suspects)
    if standing.room < 1 and host not in suspects:
        return f"{standing.in_service} of {standing.hosts} in service, {standing.floor} promised"
    spec, budget = view.hosts[host], view.pools[pool].budget
    for kind, domain, limit in (
        ("zone", spec.zone, budget.max_out_per_zone),
        ("rack", spec.rack, budget.max_out_per_rack),
    ):
        gone = [name for name in standing.out if getattr(view.hosts[name], kind) == domain]
        gone = [name for name in gone if name != host]
        if limit is not None and len(gone) >= limit:
            return f"{len(gone)} out in {kind} {domain}, {limit} allowed: {', '.join(gone)}"
    return ""


def check_budgets(before: View, after: View) -> None:
    """Raise BudgetError where a change takes a pool under its budget, or further under it."""
    for pool in after.pools:
        if not before.hosts_of(pool):
            continue
        taken = _newly_out(before, after, pool)
        if taken and all(_overridden(after, host) for host in taken):
            continue
        _check_floor(before, after, pool)
        if not taken or not all(_failed(after, host) for host in taken):
            _check_domains(before, after, pool)


def check_assignments(before: View, after: View) -> None:
    """Raise AssignmentError or InvariantError where a host changes its pool or state wrongly."""
    for host in after.hosts:
        now = after.assignment(host)
        if now.pool not in after.pools:
            raise AssignmentError(f"host {host!r} is assigned to pool {now.pool!r}, not there")
        if host in before.hosts:
            _check_step(host, before.assignment(host), now)


def is_assignment_key(key: str) -> bool:
    """Tell whether a record's key is that of an assignment."""
    return key.startswith(record_key(Kind.ASSIGNMENT, ""))


def _check_step(host: str, was: AssignmentSpec, now: AssignmentSpec) -> None:
    if was == now:
        return
    if now.epoch != was.epoch + 1 and (was.epoch, now.epoch) != (0, 0):
        raise InvariantError(f"host {host!r} goes from epoch {was.epoch} to {now.epoch}")
    drained = was.state in (AssignmentState.DRAINING, AssignmentState.OUT)
    if was.pool != now.pool and not (drained and was.target_pool == now.pool):
        raise AssignmentError(
            f"host {host!r} is {was.state.value} in pool {was.pool!r}: `host move` drains it first"
        )


def _newly_out(before: View, after: View, pool: str) -> list[str]:
    serving = set(after.serving_hosts(pool))
    return [host for host in before.serving_hosts(pool) if host not in serving]


def _overridden(view: View, host: str) -> bool:
    return host in view.hosts and view.assignment(host).override


def _failed(view: View, host: str) -> bool:
    return host in view.hosts and view.assignment(host).state is AssignmentState.FAILED


def _check_floor(before: View, after: View, pool: str) -> None:
    was = standing_of(before, pool).shortfall if pool in before.pools else 0
    now = standing_of(after, pool)
    if now.shortfall > was:
        detail = f"{now.in_service} of {now.hosts} in service, {now.floor} promised"
        raise BudgetError(f"pool {pool!r} would have {detail}")


def _check_domains(before: View, after: View, pool: str) -> None:
    was = dict(_excesses(before, pool)) if pool in before.pools else {}
    for domain, excess in _excesses(after, pool):
        if excess > max(0, was.get(domain, 0)):
            raise BudgetError(f"pool {pool!r} would have {excess} too many out in {domain}")


def _excesses(view: View, pool: str) -> Iterator[tuple[str, int]]:
    """Yield each zone and rack with hosts out, and by how many they exceed the limit."""
    budget = view.pools[pool].budget
    out = [view.hosts[name] for name in standing_of(view, pool).out]
    for kind, limit in (("zone", budget.max_out_per_zone), ("rack", budget.max_out_per_rack)):
        if limit is not None:
            counts = Counter(getattr(spec, kind) for spec in out)
            yield from ((f"{kind} {name}", count - limit) for name, count in counts.items())
