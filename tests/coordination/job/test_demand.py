from gypsumplank.coordination.job.demand import HOLD_S, Demand, floors, machines_for
from gypsumplank.protocol.job import Room


def busy_until(base, at):
    demand = Demand(base)
    if at is not None:
        demand.update(base, base, at)
    return demand


def test_pools_of_services_whose_turn_was_not_seen_keep_their_first_size():
    demands = {"a": busy_until(6, None), "b": busy_until(8, None)}
    assert floors(demands, 100.0) == {"a": 6, "b": 8}


def test_only_the_service_that_rested_longest_keeps_its_first_size():
    demands = {"a": busy_until(6, 10.0), "b": busy_until(6, 14.0), "c": busy_until(6, 20.0)}
    demands["b"].update(0, 0, 20.0)
    assert floors(demands, 20.0) == {"a": 6, "b": 3, "c": 6}
    demands["c"].update(0, 0, 30.0)
    assert floors(demands, 30.0) == {"a": 6, "b": 3, "c": 3}


def test_a_resting_pool_holds_what_its_lasting_tasks_need():
    demand = busy_until(6, 10.0)
    demand.update(5, 0, 30.0)
    assert demand.rests(30.0)
    assert demand.low == 5


def test_the_highest_need_of_the_last_moments_is_kept():
    demand = Demand(6)
    demand.update(9, 9, 1.0)
    demand.update(2, 2, 1.0 + HOLD_S)
    assert (demand.present, demand.level) == (2, 9)
    demand.update(2, 2, 1.1 + HOLD_S)
    assert demand.level == 2


def test_the_scarcest_kind_of_room_decides_how_many_machines_are_needed():
    size = Room(8000, 8000, 0)
    assert machines_for(Room(0, 0, 0), size) == 0
    assert machines_for(Room(8000, 100), size) == 2
    assert machines_for(Room(1000, 20000), size) == 3


def test_a_service_whose_turn_was_not_seen_is_due_before_others():
    demands = {"a": busy_until(6, 10.0), "b": busy_until(6, None)}
    demands["a"].update(0, 0, 20.0)
    assert floors(demands, 20.0) == {"a": 3, "b": 6}
