"""Hold claims to at most one run and one reply for each key, under faults of the store."""

import threading
from dataclasses import replace

import pytest

from gypsumplank.coordination.claim import CLOCK_SKEW_S, LATE_S, YOUNG_S, Claims, fingerprint_of
from gypsumplank.coordination.expiry import Expiry
from gypsumplank.errors import StateBusyError
from gypsumplank.protocol.exchange import Answer, Outcome, Refusal, Request
from gypsumplank.state.claim import INLINE_BYTES, MAX_KEPT_BYTES, TABLE_CLAIMS, ClaimStore
from gypsumplank.state.clock import ManualClock
from gypsumplank.state.objects import MemoryObjectStore
from gypsumplank.state.session import Session
from gypsumplank.state.table import MemoryTable
from gypsumplank.state.writer import OUTAGE_PAUSE_S, BatchWriter
from tests.faulty import FaultyTable

OK = Answer(201, (("X-Price", "7"), ("Set-Cookie", "a"), ("Set-Cookie", "b")), b"ok")
NOT_RUN = Refusal("endpoint-connect", Outcome.NOT_RUN, 502, "refused", 1)
UNKNOWN = Refusal("endpoint-reset", Outcome.UNKNOWN, 502, "reset", 1)
KEEP_S = 3600.0


class MemoryLease:
    """Hold a lease that a test sets."""

    def __init__(self, name, sessions, epoch=1):
        self.session = Session(name, epoch, "z", "", "", "", 0, 0.0)
        self.held = True
        self._sessions = sessions
        sessions[name] = self.session

    @property
    def live(self):
        return tuple(self._sessions.values())


class InlineWriter:
    """Commit each change at once, as one thread would soon."""

    def __init__(self, table, clock):
        self.batch = BatchWriter(table, clock, lambda: 0.0)
        self.cancels = False

    def submit(self, change):
        future = self.batch.submit(change)
        if not self.cancels:
            self.batch.flush()
        return future


class Daemon:
    def __init__(self, fleet, name, epoch=1):
        self.lease = MemoryLease(name, fleet.sessions, epoch)
        self.writer = InlineWriter(fleet.table, fleet.clock)
        self.store = ClaimStore(fleet.table, fleet.objects)
        self.claims = Claims(self.store, self.writer, fleet.clock, self.lease)
        self.expiry = Expiry(self.store, self.writer, fleet.clock, self.lease, KEEP_S)


class Fleet:
    def __init__(self):
        self.clock = ManualClock(1000.0)
        self.table = FaultyTable(MemoryTable())
        self.objects = MemoryObjectStore()
        self.sessions = {}
        self.runs = []

    def send(self, reply=OK):
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
def one(fleet):
    return Daemon(fleet, "entry-0")


@pytest.fixture
def other(fleet):
    return Daemon(fleet, "entry-1")


def req(key="k", body=b"order", deadline=1010.0):
    return Request("r", "quotes", "POST", "/x", deadline, body=body, idempotency_key=key)


@pytest.mark.parametrize("reply", [OK, UNKNOWN, Answer(500, (), b"down")])
def test_repeat_gets_the_first_reply_through_every_daemon(fleet, one, other, reply):
    first = one.claims.carry(req(), fleet.send(reply))
    for daemon in (one, other):
        found = daemon.claims.carry(req(), fleet.send(OK))
        assert found == (replace(reply, retry_after_s=0) if reply is UNKNOWN else first)
        assert first == reply
    assert fleet.runs == ["k"]


def test_large_answer_is_kept_in_the_object_store(fleet, one, other):
    large = Answer(200, (), b"x" * (INLINE_BYTES + 1))
    one.claims.carry(req(), fleet.send(large))
    assert len(fleet.rows()[0].value) < INLINE_BYTES
    assert other.claims.carry(req(), fleet.send()) == large


def test_answer_too_large_to_keep_is_not_run_again(fleet, one, other):
    one.claims.carry(req(), fleet.send(Answer(200, (), b"x" * (MAX_KEPT_BYTES + 1))))
    found = other.claims.carry(req(), fleet.send())
    assert (found.code, found.outcome) == ("answer-not-kept", Outcome.UNKNOWN)
    assert fleet.runs == ["k"]


@pytest.mark.parametrize("again", [req(body=b"other"), replace(req(), target="/y")])
def test_key_with_another_request_is_refused(fleet, one, other, again):
    one.claims.carry(req(), fleet.send())
    for daemon in (one, other):
        found = daemon.claims.carry(again, fleet.send())
        assert (found.code, found.status) == ("idempotency-key-reused", 422)
        assert found.outcome is Outcome.NOT_RUN
    assert fleet.runs == ["k"]


def test_fingerprint_tells_where_one_part_ends():
    one, other = req(body=b"b"), replace(req(body=b""), target="/xb")
    assert fingerprint_of(one) != fingerprint_of(other)


def test_repeat_while_the_first_is_in_flight(fleet, one, other):
    inner = []

    def run():
        inner.extend(daemon.claims.carry(req(), fleet.send()) for daemon in (one, other))
        inner.append(other.claims.carry(req(body=b"other"), fleet.send()))
        return OK

    assert one.claims.carry(req(), fleet.send(run)) == OK
    assert [(found.status, found.outcome) for found in inner] == [
        (409, Outcome.UNKNOWN),
        (409, Outcome.UNKNOWN),
        (422, Outcome.NOT_RUN),
    ]
    assert all(found.retry_after_s for found in inner[:2])
    assert fleet.runs == ["k"]


def test_not_run_releases_the_claim(fleet, one, other):
    assert one.claims.carry(req(), fleet.send(NOT_RUN)) == NOT_RUN
    assert fleet.rows() == []
    assert other.claims.carry(req(), fleet.send()) == OK


def test_keys_of_services_are_apart(fleet, one):
    one.claims.carry(req(), fleet.send())
    one.claims.carry(replace(req(), service="rounds"), fleet.send())
    assert len(fleet.runs) == 2


@pytest.mark.parametrize("key", ["", "a b", "k" * 256, "\u20ac", 'a"b', '"', '""'])
def test_malformed_key_is_refused(fleet, one, key):
    found = one.claims.carry(req(key), fleet.send())
    assert (found.code, found.status) == ("request-invalid", 400)
    assert fleet.runs == []


def test_quoted_key_is_the_same_key(fleet, one):
    one.claims.carry(req('"k"'), fleet.send())
    assert one.claims.carry(req("k"), fleet.send(UNKNOWN)) == OK


@pytest.mark.parametrize("lapse", ["session gone", "new epoch", "deadline long past"])
def test_claim_of_a_dead_daemon_is_unknown_and_never_run_again(fleet, one, other, lapse):
    def die():
        raise KeyboardInterrupt

    with pytest.raises(KeyboardInterrupt):
        one.claims.carry(req(), fleet.send(die))
    assert other.claims.carry(req(), fleet.send()).status == 409
    fleet.clock.advance(YOUNG_S)
    assert other.claims.carry(req(), fleet.send()).status == 409
    if lapse == "session gone":
        del fleet.sessions["entry-0"]
    elif lapse == "new epoch":
        Daemon(fleet, "entry-0", epoch=2)
    else:
        fleet.clock.advance(10.0 + CLOCK_SKEW_S)
    again = req(deadline=2000.0)
    for _ in range(2):
        found = other.claims.carry(again, fleet.send())
        assert (found.code, found.outcome) == ("claim-abandoned", Outcome.UNKNOWN)
    assert fleet.runs == ["k"]


def test_paused_daemon_does_not_send_on_an_old_claim(fleet, one, other):
    def paused(request, guard):
        one.lease.held = False
        return fleet.send()(request, guard)

    found = one.claims.carry(req(), paused)
    assert (found.code, found.outcome) == ("lease-lost", Outcome.NOT_RUN)
    assert fleet.runs == []
    assert other.claims.carry(req(), fleet.send()) == OK


def test_daemon_of_a_later_epoch_does_not_send_on_an_old_claim(fleet, one):
    def renewed(request, guard):
        one.lease.session = replace(one.lease.session, epoch=2)
        return fleet.send()(request, guard)

    assert one.claims.carry(req(), renewed).code == "lease-lost"
    assert fleet.runs == []


def test_without_lease_nothing_is_claimed(fleet, one):
    one.lease.held = False
    found = one.claims.carry(req(), fleet.send())
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
def test_store_faults_at_the_claim(fleet, one, other, script, runs, code):
    fleet.table.script = list(script)
    found = one.claims.carry(req(), fleet.send())
    assert len(fleet.runs) == runs
    assert getattr(found, "code", "") == code
    fleet.clock.advance(OUTAGE_PAUSE_S)
    one.claims.tick()
    assert other.claims.carry(req(), fleet.send()) == OK
    assert fleet.runs == ["k"]


@pytest.mark.parametrize("script", [["", "out"], ["", "lost", "out"], ["", "dropped", "out"]])
@pytest.mark.parametrize("reply", [OK, NOT_RUN])
def test_outcome_is_stored_after_an_outage(fleet, one, other, script, reply):
    fleet.table.script = list(script)
    assert one.claims.carry(req(), fleet.send(reply)) == reply
    assert one.claims.unsettled() == 1
    fleet.clock.advance(OUTAGE_PAUSE_S)
    one.claims.tick()
    assert one.claims.unsettled() == 0
    assert other.claims.carry(req(), fleet.send()) == OK
    assert len(fleet.runs) == (1 if reply is OK else 2)


def test_outage_of_the_object_store_is_survived(fleet, one, other):
    large = Answer(200, (), b"x" * (INLINE_BYTES + 1))
    put = fleet.objects.put

    def out(name, value):
        raise StateBusyError("out")

    fleet.objects.put = out
    assert one.claims.carry(req(), fleet.send(large)) == large
    fleet.objects.put = put
    one.claims.tick()
    assert other.claims.carry(req(), fleet.send()) == large


def test_claim_that_lands_late_is_released(fleet, one, other):
    fleet.table.script = ["late", "late", "late"]
    assert one.claims.carry(req(), fleet.send()).code == "claim-unavailable"
    fleet.clock.advance(OUTAGE_PAUSE_S)
    one.claims.tick()
    fleet.table.land()
    one.claims.tick()
    assert other.claims.carry(req(), fleet.send()) == OK
    fleet.clock.advance(LATE_S)
    one.claims.tick()
    assert one.claims.unsettled() == 0


def test_release_spares_the_claim_of_another_daemon(fleet, one, other):
    fleet.table.script = ["dropped", "dropped", "dropped"]
    assert one.claims.carry(req(), fleet.send()).code == "claim-unavailable"
    fleet.clock.advance(OUTAGE_PAUSE_S)

    def run():
        one.claims.tick()
        assert one.claims.carry(req(), fleet.send()).status == 409
        return OK

    assert other.claims.carry(req(), fleet.send(run)) == OK
    assert fleet.runs == ["k"]


def test_claim_that_waits_past_the_deadline_is_not_written(fleet, one):
    one.writer.cancels = True
    found = one.claims.carry(req(deadline=1000.05), fleet.send())
    assert (found.code, found.outcome) == ("claim-unavailable", Outcome.NOT_RUN)
    one.writer.batch.flush()
    assert fleet.rows() == []


def test_few_requests_wait_for_the_store_at_once(fleet, one):
    claims = Claims(one.store, one.writer, fleet.clock, one.lease, max_waiting=1)
    inner = []

    def submit(change):
        inner.append(claims.carry(req("other"), fleet.send()))
        return one.writer.submit(change)

    claims._writer = type("Waiting", (), {"submit": staticmethod(submit)})
    assert claims.carry(req(), fleet.send()) == OK
    assert {(found.code, found.outcome) for found in inner} == {
        ("claim-unavailable", Outcome.NOT_RUN)
    }
    assert fleet.runs == ["k"]


def test_unreadable_claim_is_unknown(fleet, one, other):
    one.claims.carry(req(), fleet.send())
    fleet.table.script = ["then-out"]
    found = other.claims.carry(req(), fleet.send())
    assert (found.code, found.outcome) == ("state-unavailable", Outcome.UNKNOWN)
    assert fleet.runs == ["k"]


def test_race_of_two_daemons_runs_once(fleet):
    daemons = [Daemon(fleet, f"entry-{number}") for number in range(4)]
    start = threading.Barrier(4)
    replies = []

    def carry(daemon):
        start.wait()
        replies.append(daemon.claims.carry(req(), fleet.send()))

    threads = [threading.Thread(target=carry, args=(daemon,)) for daemon in daemons]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert fleet.runs == ["k"]
    assert all(reply == OK or reply.status == 409 for reply in replies)


def test_expiry_removes_old_claims_and_their_objects(fleet, one, other):
    large = Answer(200, (), b"x" * (INLINE_BYTES + 1))
    one.claims.carry(req("old"), fleet.send(large))
    fleet.clock.advance(KEEP_S + 11.0)
    one.claims.carry(req("new", deadline=9000.0), fleet.send(large))
    other.expiry.tick()
    assert len(fleet.rows()) == 2
    one.expiry.tick()
    assert [row.key for row in fleet.rows()] == ["quotes/new"]
    assert len(fleet.objects._objects) == 1
