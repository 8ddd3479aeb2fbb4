import random

import pytest

from gypsumplank.coordination.dispatch import Dispatcher
from gypsumplank.coordination.endpoint import MemoryEndpointClient
from gypsumplank.coordination.slot import Slots
from gypsumplank.errors import (
    EndpointAnswerError,
    EndpointConnectError,
    EndpointResetError,
    EndpointTimeoutError,
)
from gypsumplank.protocol.exchange import Answer, Outcome, Request
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
OK = Answer(200, (), b"ok")


def dispatcher(answer):
    client = MemoryEndpointClient(answer)
    slots = Slots(random.Random(1))
    return Dispatcher(lambda: VIEW, client, slots, ManualClock()), client, slots


def req(method="POST", service="quotes", deadline=5.0):
    return Request("r1", service, method, "/x", deadline)


def failing(exc):
    def answer(address, request):
        raise exc

    return answer


def test_whole_answer():
    carrier, _, slots = dispatcher(lambda address, request: OK)
    assert carrier.carry(req()) == OK
    assert slots.in_flight() == {}


@pytest.mark.parametrize(
    ("error", "method", "outcome", "tries"),
    [
        (EndpointConnectError, "POST", Outcome.NOT_RUN, 3),
        (EndpointConnectError, "GET", Outcome.NOT_RUN, 3),
        (EndpointResetError, "POST", Outcome.UNKNOWN, 1),
        (EndpointResetError, "GET", Outcome.UNKNOWN, 3),
        (EndpointTimeoutError, "POST", Outcome.UNKNOWN, 1),
        (EndpointTimeoutError, "GET", Outcome.UNKNOWN, 1),
        (EndpointAnswerError, "POST", Outcome.UNKNOWN, 1),
        (EndpointAnswerError, "GET", Outcome.UNKNOWN, 3),
    ],
)
def test_failure_table(error, method, outcome, tries):
    carrier, client, slots = dispatcher(failing(error()))
    reply = carrier.carry(req(method))
    assert reply.outcome is outcome
    assert reply.code == error.code
    assert len(client.sent) == tries
    assert slots.in_flight() == {}


def test_not_run_after_unknown_stays_unknown():
    errors = iter([EndpointResetError(), EndpointConnectError(), EndpointConnectError()])

    def answer(address, request):
        raise next(errors)

    carrier, _, _ = dispatcher(answer)
    assert carrier.carry(req("GET")).outcome is Outcome.UNKNOWN


def test_unknown_service_and_passed_deadline_do_not_run():
    carrier, client, _ = dispatcher(lambda address, request: OK)
    assert carrier.carry(req(service="nothing")).outcome is Outcome.NOT_RUN
    assert carrier.carry(req(deadline=-1.0)).outcome is Outcome.NOT_RUN
    assert client.sent == []
