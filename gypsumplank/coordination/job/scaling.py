"""Scale each service's pool of machines with its demand, using standby machines and other pools."""

import logging
from collections.abc import Mapping
from dataclasses import asdict, replace

from gypsumplank.coordination.job.balance import (
    Balance,
    Contention,
    MachineWorkers,
    PendingMove,
    PoolMembers,
    PoolSize,
    active_members,
    is_active,
    smallest_capacity,
)
from gypsumplank.coordination.job.demand import (
    Load,
    ServiceDemand,
    machines_needed,
    minimum_sizes,
)
from gypsumplank.coordination.job.instance import WorkerInstance
from gypsumplank.coordination.job.knownpool import KnownPools, find_services
from gypsumplank.coordination.job.machine import MachineController
from gypsumplank.coordination.job.port import SizeStore
from gypsumplank.coordination.job.scheduler import Scheduler
from gypsumplank.errors import MachineError, StateError
from gypsumplank.log import Event, event
from gypsumplank.protocol.queue import Machine, MachineState, Manifest

# Time after the order of a move until which a machine without a new worker counts as arriving in
# the target pool, seconds.
ARRIVAL_TIMEOUT_S = 4.0
# Interval between planning rounds, seconds.
PLAN_INTERVAL_S = 0.2
# Delay before a machine is moved again after a move that was refused or not sent, seconds.
MOVE_RETRY_S = 3.0
# Delay before a move that got no answer is ordered again, seconds.
UNANSWERED_RETRY_S = 0.8
# Interval between log lines about the pools, seconds.
LOG_INTERVAL_S = 1.0
# Interval between requests for the pools' initial sizes, seconds.
SIZES_RETRY_S = 1.0

logger = logging.getLogger(__name__)


class PoolScaler:
    """Plan and order moves between pools; used by the scheduler's thread only."""

    def __init__(self, controller: MachineController, sizes: SizeStore) -> None:
        self._controller = controller
        self._sizes = sizes
        self._pools = KnownPools()
        self._demands: dict[str, ServiceDemand] = {}
        self._moves_in_flight: dict[str, PendingMove] = {}
        self._planned_moves: dict[str, str] = {}
        self._unanswered: dict[str, float] = {}
        self._retry_at: dict[str, float] = {}
        self._next_plan_at = 0.0
        self._contention = Contention()
        self._next_sizes_request_at = 0.0
        self._machines_seen_with_worker: set[str] = set()
        self._logged_sizes: dict[str, PoolSize] = {}
        self._next_log_at = 0.0

    def clear(self) -> None:
        """Discard the demands and moves of an earlier term."""
        self._demands.clear()
        self._moves_in_flight.clear()
        self._planned_moves.clear()
        self._unanswered.clear()
        self._contention = Contention()
        self._machines_seen_with_worker.clear()
        self._next_sizes_request_at = 0.0

    def plan_and_move(self, scheduler: Scheduler, manifest: Manifest, now: float) -> None:
        """Plan moves at intervals, and order those whose machines are empty."""
        standby = self._pools.find_standby(manifest)
        has_moves = bool(self._planned_moves or self._moves_in_flight)
        if now < self._next_plan_at or (standby is None and not has_moves):
            return
        self._next_plan_at = now + PLAN_INTERVAL_S
        self._controller.refresh_list(now)
        if not self._controller.machines or not self._controller.can_order(now):
            return
        instances = scheduler.fleet.by_machine()
        self._remove_arrived(instances, now)
        if standby is None:
            self._cancel_moves(list(instances.values()), len(instances))
        else:
            loads = scheduler.estimate_loads()
            services = find_services(manifest, loads, self._controller.machines.values())
            self._plan_pools(services - {standby}, standby, loads, instances, now)
        self._execute_moves(scheduler, instances, now)

    def _forget_gone(self, now: float) -> None:
        """Forget machines that are not listed any more, and waits that are over."""
        self._machines_seen_with_worker.intersection_update(self._controller.machines)
        self._retry_at = {machine: at for machine, at in self._retry_at.items() if now < at}

    def _request_initial_sizes(self, services: frozenset[str], now: float) -> None:
        if now < self._next_sizes_request_at:
            return
        self._next_sizes_request_at = now + SIZES_RETRY_S
        pools = [machine.pool for machine in self._controller.machines.values()]
        present = {service: pools.count(service) for service in services}

        def request() -> None:
            try:
                sizes = self._sizes.initial_pool_sizes(present)
            except StateError as exc:
                event(logger, Event.STATE_UNAVAILABLE, logging.WARNING, code=exc.code, step="pools")
                return
            self._controller.post(
                lambda: self._set_initial_sizes({name: sizes[name] for name in present})
            )

        self._controller.run_async(request)

    def _set_initial_sizes(self, sizes: Mapping[str, int]) -> None:
        for service, size in sizes.items():
            self._demands.setdefault(service, ServiceDemand(size))

    def _update_demands(self, loads: Mapping[str, Load], members: PoolMembers, now: float) -> None:
        all_capacities = [
            instance.entry.room for instances in members.values() for instance in instances
        ]
        for service, instances in members.items():
            capacities = [instance.entry.room for instance in instances] or all_capacities
            if not capacities:
                return
            size = smallest_capacity(capacities)
            load = loads.get(service, Load())
            self._demands[service].update(
                machines_needed(load.total, size),
                machines_needed(load.batch, size),
                now,
                machines_needed(load.firm, size),
            )

    def _remove_arrived(self, instances: MachineWorkers, now: float) -> None:
        for machine, move in list(self._moves_in_flight.items()):
            if machine in self._controller.in_flight:
                continue
            instance = instances.get(machine)
            has_arrived = instance is not None and instance.instance_id != move.instance_id
            if has_arrived or now - move.since > ARRIVAL_TIMEOUT_S:
                del self._moves_in_flight[machine]
                self._controller.reserved.discard(machine)
                if instance is not None:
                    instance.cordoned = False

    def _plan_pools(
        self,
        services: frozenset[str],
        standby: str,
        loads: Mapping[str, Load],
        instances: MachineWorkers,
        now: float,
    ) -> None:
        """Plan moves between the pools of these services; ask for their initial sizes first."""
        if services - self._demands.keys():
            self._request_initial_sizes(services, now)
            return
        self._machines_seen_with_worker.update(instances)
        self._forget_gone(now)
        members = {service: active_members(service, instances) for service in sorted(services)}
        self._update_demands(loads, members, now)
        self._plan_moves(members, standby, instances, now)

    def _plan_moves(
        self, members: PoolMembers, standby: str, instances: MachineWorkers, now: float
    ) -> None:
        available = self._available_standby(standby, now)
        balance = self._balance(members, instances, len(available), now)
        for name, pool_members in members.items():
            for target in self._cancel_moves(pool_members, balance.shortfall[name]):
                balance.adjust(name, 1)
                if target in members:
                    balance.adjust(target, -1)
        for name in sorted(members, key=lambda pool: (-balance.unmet[pool], pool)):
            while balance.shortfall[name] > 0:
                if available:
                    self._plan_move(available.pop(), name)
                elif not self._take_from_donor(members, balance, name, now):
                    break
                balance.adjust(name, 1)
        for name, pool_members in members.items():
            for machine in self._drainable_machines(pool_members, now)[
                : max(0, balance.surplus[name])
            ]:
                self._plan_move(machine, standby)

    def _balance(
        self, members: PoolMembers, instances: MachineWorkers, available: int, now: float
    ) -> Balance:
        minimums = minimum_sizes(self._demands, now)
        balance = Balance()
        counts = {
            name: self._projected_size(name, pool_members, instances)
            for name, pool_members in members.items()
        }
        lacking = sum(max(0, self._demands[name].firm - count) for name, count in counts.items())
        firm_only = self._contention.update(lacking > available, now)
        for name, count in counts.items():
            balance.add_pool(name, count, self._demands[name], minimums[name], firm_only, now)
        self._log_sizes(balance, minimums, now)
        return balance

    def _log_sizes(self, balance: Balance, minimums: Mapping[str, int], now: float) -> None:
        """Log the pools whose sizes have changed, at most once per LOG_INTERVAL_S."""
        if now < self._next_log_at:
            return
        self._next_log_at = now + LOG_INTERVAL_S
        for name, demand in self._demands.items():
            size = PoolSize(
                demand.current - balance.unmet.get(name, 0), demand.current, minimums[name]
            )
            if name in balance.unmet and self._logged_sizes.get(name) != size:
                self._logged_sizes[name] = size
                event(logger, Event.POOL_CHANGED, pool=name, **asdict(size))

    def _plan_move(self, machine: str, pool: str) -> None:
        """Reserve a machine and plan its move for when it is empty."""
        self._planned_moves[machine] = pool
        self._controller.reserved.add(machine)

    def _cancel_move(self, instance: WorkerInstance) -> None:
        del self._planned_moves[instance.entry.machine]
        self._unanswered.pop(instance.entry.machine, None)
        self._controller.reserved.discard(instance.entry.machine)
        instance.cordoned = False

    def _cancel_moves(self, members: list[WorkerInstance], limit: int) -> list[str]:
        """Cancel up to `limit` planned moves away from a pool; return the target of each."""
        planned = self._planned_moves.keys() - self._unanswered.keys()
        leaving = [member for member in members if member.entry.machine in planned]
        kept = leaving[: max(0, limit)]
        targets = [self._planned_moves[instance.entry.machine] for instance in kept]
        for instance in kept:
            self._cancel_move(instance)
        return targets

    def _take_from_donor(
        self, members: PoolMembers, balance: Balance, recipient: str, now: float
    ) -> bool:
        """Plan the move of a surplus or lendable machine to a pool; return whether there is one."""
        for donor in balance.donors(recipient):
            drainable = self._drainable_machines(members[donor], now)
            if drainable:
                balance.adjust(donor, -1)
                self._plan_move(drainable[0], recipient)
                return True
        return False

    def _available_standby(self, standby: str, now: float) -> list[str]:
        return [
            machine.name
            for machine in self._controller.machines.values()
            if machine.pool == standby
            and machine.state is MachineState.UP
            and machine.name not in self._moves_in_flight
            and self._is_available(machine.name, now)
        ]

    def _is_available(self, machine: str, now: float) -> bool:
        is_taken = machine in self._controller.reserved or machine in self._controller.in_flight
        must_wait = now < self._retry_at.get(machine, 0.0) or not self._controller.is_handover_over(
            machine, now
        )
        return not (is_taken or must_wait or machine in self._planned_moves)

    def _projected_size(
        self, service: str, members: list[WorkerInstance], instances: MachineWorkers
    ) -> int:
        """Return the size that a pool will have after all planned moves and maintenance."""
        leaving = sum(1 for instance in members if self._is_leaving(instance))
        arriving = sum(1 for move in self._moves_in_flight.values() if move.pool == service)
        planned = sum(1 for pool in self._planned_moves.values() if pool == service)
        expected = sum(
            1
            for machine in self._controller.machines.values()
            if machine.pool == service and self._expects_worker(machine, instances)
        )
        return len(members) - leaving + arriving + planned + expected

    def _is_leaving(self, instance: WorkerInstance) -> bool:
        """Return whether a move ends this instance, or will."""
        move = self._moves_in_flight.get(instance.entry.machine)
        is_moving = move is not None and move.instance_id == instance.instance_id
        return is_moving or instance.entry.machine in self._planned_moves

    def _expects_worker(self, machine: Machine, instances: Mapping[str, WorkerInstance]) -> bool:
        """Return whether a machine is in maintenance, or its first worker has yet to register."""
        instance = instances.get(machine.name)
        is_member = instance is not None and is_active(instance)
        if is_member or machine.name in self._moves_in_flight:
            return False
        is_new = instance is None and machine.name not in self._machines_seen_with_worker
        return machine.state is MachineState.UPKEEP or (machine.state is MachineState.UP and is_new)

    def _drainable_machines(self, members: list[WorkerInstance], now: float) -> list[str]:
        """Return the machines without long-running tasks that may move, least CPU in use first."""
        drainable = [
            instance
            for instance in members
            if self._is_available(instance.entry.machine, now)
            and not any(task.step.order.lasting for task in instance.tasks.values())
        ]
        drainable.sort(key=lambda instance: instance.used().cpu)
        return [instance.entry.machine for instance in drainable]

    def _execute_moves(self, scheduler: Scheduler, instances: MachineWorkers, now: float) -> None:
        for machine, pool in list(self._planned_moves.items()):
            instance = instances.get(machine)
            if self._is_carried_out(machine, pool, instance):
                self._await_arrival(machine, pool, instance, now)
                continue
            if instance is not None:
                instance.cordoned = True
                if any(task.step.order.lasting for task in instance.tasks.values()):
                    self._cancel_move(instance)
                    continue
            is_due = now >= self._retry_at.get(machine, 0.0)
            if is_due and (instance is None or not instance.tasks):
                del self._planned_moves[machine]
                self._order_move(scheduler, machine, pool, instance)

    def _is_carried_out(self, machine: str, pool: str, instance: WorkerInstance | None) -> bool:
        """Return whether a move that is planned, maybe once more, has been carried out."""
        if instance is not None and instance.entry.service == pool:
            return True
        listed = self._controller.listed.get(machine)
        ordered_at = self._unanswered.get(machine, self._controller.list_read_at)
        return (
            listed is not None
            and listed.pool == pool
            and self._controller.list_read_at > ordered_at
        )

    def _await_arrival(
        self, machine: str, pool: str, instance: WorkerInstance | None, now: float
    ) -> None:
        """Count a machine as arriving until its worker in the target pool is there."""
        del self._planned_moves[machine]
        self._unanswered.pop(machine, None)
        is_old = instance is not None and instance.entry.service != pool
        instance_id = instance.instance_id if instance is not None and is_old else ""
        self._moves_in_flight[machine] = PendingMove(pool, now, instance_id)

    def _order_move(
        self, scheduler: Scheduler, machine: str, pool: str, instance: WorkerInstance | None
    ) -> None:
        now = scheduler.now()
        instance_id = instance.instance_id if instance is not None else ""
        self._moves_in_flight[machine] = PendingMove(pool, now, instance_id)
        self._controller.reserved.add(machine)
        demand = self._demands[pool].peak if pool in self._demands else 0
        event(
            logger,
            Event.MACHINE_MOVE_ORDERED,
            machine=machine,
            pool=pool,
            worker=instance_id,
            demand=demand,
        )
        self._controller.order_move(
            machine,
            pool,
            lambda failure: self._handle_move_result(scheduler, machine, failure),
        )

    def _handle_move_result(
        self, scheduler: Scheduler, machine: str, failure: MachineError | None
    ) -> None:
        """Record an order's result; success may mean that it had been carried out before.

        So it ends no worker. The list of machines shows whether the one that is there has ended.
        """
        now = scheduler.now()
        move = self._moves_in_flight[machine]
        if failure is None:
            self._unanswered.pop(machine, None)
            self._moves_in_flight[machine] = replace(move, since=now)
            return
        del self._moves_in_flight[machine]
        if failure.may_be_executed:
            self._unanswered[machine] = now
            self._retry_at[machine] = now + UNANSWERED_RETRY_S
            self._planned_moves[machine] = move.pool
            return
        self._unanswered.pop(machine, None)
        self._retry_at[machine] = now + MOVE_RETRY_S
        self._controller.reserved.discard(machine)
        instance = scheduler.fleet.by_machine().get(machine)
        if instance is not None:
            instance.cordoned = False
