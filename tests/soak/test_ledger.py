import pytest

from soak.ledger import Told, check_all, check_revisions
from standins.workers import Run


def told(name="a", method="POST", outcome="finished", got=b"x", key=""):
    return Told(name, method, key, b"x", 200, outcome, got, "entry-0")


def run(name="a", key=""):
    return Run(name, key, "POST", "/", True)


@pytest.mark.parametrize(
    ("held", "runs", "promises"),
    [
        (told(), [run()], []),
        (told(got=b"y"), [run()], ["whole and own answer"]),
        (told(got=b""), [run()], ["whole and own answer"]),
        (told(outcome="not-run", got=b"{}"), [run()], ["told not run"]),
        (told(outcome="not-run", got=b"{}"), [], []),
        (told(outcome="unknown", got=b"{}"), [run()], []),
        (told(), [run(), run()], ["at most once"]),
        (told(method="PUT"), [run(), run()], []),
        (told(outcome="", got=b""), [run(), run()], ["at most once"]),
        (told(key="k"), [run("a", "k"), run("b", "k")], ["at most once"]),
    ],
)
def test_breach_is_found(held, runs, promises):
    assert [found.promise for found in check_all([held], runs, [])] == promises


def test_revision_that_goes_back_within_a_boot():
    assert list(check_revisions([("a#0", 2), ("a#0", 2), ("a#1", 1), ("b#0", 1)])) == []
    (found,) = check_revisions([("a#0", 2), ("a#0", 1)])
    assert found.promise == "never reverts"
