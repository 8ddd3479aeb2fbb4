"""Size each service's pool of machines to its demand by moves to and from standby."""

import logging
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import asdict, dataclass, field
from typing import Protocol

from gypsumplank.coordination.job.demand import Demand, floors, machines_for, open_rooms
from gypsumplank.coordination.job.machine import MachineDesk
from gypsumplank.coordination.job.model import Job
from gypsumplank.coordination.job.scheduler import Scheduler
from gypsumplank.coordination.job.site import MISSES_OUT, Site
from gypsumplank.errors import MachineError, MachineRefusedError, StateError
from gypsumplank.log import Event, event
from gypsumplank.protocol.job import Room
from gypsumplank.protocol.queue import MachineState, Manifest
from gypsumplank.protocol.worker import WorkerState

# Time after which a machine that was moved and has no worker counts no more, seconds.
ARRIVES_S = 4.0
# Time between rounds of planning, seconds.
PLAN_S = 0.2
# Pause before a machine whose move failed is moved again, seconds.
AGAIN_S = 3.0
# Time between log lines about one pool, seconds.
TELL_S = 1.0
# Pause before the pools' first sizes are asked for again, seconds.
SIZES_AGAIN_S = 1.0

logger = logging.getLogger(__name__)


class SizeStore(Protocol):
    """Keep how many machines each pool had at first; may raise StateError."""

    def first_sizes(self, present: Mapping[str, int]) -> dict[str, int]:
        """Return the first sizes; keep those that are not yet stored."""


@dataclass(frozen=True)
class Arriving:
    """Hold a machine on its way: to which pool, since when, and its last worker's life."""

    pool: str
    since: float
    life: str


@dataclass(frozen=True)
class PoolSize:
    """Hold how many machines a pool has or will have, asks for by its tasks, and keeps."""

    size: int
    asks: int
    keeps: int


@dataclass(frozen=True)
class Balance:
    """Hold counts of machines by pool in one round of planning.

    `asks` is what the open tasks need beyond what the pool has, `lacks` what it is short of, also
    to what it keeps at least, `spare` what it can do without, and `lent` what it can lend.
    """

    asks: dict[str, int] = field(default_factory=dict)
    lacks: dict[str, int] = field(default_factory=dict)
    spare: dict[str, int] = field(default_factory=dict)
    lent: dict[str, int] = field(default_factory=dict)

    def gain(self, pool: str, count: int) -> None:
        """Note that a pool gets machines, or gives some where the count is below 0."""
        self.asks[pool] -= count
        self.lacks[pool] -= count
        self.spare[pool] += count
        self.lent[pool] += count

    def givers(self, taker: str) -> list[str]:
        """Return the pools that can give a machine, those with the most to spare first."""
        others = [pool for pool in self.spare if pool != taker]
        spare = [pool for pool in others if self.spare[pool] > 0]
        spare.sort(key=lambda pool: -self.spare[pool])
        lenders = [pool for pool in others if self.lent[pool] > 0 and self.asks[taker] > 0]
        lenders.sort(key=lambda pool: -self.lent[pool])
        return spare + lenders


class Pools:
    """Decide on moves; used by the scheduler's thread only."""

    def __init__(self, desk: MachineDesk, sizes: SizeStore) -> None:
        self._desk = desk
        self._sizes = sizes
        self._demands: dict[str, Demand] = {}
        self._arriving: dict[str, Arriving] = {}
        self._leaving: dict[str, str] = {}
        self._not_before: dict[str, float] = {}
        self._due = 0.0
        self._sizes_due = 0.0
        self._told: dict[str, PoolSize] = {}
        self._tell_due = 0.0

    def clear(self) -> None:
        """Forget everything."""
        self._demands.clear()
        self._arriving.clear()
        self._leaving.clear()
        self._sizes_due = 0.0

    def act(self, scheduler: Scheduler, manifest: Manifest, now: float) -> None:
        """Plan from time to time, and move what is empty."""
        standby = next((one.name for one in manifest.services.values() if one.standby), None)
        if standby is None or now < self._due:
            return
        self._due = now + PLAN_S
        self._desk.refresh(now)
        services = {queue.service for queue in manifest.queues} - {standby}
        if not self._desk.listed or not self._desk.may_act(now):
            return
        if services - self._demands.keys():
            self._ask_sizes(services, now)
            return
        sites = scheduler.fleet.by_machine()
        members = {service: _members(service, sites) for service in services}
        self._measure(scheduler.workload.jobs.values(), members, now)
        self._note_arrived(sites, now)
        self._plan(members, standby, sites, now)
        self._move(scheduler, sites, now)

    def _ask_sizes(self, services: set[str], now: float) -> None:
        if now < self._sizes_due:
            return
        self._sizes_due = now + SIZES_AGAIN_S
        pools = [one.pool for one in self._desk.listed.values()]
        present = {service: pools.count(service) for service in services}

        def ask() -> None:
            try:
                sizes = self._sizes.first_sizes(present)
            except StateError as exc:
                event(logger, Event.STATE_UNAVAILABLE, logging.WARNING, code=exc.code, step="pools")
                return
            self._desk.post(lambda: self._sized({name: sizes[name] for name in present}))

        self._desk.tell(ask)

    def _sized(self, sizes: Mapping[str, int]) -> None:
        for service, size in sizes.items():
            self._demands.setdefault(service, Demand(size))

    def _measure(self, jobs: Iterable[Job], members: dict[str, list[Site]], now: float) -> None:
        jobs = list(jobs)
        anywhere = [site.entry.room for sites in members.values() for site in sites]
        for service, sites in members.items():
            rooms = [site.entry.room for site in sites] or anywhere
            if not rooms:
                return
            size = _least(rooms)
            total, passing = open_rooms(jobs, service)
            self._demands[service].update(
                machines_for(total, size), machines_for(passing, size), now
            )

    def _note_arrived(self, sites: dict[str, Site], now: float) -> None:
        for machine, arriving in list(self._arriving.items()):
            site = sites.get(machine)
            there = site is not None and site.life != arriving.life
            if there or now - arriving.since > ARRIVES_S:
                del self._arriving[machine]
                self._desk.reserved.discard(machine)

    def _plan(
        self, members: dict[str, list[Site]], standby: str, sites: dict[str, Site], now: float
    ) -> None:
        balance = self._balance(members, sites, now)
        for name, found in members.items():
            balance.gain(name, self._recall(found, balance.lacks[name]))
        idle = self._standby(standby, now)
        for name in sorted(members, key=lambda one: (-balance.asks[one], one)):
            while balance.lacks[name] > 0:
                if idle:
                    self._leave(idle.pop(), name)
                elif not self._give(members, balance, name, now):
                    break
                balance.gain(name, 1)
        for name, found in members.items():
            for machine in self._idle(found, now)[: max(0, balance.spare[name])]:
                self._leave(machine, standby)

    def _balance(
        self, members: dict[str, list[Site]], sites: dict[str, Site], now: float
    ) -> Balance:
        kept = floors(self._demands, now)
        balance = Balance()
        for name, found in members.items():
            demand = self._demands[name]
            count = self._count(name, found, sites)
            balance.asks[name] = demand.present - count
            balance.lacks[name] = max(kept[name], demand.present) - count
            balance.spare[name] = count - max(kept[name], demand.level)
            balance.lent[name] = 0 if demand.is_busy(now) else count - demand.low
        self._tell(balance, kept, now)
        return balance

    def _tell(self, balance: Balance, kept: Mapping[str, int], now: float) -> None:
        """Log the pools that have changed, each at most once in a while."""
        if now < self._tell_due:
            return
        self._tell_due = now + TELL_S
        for name, demand in self._demands.items():
            size = PoolSize(demand.present - balance.asks.get(name, 0), demand.present, kept[name])
            if name in balance.asks and self._told.get(name) != size:
                self._told[name] = size
                event(logger, Event.POOL_CHANGED, pool=name, **asdict(size))

    def _leave(self, machine: str, pool: str) -> None:
        """Have a machine moved once it is empty; until then it is nobody else's."""
        self._leaving[machine] = pool
        self._desk.reserved.add(machine)

    def _stay(self, site: Site) -> None:
        del self._leaving[site.entry.machine]
        self._desk.reserved.discard(site.entry.machine)
        site.leaving = False

    def _recall(self, members: list[Site], most: int) -> int:
        """Keep machines that were about to leave a pool; return how many."""
        leaving = [one for one in members if one.entry.machine in self._leaving]
        kept = leaving[: max(0, most)]
        for site in kept:
            self._stay(site)
        return len(kept)

    def _give(
        self, members: dict[str, list[Site]], balance: Balance, taker: str, now: float
    ) -> bool:
        """Have a pool give a machine that it can spare, or lend one while it is not busy."""
        for giver in balance.givers(taker):
            idle = self._idle(members[giver], now)
            if idle:
                balance.gain(giver, -1)
                self._leave(idle[0], taker)
                return True
        return False

    def _standby(self, standby: str, now: float) -> list[str]:
        return [
            one.name
            for one in self._desk.listed.values()
            if one.pool == standby
            and one.state is MachineState.UP
            and one.name not in self._arriving
            and self._is_free(one.name, now)
        ]

    def _is_free(self, machine: str, now: float) -> bool:
        taken = machine in self._desk.reserved or machine in self._desk.calling
        waits = now < self._not_before.get(machine, 0.0) or not self._desk.is_free(machine, now)
        return not (taken or waits or machine in self._leaving)

    def _count(self, service: str, members: list[Site], sites: dict[str, Site]) -> int:
        """Return how many machines a pool has, or will have once all orders are done."""
        leaving = sum(1 for site in members if site.entry.machine in self._leaving)
        arriving = sum(1 for one in self._arriving.values() if one.pool == service)
        coming = sum(1 for pool in self._leaving.values() if pool == service)
        upkeep = sum(
            1
            for one in self._desk.listed.values()
            if one.pool == service
            and one.state is MachineState.UPKEEP
            and one.name not in sites
            and one.name not in self._arriving
        )
        return len(members) - leaving + arriving + coming + upkeep

    def _idle(self, members: list[Site], now: float) -> list[str]:
        """Return the machines that can be emptied, those with the least loss first."""
        idle = [
            site
            for site in members
            if self._is_free(site.entry.machine, now)
            and not any(task.step.order.lasting for task in site.tasks.values())
        ]
        idle.sort(key=lambda site: site.used().cpu)
        return [site.entry.machine for site in idle]

    def _move(self, scheduler: Scheduler, sites: dict[str, Site], now: float) -> None:
        for machine, pool in list(self._leaving.items()):
            site = sites.get(machine)
            if site is not None:
                site.leaving = True
                if any(task.step.order.lasting for task in site.tasks.values()):
                    self._stay(site)
                    continue
            if site is None or not site.tasks:
                del self._leaving[machine]
                self._order(scheduler, machine, pool, site)

    def _order(self, scheduler: Scheduler, machine: str, pool: str, site: Site | None) -> None:
        now = scheduler.now()
        life = site.life if site is not None else ""
        self._arriving[machine] = Arriving(pool, now, life)
        self._desk.reserved.add(machine)
        demand = self._demands[pool].level if pool in self._demands else 0
        event(
            logger,
            Event.MACHINE_MOVED,
            machine=machine,
            pool=pool,
            worker=life,
            demand=demand,
        )
        self._desk.move(
            machine, pool, lambda failure: self._moved(scheduler, machine, site, failure)
        )

    def _moved(
        self, scheduler: Scheduler, machine: str, site: Site | None, failure: MachineError | None
    ) -> None:
        if failure is None:
            if site is not None:
                scheduler.fleet.end(site)
            return
        self._not_before[machine] = scheduler.now() + AGAIN_S
        if isinstance(failure, MachineRefusedError):
            self._arriving.pop(machine, None)
            self._desk.reserved.discard(machine)
        if site is not None:
            site.leaving = False


def _least(rooms: Sequence[Room]) -> Room:
    return Room(
        min(room.cpu for room in rooms),
        min(room.memory_mb for room in rooms),
        min(room.accelerators for room in rooms),
    )


def _members(service: str, sites: dict[str, Site]) -> list[Site]:
    return [
        site
        for site in sites.values()
        if site.entry.service == service
        and site.listed
        and not site.gone
        and site.missed < MISSES_OUT
        and site.entry.state is WorkerState.READY
    ]
