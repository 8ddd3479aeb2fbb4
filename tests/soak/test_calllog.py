import pytest

from soak.calllog import CallRecord, check_all, check_revisions
from standins.workers import ExecutedRequest


def make_call(name="a", method="POST", outcome="finished", response_body=b"x", key=""):
    return CallRecord(name, method, key, b"x", 200, outcome, response_body, "entry-0")


def make_executed(name="a", key=""):
    return ExecutedRequest(name, key, "POST", "/", True)


@pytest.mark.parametrize(
    ("call", "executed", "guarantees"),
    [
        (make_call(), [make_executed()], []),
        (make_call(response_body=b"y"), [make_executed()], ["whole and own answer"]),
        (make_call(response_body=b""), [make_executed()], ["whole and own answer"]),
        (make_call(outcome="not-run", response_body=b"{}"), [make_executed()], ["told not run"]),
        (make_call(outcome="not-run", response_body=b"{}"), [], []),
        (make_call(outcome="unknown", response_body=b"{}"), [make_executed()], []),
        (make_call(), [make_executed(), make_executed()], ["at most once"]),
        (make_call(method="PUT"), [make_executed(), make_executed()], []),
        (
            make_call(outcome="", response_body=b""),
            [make_executed(), make_executed()],
            ["at most once"],
        ),
        (make_call(key="k"), [make_executed("a", "k"), make_executed("b", "k")], ["at most once"]),
    ],
)
def test_breach_is_reported(call, executed, guarantees):
    assert [breach.guarantee for breach in check_all([call], executed, [])] == guarantees


def test_revision_decrease_within_a_boot_is_reported():
    assert list(check_revisions([("a#0", 2), ("a#0", 2), ("a#1", 1), ("b#0", 1)])) == []
    (breach,) = check_revisions([("a#0", 2), ("a#0", 1)])
    assert breach.guarantee == "never reverts"
