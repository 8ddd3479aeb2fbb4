"""Simulate workers that run the tasks of jobs, on a simulated clock and with injected faults."""

import random
from collections import defaultdict
from dataclasses import dataclass, field, replace

from gypsumplank.errors import WorkerRefusedError, WorkerUnknownError
from gypsumplank.protocol.job import Resources
from gypsumplank.protocol.worker import (
    EndedTask,
    EndKind,
    RunningTask,
    StartCommand,
    StartRefusal,
    WorkerEntry,
    WorkerReport,
    WorkerState,
)

STOP_DELAY_S = 0.2
MAX_LEASE_S = 6.0
HEARTBEAT_INTERVAL_S = 1.5
# Time for which a worker's registration outlives its crash, seconds.
ENTRY_TTL_S = 3 * HEARTBEAT_INTERVAL_S
# Time between a worker's crash under a deadly task and its return, seconds.
RETURN_DELAY_S = 3.2
# Ends that one report lists; the others follow once these are acknowledged.
MAX_LISTED_ENDS = 500
# Time for which a run of a gang waits for the other members, seconds.
GANG_TIMEOUT_S = 3.0
# A start order whose response is lost may still be applied up to this much later.
MAX_START_DELAY_S = 8.0


@dataclass
class ActiveRun:
    """Represent a run in progress; times are simulated seconds.

    `joined` is set once all members of its gang were present.
    """

    name: str
    run: int
    begun: float
    ends_at: float
    kind: EndKind
    stop_at: float = 0.0
    joined: bool = False


@dataclass
class StartRecord:
    """Record one start of a run for the checks of a test; times are simulated seconds.

    `ended` and `kind` are None while the run is active; `kind` stays None if the worker crashed.
    `acknowledged` is set once the scheduler has confirmed the end of the run. `delayed` is set if
    the response to the start command was lost, so the command may be older than `started_at`.
    `spec` is what the worker was told to run, None if that is not checked.
    """

    worker: str
    born: int
    name: str
    run: int
    started_at: float
    ended: float | None = None
    kind: EndKind | None = None
    acknowledged: bool = False
    delayed: bool = False
    spec: str | None = None


@dataclass
class SimulatedWorker:
    """Represent one boot of a worker; times are simulated seconds.

    `highest_closed_run` keeps, per task, the highest run that has ended or been stopped; a start
    of that run or an older one is refused. `expired_ends` keeps the numbers of the ends that were
    unacknowledged while the lease was expired. A `doomed` worker crashes in the next step.
    `reported_room` is the capacity in its registration, as of `reported_at`. `speed` is the share
    of its full speed at which its runs proceed; at 0 they stand still.
    """

    entry: WorkerEntry
    up: bool = True
    reachable: bool = True
    token: int = 0
    lease_until: float = 0.0
    running: dict[str, ActiveRun] = field(default_factory=dict)
    ended: list[EndedTask] = field(default_factory=list)
    highest_closed_run: dict[str, int] = field(default_factory=dict)
    last_end_number: int = 0
    expired_ends: set[int] = field(default_factory=set)
    booted_at: float = 0.0
    crashed_at: float = 0.0
    doomed: bool = False
    reported_at: float = 0.0
    reported_room: Resources = Resources()
    next_report_at: float = 0.0
    speed: float = 1.0


@dataclass(frozen=True)
class RoomChange:
    """Record the capacity that a worker has from a simulated time on."""

    worker: str
    born: int
    at: float
    room: Resources


def _step_of(run: ActiveRun) -> str:
    return run.name.rpartition(".")[0]


class SimulatedWorkers:
    """Simulate a set of workers; implement the scheduler's WorkerControl port.

    `response_loss_share` is the share of calls (0 to 1) whose response is lost; `failure_share` is
    the share of runs that fail. A worker that starts one of `deadly_tasks` crashes; it returns
    after `return_delay_s`, under its old id if `keeps_id` is set. `entry_ttl_s` is the time for
    which the entry of a crashed worker remains. `room_changes` records the workers' capacity; a
    change is registered with the next heartbeat, and none is while `registry_unavailable` is set.
    A report lists the first `max_listed_ends` ends only. A run of more than `lasting_run_s` counts
    as long-running, and reports 100 percent. `gang_sizes` is how many tasks the steps have that are
    gangs, by the prefix of their names. A start without a response is executed by the worker's next
    instance if the first one has crashed meanwhile and `orders_outlive_workers` is set.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.now = 0.0
        self.workers: dict[str, SimulatedWorker] = {}
        self.history: list[StartRecord] = []
        self.response_loss_share = 0.0
        self.failure_share = 0.0
        self.delayed_starts: list[tuple[float, SimulatedWorker, StartCommand]] = []
        self.deadly_tasks: set[str] = set()
        self.return_delay_s = RETURN_DELAY_S
        self.keeps_id = False
        self.entry_ttl_s = 0.0
        self.room_changes: list[RoomChange] = []
        self.registry_unavailable = False
        self.max_listed_ends = MAX_LISTED_ENDS
        self._cut_off_entries: dict[str, tuple[float, WorkerEntry]] = {}
        self.lasting_run_s = 1000.0
        self.gang_sizes: dict[str, int] = {}
        self.orders_outlive_workers = False
        self._returns: list[tuple[float, str]] = []

    def add(self, name: str, service: str, room: Resources, machine: str = "") -> SimulatedWorker:
        """Add a worker and return it."""
        entry = WorkerEntry(
            name,
            service,
            "127.0.0.1:80",
            "z",
            WorkerState.READY,
            room,
            ("a", "r1"),
            machine or name,
        )
        worker = SimulatedWorker(replace(entry, born=int(self.now * 1000) + 1), booted_at=self.now)
        self.workers[name] = worker
        self._record_room(worker)
        self._report(worker)
        return worker

    def entries(self) -> list[WorkerEntry]:
        """Return the registrations of all workers that are up, or crashed lately."""
        return [
            entry
            for entry in map(self._registered_entry, self.workers.values())
            if entry is not None
        ]

    def _registered_entry(self, worker: SimulatedWorker) -> WorkerEntry | None:
        since, entry = self._cut_off_entries.get(worker.entry.id, (self.now, None))
        if entry is not None:
            return entry if self.now < since + ENTRY_TTL_S else None
        if worker.up or self.now < worker.crashed_at + self.entry_ttl_s:
            return replace(
                worker.entry,
                room=worker.reported_room,
                clock_ms=self._clock_ms(worker, worker.reported_at),
                seq=int(worker.reported_at / HEARTBEAT_INTERVAL_S),
            )
        return None

    def cut_from_registry(self, name: str) -> None:
        """Keep a worker's entry as it is until it expires; calls reach the worker."""
        entry = self._registered_entry(self.workers[name])
        if entry is not None:
            self._cut_off_entries.setdefault(name, (self.now, entry))

    def reconnect_registry(self, name: str) -> None:
        """Let a worker write its entry again."""
        self._cut_off_entries.pop(name, None)

    def set_room(self, name: str, room: Resources) -> None:
        """Change a worker's capacity; what runs goes on."""
        worker = self.workers[name]
        worker.entry = replace(worker.entry, room=room)
        self._record_room(worker)

    def _report(self, worker: SimulatedWorker) -> None:
        """Register the capacity if a heartbeat is due; one that fails is not repeated."""
        if self.now >= worker.next_report_at:
            worker.next_report_at = self.now + HEARTBEAT_INTERVAL_S
            if not self.registry_unavailable or not worker.reported_at:
                worker.reported_at, worker.reported_room = self.now, worker.entry.room

    def _record_room(self, worker: SimulatedWorker) -> None:
        entry = worker.entry
        self.room_changes.append(RoomChange(entry.id, entry.born, self.now, entry.room))

    def drain(self, name: str) -> None:
        """Mark a worker as draining."""
        worker = self.workers[name]
        worker.entry = replace(worker.entry, state=WorkerState.DRAINING)

    def crash(self, name: str) -> None:
        """Crash a worker; its runs end without a report."""
        worker = self.workers[name]
        for run in list(worker.running.values()):
            self._end_run(worker, run, None)
        worker.up, worker.doomed = False, False
        worker.crashed_at = self.now

    def crash_and_return(self, name: str) -> None:
        """Crash a worker; its machine runs the worker again after `return_delay_s`."""
        self.crash(name)
        self._returns.append((self.now + self.return_delay_s, name))

    def _return(self, name: str) -> None:
        if self.keeps_id:
            self.restart(name)
            return
        old = self.workers[name].entry
        self.add(f"{old.machine}-{len(self.workers)}", old.service, old.room, old.machine)

    def restart(self, name: str) -> None:
        """Restart a worker under its old name, with none of its former state."""
        old = self.workers[name].entry
        entry = replace(old, born=int(self.now * 1000) + 1, state=WorkerState.READY)
        self.workers[name] = SimulatedWorker(entry, booted_at=self.now)
        self._record_room(self.workers[name])
        self._report(self.workers[name])

    def advance(self, seconds: float) -> None:
        """Advance the simulated clock, apply delayed starts and end the runs that are due."""
        self.now += seconds
        due = [one for one in self.delayed_starts if one[0] <= self.now]
        self.delayed_starts = [one for one in self.delayed_starts if one[0] > self.now]
        for _, addressed, order in due:
            # A delayed order is lost if the worker process has crashed, unless it outlives that.
            latest = self.workers.get(addressed.entry.id, addressed)
            worker = latest if self.orders_outlive_workers else addressed
            if worker.up:
                self._start_without_response(worker, order)
        for name in [name for at, name in self._returns if at <= self.now]:
            self._return(name)
        self._returns = [one for one in self._returns if one[0] > self.now]
        for name, worker in list(self.workers.items()):
            if worker.doomed:
                self.crash_and_return(name)
            elif worker.up:
                self._hold_up_runs(worker, seconds)
                self._end_due_runs(worker)
                self._report(worker)
        self._end_due_gangs()

    @staticmethod
    def _hold_up_runs(worker: SimulatedWorker, seconds: float) -> None:
        """Delay the runs on a worker that is not at full speed by the work that it did not do."""
        for run in worker.running.values():
            run.begun += seconds * (1 - worker.speed)
            run.ends_at += seconds * (1 - worker.speed)

    def _start_without_response(self, worker: SimulatedWorker, order: StartCommand) -> None:
        try:
            self._start(worker, order, delayed=True)
        except WorkerRefusedError:
            return

    def _end_due_runs(self, worker: SimulatedWorker) -> None:
        if self.now >= worker.lease_until:
            # An end that is confirmed after the lease has expired does not count as acknowledged.
            worker.expired_ends.update(end.number for end in worker.ended)
        for run in list(worker.running.values()):
            if self.now >= worker.lease_until:
                self._end_run(worker, run, EndKind.LEASE_EXPIRED)
            elif run.stop_at and self.now >= run.stop_at:
                self._end_run(worker, run, EndKind.STOPPED)
            elif self.now >= run.ends_at and _step_of(run) not in self.gang_sizes:
                self._end_run(worker, run, run.kind)

    def _end_due_gangs(self) -> None:
        """End the members of gangs: together when due, or as others have ended or are missing."""
        gangs: defaultdict[tuple[str, int], list[tuple[SimulatedWorker, ActiveRun]]] = defaultdict(
            list
        )
        for worker in self.workers.values():
            for run in worker.running.values() if worker.up else ():
                if _step_of(run) in self.gang_sizes:
                    gangs[_step_of(run), run.run].append((worker, run))
        for (step, _), members in gangs.items():
            runs = [run for _, run in members]
            is_complete = len(runs) == self.gang_sizes[step]
            is_due = is_complete and self.now >= max(run.ends_at for run in runs)
            has_failed = is_due and any(run.kind is EndKind.FAILED for run in runs)
            for worker, run in members:
                run.joined = run.joined or is_complete
                if has_failed and run.kind is not EndKind.FAILED:
                    self._end_run(worker, run, EndKind.GANG_MEMBER_ENDED)
                elif is_due:
                    self._end_run(worker, run, run.kind)
                elif run.joined and not is_complete:
                    self._end_run(worker, run, EndKind.GANG_MEMBER_ENDED)
                elif not is_complete and self.now >= run.begun + GANG_TIMEOUT_S:
                    self._end_run(worker, run, EndKind.GANG_TIMEOUT)

    def _end_run(self, worker: SimulatedWorker, run: ActiveRun, kind: EndKind | None) -> None:
        del worker.running[run.name]
        for record in self.history:
            matches = (record.worker, record.born, record.name, record.run) == (
                worker.entry.id,
                worker.entry.born,
                run.name,
                run.run,
            )
            if matches and record.ended is None:
                record.ended, record.kind = self.now, kind
        worker.highest_closed_run[run.name] = max(
            worker.highest_closed_run.get(run.name, 0), run.run
        )
        if kind is not None:
            worker.last_end_number += 1
            worker.ended.append(EndedTask(worker.last_end_number, run.name, run.run, kind))

    def _clock_ms(self, worker: SimulatedWorker, at: float | None = None) -> int:
        return int(((self.now if at is None else at) - worker.booted_at) * 1000)

    def _find_reachable(self, worker: WorkerEntry) -> SimulatedWorker:
        target = self.workers.get(worker.id)
        if target is None or not target.up:
            raise WorkerRefusedError(StartRefusal.UNREACHABLE)
        if not target.reachable:
            raise WorkerUnknownError("worker unreachable")
        return target

    def _check_token(self, worker: SimulatedWorker, token: int) -> None:
        if token < worker.token:
            raise WorkerRefusedError(StartRefusal.FENCED)
        worker.token = token

    def _extend_lease(self, worker: SimulatedWorker, until_ms: int) -> None:
        lease_until = min(worker.booted_at + until_ms / 1000, self.now + MAX_LEASE_S)
        worker.lease_until = max(worker.lease_until, lease_until)

    def _drops_response(self) -> bool:
        return self.rng.random() < self.response_loss_share

    def poll(
        self, worker: WorkerEntry, token: int, until_ms: int | None, ack: int, wait_s: float
    ) -> WorkerReport:
        """Renew the lease of all tasks, drop ends up to number `ack`, and report what runs.

        Raise WorkerRefusedError if the worker is down or the token is stale, WorkerUnknownError
        if the worker is unreachable or the response is lost.
        """
        target = self._find_reachable(worker)
        self._check_token(target, token)
        if until_ms is not None:
            self._extend_lease(target, until_ms)
        for end in target.ended:
            if end.number <= ack and end.number not in target.expired_ends:
                self._acknowledge(target, end)
        target.ended = [end for end in target.ended if end.number > ack]
        if self._drops_response():
            raise WorkerUnknownError("response lost")
        running = tuple(
            RunningTask(run.name, run.run, "", self._progress_percent(run))
            for run in target.running.values()
        )
        listed = tuple(target.ended[: self.max_listed_ends])
        ends_complete = len(listed) < self.max_listed_ends
        return WorkerReport(
            target.entry.born, self._clock_ms(target), running, listed, ends_complete
        )

    def _progress_percent(self, run: ActiveRun) -> int:
        if run.ends_at - run.begun > self.lasting_run_s:
            return 100
        return int(100 * (self.now - run.begun) / (run.ends_at - run.begun))

    def _acknowledge(self, worker: SimulatedWorker, end: EndedTask) -> None:
        for record in self.history:
            if (record.worker, record.born, record.name, record.run) == (
                worker.entry.id,
                worker.entry.born,
                end.name,
                end.run,
            ):
                record.acknowledged = True

    def start(self, worker: WorkerEntry, order: StartCommand) -> int:
        """Start a run of a task and return the worker's clock in ms; raise as `poll` does."""
        target = self._find_reachable(worker)
        if self._drops_response():
            if self.rng.random() < 0.5:
                self._start_without_response(target, order)
            else:
                due = self.now + self.rng.random() * MAX_START_DELAY_S
                self.delayed_starts.append((due, target, order))
            raise WorkerUnknownError("response lost")
        self._start(target, order)
        return self._clock_ms(target)

    def _start(self, worker: SimulatedWorker, order: StartCommand, delayed: bool = False) -> None:
        self._check_token(worker, order.token)
        self._extend_lease(worker, order.until_ms)
        if worker.running.get(order.name, ActiveRun("", 0, 0, 0, EndKind.DONE)).run == order.run:
            return
        if order.run <= worker.highest_closed_run.get(order.name, 0):
            raise WorkerRefusedError(StartRefusal.OLD)
        if order.until_ms < self._clock_ms(worker):
            raise WorkerRefusedError(StartRefusal.LATE)
        worker.doomed = worker.doomed or order.name in self.deadly_tasks
        run_s = float(order.spec) * (0.5 + self.rng.random())
        kind = EndKind.FAILED if self.rng.random() < self.failure_share else EndKind.DONE
        worker.running[order.name] = ActiveRun(
            order.name, order.run, self.now, self.now + run_s, kind
        )
        self.history.append(
            StartRecord(
                worker.entry.id,
                worker.entry.born,
                order.name,
                order.run,
                self.now,
                delayed=delayed,
                spec=order.spec,
            )
        )

    def stop(self, worker: WorkerEntry, name: str, run: int, token: int) -> None:
        """Stop a run, and refuse to start it from now on; raise as `poll` does."""
        target = self._find_reachable(worker)
        self._check_token(target, token)
        target.highest_closed_run[name] = max(target.highest_closed_run.get(name, 0), run)
        active = target.running.get(name)
        if active is not None and active.run == run:
            active.stop_at = active.stop_at or self.now + STOP_DELAY_S
        if self._drops_response():
            raise WorkerUnknownError("response lost")

    def set_speed_limit(
        self, worker: WorkerEntry, name: str, run: int, percent: int, token: int
    ) -> None:
        """Check the token only; the pace in percent does not affect a simulated run."""
        self._check_token(self._find_reachable(worker), token)
