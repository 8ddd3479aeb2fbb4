import hashlib
import hmac
import io
import json

import pytest

from gypsumplank.protocol.operator import RolloutStatus, Status
from gypsumplank.settings import Token
from gypsumplank.transport import operator
from gypsumplank.transport.operator import OperatorApp
from tests.malformed import MALFORMED_JSON

READ_PATHS = ("/v1/status", "/v1/records", "/v1/records/pool/a", "/v1/history", "/v1/rollout")
WRITE_PATHS = ("/v1/changes", "/v1/rollback", "/v1/validate")
UNAUTHENTICATED_PATHS = ("/healthz", "/readyz", "/metrics")
REQUEST_BODY = {"operation": "op", "revision": 1}


def make_token(name, role):
    return Token(name, role, hashlib.sha256(name.encode()).hexdigest().upper())


class FakeController:
    """Succeed on every call and record the actors of writes."""

    def __init__(self):
        self.actors = []

    def __getattr__(self, name):
        def call(*args):
            if name in ("change", "rollback"):
                self.actors.append(args[1])
            return {"ready": True}.get(name, RolloutStatus(1, (), ()))

        return call

    def status(self):
        return Status("a", True, 1)


@pytest.fixture
def controller():
    return FakeController()


@pytest.fixture
def app(controller):
    tokens = (make_token("viewer-token", "viewer"), make_token("operator-token", "operator"))
    return OperatorApp(controller, lambda: b"metrics", tokens)


def call(app, method, path, bearer=None, body=REQUEST_BODY):
    raw = body if isinstance(body, bytes) else json.dumps(body).encode()
    path, _, query = path.partition("?")
    environ = {
        "REQUEST_METHOD": method,
        "PATH_INFO": path,
        "QUERY_STRING": query,
        "wsgi.input": io.BytesIO(raw),
    }
    if bearer is not None:
        environ["HTTP_AUTHORIZATION"] = f"Bearer {bearer}"
    statuses = []
    app(environ, lambda status, _headers: statuses.append(int(status[:3])))
    return statuses[0]


@pytest.mark.parametrize("path", READ_PATHS)
@pytest.mark.parametrize(
    ("bearer", "status"), [(None, 401), ("x", 401), ("viewer-token", 200), ("operator-token", 200)]
)
def test_read_requires_a_token(app, path, bearer, status):
    assert call(app, "GET", path, bearer) == status


@pytest.mark.parametrize("path", WRITE_PATHS)
@pytest.mark.parametrize(
    ("bearer", "status"), [(None, 401), ("x", 401), ("viewer-token", 403), ("operator-token", 200)]
)
def test_write_requires_the_operator_role(app, controller, path, bearer, status):
    assert call(app, "POST", path, bearer) == status
    if status != 200:
        assert controller.actors == []


@pytest.mark.parametrize("path", UNAUTHENTICATED_PATHS)
def test_probes_need_no_token(app, path):
    assert call(app, "GET", path) == 200


def test_actor_is_the_token_name(app, controller):
    call(app, "POST", "/v1/changes", "operator-token")
    assert controller.actors == ["operator-token"]


def test_every_token_is_compared_in_constant_time(app, monkeypatch):
    compared = []
    original = hmac.compare_digest
    monkeypatch.setattr(
        operator.hmac,
        "compare_digest",
        lambda digest, other: compared.append(digest) or original(digest, other),
    )
    call(app, "GET", "/v1/status", "viewer-token")
    assert len(compared) == 2


@pytest.mark.parametrize(
    ("method", "path", "body", "status"),
    [
        ("GET", "/v1/nothing", {}, 404),
        ("POST", "/v1/nothing", REQUEST_BODY, 404),
        ("PUT", "/v1/changes", REQUEST_BODY, 404),
        ("POST", "/v1/changes", b"{", 422),
        ("POST", "/v1/changes", b"", 422),
        ("POST", "/v1/rollback", {"operation": "op"}, 422),
        ("GET", "/v1/history?limit=x", {}, 400),
        ("GET", "/v1/records?schema=one", {}, 400),
    ],
)
def test_malformed_request_status(app, method, path, body, status):
    assert call(app, method, path, "operator-token", body) == status


@pytest.mark.parametrize("path", WRITE_PATHS)
@pytest.mark.parametrize("raw", MALFORMED_JSON.values(), ids=MALFORMED_JSON)
def test_malformed_body_is_rejected(app, path, raw):
    assert call(app, "POST", path, "operator-token", raw) == 422


@pytest.mark.parametrize("number", ["9" * 5000, "9" * 20, "-1", "1e9", "x", "\u00b2", "1_0"])
@pytest.mark.parametrize("name", ["history?limit", "rollout?revision", "records?schema"])
def test_malformed_number_is_rejected(app, name, number):
    assert call(app, "GET", f"/v1/{name}={number}", "viewer-token") == 400


@pytest.mark.parametrize("depth", [100, 500, 900])
def test_record_nested_deeper_than_can_be_stored_is_rejected(app, depth):
    record = b'{"kind":"pool","name":"p","schema":2,"spec":{"x":%s}}'
    nested = record % (b"[" * depth + b"]" * depth)
    raw = b'{"operation":"o","puts":[' + nested + b"]}"
    assert call(app, "POST", "/v1/changes", "operator-token", raw) == 422
