import io
import itertools
import json

import msgspec
import pytest

from gypsumplank.coordination.submission import Submission
from gypsumplank.errors import StateUnavailableError, StateUnknownError
from gypsumplank.protocol.record import Kind, Record
from gypsumplank.state.clock import ManualClock
from gypsumplank.state.table import MemoryTable
from gypsumplank.state.task import TaskStore
from gypsumplank.state.view import build_view
from gypsumplank.transport.task import TaskApp

HOST = {"address": "10.0.0.1:80", "pool": "p", "zone": "z", "rack": "r", "cores": 8}
VIEW = build_view(
    1,
    (
        Record(Kind.POOL, "p", 2),
        Record(Kind.SERVICE, "renders", 2, {"pool": "p"}),
        Record(Kind.TEAM, "small", 2, {"cores": 2}),
        Record(Kind.HOST, "h", 2, {**HOST, "memory_gb": 8}),
    ),
)


class FailingTable(MemoryTable):
    """Raise the set error: before the write, or after it where `late`."""

    error = None
    late = False

    def commit(self, txn):
        error, self.error = self.error, None
        if error and not self.late:
            raise error
        version = super().commit(txn)
        if error:
            raise error
        return version


class Caller:
    """Call the application as waitress would."""

    def __init__(self):
        self.table = FailingTable()
        store = TaskStore(self.table, self.table)
        self.app = TaskApp(Submission(lambda: VIEW, store, ManualClock(5.0)), self._others)

    def _others(self, environ, start):
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
        seen = []
        raw = b"".join(self.app(environ, lambda status, headers: seen.append(status)))
        return int(seen[0].split()[0]), json.loads(raw)

    def submit(self, team="", key="", **order):
        return self.call("POST", "/-/tasks", msgspec.json.encode(order), team, key)


@pytest.fixture
def caller():
    return Caller()


def test_submitted_task_is_found_listed_and_cancelled(caller):
    status, task = caller.submit(service="renders", team="crew")
    assert (status, task["state"], task["order"]["team"]) == (202, "queued", "crew")
    caller.submit(service="renders", team="others")
    assert caller.call("GET", f"/-/tasks/{task['id']}") == (200, task)
    assert caller.call("GET", "/-/tasks", team="crew") == (200, [task])
    assert caller.call("DELETE", f"/-/tasks/{task['id']}")[1]["state"] == "cancelled"
    assert caller.call("DELETE", f"/-/tasks/{task['id']}")[1]["state"] == "cancelled"


def test_wait_ends_at_its_bound(caller):
    task = caller.submit(service="renders")[1]
    assert caller.call("GET", f"/-/tasks/{task['id']}?wait_ms=0")[1]["state"] == "queued"
    caller.call("DELETE", f"/-/tasks/{task['id']}")
    assert caller.call("GET", f"/-/tasks/{task['id']}?wait_ms=30000")[1]["state"] == "cancelled"


def test_key_submits_once(caller):
    first = caller.submit(service="renders", key="k")[1]
    assert caller.submit(service="renders", key="k")[1] == first
    assert caller.submit(service="renders", key="k", team="other")[1] != first
    assert len(caller.table.scan("tasks")) == 2


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
def test_refused_order_is_not_run(caller, order, team, status, code):
    found, problem = caller.call("POST", "/-/tasks", msgspec.json.encode(order), team)
    assert (found, problem["code"], problem["outcome"]) == (status, code, "not-run")
    assert caller.table.scan("tasks") == []


@pytest.mark.parametrize(
    ("error", "late", "status", "outcome", "rows"),
    [
        (StateUnavailableError(), False, 503, "not-run", 0),
        (StateUnknownError(), False, 504, "unknown", 0),
        (StateUnknownError(), True, 202, None, 1),
    ],
)
def test_store_faults_are_told_as_they_are(caller, error, late, status, outcome, rows):
    caller.table.error, caller.table.late = error, late
    found, answer = caller.submit(service="renders")
    assert (found, answer.get("outcome")) == (status, outcome)
    assert len(caller.table.scan("tasks")) == rows


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
def test_wrong_calls(caller, method, path, status):
    assert caller.call(method, path)[0] == status


def test_everything_else_is_passed_on(caller):
    assert caller.call("GET", "/renders/x") == (200, "others")


def test_list_is_paged(caller):
    ids = [caller.submit(service="renders", team="crew")[1]["id"] for _ in range(130)]
    pages = []
    after = ""
    while page := caller.call("GET", f"/-/tasks?after={after}", team="crew")[1]:
        pages.append([task["id"] for task in page])
        after = pages[-1][-1]
    assert list(itertools.chain(*pages)) == sorted(ids)
    assert len(pages) == 2
