import pytest

from gypsumplank.coordination import assignment
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
        assignment.assignment_record(host.replace("_", "-"), AssignmentSpec("a", state, run=run))
        for host, (state, run) in states.items()
    ]
    return build_view(1, (*RECORDS, *records))


def drain_request(host="a-0", **fields):
    return assignment.DrainRequest(host, "operator", 5.0, **fields)


@pytest.mark.parametrize(
    ("state", "drain", "error"),
    [
        ((SERVING, ""), drain_request(), None),
        ((FAILED, ""), drain_request(), None),
        ((OUT, ""), drain_request(target_pool="b"), None),
        ((OUT, "w#1"), drain_request(target_pool="b"), StepStaleError),
        ((DRAINING, ""), drain_request(), StepStaleError),
        ((SERVING, ""), drain_request("none"), RecordMissingError),
        ((SERVING, ""), drain_request(target_pool="none"), RecordMissingError),
    ],
)
def test_begin_drain_by_state(state, drain, error):
    view = view_of(a_0=state)
    if error:
        with pytest.raises(error):
            assignment.begin_drain(view, drain, 9.0)
        return
    found = assignment.begin_drain(view, drain, 9.0)
    assert (found.state, found.pool, found.since, found.epoch) == (DRAINING, "a", 9.0, 2)


def test_budget_blocks_a_drain_unless_overridden():
    view = view_of(a_1=(OUT, ""))
    with pytest.raises(BudgetError):
        assignment.begin_drain(view, drain_request(), 0.0)
    assert assignment.begin_drain(view, drain_request(override=True), 0.0).override


def test_finished_move_changes_the_pool_in_one_transition():
    draining = assignment.begin_drain(view_of(), drain_request(target_pool="b"), 0.0)
    done = assignment.finish_drain(draining, 1.0)
    assert (done.pool, done.state, done.target_pool, done.epoch) == ("b", SERVING, "", 2)


def test_undone_move_keeps_its_pool():
    draining = assignment.begin_drain(view_of(), drain_request(target_pool="b", override=True), 0.0)
    done = assignment.return_to_service(draining, 1.0)
    assert (done.pool, done.state, done.target_pool, done.override) == ("a", SERVING, "", False)


@pytest.mark.parametrize(
    ("transition", "state", "error"),
    [
        (assignment.finish_drain, SERVING, InvariantError),
        (assignment.finish_drain, OUT, InvariantError),
        (assignment.finish_maintenance, DRAINING, InvariantError),
        (assignment.finish_maintenance, OUT, InvariantError),
        (assignment.return_to_service, SERVING, StepStaleError),
        (assignment.mark_failed, DRAINING, StepStaleError),
    ],
)
def test_invalid_transition_is_refused(transition, state, error):
    with pytest.raises(error):
        transition(AssignmentSpec("a", state), 0.0)


def test_drain_tracker_keeps_the_first_observation_of_each_drain():
    tracker = assignment.DrainTracker()
    tracker.observe(view_of(a_0=(DRAINING, "")), 5.0)
    tracker.observe(view_of(a_0=(DRAINING, "")), 9.0)
    assert tracker.find("a-0") == assignment.ObservedDrain(1, 1, 5.0)
    tracker.observe(view_of(), 10.0)
    assert tracker.find("a-0") is None
