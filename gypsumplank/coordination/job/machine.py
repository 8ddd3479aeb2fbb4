"""List machines and order their moves and maintenance, in threads apart from the scheduler's.

Orders for different machines are sent concurrently, as a turn of a queue moves dozens of machines
at once and each order takes two calls.
"""

import logging
import zlib
from collections.abc import Callable, Mapping, Sequence
from dataclasses import replace
from typing import Any, Protocol

import pykka

from gypsumplank.coordination.job.port import Machines
from gypsumplank.errors import MachineError, StateError
from gypsumplank.log import Event, event
from gypsumplank.protocol.queue import Machine, MachineOrderEntry, MachineState

# Interval between reads of the list of machines, seconds; shorter than a move takes.
LIST_INTERVAL_S = 0.6
# Safety margin added to the platform's minimum time between orders for one machine by two leaders,
# seconds.
HANDOVER_MARGIN_S = 0.5
# Delay before the order log is read again after a failure, seconds.
ORDER_LOG_RETRY_S = 0.5

# Threads that send orders; each order takes a call to the store and one to the machine service.
ORDER_SENDERS = 6

ResultCallback = Callable[[MachineError | None], None]

logger = logging.getLogger(__name__)


class OrderLog(Protocol):
    """Persist when the last order for each machine was given; every call may raise StateError."""

    def record(self, machine: str, wave: int = 0, maintained_wave: int = 0) -> None:
        """Record an order for a machine, as part of a wave if not 0.

        `maintained_wave` is the last wave for which the machine's maintenance was accepted.
        """

    def entries(self) -> Mapping[str, MachineOrderEntry]:
        """Return the last order of each machine."""

    def order_age_s(self, entry: MachineOrderEntry) -> float:
        """Return how long ago an order was recorded, in seconds."""

    def wave_age_s(self, wave: int) -> float:
        """Return how long ago a wave was first seen by any daemon, in seconds."""


class CallRunner(pykka.ThreadingActor):
    """Run calls one after another in a thread."""

    use_daemon_thread = True

    def on_receive(self, message: Any) -> None:
        """Run one call; log any exception, as it would stop the actor."""
        try:
            message()
        except Exception:
            logger.exception(Event.ACTOR_RESTARTED.value)


class MachineController:
    """Keep the list of machines, and send orders for them under a fencing token.

    `in_flight` names the machines with an unanswered order, `reserved` those that are planned for a
    move or maintenance. `listed` is the last list as the platform gave it, requested at
    `list_read_at` in monotonic seconds, and `machines` that list with the accepted orders since;
    only `listed` shows what has become of a worker. `last_wave` maps machines to the wave for which
    an earlier leader last ordered their maintenance, 0 for none, and `maintained_wave` to the last
    one for which any leader's order was accepted.
    """

    def __init__(
        self,
        machines: Machines,
        holder: str,
        handover_s: Callable[[], float],
        may_order: Callable[[], bool],
        post: Callable[[Callable[[], None]], None],
        order_log: OrderLog,
        actor_type: type[Any] = CallRunner,
    ) -> None:
        self.order_log = order_log
        self._actor_type = actor_type
        self._machines = machines
        self._holder = holder
        self._handover_s = handover_s
        self._may_order = may_order
        self.post = post
        self._actor: Any = None
        self._order_senders: list[Any] = []
        self._token = 0
        self._handover_ends_at: dict[str, float] | None = None
        self._next_order_log_at = 0.0
        self._next_list_at = 0.0
        self._list_pending = False
        self.machines: dict[str, Machine] = {}
        self.listed: Mapping[str, Machine] = {}
        self.list_read_at = 0.0
        self.last_wave: dict[str, int] = {}
        self.maintained_wave: dict[str, int] = {}
        self.in_flight: set[str] = set()
        self.reserved: set[str] = set()

    def start_term(self, token: int, now: float) -> None:
        """Start a leadership term under a new fencing token."""
        self.end_term()
        self._token = token
        self._actor = self._actor_type.start()
        self._order_senders = [self._actor_type.start() for _ in range(ORDER_SENDERS)]
        self._handover_ends_at = None
        self._request_order_log(now)

    def end_term(self) -> None:
        """End the leadership term and discard its state; another daemon takes over."""
        if self._actor is not None:
            for actor in (self._actor, *self._order_senders):
                actor.stop(block=False)
            self._actor = None
            self._order_senders = []
        self.machines.clear()
        self.listed = {}
        self.last_wave.clear()
        self.maintained_wave.clear()
        self.in_flight.clear()
        self.reserved.clear()
        self._list_pending = False
        self._next_list_at = 0.0

    def can_order(self, now: float) -> bool:
        """Return whether the orders of earlier leaders are known; if not, request them."""
        if self._handover_ends_at is None and now >= self._next_order_log_at:
            self._request_order_log(now)
        return self._handover_ends_at is not None

    def is_handover_over(self, machine: str, now: float) -> bool:
        """Return whether the last order for a machine by an earlier leader is old enough.

        Until then, the platform's minimum time between orders by two leaders has not passed.
        """
        return self._handover_ends_at is not None and now >= self._handover_ends_at.get(
            machine, 0.0
        )

    def _request_order_log(self, now: float) -> None:
        self._next_order_log_at = now + ORDER_LOG_RETRY_S
        token = self._token

        def read() -> None:
            try:
                entries = self.order_log.entries()
                ages = {name: self.order_log.order_age_s(entry) for name, entry in entries.items()}
            except StateError as exc:
                event(
                    logger, Event.STATE_UNAVAILABLE, logging.WARNING, code=exc.code, step="orders"
                )
                return
            self.post(lambda: self._apply_order_log(token, entries, ages, now))

        self.run_async(read)

    def _apply_order_log(
        self,
        token: int,
        entries: Mapping[str, MachineOrderEntry],
        ages: Mapping[str, float],
        now: float,
    ) -> None:
        if token == self._token and self._handover_ends_at is None:
            wait_s = self._handover_s() + HANDOVER_MARGIN_S
            self._handover_ends_at = {name: now + wait_s - age for name, age in ages.items()}
            self.last_wave = {name: entry.wave for name, entry in entries.items()}
            self.maintained_wave = {
                name: entry.maintained_wave for name, entry in entries.items()
            } | self.maintained_wave

    def run_async(self, work: Callable[[], None]) -> None:
        """Run a call in the actor's thread; drop it outside a term."""
        if self._actor is not None:
            self._actor.tell(work)

    def refresh_list(self, now: float) -> None:
        """Request the list of machines if it is due."""
        if self._list_pending or now < self._next_list_at:
            return
        self._list_pending = True
        self._next_list_at = now + LIST_INTERVAL_S
        token = self._token

        def read() -> None:
            try:
                found = self._machines.list_machines()
            except MachineError as exc:
                event(logger, Event.MACHINE_FAILED, logging.WARNING, code=exc.code, step="list")
                found = ()
            self.post(lambda: self._apply_list(token, found, now))

        self.run_async(read)

    def _apply_list(self, token: int, found: Sequence[Machine], now: float) -> None:
        if token != self._token:
            return
        self._list_pending = False
        if found:
            self.machines = {machine.name: machine for machine in found}
            self.listed = dict(self.machines)
            self.list_read_at = now

    def order_maintenance(self, machine: str, wave: int, on_result: ResultCallback) -> None:
        """Order a machine's maintenance; it terminates the worker."""
        token = self._token

        def work() -> None:
            self._machines.start_maintenance(machine, wave, self._holder, token)
            self._record_acceptance(machine, wave)

        def finish(failure: MachineError | None) -> None:
            if failure is None:
                self.maintained_wave[machine] = wave
            self._apply_result(failure, machine, on_result, MachineState.UPKEEP)

        self._submit_order(machine, work, finish, wave)

    def order_move(self, machine: str, pool: str, on_result: ResultCallback) -> None:
        """Order a machine's move to another pool; it terminates the worker."""
        token = self._token
        self._submit_order(
            machine,
            lambda: self._machines.move(machine, pool, self._holder, token),
            lambda failure: self._apply_result(
                failure, machine, on_result, MachineState.MOVING, pool
            ),
        )

    def _apply_result(
        self,
        failure: MachineError | None,
        machine: str,
        on_result: ResultCallback,
        state: MachineState,
        pool: str = "",
    ) -> None:
        """Pass on an order's result; if it succeeded, update the list before its next read."""
        listed = self.machines.get(machine)
        if failure is None and listed is not None:
            self.machines[machine] = replace(listed, state=state, pool=pool or listed.pool)
        on_result(failure)

    def _record_order(self, machine: str, wave: int) -> None:
        try:
            self.order_log.record(machine, wave, self.maintained_wave.get(machine, 0))
        except StateError as exc:
            detail = f"the order could not be recorded: {exc.detail}"
            raise MachineError(detail, may_be_executed=False) from exc

    def _record_acceptance(self, machine: str, wave: int) -> None:
        """Record that maintenance was accepted; without a record, a successor orders it again."""
        try:
            self.order_log.record(machine, wave, wave)
        except StateError as exc:
            event(logger, Event.STATE_UNAVAILABLE, logging.WARNING, code=exc.code, step="orders")

    def _submit_order(
        self, machine: str, work: Callable[[], None], on_result: ResultCallback, wave: int = 0
    ) -> None:
        self.in_flight.add(machine)
        token = self._token

        def call() -> None:
            failure: MachineError | None = None
            try:
                self._record_order(machine, wave)
                if token != self._token or not self._may_order():
                    detail = "the scheduler's term may have ended"
                    raise MachineError(detail, may_be_executed=False)
                work()
            except MachineError as exc:
                failure = exc
            except Exception as exc:
                logger.exception(Event.ACTOR_RESTARTED.value)
                failure = MachineError(str(exc))
            self.post(lambda: finish(failure))

        def finish(failure: MachineError | None) -> None:
            if token != self._token:
                return
            self.in_flight.discard(machine)
            if failure is not None:
                event(
                    logger,
                    Event.MACHINE_FAILED,
                    logging.WARNING,
                    machine=machine,
                    code=failure.code,
                    detail=failure.detail,
                )
            on_result(failure)

        if self._order_senders:
            # Orders for one machine keep their sequence.
            sender = zlib.crc32(machine.encode()) % len(self._order_senders)
            self._order_senders[sender].tell(call)
