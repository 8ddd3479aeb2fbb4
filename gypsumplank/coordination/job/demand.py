"""Track what each service's jobs ask for, and which service is due to be busy next."""

import math
from collections import deque
from collections.abc import Iterable, Mapping

from gypsumplank.coordination.job.model import Job
from gypsumplank.protocol.job import FINAL_JOB_STATES, Room, TaskPhase

# Share of a machine's room that is planned for; the rest is what does not fit together.
FILL = 0.85
# Time over which the highest demand counts, seconds; keeps a pool from shrinking at each lull.
HOLD_S = 1.5
# Share of its first size that a pool must need to count as busy.
BUSY_SHARE = 0.3
# Share of its first size that a pool keeps while it rests; a sudden burst finds it there.
REST_SHARE = 0.5

OPEN = (TaskPhase.WAITING, TaskPhase.ASSIGNED)


class Demand:
    """Track how many machines one service's jobs ask for.

    `base` is how many machines its pool had when the fleet was first seen, `busy_at` when the
    service was last busy in monotonic seconds, None where it never was.
    """

    def __init__(self, base: int) -> None:
        self.base = base
        self.present = 0
        self.level = 0
        self.busy_at: float | None = None
        self._levels: deque[tuple[float, int]] = deque()

    def update(self, machines: int, passing: int, now: float) -> None:
        """Note how many machines all tasks ask for now, and those that do not last."""
        self.present = machines
        self._levels.append((now, machines))
        while self._levels[0][0] < now - HOLD_S:
            self._levels.popleft()
        self.level = max(level for _, level in self._levels)
        if passing and passing >= BUSY_SHARE * self.base:
            self.busy_at = now

    def is_busy(self, now: float) -> bool:
        """Tell whether a service is busy or was a moment ago."""
        return self.busy_at is not None and now - self.busy_at <= HOLD_S

    def rests(self, now: float) -> bool:
        """Tell whether a service that was busy has been at rest for a while."""
        return self.busy_at is not None and not self.is_busy(now)

    @property
    def low(self) -> int:
        """Return how many machines a resting pool keeps."""
        return max(self.level, math.ceil(REST_SHARE * self.base))


def floors(demands: Mapping[str, Demand], now: float) -> dict[str, int]:
    """Return how many machines each pool keeps whatever its present demand.

    Services are busy by turns: those that have not had one are due next, else the one that has
    rested longest. What is due next or busy keeps its first size.
    """
    resting = [name for name, one in demands.items() if one.rests(now)]
    if all(one.busy_at is not None for one in demands.values()):
        resting.sort(key=lambda name: demands[name].busy_at or 0.0)
        resting = resting[1:]
    return {name: one.low if name in resting else one.base for name, one in demands.items()}


def open_rooms(jobs: Iterable[Job], service: str) -> tuple[Room, Room]:
    """Return the room that a service's open tasks ask for: all of them, and those that pass."""
    lasting = passing = Room()
    for job in jobs:
        if job.service != service or job.state in FINAL_JOB_STATES:
            continue
        for step in job.steps.values():
            if step.order.fills or not job.is_ready(step, math.inf):
                continue
            count = sum(1 for task in step.tasks if task.phase in OPEN)
            if step.order.lasting:
                lasting = lasting + step.order.need.times(count)
            else:
                passing = passing + step.order.need.times(count)
    return lasting + passing, passing


def machines_for(room: Room, size: Room) -> int:
    """Return how many machines of a size hold this much room."""
    pairs = (
        (room.cpu, size.cpu),
        (room.memory_mb, size.memory_mb),
        (room.accelerators, size.accelerators),
    )
    return max((math.ceil(need / (FILL * one)) for need, one in pairs if one > 0), default=0)
