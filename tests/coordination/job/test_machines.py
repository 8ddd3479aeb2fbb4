import math
import queue
import threading
from collections import Counter
from dataclasses import replace

import pytest

from gypsumplank.coordination.job.machine import ORDER_SENDERS, MachineController
from gypsumplank.errors import StateUnavailableError
from gypsumplank.protocol.job import Resources, StepDefinition
from gypsumplank.protocol.queue import (
    MachineOrderEntry,
    MaintenanceWave,
    Manifest,
    Queue,
    ServicePolicy,
)
from gypsumplank.state.clock import ClockRange
from gypsumplank.state.machine import MachineOrderLog
from gypsumplank.state.table import MemoryTable
from standins.cluster import (
    MANIFEST,
    QUEUE,
    ROOM,
    SERVICE,
    STANDBY,
    ImmediateRunner,
    SimulatedCluster,
    long_running_step,
)

# Far longer than any wait in these tests; reached only if an expected event never comes.
JOIN_TIMEOUT_S = 10.0


@pytest.fixture
def cluster():
    cluster = SimulatedCluster(1, workers=6)
    cluster.run(5.0)
    return cluster


def start_wave(cluster, cap=2):
    machines = tuple(worker.entry.machine for worker in cluster.simulated_workers.workers.values())
    cluster.waves.append(MaintenanceWave(1, machines, 30.0, cap))
    return machines


def reported_states(cluster):
    return [
        daemon.directory.reported.get(1) for daemon in cluster.daemons if daemon.directory.reported
    ]


def test_wave_maintains_each_machine_once_within_cap(cluster):
    machines = start_wave(cluster)
    cluster.run(1.5)
    assert reported_states(cluster) == [False]
    cluster.run(20.0)
    assert sorted(order[1] for order in cluster.machines.orders) == sorted(machines)
    assert cluster.machines.max_down <= 2
    assert reported_states(cluster) == [True]


def test_wave_respects_disruption_budget(cluster):
    cluster.submit("a" * 16, (long_running_step(6, 1),), spec="100000")
    cluster.run(2.0)
    start_wave(cluster, cap=4)
    min_running = 6
    for _ in range(600):
        cluster.run(0.05)
        min_running = min(
            min_running,
            sum(len(worker.running) for worker in cluster.simulated_workers.workers.values()),
        )
    assert reported_states(cluster) == [True]
    assert min_running >= 5


def test_new_leader_continues_wave(cluster):
    start_wave(cluster)
    cluster.run(3.0)
    cluster.leader().suspended = True
    cluster.run(40.0)
    assert True in reported_states(cluster)
    tokens = [order[3] for order in cluster.machines.orders]
    assert tokens == sorted(tokens)


class FakeOrderLog:
    def __init__(self, ages):
        self.ages, self.recorded, self.out = ages, [], False

    def entries(self):
        if self.out:
            raise StateUnavailableError("out")
        return {name: MachineOrderEntry(-round(age * 1000)) for name, age in self.ages.items()}

    def order_age_s(self, note):
        return -note.at_ms / 1000

    def record(self, machine, wave=0, maintained_wave=0):
        if self.out:
            raise StateUnavailableError("out")
        self.recorded.append(machine)


class FakeMachines:
    def __init__(self):
        self.moved = []

    def start_maintenance(self, machine, wave, holder, token):
        pass

    def move(self, machine, pool, holder, token):
        self.moved.append((machine, pool, token))


def make_controller(log, machines=None):
    controller = MachineController(
        machines or FakeMachines(),
        "d",
        lambda: 3.0,
        lambda: True,
        lambda work: work(),
        log,
        ImmediateRunner,
    )
    controller.start_term(7, 100.0)
    return controller


def test_new_leader_waits_only_for_recently_ordered_machines():
    controller = make_controller(FakeOrderLog({"a": 1.0, "b": 60.0}))
    assert controller.can_order(100.0)
    assert [controller.is_handover_over(machine, 100.0) for machine in ("a", "b", "c")] == [
        False,
        True,
        True,
    ]
    assert not controller.is_handover_over("a", 102.4)
    assert controller.is_handover_over("a", 102.6)


def test_no_orders_before_order_log_is_read():
    log = FakeOrderLog({})
    log.out = True
    controller = make_controller(log)
    assert not controller.can_order(100.0)
    assert not controller.is_handover_over("a", 100.0)
    log.out = False
    assert controller.can_order(101.0)
    assert controller.is_handover_over("a", 101.0)


def test_order_that_cannot_be_recorded_is_not_sent():
    log, machines, results = FakeOrderLog({}), FakeMachines(), []
    controller = make_controller(log, machines)
    controller.order_move("a", "p", results.append)
    log.out = True
    controller.order_move("b", "p", results.append)
    assert log.recorded == ["a"]
    assert machines.moved == [("a", "p", 7)]
    assert results[0] is None
    assert results[1].code == "machine"


class RendezvousLog(FakeOrderLog):
    """Let no order be recorded before another one is about to be."""

    def __init__(self):
        super().__init__({})
        self.barrier = threading.Barrier(2)

    def record(self, machine, wave=0, maintained_wave=0):
        self.barrier.wait(JOIN_TIMEOUT_S)
        super().record(machine, wave)


def test_orders_for_different_machines_are_sent_concurrently():
    log, results = RendezvousLog(), queue.SimpleQueue()
    controller = MachineController(
        FakeMachines(), "d", lambda: 3.0, lambda: True, lambda work: work(), log
    )
    controller.start_term(7, 100.0)
    for number in range(2 * ORDER_SENDERS):
        controller.order_move(f"m{number}", "p", results.put)
    # Orders that share a sender wait for each other, so only the first ones are sure to meet.
    assert results.get(timeout=JOIN_TIMEOUT_S) is None
    log.barrier.abort()
    controller.end_term()


class HeldRunner(ImmediateRunner):
    """Hold a controller's calls until the test runs them."""

    held = []

    def tell(self, work):
        self.held.append(work)


def test_order_of_an_earlier_term_is_not_sent(monkeypatch):
    monkeypatch.setattr(HeldRunner, "held", [])
    machines = FakeMachines()
    controller = MachineController(
        machines, "d", lambda: 3.0, lambda: True, lambda work: work(), FakeOrderLog({}), HeldRunner
    )
    controller.start_term(7, 100.0)
    controller.order_move("a", "p", lambda _failure: None)
    controller.start_term(8, 101.0)
    for work in HeldRunner.held:
        work()
    assert machines.moved == []


def test_orders_for_one_machine_keep_their_sequence():
    machines, done = FakeMachines(), threading.Semaphore(0)
    controller = MachineController(
        machines, "d", lambda: 3.0, lambda: True, lambda work: work(), FakeOrderLog({})
    )
    controller.start_term(7, 100.0)
    pools = [f"p{number}" for number in range(20)]
    for pool in pools:
        controller.order_move("a", pool, lambda _failure: done.release())
    assert all(done.acquire(timeout=JOIN_TIMEOUT_S) for _ in pools)
    assert [pool for _, pool, _ in machines.moved] == pools
    controller.end_term()


def submit_backlog(cluster):
    cluster.manifest = Manifest(
        2,
        (QUEUE,),
        {**MANIFEST.services, STANDBY: ServicePolicy(STANDBY, standby=True)},
    )
    for number in range(4):
        cluster.machines.standby[f"m-{number}"] = True
    for number in range(12):
        cluster.submit(f"{number:016x}", (StepDefinition(4, Resources(4000, 100), 2000),), spec="4")


def test_pool_gets_standby_machines_for_backlog(cluster):
    submit_backlog(cluster)
    cluster.run(4.0)
    moved = [
        order for order in cluster.machines.orders if order[0] == "move" and order[2] == SERVICE
    ]
    assert len(moved) == 4


def test_pool_shrinks_to_initial_size_after_backlog(cluster):
    submit_backlog(cluster)
    cluster.run(60.0)
    assert len(cluster.simulated_workers.workers) == 6
    assert len(cluster.machines.standby) == 4
    assert not cluster.violations()


def test_terminated_incarnation_with_stale_entry_gets_no_tasks(cluster):
    stale = cluster.simulated_workers.entries()
    machines = start_wave(cluster, cap=6)
    for daemon in cluster.daemons:
        fresh = daemon.directory.workers
        daemon.directory.workers = lambda fresh=fresh: [
            *fresh(),
            *(entry for entry in stale if entry.id not in {other.id for other in fresh()}),
        ]
    cluster.run(4.0)
    assert {order[1] for order in cluster.machines.orders} == set(machines)
    cluster.submit("a" * 16)
    cluster.run(4.0)
    assert cluster.state("a" * 16) == "completed"
    assert all(start.run == 1 for start in cluster.simulated_workers.history)


SECOND_SERVICE = "press"
SECOND_QUEUE = Queue("plates", "h.example", "/q/", SECOND_SERVICE, 0, 3, 1.5, 600)


def add_second_service(cluster, workers=6):
    cluster.manifest = Manifest(
        2,
        (QUEUE, SECOND_QUEUE),
        {
            name: ServicePolicy(name, standby=name == STANDBY)
            for name in (SERVICE, SECOND_SERVICE, STANDBY)
        },
    )
    for number in range(workers):
        cluster.simulated_workers.add(f"p{number}", SECOND_SERVICE, ROOM)
    cluster.run(3.0)


def test_workers_that_have_yet_to_register_are_not_replaced():
    cluster = SimulatedCluster(1, workers=6)
    cluster.manifest = Manifest(
        2, (QUEUE,), {**MANIFEST.services, STANDBY: ServicePolicy(STANDBY, standby=True)}
    )
    for number in range(4):
        cluster.machines.standby[f"m-{number}"] = True
    for daemon in cluster.daemons:
        registered = daemon.directory.workers
        daemon.directory.workers = lambda registered=registered: registered()[:3]
    cluster.run(5.0)
    assert cluster.machines.orders == []


def pool_sizes(cluster):
    return Counter(machine.pool for machine in cluster.machines.list_machines())


def submit_burst(cluster, jobs=12):
    for number in range(jobs):
        cluster.submit(f"{number:016x}", (StepDefinition(4, Resources(4000, 100), 4000),), spec="4")


def test_idle_service_lends_machines_down_to_half_its_initial_size(cluster):
    add_second_service(cluster)
    submit_burst(cluster)
    cluster.run(3.5)
    assert pool_sizes(cluster) == {SERVICE: 9, SECOND_SERVICE: 3}


def test_lent_machines_return_after_burst(cluster):
    add_second_service(cluster)
    submit_burst(cluster)
    cluster.run(60.0)
    assert pool_sizes(cluster)[SECOND_SERVICE] == 6
    assert not cluster.violations()


def test_late_work_keeps_no_machines_that_another_service_lacks(cluster):
    add_second_service(cluster)
    step = StepDefinition(4, Resources(4000, 100), 1000)
    for number in range(90):
        cluster.submit(f"{number:016x}", (step,), spec="1")
    cluster.run(8.0)
    assert pool_sizes(cluster) == {SERVICE: 9, SECOND_SERVICE: 3}
    for number in range(100, 112):
        cluster.submit(f"{number:016x}", (replace(step, estimate_ms=2000),), "2", 0, SECOND_QUEUE)
    cluster.run(3.5)
    assert pool_sizes(cluster) == {SERVICE: 6, SECOND_SERVICE: 6}
    cluster.run(60.0)
    assert not cluster.violations()


def test_new_leader_knows_initial_pool_sizes(cluster):
    add_second_service(cluster)
    submit_burst(cluster)
    cluster.run(3.5)
    cluster.leader().suspended = True
    cluster.run(60.0)
    assert pool_sizes(cluster)[SECOND_SERVICE] == 6


def test_machine_under_maintenance_is_not_replaced(cluster):
    add_second_service(cluster, workers=3)
    for number in range(4):
        cluster.machines.standby[f"m-{number}"] = True
    start_wave(cluster, cap=2)
    cluster.run(20.0)
    assert reported_states(cluster) == [True]
    assert not [order for order in cluster.machines.orders if order[0] == "move"]


def test_busy_machines_are_not_drained_early_in_wave(cluster):
    for number in range(24):
        cluster.submit(f"{number:016x}", (StepDefinition(2, Resources(4000, 100), 4000),), spec="3")
    cluster.run(0.5)
    machines = tuple(worker.entry.machine for worker in cluster.simulated_workers.workers.values())
    cluster.waves.append(MaintenanceWave(1, machines, 120.0, 6))
    cluster.run(6.0)
    assert len(cluster.machines.orders) <= 2
    cluster.run(100.0)
    assert reported_states(cluster) == [True]


def test_new_leader_does_not_drain_machines_ordered_before(cluster):
    start_wave(cluster, cap=6)
    cluster.run(2.2)
    assert len(cluster.machines.orders) == 6
    cluster.run(3.0)
    for number in range(12):
        cluster.submit(f"{number:016x}", (StepDefinition(2, Resources(4000, 100), 4000),), spec="4")
    cluster.run(0.5)
    cluster.leader().restart()
    cluster.run(3.0)
    assert len(cluster.machines.orders) <= 7
    assert not any(
        start.kind is not None and start.kind.value == "stopped"
        for start in cluster.simulated_workers.history
    )


def test_new_leader_orders_no_maintenance_again_that_was_accepted(cluster):
    machines = start_wave(cluster, cap=2)
    while len(cluster.machines.maintenance_calls) < 4:
        cluster.run(0.1)
    cluster.run(0.2)
    cluster.leader().restart()
    cluster.run(30.0)
    assert reported_states(cluster) == [True]
    assert sorted(cluster.machines.maintenance_calls) == sorted(machines)
    assert cluster.machines.max_down <= 2


def test_move_keeps_the_record_of_accepted_maintenance():
    controller = make_controller(
        log := MachineOrderLog(MemoryTable(), lambda: ClockRange(5000, 5000)), FakeMachines()
    )
    controller.order_maintenance("a", 3, lambda failure: None)
    controller.order_move("a", "p", lambda failure: None)
    assert log.entries() == {"a": MachineOrderEntry(5000, 0, 3)}


def test_maintenance_whose_acceptance_is_not_recorded_is_ordered_again(cluster):
    start_wave(cluster, cap=6)
    leader = cluster.leader()
    record = leader.machine_orders.record

    def record_orders_only(machine, wave=0, maintained_wave=0):
        if not maintained_wave:
            record(machine, wave)
        else:
            raise StateUnavailableError("out")

    leader.machine_orders.record = record_orders_only
    cluster.run(4.0)
    assert len(cluster.machines.maintenance_calls) == 6
    leader.restart()
    cluster.run(10.0)
    assert reported_states(cluster) == [True]
    assert len(cluster.machines.maintenance_calls) == 12
    assert len(cluster.machines.orders) == 6


def test_long_running_tasks_move_to_maintained_machines(cluster):
    cluster.submit("a" * 16, (long_running_step(4, 1),), spec="100000")
    cluster.run(2.0)
    machines = start_wave(cluster, cap=2)
    cluster.run(40.0)
    assert reported_states(cluster) == [True]
    starts = [start for start in cluster.simulated_workers.history if start.run > 2]
    assert len(machines) == 6
    assert not starts


def test_cap_includes_machines_taken_down_by_earlier_leaders(cluster):
    start_wave(cluster, cap=2)
    cluster.run(1.2)
    for _ in range(6):
        if cluster.leader():
            cluster.leader().restart()
        cluster.run(1.2)
    cluster.run(30.0)
    assert reported_states(cluster) == [True]
    assert cluster.machines.max_down <= 2


def test_new_leader_stops_no_long_running_task_while_earlier_stops_are_pending():
    cluster = SimulatedCluster(1, workers=4)
    cluster.run(5.0)
    cluster.submit("a" * 16, (long_running_step(8, 1),), spec="100000")
    cluster.run(2.0)
    start_wave(cluster, cap=4)
    cluster.run(1.5)
    cluster.leader().restart()
    for _ in range(26):
        cluster.run(0.05)
        leader = cluster.leader()
        instances = leader.scheduler_leader._term.scheduler.instances.values() if leader else ()
        assert all(task.should_run for instance in instances for task in instance.tasks.values())
    cluster.run(60.0)
    assert reported_states(cluster) == [True]


def test_workers_get_tasks_after_repeated_maintenance_order(cluster):
    start_wave(cluster, cap=6)
    cluster.run(4.0)
    cluster.leader().restart()
    cluster.run(8.0)
    assert reported_states(cluster) == [True]
    assert len(cluster.machines.orders) == 6
    for number in range(6):
        cluster.submit(f"{number:016x}", (StepDefinition(2, Resources(4000, 100), 1000),), spec="1")
    cluster.run(0.6)
    assert len({start.worker for start in cluster.simulated_workers.history}) == 6


def test_machine_with_planned_move_is_not_chosen_for_wave(cluster):
    add_second_service(cluster)
    cluster.submit("a" * 16, (StepDefinition(6, Resources(8000, 100), 9000),), spec="9")
    cluster.run(1.0)
    machine_manager = cluster.leader().scheduler_leader._machine_manager
    machine_manager._pools._plan_move("w0", SECOND_SERVICE)
    machine_manager._pools._next_plan_at = math.inf
    start_wave(cluster, cap=6)
    cluster.run(2.0)
    chosen = [
        machine
        for progress in machine_manager.maintenance._waves.values()
        for machine in (*progress.draining, *progress.in_flight)
    ]
    assert chosen
    assert "w0" not in chosen


def test_machine_can_be_ordered_about_after_an_unexpected_error():
    machines, results = FakeMachines(), []
    controller = make_controller(FakeOrderLog({}), machines)
    machines.move = lambda *order: {}["missing"]
    controller.order_move("a", "p", results.append)
    assert results[0].code == "machine"
    assert controller.in_flight == set()


def test_waves_that_are_complete_are_forgotten(cluster):
    for number in range(1, 5):
        machine = next(
            worker.entry.machine
            for worker in cluster.simulated_workers.workers.values()
            if worker.up
        )
        cluster.waves.append(MaintenanceWave(number, (machine,), 30.0, 1))
        cluster.run(8.0)
    daemon = cluster.leader()
    assert daemon.directory.reported == dict.fromkeys(range(1, 5), True)
    assert len(cluster.machines.maintained) == 4
    planner = daemon.scheduler_leader._machine_manager.maintenance
    assert not planner._waves


def test_wave_whose_completion_is_not_read_yet_is_not_taken_up_again(cluster):
    start_wave(cluster, cap=6)
    cluster.run(20.0)
    daemon = cluster.leader()
    assert daemon.directory.reported == {1: True}
    daemon.directory.reported.clear()
    cluster.run(5.0)
    assert len(cluster.machines.orders) == 6


def test_machines_that_are_gone_are_forgotten(cluster):
    cluster.manifest = Manifest(
        2, (QUEUE,), {**MANIFEST.services, STANDBY: ServicePolicy(STANDBY, standby=True)}
    )
    scaler = cluster.leader().scheduler_leader._machine_manager._pools
    for number in range(20):
        name = f"x{number}"
        cluster.simulated_workers.add(name, SERVICE, ROOM)
        cluster.run(1.0)
        assert name in scaler._machines_seen_with_worker
        scaler._retry_at[name] = cluster.clock.now
        cluster.simulated_workers.crash(name)
        del cluster.simulated_workers.workers[name]
        cluster.run(1.0)
    # The list of machines is read every 0.6 s.
    assert len(scaler._machines_seen_with_worker) <= len(cluster.simulated_workers.workers) + 1
    assert len(scaler._retry_at) <= 1
