"""Stand in for workers that run jobs' tasks, in simulated time and with faults."""

import random
from dataclasses import dataclass, field, replace

from gypsumplank.errors import WorkerRefusedError, WorkerUnknownError
from gypsumplank.protocol.job import Room
from gypsumplank.protocol.worker import (
    EndedTask,
    EndKind,
    Report,
    RunningTask,
    StartOrder,
    StartRefusal,
    WorkerEntry,
    WorkerState,
)

STOP_S = 0.2
MAX_LEASE_S = 6.0
BEAT_S = 1.5
# Orders that get no answer are carried out up to this much later, seconds.
LATE_S = 8.0


@dataclass
class Run:
    """Hold a run at work; times are simulated seconds."""

    name: str
    run: int
    begun: float
    ends: float
    kind: EndKind
    stop_at: float = 0.0


@dataclass
class Started:
    """Record a start for the judge of a test; `late` where the order got no answer at first."""

    worker: str
    born: int
    name: str
    run: int
    begun: float
    ended: float | None = None
    kind: EndKind | None = None
    noted: bool = False
    late: bool = False


@dataclass
class FarmWorker:
    """Behave like one worker machine through its lives."""

    entry: WorkerEntry
    up: bool = True
    reachable: bool = True
    token: int = 0
    lease_until: float = 0.0
    running: dict[str, Run] = field(default_factory=dict)
    ended: list[EndedTask] = field(default_factory=list)
    barred: dict[str, int] = field(default_factory=dict)
    number: int = 0
    void: set[int] = field(default_factory=set)
    born_at: float = 0.0


class Farm:
    """Hold all workers; implements the port through which the scheduler gives orders."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.now = 0.0
        self.workers: dict[str, FarmWorker] = {}
        self.history: list[Started] = []
        self.lose = 0.0
        self.fail_share = 0.0
        self.late: list[tuple[float, FarmWorker, StartOrder]] = []

    def add(self, name: str, service: str, room: Room, machine: str = "") -> FarmWorker:
        """Add a worker."""
        entry = WorkerEntry(
            name, service, f"{name}:80", "z", WorkerState.READY, room, ("a", "r1"), machine or name
        )
        worker = FarmWorker(replace(entry, born=int(self.now * 1000) + 1), born_at=self.now)
        self.workers[name] = worker
        return worker

    def entries(self) -> list[WorkerEntry]:
        """Return the entries of workers that are up."""
        return [
            replace(one.entry, clock_ms=self._clock_ms(one), seq=int(self.now / BEAT_S))
            for one in self.workers.values()
            if one.up
        ]

    def drain(self, name: str) -> None:
        """Announce that a worker leaves."""
        worker = self.workers[name]
        worker.entry = replace(worker.entry, state=WorkerState.DRAINING)

    def crash(self, name: str) -> None:
        """End a worker's life and all its runs."""
        worker = self.workers[name]
        for run in list(worker.running.values()):
            self._close(worker, run, None)
        worker.up = False

    def revive(self, name: str) -> None:
        """Start a worker again under its old name, without any memory."""
        old = self.workers[name].entry
        entry = replace(old, born=int(self.now * 1000) + 1, state=WorkerState.READY)
        self.workers[name] = FarmWorker(entry, born_at=self.now)

    def advance(self, seconds: float) -> None:
        """Let time pass."""
        self.now += seconds
        due = [one for one in self.late if one[0] <= self.now]
        self.late = [one for one in self.late if one[0] > self.now]
        for _, worker, order in due:
            # An order that waits in a process is lost with it.
            if worker.up:
                self._try_late(worker, order)
        for worker in self.workers.values():
            if worker.up:
                self._step(worker)

    def _try_late(self, worker: FarmWorker, order: StartOrder) -> None:
        try:
            self._start(worker, order, late=True)
        except WorkerRefusedError:
            return

    def _step(self, worker: FarmWorker) -> None:
        if self.now >= worker.lease_until:
            # An end that is confirmed after the lease has lapsed does not count as noted.
            worker.void.update(end.number for end in worker.ended)
        for run in list(worker.running.values()):
            if self.now >= worker.lease_until:
                self._close(worker, run, EndKind.LAPSED)
            elif run.stop_at and self.now >= run.stop_at:
                self._close(worker, run, EndKind.STOPPED)
            elif self.now >= run.ends:
                self._close(worker, run, run.kind)

    def _close(self, worker: FarmWorker, run: Run, kind: EndKind | None) -> None:
        del worker.running[run.name]
        for one in self.history:
            same = (one.worker, one.born, one.name, one.run) == (
                worker.entry.id,
                worker.entry.born,
                run.name,
                run.run,
            )
            if same and one.ended is None:
                one.ended, one.kind = self.now, kind
        worker.barred[run.name] = max(worker.barred.get(run.name, 0), run.run)
        if kind is not None:
            worker.number += 1
            worker.ended.append(EndedTask(worker.number, run.name, run.run, kind))

    def _clock_ms(self, worker: FarmWorker) -> int:
        return int((self.now - worker.born_at) * 1000)

    def _reach(self, worker: WorkerEntry) -> FarmWorker:
        found = self.workers.get(worker.id)
        if found is None or not found.up:
            raise WorkerRefusedError(StartRefusal.UNREACHED)
        if not found.reachable:
            raise WorkerUnknownError("cut off")
        return found

    def _fence(self, worker: FarmWorker, token: int) -> None:
        if token < worker.token:
            raise WorkerRefusedError(StartRefusal.FENCED)
        worker.token = token

    def _lease(self, worker: FarmWorker, until_ms: int) -> None:
        until = min(worker.born_at + until_ms / 1000, self.now + MAX_LEASE_S)
        worker.lease_until = max(worker.lease_until, until)

    def _loses(self) -> bool:
        return self.rng.random() < self.lose

    def hold(
        self, worker: WorkerEntry, token: int, until_ms: int | None, ack: int, wait_s: float
    ) -> Report:
        """Extend the leases of all tasks, forget ends up to `ack`."""
        found = self._reach(worker)
        self._fence(found, token)
        if until_ms is not None:
            self._lease(found, until_ms)
        for end in found.ended:
            if end.number <= ack and end.number not in found.void:
                self._note(found, end)
        found.ended = [end for end in found.ended if end.number > ack]
        if self._loses():
            raise WorkerUnknownError("answer lost")
        running = tuple(
            RunningTask(run.name, run.run, "", self._percent(run)) for run in found.running.values()
        )
        return Report(found.entry.born, self._clock_ms(found), running, tuple(found.ended))

    def _percent(self, run: Run) -> int:
        if run.ends - run.begun > 1000:
            return 100
        return int(100 * (self.now - run.begun) / (run.ends - run.begun))

    def _note(self, worker: FarmWorker, end: EndedTask) -> None:
        for one in self.history:
            if (one.worker, one.born, one.name, one.run) == (
                worker.entry.id,
                worker.entry.born,
                end.name,
                end.run,
            ):
                one.noted = True

    def start(self, worker: WorkerEntry, order: StartOrder) -> int:
        """Start a task."""
        found = self._reach(worker)
        if self._loses():
            if self.rng.random() < 0.5:
                self._try_late(found, order)
            else:
                due = self.now + self.rng.random() * LATE_S
                self.late.append((due, found, order))
            raise WorkerUnknownError("answer lost")
        self._start(found, order)
        return self._clock_ms(found)

    def _start(self, worker: FarmWorker, order: StartOrder, late: bool = False) -> None:
        self._fence(worker, order.token)
        self._lease(worker, order.until_ms)
        if worker.running.get(order.name, Run("", 0, 0, 0, EndKind.DONE)).run == order.run:
            return
        if order.run <= worker.barred.get(order.name, 0):
            raise WorkerRefusedError(StartRefusal.OLD)
        if order.until_ms < self._clock_ms(worker):
            raise WorkerRefusedError(StartRefusal.LATE)
        took = float(order.spec) * (0.5 + self.rng.random())
        kind = EndKind.FAILED if self.rng.random() < self.fail_share else EndKind.DONE
        worker.running[order.name] = Run(order.name, order.run, self.now, self.now + took, kind)
        self.history.append(
            Started(worker.entry.id, worker.entry.born, order.name, order.run, self.now, late=late)
        )

    def stop(self, worker: WorkerEntry, name: str, run: int, token: int) -> None:
        """Stop a run, and refuse it if it comes later."""
        found = self._reach(worker)
        self._fence(found, token)
        found.barred[name] = max(found.barred.get(name, 0), run)
        held = found.running.get(name)
        if held is not None and held.run == run:
            held.stop_at = held.stop_at or self.now + STOP_S
        if self._loses():
            raise WorkerUnknownError("answer lost")

    def pace(self, worker: WorkerEntry, name: str, run: int, percent: int, token: int) -> None:
        """Accept a pace; simulated work does not change."""
        self._fence(self._reach(worker), token)
