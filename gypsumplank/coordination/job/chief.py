"""Take the scheduler's lease, run the scheduler while it is held, and store what it decides."""

import logging
import queue
import threading
from collections.abc import Callable, Iterable

from gypsumplank.coordination.job.fleet import HOLD_ON_S
from gypsumplank.coordination.job.model import Job
from gypsumplank.coordination.job.permit import Permits
from gypsumplank.coordination.job.scheduler import Scheduler
from gypsumplank.coordination.job.silence import Silences
from gypsumplank.coordination.job.survey import Sighted
from gypsumplank.coordination.job.term import Care, Crew, NoRivals, Ports, Rivals, Term, ThreadCrew
from gypsumplank.errors import (
    GypsumplankError,
    JobMissingError,
    StateConflictError,
    StateError,
    StateUnknownError,
)
from gypsumplank.log import Event, event
from gypsumplank.protocol.job import FINAL_JOB_STATES, JobState, StoredJob
from gypsumplank.protocol.queue import Manifest
from gypsumplank.state.clock import Clock
from gypsumplank.state.job import LoadedJob, StateValue, Unit, batches, decode
from gypsumplank.state.table import Row

LEASE = "scheduler"
# Life of the scheduler's lease, seconds; several answers of a slow store fit into it.
LEASE_LIFE_S = 2.0
# Time between looks at the lease, seconds; a few fit into its life.
LEASE_TICK_S = 0.4
# Longest wait for the hand-over at a stop, seconds; others take a lapsed lease anyway.
CLOSE_S = 0.5
# Time after an outage of the store in which its holder may renew the lease before another daemon
# takes it, seconds; two looks at the lease.
REGAIN_S = 2 * LEASE_TICK_S
# Time after an outage of the store in which workers' entries may still be missing, seconds; the
# platform states about two.
ENTRIES_BACK_S = 2.5
# Least time of holding the lease before it is handed to a faster daemon, seconds; as long as a
# daemon that ended may be taken for live.
YIELD_AFTER_S = 10.0
# Longest pause between rounds, seconds; bounds how late a timer fires.
ROUND_S = 0.2

logger = logging.getLogger(__name__)


class Chief:
    """Run one thread that owns the lease, the scheduler and all commits under the lease."""

    def __init__(
        self,
        ports: Ports,
        clock: Clock,
        manifest: Callable[[], Manifest | None],
        max_lease_s: Callable[[], float],
        care: Care,
        crew: Crew | None = None,
        heartbeat_s: float = 1.5,
        rivals: Rivals | None = None,
    ) -> None:
        self._rivals = rivals or NoRivals()
        self._heartbeat_s = heartbeat_s
        self._ports = ports
        self._crew = crew or ThreadCrew(ports, clock, max_lease_s)
        self._clock = clock
        self._manifest = manifest
        self._max_lease_s = max_lease_s
        self._care = care
        self._inbox: queue.SimpleQueue[Callable[[], None]] = queue.SimpleQueue()
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, name="chief", daemon=True)
        self._term: Term | None = None
        self._silences = Silences(ports.store, ports.store_ms)
        self._lease_due = 0.0
        self._must_renew = False
        self._store_lost = False
        self._yield_due = 0.0
        self._regained_at = -ENTRIES_BACK_S

    @property
    def leads(self) -> bool:
        """Tell whether this daemon runs the scheduler."""
        return self._term is not None

    def start(self) -> None:
        """Begin to seek the lease."""
        self._thread.start()

    def stop(self) -> None:
        """Begin to hand the lease over."""
        self._stop.set()

    def close(self) -> None:
        """Wait until the lease is handed over."""
        self.stop()
        self._thread.join(CLOSE_S)

    def _run(self) -> None:
        while not self._stop.is_set():
            try:
                self.turn(ROUND_S if self._term else LEASE_TICK_S)
            except GypsumplankError as exc:
                event(logger, Event.ROUND_FAILED, logging.WARNING, code=exc.code, detail=exc.detail)
            except Exception:
                logger.exception(Event.ACTOR_RESTARTED.value)
                self._resign("fault")
        self._resign("stop")
        self._ports.leases.close()

    def turn(self, wait_s: float) -> None:
        """Take in what has come, keep the lease, and run one round."""
        for work in self._arrivals(wait_s):
            work()
        if self._clock.monotonic() >= self._lease_due:
            self._tick_lease()
        if self._term is not None:
            self._round(self._term)

    def _arrivals(self, wait_s: float) -> Iterable[Callable[[], None]]:
        try:
            yield self._inbox.get(timeout=wait_s)
            while True:
                yield self._inbox.get_nowait()
        except queue.Empty:
            return

    # Lease

    def _tick_lease(self) -> None:
        leases = self._ports.leases
        self._lease_due = self._clock.monotonic() + LEASE_TICK_S
        if self._term is not None and leases.fence(LEASE) is not None:
            if self._yields():
                self._resign("yield")
                leases.close()
                return
            if self._renew() or self._store_lost:
                return
            self._lease_due = self._clock.monotonic() + LEASE_TICK_S
        try:
            leases.tick([LEASE], (), self._patience())
        except StateError as exc:
            self._note_store(exc)
            return
        self._note_store(None)
        epoch = leases.epoch(LEASE)
        if self._term is not None and epoch != self._term.epoch:
            self._resign("lease")
        if self._term is None and epoch is not None and leases.fence(LEASE) is not None:
            self._take_over(epoch)

    def _yields(self) -> bool:
        """Tell whether a faster daemon should run the scheduler."""
        now = self._clock.monotonic()
        if now < self._yield_due or self._store_lost or not self._rivals.are_faster():
            return False
        self._yield_due = now + YIELD_AFTER_S
        return True

    def _note_store(self, exc: StateError | None) -> None:
        if (exc is not None) == self._store_lost:
            return
        self._store_lost = exc is not None
        if exc is not None:
            event(logger, Event.STORE_LOST, logging.WARNING, code=exc.code, detail=exc.detail)
        else:
            self._regained_at = self._clock.monotonic()
            event(logger, Event.STORE_REGAINED)

    def _patience(self) -> float:
        """Return for how long a free lease is left to others, seconds."""
        regained = self._clock.monotonic() < self._regained_at + 2 * REGAIN_S
        return max(self._rivals.patience_s(), REGAIN_S if regained or self._store_lost else 0.0)

    def _take_over(self, epoch: int) -> None:
        if self._manifest() is None:
            return
        scheduler = self._load(epoch)
        fence = self._ports.leases.fence(LEASE)
        if fence is None:
            return
        post = self._post_for(epoch)
        courier = self._crew.courier(epoch, post, self._may_extend, scheduler.hear)
        scheduler.attach(courier)
        if self._ports.advisor is not None:
            scheduler.permits = Permits(self._ports.advisor, self._clock, post)
        term = Term(epoch, scheduler, courier)
        for site in scheduler.sites.values():
            if not site.gone:
                courier.attach(site)
        term.watches = self._crew.watches(
            fence.version,
            lambda sighted: post(lambda: self._sighted(term, sighted)),
            lambda rows: post(lambda: self._ordered(term, rows)),
        )
        for watch in term.watches:
            watch.start()
        now = self._clock.monotonic()
        self._term = term
        self._yield_due = max(self._yield_due, now + LEASE_TICK_S)
        self._care.begin(epoch, now)
        event(
            logger,
            Event.SCHEDULER_LOADED,
            epoch=epoch,
            jobs=len(scheduler.workload.jobs),
            workers=len(scheduler.sites),
            version=fence.version,
        )

    def _load(self, epoch: int) -> Scheduler:
        """Read what earlier holders have stored, renewing the lease meanwhile; raise StateError."""
        jobs, ended = self._ports.store.load(self._keep_lease)
        entries = self._ports.directory.workers()
        self._keep_lease()
        scheduler = Scheduler(
            self._clock, self._manifest, epoch, self._max_lease_s(), self._heartbeat_s
        )
        scheduler.load(jobs, entries)
        now = self._clock.monotonic()
        cover_s = HOLD_ON_S + self._max_lease_s()
        self._silences.begin(scheduler.sites.values(), cover_s, now)
        scheduler.workload.ended.update(dict.fromkeys(ended, now))
        return scheduler

    def _keep_lease(self) -> None:
        """Renew the lease if that is due; raise StateError where it is lost."""
        if self._clock.monotonic() >= self._lease_due:
            self._lease_due = self._clock.monotonic() + LEASE_TICK_S
            self._ports.leases.renew(LEASE)

    def _may_extend(self) -> bool:
        """Tell whether tasks' leases may be extended; a later holder waits for this to be over."""
        return self._clock.monotonic() < self._ports.leases.proven_until(LEASE) + HOLD_ON_S

    def post(self, work: Callable[[], None]) -> None:
        """Have the chief's thread do some work."""
        self._inbox.put(work)

    def _post_for(self, epoch: int) -> Callable[[Callable[[], None]], None]:
        def post(work: Callable[[], None]) -> None:
            def guarded() -> None:
                if self._term is not None and self._term.epoch == epoch:
                    work()

            self._inbox.put(guarded)

        return post

    def _resign(self, why: str) -> None:
        term, self._term = self._term, None
        if term is not None:
            term.close()
            self._care.end()
            event(logger, Event.SCHEDULER_LEFT, epoch=term.epoch, why=why)

    # What comes in

    def _ordered(self, term: Term, rows: Iterable[Row]) -> None:
        for row in rows:
            if row.key not in term.scheduler.workload.jobs:
                self._add(term, row)

    def _add(self, term: Term, row: Row) -> None:
        stored = decode(row.value, StoredJob)
        workload = term.scheduler.workload
        if stored.id in workload.ended:
            return
        workload.add(
            LoadedJob(stored, JobState.QUEUED, row.version, False, {}), self._clock.monotonic()
        )

    def _sighted(self, term: Term, sighted: Sighted) -> None:
        workload = term.scheduler.workload
        complete = self._clock.monotonic() >= self._regained_at + ENTRIES_BACK_S
        term.scheduler.fleet.take_entries(sighted.entries, complete and not self._store_lost)
        for job_id in sighted.pending - workload.jobs.keys():
            row = self._ports.store.order(job_id)
            if row is not None:
                self._add(term, row)
        for job_id in sighted.cancels:
            workload.cancel(job_id)

    # Rounds

    def _round(self, term: Term) -> None:
        fence = self._ports.leases.fence(LEASE)
        scheduler = term.scheduler
        if fence is None or (self._must_renew and not self._renew()):
            return
        self._care.upkeep.plan(scheduler, self._clock.monotonic())
        scheduler.plan()
        if self._commit(term) and self._note_silences(scheduler):
            scheduler.dispatch()
            self._care.act(scheduler, self._manifest(), self._clock.monotonic())
        if scheduler.fenced:
            scheduler.fenced = False
            self._lease_due = 0.0

    def _renew(self) -> bool:
        """Bump the lease's row, which also invalidates a commit of unknown outcome."""
        try:
            self._ports.leases.renew(LEASE)
        except StateConflictError:
            self._lease_due = 0.0
            return False
        except StateError as exc:
            self._note_store(exc)
            return False
        self._note_store(None)
        self._must_renew = False
        return True

    def _commit(self, term: Term) -> bool:
        units = list(term.scheduler.workload.units())
        jobs = {id(unit): job for job, unit in units}
        for batch in batches(unit for _, unit in units):
            fence = self._ports.leases.fence(LEASE)
            if fence is None:
                return False
            try:
                version = self._ports.store.commit(fence, batch)
            except StateConflictError:
                self._recheck(term, [jobs[id(unit)] for unit in batch])
                return False
            except StateUnknownError as exc:
                self._must_renew = True
                self._note_failed(exc, batch)
                return False
            except StateError as exc:
                self._note_failed(exc, batch)
                return False
            now = self._clock.monotonic()
            for unit in batch:
                term.scheduler.workload.stored(jobs[id(unit)], unit, version, now)
        return True

    def _note_silences(self, scheduler: Scheduler) -> bool:
        fence = self._ports.leases.fence(LEASE)
        if fence is None:
            return False
        try:
            self._silences.step(fence, scheduler.sites.values(), self._clock.monotonic())
        except StateConflictError:
            self._tick_lease()
            return False
        except StateError as exc:
            self._must_renew = isinstance(exc, StateUnknownError)
            event(logger, Event.ROUND_FAILED, logging.WARNING, code=exc.code, detail=exc.detail)
            return False
        return True

    def _note_failed(self, exc: StateError, batch: list[Unit]) -> None:
        event(
            logger,
            Event.ROUND_FAILED,
            logging.WARNING,
            code=exc.code,
            detail=exc.detail,
            jobs=len(batch),
        )

    def _recheck(self, term: Term, jobs: Iterable[Job]) -> None:
        """Find out whether the lease or the state of a job has changed."""
        self._tick_lease()
        if self._term is not term:
            return
        for job in jobs:
            if not job.state_dirty:
                continue
            try:
                value, version = self._ports.store.state(job.id)
            except JobMissingError:
                value, version = StateValue(job.state, job.stored.queue), 0
            job.version = version
            if value.state is JobState.CANCELLED:
                term.scheduler.workload.cancel(job.id)
            elif value.state in FINAL_JOB_STATES and value.state is job.state:
                job.state_dirty = False
