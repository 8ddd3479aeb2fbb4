from gypsumplank.coordination.job.demand import (
    PEAK_WINDOW_S,
    ServiceDemand,
    machines_needed,
    minimum_sizes,
)
from gypsumplank.protocol.job import Resources


def demand_busy_at(initial_size, at):
    demand = ServiceDemand(initial_size)
    if at is not None:
        demand.update(initial_size, initial_size, at)
    return demand


def test_pools_of_never_busy_services_keep_initial_size():
    demands = {"a": demand_busy_at(6, None), "b": demand_busy_at(8, None)}
    assert minimum_sizes(demands, 100.0) == {"a": 6, "b": 8}


def test_only_longest_idle_service_keeps_initial_size():
    demands = {
        "a": demand_busy_at(6, 10.0),
        "b": demand_busy_at(6, 14.0),
        "c": demand_busy_at(6, 20.0),
    }
    demands["b"].update(0, 0, 20.0)
    assert minimum_sizes(demands, 20.0) == {"a": 6, "b": 3, "c": 6}
    demands["c"].update(0, 0, 30.0)
    assert minimum_sizes(demands, 30.0) == {"a": 6, "b": 3, "c": 3}


def test_idle_pool_covers_its_long_running_tasks():
    demand = demand_busy_at(6, 10.0)
    demand.update(5, 0, 30.0)
    assert demand.is_idle(30.0)
    assert demand.idle_size == 5


def test_peak_demand_is_kept_for_the_window():
    demand = ServiceDemand(6)
    demand.update(9, 9, 1.0)
    demand.update(2, 2, 1.0 + PEAK_WINDOW_S)
    assert (demand.current, demand.peak) == (2, 9)
    demand.update(2, 2, 1.1 + PEAK_WINDOW_S)
    assert demand.peak == 2


def test_scarcest_resource_determines_number_of_machines():
    size = Resources(8000, 8000, 0)
    assert machines_needed(Resources(0, 0, 0), size) == 0
    assert machines_needed(Resources(8000, 100), size) == 2
    assert machines_needed(Resources(1000, 20000), size) == 3


def test_never_busy_service_is_expected_before_idle_ones():
    demands = {"a": demand_busy_at(6, 10.0), "b": demand_busy_at(6, None)}
    demands["a"].update(0, 0, 20.0)
    assert minimum_sizes(demands, 20.0) == {"a": 3, "b": 6}
