"""Run actors on their periods and restart those that stop."""

import logging
import threading
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

import pykka

from gypsumplank.log import Event, event
from gypsumplank.state.clock import Clock

RESOLUTION_S = 0.05
TICK = "tick"

logger = logging.getLogger(__name__)


class Step(Protocol):
    """Do one round of periodic work."""

    def tick(self) -> None:
        """Do the work that is due."""


class StepActor(pykka.ThreadingActor):
    """Run a step's ticks one after another in a thread of their own."""

    def __init__(self, step: Step) -> None:
        super().__init__()
        self._step = step

    def on_receive(self, message: Any) -> None:
        """Run one tick, whatever the message."""
        self._step.tick()


@dataclass
class Watched:
    """Hold one supervised step and its running actor."""

    name: str
    step: Step
    period_s: float
    due: float
    ref: Any
    pending: Any = None


class Supervisor:
    """Tick each step on its period, never twice at once, and restart its actor on failure."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._watched: dict[str, Watched] = {}
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, name="supervisor", daemon=True)
        self.restarts = 0

    def add(self, name: str, step: Step, period_s: float) -> None:
        """Supervise a step from now on."""
        ref = StepActor.start(step)
        self._watched[name] = Watched(name, step, period_s, self._clock.monotonic(), ref)

    def start(self) -> None:
        """Begin to tick."""
        self._thread.start()

    def hurry(self, name: str) -> None:
        """Make a step due at once."""
        self._watched[name].due = self._clock.monotonic()

    def stop(self) -> None:
        """Stop all actors and wait until the ticks in progress are done."""
        self._stop.set()
        self._thread.join()
        for watched in self._watched.values():
            watched.ref.stop()

    def round(self) -> None:
        """Tick what is due and restart what has stopped."""
        now = self._clock.monotonic()
        for watched in tuple(self._watched.values()):
            self._settle(watched)
            if watched.pending is None and watched.due <= now:
                watched.due = now + watched.period_s
                watched.pending = watched.ref.ask(TICK, block=False)

    def _run(self) -> None:
        while not self._stop.wait(RESOLUTION_S):
            self.round()

    def _settle(self, watched: Watched) -> None:
        if watched.pending is None:
            return
        try:
            watched.pending.get(timeout=0)
        except pykka.Timeout:
            return
        except Exception as exc:  # noqa: BLE001
            self._restart(watched, exc)
        watched.pending = None

    def _restart(self, watched: Watched, exc: BaseException) -> None:
        self.restarts += 1
        event(
            logger,
            Event.ACTOR_RESTARTED,
            logging.ERROR,
            actor=watched.name,
            error=type(exc).__name__,
            detail=str(exc),
        )
        watched.ref.stop(block=False)
        watched.ref = StepActor.start(watched.step)


def make_step(work: Callable[[], None]) -> Step:
    """Return a step that calls a function."""
    return _FunctionStep(work)


class _FunctionStep:
    def __init__(self, work: Callable[[], None]) -> None:
        self._work = work

    def tick(self) -> None:
        """Call the function."""
        self._work()
