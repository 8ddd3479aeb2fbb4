from dataclasses import replace

import pytest

from gypsumplank.coordination import move
from gypsumplank.coordination.budget import (
    check_assignments,
    check_budgets,
    find_blocker,
    standing_of,
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
        move.assignment_record(f"a-{i}", AssignmentSpec("a", state, override=override)) for i in out
    ]
    return build_view(1, records)


def after(view, *puts, deletes=()):
    return apply_entries(view, (ChangeEntry(2, "op", "", 0.0, puts, deletes),))


def taken_out(view, *numbers, **more):
    puts = [
        move.assignment_record(
            f"a-{i}", AssignmentSpec("a", AssignmentState.DRAINING, epoch=1, **more)
        )
        for i in numbers
    ]
    return after(view, *puts)


@pytest.mark.parametrize(
    ("budget", "out", "room"),
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
def test_larger_of_count_and_share_holds(budget, out, room):
    assert standing_of(view_of(out, **budget), "a").room == room


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
def test_blocker_is_named(budget, out, host, blocked):
    assert find_blocker(view_of(out, **budget), f"a-{host}") == blocked


@pytest.mark.parametrize(
    ("budget", "out", "goes", "refused"),
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
def test_change_under_budget_is_refused(budget, out, goes, refused):
    before = view_of(out, **budget)
    if refused:
        with pytest.raises(BudgetError):
            check_budgets(before, taken_out(before, *goes))
    else:
        check_budgets(before, taken_out(before, *goes))


def test_pool_under_budget_may_get_better_but_not_worse():
    before = view_of((0, 1, 2, 3), min_in_service=4)
    better = after(before, move.assignment_record("a-0", AssignmentSpec("a", epoch=2)))
    check_budgets(before, better)
    with pytest.raises(BudgetError):
        check_budgets(before, taken_out(before, 4))


def test_override_lets_just_its_own_hosts_go():
    before = view_of((0, 1), min_in_service=4)
    check_budgets(before, taken_out(before, 2, override=True))
    under = view_of((0, 1, 2), min_in_service=4, override=True)
    with pytest.raises(BudgetError):
        check_budgets(under, taken_out(under, 3))


def test_failure_counts_against_the_floor_but_no_domain_holds_it_back():
    failed = {"state": AssignmentState.FAILED, "epoch": 1}
    before = view_of((0,), min_in_service=4, max_out_per_rack=1)
    dead = move.assignment_record("a-3", AssignmentSpec("a", **failed))
    check_budgets(before, after(before, dead))
    before = view_of((0, 1), min_in_service=4)
    with pytest.raises(BudgetError):
        check_budgets(before, after(before, dead))


@pytest.mark.parametrize("deleted", [(0, 1, 2), (0, 1, 2, 3, 4, 5)])
def test_deleting_serving_hosts_is_counted(deleted):
    before = view_of(min_in_service=4)
    gone = after(before, deletes=tuple(f"host/a-{i}" for i in deleted))
    with pytest.raises(BudgetError):
        check_budgets(before, gone)


def test_deleting_drained_host_is_free():
    before = view_of((0, 1), min_in_service=4)
    check_budgets(before, after(before, deletes=("host/a-0",)))


def test_promising_more_than_serves_is_refused():
    before = view_of((0, 1), min_in_service=4)
    with pytest.raises(BudgetError):
        check_budgets(before, after(before, record("pool", "a", budget={"min_in_service": 5})))


def test_pool_changes_only_after_its_drain():
    before = view_of()
    flipped = after(before, move.assignment_record("a-0", AssignmentSpec("b", epoch=1)))
    with pytest.raises(AssignmentError):
        check_assignments(before, flipped)
    with pytest.raises(AssignmentError):
        check_assignments(before, after(before, replace(HOST, spec={**HOST.spec, "pool": "b"})))
    draining = taken_out(before, 0, target_pool="b")
    check_assignments(before, draining)
    done = after(draining, move.assignment_record("a-0", AssignmentSpec("b", epoch=2)))
    check_assignments(draining, done)
    assert "a-0" in done.serving_hosts("b")


def test_assignment_epoch_rises_by_one():
    before = view_of((0,))
    skipped = after(before, move.assignment_record("a-0", AssignmentSpec("a", epoch=3)))
    with pytest.raises(InvariantError):
        check_assignments(before, skipped)
    with pytest.raises(InvariantError):
        check_assignments(before, after(before, deletes=("assignment/a-0",)))


def test_assigned_pool_may_not_go():
    before = view_of()
    moved = taken_out(before, 0, target_pool="b")
    done = after(moved, move.assignment_record("a-0", AssignmentSpec("b", epoch=2)))
    with pytest.raises(AssignmentError):
        check_assignments(done, after(done, deletes=("pool/b",)))
