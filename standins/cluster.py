"""Simulate a cluster of daemons, workers and the store in virtual time, step by step."""

import random
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import replace
from typing import Any

from gypsumplank.coordination.job.accounts import AccountLimits, Accounts
from gypsumplank.coordination.job.dispatcher import Post, ResultCallback
from gypsumplank.coordination.job.freshness import ConfirmedManifest
from gypsumplank.coordination.job.instance import VERIFIED_FOR_S, WorkerInstance
from gypsumplank.coordination.job.leader import SchedulerLeader
from gypsumplank.coordination.job.machine import MachineController
from gypsumplank.coordination.job.maintenance import MaintenancePlanner
from gypsumplank.coordination.job.observation import ReceivedReport
from gypsumplank.coordination.job.scaling import PoolScaler
from gypsumplank.coordination.job.submission import JobService
from gypsumplank.coordination.job.term import MachineManager, PlatformPorts
from gypsumplank.coordination.job.watch import StoreSnapshot
from gypsumplank.coordination.lease import LeaseManager
from gypsumplank.errors import (
    GypsumplankError,
    MachineError,
    MachineRefusedError,
    StateError,
    WorkerError,
    WorkerRefusedError,
)
from gypsumplank.protocol.account import Account
from gypsumplank.protocol.job import JobDefinition, Resources, StepDefinition, StoredJob
from gypsumplank.protocol.queue import (
    Machine,
    MachineState,
    MaintenanceWave,
    Manifest,
    Queue,
    ServicePolicy,
)
from gypsumplank.protocol.worker import StartCommand, StartRefusal, WorkerEntry
from gypsumplank.state.clock import ClockRange, ManualClock
from gypsumplank.state.job import JobStore
from gypsumplank.state.lease import LeaseStore
from gypsumplank.state.machine import MachineOrderLog
from standins.faulty import ScriptedFaultTable
from standins.limit import LimitedFeedTable
from standins.simulator import SimulatedWorkers
from standins.violations import CapChange, find_violations

STEP_S = 0.05
LEASE_S = 6.0
CONFIG_APPLY_S = 3.0
QUOTA_OVERAGE = 0.1
MANIFEST_READ_INTERVAL_S = 0.25
SERVICE = "desk"
STANDBY = "spare"
QUEUE = Queue("proofs", "h.example", "/p/", SERVICE, 0, 3, 1.5, 600)
MANIFEST = Manifest(1, (QUEUE,), {SERVICE: ServicePolicy(SERVICE)})
ROOM = Resources(8000, 8000)

CHAIN = (
    StepDefinition(2, Resources(1000, 100), 500),
    StepDefinition(3, Resources(2000, 100), 500, after=(0,)),
)
CHAIN_ORDER = JobDefinition("0.5", CHAIN)

OnReport = Callable[[WorkerInstance, ReceivedReport], None]
MakeOrder = Callable[[int], StartCommand | None]


class SteppedDispatcher:
    """Send commands immediately, and poll the workers once per step.

    Unless `polls_idle` is set, idle ones are left alone, as the real dispatcher does for 30 s.
    """

    def __init__(
        self,
        control: SimulatedWorkers,
        clock: ManualClock,
        post: Post,
        token: int,
        may_extend_leases: Callable[[], bool],
        on_report: OnReport,
        polls_idle: bool,
    ) -> None:
        self.polls_idle = polls_idle
        self.control, self.clock, self.post = control, clock, post
        self.token, self.may_extend_leases, self.on_report = token, may_extend_leases, on_report
        self.instances: list[WorkerInstance] = []

    def begin_term(self, instances: Iterable[WorkerInstance]) -> None:
        """Start polling the workers that are known at the beginning of the term."""
        for instance in instances:
            self.start_polling(instance)

    def start_polling(self, instance: WorkerInstance) -> None:
        """Poll a worker from now on."""
        self.instances.append(instance)

    def stop_polling(self, instance: WorkerInstance) -> None:
        """Stop polling a worker."""
        instance.detached = True
        self.instances = [other for other in self.instances if other is not instance]

    def close(self) -> None:
        """Stop polling all workers."""
        self.instances = []

    def start(
        self, instance: WorkerInstance, make_order: MakeOrder, on_result: ResultCallback
    ) -> None:
        """Start a task on a worker, as the real dispatcher does."""

        def send() -> None:
            self._verify(instance)
            if not self.may_extend_leases():
                raise WorkerRefusedError(StartRefusal.FENCED, "this leader's lease has expired")
            until_ms = instance.try_extend_leases(self.clock.monotonic(), LEASE_S)
            if until_ms is None:
                raise WorkerRefusedError(StartRefusal.UNREACHABLE, f"{instance.id} is silent")
            command = make_order(until_ms)
            if command is not None:
                clock_ms = self.control.start(instance.entry, command)
                instance.clock.observe(clock_ms, self.clock.monotonic())

        self._send(instance, send, on_result)

    def _verify(self, instance: WorkerInstance) -> None:
        now = self.clock.monotonic()
        if now - instance.last_contact_at <= VERIFIED_FOR_S:
            return
        try:
            report = self.control.poll(instance.entry, self.token, None, 0, 0.0)
        except WorkerError as exc:
            raise WorkerRefusedError(StartRefusal.UNREACHABLE, exc.detail) from exc
        received = ReceivedReport(report, now, now)
        self.post(lambda: self.on_report(instance, received))
        if report.born != instance.incarnation:
            raise WorkerRefusedError(StartRefusal.OTHER_INSTANCE, "started again")

    def stop(
        self, instance: WorkerInstance, name: str, run: int, on_result: ResultCallback
    ) -> None:
        """Stop a run on a worker."""
        self._send(
            instance, lambda: self.control.stop(instance.entry, name, run, self.token), on_result
        )

    def set_speed_limit(
        self, instance: WorkerInstance, name: str, run: int, percent: int, on_result: ResultCallback
    ) -> None:
        """Throttle a run."""
        self._send(
            instance,
            lambda: self.control.set_speed_limit(instance.entry, name, run, percent, self.token),
            on_result,
        )

    def _send(
        self, instance: WorkerInstance, work: Callable[[], None], on_result: ResultCallback
    ) -> None:
        failure = None
        try:
            work()
        except WorkerError as exc:
            failure = exc
        at = self.clock.monotonic()
        self.post(lambda: on_result(failure, at))

    def poll_now(self, *selected: WorkerInstance) -> None:
        """Poll these workers, or else all that are not idle."""
        for instance in selected or list(self.instances):
            now = self.clock.monotonic()
            is_idle = instance.last_contact_at and not (instance.missed_polls or instance.is_busy)
            if is_idle and not self.polls_idle and not selected:
                continue
            extend = instance.tasks and not instance.missed_polls and self.may_extend_leases()
            until_ms = instance.try_extend_leases(now, LEASE_S) if extend else None
            try:
                ack = instance.sendable_ack_cursor(now)
                report = self.control.poll(instance.entry, self.token, until_ms, ack, 0.0)
            except WorkerError:
                instance.missed_polls += 1
                continue
            if report.born == instance.incarnation:
                instance.clock.observe(report.clock_ms, now)
                instance.record_answer(now)
            received = ReceivedReport(report, now, now)
            self.post(
                lambda instance=instance, received=received: self.on_report(  # type: ignore[misc]
                    instance, received
                )
            )


class SteppedTermFactory:
    """Create dispatchers that the simulation steps."""

    def __init__(self, control: SimulatedWorkers, clock: ManualClock, polls_idle: bool) -> None:
        self.control, self.clock, self.polls_idle = control, clock, polls_idle
        self.dispatcher: Any = None
        self.on_snapshot: Any = None

    def create_dispatcher(
        self,
        token: int,
        post: Post,
        may_extend_leases: Callable[[], bool],
        on_report: OnReport,
    ) -> Any:
        """Create the dispatcher of one term."""
        self.dispatcher = SteppedDispatcher(
            self.control,
            self.clock,
            post,
            token,
            may_extend_leases,
            on_report,
            self.polls_idle,
        )
        return self.dispatcher

    def create_watchers(self, after: int, on_snapshot: Any, on_new_jobs: Any) -> tuple[()]:
        """Return no watchers, as the simulation sends the snapshots."""
        self.on_snapshot = on_snapshot
        return ()


class SimulatedDirectory:
    """Return the simulated workers and the fixed manifest."""

    def __init__(
        self, simulated_workers: SimulatedWorkers, waves: Sequence[MaintenanceWave] = ()
    ) -> None:
        self.simulated_workers = simulated_workers
        self.open_waves = waves
        self.reported: dict[int, bool] = {}

    def manifest(self) -> Manifest:
        """Return the manifest."""
        return MANIFEST

    def workers(self) -> list[WorkerEntry]:
        """Return the workers' entries."""
        return self.simulated_workers.entries()

    def waves(self) -> Sequence[MaintenanceWave]:
        """Return the open waves."""
        return self.open_waves

    def completed_waves(self) -> frozenset[int]:
        """Return the numbers of the waves that were reported as complete."""
        return frozenset(number for number, done in self.reported.items() if done)

    def report_wave(self, number: int, completed: bool) -> None:
        """Record the report of a wave."""
        self.reported[number] = completed


class SimulatedMachines:
    """Simulate moves and maintenance: they terminate the worker, and a new one starts later.

    While `loses_answers` is set, orders are carried out and their answers lost; while
    `order_delay_s` is also set, they are carried out after that time.
    """

    def __init__(self, cluster: "SimulatedCluster") -> None:
        self.cluster = cluster
        self.standby: dict[str, bool] = {}
        self.unavailable: dict[str, tuple[float, str, MachineState]] = {}
        self.orders: list[tuple[Any, ...]] = []
        self.maintained: set[tuple[int, str]] = set()
        self.maintenance_calls: list[str] = []
        self.lists_crashed = True
        self.max_down = 0
        self.started_workers = 0
        self.loses_answers = False
        self.order_delay_s = 0.0
        self.delayed_orders: list[tuple[float, Callable[[], None]]] = []

    def list_machines(self) -> list[Machine]:
        """Return all machines."""
        simulated_workers = self.cluster.simulated_workers
        up = [
            Machine(
                worker.entry.machine, worker.entry.service, MachineState.UP, "z", worker.entry.id
            )
            for worker in simulated_workers.workers.values()
            if worker.up
        ]
        busy = {machine.name for machine in up} | self.unavailable.keys()
        down = [
            Machine(worker.entry.machine, worker.entry.service, MachineState.DOWN, "z", "")
            for worker in simulated_workers.workers.values()
            if self.lists_crashed and not worker.up and worker.entry.machine not in busy
        ]
        unavailable_machines = [
            Machine(name, pool, state, "z", "")
            for name, (_, pool, state) in self.unavailable.items()
        ]
        return [
            *up,
            *down,
            *unavailable_machines,
            *(Machine(name, STANDBY, MachineState.UP, "z", "") for name in self.standby),
        ]

    def start_maintenance(self, machine: str, wave: int, holder: str, token: int) -> None:
        """Carry out the maintenance of a machine."""
        self.maintenance_calls.append(machine)
        self._execute(lambda: self._maintain(machine, wave, token))

    def move(self, machine: str, pool: str, holder: str, token: int) -> None:
        """Move a machine to another pool."""
        self._execute(lambda: self._move(machine, pool, token))

    def _execute(self, order: Callable[[], None]) -> None:
        if not self.loses_answers:
            order()
            return
        if self.order_delay_s:
            self.delayed_orders.append((self.cluster.clock.now + self.order_delay_s, order))
        else:
            self._execute_unheard(order)
        raise MachineError("answer lost")

    @staticmethod
    def _execute_unheard(order: Callable[[], None]) -> None:
        try:
            order()
        except MachineRefusedError:
            return

    def _maintain(self, machine: str, wave: int, token: int) -> None:
        if (wave, machine) in self.maintained:
            return
        pool = STANDBY if machine in self.standby else self._shut_down(machine)
        self.maintained.add((wave, machine))
        self.standby.pop(machine, None)
        self._send(machine, pool, ("upkeep", wave, token), 2.0)
        down = {
            order[1]
            for order in self.orders
            if order[0] == "upkeep" and order[1] in self.unavailable
        }
        self.max_down = max(self.max_down, len(down))

    def _move(self, machine: str, pool: str, token: int) -> None:
        if any(one.name == machine and one.pool == pool for one in self.list_machines()):
            return
        if machine in self.standby:
            del self.standby[machine]
        else:
            self._shut_down(machine)
        self._send(machine, pool, ("move", pool, token), 1.5)

    def _shut_down(self, machine: str) -> str:
        simulated_workers = self.cluster.simulated_workers
        worker = next(
            (
                worker
                for worker in simulated_workers.workers.values()
                if worker.entry.machine == machine and worker.up
            ),
            None,
        )
        if worker is None:
            raise MachineRefusedError("busy")
        simulated_workers.crash(worker.entry.id)
        del simulated_workers.workers[worker.entry.id]
        return worker.entry.service

    def _send(self, machine: str, pool: str, order: tuple[Any, ...], seconds: float) -> None:
        state = MachineState.MOVING if order[0] == "move" else MachineState.UPKEEP
        self.unavailable[machine] = (self.cluster.clock.now + seconds, pool, state)
        self.orders.append((order[0], machine, *order[1:], self.cluster.clock.now))

    def step(self) -> None:
        """Carry out late orders, and bring machines back whose time is over."""
        due = [order for at, order in self.delayed_orders if at <= self.cluster.clock.now]
        self.delayed_orders = [
            one for one in self.delayed_orders if one[0] > self.cluster.clock.now
        ]
        for order in due:
            self._execute_unheard(order)
        for machine, (at, pool, _) in list(self.unavailable.items()):
            if self.cluster.clock.now >= at:
                del self.unavailable[machine]
                if pool == STANDBY:
                    self.standby[machine] = True
                    continue
                self.started_workers += 1
                self.cluster.simulated_workers.add(f"n{self.started_workers}", pool, ROOM, machine)


class ImmediateRunner:
    """Run a controller's calls immediately in the calling thread."""

    @classmethod
    def start(cls) -> "ImmediateRunner":
        """Return a runner."""
        return cls()

    def tell(self, work: Callable[[], None]) -> None:
        """Run a call."""
        work()

    def stop(self, block: bool) -> None:
        """Do nothing, as no thread runs."""


class Daemon:
    """Represent one daemon with its own, possibly faulty, connection to the store."""

    def __init__(self, cluster: "SimulatedCluster", name: str) -> None:
        self.cluster, self.name = cluster, name
        self.table: Any = ScriptedFaultTable(cluster.table)
        self.restart()

    def restart(self) -> None:
        """Start the daemon again, with none of its former state."""
        cluster = self.cluster
        self.suspended = False
        self.read_manifest()
        store = JobStore(self.table)
        self.term_factory = SteppedTermFactory(
            cluster.simulated_workers, cluster.clock, cluster.polls_idle
        )
        self.leases = LeaseManager(
            LeaseStore(self.table), cluster.clock, self.name, 2.0, 0.1, cluster.store_clock
        )
        self.directory = SimulatedDirectory(cluster.simulated_workers, cluster.waves)
        self.machine_orders = MachineOrderLog(self.table, cluster.store_clock)
        self.scheduler_leader = self._make_leader(store)
        self.store = store
        self.job_service = JobService(store, cluster.clock, lambda: ConfirmedManifest(MANIFEST))

    def _make_machine_manager(self, store: JobStore) -> MachineManager:
        controller = MachineController(
            self.cluster.machines,
            self.name,
            lambda: 3.0,
            lambda: True,
            lambda work: self.scheduler_leader.post(work),  # noqa: PLW0108
            self.machine_orders,
            ImmediateRunner,
        )
        return MachineManager(
            controller,
            MaintenancePlanner(self.directory, controller),
            PoolScaler(controller, store),
        )

    def _make_leader(self, store: JobStore) -> SchedulerLeader:
        cluster = self.cluster
        ports = PlatformPorts(
            store,
            None,  # type: ignore[arg-type]
            self.directory,
            cluster.simulated_workers,
            self.leases,
            store_clock=cluster.store_clock,
        )
        return SchedulerLeader(
            ports,
            cluster.clock,
            lambda: self.manifest,
            lambda: LEASE_S,
            self._make_machine_manager(store),
            self.term_factory,
            status_s=cluster.status_s,
            accounts=Accounts(
                lambda: self.manifest,
                AccountLimits(
                    lambda: cluster.clock.now - self.manifest_read_at, CONFIG_APPLY_S, QUOTA_OVERAGE
                ),
            ),
        )

    def read_manifest(self) -> None:
        """Read the manifest that is in force."""
        self.manifest, self.manifest_read_at = self.cluster.manifest, self.cluster.clock.now

    def step(self) -> None:
        """Poll the workers and run one round."""
        if self.suspended:
            return
        # After a pause or an outage, the first round is based on the manifest of before.
        is_fresh = self.cluster.clock.now - self.manifest_read_at < MANIFEST_READ_INTERVAL_S
        if is_fresh and not self.table.unavailable:
            self.read_manifest()
        try:
            if self.scheduler_leader.is_leader:
                self._send_snapshot()
                self.term_factory.dispatcher.poll_now()
            self.scheduler_leader.run_once(0.0)
        except GypsumplankError:
            pass
        if not self.table.unavailable:
            self.read_manifest()

    def _send_snapshot(self) -> None:
        try:
            snapshot = StoreSnapshot(
                self.cluster.clock.now,
                tuple(self.directory.workers()),
                frozenset(self.store.all_pending()),
                frozenset(self.store.cancelled_jobs()),
            )
        except StateError:
            return
        self.term_factory.on_snapshot(snapshot)


class SimulatedCluster:
    """Simulate a whole cluster, and check the runs that its workers have seen."""

    def __init__(
        self,
        seed: int,
        daemons: int = 2,
        workers: int = 3,
        polls_idle: bool = True,
        status_s: float = 120.0,
    ) -> None:
        self.polls_idle = polls_idle
        self.rng = random.Random(seed)
        self.clock = ManualClock(100.0)
        self.table = LimitedFeedTable()
        self.simulated_workers = SimulatedWorkers(self.rng)
        self.simulated_workers.now = self.clock.now
        for index in range(workers):
            self.simulated_workers.add(f"w{index}", SERVICE, ROOM)
        self.machines = SimulatedMachines(self)
        self.waves: list[MaintenanceWave] = []
        self.status_s = status_s
        self.manifest = MANIFEST
        self.daemons = [Daemon(self, f"d{index}") for index in range(daemons)]
        self.submitted: dict[str, JobDefinition] = {}
        self.accounts: dict[str, str] = {}
        self.cap_changes: list[CapChange] = []

    def store_clock(self) -> ClockRange:
        """Return the time of the store."""
        now_ms = int(self.clock.now * 1000)
        return ClockRange(now_ms, now_ms)

    def run(self, seconds: float, step_s: float = STEP_S) -> None:
        """Advance the simulated time."""
        for _ in range(round(seconds / step_s)):
            self.clock.advance(step_s)
            self.simulated_workers.advance(step_s)
            self.machines.step()
            for daemon in self.daemons:
                daemon.step()

    def submit(
        self,
        job_id: str,
        steps: tuple[StepDefinition, ...] | None = None,
        spec: str = "0.5",
        daemon: int = 0,
        queue: Queue = QUEUE,
        account: str = "",
    ) -> bool:
        """Submit a job to a daemon; by default one of two tasks of half a second."""
        order = JobDefinition(spec, steps or (StepDefinition(2, Resources(1000, 100), 500),))
        self.submitted[job_id] = order
        if account:
            self.accounts[job_id] = account
            accepted_ms = int(self.clock.wall() * 1000)
            stored = StoredJob(job_id, queue.name, queue.service, accepted_ms, order, account)
            return self.daemons[daemon].store.submit(stored, 0.0)
        return self.daemons[daemon].job_service.submit(queue, job_id, order, 0.0)

    def set_caps(self, caps: Mapping[str, Resources]) -> None:
        """Put a manifest with these accounts and caps in force."""
        accounts = tuple(Account(name, cap=cap) for name, cap in caps.items())
        version = self.manifest.version + 1
        self.manifest = replace(self.manifest, version=version, accounts=accounts)
        self.cap_changes.append(CapChange(self.clock.now, dict(caps)))

    def state(self, job_id: str) -> str:
        """Return a job's state as stored."""
        return JobStore(self.table).state(job_id)[0].state.value

    def leader(self) -> Daemon | None:
        """Return the daemon that leads, if it is not suspended."""
        return next(
            (
                daemon
                for daemon in self.daemons
                if daemon.scheduler_leader.is_leader and not daemon.suspended
            ),
            None,
        )

    def violations(self) -> list[str]:
        """Return violations of the rules about runs."""
        return find_violations(self.simulated_workers.history, self.submitted)


def long_running_step(tasks: int = 2, may_miss: int = 1) -> StepDefinition:
    """Return a step whose tasks run until the job is cancelled."""
    return replace(StepDefinition(tasks, Resources(1000, 100)), lasting=True, may_miss=may_miss)
