"""Play weeks of traffic on a simulated cluster, and show whether anything is lost or grows.

The decision code is the real one; workers, the store and the machine service are stand-ins, on a
simulated clock. Between jobs the clock advances in larger steps.
"""

import argparse
import json
import logging
import os
import random
import resource
import sys
import time
from collections.abc import Callable, Iterator
from dataclasses import asdict, dataclass, fields
from pathlib import Path

from demo.cluster import ROOT
from gypsumplank.errors import JobMissingError, StateError
from gypsumplank.protocol.job import Resources, StepDefinition
from gypsumplank.protocol.queue import MaintenanceWave
from gypsumplank.state.job import TABLE_SILENCES
from gypsumplank.state.jobrow import (
    TABLE_CANCELS,
    TABLE_ORDERS,
    TABLE_PENDING,
    TABLE_STATES,
    TABLE_STEPS,
)
from standins.cluster import STEP_S, SimulatedCluster

DAYS = 14
DAY_S = 86_400.0
WORKERS = 6
# Step of the clock while no job is open and nothing is disturbed, seconds; shorter than the
# scheduler's lease (2 s), which the leader renews in each step.
IDLE_STEP_S = 1.9
# Time after a disturbance for which the clock advances in small steps, seconds.
SETTLE_S = 15.0
# Time between two samples, seconds.
SAMPLE_INTERVAL_S = 6 * 3600.0
# Mean times between events, seconds.
JOB_INTERVAL_S = 180.0
CRASH_INTERVAL_S = 3 * 3600.0
RESTART_INTERVAL_S = 8 * 3600.0
CUT_INTERVAL_S = 2 * 3600.0
LEADER_DEATH_INTERVAL_S = 4 * 3600.0
OUTAGE_INTERVAL_S = 12 * 3600.0
WAVE_INTERVAL_S = DAY_S
# Time within which each job has to be completed, seconds; its state is kept for longer.
JOB_TIMEOUT_S = 240.0
WAVE_DURATION_S = 600.0
TABLES = (
    TABLE_ORDERS,
    TABLE_STATES,
    TABLE_PENDING,
    TABLE_STEPS,
    TABLE_CANCELS,
    TABLE_SILENCES,
)
# Growth from the second to the last quarter of the samples up to which a figure counts as flat.
MAX_GROWTH = 0.1
GROWING_FIGURES = ("rows", "memory_mb", "descriptors", "instances", "takeover_s")
OUTPUT = ROOT / "docs" / "measurements" / "days.txt"

SHORT = StepDefinition(8, Resources(1000, 100), 1000)
WIDE = StepDefinition(8, Resources(2000, 100), 1000, after=(0,))
GANG = StepDefinition(2, Resources(5000, 100), 1000, gang=True)
JOBS = ((SHORT,), (SHORT, WIDE), (GANG,))


@dataclass(frozen=True)
class Sample:
    """Store the figures of one interval; counts are totals, `takeover_s` the interval's longest."""

    day: float
    jobs: int
    completed: int
    failed: int
    lost: int
    broken: int
    takeovers: int
    takeover_s: float
    rows: int
    instances: int
    ended_jobs: int
    memory_mb: float
    descriptors: int


class Simulation:
    """Play traffic, churn, upkeep and outages in random order."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.cluster = SimulatedCluster(seed, workers=WORKERS, polls_idle=False)
        self.workers = self.cluster.simulated_workers
        self.workers.keeps_id = True
        self.started_at = self.cluster.clock.now
        self.settled_at = 0.0
        self.open: dict[str, float] = {}
        self.counts = dict.fromkeys(("jobs", "completed", "failed", "lost", "takeovers"), 0)
        self.broken: set[str] = set()
        self.leaderless_since: float | None = None
        self.longest_takeover_s = 0.0
        self.repairs: list[tuple[float, Callable[[], None]]] = []
        self.next_at = {
            event: self.now + self.rng.expovariate(1 / mean) for event, mean in self.events()
        }

    @property
    def now(self) -> float:
        """Return the simulated time in seconds."""
        return self.cluster.clock.now

    def events(self) -> Iterator[tuple[Callable[[], None], float]]:
        """Yield what happens, with the mean time between two, in seconds."""
        yield self.submit, JOB_INTERVAL_S
        yield self.crash_worker, CRASH_INTERVAL_S
        yield self.restart_worker_unheard_of, RESTART_INTERVAL_S
        yield self.cut_worker_off, CUT_INTERVAL_S
        yield self.kill_leader, LEADER_DEATH_INTERVAL_S
        yield self.take_store_out, OUTAGE_INTERVAL_S
        yield self.start_wave, WAVE_INTERVAL_S

    def submit(self) -> None:
        """Submit a job to one of the daemons."""
        job = f"{self.counts['jobs']:016x}"
        steps = self.rng.choice(JOBS)
        if steps[0].gang:
            self.workers.gang_sizes[f"{job}.0.0"] = steps[0].tasks
        try:
            self.cluster.submit(
                job, steps, self.rng.choice(["0.5", "1", "3"]), self.rng.randrange(2)
            )
        except StateError:
            return
        self.counts["jobs"] += 1
        self.open[job] = self.now

    def _random_worker(self) -> str:
        return self.rng.choice([name for name, each in self.workers.workers.items() if each.up])

    def crash_worker(self) -> None:
        """Crash a worker, which comes back under its id."""
        self.workers.return_delay_s = self.rng.uniform(0.2, 4.0)
        self.workers.crash_and_return(self._random_worker())

    def restart_worker_unheard_of(self) -> None:
        """Restart a worker under its id while it is cut from the registry."""
        name = self._random_worker()
        self.workers.cut_from_registry(name)
        self.workers.crash(name)
        self.workers.restart(name)
        self.repairs.append((self.now + 8.0, lambda: self.workers.reconnect_registry(name)))

    def cut_worker_off(self) -> None:
        """Cut a worker off for some seconds."""
        worker = self.workers.workers[self._random_worker()]
        worker.reachable = False
        self.repairs.append(
            (self.now + self.rng.uniform(1.0, 8.0), lambda: setattr(worker, "reachable", True))
        )

    def kill_leader(self) -> None:
        """Kill the leader; it starts again with nothing."""
        leader = self.cluster.leader()
        if leader is None:
            return
        leader.suspended = True
        self.leaderless_since = self.now
        self.repairs.append((self.now + 5.0, leader.restart))

    def take_store_out(self) -> None:
        """Take the store out for some seconds."""
        tables = [daemon.table for daemon in self.cluster.daemons]
        for table in tables:
            table.unavailable = True

        def repair() -> None:
            for table in tables:
                table.unavailable = False

        self.repairs.append((self.now + self.rng.uniform(1.0, 5.0), repair))

    def start_wave(self) -> None:
        """Start a wave over all machines; for half of them answers to first orders are lost."""
        machines = tuple(each.entry.machine for each in self.workers.workers.values() if each.up)
        number = int(self.now)
        self.cluster.waves[:] = [MaintenanceWave(number, machines, WAVE_DURATION_S, 1)]
        if self.rng.random() < 0.5:
            service = self.cluster.machines
            service.loses_answers, service.order_delay_s = True, self.rng.choice([0.0, 3.0])
            self.repairs.append((self.now + 10.0, lambda: setattr(service, "loses_answers", False)))

    def run(self, until: float) -> None:
        """Play until a simulated time."""
        while self.now < until:
            for event, mean_s in self.events():
                if self.now >= self.next_at[event]:
                    event()
                    self.next_at[event] = self.now + self.rng.expovariate(1 / mean_s)
                    if event != self.submit:
                        self.settled_at = self.now + SETTLE_S
            for at, repair in [item for item in self.repairs if item[0] <= self.now]:
                self.repairs.remove((at, repair))
                repair()
            step_s = STEP_S if self._is_busy() else IDLE_STEP_S
            self.cluster.run(step_s, step_s)
            self._observe_leader()
            self._close_jobs()

    def _is_busy(self) -> bool:
        leader = self.cluster.leader()
        if leader is None or self.repairs or self.now < self.settled_at:
            return True
        term = leader.scheduler_leader._term
        return bool(term and term.scheduler.workload.jobs) or self._has_open_wave()

    def _has_open_wave(self) -> bool:
        completed = set[int]().union(
            *(daemon.directory.completed_waves() for daemon in self.cluster.daemons)
        )
        return any(wave.number not in completed for wave in self.cluster.waves)

    def _observe_leader(self) -> None:
        if self.leaderless_since is not None and self.cluster.leader() is not None:
            self.counts["takeovers"] += 1
            self.longest_takeover_s = max(self.longest_takeover_s, self.now - self.leaderless_since)
            self.leaderless_since = None

    def _close_jobs(self) -> None:
        for job, submitted_at in list(self.open.items()):
            if self.now < submitted_at + JOB_TIMEOUT_S:
                break
            del self.open[job]
            try:
                state = self.cluster.state(job)
            except JobMissingError:
                state = "missing"
            self.counts[state if state in {"completed", "failed"} else "lost"] += 1

    def sample(self) -> Sample:
        """Check the rules, forget what is over, and return the figures."""
        self.broken.update(self.cluster.violations())
        self._forget_ended()
        leader = self.cluster.leader()
        term = leader.scheduler_leader._term if leader else None
        scheduler = term.scheduler if term else None
        takeover_s, self.longest_takeover_s = self.longest_takeover_s, 0.0
        return Sample(
            day=round((self.now - self.started_at) / DAY_S, 2),
            broken=len(self.broken),
            takeover_s=round(takeover_s, 2),
            rows=sum(len(self.cluster.table.scan(table)) for table in TABLES),
            instances=len(scheduler.instances) if scheduler else 0,
            ended_jobs=len(scheduler.workload.ended_at) if scheduler else 0,
            memory_mb=_memory_mb(),
            descriptors=len(os.listdir("/proc/self/fd")),
            **self.counts,
        )

    def _forget_ended(self) -> None:
        """Drop the stand-ins' records of jobs that are over, so that their size does not count."""
        kept = {
            record.name.partition(".")[0] for record in self.workers.history if not record.ended
        }
        kept.update(self.open)
        history = self.workers.history
        history[:] = [each for each in history if each.name.partition(".")[0] in kept]
        for job in [job for job in self.cluster.submitted if job not in kept]:
            del self.cluster.submitted[job]
        gangs = self.workers.gang_sizes
        for step in [step for step in gangs if step.partition(".")[0] not in kept]:
            del gangs[step]
        self.workers.room_changes.clear()
        self.cluster.machines.orders.clear()
        self.cluster.machines.maintenance_calls.clear()
        for worker in self.workers.workers.values():
            running = {name.partition(".")[0] for name in worker.running}
            closed = worker.highest_closed_run
            for name in [name for name in closed if name.partition(".")[0] not in kept | running]:
                del closed[name]
            worker.expired_ends.clear()


def _memory_mb() -> float:
    pages = int(Path("/proc/self/statm").read_text(encoding="ascii").split()[1])
    return round(pages * resource.getpagesize() / 1e6, 1)


def growth(samples: list[Sample], figure: str) -> float:
    """Return by what share a figure grew from the second to the last quarter of the samples."""
    quarter = max(1, len(samples) // 4)
    early = [getattr(each, figure) for each in samples[quarter : 2 * quarter]]
    late = [getattr(each, figure) for each in samples[-quarter:]]
    before = sum(early) / max(1, len(early))
    after = sum(late) / len(late)
    return after / before - 1 if before else 0.0


def play(days: float, seed: int) -> list[Sample]:
    """Play days of traffic; return a sample for each interval."""
    simulation = Simulation(seed)
    samples = []
    while (simulation.now - simulation.started_at) < days * DAY_S:
        simulation.run(simulation.now + min(SAMPLE_INTERVAL_S, days * DAY_S))
        samples.append(simulation.sample())
    return samples


def format_table(samples: list[Sample]) -> Iterator[str]:
    """Yield the samples as the lines of a table."""
    names = [field.name for field in fields(Sample)]
    yield "  ".join(f"{name:>11}" for name in names)
    for sample in samples:
        yield "  ".join(f"{value:>11}" for value in asdict(sample).values())


def plot(samples: list[Sample], path: Path) -> None:
    """Draw the figures over the days; needs matplotlib."""
    from matplotlib.figure import Figure

    figure = Figure(figsize=(9, 8))
    axes = figure.subplots(len(GROWING_FIGURES), 1, sharex=True)
    for axis, name in zip(axes, GROWING_FIGURES, strict=True):
        axis.plot([each.day for each in samples], [getattr(each, name) for each in samples])
        axis.set_ylabel(name)
        axis.set_ylim(bottom=0)
    axes[-1].set_xlabel("day")
    figure.savefig(path)


def report(samples: list[Sample], seed: int, took_s: float) -> Iterator[str]:
    """Yield the lines of the report."""
    last = samples[-1]
    yield f"{last.day} days of traffic on a simulated clock, seed {seed}, {took_s:.0f} s"
    yield from format_table(samples)
    yield ""
    for figure in GROWING_FIGURES:
        share = growth(samples, figure)
        yield f"{figure}: {share:+.1%} from the second to the last quarter"
    flat = all(growth(samples, figure) <= MAX_GROWTH for figure in GROWING_FIGURES)
    sound = not (last.lost or last.failed or last.broken)
    yield f"flat: {flat}; nothing lost, failed or broken: {sound}"


def main(argv: list[str] | None = None) -> None:
    """Play the days and write the report."""
    parser = argparse.ArgumentParser(prog="python -m bench.days", description=__doc__)
    parser.add_argument("--days", type=float, default=DAYS)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--plot", type=Path, help="an SVG or PNG file")
    parser.add_argument("--json", type=Path, help="a file for the samples")
    parser.add_argument("--output", type=Path, help="a file for the report")
    args = parser.parse_args(argv or [])
    logging.disable(logging.CRITICAL)
    started_at = time.monotonic()
    samples = play(args.days, args.seed)
    text = "\n".join(report(samples, args.seed, time.monotonic() - started_at)) + "\n"
    sys.stdout.write(text)
    if args.output:
        args.output.write_text(text, encoding="utf-8")
    if args.json:
        args.json.write_text(json.dumps([asdict(each) for each in samples]), encoding="utf-8")
    if args.plot:
        plot(samples, args.plot)


if __name__ == "__main__":
    main(sys.argv[1:])
