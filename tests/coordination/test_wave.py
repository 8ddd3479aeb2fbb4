import pytest

from gypsumplank.coordination import assignment
from gypsumplank.coordination.signals import HostSignals
from gypsumplank.coordination.wave import forecast_s, ordered_hosts, wait_reason, wave_progress
from gypsumplank.protocol.spec import AssignmentSpec, AssignmentState, WaveSpec
from gypsumplank.state.view import build_view
from gypsumplank.state.wave import RunState, WaveRun
from standins.fleet import pool_records

RUN = WaveRun("w", 1, RunState.RUNNING, 100.0)
OUT, FAILED = AssignmentState.OUT, AssignmentState.FAILED
SERVING = AssignmentState.SERVING


def view_of(hosts=6, assigned=None, **budget):
    records = [*pool_records("a", hosts, **budget), *pool_records("b", 3)]
    assigned = assigned or {}
    records += [assignment.assignment_record(host, spec) for host, spec in assigned.items()]
    return build_view(1, records)


def out(pool="a", run=RUN.id):
    return AssignmentSpec(pool, OUT, run=run)


def signals(floods=(), suspects=()):
    return HostSignals(None, lambda: frozenset(suspects), lambda pool: pool in floods)


def test_hosts_are_ordered_zone_by_zone():
    spec = WaveSpec(pools=("a",), hosts=("b-0", "gone"))
    found = ordered_hosts(view_of(), spec)
    assert found == ("a-0", "a-3", "a-1", "a-4", "a-2", "a-5", "b-0")


@pytest.mark.parametrize(
    ("spec", "assigned", "budget", "host", "wait"),
    [
        ({}, {}, {}, "a-1", ""),
        ({"parallelism": 1}, {"b-0": out("b")}, {}, "a-1", "1 out at once, 1 allowed"),
        ({"parallelism": 2}, {"a-0": out()}, {}, "a-3", ""),
        ({"parallelism": 2}, {"a-0": out()}, {}, "a-1", "hosts in za are out"),
        ({"parallelism": 2, "cross_domains": True}, {"a-0": out()}, {}, "a-1", ""),
        (
            {"parallelism": 2},
            {"a-0": out()},
            {"min_in_service": 5},
            "a-3",
            "5 of 6 in service, 5 promised",
        ),
        ({"parallelism": 2, "override": True}, {"a-0": out()}, {"min_in_service": 5}, "a-3", ""),
        (
            {"parallelism": 2},
            {"a-0": out(run="")},
            {"max_out_per_zone": 1},
            "a-3",
            "1 out in zone za, 1 allowed: a-0",
        ),
    ],
)
def test_wait_reason(spec, assigned, budget, host, wait):
    wave = WaveSpec(pools=("a", "b"), **{"parallelism": 4, **spec})
    assert wait_reason(view_of(assigned=assigned, **budget), wave, RUN, host, signals()) == wait


def test_flooded_pool_waits_unless_overridden():
    for override, wait in ((False, "the pool is in flood"), (True, "")):
        spec = WaveSpec(pools=("a",), override=override)
        assert wait_reason(view_of(), spec, RUN, "a-0", signals(["a"])) == wait


def test_suspect_hosts_count_against_the_budget():
    spec, view = WaveSpec(pools=("a",)), view_of(min_in_service=4)
    assert wait_reason(view, spec, RUN, "a-0", signals(suspects=["a-5"])) == ""
    wait = wait_reason(view, spec, RUN, "a-0", signals(suspects=["a-4", "a-5"]))
    assert wait == "4 of 6 in service, 4 promised"
    assert wait_reason(view, spec, RUN, "a-5", signals(suspects=["a-4", "a-5"])) == ""


def test_progress_lists_done_out_failed_and_waits():
    assigned = {
        "a-0": AssignmentSpec("a", maintained=RUN.id),
        "a-3": out(),
        "a-1": AssignmentSpec("a", FAILED, since=150.0),
        "a-4": AssignmentSpec("a", FAILED, since=50.0),
    }
    spec = WaveSpec(pools=("a",), parallelism=4)
    found = wave_progress(view_of(assigned=assigned), spec, RUN, signals())
    assert (found.total, found.done, found.out) == (6, ("a-0",), ("a-3",))
    assert found.failed == ("a-1",)
    assert found.ready == ()
    assert found.waits == {"a": "a-1: is failed already"}


@pytest.mark.parametrize(
    ("spec", "budget", "rounds"),
    [
        ({"parallelism": 1}, {"min_in_service": 3}, 6),
        ({"parallelism": 9}, {"min_in_service": 3}, 3),
        ({"parallelism": 9}, {"min_in_service": 5}, 6),
        ({"parallelism": 9}, {"min_in_service": 3, "max_out_per_rack": 1}, 6),
        ({"parallelism": 9}, {"min_in_service": 3, "max_out_per_zone": 1}, 6),
        ({"parallelism": 9, "cross_domains": True}, {"min_in_service": 3}, 2),
        ({"parallelism": 9, "cross_domains": True}, {"max_out_per_rack": 1}, 2),
    ],
)
def test_forecast_counts_rounds(spec, budget, rounds):
    view = view_of(**budget)
    wave = WaveSpec(pools=("a",), grace_s=10.0, maintenance_s=20.0, **spec)
    assert forecast_s(view, wave, wave_progress(view, wave, RUN, signals())) == rounds * 30.0
