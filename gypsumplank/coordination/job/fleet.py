"""Keep a site for each worker life, from entries, reports and ended lives."""

import logging
from collections.abc import Sequence

from gypsumplank.coordination.job.courier import Courier
from gypsumplank.coordination.job.model import Task
from gypsumplank.coordination.job.settle import free
from gypsumplank.coordination.job.site import Site, WorkerClock, life_name
from gypsumplank.log import Event, event
from gypsumplank.protocol.worker import WorkerEntry, WorkerState
from gypsumplank.state.clock import Clock

# Time after its lease in which a holder goes on extending what runs, seconds; an outage of the
# store that is shorter loses nothing.
HOLD_ON_S = 3.0
# Age of a draining worker's entry, in heartbeats, up to which its removal means that the worker
# has left; the platform removes silent entries after three.
LEFT_BEATS = 2.5

logger = logging.getLogger(__name__)


class Fleet:
    """Hold all worker lives that matter; used by the scheduler's thread only."""

    def __init__(self, clock: Clock, max_lease_s: float, heartbeat_s: float) -> None:
        self._clock = clock
        self._heartbeat_s = heartbeat_s
        self._ended: set[str] = set()
        self.max_lease_s = max_lease_s
        self.courier: Courier | None = None
        self.sites: dict[str, Site] = {}

    def site_of(self, task: Task, now: float) -> Site:
        """Return the site of a task's worker life; one that is not listed is made up."""
        site = self.sites.get(task.worker)
        if site is not None and site.born >= task.born:
            # In a later life of the worker, an unconfirmed start may still be carried out.
            task.born = site.born
            return site
        key = life_name(task.worker, task.born)
        if key not in self.sites:
            entry = WorkerEntry(
                task.worker,
                task.step.job.service,
                "",
                "",
                WorkerState.DRAINING,
                task.step.order.need,
            )
            made = Site(entry, task.born, WorkerClock(0, now), listed=False, gone=True)
            made.covers(now, HOLD_ON_S + self.max_lease_s)
            self.sites[key] = made
        return self.sites[key]

    def take_entries(self, entries: Sequence[WorkerEntry], complete: bool = True) -> None:
        """Take in the workers' entries as they are now.

        Where they are not `complete`, a missing entry of a worker that answers says nothing.
        """
        now = self._clock.monotonic()
        entries = [one for one in entries if life_name(one.id, one.born) not in self._ended]
        listed = {entry.id: entry for entry in entries}
        machines = {entry.machine: entry for entry in entries if entry.machine}
        for key, site in list(self.sites.items()):
            entry = listed.get(site.id)
            if entry is not None and not site.gone and entry.born == site.born:
                self._refresh(site, entry, now)
                continue
            if entry is None and not complete and site.contact_is_fresh(now):
                continue
            if site.listed and self._has_left(site, now):
                self.release_all(site, now, "left")
            site.listed = False
            successor = machines.get(site.entry.machine)
            if entry is not None and entry.born > site.born:
                self.reborn(key, site, entry, now)
            elif successor is not None and successor.id != site.id:
                self.release_all(site, now, "replaced")
            self.drop_if_idle(key, site)
        for entry in entries:
            if entry.id not in self.sites:
                self._add_site(entry, now)

    def _has_left(self, site: Site, now: float) -> bool:
        """Tell whether a worker ended in good order, as its entry is gone."""
        age_s = now - site.refreshed_at
        draining = site.entry.state is WorkerState.DRAINING and site.refreshed_at > 0
        return draining and age_s < LEFT_BEATS * self._heartbeat_s

    def _add_site(self, entry: WorkerEntry, now: float) -> Site:
        site = Site(entry, entry.born, WorkerClock(entry.clock_ms, now))
        self.sites[entry.id] = site
        unlisted = self.sites.pop(life_name(entry.id, entry.born), None)
        if unlisted is not None:
            site.tasks.update(unlisted.tasks)
            site.covered_until = unlisted.covered_until
            site.held_back = unlisted.held_back
        event(
            logger,
            Event.WORKER_FOUND,
            worker=entry.id,
            service=entry.service,
            machine=entry.machine,
            state=entry.state.value,
        )
        if self.courier is not None:
            self.courier.attach(site)
        return site

    def _refresh(self, site: Site, entry: WorkerEntry, now: float) -> None:
        if entry.state is not site.entry.state or not site.listed:
            event(logger, Event.WORKER_CHANGED, worker=site.id, state=entry.state.value)
        site.listed = True
        if entry.seq != site.entry.seq:
            site.clock.learn(entry.clock_ms, now)
            site.refreshed_at = now
        site.entry = entry

    def reborn(self, key: str, site: Site, entry: WorkerEntry, now: float) -> None:
        """Move unconfirmed runs to the worker's next life, where a late start may still come."""
        tasks = list(site.tasks.values())
        self._detach(key, site)
        successor = self._add_site(entry, now)
        for task in tasks:
            site.tasks.pop(task.name, None)
            if task.answered_at and not task.lost_at:
                event(logger, Event.RUN_MISSING, task=task.name, run=task.run, worker=site.id)
                free(site, task, now)
                continue
            task.born = entry.born
            task.lost_at = task.lost_at or now
            task.step.dirty = True
            successor.tasks[task.name] = task

    def release_all(self, site: Site, now: float, why: str) -> None:
        """Free every task of a life that is over."""
        for task in list(site.tasks.values()):
            event(logger, Event.RUN_MISSING, task=task.name, run=task.run, worker=site.id, why=why)
            free(site, task, now)

    def drop_if_idle(self, key: str, site: Site) -> None:
        """Forget a life that is no longer listed and holds no task."""
        if not site.listed and not site.tasks:
            self._detach(key, site)

    def _detach(self, key: str, site: Site) -> None:
        if self.sites.get(key) is site:
            del self.sites[key]
        event(logger, Event.WORKER_LOST, worker=site.id, tasks=len(site.tasks))
        if self.courier is not None:
            self.courier.detach(site)

    def by_machine(self) -> dict[str, Site]:
        """Return the newest worker life of each machine that has one; older entries may linger."""
        sites = sorted(self.sites.values(), key=lambda site: site.born)
        return {site.entry.machine: site for site in sites if not site.gone}

    def end(self, site: Site) -> None:
        """Note that a worker's life was ended by an order for its machine."""
        self._ended.add(site.life)
        self.release_all(site, self._clock.monotonic(), "machine")
        self._detach(site.id, site)
