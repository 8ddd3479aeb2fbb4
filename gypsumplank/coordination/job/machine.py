"""List machines and give orders for them, in a thread apart from the scheduler's."""

import logging
from collections.abc import Callable, Mapping, Sequence
from dataclasses import replace
from typing import Any, Protocol

import pykka

from gypsumplank.coordination.job.port import Machines
from gypsumplank.errors import MachineError, StateError
from gypsumplank.log import Event, event
from gypsumplank.protocol.queue import Machine, MachineState, OrderNote

# Time between reads of the list of machines, seconds; below the time of a move.
LIST_S = 0.6
# Added to the time within which two holders may not both give orders, seconds.
HANDOVER_MARGIN_S = 0.5

# Pause before the orders of an earlier holder are read again, seconds.
READ_AGAIN_S = 0.5

Outcome = Callable[[MachineError | None], None]

logger = logging.getLogger(__name__)


class OrderLog(Protocol):
    """Keep when each machine was last ordered about; every call may raise StateError."""

    def note(self, machine: str, wave: int = 0) -> None:
        """Note that an order for a machine is about to be given, for a wave if it is one's."""

    def notes(self) -> Mapping[str, OrderNote]:
        """Return the last order of each machine."""

    def age_s(self, note: OrderNote) -> float:
        """Return how long ago an order was noted, in seconds."""

    def begun(self, wave: int) -> float:
        """Return how long ago a wave was first seen by any daemon, in seconds."""


class Caller(pykka.ThreadingActor):
    """Run calls one after another."""

    use_daemon_thread = True

    def on_receive(self, message: Any) -> None:
        """Run one call; an actor that raised would take no more."""
        try:
            message()
        except Exception:
            logger.exception(Event.ACTOR_RESTARTED.value)


class MachineDesk:
    """Hold the list of machines, and which of them an order is under way for.

    `serviced` tells for which wave an earlier holder ordered a machine's upkeep last, 0 for none.
    """

    def __init__(
        self,
        machines: Machines,
        holder: str,
        handover_s: Callable[[], float],
        may_order: Callable[[], bool],
        post: Callable[[Callable[[], None]], None],
        log: OrderLog,
        caller: type[Any] = Caller,
    ) -> None:
        self.log = log
        self._caller_type = caller
        self._machines = machines
        self._holder = holder
        self._handover_s = handover_s
        self._may_order = may_order
        self.post = post
        self._caller: Any = None
        self._token = 0
        self._free_at: dict[str, float] | None = None
        self._read_due = 0.0
        self._list_due = 0.0
        self._listing = False
        self.listed: dict[str, Machine] = {}
        self.listed_at = 0.0
        self.serviced: dict[str, int] = {}
        self.calling: set[str] = set()
        self.reserved: set[str] = set()

    def begin(self, token: int, now: float) -> None:
        """Start under a new token."""
        self.end()
        self._token = token
        self._caller = self._caller_type.start()
        self._free_at = None
        self._read_orders(now)

    def end(self) -> None:
        """Forget everything; another daemon goes on."""
        if self._caller is not None:
            self._caller.stop(block=False)
            self._caller = None
        self.listed.clear()
        self.serviced.clear()
        self.calling.clear()
        self.reserved.clear()
        self._listing = False
        self._list_due = 0.0

    def may_act(self, now: float) -> bool:
        """Tell whether the orders of an earlier holder are known; read them where they are not."""
        if self._free_at is None and now >= self._read_due:
            self._read_orders(now)
        return self._free_at is not None

    def is_free(self, machine: str, now: float) -> bool:
        """Tell whether an earlier holder's last order for a machine is long enough ago."""
        return self._free_at is not None and now >= self._free_at.get(machine, 0.0)

    def _read_orders(self, now: float) -> None:
        self._read_due = now + READ_AGAIN_S
        token = self._token

        def read() -> None:
            try:
                notes = self.log.notes()
                ages = {name: self.log.age_s(note) for name, note in notes.items()}
            except StateError as exc:
                event(
                    logger, Event.STATE_UNAVAILABLE, logging.WARNING, code=exc.code, step="orders"
                )
                return
            waves = {name: note.wave for name, note in notes.items()}
            self.post(lambda: self._note_orders(token, ages, waves, now))

        self.tell(read)

    def _note_orders(
        self, token: int, ages: Mapping[str, float], waves: dict[str, int], now: float
    ) -> None:
        if token == self._token and self._free_at is None:
            wait_s = self._handover_s() + HANDOVER_MARGIN_S
            self._free_at = {name: now + wait_s - age for name, age in ages.items()}
            self.serviced = waves

    def tell(self, work: Callable[[], None]) -> None:
        """Run a call in the thread for calls."""
        if self._caller is not None:
            self._caller.tell(work)

    def refresh(self, now: float) -> None:
        """Read the list of machines if it is due."""
        if self._listing or now < self._list_due:
            return
        self._listing = True
        self._list_due = now + LIST_S
        token = self._token

        def read() -> None:
            try:
                found = self._machines.all()
            except MachineError as exc:
                event(logger, Event.MACHINE_FAILED, logging.WARNING, code=exc.code, step="list")
                found = ()
            self.post(lambda: self._read(token, found, now))

        self.tell(read)

    def _read(self, token: int, found: Sequence[Machine], now: float) -> None:
        if token != self._token:
            return
        self._listing = False
        if found:
            self.listed = {one.name: one for one in found}
            self.listed_at = now

    def upkeep(self, machine: str, wave: int, outcome: Outcome) -> None:
        """Order a machine's upkeep."""
        token = self._token
        self._order(
            machine,
            lambda: self._machines.upkeep(machine, wave, self._holder, token),
            lambda failure: self._tell(failure, machine, outcome, MachineState.UPKEEP),
            wave,
        )

    def move(self, machine: str, pool: str, outcome: Outcome) -> None:
        """Order a machine's move."""
        token = self._token
        self._order(
            machine,
            lambda: self._machines.move(machine, pool, self._holder, token),
            lambda failure: self._tell(failure, machine, outcome, MachineState.MOVING, pool),
        )

    def _tell(
        self,
        failure: MachineError | None,
        machine: str,
        outcome: Outcome,
        state: MachineState,
        pool: str = "",
    ) -> None:
        """Tell the outcome of an order; the list shows it before it is read again."""
        listed = self.listed.get(machine)
        if failure is None and listed is not None:
            self.listed[machine] = replace(listed, state=state, pool=pool or listed.pool)
        outcome(failure)

    def _note(self, machine: str, wave: int) -> None:
        try:
            self.log.note(machine, wave)
        except StateError as exc:
            raise MachineError(f"the order could not be noted: {exc.detail}") from exc

    def _order(
        self, machine: str, work: Callable[[], None], outcome: Outcome, wave: int = 0
    ) -> None:
        self.calling.add(machine)
        token = self._token

        def call() -> None:
            failure: MachineError | None = None
            try:
                self._note(machine, wave)
                if not self._may_order():
                    raise MachineError("the scheduler's lease is not provably held")
                work()
            except MachineError as exc:
                failure = exc
            self.post(lambda: finish(failure))

        def finish(failure: MachineError | None) -> None:
            if token != self._token:
                return
            self.calling.discard(machine)
            if failure is not None:
                event(
                    logger,
                    Event.MACHINE_FAILED,
                    logging.WARNING,
                    machine=machine,
                    code=failure.code,
                    detail=failure.detail,
                )
            outcome(failure)

        self.tell(call)
