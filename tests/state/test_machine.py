from gypsumplank.protocol.queue import OrderNote
from gypsumplank.state.machine import MachineOrders
from gypsumplank.state.table import MemoryTable


def test_the_age_of_the_last_order_is_told_by_the_stores_clock():
    clock = [5000]
    orders = MachineOrders(MemoryTable(), lambda: clock[0])
    assert orders.notes() == {}
    orders.note("a", 3)
    clock[0] = 6500
    orders.note("b")
    clock[0] = 7000
    assert orders.notes() == {"a": OrderNote(5000, 3), "b": OrderNote(6500)}
    assert [orders.age_s(one) for one in orders.notes().values()] == [2.0, 0.5]


def test_an_order_noted_by_a_clock_that_is_ahead_counts_as_just_given():
    clock = [5000]
    orders = MachineOrders(MemoryTable(), lambda: clock[0])
    orders.note("a")
    clock[0] = 4000
    assert orders.age_s(orders.notes()["a"]) == 0.0


def test_a_wave_began_when_any_daemon_saw_it_first():
    clock = [5000]
    table = MemoryTable()
    assert MachineOrders(table, lambda: clock[0]).begun(1) == 0.0
    clock[0] = 9000
    assert MachineOrders(table, lambda: clock[0]).begun(1) == 4.0
