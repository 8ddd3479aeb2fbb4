from dataclasses import replace

import pytest

from gypsumplank.coordination import assignment
from gypsumplank.coordination.budget import (
    check_assignments,
    check_budgets,
    drain_blocked_reason,
    pool_availability,
)
from gypsumplank.errors import AssignmentError, BudgetError, InvariantError
from gypsumplank.protocol.spec import AssignmentSpec, AssignmentState
from gypsumplank.state.config import ChangeEntry, apply_entries
from gypsumplank.state.view import build_view
from standins.fleet import host_record, pool_records, record

HOST = host_record("a", 0)


def view_of(out=(), hosts=6, state=AssignmentState.OUT, override=False, **budget):
    records = [*pool_records("a", hosts, **budget), *pool_records("b", 2)]
    records += [
        assignment.assignment_record(f"a-{i}", AssignmentSpec("a", state, override=override))
        for i in out
    ]
    return build_view(1, records)


def changed(view, *puts, deletes=()):
    return apply_entries(view, (ChangeEntry(2, "op", "", 0.0, puts, deletes),))


def with_draining(view, *numbers, **fields):
    puts = [
        assignment.assignment_record(
            f"a-{i}", AssignmentSpec("a", AssignmentState.DRAINING, epoch=1, **fields)
        )
        for i in numbers
    ]
    return changed(view, *puts)


@pytest.mark.parametrize(
    ("budget", "out", "allowed"),
    [
        ({"min_in_service": 4}, (), 2),
        ({"min_in_service": 4}, (0,), 1),
        ({"min_in_service": 4}, (0, 1, 2), 0),
        ({"min_share": 0.5}, (), 3),
        ({"min_share": 0.51}, (), 2),
        ({"min_share": 0.5, "min_in_service": 5}, (), 1),
        ({}, (), 6),
    ],
)
def test_larger_of_count_and_share_applies(budget, out, allowed):
    assert pool_availability(view_of(out, **budget), "a").disruptions_allowed == allowed


@pytest.mark.parametrize(
    ("budget", "out", "host", "blocked"),
    [
        ({"min_in_service": 4}, (0,), 1, ""),
        ({"min_in_service": 4}, (0, 1), 2, "4 of 6 in service, 4 promised"),
        ({"max_out_per_zone": 1}, (0,), 3, "1 out in zone za, 1 allowed: a-0"),
        ({"max_out_per_zone": 1}, (0,), 1, ""),
        ({"max_out_per_rack": 1}, (0,), 3, "1 out in rack za-0, 1 allowed: a-0"),
        ({"max_out_per_rack": 0}, (), 0, "0 out in rack za-0, 0 allowed: "),
    ],
)
def test_blocked_reason_is_returned(budget, out, host, blocked):
    assert drain_blocked_reason(view_of(out, **budget), f"a-{host}") == blocked


@pytest.mark.parametrize(
    ("budget", "out", "drained", "refused"),
    [
        ({"min_in_service": 4}, (), (0, 1), False),
        ({"min_in_service": 4}, (), (0, 1, 2), True),
        ({"min_in_service": 4}, (0, 1), (2,), True),
        ({"min_in_service": 4}, (0, 1, 2), (3,), True),
        ({"max_out_per_zone": 1}, (), (0, 3), True),
        ({"max_out_per_zone": 1}, (), (0, 1), False),
        ({"max_out_per_rack": 1}, (0,), (3,), True),
    ],
)
def test_change_below_budget_is_refused(budget, out, drained, refused):
    before = view_of(out, **budget)
    if refused:
        with pytest.raises(BudgetError):
            check_budgets(before, with_draining(before, *drained))
    else:
        check_budgets(before, with_draining(before, *drained))


def test_pool_below_budget_may_improve_but_not_worsen():
    before = view_of((0, 1, 2, 3), min_in_service=4)
    improved = changed(before, assignment.assignment_record("a-0", AssignmentSpec("a", epoch=2)))
    check_budgets(before, improved)
    with pytest.raises(BudgetError):
        check_budgets(before, with_draining(before, 4))


def test_override_applies_only_to_its_own_hosts():
    before = view_of((0, 1), min_in_service=4)
    check_budgets(before, with_draining(before, 2, override=True))
    below = view_of((0, 1, 2), min_in_service=4, override=True)
    with pytest.raises(BudgetError):
        check_budgets(below, with_draining(below, 3))


def test_failure_counts_against_the_floor_but_not_the_domain_limits():
    failed = {"state": AssignmentState.FAILED, "epoch": 1}
    before = view_of((0,), min_in_service=4, max_out_per_rack=1)
    failure = assignment.assignment_record("a-3", AssignmentSpec("a", **failed))
    check_budgets(before, changed(before, failure))
    before = view_of((0, 1), min_in_service=4)
    with pytest.raises(BudgetError):
        check_budgets(before, changed(before, failure))


@pytest.mark.parametrize("deleted", [(0, 1, 2), (0, 1, 2, 3, 4, 5)])
def test_deleting_serving_hosts_counts_against_the_budget(deleted):
    before = view_of(min_in_service=4)
    without_hosts = changed(before, deletes=tuple(f"host/a-{i}" for i in deleted))
    with pytest.raises(BudgetError):
        check_budgets(before, without_hosts)


def test_deleting_drained_host_is_allowed():
    before = view_of((0, 1), min_in_service=4)
    check_budgets(before, changed(before, deletes=("host/a-0",)))


def test_budget_above_the_hosts_in_service_is_refused():
    before = view_of((0, 1), min_in_service=4)
    with pytest.raises(BudgetError):
        check_budgets(before, changed(before, record("pool", "a", budget={"min_in_service": 5})))


def test_host_changes_its_pool_only_after_a_drain():
    before = view_of()
    reassigned = changed(before, assignment.assignment_record("a-0", AssignmentSpec("b", epoch=1)))
    with pytest.raises(AssignmentError):
        check_assignments(before, reassigned)
    with pytest.raises(AssignmentError):
        check_assignments(before, changed(before, replace(HOST, spec={**HOST.spec, "pool": "b"})))
    draining = with_draining(before, 0, target_pool="b")
    check_assignments(before, draining)
    done = changed(draining, assignment.assignment_record("a-0", AssignmentSpec("b", epoch=2)))
    check_assignments(draining, done)
    assert "a-0" in done.serving_hosts("b")


def test_assignment_epoch_increases_by_one():
    before = view_of((0,))
    skipped = changed(before, assignment.assignment_record("a-0", AssignmentSpec("a", epoch=3)))
    with pytest.raises(InvariantError):
        check_assignments(before, skipped)
    with pytest.raises(InvariantError):
        check_assignments(before, changed(before, deletes=("assignment/a-0",)))


def test_pool_with_assigned_hosts_cannot_be_deleted():
    before = view_of()
    moved = with_draining(before, 0, target_pool="b")
    done = changed(moved, assignment.assignment_record("a-0", AssignmentSpec("b", epoch=2)))
    with pytest.raises(AssignmentError):
        check_assignments(done, changed(done, deletes=("pool/b",)))
