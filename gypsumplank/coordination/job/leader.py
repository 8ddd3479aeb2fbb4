"""Elect a leader by the scheduler's lease; the leader runs the scheduler and stores its state."""

import logging
import threading
from collections.abc import Callable, Iterable

from gypsumplank.coordination.job.accounts import Accounts
from gypsumplank.coordination.job.commit import JobCommitter
from gypsumplank.coordination.job.contact import StoreContact
from gypsumplank.coordination.job.cutoff import CutOffDetector
from gypsumplank.coordination.job.fleet import EXTENSION_GRACE_S
from gypsumplank.coordination.job.handover import LeaseHandover
from gypsumplank.coordination.job.inbox import Inbox
from gypsumplank.coordination.job.intake import JobIntake
from gypsumplank.coordination.job.knownqueue import KnownQueues
from gypsumplank.coordination.job.model import Job
from gypsumplank.coordination.job.permit import PermitCache
from gypsumplank.coordination.job.renewal import LeaseRenewal
from gypsumplank.coordination.job.retention import StateRetention
from gypsumplank.coordination.job.scheduler import Scheduler
from gypsumplank.coordination.job.silence import SilentWorkers
from gypsumplank.coordination.job.suspension import SuspensionLog
from gypsumplank.coordination.job.term import (
    LeaderCandidates,
    MachineManager,
    NoCandidates,
    PlatformPorts,
    Term,
    TermFactory,
    ThreadedTermFactory,
)
from gypsumplank.coordination.job.timing import LeaderTimings
from gypsumplank.coordination.job.watch import StoreSnapshot
from gypsumplank.errors import (
    GypsumplankError,
    StateConflictError,
    StateError,
    StateUnknownError,
)
from gypsumplank.log import Event, event
from gypsumplank.protocol.queue import Manifest
from gypsumplank.state.clock import Clock
from gypsumplank.state.table import Check

SCHEDULER_LEASE = "scheduler"
# Duration of the scheduler's lease, seconds; long enough for several store calls that are slow but
# do not time out. The timeout of one call is 1.2 s (STORE_TIMEOUT_S in composition/platform.py).
LEASE_DURATION_S = 2.0
# Interval between checks of the lease, seconds; a fifth of LEASE_DURATION_S, so that a renewal that
# fails is tried again before the lease expires.
LEASE_CHECK_INTERVAL_S = 0.4
# Time after the last attempt to renew the lease from which rounds and take-overs renew it, seconds;
# before that, the next check of the lease does.
LATE_RENEWAL_S = 1.5 * LEASE_CHECK_INTERVAL_S
# Longest wait for the hand-over at a stop, seconds; if it takes longer, another daemon takes the
# lease once it has expired.
CLOSE_TIMEOUT_S = 0.5
# Longest time between rounds, seconds; bounds the delay of timers.
MAX_ROUND_INTERVAL_S = 0.2

# Measures the load after a round; times are monotonic seconds.
MeasureLoad = Callable[[Scheduler, Manifest | None, float], None]

logger = logging.getLogger(__name__)


class SchedulerLeader:
    """Run the thread that owns the lease, the scheduler and all commits under the lease."""

    def __init__(
        self,
        ports: PlatformPorts,
        clock: Clock,
        manifest: Callable[[], Manifest | None],
        max_lease_s: Callable[[], float],
        machine_manager: MachineManager,
        term_factory: TermFactory | None = None,
        heartbeat_s: float = 1.5,
        candidates: LeaderCandidates | None = None,
        status_s: float = 120.0,
        timings: LeaderTimings | None = None,
        accounts: Accounts | None = None,
        measure_load: MeasureLoad | None = None,
    ) -> None:
        self._measure_load = measure_load
        self._timings = timings or LeaderTimings()
        self._heartbeat_s = heartbeat_s
        self._ports = ports
        self._term_factory = term_factory or ThreadedTermFactory(ports, clock, max_lease_s)
        self._clock = clock
        self._manifest = manifest
        self._queues = KnownQueues(manifest)
        self._accounts = accounts or Accounts(manifest)
        self._max_lease_s = max_lease_s
        self._machine_manager = machine_manager
        self._inbox = Inbox(clock)
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, name="chief", daemon=True)
        self._term: Term | None = None
        self._silent_workers = SilentWorkers(ports.store, ports.store_clock)
        self._retention = StateRetention(ports.store, status_s)
        self._renewal = LeaseRenewal(
            ports.leases,
            SCHEDULER_LEASE,
            clock,
            LATE_RENEWAL_S,
            self._timings.renewal_gap_s,
        )
        self._intake = JobIntake(ports.store, clock, self._renewal.renew_if_due)
        self._cut_off = CutOffDetector(clock)
        self._suspension_log = SuspensionLog()
        self._next_lease_check_at = 0.0
        self._must_renew = False
        self._contact = StoreContact(clock)
        self._handover = LeaseHandover(clock, candidates or NoCandidates(), self._contact)
        self._round_ended_at: float | None = None

    @property
    def is_leader(self) -> bool:
        """Return whether this daemon is the leader, that is, runs the scheduler."""
        return self._term is not None

    @property
    def scheduler(self) -> Scheduler | None:
        """Return this term's scheduler; None if this daemon is not the leader."""
        return self._term.scheduler if self._term is not None else None

    def start(self) -> None:
        """Start competing for the lease."""
        self._thread.start()

    def stop(self) -> None:
        """Start handing over the lease."""
        self._stop.set()

    def close(self) -> None:
        """Stop, and wait until the lease is handed over or CLOSE_TIMEOUT_S have passed."""
        self.stop()
        self._thread.join(CLOSE_TIMEOUT_S)

    def _run(self) -> None:
        while not self._stop.is_set():
            try:
                self.run_once(self._wait_s())
            except GypsumplankError as exc:
                event(logger, Event.ROUND_FAILED, logging.WARNING, code=exc.code, detail=exc.detail)
            except Exception:
                logger.exception(Event.ACTOR_RESTARTED.value)
                self._resign("fault")
        self._resign("stop")
        self._ports.leases.close()

    def _wait_s(self) -> float:
        """Return how long to wait for a call before the next round, in seconds."""
        if self._term is None:
            return LEASE_CHECK_INTERVAL_S
        # Without the lease, or while it has to be renewed first, a round may add no jobs.
        may_add = not self._must_renew and self._ports.leases.fence(SCHEDULER_LEASE) is not None
        has_postponed = bool(self._term.scheduler.workload.postponed)
        return 0.0 if has_postponed and may_add else MAX_ROUND_INTERVAL_S

    def run_once(self, wait_s: float) -> None:
        """Run the queued calls, renew the lease if due, and run one scheduling round."""
        for call in self._inbox.take(wait_s):
            call()
            # While the store does not answer, each check waits for its timeout.
            if not self._contact.is_lost:
                self._check_lease_if_due()
        self._check_lease_if_due()
        if self._term is None:
            self._queues.update()
            self._accounts.known.update()
        else:
            self._run_round(self._term)

    def _check_lease_if_due(self) -> None:
        if self._clock.monotonic() >= self._next_lease_check_at:
            self._tick_lease()

    def _tick_lease(self) -> None:
        leases = self._ports.leases
        self._next_lease_check_at = self._clock.monotonic() + LEASE_CHECK_INTERVAL_S
        self._suspension_log.check()
        if self._term is not None and leases.fence(SCHEDULER_LEASE) is not None:
            if self._handover.should_yield():
                self._resign("yield")
                leases.close()
                return
            if self._renew() or self._contact.is_lost:
                return
            self._next_lease_check_at = self._clock.monotonic() + LEASE_CHECK_INTERVAL_S
        try:
            leases.tick([SCHEDULER_LEASE], (), self._handover.takeover_delay_s())
        except StateError as exc:
            self._contact.record(exc)
            return
        self._contact.record(None)
        epoch = leases.epoch(SCHEDULER_LEASE)
        if self._term is not None and epoch != self._term.epoch:
            self._resign("lease")
        if self._term is None and epoch is not None and leases.fence(SCHEDULER_LEASE) is not None:
            self._take_over(epoch)

    def _take_over(self, epoch: int) -> None:
        if self._manifest() is None:
            return
        self._renewal.begin_term()
        scheduler = self._load_scheduler(epoch)
        fence = self._ports.leases.fence(SCHEDULER_LEASE)
        if fence is None:
            return
        post = self._post_for_term(epoch)
        dispatcher = self._term_factory.create_dispatcher(
            epoch, post, self._may_extend_leases, scheduler.handle_report
        )
        scheduler.use_dispatcher(dispatcher)
        if self._ports.advisor is not None:
            scheduler.commands.permits = PermitCache(self._ports.advisor, self._clock, post)
        committer = JobCommitter(
            self._ports.store,
            self._clock,
            self._renewed_fence,
            self._cut_off.record_answer,
        )
        term = Term(epoch, scheduler, committer, dispatcher)
        pollable = [each for each in scheduler.instances.values() if not each.detached]
        # Workers that earlier leaders could not reach come last, as their polls take longest.
        dispatcher.begin_term(sorted(pollable, key=lambda each: each.extension_suspended))
        term.watchers = self._term_factory.create_watchers(
            fence.version,
            lambda snapshot: post(lambda: self._apply_snapshot(term, snapshot)),
            lambda rows: post(lambda: self._intake.add_new_jobs(scheduler.workload, rows)),
        )
        for watcher in term.watchers:
            watcher.start()
        term.follow_submissions(self._ports.intake, self._clock, fence.version, post)
        self._term, now = term, self._clock.monotonic()
        self._round_ended_at = None
        self._handover.begin_term(now + LEASE_CHECK_INTERVAL_S)
        self._machine_manager.start_term(epoch, now)
        event(
            logger,
            Event.SCHEDULER_LOADED,
            epoch=epoch,
            jobs=len(scheduler.workload.jobs) + len(scheduler.workload.postponed),
            workers=len(scheduler.instances),
            version=fence.version,
        )

    def _load_scheduler(self, epoch: int) -> Scheduler:
        """Load the scheduler's state from the store, renewing the lease meanwhile.

        Raises StateError.
        """
        renew_if_due = self._renewal.renew_if_due
        rows, ended = self._ports.store.scan_jobs(renew_if_due)
        entries = self._ports.directory.workers()
        renew_if_due()
        lease_s = self._max_lease_s()
        scheduler = Scheduler(
            self._clock,
            self._manifest,
            epoch,
            lease_s,
            self._heartbeat_s,
            self._queues,
            self._inbox.read_until,
        )
        scheduler.use_accounts(self._accounts.begin_term())
        scheduler.load_rows(rows, entries, renew_if_due)
        now = self._clock.monotonic()
        self._silent_workers.load(scheduler.instances.values(), EXTENSION_GRACE_S + lease_s, now)
        scheduler.workload.ended_at.update(dict.fromkeys(ended, now))
        return scheduler

    def _renewed_fence(self) -> Check | None:
        """Renew the lease if that is due; return the check for a write, None if it is not held."""
        fence = self._ports.leases.fence
        if fence(SCHEDULER_LEASE) is None or (self._renewal.is_due and not self._renew()):
            return None
        return fence(SCHEDULER_LEASE)

    def _may_extend_leases(self) -> bool:
        """Return whether tasks' leases may be extended.

        They may until EXTENSION_GRACE_S after the end of the scheduler's lease; a later leader
        allows for this time before it counts a task's lease as expired.
        """
        held_until = self._ports.leases.held_until(SCHEDULER_LEASE)
        return self._clock.monotonic() < held_until + EXTENSION_GRACE_S

    def post(self, call: Callable[[], None]) -> None:
        """Queue a call for this thread."""
        self._inbox.put(call)

    def _post_for_term(self, epoch: int) -> Callable[[Callable[[], None]], None]:
        def post(call: Callable[[], None]) -> None:
            def guarded() -> None:
                if self._term is not None and self._term.epoch == epoch:
                    call()

            self._inbox.put(guarded)

        return post

    def _resign(self, reason: str) -> None:
        term, self._term = self._term, None
        if term is not None:
            term.close()
            self._machine_manager.end_term()
            event(logger, Event.SCHEDULER_STOPPED, epoch=term.epoch, why=reason)

    def _apply_snapshot(self, term: Term, snapshot: StoreSnapshot) -> None:
        self._intake.apply_snapshot(
            term.scheduler, snapshot, self._contact.are_entries_complete(snapshot.requested_at)
        )

    def _run_round(self, term: Term) -> None:
        fence = self._ports.leases.fence(SCHEDULER_LEASE)
        scheduler = term.scheduler
        if fence is None or (self._must_renew and not self._renew()):
            return
        now = self._clock.monotonic
        started = now()
        if self._round_ended_at is not None:
            self._timings.round_gap_s(started - self._round_ended_at)
        self._timings.unread_s(started - self._inbox.read_until())
        scheduler.workload.add_postponed(self._renewed_fence)
        self._machine_manager.maintenance.plan(scheduler, now())
        scheduler.plan()
        instances = scheduler.instances.values()
        if self._commit(term) and self._try_write(
            lambda fence: self._silent_workers.update(
                fence, instances, now(), self._inbox.read_until()
            )
        ):
            scheduler.dispatch()
            self._machine_manager.run(scheduler, self._manifest(), now())
            if self._measure_load is not None:
                self._measure_load(scheduler, self._manifest(), now())
            self._try_write(
                lambda fence: self._retention.remove_expired(fence, scheduler.workload, now())
            )
        if scheduler.commands.fenced:
            scheduler.commands.fenced = False
            self._next_lease_check_at = 0.0
        self._round_ended_at = now()
        self._timings.round_s(self._round_ended_at - started)

    def _renew(self) -> bool:
        """Renew the lease's row, which also invalidates a commit of unknown outcome."""
        try:
            self._renewal.renew()
        except StateConflictError:
            self._next_lease_check_at = 0.0
            return False
        except StateError as exc:
            self._contact.record(exc)
            self._record_failed_write()
            return False
        self._cut_off.record_answer()
        self._contact.record(None)
        self._must_renew = False
        return True

    def _record_failed_write(self) -> None:
        """Let another daemon lead at once if that can reach the store and this one cannot."""
        self._cut_off.record_failure()
        peers = self._ports.peer_leases
        if peers is None or not self._cut_off.is_cut_off:
            return
        if self._ports.leases.release_through(peers, SCHEDULER_LEASE):
            self._resign("cut-off")
        self._cut_off.record_answer()

    def _commit(self, term: Term) -> bool:
        committer = term.committer
        try:
            return committer.commit(term.scheduler.workload)
        except StateConflictError:
            self._recheck_states(term, committer.in_flight)
        except StateError as exc:
            self._log_failed_write(exc, jobs=len(committer.in_flight))
            self._record_failed_write()
        return False

    def _try_write(self, write: Callable[[Check], None]) -> bool:
        """Make a write that needs the lease only; return whether it succeeded."""
        fence = self._renewed_fence()
        if fence is None:
            return False
        try:
            write(fence)
        except StateConflictError:
            self._tick_lease()
            return False
        except StateError as exc:
            self._log_failed_write(exc)
            return False
        return True

    def _log_failed_write(self, exc: StateError, **fields: int) -> None:
        self._must_renew = self._must_renew or isinstance(exc, StateUnknownError)
        event(
            logger, Event.ROUND_FAILED, logging.WARNING, code=exc.code, detail=exc.detail, **fields
        )

    def _recheck_states(self, term: Term, jobs: Iterable[Job]) -> None:
        """Check after a conflict whether the lease or the state of a job has changed."""
        self._tick_lease()
        if self._term is term:
            self._intake.recheck_states(term.scheduler.workload, jobs)
