"""Join several daemons' fleet parts over one in-memory table service with faults."""

import random

from gypsumplank.coordination.budget import check_assignments, check_budgets
from gypsumplank.coordination.controller import Controller, Stores
from gypsumplank.coordination.desk import FleetDesk, Sources
from gypsumplank.coordination.endpoint import MemoryEndpointClient
from gypsumplank.coordination.heartbeat import Heartbeat
from gypsumplank.coordination.lease import Leases
from gypsumplank.coordination.roster import Roster
from gypsumplank.coordination.signals import Signals
from gypsumplank.coordination.usage import HostUsage
from gypsumplank.coordination.witness import Witness
from gypsumplank.errors import StateError, StateUnavailableError, StateUnknownError
from gypsumplank.protocol.exchange import Answer, Request
from gypsumplank.protocol.record import Kind, Record
from gypsumplank.state.clock import ManualClock
from gypsumplank.state.config import Change, ConfigStore
from gypsumplank.state.lease import LeaseStore
from gypsumplank.state.membership import Member, MemoryMembership
from gypsumplank.state.session import Session, SessionStore
from gypsumplank.state.table import MemoryTable
from gypsumplank.state.validation import check_records
from gypsumplank.state.view import View, ViewHolder
from gypsumplank.state.wave import WaveStore

LEASE_S = 5.0
MARGIN_S = 2.0
GUARDS = (check_records, check_assignments, check_budgets)
ZONES = ("za", "zb", "zc")


def record(kind, name, **spec):
    return Record(Kind(kind), name, 2, spec)


def address_of(pool, number):
    return f"10.0.{ord(pool[0])}.{number + 1}:80"


def host_record(pool, number, zones=ZONES, **more):
    zone = zones[number % len(zones)]
    spec = {"address": address_of(pool, number), "pool": pool, "zone": zone, "rack": f"{zone}-0"}
    return record("host", f"{pool}-{number}", **{**spec, **more})


def pool_records(pool, hosts=6, spare=False, **budget):
    return (
        record("pool", pool, budget=budget, spare=spare),
        record("service", pool, pool=pool),
        *(host_record(pool, number) for number in range(hosts)),
    )


class OffsetClock:
    def __init__(self, base, offset):
        self.base, self.offset = base, offset

    def monotonic(self):
        return self.base.monotonic() + self.offset

    def wall(self):
        return self.base.wall() + self.offset


class FaultyTable:
    """One daemon's way to the table: out, losing answers, or interleaved with another's work."""

    def __init__(self, table):
        self.table = table
        self.out = False
        self.lose = 0
        self.before_commit = None

    def _check(self):
        if self.out:
            raise StateUnavailableError

    def get(self, table, key):
        self._check()
        return self.table.get(table, key)

    def scan(self, table, prefix="", after="", limit=1000):
        self._check()
        return self.table.scan(table, prefix, after, limit)

    def commit(self, txn):
        self._check()
        hook, self.before_commit = self.before_commit, None
        if hook:
            hook()
        version = self.table.commit(txn)
        if self.lose:
            self.lose -= 1
            raise StateUnknownError
        return version


class Node:
    def __init__(self, name, table, clock, membership, flooded=lambda pool: False):
        self.name, self.clock, self.membership, self.flooded = name, clock, membership, flooded
        self.table = FaultyTable(table)
        self.ejected = set()
        self.boot()

    def boot(self):
        table, clock = self.table, self.clock
        self.holder = ViewHolder()
        self.config = ConfigStore(table, clock, GUARDS, random.Random(1), lambda seconds: None)
        self.stores = Stores(self.config, SessionStore(table), WaveStore(table))
        self.heartbeat = Heartbeat(
            SessionStore(table),
            clock,
            Session(self.name, 0, "za", "", "", "", 0, 0.0),
            LEASE_S,
            lambda: self.holder.current.revision,
            self.leaving,
        )
        view = lambda: self.holder.current  # noqa: E731
        self.roster = Roster(self.membership, clock, lambda: view().hosts)
        self.usage = HostUsage(
            MemoryEndpointClient(lambda address, req: Answer(200, (), b"")),
            view,
            lambda: not self.heartbeat.held,
            self.roster.heard,
        )
        self.leases = Leases(LeaseStore(table), clock, self.name, LEASE_S)
        self.witness = Witness(clock, LEASE_S, MARGIN_S)
        signals = Signals(
            self.roster, lambda: self.roster.failed() | frozenset(self.ejected), self.flooded
        )
        self.controller = Controller(
            self.stores,
            self.holder,
            self.leases,
            self.witness,
            signals,
            clock,
        )
        sources = Sources(self.holder, self.leases, self.controller, signals)
        self.desk = FleetDesk(self.stores, sources, clock, self.refresh)

    def leaving(self):
        return self.usage.leaving()

    def refresh(self):
        try:
            view = self.config.refresh(self.holder.current)
        except StateError:
            return
        if view is not self.holder.current:
            self.holder.advance(view)

    def tick(self):
        self.refresh()
        self.heartbeat.tick()
        self.roster.tick()
        self.controller.tick()

    def enter(self, service, host):
        req = Request("r", service, "POST", "/", 1e9)
        return self.usage.enter(self.holder.current.hosts[host].address, req)


class Fleet:
    def __init__(self, records, nodes=2, offsets=(0.0, 3.0, -2.0), flooded=lambda pool: False):
        self.clock = ManualClock(1000.0)
        self.table = MemoryTable()
        self.store = ConfigStore(self.table, self.clock, GUARDS)
        self.store.accept(Change("boot", tuple(records)))
        hosts = [rec.name for rec in records if rec.kind is Kind.HOST]
        self.membership = MemoryMembership(Member(host) for host in hosts)
        self.nodes = [
            Node(f"n{i}", self.table, OffsetClock(self.clock, offsets[i]), self.membership, flooded)
            for i in range(nodes)
        ]
        self._view = View()
        self.rng = random.Random(7)

    @property
    def view(self):
        self._view = self.store.refresh(self._view)
        return self._view

    def state(self, host):
        return self.view.assignment(host).state.value

    def run(self, seconds, step_s=1.0):
        until = self.clock.now + seconds
        while self.clock.now < until:
            self.clock.advance(step_s)
            for node in self.nodes:
                node.tick()

    def run_until(self, condition, bound_s=600.0):
        until = self.clock.now + bound_s
        while not condition():
            assert self.clock.now < until, "bound passed"
            self.run(1.0)
