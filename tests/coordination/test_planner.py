import pytest

from gypsumplank.coordination import assignment
from gypsumplank.coordination.planner import Planner, demand_quantile, shortage_delay_s
from gypsumplank.protocol.spec import AssignmentSpec, AssignmentState, PolicySpec
from gypsumplank.state.clock import ManualClock
from gypsumplank.state.view import build_view
from standins.fleet import Fleet, pool_records, record

BUDGET = {"min_in_service": 3}


class PlannerScenario:
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
        self.failed_hosts = set()
        self.planner = Planner(
            lambda: self.view, lambda: self.demand, lambda: self.failed_hosts, self.clock
        )

    def run(self, seconds, **demand):
        self.demand = demand
        for _ in range(int(seconds / 5)):
            self.clock.advance(5.0)
            self.planner.tick()
        return self.planner.plan

    def pool(self, name):
        return next(pool_plan for pool_plan in self.planner.plan.pools if pool_plan.pool == name)


def test_shortage_is_filled_from_the_spare_pool_first():
    plan = PlannerScenario().run(120, a=50.0)
    assert [(found.source, found.target) for found in plan.moves] == [("s", "a"), ("s", "a")]
    assert len({found.host for found in plan.moves}) == 2


def test_busy_spare_pool_donates_no_host():
    plan = PlannerScenario().run(120, a=50.0, s=48.0)
    assert {found.source for found in plan.moves} == {"b"}


def test_short_burst_plans_no_move():
    scenario = PlannerScenario()
    scenario.run(600, a=10.0)
    plan = scenario.run(10, a=50.0)
    assert plan.moves == ()


def test_shortage_must_last_for_the_delay():
    scenario = PlannerScenario(policy={"moves": 9.0, "roll_out": 1.0})
    scenario.run(120)
    plan = scenario.run(45, a=50.0)
    assert plan.moves == ()
    assert plan.notes == ("a lacks 2 for 15 of 27 s",)
    assert scenario.run(30, a=50.0).moves != ()


def test_no_pool_donates_below_its_budget_or_need():
    plan = PlannerScenario().run(300, a=47.0, b=40.0, s=40.0)
    assert plan.moves == ()
    assert "no pool can give a host" in plan.notes[0]


def test_failures_count_as_need():
    scenario = PlannerScenario()
    scenario.run(300)
    initial_need = scenario.pool("a").need
    scenario.failed_hosts = {"a-0", "a-1"}
    scenario.run(300)
    assert (scenario.pool("a").for_failures, scenario.pool("a").need) == (
        2,
        initial_need + 2,
    )


def test_moves_in_progress_are_not_planned_again():
    states = [
        AssignmentSpec("s", AssignmentState.DRAINING, target_pool="a"),
        AssignmentSpec("s", AssignmentState.DRAINING, target_pool="a"),
    ]
    records = [assignment.assignment_record(f"s-{i}", state) for i, state in enumerate(states)]
    assert PlannerScenario(*records).run(120, a=50.0).moves == ()


def test_surplus_host_returns_to_the_spare_pool_after_the_delay():
    moved = assignment.assignment_record("s-0", AssignmentSpec("a", epoch=2))
    scenario = PlannerScenario(moved)
    assert scenario.run(200).moves == ()
    (return_move,) = scenario.run(200).moves
    assert (return_move.host, return_move.source, return_move.target) == ("s-0", "a", "s")


@pytest.mark.parametrize(
    ("policy", "quantile", "delay_s"),
    [
        (PolicySpec(), 0.8495, 15.0),
        (PolicySpec(flood_protection=3, roll_out=3), 0.92425, 7.5),
        (PolicySpec(buffer=3, moves=3), 0.77475, 22.5),
        (PolicySpec(0.0, 0.0, 0.0, 0.0), 0.8495, 15.0),
    ],
)
def test_policy_weighs_protection_against_buffer_and_moves(policy, quantile, delay_s):
    assert demand_quantile(policy) == pytest.approx(quantile)
    assert shortage_delay_s(policy) == pytest.approx(delay_s)


def test_controller_begins_planned_moves_of_its_own_pools():
    scenario = PlannerScenario()
    plan = scenario.run(120, a=50.0)
    fleet = Fleet(scenario.records)
    fleet.run(3)
    for node in fleet.nodes:
        node.controller.start_planned_moves(plan)
    fleet.run(5)
    assert {fleet.view.assignment(found.host).pool for found in plan.moves} == {"a"}
    assert all(fleet.view.assignment(found.host).epoch == 2 for found in plan.moves)
