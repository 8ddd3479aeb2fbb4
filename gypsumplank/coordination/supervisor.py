"""Run periodic actions as actors, and restart those that fail."""

import logging
import threading
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

import pykka

from gypsumplank.log import Event, event
from gypsumplank.state.clock import Clock

POLL_INTERVAL_S = 0.05
TICK = "tick"

logger = logging.getLogger(__name__)


class PeriodicAction(Protocol):
    """Represent work that is done periodically."""

    def tick(self) -> None:
        """Do the work that is due."""


class PeriodicActor(pykka.ThreadingActor):
    """Run the ticks of an action one after another in its own thread."""

    def __init__(self, action: PeriodicAction) -> None:
        super().__init__()
        self._action = action

    def on_receive(self, message: Any) -> None:
        """Run one tick, whatever the message."""
        self._action.tick()


@dataclass
class SupervisedAction:
    """Store a supervised action, its actor and when it is due, in monotonic seconds."""

    name: str
    step: PeriodicAction
    period_s: float
    due: float
    ref: Any
    pending: Any = None


class Supervisor:
    """Run each action periodically and never concurrently with itself; restart failed actors."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._supervised: dict[str, SupervisedAction] = {}
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, name="supervisor", daemon=True)
        self.restarts = 0

    def add(self, name: str, action: PeriodicAction, period_s: float) -> None:
        """Start to supervise an action."""
        ref = PeriodicActor.start(action)
        self._supervised[name] = SupervisedAction(
            name, action, period_s, self._clock.monotonic(), ref
        )

    def start(self) -> None:
        """Start the supervisor's thread."""
        self._thread.start()

    def run_now(self, name: str) -> None:
        """Make an action due at once."""
        self._supervised[name].due = self._clock.monotonic()

    def stop(self) -> None:
        """Stop the thread and all actors, after the ticks in progress have finished."""
        self._stop.set()
        if self._thread.is_alive():
            self._thread.join()
        for supervised in self._supervised.values():
            supervised.ref.stop()

    def run_due(self) -> None:
        """Run the actions that are due and restart the actors that failed."""
        now = self._clock.monotonic()
        for supervised in tuple(self._supervised.values()):
            self._collect_result(supervised)
            if supervised.pending is None and supervised.due <= now:
                supervised.due = now + supervised.period_s
                supervised.pending = supervised.ref.ask(TICK, block=False)

    def _run(self) -> None:
        while not self._stop.wait(POLL_INTERVAL_S):
            self.run_due()

    def _collect_result(self, supervised: SupervisedAction) -> None:
        if supervised.pending is None:
            return
        try:
            supervised.pending.get(timeout=0)
        except pykka.Timeout:
            return
        except Exception as exc:  # noqa: BLE001
            self._restart(supervised, exc)
        supervised.pending = None

    def _restart(self, supervised: SupervisedAction, exc: BaseException) -> None:
        self.restarts += 1
        event(
            logger,
            Event.ACTOR_RESTARTED,
            logging.ERROR,
            actor=supervised.name,
            error=type(exc).__name__,
            detail=str(exc),
        )
        supervised.ref.stop(block=False)
        supervised.ref = PeriodicActor.start(supervised.step)


def make_periodic_action(work: Callable[[], None]) -> PeriodicAction:
    """Return an action that calls a function."""
    return _FunctionAction(work)


class _FunctionAction:
    def __init__(self, work: Callable[[], None]) -> None:
        self._work = work

    def tick(self) -> None:
        """Call the function."""
        self._work()
