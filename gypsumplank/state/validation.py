"""Find every fault of a set of records, each alone and among the others."""

import itertools
import re
from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import replace

from gypsumplank.errors import Fault, RecordsError
from gypsumplank.protocol.record import Kind, Record, record_key
from gypsumplank.protocol.spec import WaveSpec, decode_spec, unknown_fields
from gypsumplank.settings import check_address
from gypsumplank.state.view import View, build_view

NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,127}")
RESOURCES = ("cores", "memory_gb", "accelerators")
TOLERANCE = 1e-9

Rule = Callable[[View], Iterator[Fault]]


def find_faults(records: Iterable[Record]) -> tuple[Fault, ...]:
    """Return all faults of records that would be in force together."""
    held = tuple(records)
    alone = (fault for record in held for fault in _faults_alone(record))
    return (*_repeats(held), *alone, *_faults_together(build_view(0, held), RULES))


def find_warnings(records: Iterable[Record]) -> tuple[Fault, ...]:
    """Return what is kept though this version does not know it."""
    return tuple(
        Fault("field-unknown", f"spec.{name}", "is kept, but means nothing here", record.key)
        for record in records
        for name in unknown_fields(record)
    )


def check_records(before: View, after: View) -> None:
    """Raise RecordsError where a change brings in faults that were not there before."""
    changed = (rec for key, rec in after.records.items() if before.records.get(key) is not rec)
    alone = [fault for record in changed for fault in _faults_alone(record)]
    touched = {kind for kind, specs in after.specs.items() if before.specs[kind] is not specs}
    rules = [rule for rule, kinds in RULES.items() if touched & kinds]
    together = _faults_together(after, rules)
    if together:
        old = _faults_together(before, rules)
        together = tuple(fault for fault in together if fault not in old)
    faults = (*alone, *together, *_edited_pools(before, after))
    if faults:
        raise RecordsError(faults)


def check_order(puts: Iterable[Record], deletes: Iterable[str]) -> tuple[Fault, ...]:
    """Return the faults of a change by itself: records that it writes more than once."""
    gone = set(deletes)
    both = (
        Fault("record-repeated", "name", "is both written and deleted", record.key)
        for record in puts
        if record.key in gone
    )
    return (*_repeats(puts), *both)


def with_files(faults: Iterable[Fault], files: Mapping[str, str]) -> tuple[Fault, ...]:
    """Return faults that also name the file of their record."""
    return tuple(
        (
            replace(fault, source=f"{files[fault.source]}: {fault.source}")
            if fault.source in files
            else fault
        )
        for fault in faults
    )


def _repeats(records: Iterable[Record]) -> Iterator[Fault]:
    seen: set[str] = set()
    for record in records:
        if record.key in seen:
            yield Fault("record-repeated", "name", "is written more than once", record.key)
        seen.add(record.key)


def _faults_alone(record: Record) -> Iterator[Fault]:
    if not NAME.fullmatch(record.name):
        yield Fault("name-invalid", "name", f"does not match {NAME.pattern}", record.key)
    try:
        spec = decode_spec(record)
    except RecordsError as exc:
        yield from exc.faults
        return
    wrong = check_address(spec.address) if record.kind is Kind.HOST else None
    if wrong:
        yield Fault("address-invalid", "spec.address", wrong, record.key)


def _faults_together(view: View, rules: Iterable[Rule]) -> tuple[Fault, ...]:
    return tuple(itertools.chain.from_iterable(rule(view) for rule in rules))


def _unknown_pools(view: View) -> Iterator[Fault]:
    named = itertools.chain(
        (
            (record_key(Kind.SERVICE, name), "pool", spec.pool)
            for name, spec in view.services.items()
        ),
        ((record_key(Kind.HOST, name), "pool", spec.pool) for name, spec in view.hosts.items()),
        (
            (record_key(Kind.WAVE, name), "pools", pool)
            for name, spec in view.waves.items()
            for pool in spec.pools
        ),
    )
    for key, field, pool in named:
        if pool not in view.pools:
            yield Fault("pool-unknown", f"spec.{field}", f"no pool {pool!r}", key)


def _unknown_hosts(view: View) -> Iterator[Fault]:
    for name, wave in view.waves.items():
        for host in wave.hosts:
            if host not in view.hosts:
                detail = f"no host {host!r}"
                yield Fault("host-unknown", "spec.hosts", detail, record_key(Kind.WAVE, name))


def _large_budgets(view: View) -> Iterator[Fault]:
    for name, pool in view.pools.items():
        promised, held = pool.budget.min_in_service, len(view.hosts_of(name))
        if held and promised > held:
            detail = f"promises {promised} of {held} hosts"
            key = record_key(Kind.POOL, name)
            yield Fault("budget-too-large", "spec.budget.min_in_service", detail, key)


def _shared_addresses(view: View) -> Iterator[Fault]:
    first: dict[str, str] = {}
    for name, host in sorted(view.hosts.items()):
        other = first.setdefault(host.address, name)
        if other != name:
            detail = f"{host.address} is also the address of {other!r}"
            yield Fault("address-repeated", "spec.address", detail, record_key(Kind.HOST, name))


def _crossed_waves(view: View) -> Iterator[Fault]:
    first: dict[str, str] = {}
    for name, wave in sorted(view.waves.items()):
        crossed: defaultdict[str, list[str]] = defaultdict(list)
        for host in sorted(_wave_hosts(view, wave)):
            other = first.setdefault(host, name)
            if other != name:
                crossed[other].append(host)
        for other, hosts in crossed.items():
            detail = f"wave {other!r} is also over {', '.join(hosts)}"
            yield Fault("wave-crossed", "spec.hosts", detail, record_key(Kind.WAVE, name))


def _wave_hosts(view: View, wave: WaveSpec) -> set[str]:
    return {*wave.hosts, *(host for pool in wave.pools for host in view.hosts_of(pool))}


def _missing_spares(view: View) -> Iterator[Fault]:
    if any(pool.spare for pool in view.pools.values()):
        return
    for name, service in view.services.items():
        if service.overflow:
            detail = "overflows, but no pool is marked as spare"
            yield Fault("spare-missing", "spec.overflow", detail, record_key(Kind.SERVICE, name))


def _large_quotas(view: View) -> Iterator[Fault]:
    for resource in RESOURCES if view.hosts else ():
        held = sum(getattr(host, resource) for host in view.hosts.values())
        promised = 0
        for name, team in sorted(view.teams.items()):
            promised += getattr(team, resource)
            if getattr(team, resource) and promised > held:
                detail = f"quotas up to this team's promise {promised} of {held}"
                key = record_key(Kind.TEAM, name)
                yield Fault("quota-above-capacity", f"spec.{resource}", detail, key)


def _large_shares(view: View) -> Iterator[Fault]:
    promised: defaultdict[str, float] = defaultdict(float)
    for name, service in sorted(view.services.items()):
        promised[service.pool] += service.share
        if service.share and promised[service.pool] > 1 + TOLERANCE:
            detail = f"shares of pool {service.pool!r} up to this service's exceed 1"
            yield Fault("share-above-one", "spec.share", detail, record_key(Kind.SERVICE, name))
    total = 0.0
    for name, team in sorted(view.teams.items()):
        total += team.share
        if team.share and total > 1 + TOLERANCE:
            detail = "shares of teams up to this one's exceed 1"
            yield Fault("share-above-one", "spec.share", detail, record_key(Kind.TEAM, name))


def _edited_pools(before: View, after: View) -> Iterator[Fault]:
    for name in before.assignments:
        old, new = before.hosts.get(name), after.hosts.get(name)
        if old is not None and new is not None and old.pool != new.pool:
            detail = f"the host is placed by the system now; move it from {old.pool!r} instead"
            yield Fault("pool-fixed", "spec.pool", detail, record_key(Kind.HOST, name))


PLACED = frozenset({Kind.POOL, Kind.HOST, Kind.ASSIGNMENT})
RULES: Mapping[Rule, frozenset[Kind]] = {
    _unknown_pools: frozenset({Kind.POOL, Kind.SERVICE, Kind.HOST, Kind.WAVE}),
    _unknown_hosts: frozenset({Kind.HOST, Kind.WAVE}),
    _large_budgets: PLACED,
    _shared_addresses: frozenset({Kind.HOST}),
    _crossed_waves: PLACED | {Kind.WAVE},
    _missing_spares: frozenset({Kind.POOL, Kind.SERVICE}),
    _large_quotas: frozenset({Kind.HOST, Kind.TEAM}),
    _large_shares: frozenset({Kind.SERVICE, Kind.TEAM}),
}
