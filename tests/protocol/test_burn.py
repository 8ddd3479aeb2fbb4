import pytest

from gypsumplank.protocol.burn import CompletedRequest, Result, classify_request
from gypsumplank.protocol.exchange import EndpointResponse, Outcome, Refusal

NOT_RUN, UNKNOWN = Outcome.NOT_RUN, Outcome.UNKNOWN


def answer(status):
    return EndpointResponse(status, (), b"")


def refusal(code, outcome=NOT_RUN):
    return Refusal(code, outcome, 503)


@pytest.mark.parametrize(
    ("reply", "late", "abandoned", "result"),
    [
        (answer(200), False, False, Result.ON_TIME),
        (answer(404), False, False, Result.ON_TIME),
        (answer(200), True, False, Result.LATE),
        (answer(200), False, True, Result.ABANDONED),
        (answer(500), False, False, Result.ENDPOINT),
        (refusal("queue-full"), False, False, Result.FLOOD),
        (refusal("deadline-passed"), True, False, Result.FLOOD),
        (refusal("deadline-passed", UNKNOWN), True, False, Result.ENDPOINT),
        (refusal("endpoint-reset", UNKNOWN), False, False, Result.ENDPOINT),
        (refusal("state-unavailable"), False, False, Result.STORE),
        (refusal("something-new"), False, False, Result.REFUSED),
        (refusal("request-invalid"), False, False, None),
        (refusal("queue-full"), False, True, Result.ABANDONED),
    ],
)
def test_only_requests_finished_on_time_are_successes(reply, late, abandoned, result):
    assert classify_request(CompletedRequest("quotes", reply, 0.1, late, abandoned)) is result
