"""Bring every machine of a wave through its upkeep, within the wave's cap and steps' budgets."""

import logging
import math
from collections import Counter
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from itertools import islice

from gypsumplank.coordination.job.eviction import may_take
from gypsumplank.coordination.job.machine import MachineDesk
from gypsumplank.coordination.job.model import Step
from gypsumplank.coordination.job.port import Directory
from gypsumplank.coordination.job.scheduler import Scheduler
from gypsumplank.coordination.job.site import Site
from gypsumplank.errors import MachineError, MachineRefusedError, StateError
from gypsumplank.log import Event, event
from gypsumplank.protocol.queue import MachineState, UpkeepWave

# Time between looks for waves, seconds; far below a wave's duration.
LOOK_S = 1.0
# Share of a wave's time after which all its machines should have begun; the rest is for those that
# cannot be emptied sooner.
DONE_SHARE = 0.5
# Time from choosing a machine that is at work to the end of its upkeep, seconds.
CYCLE_S = 6.0
# Time between log lines about an open wave, seconds.
TELL_S = 2.0
# Time after a take-over in which an earlier holder's stops may still end tasks, seconds; half over
# the platform's longest stop.
STOPS_OVER_S = 1.5
# Machines that drain ahead of a free place under the cap.
AHEAD = 1
# Longest wait for tasks that cannot save their progress, seconds.
DRAIN_S = 4.0
# Wait for tasks that can, seconds.
SAVE_S = 1.0
# Pause before an order that failed is given again, seconds.
AGAIN_S = 1.0

logger = logging.getLogger(__name__)


@dataclass
class WaveProgress:
    """Hold one wave's progress.

    `began` is when the wave was first seen, `draining` and `down` map machines to since when,
    `inherited` are those that an earlier holder's order may still keep down; `told` is whether
    completion was reported last, None where nothing was.
    """

    wave: UpkeepWave
    began: float = 0.0
    told: bool | None = None
    draining: dict[str, float] = field(default_factory=dict)
    calling: set[str] = field(default_factory=set)
    down: dict[str, float] = field(default_factory=dict)
    done: set[str] = field(default_factory=set)
    not_before: dict[str, float] = field(default_factory=dict)
    inherited: set[str] = field(default_factory=set)
    tell_due: float = 0.0

    @property
    def is_complete(self) -> bool:
        """Tell whether every machine has begun its upkeep."""
        return self.done.issuperset(self.wave.machines)

    @property
    def busy(self) -> int:
        """Return how many machines are down for the wave or may be."""
        return len(self.inherited.union(self.down, self.calling))

    def pace(self, now: float) -> int:
        """Return how many machines that are at work have to be on their way at once."""
        left = len(self.wave.machines) - len(self.done.intersection(self.wave.machines))
        left_s = self.began + DONE_SHARE * self.wave.duration_s - now
        return math.ceil(left * CYCLE_S / max(CYCLE_S, left_s))

    def tell(self, sites: Mapping[str, Site], now: float) -> None:
        """Log the progress from time to time while the wave is open."""
        if self.is_complete or now < self.tell_due:
            return
        self.tell_due = now + TELL_S
        event(
            logger,
            Event.WAVE_PROGRESS,
            wave=self.wave.number,
            age_s=round(now - self.began, 1),
            done=len(self.done),
            down=self.busy,
            draining=len(self.draining),
            with_lasting=sum(1 for one in self.draining if _load(sites.get(one))[0]),
            left=len(self.wave.machines) - len(self.done),
            pace=self.pace(now),
        )

    def waits(self, machine: str, now: float) -> bool:
        """Tell whether a machine's upkeep has yet to be prepared."""
        taken = machine in self.done or machine in self.draining or machine in self.calling
        return not taken and now >= self.not_before.get(machine, 0.0)


class Upkeep:
    """Hold the waves that are open; used by the scheduler's thread only."""

    def __init__(self, directory: Directory, desk: MachineDesk) -> None:
        self._directory = directory
        self._desk = desk
        self._look_due = 0.0
        self._plan_due = 0.0
        self._looking = False
        self._waves: dict[int, WaveProgress] = {}

    def begin(self, now: float) -> None:
        """Forget everything; what is open is read again."""
        self._plan_due = now + STOPS_OVER_S
        self._waves.clear()
        self._looking = False
        self._look_due = 0.0

    @property
    def is_open(self) -> bool:
        """Tell whether a machine still has its upkeep to come or is down for it."""
        return any(not one.is_complete or one.down for one in self._waves.values())

    def _look(self, now: float) -> None:
        if self._looking or now < self._look_due:
            return
        self._looking = True
        self._look_due = now + LOOK_S

        def look() -> None:
            ages: dict[int, float] = {}
            waves: Sequence[UpkeepWave] = ()
            try:
                completed = self._directory.completed_waves()
                waves = [one for one in self._directory.waves() if one.number not in completed]
                known = self._waves.keys()
                ages = {
                    one.number: self._desk.log.begun(one.number)
                    for one in waves
                    if one.number not in known
                }
            except StateError as exc:
                event(logger, Event.STATE_UNAVAILABLE, logging.WARNING, code=exc.code, step="wave")
            self._desk.post(lambda: self._looked(waves, ages, now))

        self._desk.tell(look)

    def _looked(self, waves: Sequence[UpkeepWave], ages: Mapping[int, float], now: float) -> None:
        self._looking = False
        for wave in waves:
            if wave.number in ages and wave.number not in self._waves:
                self._waves[wave.number] = WaveProgress(wave, now - ages[wave.number])
                event(
                    logger,
                    Event.WAVE_CHANGED,
                    wave=wave.number,
                    machines=len(wave.machines),
                    age_s=round(ages[wave.number], 1),
                )

    def plan(self, scheduler: Scheduler, now: float) -> None:
        """Choose machines to empty and ask for their tasks to stop."""
        self._look(now)
        if now < self._plan_due:
            return
        if self.is_open:
            self._desk.refresh(now)
        sites = scheduler.fleet.by_machine()
        for progress in self._waves.values():
            self._note_back(progress)
            self._inherit(progress, now)
            self._choose(progress, sites, now)
            for machine in progress.wave.machines:
                site = sites.get(machine)
                if site is not None:
                    serviced = self._desk.serviced.get(machine) == progress.wave.number
                    site.due = machine not in progress.done and not serviced
            progress.tell(sites, now)
            for machine, since in progress.draining.items():
                site = sites.get(machine)
                if site is not None:
                    empty(scheduler, site, now - since)

    def _note_back(self, progress: WaveProgress) -> None:
        """Count a machine as back only by a list that was read after its order was confirmed."""
        for machine, since in list(progress.down.items()):
            listed = self._desk.listed.get(machine)
            if self._desk.listed_at > since and (listed is None or listed.state is MachineState.UP):
                del progress.down[machine]

    def _inherit(self, progress: WaveProgress, now: float) -> None:
        """Find the machines that may be down by an order of an earlier holder."""
        number = progress.wave.number
        progress.inherited = {
            machine
            for machine in progress.wave.machines
            if self._desk.serviced.get(machine) == number and not self._desk.is_free(machine, now)
        }

    def _choose(self, progress: WaveProgress, sites: dict[str, Site], now: float) -> None:
        room = progress.wave.cap + AHEAD - progress.busy - len(progress.draining)
        if room <= 0 or not self._desk.listed:
            return
        left = [
            machine
            for machine in progress.wave.machines
            if progress.waits(machine, now) and machine not in self._desk.reserved
        ]
        # What an earlier holder ordered is probably done; to make sure ends what runs there if not.
        number = progress.wave.number
        doubtful = {one for one in left if self._desk.serviced.get(one) == number}
        if len(doubtful) < len(left):
            left = [one for one in left if one not in doubtful]
        idle = [one for one in left if not self._runs(sites.get(one))]
        at_work = [one for one in left if self._runs(sites.get(one))]
        if idle and not progress.done and not set(sites).difference(progress.wave.machines):
            # Lasting tasks should find machines whose upkeep is over or not due.
            at_work = [one for one in at_work if not _load(sites.get(one))[0]]
        # Steps' budgets make lasting tasks the longest part of a wave.
        at_work.sort(key=lambda one: (-_load(sites.get(one))[0], _load(sites.get(one))[1]))
        paced = max(0, progress.pace(now) - progress.busy - len(progress.draining))
        ready = islice(self._takeable(at_work, sites, now), paced)
        for machine in [*idle, *ready][:room]:
            progress.draining[machine] = now
            self._desk.reserved.add(machine)

    @staticmethod
    def _takeable(machines: Sequence[str], sites: Mapping[str, Site], now: float) -> Iterator[str]:
        """Yield the machines that can begin to lose their lasting tasks now."""
        taken: Counter[Step] = Counter()
        for machine in machines:
            lasting = {}
            for task in sites[machine].tasks.values():
                if task.step.order.lasting:
                    lasting[task.step] = task
            if all(may_take(task, now, taken[step]) for step, task in lasting.items()):
                taken.update(lasting.keys())
                yield machine

    @staticmethod
    def _runs(site: Site | None) -> bool:
        return site is not None and bool(site.tasks)

    def act(self, scheduler: Scheduler, now: float) -> None:
        """Order the upkeep of machines that are empty."""
        if not self._desk.may_act(now):
            return
        sites = scheduler.fleet.by_machine()
        for progress in self._waves.values():
            for machine in list(progress.draining):
                if progress.busy >= progress.wave.cap:
                    break
                site = sites.get(machine)
                if self._desk.is_free(machine, now) and (site is None or not site.tasks):
                    self._order(scheduler, progress, machine, site)
            self._tell_state(progress)

    def _order(
        self, scheduler: Scheduler, progress: WaveProgress, machine: str, site: Site | None
    ) -> None:
        del progress.draining[machine]
        progress.calling.add(machine)
        number = progress.wave.number
        life = site.life if site is not None else ""
        event(logger, Event.UPKEEP_ORDERED, wave=number, machine=machine, worker=life)
        self._desk.upkeep(
            machine,
            number,
            lambda failure: self._ordered(scheduler, progress, machine, site, failure),
        )

    def _ordered(
        self,
        scheduler: Scheduler,
        progress: WaveProgress,
        machine: str,
        site: Site | None,
        failure: MachineError | None,
    ) -> None:
        progress.calling.discard(machine)
        self._desk.reserved.discard(machine)
        reason = failure.reason if isinstance(failure, MachineRefusedError) else ""
        if failure is None:
            progress.done.add(machine)
            progress.down[machine] = scheduler.now()
            repeated = self._desk.serviced.get(machine) == progress.wave.number
            if site is not None and not repeated:
                scheduler.fleet.end(site)
            elif site is not None:
                # An order that was carried out before has no effect, so the worker lives on.
                site.leaving = False
            return
        if reason in {"missing", "wave"}:
            progress.done.add(machine)
        progress.not_before[machine] = scheduler.now() + AGAIN_S
        if site is not None:
            site.leaving = False

    def _tell_state(self, progress: WaveProgress) -> None:
        number, complete = progress.wave.number, progress.is_complete
        if progress.told is complete:
            return
        progress.told = complete

        def tell() -> None:
            try:
                self._directory.report_wave(number, complete)
            except StateError as exc:
                event(logger, Event.STATE_UNAVAILABLE, logging.WARNING, code=exc.code, step="wave")
                self._desk.post(lambda: setattr(progress, "told", None))

        self._desk.tell(tell)


def empty(scheduler: Scheduler, site: Site, waited_s: float) -> None:
    """Ask for the runs at a site to stop as far as their steps' budgets allow."""
    site.leaving = True
    now = scheduler.now()
    taken: Counter[Step] = Counter()
    stops = []
    for task in site.tasks.values():
        order = task.step.order
        if not task.wanted:
            continue
        if order.lasting:
            if may_take(task, now, taken[task.step]):
                taken[task.step] += 1
                stops.append(task)
        elif waited_s >= DRAIN_S or (order.checkpoints and waited_s >= SAVE_S):
            stops.append(task)
    scheduler.stop(stops)


def _load(site: Site | None) -> tuple[int, int]:
    if site is None:
        return (0, 0)
    lasting = sum(1 for task in site.tasks.values() if task.step.order.lasting)
    return (lasting, site.used().cpu)
