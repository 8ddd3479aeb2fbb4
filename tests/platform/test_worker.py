import math
import random

import pytest

from gypsumplank.errors import WorkerRefusedError, WorkerUnknownError
from gypsumplank.platform.client import Response
from gypsumplank.platform.worker import HttpWorkers
from gypsumplank.protocol.job import Resources
from gypsumplank.protocol.worker import StartCommand, WorkerEntry, WorkerState
from tests.malformed import IMPOSSIBLE_ADDRESSES

ROOM = Resources(8000, 8000)


@pytest.fixture
def worker(platform_server):
    platform, address = platform_server
    platform.simulated_workers.add("w", "desk", ROOM)
    return WorkerEntry("w", "desk", address, "z", WorkerState.READY, ROOM)


def start_order(run=1, token=3, until_ms=4000):
    return StartCommand("a.0.0.0", run, "100", until_ms, token)


def test_started_run_is_reported(worker):
    workers = HttpWorkers()
    workers.start(worker, start_order())
    report = workers.poll(worker, 3, 5000, 0, 0.0)
    assert [(task.name, task.run) for task in report.running] == [("a.0.0.0", 1)]
    assert report.born > 0


def test_lower_fencing_token_is_refused(worker):
    workers = HttpWorkers()
    workers.poll(worker, 5, None, 0, 0.0)
    with pytest.raises(WorkerRefusedError) as caught:
        workers.start(worker, start_order(token=4))
    assert caught.value.reason == "fence"


def test_order_for_another_instance_is_refused(worker):
    other_instance = WorkerEntry("v", "desk", worker.address, "z", WorkerState.READY, ROOM)
    with pytest.raises(WorkerRefusedError) as caught:
        HttpWorkers().start(other_instance, start_order())
    assert caught.value.reason == "other-life"


def test_refused_connection_means_not_executed(worker):
    unreachable = WorkerEntry("w", "desk", "127.0.0.1:1", "z", WorkerState.READY, ROOM)
    with pytest.raises(WorkerRefusedError) as caught:
        HttpWorkers().start(unreachable, start_order())
    assert caught.value.reason == "unreached"


def test_lost_response_leaves_the_outcome_unknown(platform_server, worker):
    platform_server[0].simulated_workers.response_loss_share = 1.0
    platform_server[0].simulated_workers.rng = random.Random(1)
    with pytest.raises(WorkerUnknownError):
        HttpWorkers().start(worker, start_order())


def test_orders_name_the_expected_instance(platform_server, worker):
    workers = HttpWorkers()
    workers.start(worker, start_order())
    workers.stop(worker, "a.0.0.0", 1, 3)
    workers.set_speed_limit(worker, "a.0.0.0", 1, 40, 3)
    paths = [path for path, _, _ in platform_server[0].orders]
    assert paths == ["/api/run-start", "/api/run-stop", "/api/pace"]
    assert all(
        headers["X-Gypsumplank-Expected-Instance"] == "w"
        for _, _, headers in platform_server[0].orders
    )


REPORT = {"born": 7, "clock-ms": 5, "running": [["a.0.0.0", 1, "", 50, None]], "finished": []}


class FixedClient:
    def __init__(self, body, status=200):
        self.body = body
        self.status = status

    def call(self, method, path, body, headers, extra_timeout_s):
        return Response(self.status, self.body, {})


def poll_response(worker, body):
    workers = HttpWorkers()
    workers._clients[worker.address] = FixedClient(body)
    return workers.poll(worker, 1, None, 0, 0.0)


def test_report_is_decoded(worker):
    assert poll_response(worker, REPORT).born == 7


@pytest.mark.parametrize("field", REPORT)
@pytest.mark.parametrize("value", [None, "x", [7], {}, [[]], [None]])
def test_malformed_report_leaves_the_outcome_unknown(worker, field, value):
    with pytest.raises(WorkerUnknownError):
        poll_response(worker, REPORT | {field: value})


RUN = ["a.0.0.0", 1, "", 50, 3]
END = [1, "a.0.0.0", 1, "done", ""]
BAD_ELEMENTS = [None, 10**400, -1, math.inf, math.nan, True, 1.5, "", "x" * 10**6, [], {}, [[[]]]]


@pytest.mark.parametrize("row", [RUN, END], ids=["running", "finished"])
@pytest.mark.parametrize("value", BAD_ELEMENTS, ids=lambda value: repr(value)[:20])
def test_malformed_row_element_leaves_the_outcome_unknown(worker, row, value):
    for position, element in enumerate(row):
        if isinstance(value, str) and isinstance(element, str) and element != "done":
            continue
        if element in (50, 3) and value in (None, -1, 1.5) and (value, element) != (None, 50):
            continue
        bad = [*row[:position], value, *row[position + 1 :]]
        with pytest.raises(WorkerUnknownError) as caught:
            poll_response(worker, REPORT | {"running" if row is RUN else "finished": [row, bad]})
        assert len(caught.value.detail) < 400


@pytest.mark.parametrize("field", ["born", "clock-ms"])
@pytest.mark.parametrize("value", BAD_ELEMENTS, ids=lambda value: repr(value)[:20])
def test_malformed_number_leaves_the_outcome_unknown(worker, field, value):
    with pytest.raises(WorkerUnknownError):
        poll_response(worker, REPORT | {field: value})


@pytest.mark.parametrize("value", BAD_ELEMENTS, ids=lambda value: repr(value)[:20])
def test_start_with_a_malformed_clock_is_confirmed_without_it(worker, value):
    workers = HttpWorkers()
    workers._clients[worker.address] = FixedClient({"clock-ms": value})
    assert workers.start(worker, start_order()) == 0


@pytest.mark.parametrize("address", IMPOSSIBLE_ADDRESSES)
def test_address_that_cannot_exist_means_not_executed(address):
    worker = WorkerEntry("w", "desk", address, "z", WorkerState.READY, ROOM)
    with pytest.raises(WorkerRefusedError) as caught:
        HttpWorkers().poll(worker, 1, None, 0, 0.0)
    assert caught.value.reason == "unreached"


@pytest.mark.parametrize(
    "reason", [None, 7, [], {}, "x" * 10**6], ids=lambda value: repr(value)[:9]
)
def test_malformed_refusal_is_a_conflict(worker, reason):
    workers = HttpWorkers()
    workers._clients[worker.address] = FixedClient({"reason": reason}, 409)
    with pytest.raises(WorkerRefusedError) as caught:
        workers.start(worker, start_order())
    assert caught.value.reason == "conflict"


@pytest.mark.parametrize("field", REPORT)
def test_report_without_a_field_leaves_the_outcome_unknown(worker, field):
    with pytest.raises(WorkerUnknownError):
        poll_response(worker, {key: value for key, value in REPORT.items() if key != field})
