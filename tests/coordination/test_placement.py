import pytest

from gypsumplank.coordination.placement import (
    Candidate,
    Placer,
    Room,
    Running,
    impossible_reason,
    quota_of,
)
from gypsumplank.protocol.spec import TeamSpec
from gypsumplank.protocol.task import Size, Task, TaskOrder, Yield


def room(name, cores=8.0, zone="z1", rack="r1", accelerators=0):
    return Room(name, zone, rack, Size(cores, 32.0, accelerators))


def task(name, cores=2.0, team="a", urgency=3, at=0.0, yields=tuple(Yield), accelerators=0):
    order = TaskOrder("s", team, Size(cores, 1.0, accelerators), 60.0, urgency, yields)
    return Task(name, "p", order, at)


def cand(*args, **kwargs):
    made = task(*args, **kwargs)
    return Candidate(made, made.order.size)


def running(*args, throttled=False, leaving=False, **kwargs):
    made = task(*args, **kwargs)
    return Running(made, made.order.size, throttled, leaving)


def names(plan):
    return {found.task.id: host for found, host in plan.starts}


def test_spreads_a_team_over_zones_then_racks():
    rooms = [room("h1", zone="z1", rack="a"), room("h2", zone="z1", rack="b")]
    rooms += [room("h3", zone="z2", rack="c")]
    plan = Placer(rooms, {}, {}).plan([cand("t1"), cand("t2"), cand("t3", at=1.0)])
    assert set(names(plan).values()) == {"h1", "h2", "h3"}


def test_never_more_than_a_host_has():
    plan = Placer([room("h1", 5.0)], {}, {}).plan([cand(f"t{i}") for i in range(5)])
    assert len(plan.starts) == 2


def test_accelerators_are_kept_for_those_that_need_them():
    rooms = [room("plain"), room("fast", accelerators=2)]
    plan = Placer(rooms, {}, {}).plan([cand("t1"), cand("t2", accelerators=1)])
    assert names(plan) == {"t1": "plain", "t2": "fast"}


def test_shares_are_fair_whatever_the_queue_order():
    flood = [cand(f"a{i}", team="a", at=0.0) for i in range(20)]
    late = [cand(f"b{i}", team="b", at=9.0) for i in range(4)]
    plan = Placer([room("h1", 16.0)], {}, {}).plan([*flood, *late])
    teams = [found.task.order.team for found, _ in plan.starts]
    assert teams.count("b") == 4
    assert teams.count("a") == 4


def test_quota_bounds_a_team_even_when_urgent():
    quotas = {"a": quota_of(TeamSpec(cores=4))}
    waiting = [cand(f"t{i}", urgency=0) for i in range(4)]
    plan = Placer([room("h1", 64.0)], {}, quotas).plan(waiting)
    assert len(plan.starts) == 2
    assert plan.evictions == ()


@pytest.mark.parametrize(
    ("yields", "how"),
    [
        (tuple(Yield), Yield.THROTTLE),
        ((Yield.CHECKPOINT, Yield.STOP), Yield.CHECKPOINT),
        ((Yield.STOP,), Yield.STOP),
    ],
)
def test_urgent_work_takes_the_gentlest_way(yields, how):
    held = {"h1": [running("low", 8.0, urgency=7, yields=yields)]}
    plan = Placer([room("h1")], held, {}).plan([cand("now", urgency=0)])
    assert plan.starts == ()
    assert [(one.task.id, one.how) for one in plan.evictions] == [("low", how)]


def test_unyielding_and_equally_urgent_work_stays():
    held = {"h1": [running("firm", 4.0, urgency=7, yields=()), running("same", 4.0, urgency=0)]}
    plan = Placer([room("h1")], held, {}).plan([cand("now", urgency=0)])
    assert (plan.starts, plan.evictions) == ((), ())


def test_no_second_eviction_while_one_is_under_way():
    held = {"h1": [running("going", 4.0, urgency=7, leaving=True), running("x", 4.0, urgency=7)]}
    plan = Placer([room("h1")], held, {}).plan([cand("now", urgency=0)])
    assert plan.evictions == ()


def test_impossible_names_the_reason():
    rooms = [room("h1"), room("h2", 16.0)]
    assert impossible_reason(Size(16.0, 1.0), rooms, None) == ""
    assert "16 cores" in impossible_reason(Size(17.0, 1.0), rooms, None)
    quota = quota_of(TeamSpec(cores=4))
    assert "quota" in impossible_reason(Size(5.0, 1.0), rooms, quota)
