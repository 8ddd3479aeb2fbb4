"""Run the request of an idempotency key at most once over all daemons."""

import hashlib
import logging
import threading
import uuid
from collections import deque
from collections.abc import Callable
from concurrent.futures import Future
from dataclasses import dataclass
from typing import Protocol

from gypsumplank.coordination.outcome import refusal_of
from gypsumplank.errors import (
    ClaimAbandonedError,
    ClaimUnavailableError,
    GypsumplankError,
    KeyInUseError,
    KeyReusedError,
    StateConflictError,
    StateError,
    StateUnknownError,
)
from gypsumplank.log import Event, event
from gypsumplank.protocol.exchange import Answer, Outcome, Reply, Request
from gypsumplank.protocol.header import parse_idempotency_key
from gypsumplank.state.claim import Claim, ClaimStore, finishing, opening, releasing
from gypsumplank.state.clock import Clock
from gypsumplank.state.session import Session
from gypsumplank.state.writer import RowChange

OPEN_WAIT_S = 2.0
STORE_WAIT_S = 1.0
YOUNG_S = 2.0
CLOCK_SKEW_S = 5.0
LATE_S = 10.0
OPEN_TRIES = 3
MAX_WAITING = 64
MAX_UNSETTLED = 1000
SETTLED_A_TICK = 100

Guard = Callable[[], bool]
Send = Callable[[Request, Guard], Reply]

logger = logging.getLogger(__name__)


class Lease(Protocol):
    """Tell of this daemon's lease and of the sessions that are live."""

    @property
    def session(self) -> Session:
        """Return this daemon's session."""

    @property
    def live(self) -> tuple[Session, ...]:
        """Return the sessions whose leases are in force, as last read."""

    @property
    def held(self) -> bool:
        """Tell whether the lease is in force now."""


class Writer(Protocol):
    """Commit changes of rows, many to a transaction."""

    def submit(self, change: RowChange) -> Future[int]:
        """Queue a change and return the future of its version; raise StateError."""


@dataclass(frozen=True)
class Unsettled:
    """Hold what an open claim's row must still become: its reply, or no row at all.

    Where it is not known to be `stored`, the row may still come.
    """

    claim: Claim
    reply: Reply | None
    stored: bool


class Claims:
    """Claim a key before its request is sent, and keep the reply for repeats."""

    def __init__(
        self,
        store: ClaimStore,
        writer: Writer,
        clock: Clock,
        lease: Lease,
        max_waiting: int = MAX_WAITING,
    ) -> None:
        self._store = store
        self._writer = writer
        self._clock = clock
        self._lease = lease
        self._lock = threading.Lock()
        self._waiting = threading.BoundedSemaphore(max_waiting)
        self._running: dict[str, Claim] = {}
        self._unsettled: deque[Unsettled] = deque(maxlen=MAX_UNSETTLED)

    def carry(self, req: Request, send: Send) -> Reply:
        """Return the first reply to the request's key, or a refusal."""
        try:
            claim = self._make_claim(req)
            first = self._enter(claim)
            if first is not None:
                return self._repeat(claim, first)
            try:
                return self._carry_first(req, claim, send)
            finally:
                self._leave(claim)
        except GypsumplankError as exc:
            return refusal_of(exc)

    def unsettled(self) -> int:
        """Return how many claims wait for the platform to hear of their outcome."""
        return len(self._unsettled)

    def tick(self) -> None:
        """Settle claims whose outcome the platform did not take at once."""
        for _ in range(min(SETTLED_A_TICK, len(self._unsettled))):
            held = self._unsettled.popleft()
            try:
                self._settle(held)
            except (StateError, TimeoutError) as exc:
                self._unsettled.append(held)
                _log_unsettled(held, exc)
                return

    def _make_claim(self, req: Request) -> Claim:
        now = self._clock.wall()
        return Claim(
            req.service,
            parse_idempotency_key(req.idempotency_key),
            uuid.uuid4().hex,
            self._lease.session.id,
            self._lease.session.epoch,
            fingerprint_of(req),
            now,
            now + max(0.0, req.deadline - self._clock.monotonic()),
        )

    def _enter(self, claim: Claim) -> Claim | None:
        """Note that a key runs here; return the claim that runs already."""
        with self._lock:
            first = self._running.setdefault(claim.row_key, claim)
        return None if first is claim else first

    def _leave(self, claim: Claim) -> None:
        with self._lock:
            del self._running[claim.row_key]

    def _carry_first(self, req: Request, claim: Claim, send: Send) -> Reply:
        for _ in range(OPEN_TRIES):
            try:
                version = self._open(req, claim)
            except StateConflictError:
                found = self._store.find(claim.service, claim.key)
                if found is None:
                    continue
                if found.claim.id != claim.id:
                    return self._repeat(claim, found.claim)
                version = found.version
            return self._run(req, claim, version, send)
        raise KeyInUseError("the key was claimed and released meanwhile")

    def _open(self, req: Request, claim: Claim) -> int:
        """Store the claim and return its version; raise StateConflictError if there is one."""
        if not self._lease.held:
            raise ClaimUnavailableError("this daemon does not hold its lease")
        if not self._waiting.acquire(blocking=False):
            raise ClaimUnavailableError("too many requests wait for the platform")
        try:
            return self._await_opening(req, claim)
        finally:
            self._waiting.release()

    def _await_opening(self, req: Request, claim: Claim) -> int:
        try:
            future = self._writer.submit(opening(claim))
        except StateError as exc:
            raise ClaimUnavailableError(exc.detail) from exc
        try:
            return future.result(self._wait_s(req, OPEN_WAIT_S))
        except StateConflictError:
            raise
        except (StateUnknownError, TimeoutError) as exc:
            if not future.cancel():
                future.add_done_callback(lambda _: self._settle_later(claim, None, stored=False))
            raise ClaimUnavailableError("the claim could not be stored in time") from exc
        except StateError as exc:
            raise ClaimUnavailableError(exc.detail) from exc

    def _run(self, req: Request, claim: Claim, version: int, send: Send) -> Reply:
        def may_send() -> bool:
            return self._lease.held and self._lease.session.epoch == claim.epoch

        reply = send(req, may_send)
        not_run = not isinstance(reply, Answer) and reply.outcome is Outcome.NOT_RUN
        self._conclude(req, claim, version, None if not_run else reply)
        return reply

    def _conclude(self, req: Request, claim: Claim, version: int, kept: Reply | None) -> None:
        """Store the reply, or remove the claim, now or at a later tick."""
        if not self._waiting.acquire(blocking=False):
            self._settle_later(claim, kept, stored=True)
            return
        try:
            change = self._change(claim, version, kept)
            self._writer.submit(change).result(self._wait_s(req, STORE_WAIT_S))
        except (StateError, TimeoutError):
            self._settle_later(claim, kept, stored=True)
        finally:
            self._waiting.release()

    def _change(self, claim: Claim, version: int, reply: Reply | None) -> RowChange:
        if reply is None:
            return releasing(claim, version)
        return finishing(claim, version, self._store.keep(claim, reply))

    def _repeat(self, claim: Claim, first: Claim) -> Reply:
        if first.fingerprint != claim.fingerprint:
            raise KeyReusedError(f"key {claim.key!r} came with another request before")
        if first.reply is not None:
            return self._store.restore(first.reply)
        if self._is_abandoned(first):
            raise ClaimAbandonedError(f"daemon {first.owner!r} did not tell the outcome")
        raise KeyInUseError(f"the first request with key {claim.key!r} is in flight")

    def _is_abandoned(self, first: Claim) -> bool:
        now = self._clock.wall()
        if now > first.until + CLOCK_SKEW_S:
            return True
        if self._running.get(first.row_key) is first or now < first.opened_at + YOUNG_S:
            return False
        live = {(session.id, session.epoch) for session in self._lease.live}
        return (first.owner, first.epoch) not in live

    def _settle_later(self, claim: Claim, reply: Reply | None, stored: bool) -> None:
        self._unsettled.append(Unsettled(claim, reply, stored))

    def _settle(self, held: Unsettled) -> None:
        """Bring a claim's row to what it must be, if it is still this claim's open row."""
        found = self._store.find(held.claim.service, held.claim.key)
        may_come = not held.stored and self._clock.wall() < held.claim.opened_at + LATE_S
        if found is None and may_come:
            self._unsettled.append(held)
        if found is None or found.claim.id != held.claim.id or found.claim.reply is not None:
            return
        change = self._change(held.claim, found.version, held.reply)
        self._writer.submit(change).result(STORE_WAIT_S)

    def _wait_s(self, req: Request, longest_s: float) -> float:
        return max(0.0, min(longest_s, req.deadline - self._clock.monotonic()))


def fingerprint_of(req: Request) -> str:
    """Return a digest of what a repeat must have in common with the first request."""
    digest = hashlib.sha256()
    for part in (req.method.encode(), req.target.encode(), req.body):
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return digest.hexdigest()


def _log_unsettled(held: Unsettled, exc: Exception) -> None:
    event(
        logger,
        Event.CLAIM_UNSETTLED,
        logging.WARNING,
        service=held.claim.service,
        claim=held.claim.id,
        code=exc.code if isinstance(exc, GypsumplankError) else "timeout",
    )
