import random
from dataclasses import replace

import pytest

from gypsumplank.coordination.dispatch import Dispatcher
from gypsumplank.coordination.endpoint import MemoryEndpointClient
from gypsumplank.coordination.retry import RetryPolicy, ServiceRetryBudgets
from gypsumplank.coordination.slot import SlotTracker
from gypsumplank.errors import (
    EndpointAnswerError,
    EndpointConnectError,
    EndpointResetError,
    EndpointTimeoutError,
    EndpointUnsentError,
    InvariantError,
)
from gypsumplank.protocol.exchange import EndpointResponse, Outcome, Request
from gypsumplank.protocol.record import Kind, Record
from gypsumplank.state.clock import ManualClock
from gypsumplank.state.view import build_view

RECORDS = (
    Record(Kind.POOL, "quotes", 2),
    Record(Kind.SERVICE, "quotes", 2, {"pool": "quotes"}),
    *(
        Record(
            Kind.HOST,
            f"h{i}",
            2,
            {"address": f"10.0.0.{i}:80", "pool": "quotes", "zone": "z", "rack": "r"},
        )
        for i in range(3)
    ),
)
VIEW = build_view(1, RECORDS)
OK = EndpointResponse(200, (), b"ok")


def make_dispatcher(answer, clock=None, view=lambda: VIEW):
    client = MemoryEndpointClient(answer)
    slots = SlotTracker(random.Random(1))
    retry = RetryPolicy(ServiceRetryBudgets(), random.Random(1), lambda seconds: None)
    return Dispatcher(view, client, slots, clock or ManualClock(), retry), client, slots


def req(method="POST", service="quotes", deadline=5.0):
    return Request("r1", service, method, "/x", deadline)


def failing(exc):
    def answer(address, request):
        raise exc

    return answer


def test_answer_is_returned_and_the_slot_released():
    dispatcher, _, slots = make_dispatcher(lambda address, request: OK)
    assert dispatcher.handle(req()) == OK
    assert slots.in_flight() == {}


@pytest.mark.parametrize(
    ("error", "method", "outcome", "attempts"),
    [
        (EndpointConnectError, "POST", Outcome.NOT_RUN, 3),
        (EndpointConnectError, "GET", Outcome.NOT_RUN, 3),
        (EndpointUnsentError, "POST", Outcome.NOT_RUN, 3),
        (EndpointUnsentError, "GET", Outcome.NOT_RUN, 3),
        (EndpointResetError, "POST", Outcome.UNKNOWN, 1),
        (EndpointResetError, "GET", Outcome.UNKNOWN, 3),
        (EndpointTimeoutError, "POST", Outcome.UNKNOWN, 1),
        (EndpointTimeoutError, "GET", Outcome.UNKNOWN, 1),
        (EndpointAnswerError, "POST", Outcome.UNKNOWN, 1),
        (EndpointAnswerError, "GET", Outcome.UNKNOWN, 3),
    ],
)
def test_outcome_and_attempts_by_failure(error, method, outcome, attempts):
    dispatcher, client, slots = make_dispatcher(failing(error()))
    reply = dispatcher.handle(req(method))
    assert reply.outcome is outcome
    assert reply.code == error.code
    assert len(client.sent) == attempts
    assert slots.in_flight() == {}


def test_not_run_after_unknown_stays_unknown():
    errors = iter([EndpointResetError(), EndpointConnectError(), EndpointConnectError()])

    def answer(address, request):
        raise next(errors)

    dispatcher, _, _ = make_dispatcher(answer)
    assert dispatcher.handle(req("GET")).outcome is Outcome.UNKNOWN


def test_unknown_service_and_passed_deadline_do_not_run():
    dispatcher, client, _ = make_dispatcher(lambda address, request: OK)
    assert dispatcher.handle(req(service="nothing")).outcome is Outcome.NOT_RUN
    assert dispatcher.handle(req(deadline=-1.0)).outcome is Outcome.NOT_RUN
    assert client.sent == []


def test_each_attempt_uses_another_host():
    dispatcher, client, _ = make_dispatcher(failing(EndpointConnectError()))
    dispatcher.handle(req())
    assert len({address for address, _ in client.sent}) == len(client.sent) == 3


@pytest.mark.parametrize("error", [RuntimeError("x"), KeyError("x"), OSError("x")])
def test_unexpected_exceptions_become_refusals(error):
    dispatcher, client, slots = make_dispatcher(failing(error))
    reply = dispatcher.handle(req("GET"))
    assert (reply.code, reply.outcome) == ("internal", Outcome.UNKNOWN)
    assert len(client.sent) == 1
    assert slots.in_flight() == {}


def test_request_with_key_is_retried_only_if_unsent():
    for error, attempts in ((EndpointResetError, 1), (EndpointUnsentError, 3)):
        dispatcher, client, _ = make_dispatcher(failing(error()))
        dispatcher.handle(replace(req("PUT"), idempotency_key="k"))
        assert len(client.sent) == attempts


def test_answer_after_the_deadline_is_unknown():
    clock = ManualClock()

    def answer(address, request):
        clock.advance(6.0)
        return OK

    dispatcher, _, _ = make_dispatcher(answer, clock)
    reply = dispatcher.handle(req())
    assert (reply.code, reply.outcome) == ("answer-late", Outcome.UNKNOWN)


def test_deadline_passed_while_waiting_for_a_slot_is_not_run():
    clock = ManualClock()
    dispatcher, client, slots = make_dispatcher(lambda address, request: OK, clock)
    acquire = slots.acquire

    def slow(hosts, names):
        clock.advance(6.0)
        return acquire(hosts, names)

    slots.acquire = slow
    reply = dispatcher.handle(req())
    assert (reply.code, reply.outcome) == ("deadline-passed", Outcome.NOT_RUN)
    assert client.sent == []
    assert slots.in_flight() == {}


def test_guard_is_checked_before_every_attempt():
    dispatcher, client, _ = make_dispatcher(failing(EndpointConnectError()))
    guard_results = iter([True, False])
    reply = dispatcher.send_with_retries(req(), lambda: next(guard_results))
    assert (reply.code, reply.outcome) == ("lease-lost", Outcome.NOT_RUN)
    assert len(client.sent) == 1


def test_retry_uses_the_latest_view():
    views = [VIEW]

    def answer(address, request):
        views.append(build_view(2, [rec for rec in RECORDS if rec.kind is not Kind.HOST]))
        raise EndpointConnectError

    dispatcher, client, _ = make_dispatcher(answer, view=lambda: views[-1])
    assert dispatcher.handle(req()).outcome is Outcome.NOT_RUN
    assert len(client.sent) == 1


def test_error_while_acquiring_a_slot_becomes_a_refusal():
    dispatcher, client, slots = make_dispatcher(lambda address, request: OK)

    def broken(hosts, names):
        raise InvariantError("x")

    slots.acquire = broken
    reply = dispatcher.handle(req())
    assert (reply.code, reply.outcome) == ("invariant", Outcome.UNKNOWN)
    assert client.sent == []
