import io
import itertools
import json

import msgspec
import pytest

from gypsumplank.coordination.submission import TaskService
from gypsumplank.errors import StateUnavailableError, StateUnknownError
from gypsumplank.protocol.record import Kind, Record
from gypsumplank.state.clock import ManualClock
from gypsumplank.state.table import MemoryTable
from gypsumplank.state.task import TaskStore
from gypsumplank.state.view import build_view
from gypsumplank.transport.task import TaskApp
from tests.malformed import MALFORMED_JSON

HOST_SPEC = {"address": "10.0.0.1:80", "pool": "p", "zone": "z", "rack": "r", "cores": 8}
VIEW = build_view(
    1,
    (
        Record(Kind.POOL, "p", 2),
        Record(Kind.SERVICE, "renders", 2, {"pool": "p"}),
        Record(Kind.TEAM, "small", 2, {"cores": 2}),
        Record(Kind.HOST, "h", 2, {**HOST_SPEC, "memory_gb": 8}),
    ),
)


class FailingTable(MemoryTable):
    """Raise `error` on the next commit: before the write, or after it if `after_write`."""

    error = None
    after_write = False

    def commit(self, txn):
        error, self.error = self.error, None
        if error and not self.after_write:
            raise error
        version = super().commit(txn)
        if error:
            raise error
        return version


class TaskClient:
    """Call the WSGI application as waitress does."""

    def __init__(self):
        self.table = FailingTable()
        store = TaskStore(self.table, self.table)
        self.app = TaskApp(TaskService(lambda: VIEW, store, ManualClock(5.0)), self._fallback)

    def _fallback(self, environ, start):
        start("200 OK", [])
        return (b'"others"',)

    def call(self, method, path, body=b"", team="", key=""):
        path, _, query = path.partition("?")
        environ = {
            "REQUEST_METHOD": method,
            "PATH_INFO": path,
            "QUERY_STRING": query,
            "HTTP_X_TEAM": team,
            "HTTP_IDEMPOTENCY_KEY": key,
            "wsgi.input": io.BytesIO(body),
        }
        statuses = []
        raw = b"".join(self.app(environ, lambda status, headers: statuses.append(status)))
        return int(statuses[0].split()[0]), json.loads(raw)

    def submit(self, team="", key="", **order):
        return self.call("POST", "/-/tasks", msgspec.json.encode(order), team, key)


@pytest.fixture
def client():
    return TaskClient()


def test_submitted_task_can_be_read_listed_and_cancelled(client):
    status, task = client.submit(service="renders", team="crew")
    assert (status, task["state"], task["order"]["team"]) == (202, "queued", "crew")
    client.submit(service="renders", team="others")
    assert client.call("GET", f"/-/tasks/{task['id']}") == (200, task)
    assert client.call("GET", "/-/tasks", team="crew") == (200, [task])
    assert client.call("DELETE", f"/-/tasks/{task['id']}")[1]["state"] == "cancelled"
    assert client.call("DELETE", f"/-/tasks/{task['id']}")[1]["state"] == "cancelled"


def test_wait_returns_at_its_timeout_or_at_the_end_of_the_task(client):
    task = client.submit(service="renders")[1]
    assert client.call("GET", f"/-/tasks/{task['id']}?wait_ms=0")[1]["state"] == "queued"
    client.call("DELETE", f"/-/tasks/{task['id']}")
    assert client.call("GET", f"/-/tasks/{task['id']}?wait_ms=30000")[1]["state"] == "cancelled"


def test_idempotency_key_submits_once_for_each_team(client):
    first = client.submit(service="renders", key="k")[1]
    assert client.submit(service="renders", key="k")[1] == first
    assert client.submit(service="renders", key="k", team="other")[1] != first
    assert len(client.table.scan("tasks")) == 2


@pytest.mark.parametrize(
    ("order", "team", "status", "code"),
    [
        ({"service": "none"}, "", 400, "request-invalid"),
        ({}, "", 400, "request-invalid"),
        ({"service": "renders", "urgency": 9}, "", 400, "request-invalid"),
        ({"service": "renders", "size": {"cores": -1}}, "", 400, "request-invalid"),
        ({"service": "renders"}, "a/b", 400, "request-invalid"),
        ({"service": "renders", "size": {"cores": 9}}, "", 422, "task-impossible"),
        ({"service": "renders", "size": {"cores": 3}}, "small", 422, "task-impossible"),
        ({"service": "renders", "size": {"accelerators": 1}}, "", 422, "task-impossible"),
    ],
)
def test_invalid_order_is_not_stored(client, order, team, status, code):
    actual_status, problem = client.call("POST", "/-/tasks", msgspec.json.encode(order), team)
    assert (actual_status, problem["code"], problem["outcome"]) == (status, code, "not-run")
    assert client.table.scan("tasks") == []


@pytest.mark.parametrize(
    ("error", "after_write", "status", "outcome", "rows"),
    [
        (StateUnavailableError(), False, 503, "not-run", 0),
        (StateUnknownError(), False, 504, "unknown", 0),
        (StateUnknownError(), True, 202, None, 1),
    ],
)
def test_store_error_maps_to_status_and_outcome(client, error, after_write, status, outcome, rows):
    client.table.error, client.table.after_write = error, after_write
    actual_status, answer = client.submit(service="renders")
    assert (actual_status, answer.get("outcome")) == (status, outcome)
    assert len(client.table.scan("tasks")) == rows


@pytest.mark.parametrize(
    ("method", "path", "status"),
    [
        ("GET", "/-/tasks/none", 404),
        ("DELETE", "/-/tasks/none", 404),
        ("PUT", "/-/tasks", 404),
        ("GET", "/-/tasks/none?wait_ms=x", 400),
        ("GET", "/-/tasks/none?wait_ms=99999", 400),
    ],
)
def test_invalid_call_status(client, method, path, status):
    assert client.call(method, path)[0] == status


def test_other_paths_go_to_the_fallback(client):
    assert client.call("GET", "/renders/x") == (200, "others")


def test_list_is_paged(client):
    ids = [client.submit(service="renders", team="crew")[1]["id"] for _ in range(130)]
    pages = []
    after = ""
    while page := client.call("GET", f"/-/tasks?after={after}", team="crew")[1]:
        pages.append([task["id"] for task in page])
        after = pages[-1][-1]
    assert list(itertools.chain(*pages)) == sorted(ids)
    assert len(pages) == 2


@pytest.mark.parametrize("raw", MALFORMED_JSON.values(), ids=MALFORMED_JSON)
def test_malformed_body_is_rejected(raw):
    status, _ = TaskClient().call("POST", "/-/tasks", raw, "small")
    assert status == 400


@pytest.mark.parametrize("field", ["cores", "memory_gb", "accelerators"])
@pytest.mark.parametrize("number", [b"9" * 5000, b"9" * 4000, b"1e999", b"NaN", b"-1"])
def test_task_of_an_impossible_size_is_rejected(field, number):
    raw = b'{"service":"renders","size":{"%s":%s}}' % (field.encode(), number)
    assert TaskClient().call("POST", "/-/tasks", raw, "small")[0] in (400, 422)


@pytest.mark.parametrize("wait", ["9" * 5000, "-1", "\u00b2"])
def test_malformed_wait_is_rejected(wait):
    assert TaskClient().call("GET", f"/-/tasks/1-a?wait_ms={wait}", team="small")[0] == 400
