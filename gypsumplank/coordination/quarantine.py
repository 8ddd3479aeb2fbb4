"""Quarantine hosts on which several tasks fail in a row, within the pool's budget."""

from collections.abc import Iterable
from dataclasses import dataclass, field

# Distinct tasks that must fail in a row at a host.
FAILED_TASKS_TO_QUARANTINE = 3
INITIAL_QUARANTINE_S = 30.0
MAX_QUARANTINE_S = 3600.0
QUARANTINE_BACKOFF_FACTOR = 2.0


@dataclass
class HostFailures:
    """Store the recent failures of one host; `quarantined_until` is in monotonic seconds."""

    failed_tasks: set[str] = field(default_factory=set)
    quarantine_s: float = 0.0
    quarantined_until: float = 0.0


@dataclass(frozen=True)
class HostSelection:
    """Split hosts into those usable, those to probe with one task, and those quarantined."""

    usable: tuple[str, ...]
    probing: tuple[str, ...]
    quarantined: tuple[str, ...]


class Quarantine:
    """Count the distinct tasks that failed in a row at each host."""

    def __init__(self) -> None:
        self._failures_by_host: dict[str, HostFailures] = {}

    def record_success(self, host: str) -> None:
        """Record that a task finished at a host; this ends its quarantine."""
        self._failures_by_host.pop(host, None)

    def record_failure(self, host: str, task: str, failed_elsewhere: bool, now: float) -> None:
        """Record that a task failed at a host; ignore tasks that failed at other hosts as well."""
        if failed_elsewhere:
            return
        failures = self._failures_by_host.setdefault(host, HostFailures())
        failures.failed_tasks.add(task)
        if len(failures.failed_tasks) >= FAILED_TASKS_TO_QUARANTINE:
            failures.quarantine_s = min(
                MAX_QUARANTINE_S,
                failures.quarantine_s * QUARANTINE_BACKOFF_FACTOR or INITIAL_QUARANTINE_S,
            )
            failures.quarantined_until = now + failures.quarantine_s

    def select(self, hosts: Iterable[str], now: float, max_quarantined: int) -> HostSelection:
        """Split hosts; quarantine at most `max_quarantined`, those with the most failures first."""
        candidates = tuple(hosts)
        failing = [name for name in candidates if self._is_failing(name)]
        failing.sort(key=lambda name: (-len(self._failures_by_host[name].failed_tasks), name))
        quarantined_now = [
            name for name in failing if self._failures_by_host[name].quarantined_until > now
        ][:max_quarantined]
        probing = [
            name for name in failing if self._failures_by_host[name].quarantined_until <= now
        ]
        excluded = {*quarantined_now, *probing}
        usable = tuple(name for name in candidates if name not in excluded)
        return HostSelection(usable, tuple(probing), tuple(quarantined_now))

    def _is_failing(self, host: str) -> bool:
        failures = self._failures_by_host.get(host)
        return failures is not None and len(failures.failed_tasks) >= FAILED_TASKS_TO_QUARANTINE
