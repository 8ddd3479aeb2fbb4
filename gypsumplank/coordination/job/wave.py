"""Track the progress of one maintenance wave."""

import logging
import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from gypsumplank.coordination.job.instance import WorkerInstance
from gypsumplank.log import Event, event
from gypsumplank.protocol.queue import MaintenanceWave

# Share of a wave's duration within which the maintenance of all its machines should have started;
# the rest is reserved for machines that take longer to drain.
TARGET_START_SHARE = 0.5
# Time from choosing a machine that runs tasks to the end of its maintenance, seconds.
MACHINE_CYCLE_S = 6.0
# Interval between log lines about an open wave, seconds.
LOG_INTERVAL_S = 2.0
# Longest time after which an order that got no answer may still be carried out, seconds.
MAX_ORDER_DELAY_S = 12.0

logger = logging.getLogger(__name__)


@dataclass
class MachineWaveProgress:
    """Track one wave's progress; times are monotonic seconds.

    `draining` and `down` map machines to the start of that state, `in_flight` are those with an
    order that is waited for, `unanswered` maps those with one that got no answer, so that it may
    still be carried out, to when that was known, `ordered` are those whose maintenance was accepted
    or is no longer needed, and `inherited` those that an earlier leader's order may still keep
    down. `reported` is whether the last report was that the wave is complete, None if there was no
    report.
    """

    wave: MaintenanceWave
    first_seen_at: float = 0.0
    reported: bool | None = None
    draining: dict[str, float] = field(default_factory=dict)
    in_flight: set[str] = field(default_factory=set)
    unanswered: dict[str, float] = field(default_factory=dict)
    down: dict[str, float] = field(default_factory=dict)
    ordered: set[str] = field(default_factory=set)
    retry_at: dict[str, float] = field(default_factory=dict)
    inherited: set[str] = field(default_factory=set)
    next_log_at: float = 0.0

    @property
    def is_complete(self) -> bool:
        """Return whether every machine's maintenance has started."""
        return self.ordered.issuperset(self.wave.machines)

    @property
    def down_count(self) -> int:
        """Return how many machines are, or may be, down for the wave."""
        return len(self._possibly_down())

    @property
    def taken_count(self) -> int:
        """Return how many machines are being drained for the wave, or may be down."""
        return len(self._possibly_down().union(self.draining))

    def _possibly_down(self) -> set[str]:
        return self.inherited.union(self.down, self.in_flight, self.unanswered)

    def is_order_void(self, machine: str, now: float) -> bool:
        """Return whether no order for a machine without an answer can be carried out any more."""
        return now - self.unanswered.get(machine, 0.0) > MAX_ORDER_DELAY_S

    def may_order(self, machine: str, now: float) -> bool:
        """Return whether the cap allows to order a machine's maintenance, or to repeat the order.

        An order that has been carried out has no effect when it is repeated.
        """
        is_within_cap = machine in self.unanswered or self.down_count < self.wave.cap
        return is_within_cap and now >= self.retry_at.get(machine, 0.0)

    def required_concurrency(self, now: float) -> int:
        """Return how many machines have to be drained or down at once to finish in time."""
        left = len(self.wave.machines) - len(self.ordered.intersection(self.wave.machines))
        left_s = self.first_seen_at + TARGET_START_SHARE * self.wave.duration_s - now
        return math.ceil(left * MACHINE_CYCLE_S / max(MACHINE_CYCLE_S, left_s))

    def log_progress(self, instances: Mapping[str, WorkerInstance], now: float) -> None:
        """Log the progress at intervals while the wave is open."""
        if self.is_complete or now < self.next_log_at:
            return
        self.next_log_at = now + LOG_INTERVAL_S
        event(
            logger,
            Event.WAVE_PROGRESS,
            wave=self.wave.number,
            age_s=round(now - self.first_seen_at, 1),
            done=len(self.ordered),
            down=self.down_count,
            draining=len(self.draining),
            with_lasting=sum(
                1 for machine in self.draining if task_usage(instances.get(machine))[0]
            ),
            left=len(self.wave.machines) - len(self.ordered),
            pace=self.required_concurrency(now),
        )

    def needs_drain(self, machine: str, now: float) -> bool:
        """Return whether a machine still has to be drained and may be chosen now."""
        is_taken = machine in self.ordered or machine in self.draining or machine in self.in_flight
        return not is_taken and now >= self.retry_at.get(machine, 0.0)


def task_usage(instance: WorkerInstance | None) -> tuple[int, int]:
    """Return a worker's number of long-running tasks and its CPU in use, in 1/1000 core."""
    if instance is None:
        return (0, 0)
    long_running = sum(1 for task in instance.tasks.values() if task.step.order.lasting)
    return (long_running, instance.used().cpu)
