"""Check that each idempotency key runs at most once and has one reply, under store faults."""

import threading
from dataclasses import replace

import pytest

from gypsumplank.coordination.claim import (
    LATE_COMMIT_WINDOW_S,
    MAX_CLOCK_SKEW_S,
    NEW_CLAIM_GRACE_S,
    IdempotentExecutor,
    request_fingerprint,
)
from gypsumplank.coordination.expiry import ClaimExpiry
from gypsumplank.errors import StateBusyError
from gypsumplank.protocol.exchange import EndpointResponse, Outcome, Refusal, Request
from gypsumplank.state.claim import (
    MAX_INLINE_BODY_BYTES,
    MAX_KEPT_BODY_BYTES,
    TABLE_CLAIMS,
    ClaimStore,
)
from gypsumplank.state.clock import ManualClock
from gypsumplank.state.objects import MemoryObjectStore
from gypsumplank.state.session import Session
from gypsumplank.state.table import MemoryTable
from gypsumplank.state.writer import UNAVAILABLE_BACKOFF_S, BatchWriter
from standins.faulty import ScriptedFaultTable

OK = EndpointResponse(201, (("X-Price", "7"), ("Set-Cookie", "a"), ("Set-Cookie", "b")), b"ok")
NOT_RUN = Refusal("endpoint-connect", Outcome.NOT_RUN, 502, "refused", 1)
UNKNOWN = Refusal("endpoint-reset", Outcome.UNKNOWN, 502, "reset", 1)
KEEP_S = 3600.0


class MemoryLease:
    """Provide a lease whose state a test sets."""

    def __init__(self, name, sessions, epoch=1):
        self.session = Session(name, epoch, "z", "", "", "", 0, 0.0)
        self.lease_valid = True
        self._sessions = sessions
        sessions[name] = self.session

    @property
    def live(self):
        return tuple(self._sessions.values())


class InlineWriter:
    """Commit each change synchronously, unless `defers_commits`."""

    def __init__(self, table, clock):
        self.batch = BatchWriter(table, clock, lambda: 0.0)
        self.defers_commits = False

    def submit(self, change):
        future = self.batch.submit(change)
        if not self.defers_commits:
            self.batch.flush()
        return future


class Daemon:
    def __init__(self, fleet, name, epoch=1):
        self.lease = MemoryLease(name, fleet.sessions, epoch)
        self.writer = InlineWriter(fleet.table, fleet.clock)
        self.store = ClaimStore(fleet.table, fleet.objects)
        self.claims = IdempotentExecutor(self.store, self.writer, fleet.clock, self.lease)
        self.expiry = ClaimExpiry(self.store, self.writer, fleet.clock, self.lease, KEEP_S)


class Fleet:
    def __init__(self):
        self.clock = ManualClock(1000.0)
        self.table = ScriptedFaultTable(MemoryTable())
        self.objects = MemoryObjectStore()
        self.sessions = {}
        self.runs = []

    def sender(self, reply=OK):
        def run(req, guard):
            if not guard():
                return Refusal("lease-lost", Outcome.NOT_RUN, 503)
            self.runs.append(req.idempotency_key)
            return reply() if callable(reply) else reply

        return run

    def rows(self):
        return self.table.table.scan(TABLE_CLAIMS)


@pytest.fixture
def fleet():
    return Fleet()


@pytest.fixture
def daemon_a(fleet):
    return Daemon(fleet, "entry-0")


@pytest.fixture
def daemon_b(fleet):
    return Daemon(fleet, "entry-1")


def req(key="k", body=b"order", deadline=1010.0):
    return Request("r", "quotes", "POST", "/x", deadline, body=body, idempotency_key=key)


@pytest.mark.parametrize("reply", [OK, UNKNOWN, EndpointResponse(500, (), b"down")])
def test_repeat_gets_the_first_reply_through_every_daemon(fleet, daemon_a, daemon_b, reply):
    first = daemon_a.claims.handle(req(), fleet.sender(reply))
    for daemon in (daemon_a, daemon_b):
        found = daemon.claims.handle(req(), fleet.sender(OK))
        assert found == (replace(reply, retry_after_s=0) if reply is UNKNOWN else first)
        assert first == reply
    assert fleet.runs == ["k"]


def test_large_answer_is_stored_in_the_object_store(fleet, daemon_a, daemon_b):
    large = EndpointResponse(200, (), b"x" * (MAX_INLINE_BODY_BYTES + 1))
    daemon_a.claims.handle(req(), fleet.sender(large))
    assert len(fleet.rows()[0].value) < MAX_INLINE_BODY_BYTES
    assert daemon_b.claims.handle(req(), fleet.sender()) == large


def test_request_whose_answer_is_too_large_to_store_is_not_run_again(fleet, daemon_a, daemon_b):
    daemon_a.claims.handle(
        req(), fleet.sender(EndpointResponse(200, (), b"x" * (MAX_KEPT_BODY_BYTES + 1)))
    )
    found = daemon_b.claims.handle(req(), fleet.sender())
    assert (found.code, found.outcome) == ("answer-not-kept", Outcome.UNKNOWN)
    assert fleet.runs == ["k"]


@pytest.mark.parametrize("again", [req(body=b"other"), replace(req(), target="/y")])
def test_key_reused_for_a_different_request_is_refused(fleet, daemon_a, daemon_b, again):
    daemon_a.claims.handle(req(), fleet.sender())
    for daemon in (daemon_a, daemon_b):
        found = daemon.claims.handle(again, fleet.sender())
        assert (found.code, found.status) == ("idempotency-key-reused", 422)
        assert found.outcome is Outcome.NOT_RUN
    assert fleet.runs == ["k"]


def test_fingerprint_separates_target_and_body():
    first, second = req(body=b"b"), replace(req(body=b""), target="/xb")
    assert request_fingerprint(first) != request_fingerprint(second)


def test_repeat_while_the_first_is_in_flight(fleet, daemon_a, daemon_b):
    nested_replies = []

    def run():
        nested_replies.extend(
            daemon.claims.handle(req(), fleet.sender()) for daemon in (daemon_a, daemon_b)
        )
        nested_replies.append(daemon_b.claims.handle(req(body=b"other"), fleet.sender()))
        return OK

    assert daemon_a.claims.handle(req(), fleet.sender(run)) == OK
    assert [(found.status, found.outcome) for found in nested_replies] == [
        (409, Outcome.UNKNOWN),
        (409, Outcome.UNKNOWN),
        (422, Outcome.NOT_RUN),
    ]
    assert all(found.retry_after_s for found in nested_replies[:2])
    assert fleet.runs == ["k"]


def test_not_run_releases_the_claim(fleet, daemon_a, daemon_b):
    assert daemon_a.claims.handle(req(), fleet.sender(NOT_RUN)) == NOT_RUN
    assert fleet.rows() == []
    assert daemon_b.claims.handle(req(), fleet.sender()) == OK


def test_same_key_of_two_services_is_independent(fleet, daemon_a):
    daemon_a.claims.handle(req(), fleet.sender())
    daemon_a.claims.handle(replace(req(), service="rounds"), fleet.sender())
    assert len(fleet.runs) == 2


@pytest.mark.parametrize("key", ["", "a b", "k" * 256, "\u20ac", 'a"b', '"', '""'])
def test_malformed_key_is_refused(fleet, daemon_a, key):
    found = daemon_a.claims.handle(req(key), fleet.sender())
    assert (found.code, found.status) == ("request-invalid", 400)
    assert fleet.runs == []


def test_quoted_key_is_the_same_key(fleet, daemon_a):
    daemon_a.claims.handle(req('"k"'), fleet.sender())
    assert daemon_a.claims.handle(req("k"), fleet.sender(UNKNOWN)) == OK


@pytest.mark.parametrize("cause", ["session gone", "new epoch", "deadline long past"])
def test_claim_of_a_dead_daemon_is_abandoned_and_not_run_again(fleet, daemon_a, daemon_b, cause):
    def crash():
        raise KeyboardInterrupt

    with pytest.raises(KeyboardInterrupt):
        daemon_a.claims.handle(req(), fleet.sender(crash))
    assert daemon_b.claims.handle(req(), fleet.sender()).status == 409
    fleet.clock.advance(NEW_CLAIM_GRACE_S)
    assert daemon_b.claims.handle(req(), fleet.sender()).status == 409
    if cause == "session gone":
        del fleet.sessions["entry-0"]
    elif cause == "new epoch":
        Daemon(fleet, "entry-0", epoch=2)
    else:
        fleet.clock.advance(10.0 + MAX_CLOCK_SKEW_S)
    again = req(deadline=2000.0)
    for _ in range(2):
        found = daemon_b.claims.handle(again, fleet.sender())
        assert (found.code, found.outcome) == ("claim-abandoned", Outcome.UNKNOWN)
    assert fleet.runs == ["k"]


def test_daemon_whose_lease_lapsed_does_not_send_a_claimed_request(fleet, daemon_a, daemon_b):
    def send_after_lease_lapsed(request, guard):
        daemon_a.lease.lease_valid = False
        return fleet.sender()(request, guard)

    found = daemon_a.claims.handle(req(), send_after_lease_lapsed)
    assert (found.code, found.outcome) == ("lease-lost", Outcome.NOT_RUN)
    assert fleet.runs == []
    assert daemon_b.claims.handle(req(), fleet.sender()) == OK


def test_daemon_with_a_new_epoch_does_not_send_a_request_claimed_before(fleet, daemon_a):
    def send_in_new_epoch(request, guard):
        daemon_a.lease.session = replace(daemon_a.lease.session, epoch=2)
        return fleet.sender()(request, guard)

    assert daemon_a.claims.handle(req(), send_in_new_epoch).code == "lease-lost"
    assert fleet.runs == []


def test_without_lease_nothing_is_claimed(fleet, daemon_a):
    daemon_a.lease.lease_valid = False
    found = daemon_a.claims.handle(req(), fleet.sender())
    assert (found.code, found.outcome) == ("claim-unavailable", Outcome.NOT_RUN)
    assert fleet.rows() == []


@pytest.mark.parametrize(
    ("script", "runs", "code"),
    [
        (["lost"], 1, ""),
        (["dropped"], 1, ""),
        (["lost", "lost", "lost"], 1, ""),
        (["dropped", "dropped", "dropped"], 0, "claim-unavailable"),
        (["lost", "out"], 0, "claim-unavailable"),
        (["out"], 0, "claim-unavailable"),
    ],
)
def test_store_faults_while_claiming(fleet, daemon_a, daemon_b, script, runs, code):
    fleet.table.commit_faults = list(script)
    found = daemon_a.claims.handle(req(), fleet.sender())
    assert len(fleet.runs) == runs
    assert getattr(found, "code", "") == code
    fleet.clock.advance(UNAVAILABLE_BACKOFF_S)
    daemon_a.claims.tick()
    assert daemon_b.claims.handle(req(), fleet.sender()) == OK
    assert fleet.runs == ["k"]


@pytest.mark.parametrize("script", [["", "out"], ["", "lost", "out"], ["", "dropped", "out"]])
@pytest.mark.parametrize("reply", [OK, NOT_RUN])
def test_outcome_is_stored_after_an_outage(fleet, daemon_a, daemon_b, script, reply):
    fleet.table.commit_faults = list(script)
    assert daemon_a.claims.handle(req(), fleet.sender(reply)) == reply
    assert daemon_a.claims.unsettled_count() == 1
    fleet.clock.advance(UNAVAILABLE_BACKOFF_S)
    daemon_a.claims.tick()
    assert daemon_a.claims.unsettled_count() == 0
    assert daemon_b.claims.handle(req(), fleet.sender()) == OK
    assert len(fleet.runs) == (1 if reply is OK else 2)


def test_answer_is_stored_after_an_object_store_outage(fleet, daemon_a, daemon_b):
    large = EndpointResponse(200, (), b"x" * (MAX_INLINE_BODY_BYTES + 1))
    put = fleet.objects.put

    def fail_put(name, value):
        raise StateBusyError("out")

    fleet.objects.put = fail_put
    assert daemon_a.claims.handle(req(), fleet.sender(large)) == large
    fleet.objects.put = put
    daemon_a.claims.tick()
    assert daemon_b.claims.handle(req(), fleet.sender()) == large


def test_claim_committed_late_is_released(fleet, daemon_a, daemon_b):
    fleet.table.commit_faults = ["late", "late", "late"]
    assert daemon_a.claims.handle(req(), fleet.sender()).code == "claim-unavailable"
    fleet.clock.advance(UNAVAILABLE_BACKOFF_S)
    daemon_a.claims.tick()
    fleet.table.apply_delayed()
    daemon_a.claims.tick()
    assert daemon_b.claims.handle(req(), fleet.sender()) == OK
    fleet.clock.advance(LATE_COMMIT_WINDOW_S)
    daemon_a.claims.tick()
    assert daemon_a.claims.unsettled_count() == 0


def test_release_leaves_the_claim_of_another_daemon(fleet, daemon_a, daemon_b):
    fleet.table.commit_faults = ["dropped", "dropped", "dropped"]
    assert daemon_a.claims.handle(req(), fleet.sender()).code == "claim-unavailable"
    fleet.clock.advance(UNAVAILABLE_BACKOFF_S)

    def run():
        daemon_a.claims.tick()
        assert daemon_a.claims.handle(req(), fleet.sender()).status == 409
        return OK

    assert daemon_b.claims.handle(req(), fleet.sender(run)) == OK
    assert fleet.runs == ["k"]


def test_claim_that_waits_past_the_deadline_is_not_written(fleet, daemon_a):
    daemon_a.writer.defers_commits = True
    found = daemon_a.claims.handle(req(deadline=1000.05), fleet.sender())
    assert (found.code, found.outcome) == ("claim-unavailable", Outcome.NOT_RUN)
    daemon_a.writer.batch.flush()
    assert fleet.rows() == []


def test_number_of_requests_waiting_for_the_store_is_bounded(fleet, daemon_a):
    claims = IdempotentExecutor(
        daemon_a.store, daemon_a.writer, fleet.clock, daemon_a.lease, max_store_waiters=1
    )
    nested_replies = []

    def submit(change):
        nested_replies.append(claims.handle(req("other"), fleet.sender()))
        return daemon_a.writer.submit(change)

    claims._writer = type("Waiting", (), {"submit": staticmethod(submit)})
    assert claims.handle(req(), fleet.sender()) == OK
    assert {(found.code, found.outcome) for found in nested_replies} == {
        ("claim-unavailable", Outcome.NOT_RUN)
    }
    assert fleet.runs == ["k"]


def test_unreadable_claim_has_an_unknown_outcome(fleet, daemon_a, daemon_b):
    daemon_a.claims.handle(req(), fleet.sender())
    fleet.table.commit_faults = ["then-out"]
    found = daemon_b.claims.handle(req(), fleet.sender())
    assert (found.code, found.outcome) == ("state-unavailable", Outcome.UNKNOWN)
    assert fleet.runs == ["k"]


def test_concurrent_daemons_run_a_request_once(fleet):
    daemons = [Daemon(fleet, f"entry-{number}") for number in range(4)]
    start = threading.Barrier(4)
    replies = []

    def carry(daemon):
        start.wait()
        replies.append(daemon.claims.handle(req(), fleet.sender()))

    threads = [threading.Thread(target=carry, args=(daemon,)) for daemon in daemons]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert fleet.runs == ["k"]
    assert all(reply == OK or reply.status == 409 for reply in replies)


def test_expiry_removes_old_claims_and_their_objects(fleet, daemon_a, daemon_b):
    large = EndpointResponse(200, (), b"x" * (MAX_INLINE_BODY_BYTES + 1))
    daemon_a.claims.handle(req("old"), fleet.sender(large))
    fleet.clock.advance(KEEP_S + 11.0)
    daemon_a.claims.handle(req("new", deadline=9000.0), fleet.sender(large))
    daemon_b.expiry.tick()
    assert len(fleet.rows()) == 2
    daemon_a.expiry.tick()
    assert [row.key for row in fleet.rows()] == ["quotes/new"]
    assert len(fleet.objects._objects) == 1
