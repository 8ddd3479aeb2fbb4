"""Run all jobs while this daemon holds the scheduler's lease; used by one thread only."""

import logging
from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import dataclass, replace

from gypsumplank.coordination.job.courier import Courier
from gypsumplank.coordination.job.eviction import ROOM_WAIT_S, evacuated, make_room, stalled
from gypsumplank.coordination.job.fleet import HOLD_ON_S, Fleet
from gypsumplank.coordination.job.model import Job, Step, Task
from gypsumplank.coordination.job.pacing import Pace, paces
from gypsumplank.coordination.job.permit import Permits
from gypsumplank.coordination.job.placing import Board, Placement, Waiting, urgency
from gypsumplank.coordination.job.settle import Heard, free, settle
from gypsumplank.coordination.job.site import REFUSED_S, SUSPECT_S, Site
from gypsumplank.coordination.job.workload import Workload
from gypsumplank.errors import WorkerError, WorkerRefusedError
from gypsumplank.log import Event, event
from gypsumplank.protocol.job import FINAL_JOB_STATES, TaskPhase
from gypsumplank.protocol.queue import Manifest, Queue
from gypsumplank.protocol.worker import (
    RunningTask,
    StartOrder,
    StartRefusal,
    WorkerEntry,
)
from gypsumplank.state.clock import Clock
from gypsumplank.state.job import LoadedJob

# Pause before an unanswered stop is sent again, seconds.
STOP_AGAIN_S = 0.6

logger = logging.getLogger(__name__)


@dataclass(frozen=True)
class Start:
    """Hold a start that is stored before it is sent."""

    task: Task
    site: Site
    run: int


class Scheduler:
    """Decide on starts and stops from jobs, workers' entries and workers' reports."""

    def __init__(
        self,
        clock: Clock,
        manifest: Callable[[], Manifest | None],
        token: int,
        max_lease_s: float,
        heartbeat_s: float = 1.5,
    ) -> None:
        self._clock = clock
        self._manifest = manifest
        self._token = token
        self.workload = Workload()
        self.fleet = Fleet(clock, max_lease_s, heartbeat_s)
        self.unsent: list[Start] = []
        self.permits: Permits | None = None
        self.fenced = False

    def attach(self, courier: Courier) -> None:
        """Use this courier."""
        self.fleet.courier = courier

    def now(self) -> float:
        """Return monotonic seconds."""
        return self._clock.monotonic()

    @property
    def courier(self) -> Courier:
        """Return the courier in use."""
        assert self.fleet.courier is not None
        return self.fleet.courier

    @property
    def sites(self) -> dict[str, Site]:
        """Return the worker lives by key."""
        return self.fleet.sites

    def load(self, jobs: Sequence[LoadedJob], entries: Sequence[WorkerEntry]) -> None:
        """Take over what an earlier holder of the lease has stored."""
        now = self._clock.monotonic()
        self.fleet.take_entries(entries)
        for loaded in jobs:
            job = self.workload.add(loaded, now)
            for task in job.assigned():
                self.fleet.site_of(task, now).tasks[task.name] = task
                task.lost_at = now
        for site in self.sites.values():
            site.covers(now, HOLD_ON_S + self.fleet.max_lease_s)

    def hear(self, site: Site, heard: Heard) -> None:
        """Take in a worker's report."""
        if site.gone:
            return
        if heard.report.born != site.born:
            entry = replace(site.entry, born=heard.report.born, clock_ms=heard.report.clock_ms)
            self.fleet.reborn(site.id, site, entry, heard.answered_at)
            return
        if site.missed:
            event(logger, Event.WORKER_HEARD, worker=site.id, misses=site.missed)
        if not site.contacted_at:
            # From now on the worker ignores earlier holders of the lease.
            site.covered_until = 0.0
            site.covers(heard.answered_at, self.fleet.max_lease_s)
        site.contacted_at = heard.answered_at
        site.missed = 0
        attempts = {name: self._attempts(task) for name, task in site.tasks.items()}
        for stray in settle(site, heard, lambda task: attempts.get(task.name, 1)):
            self._stop_stray(site, stray)

    def _attempts(self, task: Task) -> int:
        queue = self._queue(task.step.job)
        return queue.max_attempts if queue else 1

    def _queue(self, job: Job) -> Queue | None:
        manifest = self._manifest()
        return manifest.named(job.stored.queue) if manifest else None

    def _stop_stray(self, site: Site, stray: RunningTask) -> None:
        event(logger, Event.RUN_UNWANTED, task=stray.name, run=stray.run, worker=site.id)
        self.courier.stop(site, stray.name, stray.run, lambda _failure, _at: None)

    # Rounds

    def plan(self) -> None:
        """Free what has lapsed and choose what starts next."""
        now = self._clock.monotonic()
        self._expire(now)
        self.workload.settle(now)
        wall_ms = self._clock.wall() * 1000
        waiting = [
            one for job in self.workload.jobs.values() for one in self._waiting(job, wall_ms)
        ]
        self._evict(waiting, now)
        board = Board(self.sites.values(), now)
        for one in sorted(waiting, key=lambda each: urgency(each, now, wall_ms)):
            placed = board.place(one)
            if placed:
                self._assign(one, placed)
        self.workload.settle(now)

    def _waiting(self, job: Job, wall_ms: float) -> list[Waiting]:
        if job.state in FINAL_JOB_STATES or job.cancelled:
            return []
        queue = self._queue(job)
        if queue is None:
            queue = Queue(job.stored.queue, "", "", job.service)
        found = []
        for step in job.steps.values():
            tasks = tuple(task for task in step.tasks if task.phase is TaskPhase.WAITING)
            if not tasks or (step.order.gang and len(tasks) < len(step.tasks)):
                continue
            if job.is_ready(step, wall_ms):
                found.append(Waiting(job, step, tasks, queue, self._permits_of(step, queue)))
        return found

    def _permits_of(self, step: Step, queue: Queue) -> Mapping[str, str] | None:
        if queue.advice is None or self.permits is None:
            return None
        now = self._clock.monotonic()
        able = [
            site.id
            for site in self.sites.values()
            if site.entry.service == step.job.service and site.takes_work(now)
        ]
        return self.permits.of(step.key, able, queue.advice.valid_ms / 1000)

    def _evict(self, waiting: Sequence[Waiting], now: float) -> None:
        """Stop runs on leaving and stalled workers, and for lasting tasks that find no room."""
        sites = list(self.sites.values())
        self.stop(list(evacuated(sites)))
        for task in list(stalled(sites, now)):
            self._give_up(task, now)
        for one in waiting:
            if not one.step.order.lasting:
                continue
            late = [task for task in one.tasks if now - task.waiting_since > ROOM_WAIT_S]
            for task in late[:1]:
                self.stop(make_room(task, sites, now))

    def _give_up(self, task: Task, now: float) -> None:
        """Stop a run without progress, and try its task elsewhere."""
        event(logger, Event.RUN_STALLED, task=task.name, run=task.run, worker=task.worker)
        task.failed_on = tuple(dict.fromkeys((*task.failed_on, task.worker)))
        site = self.sites.get(task.worker)
        if site is not None:
            site.suspect_until = now + SUSPECT_S
        self.stop([task])

    def _assign(self, waiting: Waiting, placed: Sequence[Placement]) -> None:
        shared = max(task.run for task in waiting.step.tasks) + 1
        for one in placed:
            run = shared if waiting.step.order.gang else one.task.run + 1
            one.task.assign(one.site.id, one.site.born, run)
            one.task.permit = (waiting.permits or {}).get(one.site.id, "")
            one.site.tasks[one.task.name] = one.task
            # Until it is sent, the start counts as if it were under way with a full lease.
            one.site.covers(self._clock.monotonic(), self.fleet.max_lease_s)
            self.unsent.append(Start(one.task, one.site, run))

    def _expire(self, now: float) -> None:
        for key, site in list(self.sites.items()):
            if site.tasks and not site.contact_is_fresh(now) and site.has_lapsed(now):
                self.fleet.release_all(site, now, "lease-over")
            self.fleet.drop_if_idle(key, site)

    def dispatch(self) -> None:
        """Send what has been stored: starts, stops and confirmations of ends."""
        now = self._clock.monotonic()
        ready = [start for start in self.unsent if not start.task.step.dirty]
        self.unsent = [start for start in self.unsent if start.task.step.dirty]
        for start in ready:
            self._send_start(start, now)
        for pace in list(paces(self.sites.values(), now)):
            self._send_pace(pace, now)
        all_stored = not self._has_unstored()
        for site in list(self.sites.values()):
            self._stop_due(site, now)
            if all_stored and site.acked < site.noted:
                site.acked = site.noted
                site.wake.set()

    def _has_unstored(self) -> bool:
        return any(step.dirty for job in self.workload.jobs.values() for step in job.steps.values())

    def _send_start(self, start: Start, now: float) -> None:
        task, site = start.task, start.site
        if task.run != start.run or task.phase is not TaskPhase.ASSIGNED:
            return
        if task.step.job.cancelled or task.step.job.state in FINAL_JOB_STATES:
            free(site, task, now)
            return
        task.sent_at = now
        checkpoint = _shared_checkpoint(task)
        event(logger, Event.RUN_STARTED, task=task.name, run=task.run, worker=site.id)
        self.courier.start(
            site,
            lambda until_ms: self._order(start, until_ms, checkpoint),
            lambda failure, at: self._started(start, failure, at),
        )
        site.wake.set()

    def _order(self, start: Start, until_ms: int, checkpoint: str) -> StartOrder | None:
        """Return what a worker is told; None where the run has been given up meanwhile."""
        task = start.task
        if task.run != start.run or start.site.tasks.get(task.name) is not task:
            return None
        spec = task.step.job.stored.order.spec
        return StartOrder(
            task.name, start.run, spec, until_ms, self._token, checkpoint, task.permit
        )

    def _started(self, start: Start, failure: WorkerError | None, at: float) -> None:
        task, site = start.task, start.site
        if task.run != start.run or site.tasks.get(task.name) is not task:
            return
        if failure is None:
            task.answered_at = at
            return
        event(
            logger,
            Event.RUN_REFUSED,
            logging.WARNING,
            task=task.name,
            run=task.run,
            worker=site.id,
            code=failure.code,
            detail=failure.detail,
        )
        if not isinstance(failure, WorkerRefusedError):
            task.lost_at = at
            site.missed += 1
            self.courier.look(site)
            return
        if failure.reason == StartRefusal.UNREACHED:
            site.missed += 1
        site.refused_until = at + REFUSED_S
        self.fenced = self.fenced or failure.reason == StartRefusal.FENCED
        if failure.reason == StartRefusal.NO_PERMIT and self.permits is not None:
            self.permits.forget(task.step.key)
        free(site, task, at)

    def _send_pace(self, pace: Pace, now: float) -> None:
        task, before = pace.task, pace.task.pace
        task.pace, task.paced_at = pace.percent, now
        event(
            logger,
            Event.TASK_PACED,
            task=task.name,
            run=task.run,
            worker=pace.site.id,
            percent=pace.percent,
        )

        def sent(failure: WorkerError | None, _at: float) -> None:
            if failure is not None and task.pace == pace.percent:
                task.pace = before

        self.courier.pace(pace.site, task.name, task.run, pace.percent, sent)

    def _stop_due(self, site: Site, now: float) -> None:
        if site.gone:
            return
        for task in list(site.tasks.values()):
            if task.sent_at == 0 and not task.lost_at:
                continue
            if (
                _must_stop(task, site)
                and now >= task.stopping_at + STOP_AGAIN_S
                and not task.stopped_at
            ):
                task.stopping_at = now
                self.courier.stop(
                    site,
                    task.name,
                    task.run,
                    lambda failure, at, task=task, run=task.run: self._stopped(  # type: ignore[misc]
                        site, task, run, failure, at
                    ),
                )

    def _stopped(
        self, site: Site, task: Task, run: int, failure: WorkerError | None, at: float
    ) -> None:
        if failure is None and task.run == run:
            task.stopped_at = at
            if task.lost_at:
                self.courier.look(site)

    def stop(self, tasks: Collection[Task]) -> None:
        """Ask for runs to be stopped; their checkpoints are kept."""
        now = self._clock.monotonic()
        for task in tasks:
            if task.wanted:
                task.wanted, task.unwanted_at = False, now


def _must_stop(task: Task, site: Site) -> bool:
    job = task.step.job
    over = job.cancelled or job.state in FINAL_JOB_STATES
    unseen = 0 < task.lost_at < site.contacted_at
    return over or unseen or not task.wanted


def _shared_checkpoint(task: Task) -> str:
    if not task.step.order.gang:
        return task.checkpoint
    return next((one.checkpoint for one in task.step.tasks if one.checkpoint), "")
