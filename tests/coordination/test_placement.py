import pytest

from gypsumplank.coordination.placement import (
    Candidate,
    HostCapacity,
    Placer,
    RunningAttempt,
    impossible_reason,
    team_quota,
)
from gypsumplank.protocol.spec import TeamSpec
from gypsumplank.protocol.task import PreemptionMethod, Task, TaskDefinition, TaskResources


def capacity(name, cores=8.0, zone="z1", rack="r1", accelerators=0):
    return HostCapacity(name, zone, rack, TaskResources(cores, 32.0, accelerators))


def task(
    name, cores=2.0, team="a", urgency=3, at=0.0, yields=tuple(PreemptionMethod), accelerators=0
):
    order = TaskDefinition(
        "s", team, TaskResources(cores, 1.0, accelerators), 60.0, urgency, yields
    )
    return Task(name, "p", order, at)


def cand(*args, **kwargs):
    new_task = task(*args, **kwargs)
    return Candidate(new_task, new_task.order.size)


def running(*args, throttled=False, stopping=False, **kwargs):
    new_task = task(*args, **kwargs)
    return RunningAttempt(new_task, new_task.order.size, throttled, stopping)


def hosts_by_task(plan):
    return {found.task.id: host for found, host in plan.starts}


def test_spreads_a_team_over_zones_then_racks():
    capacities = [
        capacity("h1", zone="z1", rack="a"),
        capacity("h2", zone="z1", rack="b"),
    ]
    capacities += [capacity("h3", zone="z2", rack="c")]
    plan = Placer(capacities, {}, {}).plan([cand("t1"), cand("t2"), cand("t3", at=1.0)])
    assert set(hosts_by_task(plan).values()) == {"h1", "h2", "h3"}


def test_placement_never_exceeds_the_capacity_of_a_host():
    plan = Placer([capacity("h1", 5.0)], {}, {}).plan([cand(f"t{i}") for i in range(5)])
    assert len(plan.starts) == 2


def test_accelerators_are_kept_for_tasks_that_need_them():
    capacities = [capacity("plain"), capacity("fast", accelerators=2)]
    plan = Placer(capacities, {}, {}).plan([cand("t1"), cand("t2", accelerators=1)])
    assert hosts_by_task(plan) == {"t1": "plain", "t2": "fast"}


def test_team_shares_are_fair_whatever_the_queue_order():
    earlier = [cand(f"a{i}", team="a", at=0.0) for i in range(20)]
    later = [cand(f"b{i}", team="b", at=9.0) for i in range(4)]
    plan = Placer([capacity("h1", 16.0)], {}, {}).plan([*earlier, *later])
    teams = [found.task.order.team for found, _ in plan.starts]
    assert teams.count("b") == 4
    assert teams.count("a") == 4


def test_quota_limits_a_team_even_for_urgent_tasks():
    quotas = {"a": team_quota(TeamSpec(cores=4))}
    waiting = [cand(f"t{i}", urgency=0) for i in range(4)]
    plan = Placer([capacity("h1", 64.0)], {}, quotas).plan(waiting)
    assert len(plan.starts) == 2
    assert plan.evictions == ()


@pytest.mark.parametrize(
    ("yields", "action"),
    [
        (tuple(PreemptionMethod), PreemptionMethod.THROTTLE),
        ((PreemptionMethod.CHECKPOINT, PreemptionMethod.STOP), PreemptionMethod.CHECKPOINT),
        ((PreemptionMethod.STOP,), PreemptionMethod.STOP),
    ],
)
def test_urgent_task_causes_the_least_disruptive_eviction(yields, action):
    attempts = {"h1": [running("low", 8.0, urgency=7, yields=yields)]}
    plan = Placer([capacity("h1")], attempts, {}).plan([cand("now", urgency=0)])
    assert plan.starts == ()
    assert [(eviction.task.id, eviction.action) for eviction in plan.evictions] == [("low", action)]


def test_tasks_without_yields_or_of_equal_urgency_are_not_evicted():
    attempts = {"h1": [running("firm", 4.0, urgency=7, yields=()), running("same", 4.0, urgency=0)]}
    plan = Placer([capacity("h1")], attempts, {}).plan([cand("now", urgency=0)])
    assert (plan.starts, plan.evictions) == ((), ())


def test_no_second_eviction_while_one_is_in_progress():
    attempts = {
        "h1": [running("going", 4.0, urgency=7, stopping=True), running("x", 4.0, urgency=7)]
    }
    plan = Placer([capacity("h1")], attempts, {}).plan([cand("now", urgency=0)])
    assert plan.evictions == ()


def test_impossible_reason_names_the_limit():
    capacities = [capacity("h1"), capacity("h2", 16.0)]
    assert impossible_reason(TaskResources(16.0, 1.0), capacities, None) == ""
    assert "16 cores" in impossible_reason(TaskResources(17.0, 1.0), capacities, None)
    quota = team_quota(TeamSpec(cores=4))
    assert "quota" in impossible_reason(TaskResources(5.0, 1.0), capacities, quota)
