import math
from collections import Counter

import pytest

from gypsumplank.coordination.job.machine import MachineDesk
from gypsumplank.errors import StateUnavailableError
from gypsumplank.protocol.job import Room, StepOrder
from gypsumplank.protocol.queue import Manifest, OrderNote, Queue, ServicePolicy, UpkeepWave
from tests.coordination.job.world import (
    MANIFEST,
    QUEUE,
    ROOM,
    SERVICE,
    STANDBY,
    World,
    _AtOnce,
    lasting,
)


@pytest.fixture
def world():
    made = World(1, workers=6)
    made.run(5.0)
    return made


def wave(world, cap=2):
    machines = tuple(one.entry.machine for one in world.farm.workers.values())
    world.waves.append(UpkeepWave(1, machines, 30.0, cap))
    return machines


def told(world):
    return [daemon.directory.told.get(1) for daemon in world.daemons if daemon.directory.told]


def test_a_wave_brings_each_machine_down_once_within_its_cap(world):
    machines = wave(world)
    world.run(1.5)
    assert told(world) == [False]
    world.run(20.0)
    assert sorted(one[1] for one in world.machines.orders) == sorted(machines)
    assert world.machines.most_down <= 2
    assert told(world) == [True]


def test_a_wave_takes_no_more_of_a_step_than_may_miss(world):
    world.submit("a" * 16, (lasting(6, 1),), spec="100000")
    world.run(2.0)
    wave(world, cap=4)
    least = 6
    for _ in range(600):
        world.run(0.05)
        least = min(least, sum(len(one.running) for one in world.farm.workers.values()))
    assert told(world) == [True]
    assert least >= 5


def test_a_successor_goes_on_with_a_wave(world):
    wave(world)
    world.run(3.0)
    world.leader().asleep = True
    world.run(40.0)
    assert True in told(world)
    tokens = [one[3] for one in world.machines.orders]
    assert tokens == sorted(tokens)


class Log:
    def __init__(self, ages):
        self.kept, self.noted, self.out = ages, [], False

    def notes(self):
        if self.out:
            raise StateUnavailableError("out")
        return {name: OrderNote(-round(age * 1000)) for name, age in self.kept.items()}

    def age_s(self, note):
        return -note.at_ms / 1000

    def note(self, machine, wave=0):
        if self.out:
            raise StateUnavailableError("out")
        self.noted.append(machine)


class Calls:
    def __init__(self):
        self.moved = []

    def move(self, machine, pool, holder, token):
        self.moved.append((machine, pool, token))


def desk_of(log, calls=None):
    desk = MachineDesk(
        calls or Calls(), "d", lambda: 3.0, lambda: True, lambda work: work(), log, _AtOnce
    )
    desk.begin(7, 100.0)
    return desk


def test_a_new_holder_waits_for_those_machines_only_that_were_ordered_about():
    desk = desk_of(Log({"a": 1.0, "b": 60.0}))
    assert desk.may_act(100.0)
    assert [desk.is_free(one, 100.0) for one in ("a", "b", "c")] == [False, True, True]
    assert not desk.is_free("a", 102.4)
    assert desk.is_free("a", 102.6)


def test_no_order_is_given_before_earlier_ones_are_known():
    log = Log({})
    log.out = True
    desk = desk_of(log)
    assert not desk.may_act(100.0)
    assert not desk.is_free("a", 100.0)
    log.out = False
    assert desk.may_act(101.0)
    assert desk.is_free("a", 101.0)


def test_an_order_that_cannot_be_noted_is_not_given():
    log, calls, told = Log({}), Calls(), []
    desk = desk_of(log, calls)
    desk.move("a", "p", told.append)
    log.out = True
    desk.move("b", "p", told.append)
    assert log.noted == ["a"]
    assert calls.moved == [("a", "p", 7)]
    assert told[0] is None
    assert told[1].code == "machine"


def backlog(world):
    world.manifest = Manifest(
        2,
        (QUEUE,),
        {**MANIFEST.services, STANDBY: ServicePolicy(STANDBY, standby=True)},
    )
    for number in range(4):
        world.machines.off[f"m-{number}"] = True
    for number in range(12):
        world.submit(f"{number:016x}", (StepOrder(4, Room(4000, 100), 2000),), spec="4")


def test_a_pool_grows_by_standby_machines_while_work_waits(world):
    backlog(world)
    world.run(4.0)
    moved = [one for one in world.machines.orders if one[0] == "move" and one[2] == SERVICE]
    assert len(moved) == 4


def test_a_pool_returns_to_its_first_size(world):
    backlog(world)
    world.run(60.0)
    assert len(world.farm.workers) == 6
    assert len(world.machines.off) == 4
    assert not world.judge()


def test_an_ended_life_gets_no_task_while_its_entry_lingers(world):
    stale = world.farm.entries()
    machines = wave(world, cap=6)
    for daemon in world.daemons:
        fresh = daemon.directory.workers
        daemon.directory.workers = lambda fresh=fresh: [
            *fresh(),
            *(one for one in stale if one.id not in {each.id for each in fresh()}),
        ]
    world.run(4.0)
    assert {one[1] for one in world.machines.orders} == set(machines)
    world.submit("a" * 16)
    world.run(4.0)
    assert world.state("a" * 16) == "completed"
    assert all(one.run == 1 for one in world.farm.history)


SECOND = "press"
SECOND_QUEUE = Queue("plates", "h.example", "/q/", SECOND, 0, 3, 1.5, 600)


def two_services(world, workers=6):
    world.manifest = Manifest(
        2,
        (QUEUE, SECOND_QUEUE),
        {name: ServicePolicy(name, standby=name == STANDBY) for name in (SERVICE, SECOND, STANDBY)},
    )
    for number in range(workers):
        world.farm.add(f"p{number}", SECOND, ROOM)
    world.run(3.0)


def pools(world):
    return Counter(one.pool for one in world.machines.all())


def flood(world, jobs=12):
    for number in range(jobs):
        world.submit(f"{number:016x}", (StepOrder(4, Room(4000, 100), 4000),), spec="4")


def test_a_service_at_rest_lends_machines_down_to_half_its_first_size(world):
    two_services(world)
    flood(world)
    world.run(3.5)
    assert pools(world) == {SERVICE: 9, SECOND: 3}


def test_lent_machines_return_once_the_flood_is_over(world):
    two_services(world)
    flood(world)
    world.run(60.0)
    assert pools(world)[SECOND] == 6
    assert not world.judge()


def test_a_successor_knows_the_first_sizes_of_pools(world):
    two_services(world)
    flood(world)
    world.run(3.5)
    world.leader().asleep = True
    world.run(60.0)
    assert pools(world)[SECOND] == 6


def test_a_machine_in_upkeep_is_not_replaced(world):
    two_services(world, workers=3)
    for number in range(4):
        world.machines.off[f"m-{number}"] = True
    wave(world, cap=2)
    world.run(20.0)
    assert told(world) == [True]
    assert not [one for one in world.machines.orders if one[0] == "move"]


def test_a_machine_at_work_is_left_alone_while_a_wave_has_time(world):
    for number in range(24):
        world.submit(f"{number:016x}", (StepOrder(2, Room(4000, 100), 4000),), spec="3")
    world.run(0.5)
    machines = tuple(one.entry.machine for one in world.farm.workers.values())
    world.waves.append(UpkeepWave(1, machines, 120.0, 6))
    world.run(6.0)
    assert len(world.machines.orders) <= 2
    world.run(100.0)
    assert told(world) == [True]


def test_a_successor_does_not_empty_machines_whose_upkeep_was_ordered(world):
    wave(world, cap=6)
    world.run(2.2)
    assert len(world.machines.orders) == 6
    world.run(3.0)
    for number in range(12):
        world.submit(f"{number:016x}", (StepOrder(2, Room(4000, 100), 4000),), spec="4")
    world.run(0.5)
    world.leader().boot()
    world.run(3.0)
    assert len(world.machines.orders) <= 7
    assert not any(
        one.kind is not None and one.kind.value == "stopped" for one in world.farm.history
    )


def test_a_lasting_task_goes_to_a_machine_whose_upkeep_is_over(world):
    world.submit("a" * 16, (lasting(4, 1),), spec="100000")
    world.run(2.0)
    machines = wave(world, cap=2)
    world.run(40.0)
    assert told(world) == [True]
    starts = [one for one in world.farm.history if one.run > 2]
    assert len(machines) == 6
    assert not starts


def test_a_successor_counts_machines_that_an_earlier_holder_took_down(world):
    wave(world, cap=2)
    world.run(1.2)
    for _ in range(6):
        if world.leader():
            world.leader().boot()
        world.run(1.2)
    world.run(30.0)
    assert told(world) == [True]
    assert world.machines.most_down <= 2


def test_a_successor_stops_no_lasting_task_while_earlier_stops_may_be_under_way():
    world = World(1, workers=4)
    world.run(5.0)
    world.submit("a" * 16, (lasting(8, 1),), spec="100000")
    world.run(2.0)
    wave(world, cap=4)
    world.run(1.5)
    world.leader().boot()
    for _ in range(26):
        world.run(0.05)
        leader = world.leader()
        sites = leader.chief._term.scheduler.sites.values() if leader else ()
        assert all(task.wanted for site in sites for task in site.tasks.values())
    world.run(60.0)
    assert told(world) == [True]


def test_workers_whose_upkeep_is_ordered_again_take_tasks(world):
    wave(world, cap=6)
    world.run(4.0)
    world.leader().boot()
    world.run(8.0)
    assert told(world) == [True]
    assert len(world.machines.orders) == 6
    for number in range(6):
        world.submit(f"{number:016x}", (StepOrder(2, Room(4000, 100), 1000),), spec="1")
    world.run(0.6)
    assert len({one.worker for one in world.farm.history}) == 6


def test_a_machine_that_is_to_move_is_not_taken_for_a_wave(world):
    two_services(world)
    world.submit("a" * 16, (StepOrder(6, Room(8000, 100), 9000),), spec="9")
    world.run(1.0)
    care = world.leader().chief._care
    care._pools._leave("w0", SECOND)
    care._pools._due = math.inf
    wave(world, cap=6)
    world.run(2.0)
    taken = [one for each in care.upkeep._waves.values() for one in (*each.draining, *each.calling)]
    assert taken
    assert "w0" not in taken
