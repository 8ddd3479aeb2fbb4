from gypsumplank.protocol.queue import MachineOrderEntry
from gypsumplank.state.clock import ClockRange
from gypsumplank.state.machine import MachineOrderLog
from gypsumplank.state.table import MemoryTable


def test_age_of_the_last_order_uses_the_stores_clock():
    clock = [5000]
    orders = MachineOrderLog(MemoryTable(), lambda: ClockRange(clock[0], clock[0]))
    assert orders.entries() == {}
    orders.record("a", 3)
    clock[0] = 6500
    orders.record("b")
    clock[0] = 7000
    assert orders.entries() == {"a": MachineOrderEntry(5000, 3), "b": MachineOrderEntry(6500)}
    assert [orders.order_age_s(one) for one in orders.entries().values()] == [2.0, 0.5]


def test_order_recorded_by_a_clock_ahead_has_age_zero():
    clock = [5000]
    orders = MachineOrderLog(MemoryTable(), lambda: ClockRange(clock[0], clock[0]))
    orders.record("a")
    clock[0] = 4000
    assert orders.order_age_s(orders.entries()["a"]) == 0.0


def test_wave_age_counts_from_the_first_daemon_that_saw_it():
    clock = [5000]
    table = MemoryTable()
    assert MachineOrderLog(table, lambda: ClockRange(clock[0], clock[0])).wave_age_s(1) == 0.0
    clock[0] = 9000
    assert MachineOrderLog(table, lambda: ClockRange(clock[0], clock[0])).wave_age_s(1) == 4.0


def test_order_counts_as_young_while_the_clock_is_uncertain():
    clock = [ClockRange(4000, 5000)]
    orders = MachineOrderLog(MemoryTable(), lambda: clock[0])
    orders.record("a")
    clock[0] = ClockRange(5500, 6500)
    assert orders.order_age_s(orders.entries()["a"]) == 0.5
