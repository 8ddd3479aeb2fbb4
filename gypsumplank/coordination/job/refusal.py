"""Remember the starts that a worker was told to refuse, and bar them at its next instance too."""

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from gypsumplank.coordination.job.evidence import MAX_START_DELAY_S
from gypsumplank.coordination.job.instance import WorkerInstance
from gypsumplank.errors import WorkerError

# Time after which a stop that was not confirmed is sent again, seconds.
STOP_RETRY_S = 0.6

StopResult = Callable[[WorkerError | None, float], None]
SendStop = Callable[[WorkerInstance, str, int, StopResult], None]


@dataclass
class RefusedStart:
    """Represent a start without an answer that instances up to `incarnation` refuse.

    It may come until `expires_at`. `stop_sent_at` is when a later instance was last told to refuse
    it; times are monotonic seconds.
    """

    name: str
    run: int
    incarnation: int
    expires_at: float
    stop_sent_at: float = 0.0


class RefusedStarts:
    """Track the refused starts of one term by worker; used by the scheduler's thread only."""

    def __init__(self) -> None:
        self._by_worker: dict[str, list[RefusedStart]] = {}

    def record(self, instance: WorkerInstance, name: str, run: int, now: float) -> None:
        """Note that an instance refuses a run whose start it did not answer."""
        refused = RefusedStart(name, run, instance.incarnation, now + MAX_START_DELAY_S)
        self._by_worker.setdefault(instance.id, []).append(refused)

    def bar(self, instance: WorkerInstance, now: float, stop: SendStop) -> None:
        """Tell an instance to refuse what an earlier one of the same worker was told to refuse."""
        if instance.detached or instance.missed_polls:
            return
        for refused in self._by_worker.get(instance.id, ()):
            is_later = instance.incarnation > refused.incarnation
            if is_later and now >= refused.stop_sent_at + STOP_RETRY_S:
                refused.stop_sent_at = now
                confirm = partial(_confirm, refused, instance.incarnation)
                stop(instance, refused.name, refused.run, confirm)

    def remove_expired(self, now: float) -> None:
        """Forget the starts that can't come any more."""
        kept = {
            worker: [refused for refused in starts if now < refused.expires_at]
            for worker, starts in self._by_worker.items()
        }
        self._by_worker = {worker: starts for worker, starts in kept.items() if starts}


def _confirm(
    refused: RefusedStart, incarnation: int, failure: WorkerError | None, _at: float
) -> None:
    if failure is None:
        refused.incarnation = max(refused.incarnation, incarnation)
