import pytest

from gypsumplank.coordination import move
from gypsumplank.errors import (
    BudgetError,
    InvariantError,
    RecordMissingError,
    StepStaleError,
)
from gypsumplank.protocol.spec import AssignmentSpec, AssignmentState
from gypsumplank.state.view import build_view
from standins.fleet import pool_records

RECORDS = (*pool_records("a", 3, min_in_service=2), *pool_records("b", 1))
SERVING, DRAINING = AssignmentState.SERVING, AssignmentState.DRAINING
OUT, FAILED = AssignmentState.OUT, AssignmentState.FAILED


def view_of(**states):
    records = [
        move.assignment_record(host.replace("_", "-"), AssignmentSpec("a", state, run=run))
        for host, (state, run) in states.items()
    ]
    return build_view(1, (*RECORDS, *records))


def drain(host="a-0", **more):
    return move.Drain(host, "operator", 5.0, **more)


@pytest.mark.parametrize(
    ("state", "order", "error"),
    [
        ((SERVING, ""), drain(), None),
        ((FAILED, ""), drain(), None),
        ((OUT, ""), drain(target_pool="b"), None),
        ((OUT, "w#1"), drain(target_pool="b"), StepStaleError),
        ((DRAINING, ""), drain(), StepStaleError),
        ((SERVING, ""), drain("none"), RecordMissingError),
        ((SERVING, ""), drain(target_pool="none"), RecordMissingError),
    ],
)
def test_drain_table(state, order, error):
    view = view_of(a_0=state)
    if error:
        with pytest.raises(error):
            move.begin_drain(view, order, 9.0)
        return
    found = move.begin_drain(view, order, 9.0)
    assert (found.state, found.pool, found.since, found.epoch) == (DRAINING, "a", 9.0, 2)


def test_budget_blocks_a_drain_but_for_its_override():
    view = view_of(a_1=(OUT, ""))
    with pytest.raises(BudgetError):
        move.begin_drain(view, drain(), 0.0)
    assert move.begin_drain(view, drain(override=True), 0.0).override


def test_move_flips_the_pool_in_one_step():
    was = move.begin_drain(view_of(), drain(target_pool="b"), 0.0)
    done = move.finish_drain(was, 1.0)
    assert (done.pool, done.state, done.target_pool, done.epoch) == ("b", SERVING, "", 2)


def test_undone_move_stays_in_its_pool():
    was = move.begin_drain(view_of(), drain(target_pool="b", override=True), 0.0)
    done = move.return_to_service(was, 1.0)
    assert (done.pool, done.state, done.target_pool, done.override) == ("a", SERVING, "", False)


@pytest.mark.parametrize(
    ("step", "state", "error"),
    [
        (move.finish_drain, SERVING, InvariantError),
        (move.finish_drain, OUT, InvariantError),
        (move.finish_maintenance, DRAINING, InvariantError),
        (move.finish_maintenance, OUT, InvariantError),
        (move.return_to_service, SERVING, StepStaleError),
        (move.fail, DRAINING, StepStaleError),
    ],
)
def test_step_out_of_order_is_refused(step, state, error):
    with pytest.raises(error):
        step(AssignmentSpec("a", state), 0.0)


def test_drain_log_keeps_the_first_sight_of_each_drain():
    log = move.DrainLog()
    log.observe(view_of(a_0=(DRAINING, "")), 5.0)
    log.observe(view_of(a_0=(DRAINING, "")), 9.0)
    assert log.find("a-0") == move.Progress(1, 1, 5.0)
    log.observe(view_of(), 10.0)
    assert log.find("a-0") is None
