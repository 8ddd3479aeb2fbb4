"""Run each request with an idempotency key at most once across all daemons."""

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
from gypsumplank.protocol.exchange import EndpointResponse, Outcome, Reply, Request
from gypsumplank.protocol.header import parse_idempotency_key
from gypsumplank.state.claim import Claim, ClaimStore, finish_change, open_change, release_change
from gypsumplank.state.clock import Clock
from gypsumplank.state.session import Session
from gypsumplank.state.writer import RowChange

# Longest wait until a new claim is committed, before the request is refused.
CLAIM_COMMIT_TIMEOUT_S = 2.0
# Longest wait until an outcome is committed; after that, the write is retried at each tick.
OUTCOME_COMMIT_TIMEOUT_S = 1.0
# Age below which a claim is not abandoned: its owner's session may not have been read yet.
NEW_CLAIM_GRACE_S = 2.0
# Allowed difference of the daemons' wall clocks when the deadline of a claim is checked.
MAX_CLOCK_SKEW_S = 5.0
# Age of a claim up to which a write whose response was lost may still be committed.
LATE_COMMIT_WINDOW_S = 10.0
MAX_CLAIM_ATTEMPTS = 3
# Requests that may wait for the store; beyond it, claims are refused and outcomes written later.
MAX_STORE_WAITERS = 64
# Beyond this number of unsettled claims, the oldest are dropped.
MAX_UNSETTLED_CLAIMS = 1000
MAX_SETTLED_PER_TICK = 100

# Returns whether a request may still be sent; called right before each attempt.
SendGuard = Callable[[], bool]
# Sends a request and returns its reply.
Send = Callable[[Request, SendGuard], Reply]

logger = logging.getLogger(__name__)


class SessionLease(Protocol):
    """Provide this daemon's session and the live sessions of all daemons."""

    @property
    def session(self) -> Session:
        """Return this daemon's session."""

    @property
    def live(self) -> tuple[Session, ...]:
        """Return the sessions that had not lapsed at the last read."""

    @property
    def lease_valid(self) -> bool:
        """Return whether the session lease is valid now."""


class RowWriter(Protocol):
    """Commit row changes, batched into transactions."""

    def submit(self, change: RowChange) -> Future[int]:
        """Queue a change and return the future of its version; raise StateError."""


@dataclass(frozen=True)
class UnsettledClaim:
    """Store an outcome still to be written to a claim's row; a reply of None deletes the row.

    Unless `claim_stored`, the write of the claim itself had no response and may commit later.
    """

    claim: Claim
    reply: Reply | None
    claim_stored: bool


class IdempotentExecutor:
    """Claim a key before its request is sent, and store the reply for repeats."""

    def __init__(
        self,
        store: ClaimStore,
        writer: RowWriter,
        clock: Clock,
        lease: SessionLease,
        max_store_waiters: int = MAX_STORE_WAITERS,
    ) -> None:
        self._store = store
        self._writer = writer
        self._clock = clock
        self._lease = lease
        self._lock = threading.Lock()
        self._store_waiters = threading.BoundedSemaphore(max_store_waiters)
        self._running: dict[str, Claim] = {}
        self._unsettled: deque[UnsettledClaim] = deque(maxlen=MAX_UNSETTLED_CLAIMS)

    def handle(self, req: Request, send: Send) -> Reply:
        """Run the request, or return the reply stored for its key; return a refusal on failure."""
        try:
            claim = self._make_claim(req)
            first = self._register_running(claim)
            if first is not None:
                return self._reply_to_repeat(claim, first)
            try:
                return self._run_first(req, claim, send)
            finally:
                self._unregister_running(claim)
        except GypsumplankError as exc:
            return refusal_of(exc)

    def unsettled_count(self) -> int:
        """Return the number of claims whose outcome is not yet stored."""
        return len(self._unsettled)

    def tick(self) -> None:
        """Retry storing the outcomes that could not be stored at once."""
        for _ in range(min(MAX_SETTLED_PER_TICK, len(self._unsettled))):
            pending = self._unsettled.popleft()
            try:
                self._settle(pending)
            except (StateError, TimeoutError) as exc:
                self._unsettled.append(pending)
                _log_unsettled(pending, exc)
                return

    def _make_claim(self, req: Request) -> Claim:
        now = self._clock.wall()
        return Claim(
            req.service,
            parse_idempotency_key(req.idempotency_key),
            uuid.uuid4().hex,
            self._lease.session.id,
            self._lease.session.epoch,
            request_fingerprint(req),
            now,
            now + max(0.0, req.deadline - self._clock.monotonic()),
        )

    def _register_running(self, claim: Claim) -> Claim | None:
        """Mark a key as running in this daemon; return the claim already running, if any."""
        with self._lock:
            first = self._running.setdefault(claim.row_key, claim)
        return None if first is claim else first

    def _unregister_running(self, claim: Claim) -> None:
        with self._lock:
            del self._running[claim.row_key]

    def _run_first(self, req: Request, claim: Claim, send: Send) -> Reply:
        for _ in range(MAX_CLAIM_ATTEMPTS):
            try:
                version = self._store_claim(req, claim)
            except StateConflictError:
                found = self._store.find(claim.service, claim.key)
                if found is None:
                    continue
                if found.claim.id != claim.id:
                    return self._reply_to_repeat(claim, found.claim)
                version = found.version
            return self._send_and_record(req, claim, version, send)
        raise KeyInUseError("the key was claimed and released concurrently")

    def _store_claim(self, req: Request, claim: Claim) -> int:
        """Store the claim and return its version; raise StateConflictError if the key has one."""
        if not self._lease.lease_valid:
            raise ClaimUnavailableError("this daemon does not hold its lease")
        if not self._store_waiters.acquire(blocking=False):
            raise ClaimUnavailableError("too many requests are waiting for the platform")
        try:
            return self._commit_claim(req, claim)
        finally:
            self._store_waiters.release()

    def _commit_claim(self, req: Request, claim: Claim) -> int:
        try:
            future = self._writer.submit(open_change(claim))
        except StateError as exc:
            raise ClaimUnavailableError(exc.detail) from exc
        try:
            return future.result(self._remaining_wait_s(req, CLAIM_COMMIT_TIMEOUT_S))
        except StateConflictError:
            raise
        except (StateUnknownError, TimeoutError) as exc:
            if not future.cancel():
                future.add_done_callback(
                    lambda _: self._defer_settlement(claim, None, claim_stored=False)
                )
            raise ClaimUnavailableError("the claim could not be stored in time") from exc
        except StateError as exc:
            raise ClaimUnavailableError(exc.detail) from exc

    def _send_and_record(self, req: Request, claim: Claim, version: int, send: Send) -> Reply:
        def may_send() -> bool:
            return self._lease.lease_valid and self._lease.session.epoch == claim.epoch

        reply = send(req, may_send)
        not_run = not isinstance(reply, EndpointResponse) and reply.outcome is Outcome.NOT_RUN
        self._record_outcome(req, claim, version, None if not_run else reply)
        return reply

    def _record_outcome(
        self, req: Request, claim: Claim, version: int, reply_to_store: Reply | None
    ) -> None:
        """Store the reply, or delete the claim for None; on failure retry at a later tick."""
        if not self._store_waiters.acquire(blocking=False):
            self._defer_settlement(claim, reply_to_store, claim_stored=True)
            return
        try:
            change = self._outcome_change(claim, version, reply_to_store)
            self._writer.submit(change).result(
                self._remaining_wait_s(req, OUTCOME_COMMIT_TIMEOUT_S)
            )
        except (StateError, TimeoutError):
            self._defer_settlement(claim, reply_to_store, claim_stored=True)
        finally:
            self._store_waiters.release()

    def _outcome_change(self, claim: Claim, version: int, reply: Reply | None) -> RowChange:
        if reply is None:
            return release_change(claim, version)
        return finish_change(claim, version, self._store.store_reply(claim, reply))

    def _reply_to_repeat(self, claim: Claim, first: Claim) -> Reply:
        if first.fingerprint != claim.fingerprint:
            raise KeyReusedError(f"key {claim.key!r} was already used for a different request")
        if first.reply is not None:
            return self._store.load_reply(first.reply)
        if self._is_abandoned(first):
            raise ClaimAbandonedError(f"daemon {first.owner!r} did not record the outcome")
        raise KeyInUseError(f"the first request with key {claim.key!r} is still in flight")

    def _is_abandoned(self, first: Claim) -> bool:
        now = self._clock.wall()
        if now > first.until + MAX_CLOCK_SKEW_S:
            return True
        if self._running.get(first.row_key) is first or now < first.opened_at + NEW_CLAIM_GRACE_S:
            return False
        live = {(session.id, session.epoch) for session in self._lease.live}
        return (first.owner, first.epoch) not in live

    def _defer_settlement(self, claim: Claim, reply: Reply | None, claim_stored: bool) -> None:
        self._unsettled.append(UnsettledClaim(claim, reply, claim_stored))

    def _settle(self, pending: UnsettledClaim) -> None:
        """Write an outcome if the row still holds this claim without a reply."""
        found = self._store.find(pending.claim.service, pending.claim.key)
        may_still_commit = (
            not pending.claim_stored
            and self._clock.wall() < pending.claim.opened_at + LATE_COMMIT_WINDOW_S
        )
        if found is None and may_still_commit:
            self._unsettled.append(pending)
        if found is None or found.claim.id != pending.claim.id or found.claim.reply is not None:
            return
        change = self._outcome_change(pending.claim, found.version, pending.reply)
        self._writer.submit(change).result(OUTCOME_COMMIT_TIMEOUT_S)

    def _remaining_wait_s(self, req: Request, limit_s: float) -> float:
        return max(0.0, min(limit_s, req.deadline - self._clock.monotonic()))


def request_fingerprint(req: Request) -> str:
    """Return a digest of method, target and body, which must be the same in a repeat."""
    digest = hashlib.sha256()
    for part in (req.method.encode(), req.target.encode(), req.body):
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return digest.hexdigest()


def _log_unsettled(pending: UnsettledClaim, exc: Exception) -> None:
    event(
        logger,
        Event.CLAIM_UNSETTLED,
        logging.WARNING,
        service=pending.claim.service,
        claim=pending.claim.id,
        code=exc.code if isinstance(exc, GypsumplankError) else "timeout",
    )
