import contextlib
import random

import pytest

from gypsumplank.errors import StateError, WorkerUnknownError
from gypsumplank.state.job import StateValue, decode
from tests.coordination.job.world import CHAIN, World, lasting


@pytest.fixture
def world():
    made = World(1)
    made.run(1.0)
    return made


def test_a_job_runs_its_steps_in_order(world):
    world.submit("a" * 16, CHAIN)
    world.run(4.0)
    assert world.state("a" * 16) == "completed"
    assert len(world.farm.history) == 5
    assert not world.judge()


def test_a_job_handed_in_twice_is_one_job(world):
    assert world.submit("a" * 16)
    assert not world.submit("a" * 16, daemon=1)
    world.run(3.0)
    assert len(world.farm.history) == 2


def test_runs_survive_the_death_of_their_leader(world):
    world.submit("a" * 16, spec="8")
    world.run(1.0)
    world.leader().asleep = True
    world.run(14.0)
    assert world.state("a" * 16) == "completed"
    assert all(one.run == 1 for one in world.farm.history)


def test_adopted_runs_are_stopped_after_a_cancel(world):
    world.submit("a" * 16, (lasting(),), spec="10000")
    world.run(1.0)
    world.leader().asleep = True
    world.run(5.0)
    world.daemons[1].desk.cancel("a" * 16)
    world.run(2.0)
    assert not any(worker.running for worker in world.farm.workers.values())


def test_a_job_that_comes_during_a_take_over_is_not_taken_as_ended(world):
    class Inserting:
        """Insert a job right after the first scan of a take-over."""

        def __init__(self, table, act):
            self.table, self.act = table, act

        def __getattr__(self, name):
            return getattr(self.table, name)

        def scan(self, *args, **kwargs):
            rows = self.table.scan(*args, **kwargs)
            if args[0] == "orders" and self.act is not None:
                act, self.act = self.act, None
                act()
            return rows

    other = world.daemons[1]
    first = world.leader()
    successor = other if first is world.daemons[0] else world.daemons[0]
    successor.table.table = Inserting(world.table, lambda: world.submit("b" * 16))
    first.asleep = True
    world.run(8.0)
    assert world.state("b" * 16) == "completed"


def test_a_silent_workers_tasks_run_elsewhere_once_their_lease_is_over(world):
    world.submit("a" * 16, spec="3")
    world.run(0.3)
    victims = {one.worker for one in world.farm.history}
    for name in victims:
        world.farm.workers[name].reachable = False
    world.run(5.0)
    assert len(world.farm.history) == 2
    world.run(8.0)
    assert world.state("a" * 16) == "completed"
    assert not world.judge()


def test_an_old_leader_without_store_extends_no_run_that_a_successor_gives_up(world):
    world.submit("a" * 16, (lasting(),), spec="10000")
    world.run(1.0)
    old = world.leader()
    old.table.out = True
    for one in {each.worker for each in world.farm.history}:
        world.farm.workers[one].reachable = True
    successor = next(one for one in world.daemons if one is not old)
    reach = world.farm._reach

    def only_old(entry):
        if world.speaking is successor and entry.id in hidden:
            raise_unknown()
        return reach(entry)

    hidden = {each.worker for each in world.farm.history}
    world.speaking = None
    world.farm._reach = only_old
    for daemon in world.daemons:
        step = daemon.step

        def speak(daemon=daemon, step=step):
            world.speaking = daemon
            step()

        daemon.step = speak
    world.run(40.0)
    assert not world.judge()


def raise_unknown():
    raise WorkerUnknownError("cut off")


def test_a_lost_commit_lands_late_without_effect(world):
    leader = world.leader()
    leader.table.script = ["late"]
    world.submit("a" * 16, daemon=world.daemons.index(leader) ^ 1)
    world.run(0.5)
    leader.table.land()
    world.run(3.0)
    assert world.state("a" * 16) == "completed"
    assert not world.judge()


def test_a_reborn_worker_holds_nothing_and_bars_late_starts(world):
    world.farm.lose = 1.0
    world.submit("a" * 16, spec="2")
    world.run(0.3)
    world.farm.lose = 0.0
    for name in ("w0", "w1", "w2"):
        world.farm.crash(name)
        world.farm.revive(name)
    world.run(20.0)
    assert world.state("a" * 16) == "completed"
    assert not world.judge()


@pytest.mark.parametrize("seed", range(40))
def test_no_rule_breaks_under_mixed_faults(seed):
    world = World(seed, daemons=3, workers=4)
    rng = random.Random(seed)
    world.run(1.0)
    for number in range(30):
        daemon = rng.randrange(3)
        with contextlib.suppress(StateError):
            world.submit(f"{number:016x}", CHAIN if rng.random() < 0.5 else None, daemon=daemon)
        _trouble(world, rng)
        world.run(0.2 + rng.random())
    _calm(world)
    world.run(45.0)
    assert not world.judge()
    rows = world.table.scan("states")
    states = {row.key: decode(row.value, StateValue).state.value for row in rows}
    assert set(states.values()) <= {"completed", "failed"}, states


def _trouble(world, rng):
    daemon = rng.choice(world.daemons)
    name = rng.choice(sorted(world.farm.workers))
    worker = world.farm.workers[name]
    match rng.randrange(9):
        case 0:
            daemon.asleep = not daemon.asleep
        case 1:
            daemon.table.out = not daemon.table.out
        case 2:
            daemon.table.script.extend(["lost", "dropped", "late"])
        case 3:
            daemon.table.land()
        case 4:
            worker.reachable = not worker.reachable
        case 5:
            (world.farm.crash if worker.up else world.farm.revive)(name)
        case 6:
            world.farm.lose = rng.choice((0.0, 0.3))
        case 7:
            world.farm.fail_share = rng.choice((0.0, 0.1))
        case 8:
            daemon.boot()


def _calm(world):
    world.farm.lose = world.farm.fail_share = 0.0
    for daemon in world.daemons:
        daemon.asleep = daemon.table.out = False
        daemon.table.script.clear()
        daemon.table.land()
    for name, worker in list(world.farm.workers.items()):
        worker.reachable = True
        if not worker.up:
            world.farm.revive(name)


def test_runs_on_a_worker_that_left_in_good_order_are_free_at_once(world):
    world.submit("a" * 16, spec="30")
    world.run(1.0)
    for name in {one.worker for one in world.farm.history}:
        world.farm.drain(name)
        world.run(1.0)
        world.farm.crash(name)
    world.run(1.0)
    assert sum(len(one.running) for one in world.farm.workers.values()) == 2


def test_lasting_tasks_leave_a_draining_worker(world):
    world.submit("a" * 16, (lasting(),), spec="10000")
    world.run(1.0)
    for name in {one.worker for one in world.farm.history}:
        world.farm.drain(name)
    world.run(1.0)
    assert sum(len(one.running) for one in world.farm.workers.values()) == 2


def test_a_take_over_that_reads_slowly_keeps_its_lease():
    world = World(1, daemons=3)
    world.run(1.0)
    first = world.leader()
    first.asleep = True
    slow, other = (one for one in world.daemons if one is not first)
    other.asleep = True
    slow.table.scan = _slow_scan(world, slow.table.scan, other)
    world.run(6.0)
    assert slow.chief.leads
    assert slow.leases.epoch("scheduler") == 2


def _slow_scan(world, scan, other):
    """Let 0.7 s pass at each read of a table, in which another daemon seeks the lease."""

    def slow(table, *args):
        if table in {"states", "orders", "steps", "cancels"}:
            other.asleep = False
            for _ in range(14):
                world.clock.advance(0.05)
                other.step()
        return scan(table, *args)

    return slow


def outage(world, seconds):
    for daemon in world.daemons:
        daemon.table.out = True
    world.run(seconds)
    for daemon in world.daemons:
        daemon.table.out = False


def test_the_holder_keeps_the_lease_over_an_outage_of_the_store(world):
    first = world.leader()
    world.daemons.reverse()
    outage(world, 4.5)
    world.run(3.0)
    assert world.leader() is first
    assert first.leases.epoch("scheduler") == 1


def test_another_daemon_takes_the_lease_if_its_holder_ended_in_an_outage(world):
    first = world.leader()
    for daemon in world.daemons:
        daemon.table.out = True
    world.run(1.0)
    first.asleep = True
    outage(world, 3.0)
    world.run(5.0)
    assert world.leader() is not None


def test_workers_that_answer_take_work_while_their_entries_are_not_back(world):
    leader = world.leader()
    outage(world, 4.5)
    workers = leader.directory.workers
    leader.directory.workers = list
    world.submit("a" * 16)
    world.run(1.5)
    assert world.state("a" * 16) == "completed"
    world.run(3.0)
    assert not leader.chief._term.scheduler.sites
    leader.directory.workers = workers
    world.submit("b" * 16)
    world.run(2.0)
    assert world.state("b" * 16) == "completed"


class FasterRivals:
    def are_faster(self):
        return True

    def patience_s(self):
        return 0.8


def test_a_slow_holder_hands_the_lease_to_a_faster_daemon_once():
    world = World(1)
    world.run(1.0)
    slow = world.leader()
    (fast,) = (one for one in world.daemons if one is not slow)
    slow.chief._rivals = FasterRivals()
    world.run(2.0)
    assert world.leader() is fast
    assert not slow.chief.leads


def test_a_slow_holder_goes_on_if_no_faster_daemon_takes_the_lease():
    world = World(1)
    world.run(1.0)
    slow = world.leader()
    for one in world.daemons:
        one.asleep = one is not slow
    slow.chief._rivals = FasterRivals()
    world.run(4.0)
    assert slow.chief.leads
    epoch = slow.leases.epoch("scheduler")
    world.run(4.0)
    assert slow.leases.epoch("scheduler") == epoch


def silence(world, names):
    for name in names:
        world.farm.workers[name].reachable = False


def test_a_wait_for_a_silent_worker_goes_on_at_the_next_take_over(world):
    world.submit("a" * 16, (lasting(1),), spec="100000")
    world.run(2.0)
    (lost,) = {one.worker for one in world.farm.history}
    world.farm.crash(lost)
    entries = world.farm.entries
    world.farm.entries = lambda: [one for one in entries() if one.id != lost]
    at = world.clock.now
    for _ in range(4):
        world.leader().boot()
        world.run(4.0)
    again = [one.begun for one in world.farm.history if one.begun > at]
    assert len(again) == 1
    # The first successor's 9 s, with margins for clocks and rounds.
    assert max(again) < at + 11.0
    assert not world.judge()


def test_a_worker_on_record_as_silent_is_extended_only_once_it_is_off_the_record(world):
    world.submit("a" * 16, (lasting(1),), spec="100000")
    world.run(2.0)
    (worker,) = {one.worker for one in world.farm.history}
    silence(world, [worker])
    world.leader().boot()
    world.run(3.5)
    (life,) = world.leader().store.silences()
    sites = world.leader().chief._term.scheduler.sites.values()
    (site,) = (one for one in sites if one.tasks)
    assert life == site.life
    assert site.held_back
    world.farm.workers[worker].reachable = True
    world.leader().table.script = ["dropped"] * 1000
    world.run(0.3)
    assert site.contacted_at
    assert site.held_back
    world.leader().table.script = []
    world.run(2.0)
    assert world.leader().store.silences() == {}
    assert not site.held_back
    world.run(20.0)
    assert len(world.farm.history) == 1
    assert not world.judge()
