"""Keep work from workers that fail everything, within the pool's budget."""

from collections.abc import Iterable
from dataclasses import dataclass, field

FAILURES = 3
FIRST_REST_S = 30.0
LONGEST_REST_S = 3600.0
BACKOFF = 2.0


@dataclass
class Standing:
    """Hold what is known of one host; `until` is on the monotonic clock."""

    failed: set[str] = field(default_factory=set)
    rest_s: float = 0.0
    until: float = 0.0


@dataclass(frozen=True)
class Selection:
    """Hold the hosts that take work and those that take a single task as a probe."""

    usable: tuple[str, ...]
    probing: tuple[str, ...]
    quarantined: tuple[str, ...]


class Quarantine:
    """Count the different tasks that failed in a row at each host."""

    def __init__(self) -> None:
        self._standings: dict[str, Standing] = {}

    def succeeded(self, host: str) -> None:
        """Take note that a task finished at a host."""
        self._standings.pop(host, None)

    def failed(self, host: str, task: str, failed_elsewhere: bool, now: float) -> None:
        """Take note that a task failed at a host; one that fails anywhere proves nothing."""
        if failed_elsewhere:
            return
        standing = self._standings.setdefault(host, Standing())
        standing.failed.add(task)
        if len(standing.failed) >= FAILURES:
            standing.rest_s = min(LONGEST_REST_S, standing.rest_s * BACKOFF or FIRST_REST_S)
            standing.until = now + standing.rest_s

    def select(self, hosts: Iterable[str], now: float, most_out: int) -> Selection:
        """Split hosts; no more than `most_out` are kept from work, the worst first."""
        held = tuple(hosts)
        bad = [name for name in held if self._is_bad(name)]
        bad.sort(key=lambda name: (-len(self._standings[name].failed), name))
        resting = [name for name in bad if self._standings[name].until > now][:most_out]
        probing = [name for name in bad if self._standings[name].until <= now]
        out = {*resting, *probing}
        usable = tuple(name for name in held if name not in out)
        return Selection(usable, tuple(probing), tuple(resting))

    def _is_bad(self, host: str) -> bool:
        standing = self._standings.get(host)
        return standing is not None and len(standing.failed) >= FAILURES
