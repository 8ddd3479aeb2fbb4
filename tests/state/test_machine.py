from gypsumplank.protocol.queue import OrderNote
from gypsumplank.state.machine import MachineOrders
from gypsumplank.state.table import MemoryTable


def test_age_of_the_last_order_uses_the_stores_clock():
    clock = [5000]
    orders = MachineOrders(MemoryTable(), lambda: clock[0])
    assert orders.notes() == {}
    orders.note("a", 3)
    clock[0] = 6500
    orders.note("b")
    clock[0] = 7000
    assert orders.notes() == {"a": OrderNote(5000, 3), "b": OrderNote(6500)}
    assert [orders.age_s(one) for one in orders.notes().values()] == [2.0, 0.5]


def test_order_recorded_by_a_clock_ahead_has_age_zero():
    clock = [5000]
    orders = MachineOrders(MemoryTable(), lambda: clock[0])
    orders.note("a")
    clock[0] = 4000
    assert orders.age_s(orders.notes()["a"]) == 0.0


def test_wave_age_counts_from_the_first_daemon_that_saw_it():
    clock = [5000]
    table = MemoryTable()
    assert MachineOrders(table, lambda: clock[0]).begun(1) == 0.0
    clock[0] = 9000
    assert MachineOrders(table, lambda: clock[0]).begun(1) == 4.0
