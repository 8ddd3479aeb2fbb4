"""Find every fault of a set of records, each alone and among the others."""

from collections.abc import Iterable, Iterator, Mapping

from gypsumplank.errors import Fault, RecordsError
from gypsumplank.protocol.record import Record
from gypsumplank.protocol.spec import decode_spec
from gypsumplank.state.view import View, build_view


def find_faults(records: Iterable[Record]) -> tuple[Fault, ...]:
    """Return all faults of records that would be in force together."""
    held = tuple(records)
    alone = tuple(fault for record in held for fault in _faults_alone(record))
    view = build_view(0, held)
    return (*alone, *_unknown_pools(view), *_large_budgets(view))


def check_records(_before: View, after: View) -> None:
    """Raise RecordsError where the records after a change are at fault."""
    faults = find_faults(after.records.values())
    if faults:
        raise RecordsError(faults)


def _faults_alone(record: Record) -> Iterator[Fault]:
    try:
        decode_spec(record)
    except RecordsError as exc:
        yield from exc.faults


def _unknown_pools(view: View) -> Iterator[Fault]:
    specs: tuple[tuple[str, Mapping[str, object]], ...] = (
        ("service", view.services),
        ("host", view.hosts),
    )
    for kind, named in specs:
        for name, spec in named.items():
            pool = getattr(spec, "pool", "")
            if pool not in view.pools:
                yield Fault("pool-unknown", "spec.pool", f"no pool {pool!r}", f"{kind}/{name}")


def _large_budgets(view: View) -> Iterator[Fault]:
    for name, pool in view.pools.items():
        promised, held = pool.budget.min_in_service, len(view.hosts_of(name))
        if held and promised > held:
            detail = f"promises {promised} of {held} hosts"
            yield Fault("budget-too-large", "spec.budget.min_in_service", detail, f"pool/{name}")
