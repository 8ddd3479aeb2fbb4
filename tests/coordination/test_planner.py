import pytest

from gypsumplank.coordination import move
from gypsumplank.coordination.planner import Planner, hold_s, quantile_of
from gypsumplank.protocol.spec import AssignmentSpec, AssignmentState, PolicySpec
from gypsumplank.state.clock import ManualClock
from gypsumplank.state.view import build_view
from standins.fleet import Fleet, pool_records, record

BUDGET = {"min_in_service": 3}


class Site:
    def __init__(self, *records, policy=None):
        spare = pool_records("s", 6, **BUDGET)
        spare = (record("pool", "s", budget=BUDGET, spare=True), *spare[1:])
        self.records = (
            *pool_records("a", 6, **BUDGET),
            *pool_records("b", 6, **BUDGET),
            *spare,
            record("policy", "default", **(policy or {})),
        )
        self.clock = ManualClock(100.0)
        self.view = build_view(1, (*self.records, *records))
        self.demand = {}
        self.dead = set()
        self.planner = Planner(
            lambda: self.view, lambda: self.demand, lambda: self.dead, self.clock
        )

    def run(self, seconds, **demand):
        self.demand = demand
        for _ in range(int(seconds / 5)):
            self.clock.advance(5.0)
            self.planner.tick()
        return self.planner.plan

    def pool(self, name):
        return next(held for held in self.planner.plan.pools if held.pool == name)


def test_lack_is_filled_from_the_spare_pool_first():
    plan = Site().run(120, a=50.0)
    assert [(found.source, found.target) for found in plan.moves] == [("s", "a"), ("s", "a")]
    assert len({found.host for found in plan.moves}) == 2


def test_spare_pool_that_is_busy_gives_nothing():
    plan = Site().run(120, a=50.0, s=48.0)
    assert {found.source for found in plan.moves} == {"b"}


def test_short_burst_moves_nothing():
    site = Site()
    site.run(600, a=10.0)
    plan = site.run(10, a=50.0)
    assert plan.moves == ()


def test_lack_must_last():
    site = Site(policy={"moves": 9.0, "roll_out": 1.0})
    site.run(120)
    plan = site.run(45, a=50.0)
    assert plan.moves == ()
    assert plan.notes == ("a lacks 2 for 15 of 27 s",)
    assert site.run(30, a=50.0).moves != ()


def test_no_pool_gives_below_its_budget_or_need():
    plan = Site().run(300, a=47.0, b=40.0, s=40.0)
    assert plan.moves == ()
    assert "no pool can give a host" in plan.notes[0]


def test_failures_count_as_need():
    site = Site()
    site.run(300)
    calm = site.pool("a").need
    site.dead = {"a-0", "a-1"}
    site.run(300)
    assert (site.pool("a").for_failures, site.pool("a").need) == (2, calm + 2)


def test_moves_under_way_are_not_planned_again():
    states = [
        AssignmentSpec("s", AssignmentState.DRAINING, target_pool="a"),
        AssignmentSpec("s", AssignmentState.DRAINING, target_pool="a"),
    ]
    records = [move.assignment_record(f"s-{i}", state) for i, state in enumerate(states)]
    assert Site(*records).run(120, a=50.0).moves == ()


def test_idle_host_returns_to_the_spare_pool_after_long():
    moved = move.assignment_record("s-0", AssignmentSpec("a", epoch=2))
    site = Site(moved)
    assert site.run(200).moves == ()
    (back,) = site.run(200).moves
    assert (back.host, back.source, back.target) == ("s-0", "a", "s")


@pytest.mark.parametrize(
    ("policy", "quantile", "hold"),
    [
        (PolicySpec(), 0.8495, 15.0),
        (PolicySpec(flood_protection=3, roll_out=3), 0.92425, 7.5),
        (PolicySpec(buffer=3, moves=3), 0.77475, 22.5),
        (PolicySpec(0.0, 0.0, 0.0, 0.0), 0.8495, 15.0),
    ],
)
def test_policy_weighs_protection_against_buffer_and_moves(policy, quantile, hold):
    assert quantile_of(policy) == pytest.approx(quantile)
    assert hold_s(policy) == pytest.approx(hold)


def test_controller_begins_planned_moves_of_its_own_pools():
    site = Site()
    plan = site.run(120, a=50.0)
    fleet = Fleet(site.records)
    fleet.run(3)
    for node in fleet.nodes:
        node.controller.begin_moves(plan)
    fleet.run(5)
    assert {fleet.view.assignment(found.host).pool for found in plan.moves} == {"a"}
    assert all(fleet.view.assignment(found.host).epoch == 2 for found in plan.moves)
