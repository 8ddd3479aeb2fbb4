"""Hold what belongs to one holding of the scheduler's lease."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Protocol

from gypsumplank.coordination.job.courier import Courier, Post
from gypsumplank.coordination.job.machine import MachineDesk
from gypsumplank.coordination.job.pool import Pools
from gypsumplank.coordination.job.port import Advisor, Directory, WorkerControl
from gypsumplank.coordination.job.scheduler import Scheduler
from gypsumplank.coordination.job.settle import Heard
from gypsumplank.coordination.job.site import Site
from gypsumplank.coordination.job.survey import Loop, OrderWatch, Sighted, Survey
from gypsumplank.coordination.job.upkeep import Upkeep
from gypsumplank.coordination.lease import Leases
from gypsumplank.protocol.queue import Manifest
from gypsumplank.state.clock import Clock
from gypsumplank.state.feed import Feed
from gypsumplank.state.job import JobStore
from gypsumplank.state.table import Row


@dataclass(frozen=True)
class Ports:
    """Hold what the chief reaches the platform through."""

    store: JobStore
    feed: Feed
    directory: Directory
    control: WorkerControl
    leases: Leases
    advisor: Advisor | None = None
    store_ms: Callable[[], int] = lambda: 0


class Care:
    """Hold what looks after machines during a term."""

    def __init__(self, desk: MachineDesk, upkeep: Upkeep, pools: Pools) -> None:
        self._desk = desk
        self.upkeep = upkeep
        self._pools = pools

    def begin(self, token: int, now: float) -> None:
        """Start under a new token."""
        self._desk.begin(token, now)
        self.upkeep.begin(now)
        self._pools.clear()

    def end(self) -> None:
        """Stop; another daemon goes on."""
        self._desk.end()

    def act(self, scheduler: Scheduler, manifest: Manifest | None, now: float) -> None:
        """Order upkeep and moves that are due."""
        self.upkeep.act(scheduler, now)
        if manifest is not None:
            self._pools.act(scheduler, manifest, now)


class Rivals(Protocol):
    """Tell of other daemons that may run the scheduler."""

    def are_faster(self) -> bool:
        """Tell whether a live one is the better scheduler."""

    def patience_s(self) -> float:
        """Return for how long this daemon leaves a free lease to others, seconds."""


class NoRivals:
    """Leave the lease to nobody."""

    def are_faster(self) -> bool:
        """Tell that there is no other."""
        return False

    def patience_s(self) -> float:
        """Return no time."""
        return 0.0


class Crew(Protocol):
    """Make what works beside the scheduler's thread during one term."""

    def courier(
        self,
        token: int,
        post: Post,
        may_extend: Callable[[], bool],
        heard: Callable[[Site, Heard], None],
    ) -> Courier:
        """Return what carries orders and reports."""

    def watches(
        self,
        after: int,
        sighted: Callable[[Sighted], None],
        ordered: Callable[[Sequence[Row]], None],
    ) -> Sequence[Loop]:
        """Return what follows entries and orders from a version on."""


class ThreadCrew:
    """Make couriers and watches that run in threads."""

    def __init__(self, ports: Ports, clock: Clock, lease_s: Callable[[], float]) -> None:
        self._ports = ports
        self._clock = clock
        self._lease_s = lease_s

    def courier(
        self,
        token: int,
        post: Post,
        may_extend: Callable[[], bool],
        heard: Callable[[Site, Heard], None],
    ) -> Courier:
        """Return what carries orders and reports."""
        control = self._ports.control
        return Courier(control, self._clock, post, token, self._lease_s, may_extend, heard)

    def watches(
        self,
        after: int,
        sighted: Callable[[Sighted], None],
        ordered: Callable[[Sequence[Row]], None],
    ) -> Sequence[Loop]:
        """Return what follows entries and orders from a version on."""
        survey = Survey(self._ports.store, self._ports.directory, sighted)
        return (survey, OrderWatch(self._ports.feed, after, ordered))


class Term:
    """Hold what belongs to one holding of the lease."""

    def __init__(self, epoch: int, scheduler: Scheduler, courier: Courier) -> None:
        self.epoch = epoch
        self.scheduler = scheduler
        self.courier = courier
        self.watches: Sequence[Loop] = ()

    def close(self) -> None:
        """Stop all threads of the term."""
        self.courier.close()
        for one in self.watches:
            one.close()
