"""Run the fleet control of several daemons in one process over an in-memory table with faults."""

import random
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any

from gypsumplank.coordination.budget import check_assignments, check_budgets
from gypsumplank.coordination.controller import Controller, Stores
from gypsumplank.coordination.daemontracker import DaemonTracker
from gypsumplank.coordination.endpoint import MemoryEndpointClient
from gypsumplank.coordination.failure import HostFailureDetector
from gypsumplank.coordination.fleet import FleetService, ReportSources
from gypsumplank.coordination.heartbeat import Heartbeat
from gypsumplank.coordination.lease import LeaseManager
from gypsumplank.coordination.signals import HostSignals
from gypsumplank.coordination.usage import ServingHostClient
from gypsumplank.errors import StateError, StateUnavailableError, StateUnknownError
from gypsumplank.protocol.exchange import EndpointResponse, Request
from gypsumplank.protocol.record import Kind, Record
from gypsumplank.state.clock import Clock, ManualClock
from gypsumplank.state.config import Change, ConfigStore
from gypsumplank.state.lease import LeaseStore
from gypsumplank.state.membership import Member, Membership, MemoryMembership
from gypsumplank.state.session import Session, SessionStore
from gypsumplank.state.table import SCAN_LIMIT, MemoryTable, Row, Table, Txn
from gypsumplank.state.validation import check_records
from gypsumplank.state.view import CurrentView, View
from gypsumplank.state.wave import WaveStore

LEASE_S = 5.0
LEASE_MARGIN_S = 2.0
VALIDATORS = (check_records, check_assignments, check_budgets)
ZONES = ("za", "zb", "zc")
MAX_RECORDS_PER_CHANGE = 400
CLOCK_OFFSETS_S = (0.0, 3.0, -2.0)


def record(kind: str, name: str, **spec: Any) -> Record:
    """Return a record in schema version 2, the newest."""
    return Record(Kind(kind), name, 2, spec)


def address_of(pool: str, number: int) -> str:
    """Return the address of a pool's host."""
    return f"10.0.{ord(pool[0])}.{number + 1}:80"


def host_record(pool: str, number: int, **more: Any) -> Record:
    """Return the record of a pool's host; hosts are spread round-robin over `ZONES`."""
    zone = ZONES[number % len(ZONES)]
    spec = {"address": address_of(pool, number), "pool": pool, "zone": zone, "rack": f"{zone}-0"}
    return record("host", f"{pool}-{number}", **{**spec, **more})


def pool_records(pool: str, hosts: int = 6, **budget: Any) -> tuple[Record, ...]:
    """Return the records of a pool, its service and its hosts."""
    return (
        record("pool", pool, budget=budget),
        record("service", pool, pool=pool),
        *(host_record(pool, number) for number in range(hosts)),
    )


class OffsetClock:
    """Represent a clock with a constant offset in seconds from another one."""

    def __init__(self, base: Clock, offset_s: float) -> None:
        self.base, self.offset_s = base, offset_s

    def monotonic(self) -> float:
        """Return the shifted monotonic time in seconds."""
        return self.base.monotonic() + self.offset_s

    def wall(self) -> float:
        """Return the shifted wall-clock time in seconds."""
        return self.base.wall() + self.offset_s


class FaultyTable:
    """Wrap a table with the faults that one daemon sees.

    While `unavailable` is set, every call raises StateUnavailableError. The next `lost_responses`
    commits are applied but raise StateUnknownError. `before_commit` runs once, before the next
    commit, to interleave the calls of another daemon.
    """

    def __init__(self, table: Table) -> None:
        self.table = table
        self.unavailable = False
        self.lost_responses = 0
        self.before_commit: Callable[[], None] | None = None

    def _check(self) -> None:
        if self.unavailable:
            raise StateUnavailableError

    def get(self, table: str, key: str) -> Row | None:
        """Return one row."""
        self._check()
        return self.table.get(table, key)

    def scan(
        self, table: str, prefix: str = "", after: str = "", limit: int = SCAN_LIMIT
    ) -> list[Row]:
        """Return rows in key order."""
        self._check()
        return self.table.scan(table, prefix, after, limit)

    def commit(self, txn: Txn) -> int:
        """Run `before_commit`, then apply a transaction and return its version."""
        self._check()
        hook, self.before_commit = self.before_commit, None
        if hook:
            hook()
        version = self.table.commit(txn)
        if self.lost_responses:
            self.lost_responses -= 1
            raise StateUnknownError
        return version


class SimulatedDaemon:
    """Represent one daemon's fleet control, whose periodic work runs in `tick`."""

    def __init__(
        self,
        name: str,
        table: Table,
        clock: Clock,
        membership: Membership,
        flooded: Callable[[str], bool],
    ) -> None:
        self.name, self.clock, self.membership, self.flooded = name, clock, membership, flooded
        self.table = FaultyTable(table)
        self.ejected: set[str] = set()
        self.restart()

    def restart(self) -> None:
        """Restart with no state except what is stored in the table."""
        table, clock = self.table, self.clock
        self.current_view = CurrentView()
        self.config = ConfigStore(table, clock, VALIDATORS, random.Random(1), lambda seconds: None)
        self.stores = Stores(self.config, SessionStore(table), WaveStore(table))
        self.heartbeat = Heartbeat(
            SessionStore(table),
            clock,
            Session(self.name, 0, "za", "", "", "", 0, 0.0),
            LEASE_S,
            lambda: self.current_view.view.revision,
            self.leaving,
        )
        view = lambda: self.current_view.view  # noqa: E731
        self.failure_detector = HostFailureDetector(self.membership, clock, lambda: view().hosts)
        self.usage = ServingHostClient(
            MemoryEndpointClient(lambda address, req: EndpointResponse(200, (), b"")),
            view,
            lambda: not self.heartbeat.lease_valid,
            self.failure_detector.record_result,
        )
        self.leases = LeaseManager(LeaseStore(table), clock, self.name, LEASE_S)
        self.daemon_tracker = DaemonTracker(clock, LEASE_S, LEASE_MARGIN_S)
        signals = HostSignals(
            self.failure_detector,
            lambda: self.failure_detector.failed() | frozenset(self.ejected),
            self.flooded,
        )
        self.controller = Controller(
            self.stores,
            self.current_view,
            self.leases,
            self.daemon_tracker,
            signals,
            clock,
        )
        sources = ReportSources(self.current_view, self.leases, self.controller, signals)
        self.fleet_service = FleetService(self.stores, sources, clock, self.refresh)

    def leaving(self) -> Mapping[str, int]:
        """Return the number of requests in flight per host that no longer serves."""
        return self.usage.in_flight_at_leaving_hosts()

    def refresh(self) -> None:
        """Activate the newest configuration; keep the current one if the table fails."""
        try:
            view = self.config.refresh(self.current_view.view)
        except StateError:
            return
        if view is not self.current_view.view:
            self.current_view.replace(view)

    def tick(self) -> None:
        """Run all periodic work once."""
        self.refresh()
        self.heartbeat.tick()
        self.failure_detector.tick()
        self.controller.tick()

    def start_request(self, service: str, host: str) -> str:
        """Start a request at a host; raise EndpointLeavingError if the host is draining."""
        req = Request("r", service, "POST", "/", 1e9)
        return self.usage.begin_request(self.current_view.view.hosts[host].address, req)


class Fleet:
    """Run several daemons over one table, one simulated clock and one membership list."""

    def __init__(
        self,
        records: Iterable[Record],
        nodes: int = 2,
        offsets: Sequence[float] = CLOCK_OFFSETS_S,
        flooded: Callable[[str], bool] = lambda pool: False,
    ) -> None:
        all_records = tuple(records)
        self.clock = ManualClock(1000.0)
        self.table = MemoryTable()
        self.store = ConfigStore(self.table, self.clock, VALIDATORS)
        for start in range(0, len(all_records), MAX_RECORDS_PER_CHANGE):
            self.store.accept(
                Change(f"boot-{start}", all_records[start : start + MAX_RECORDS_PER_CHANGE])
            )
        hosts = [rec.name for rec in all_records if rec.kind is Kind.HOST]
        self.membership = MemoryMembership(Member(host) for host in hosts)
        self.nodes = [
            SimulatedDaemon(
                f"n{i}", self.table, OffsetClock(self.clock, offsets[i]), self.membership, flooded
            )
            for i in range(nodes)
        ]
        self._view = View()

    @property
    def view(self) -> View:
        """Return the newest accepted view."""
        self._view = self.store.refresh(self._view)
        return self._view

    def state(self, host: str) -> str:
        """Return the newest accepted state of a host."""
        return self.view.assignment(host).state.value

    def run(self, seconds: float, step_s: float = 1.0) -> None:
        """Advance the clock by `seconds` in steps of `step_s` and tick all daemons at each step."""
        deadline = self.clock.now + seconds
        while self.clock.now < deadline:
            self.clock.advance(step_s)
            for node in self.nodes:
                node.tick()

    def run_until(self, condition: Callable[[], bool], timeout_s: float = 600.0) -> None:
        """Run until a condition is true; raise TimeoutError after `timeout_s` simulated seconds."""
        deadline = self.clock.now + timeout_s
        while not condition():
            if self.clock.now >= deadline:
                raise TimeoutError
            self.run(1.0)
