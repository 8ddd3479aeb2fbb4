"""Define what a leader creates for one term, that is, while it holds the scheduler's lease."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Protocol

from gypsumplank.coordination.job.commit import JobCommitter
from gypsumplank.coordination.job.dispatcher import Post, WorkerDispatcher
from gypsumplank.coordination.job.instance import WorkerInstance
from gypsumplank.coordination.job.intakewatch import IntakePorts, create_intake_threads
from gypsumplank.coordination.job.machine import MachineController
from gypsumplank.coordination.job.maintenance import MaintenancePlanner
from gypsumplank.coordination.job.observation import ReceivedReport
from gypsumplank.coordination.job.port import Advisor, Directory, WorkerControl
from gypsumplank.coordination.job.scaling import PoolScaler
from gypsumplank.coordination.job.scheduler import Scheduler
from gypsumplank.coordination.job.watch import JobWatch, PeriodicThread, ResyncLoop, StoreSnapshot
from gypsumplank.coordination.lease import LeaseManager
from gypsumplank.protocol.queue import Manifest
from gypsumplank.state.clock import Clock, ClockRange
from gypsumplank.state.feed import ChangeFeed
from gypsumplank.state.job import JobStore
from gypsumplank.state.lease import LeaseStore
from gypsumplank.state.table import Row


@dataclass(frozen=True)
class PlatformPorts:
    """Store the interfaces through which the leader reaches the platform.

    `store_clock` reads the store's clock; `peer_leases` reaches the store through other daemons.
    `intake` is None where jobs are stored in the scheduler's partition at once.
    """

    store: JobStore
    feed: ChangeFeed
    directory: Directory
    control: WorkerControl
    leases: LeaseManager
    advisor: Advisor | None = None
    store_clock: Callable[[], ClockRange] = ClockRange
    peer_leases: LeaseStore | None = None
    intake: IntakePorts | None = None


class MachineManager:
    """Run the maintenance of machines and the scaling of pools during a term."""

    def __init__(
        self,
        controller: MachineController,
        maintenance_planner: MaintenancePlanner,
        pools: PoolScaler,
    ) -> None:
        self._controller = controller
        self.maintenance = maintenance_planner
        self._pools = pools

    def start_term(self, token: int, now: float) -> None:
        """Start a term under a new fencing token."""
        self._controller.start_term(token, now)
        self.maintenance.start_term(now)
        self._pools.clear()

    def end_term(self) -> None:
        """End the term; another daemon takes over."""
        self._controller.end_term()

    def run(self, scheduler: Scheduler, manifest: Manifest | None, now: float) -> None:
        """Apply the list of machines; order the maintenance and moves that are due."""
        if scheduler.fleet.has_silent_tasks():
            self._controller.refresh_list(now)
        scheduler.fleet.end_down(self._controller.listed, self._controller.list_read_at, now)
        self.maintenance.order_ready_machines(scheduler, now)
        if manifest is not None:
            self._pools.plan_and_move(scheduler, manifest, now)


class LeaderCandidates(Protocol):
    """Compare this daemon with the others that may become leader."""

    def any_faster(self) -> bool:
        """Return whether another live daemon is so much faster that it should be the leader."""

    def takeover_delay_s(self) -> float:
        """Return for how long this daemon leaves a free lease to others, in seconds."""


class NoCandidates:
    """Represent a daemon without other candidates, which takes a free lease at once."""

    def any_faster(self) -> bool:
        """Return False, as there is no other candidate."""
        return False

    def takeover_delay_s(self) -> float:
        """Return 0."""
        return 0.0


class TermFactory(Protocol):
    """Create what runs beside the scheduler's thread during one term."""

    def create_dispatcher(
        self,
        token: int,
        post: Post,
        may_extend_leases: Callable[[], bool],
        on_report: Callable[[WorkerInstance, ReceivedReport], None],
    ) -> WorkerDispatcher:
        """Create the dispatcher of the term with this fencing token."""

    def create_watchers(
        self,
        after: int,
        on_snapshot: Callable[[StoreSnapshot], None],
        on_new_jobs: Callable[[Sequence[Row]], None],
    ) -> Sequence[PeriodicThread]:
        """Create the threads that follow entries and new jobs after a version of the store."""


class ThreadedTermFactory:
    """Create dispatchers and watchers that run in threads."""

    def __init__(self, ports: PlatformPorts, clock: Clock, lease_s: Callable[[], float]) -> None:
        self._ports = ports
        self._clock = clock
        self._lease_s = lease_s

    def create_dispatcher(
        self,
        token: int,
        post: Post,
        may_extend_leases: Callable[[], bool],
        on_report: Callable[[WorkerInstance, ReceivedReport], None],
    ) -> WorkerDispatcher:
        """Create the dispatcher of the term with this fencing token."""
        control = self._ports.control
        return WorkerDispatcher(
            control, self._clock, post, token, self._lease_s, may_extend_leases, on_report
        )

    def create_watchers(
        self,
        after: int,
        on_snapshot: Callable[[StoreSnapshot], None],
        on_new_jobs: Callable[[Sequence[Row]], None],
    ) -> Sequence[PeriodicThread]:
        """Create the threads that follow entries and new jobs after a version of the store."""
        resync = ResyncLoop(self._ports.store, self._ports.directory, self._clock, on_snapshot)
        return (resync, JobWatch(self._ports.feed, after, on_new_jobs))


class Term:
    """Represent one leadership term: its epoch, scheduler, committer, dispatcher and watchers."""

    def __init__(
        self,
        epoch: int,
        scheduler: Scheduler,
        committer: JobCommitter,
        dispatcher: WorkerDispatcher,
    ) -> None:
        self.epoch = epoch
        self.scheduler = scheduler
        self.committer = committer
        self.dispatcher = dispatcher
        self.watchers: Sequence[PeriodicThread] = ()

    def follow_submissions(
        self, ports: IntakePorts | None, clock: Clock, version: int, post: Post
    ) -> None:
        """Start to adopt submissions, if there are any; the jobs were loaded up to a version."""
        if ports is None:
            return
        workload = self.scheduler.workload
        threads = create_intake_threads(ports, workload, clock, version, post)
        self.watchers = (*self.watchers, *threads)
        for thread in threads:
            thread.start()

    def close(self) -> None:
        """Stop all threads of the term."""
        self.dispatcher.close()
        for watcher in self.watchers:
            watcher.close()
