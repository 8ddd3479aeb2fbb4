"""Find every fault in a set of records, within each record and between records."""

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

RECORD_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,127}")
RESOURCES = ("cores", "memory_gb", "accelerators")
SHARE_TOLERANCE = 1e-9

Rule = Callable[[View], Iterator[Fault]]


def find_faults(records: Iterable[Record]) -> tuple[Fault, ...]:
    """Return all faults of a complete set of records."""
    checked = tuple(records)
    within_records = (fault for record in checked for fault in _record_faults(record))
    return (
        *_repeated_records(checked),
        *within_records,
        *_view_faults(build_view(0, checked), KINDS_BY_RULE),
    )


def find_warnings(records: Iterable[Record]) -> tuple[Fault, ...]:
    """Return a warning for each field that is stored but unknown to this version."""
    return tuple(
        Fault(
            "field-unknown",
            f"spec.{name}",
            "is stored, but unknown to this version and without effect",
            record.key,
        )
        for record in records
        for name in unknown_fields(record)
    )


def check_records(before: View, after: View) -> None:
    """Raise RecordsError if a change introduces faults that were not there before."""
    changed = (rec for key, rec in after.records.items() if before.records.get(key) is not rec)
    within_records = [fault for record in changed for fault in _record_faults(record)]
    changed_kinds = {kind for kind, specs in after.specs.items() if before.specs[kind] is not specs}
    rules = [rule for rule, kinds in KINDS_BY_RULE.items() if changed_kinds & kinds]
    between_records = _view_faults(after, rules)
    if between_records:
        old = _view_faults(before, rules)
        between_records = tuple(fault for fault in between_records if fault not in old)
    faults = (*within_records, *between_records, *_changed_fixed_pools(before, after))
    if faults:
        raise RecordsError(faults)


def check_change(puts: Iterable[Record], deletes: Iterable[str]) -> tuple[Fault, ...]:
    """Return the faults of a change by itself: records written more than once or also deleted."""
    deleted_keys = set(deletes)
    conflicting = (
        Fault("record-repeated", "name", "is both written and deleted", record.key)
        for record in puts
        if record.key in deleted_keys
    )
    return (*_repeated_records(puts), *conflicting)


def add_file_names(faults: Iterable[Fault], files: Mapping[str, str]) -> tuple[Fault, ...]:
    """Return the faults with the file of their record added to the source."""
    return tuple(
        (
            replace(fault, source=f"{files[fault.source]}: {fault.source}")
            if fault.source in files
            else fault
        )
        for fault in faults
    )


def _repeated_records(records: Iterable[Record]) -> Iterator[Fault]:
    seen: set[str] = set()
    for record in records:
        if record.key in seen:
            yield Fault("record-repeated", "name", "is written more than once", record.key)
        seen.add(record.key)


def _record_faults(record: Record) -> Iterator[Fault]:
    if not RECORD_NAME.fullmatch(record.name):
        yield Fault("name-invalid", "name", f"does not match {RECORD_NAME.pattern}", record.key)
    try:
        spec = decode_spec(record)
    except RecordsError as exc:
        yield from exc.faults
        return
    invalid = check_address(spec.address) if record.kind is Kind.HOST else None
    if invalid:
        yield Fault("address-invalid", "spec.address", invalid, record.key)


def _view_faults(view: View, rules: Iterable[Rule]) -> tuple[Fault, ...]:
    return tuple(itertools.chain.from_iterable(rule(view) for rule in rules))


def _unknown_pools(view: View) -> Iterator[Fault]:
    references = itertools.chain(
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
    for key, field, pool in references:
        if pool not in view.pools:
            yield Fault("pool-unknown", f"spec.{field}", f"no pool {pool!r}", key)


def _unknown_hosts(view: View) -> Iterator[Fault]:
    for name, wave in view.waves.items():
        for host in wave.hosts:
            if host not in view.hosts:
                detail = f"no host {host!r}"
                yield Fault("host-unknown", "spec.hosts", detail, record_key(Kind.WAVE, name))


def _budgets_above_pool_size(view: View) -> Iterator[Fault]:
    for name, pool in view.pools.items():
        required, present = pool.budget.min_in_service, len(view.hosts_of(name))
        if present and required > present:
            detail = f"requires {required} of {present} hosts in service"
            key = record_key(Kind.POOL, name)
            yield Fault("budget-too-large", "spec.budget.min_in_service", detail, key)


def _repeated_addresses(view: View) -> Iterator[Fault]:
    first: dict[str, str] = {}
    for name, host in sorted(view.hosts.items()):
        other = first.setdefault(host.address, name)
        if other != name:
            detail = f"{host.address} is also the address of {other!r}"
            yield Fault("address-repeated", "spec.address", detail, record_key(Kind.HOST, name))


def _overlapping_waves(view: View) -> Iterator[Fault]:
    first: dict[str, str] = {}
    for name, wave in sorted(view.waves.items()):
        overlap: defaultdict[str, list[str]] = defaultdict(list)
        for host in sorted(_wave_hosts(view, wave)):
            other = first.setdefault(host, name)
            if other != name:
                overlap[other].append(host)
        for other, hosts in overlap.items():
            detail = f"wave {other!r} also covers {', '.join(hosts)}"
            yield Fault("wave-crossed", "spec.hosts", detail, record_key(Kind.WAVE, name))


def _wave_hosts(view: View, wave: WaveSpec) -> set[str]:
    return {*wave.hosts, *(host for pool in wave.pools for host in view.hosts_of(pool))}


def _missing_spare_pools(view: View) -> Iterator[Fault]:
    if any(pool.spare for pool in view.pools.values()):
        return
    for name, service in view.services.items():
        if service.overflow:
            detail = "overflows, but no pool is marked as spare"
            yield Fault("spare-missing", "spec.overflow", detail, record_key(Kind.SERVICE, name))


def _quotas_above_capacity(view: View) -> Iterator[Fault]:
    for resource in RESOURCES if view.hosts else ():
        present = sum(getattr(host, resource) for host in view.hosts.values())
        quota_total = 0
        for name, team in sorted(view.teams.items()):
            quota_total += getattr(team, resource)
            if getattr(team, resource) and quota_total > present:
                detail = f"quotas up to this team total {quota_total}, above capacity {present}"
                key = record_key(Kind.TEAM, name)
                yield Fault("quota-above-capacity", f"spec.{resource}", detail, key)


def _shares_above_one(view: View) -> Iterator[Fault]:
    pool_totals: defaultdict[str, float] = defaultdict(float)
    for name, service in sorted(view.services.items()):
        pool_totals[service.pool] += service.share
        if service.share and pool_totals[service.pool] > 1 + SHARE_TOLERANCE:
            detail = f"shares of services in pool {service.pool!r} up to this one exceed 1"
            yield Fault("share-above-one", "spec.share", detail, record_key(Kind.SERVICE, name))
    total = 0.0
    for name, team in sorted(view.teams.items()):
        total += team.share
        if team.share and total > 1 + SHARE_TOLERANCE:
            detail = "shares of teams up to this one exceed 1"
            yield Fault("share-above-one", "spec.share", detail, record_key(Kind.TEAM, name))


def _changed_fixed_pools(before: View, after: View) -> Iterator[Fault]:
    for name in before.assignments:
        old, new = before.hosts.get(name), after.hosts.get(name)
        if old is not None and new is not None and old.pool != new.pool:
            detail = (
                f"the pool is managed by the system now; move the host from {old.pool!r} instead"
            )
            yield Fault("pool-fixed", "spec.pool", detail, record_key(Kind.HOST, name))


PLACEMENT_KINDS = frozenset({Kind.POOL, Kind.HOST, Kind.ASSIGNMENT})
KINDS_BY_RULE: Mapping[Rule, frozenset[Kind]] = {
    _unknown_pools: frozenset({Kind.POOL, Kind.SERVICE, Kind.HOST, Kind.WAVE}),
    _unknown_hosts: frozenset({Kind.HOST, Kind.WAVE}),
    _budgets_above_pool_size: PLACEMENT_KINDS,
    _repeated_addresses: frozenset({Kind.HOST}),
    _overlapping_waves: PLACEMENT_KINDS | {Kind.WAVE},
    _missing_spare_pools: frozenset({Kind.POOL, Kind.SERVICE}),
    _quotas_above_capacity: frozenset({Kind.HOST, Kind.TEAM}),
    _shares_above_one: frozenset({Kind.SERVICE, Kind.TEAM}),
}
