from gypsumplank.state.machine import MachineOrders
from gypsumplank.state.table import MemoryTable


def test_the_age_of_the_last_order_is_told_by_the_stores_clock():
    clock = [5000]
    orders = MachineOrders(MemoryTable(), lambda: clock[0])
    assert orders.ages() == {}
    orders.note("a")
    clock[0] = 6500
    orders.note("b")
    clock[0] = 7000
    assert orders.ages() == {"a": 2.0, "b": 0.5}
    orders.note("a")
    assert orders.ages()["a"] == 0.0


def test_an_order_noted_by_a_clock_that_is_ahead_counts_as_just_given():
    clock = [5000]
    orders = MachineOrders(MemoryTable(), lambda: clock[0])
    orders.note("a")
    clock[0] = 4000
    assert orders.ages() == {"a": 0.0}
