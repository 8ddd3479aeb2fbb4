"""Carry orders to workers and their reports back, in threads beside the scheduler's."""

import logging
import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from gypsumplank.coordination.job.port import WorkerControl
from gypsumplank.coordination.job.settle import Heard
from gypsumplank.coordination.job.site import Site
from gypsumplank.errors import WorkerError, WorkerRefusedError
from gypsumplank.log import Event, event
from gypsumplank.protocol.worker import StartOrder, StartRefusal
from gypsumplank.state.clock import Clock

# Longest wait of a hold for an end, seconds; a silent channel shows after this and a timeout.
HOLD_WAIT_S = 1.0
# Longest wait while a lasting task starts, seconds; its start frees its step's budget.
STARTING_WAIT_S = 0.3
# Longest wait for the scheduler to store ends before the next hold, seconds.
STORED_WAIT_S = 0.5
# Orders under way at once; those without an answer keep a thread until their time is over.
SENDERS = 24
# Pauses between holds that failed, seconds.
RETRY_S = 0.3
# Pause between looks at a worker without tasks, seconds.
IDLE_S = 30.0

Post = Callable[[Callable[[], None]], None]
Order = Callable[[int], StartOrder | None]
Outcome = Callable[[WorkerError | None, float], None]

logger = logging.getLogger(__name__)


class Courier:
    """Hold a poller for each worker life, and threads for orders, under one fencing token."""

    def __init__(
        self,
        control: WorkerControl,
        clock: Clock,
        post: Post,
        token: int,
        lease_s: Callable[[], float],
        may_extend: Callable[[], bool],
        heard: Callable[[Site, Heard], None],
    ) -> None:
        self._control = control
        self._clock = clock
        self._post = post
        self._token = token
        self._lease_s = lease_s
        self._may_extend = may_extend
        self._heard = heard
        self._closed = threading.Event()
        self._senders = ThreadPoolExecutor(SENDERS, "sender")

    def attach(self, site: Site) -> None:
        """Begin to poll a worker."""
        threading.Thread(target=self._poll, args=(site,), name="poller", daemon=True).start()

    def detach(self, site: Site) -> None:
        """Stop to poll a worker."""
        site.gone = True
        site.wake.set()

    def close(self) -> None:
        """Stop all pollers and senders."""
        self._closed.set()
        self._senders.shutdown(wait=False, cancel_futures=True)

    def start(
        self, site: Site, order: Callable[[int], StartOrder | None], outcome: Outcome
    ) -> None:
        """Send a start; its lease begins when it is sent."""

        def send() -> None:
            if not site.in_reach:
                raise WorkerRefusedError(StartRefusal.UNREACHED, f"{site.id} does not answer")
            until_ms = site.covers(self._clock.monotonic(), self._lease_s())
            told = order(until_ms)
            if told is None:
                return
            clock_ms = self._control.start(site.entry, told)
            site.clock.learn(clock_ms, self._clock.monotonic())

        self._send(site, send, outcome)

    def stop(self, site: Site, name: str, run: int, outcome: Outcome) -> None:
        """Send a stop."""
        self._send(site, lambda: self._control.stop(site.entry, name, run, self._token), outcome)

    def pace(self, site: Site, name: str, run: int, percent: int, outcome: Outcome) -> None:
        """Send a pace."""
        self._send(
            site,
            lambda: self._control.pace(site.entry, name, run, percent, self._token),
            outcome,
        )

    def look(self, site: Site) -> None:
        """Ask for a report at once, beside the poller's."""

        def run() -> None:
            if self._closed.is_set() or site.gone:
                return
            try:
                heard = self._look(site, 0.0)
            except WorkerError as exc:
                self._miss(site, exc)
                return
            self._post(lambda: self._heard(site, heard))

        self._submit(run)

    def _send(self, site: Site, work: Callable[[], None], outcome: Outcome) -> None:
        def run() -> None:
            if self._closed.is_set() or site.gone:
                return
            failure: WorkerError | None = None
            try:
                work()
            except WorkerError as exc:
                failure = exc
            at = self._clock.monotonic()
            self._post(lambda: outcome(failure, at))

        self._submit(run)

    def _submit(self, work: Callable[[], None]) -> None:
        if not self._closed.is_set():
            self._senders.submit(work)

    def _poll(self, site: Site) -> None:
        while not self._closed.is_set() and not site.gone:
            if site.contacted_at and not site.missed and not site.tasks:
                site.wake.wait(IDLE_S)
                site.wake.clear()
                if not site.tasks:
                    continue
            try:
                heard = self._look(site, HOLD_WAIT_S)
            except WorkerError as exc:
                self._miss(site, exc)
                self._closed.wait(RETRY_S)
                continue
            except Exception as exc:
                logger.exception(Event.ACTOR_RESTARTED.value)
                self._miss(site, WorkerError(str(exc)))
                self._closed.wait(RETRY_S)
                continue
            self._post(lambda heard=heard: self._heard(site, heard))  # type: ignore[misc]
            if any(one.number > site.acked for one in heard.report.ended):
                site.wake.wait(STORED_WAIT_S)
                site.wake.clear()

    def _look(self, site: Site, longest_s: float) -> Heard:
        sent_at = self._clock.monotonic()
        wants = bool(site.tasks) and not site.missed and not site.held_back
        extends = wants and self._may_extend()
        until_ms = site.covers(sent_at, self._lease_s()) if extends else None
        wait_s = min(longest_s, STARTING_WAIT_S) if site.has_starting() else longest_s
        if not site.contacted_at or site.missed:
            wait_s = 0.0
        report = self._control.hold(site.entry, self._token, until_ms, site.acked, wait_s)
        answered_at = self._clock.monotonic()
        site.clock.learn(report.clock_ms, answered_at)
        return Heard(report, sent_at, answered_at)

    def _miss(self, site: Site, exc: WorkerError) -> None:
        site.missed += 1
        if site.missed == 1:
            event(
                logger,
                Event.WORKER_SILENT,
                logging.WARNING,
                worker=site.id,
                code=exc.code,
                detail=exc.detail,
                tasks=len(site.tasks),
            )
