"""Play daemons, workers and the table service in simulated time, step by step."""

import random
from dataclasses import replace

from gypsumplank.coordination.job.chief import Chief
from gypsumplank.coordination.job.desk import JobDesk
from gypsumplank.coordination.job.machine import MachineDesk
from gypsumplank.coordination.job.pool import Pools
from gypsumplank.coordination.job.settle import Heard
from gypsumplank.coordination.job.survey import Sighted
from gypsumplank.coordination.job.term import Care, Ports
from gypsumplank.coordination.job.upkeep import Upkeep
from gypsumplank.coordination.lease import Leases
from gypsumplank.errors import GypsumplankError, StateError, WorkerError
from gypsumplank.protocol.job import JobOrder, Room, StepOrder
from gypsumplank.protocol.queue import Machine, MachineState, Manifest, Queue, ServicePolicy
from gypsumplank.state.clock import ManualClock
from gypsumplank.state.feed import MemoryFeedTable
from gypsumplank.state.job import JobStore
from gypsumplank.state.lease import LeaseStore
from gypsumplank.state.machine import MachineOrders
from standins.farm import Farm
from standins.judge import judge
from tests.faulty import FaultyTable

STEP_S = 0.05
LEASE_S = 6.0
SERVICE = "desk"
STANDBY = "spare"
QUEUE = Queue("proofs", "h.example", "/p/", SERVICE, 0, 3, 1.5, 600)
MANIFEST = Manifest(1, (QUEUE,), {SERVICE: ServicePolicy(SERVICE)})
ROOM = Room(8000, 8000)

CHAIN = (
    StepOrder(2, Room(1000, 100), 500),
    StepOrder(3, Room(2000, 100), 500, after=(0,)),
)
CHAIN_ORDER = JobOrder("0.5", CHAIN)


class StepCourier:
    """Carry orders at once and look at every worker once a step."""

    def __init__(self, control, clock, post, token, may_extend, heard):
        self.control, self.clock, self.post = control, clock, post
        self.token, self.may_extend, self.heard = token, may_extend, heard
        self.sites = []

    def attach(self, site):
        self.sites.append(site)

    def detach(self, site):
        site.gone = True
        self.sites = [one for one in self.sites if one is not site]

    def close(self):
        self.sites = []

    def start(self, site, order, outcome):
        def send():
            until_ms = site.covers(self.clock.monotonic(), LEASE_S)
            site.clock.learn(
                self.control.start(site.entry, order(until_ms)), self.clock.monotonic()
            )

        self._send(site, send, outcome)

    def stop(self, site, name, run, outcome):
        self._send(site, lambda: self.control.stop(site.entry, name, run, self.token), outcome)

    def pace(self, site, name, run, percent, outcome):
        self._send(
            site, lambda: self.control.pace(site.entry, name, run, percent, self.token), outcome
        )

    def _send(self, site, work, outcome):
        failure = None
        try:
            work()
        except WorkerError as exc:
            failure = exc
        at = self.clock.monotonic()
        self.post(lambda: outcome(failure, at))

    def look(self, *only):
        for site in only or list(self.sites):
            now = self.clock.monotonic()
            wants = site.tasks and not site.missed and not site.held_back
            extends = wants and self.may_extend()
            until_ms = site.covers(now, LEASE_S) if extends else None
            try:
                report = self.control.hold(site.entry, self.token, until_ms, site.acked, 0.0)
            except WorkerError:
                site.missed += 1
                continue
            site.clock.learn(report.clock_ms, now)
            heard = Heard(report, now, now)
            self.post(lambda site=site, heard=heard: self.heard(site, heard))


class StepCrew:
    """Make couriers that the world steps."""

    def __init__(self, control, clock):
        self.control, self.clock = control, clock
        self.made = None
        self.sighted = None

    def courier(self, token, post, may_extend, heard):
        self.made = StepCourier(self.control, self.clock, post, token, may_extend, heard)
        return self.made

    def watches(self, after, sighted, ordered):
        self.sighted = sighted
        return ()


class FarmDirectory:
    """Tell the farm's workers and the fixed manifest."""

    def __init__(self, farm, waves=()):
        self.farm = farm
        self.open_waves = waves
        self.told = {}

    def manifest(self):
        return MANIFEST

    def workers(self):
        return self.farm.entries()

    def waves(self):
        return self.open_waves

    def completed_waves(self):
        return frozenset(number for number, done in self.told.items() if done)

    def report_wave(self, number, completed):
        self.told[number] = completed


class FarmMachines:
    """Let machines have upkeep and move; the worker ends, another comes after a while."""

    def __init__(self, world):
        self.world = world
        self.off = {}
        self.away = {}
        self.orders = []
        self.serviced = set()
        self.most_down = 0
        self.count = 0

    def all(self):
        farm = self.world.farm
        up = [
            Machine(one.entry.machine, one.entry.service, MachineState.UP, "z", one.entry.id)
            for one in farm.workers.values()
            if one.up
        ]
        gone = [Machine(name, pool, state, "z", "") for name, (_, pool, state) in self.away.items()]
        return [
            *up,
            *gone,
            *(Machine(name, STANDBY, MachineState.UP, "z", "") for name in self.off),
        ]

    def upkeep(self, machine, wave, holder, token):
        if (wave, machine) in self.serviced:
            return
        self.serviced.add((wave, machine))
        pool = STANDBY if machine in self.off else self._leave(machine)
        self.off.pop(machine, None)
        self._send(machine, pool, ("upkeep", wave, token), 2.0)
        down = {one[1] for one in self.orders if one[0] == "upkeep" and one[1] in self.away}
        self.most_down = max(self.most_down, len(down))

    def move(self, machine, pool, holder, token):
        if machine in self.off:
            del self.off[machine]
        else:
            self._leave(machine)
        self._send(machine, pool, ("move", pool, token), 1.5)

    def _leave(self, machine):
        farm = self.world.farm
        (worker,) = (
            one for one in farm.workers.values() if one.entry.machine == machine and one.up
        )
        farm.crash(worker.entry.id)
        del farm.workers[worker.entry.id]
        return worker.entry.service

    def _send(self, machine, pool, order, seconds):
        state = MachineState.MOVING if order[0] == "move" else MachineState.UPKEEP
        self.away[machine] = (self.world.clock.now + seconds, pool, state)
        self.orders.append((order[0], machine, *order[1:], self.world.clock.now))

    def step(self):
        for machine, (at, pool, _) in list(self.away.items()):
            if self.world.clock.now >= at:
                del self.away[machine]
                if pool == STANDBY:
                    self.off[machine] = True
                    continue
                self.count += 1
                self.world.farm.add(f"n{self.count}", pool, ROOM, machine)


class _AtOnce:
    """Run calls about machines where they are made."""

    @classmethod
    def start(cls):
        return cls()

    def tell(self, work):
        work()

    def stop(self, block):
        pass


class Daemon:
    """Hold one daemon's chief, desk and own view of the table service."""

    def __init__(self, world, name):
        self.world, self.name = world, name
        self.table = FaultyTable(world.table)
        self.boot()

    def boot(self):
        world = self.world
        self.asleep = False
        store = JobStore(self.table)
        self.crew = StepCrew(world.farm, world.clock)
        self.leases = Leases(LeaseStore(self.table), world.clock, self.name, 2.0, 0.1)
        self.directory = FarmDirectory(world.farm, world.waves)
        desk = MachineDesk(
            world.machines,
            self.name,
            lambda: 3.0,
            lambda: True,
            lambda work: self.chief.post(work),  # noqa: PLW0108
            MachineOrders(self.table, lambda: int(world.clock.now * 1000)),
            _AtOnce,
        )
        care = Care(desk, Upkeep(self.directory, desk), Pools(desk, store))
        ports = Ports(
            store,
            None,
            self.directory,
            world.farm,
            self.leases,
            store_ms=lambda: int(world.clock.now * 1000),
        )
        self.chief = Chief(
            ports, world.clock, lambda: world.manifest, lambda: LEASE_S, care, self.crew
        )
        self.store = store
        self.desk = JobDesk(store, world.clock, lambda: MANIFEST)

    def step(self):
        if self.asleep:
            return
        try:
            if self.chief.leads:
                self._survey()
                self.crew.made.look()
            self.chief.turn(0.0)
        except GypsumplankError:
            pass

    def _survey(self):
        try:
            sighted = Sighted(
                tuple(self.directory.workers()),
                frozenset(self.store.all_pending()),
                frozenset(self.store.cancels()),
            )
        except StateError:
            return
        self.crew.sighted(sighted)


class World:
    """Hold everything, and judge what the workers have seen."""

    def __init__(self, seed, daemons=2, workers=3):
        self.rng = random.Random(seed)
        self.clock = ManualClock(100.0)
        self.table = MemoryFeedTable()
        self.farm = Farm(self.rng)
        self.farm.now = self.clock.now
        for index in range(workers):
            self.farm.add(f"w{index}", SERVICE, ROOM)
        self.machines = FarmMachines(self)
        self.waves = []
        self.told = {}
        self.manifest = MANIFEST
        self.daemons = [Daemon(self, f"d{index}") for index in range(daemons)]
        self.submitted = {}

    def run(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)
            self.farm.advance(STEP_S)
            self.machines.step()
            for daemon in self.daemons:
                daemon.step()

    def submit(self, job_id, steps=None, spec="0.5", daemon=0):
        order = JobOrder(spec, steps or (StepOrder(2, Room(1000, 100), 500),))
        self.submitted[job_id] = order
        return self.daemons[daemon].desk.submit(QUEUE, job_id, order, 0.0)

    def state(self, job_id):
        return JobStore(self.table).state(job_id)[0].state.value

    def leader(self):
        return next((one for one in self.daemons if one.chief.leads and not one.asleep), None)

    def judge(self):
        """Return what the rules forbid."""
        return judge(self.farm.history, self.submitted)


def lasting(tasks=2, may_miss=1):
    return replace(StepOrder(tasks, Room(1000, 100)), lasting=True, may_miss=may_miss)
