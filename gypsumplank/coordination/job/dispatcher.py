"""Send commands to workers and poll their reports, in threads apart from the scheduler's."""

import logging
import threading
from collections.abc import Callable, Iterable
from concurrent.futures import Future, ThreadPoolExecutor
from contextlib import AbstractContextManager, nullcontext
from typing import Any

from gypsumplank.coordination.job.instance import VERIFIED_FOR_S, WorkerInstance
from gypsumplank.coordination.job.observation import ReceivedReport
from gypsumplank.coordination.job.orderqueue import OrderQueue
from gypsumplank.coordination.job.port import WorkerControl
from gypsumplank.errors import WorkerError, WorkerRefusedError, WorkerUnknownError
from gypsumplank.log import Event, event
from gypsumplank.protocol.worker import StartCommand, StartRefusal
from gypsumplank.state.clock import Clock

# Longest wait of a poll for the end of a task, seconds; a lost connection is noticed after this
# wait plus the call's timeout.
LONG_POLL_S = 1.0
# Longest wait of a poll while a long-running task or a suspect starts, seconds; short, as a step's
# disruption budget allows another interruption only once the task is known to serve, and a worker
# takes no other task until a suspect is known to run there.
STARTUP_LONG_POLL_S = 0.3
# Longest time for which the next poll waits for the scheduler to commit reported task ends,
# seconds.
COMMIT_WAIT_S = 0.5
# Concurrent commands; one that is not answered occupies its thread until its timeout.
SENDER_THREADS = 24
# First polls of workers that run at once; more would keep the scheduler's thread from the
# interpreter for seconds after a take-over of hundreds of workers.
FIRST_POLL_SLOTS = 16
# Delay after a failed poll, seconds.
POLL_RETRY_S = 0.3
# Interval at which the polling thread of an idle worker checks for tasks, seconds; a worker without
# tasks is not polled.
IDLE_CHECK_INTERVAL_S = 30.0

Post = Callable[[Callable[[], None]], None]
StartOrderFactory = Callable[[int], StartCommand | None]
ResultCallback = Callable[[WorkerError | None, float], None]

logger = logging.getLogger(__name__)


class WorkerDispatcher:
    """Run a polling thread per worker instance and a pool of sender threads.

    All calls carry the fencing token of one leadership term. Tasks are started, and their leases
    extended, only while `may_extend_leases` returns true. A command's `on_result` gets its error or
    None, and when the command ended, in monotonic seconds.
    """

    def __init__(
        self,
        control: WorkerControl,
        clock: Clock,
        post: Post,
        token: int,
        lease_s: Callable[[], float],
        may_extend_leases: Callable[[], bool],
        on_report: Callable[[WorkerInstance, ReceivedReport], None],
    ) -> None:
        self._control = control
        self._clock = clock
        self._post = post
        self._token = token
        self._lease_s = lease_s
        self._may_extend_leases = may_extend_leases
        self._on_report = on_report
        self._closed = threading.Event()
        self._first_poll_slots = threading.Semaphore(0)
        self._senders = ThreadPoolExecutor(SENDER_THREADS, "sender")
        self._orders = OrderQueue(self._submit, clock)
        self._verifications: dict[WorkerInstance, Future[ReceivedReport]] = {}
        self._verifications_lock = threading.Lock()

    def begin_term(self, instances: Iterable[WorkerInstance]) -> None:
        """Start polling the workers that are known at the beginning of the term, in this order."""
        for instance in instances:
            self.start_polling(instance)
        # Threads that poll already would hold up the start of the others.
        self._first_poll_slots.release(FIRST_POLL_SLOTS)

    def start_polling(self, instance: WorkerInstance) -> None:
        """Start a thread that polls a worker; it waits for `begin_term`."""
        threading.Thread(
            target=self._poll_loop, args=(instance,), name="poller", daemon=True
        ).start()

    def stop_polling(self, instance: WorkerInstance) -> None:
        """Stop polling a worker."""
        instance.detached = True
        instance.wake.set()

    def close(self) -> None:
        """Stop all polling and sender threads."""
        self._closed.set()
        self._senders.shutdown(wait=False, cancel_futures=True)

    def start(
        self,
        instance: WorkerInstance,
        make_order: Callable[[int], StartCommand | None],
        on_result: ResultCallback,
    ) -> None:
        """Start a task on a worker; its lease begins when the command is sent.

        `make_order` gets the lease's end on the worker's clock in ms; it returns None to cancel.
        """

        def send() -> None:
            if not instance.is_reachable:
                raise WorkerRefusedError(StartRefusal.UNREACHABLE, f"{instance.id} is unreachable")
            self._verify(instance)
            # The time is read before the check, so that no pause between them prolongs the lease.
            now = self._clock.monotonic()
            if not self._may_extend_leases():
                raise WorkerRefusedError(StartRefusal.FENCED, "this leader's lease has expired")
            until_ms = instance.try_extend_leases(now, self._lease_s())
            if until_ms is None:
                raise WorkerRefusedError(StartRefusal.UNREACHABLE, f"{instance.id} is silent")
            command = make_order(until_ms)
            if command is None:
                return
            clock_ms = self._control.start(instance.entry, command)
            instance.clock.observe(clock_ms, self._clock.monotonic())

        self._send(instance, send, on_result)

    def _verify(self, instance: WorkerInstance) -> None:
        """Ask a worker that has been idle whether it is still the known instance.

        Raises WorkerRefusedError if it is not, or does not answer. Concurrent starts share a call.
        """
        if self._clock.monotonic() - instance.verified_at <= VERIFIED_FOR_S:
            return
        with self._verifications_lock:
            shared = self._verifications.get(instance)
            fut = self._verifications.setdefault(instance, Future())
        try:
            if shared is None:
                self._ask(instance, fut)
            received = fut.result()
        except WorkerError as exc:
            raise WorkerRefusedError(StartRefusal.UNREACHABLE, exc.detail) from exc
        if shared is None:
            self._post(lambda: self._on_report(instance, received))
        if received.report.born != instance.incarnation:
            raise WorkerRefusedError(
                StartRefusal.OTHER_INSTANCE, f"{instance.id} has started again"
            )

    def _ask(self, instance: WorkerInstance, fut: Future[ReceivedReport]) -> None:
        try:
            # Neither leases nor acknowledgements of this instance are meant for the next one.
            fut.set_result(self._poll_once(instance, None, 0, 0.0))
        except BaseException as exc:
            fut.set_exception(exc)
            raise
        finally:
            with self._verifications_lock:
                del self._verifications[instance]

    def stop(
        self, instance: WorkerInstance, name: str, run: int, on_result: ResultCallback
    ) -> None:
        """Stop a run on a worker."""
        self._send(
            instance, lambda: self._control.stop(instance.entry, name, run, self._token), on_result
        )

    def set_speed_limit(
        self, instance: WorkerInstance, name: str, run: int, percent: int, on_result: ResultCallback
    ) -> None:
        """Throttle a run to a percentage of its full speed."""
        self._send(
            instance,
            lambda: self._control.set_speed_limit(instance.entry, name, run, percent, self._token),
            on_result,
        )

    def poll_now(self, instance: WorkerInstance) -> None:
        """Request a report at once, in addition to the polling thread."""

        def run() -> None:
            if self._closed.is_set() or instance.detached:
                return
            try:
                received = self._request_report(instance, 0.0)
            except WorkerError as exc:
                self._record_missed_poll(instance, exc)
                return
            self._post(lambda: self._on_report(instance, received))

        self._submit(run)

    def _send(
        self, instance: WorkerInstance, work: Callable[[], None], on_result: ResultCallback
    ) -> None:
        def run() -> bool:
            if self._closed.is_set() or instance.detached:
                return True
            failure: WorkerError | None = None
            try:
                work()
            except WorkerError as exc:
                failure = exc
            except Exception as exc:
                logger.exception(Event.ACTOR_RESTARTED.value)
                failure = WorkerUnknownError(str(exc))
            at = self._clock.monotonic()
            self._post(lambda: on_result(failure, at))
            return failure is None

        self._orders.add(instance, run)

    def _submit(self, work: Callable[[], object]) -> None:
        if not self._closed.is_set():
            self._senders.submit(work)

    def _poll_loop(self, instance: WorkerInstance) -> None:
        self._poll(instance, self._first_poll_slots)
        while not self._closed.is_set() and not instance.detached:
            if instance.last_contact_at and not instance.missed_polls and not instance.is_busy:
                instance.wake.wait(IDLE_CHECK_INTERVAL_S)
                instance.wake.clear()
                if not instance.is_busy:
                    continue
            self._poll(instance, nullcontext())

    def _poll(self, instance: WorkerInstance, slot: AbstractContextManager[Any]) -> None:
        """Poll once while holding a slot, and wait until the reported task ends are committed."""
        try:
            with slot:
                if self._closed.is_set() or instance.detached:
                    return
                received = self._request_report(instance, LONG_POLL_S)
        except WorkerError as exc:
            self._record_missed_poll(instance, exc)
            self._closed.wait(POLL_RETRY_S)
            return
        except Exception as exc:
            logger.exception(Event.ACTOR_RESTARTED.value)
            self._record_missed_poll(instance, WorkerError(str(exc)))
            self._closed.wait(POLL_RETRY_S)
            return
        self._post(lambda: self._on_report(instance, received))
        if any(end.number > instance.last_acked_end for end in received.report.ended):
            instance.wake.wait(COMMIT_WAIT_S)
            instance.wake.clear()

    def _request_report(self, instance: WorkerInstance, max_wait_s: float) -> ReceivedReport:
        sent_at = self._clock.monotonic()
        has_leased_tasks = bool(instance.tasks) and not instance.missed_polls
        extend = has_leased_tasks and self._may_extend_leases()
        until_ms = instance.try_extend_leases(sent_at, self._lease_s()) if extend else None
        wait_s = (
            min(max_wait_s, STARTUP_LONG_POLL_S)
            if instance.needs_frequent_reports()
            else max_wait_s
        )
        ack = instance.sendable_ack_cursor(sent_at)
        if not instance.last_contact_at or instance.missed_polls or ack != instance.ack_cursor:
            wait_s = 0.0
        return self._poll_once(instance, until_ms, ack, wait_s)

    def _poll_once(
        self, instance: WorkerInstance, until_ms: int | None, ack: int, wait_s: float
    ) -> ReceivedReport:
        sent_at = self._clock.monotonic()
        report = self._control.poll(instance.entry, self._token, until_ms, ack, wait_s)
        answered_at = self._clock.monotonic()
        if report.born == instance.incarnation:
            instance.clock.observe(report.clock_ms, answered_at)
            if misses := instance.record_answer(answered_at):
                event(logger, Event.WORKER_RESPONDED, worker=instance.id, misses=misses)
        return ReceivedReport(report, sent_at, answered_at)

    def _record_missed_poll(self, instance: WorkerInstance, exc: WorkerError) -> None:
        instance.missed_polls += 1
        if instance.missed_polls == 1:
            event(
                logger,
                Event.WORKER_SILENT,
                logging.WARNING,
                worker=instance.id,
                code=exc.code,
                detail=exc.detail,
                tasks=len(instance.tasks),
            )
