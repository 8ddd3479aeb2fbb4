"""Check API keys through the HTTP API, with the manifest's row as an operator writes it."""

import io
import logging

import msgspec
import pytest
from prometheus_client import REGISTRY, generate_latest

from gypsumplank.coordination.job.freshness import KeyPolicy
from gypsumplank.coordination.job.manifest import ManifestWatch
from gypsumplank.coordination.job.submission import JobService, log_error_response
from gypsumplank.errors import AccountLimitError, KeyUnverifiedError
from gypsumplank.platform.app import JobApp
from gypsumplank.platform.directory import PlatformDirectory
from gypsumplank.protocol.account import hash_key
from gypsumplank.state.clock import ManualClock
from gypsumplank.state.feed import MemoryFeedTable
from gypsumplank.state.job import JobStore
from gypsumplank.state.table import Txn, Write
from gypsumplank.transport.requestparser import RequestHead

JOB = "5c0e7a21d94b36f8"
BODY = msgspec.json.encode({"spec": "s", "steps": [{"replicas": 1, "cpu": 500}]})
ROUTE = {"name": "q", "host": "h", "prefix": "/q/", "service": "desk"}
ROUTES = [ROUTE, ROUTE | {"name": "p", "prefix": "/p/", "public": True}]
KEY, OTHER_KEY, UNKNOWN_KEY = "secret-one", "schl\u00fcssel-\u00e0", "secret-none"
TENANTS = [{"name": "team-a", "api-keys": [KEY]}, {"name": "team-b", "api-keys": [KEY, OTHER_KEY]}]
CALLS = [("POST", JOB), ("GET", JOB), ("DELETE", JOB), ("GET", ""), ("PUT", JOB)]


class Entry:
    """Serve the job API of one daemon over a store in memory."""

    def __init__(self, tenants=TENANTS):
        self.table, self.clock = MemoryFeedTable(), ManualClock(1000.0)
        self.policy = KeyPolicy(True, 5.0, 3.0)
        directory = PlatformDirectory(self.table)
        self.watch = ManifestWatch(directory, self.table, "op", self.clock, lambda: self.policy)
        self.jobs = JobService(
            JobStore(self.table), self.clock, lambda: self.watch.in_force, lambda: self.policy
        )
        self.paths = []
        self.app = JobApp(self.jobs, lambda *labels: self.paths.append(labels), log_error_response)
        manifest = {"version": 1, "routes": ROUTES}
        self.publish(manifest | ({} if tenants is None else {"tenants": tenants}))

    def publish(self, manifest):
        raw = manifest if isinstance(manifest, bytes) else msgspec.json.encode(manifest)
        self.table.commit(Txn((), (Write("op", "config", raw),)))
        self.clock.advance(1.0)
        self.watch._read()

    def call(self, method, path, key=None, body=BODY):
        received = {}
        environ = {
            "REQUEST_METHOD": method,
            "PATH_INFO": path,
            "HTTP_HOST": "h",
            "wsgi.input": io.BytesIO(body),
        }
        if key is not None:
            environ["HTTP_AUTHORIZATION"] = f"Bearer {key}".encode().decode("latin-1")
        b"".join(
            self.app(
                environ,
                lambda status, headers: received.update(
                    {"status": int(status[:3]), **dict(headers)}
                ),
            )
        )
        return received


@pytest.mark.parametrize(("method", "name"), CALLS)
@pytest.mark.parametrize("key", [None, "", UNKNOWN_KEY])
def test_call_without_a_valid_key_is_refused_before_its_body_is_decoded(method, name, key):
    entry = Entry()
    answer = entry.call(method, f"/q/{name}", key, b"not json")
    assert (answer["status"], answer["WWW-Authenticate"]) == (401, "Bearer")
    assert not entry.table.scan("orders")


@pytest.mark.parametrize(("method", "name"), CALLS)
def test_call_whose_key_cannot_be_verified_may_be_tried_again(method, name):
    entry = Entry()
    entry.clock.advance(4.75)
    answer = entry.call(method, f"/q/{name}", KEY, b"not json")
    assert (answer["status"], answer["Retry-After"]) == (503, "1")
    assert not entry.table.scan("orders")
    assert entry.call("POST", f"/p/{JOB}", KEY)["status"] == 200


@pytest.mark.parametrize(
    ("path", "key", "account"),
    [
        ("/q/", KEY, "team-a"),
        ("/q/", OTHER_KEY, "team-b"),
        ("/p/", KEY, "team-a"),
        ("/p/", UNKNOWN_KEY, ""),
        ("/p/", None, ""),
    ],
)
def test_job_is_stored_with_its_account(path, key, account):
    entry = Entry()
    assert entry.call("POST", f"{path}{JOB}", key)["status"] == 200
    (row,) = entry.table.scan("orders")
    assert msgspec.json.decode(row.value).get("account", "") == account
    assert entry.call("GET", f"{path}{JOB}", key)["status"] == 200
    assert entry.call("DELETE", f"{path}{JOB}", key)["status"] == 200


def test_missing_queue_comes_before_a_missing_key_and_a_missing_manifest_before_both():
    entry = Entry()
    assert entry.call("GET", f"/none/{JOB}")["status"] == 404
    entry.watch._freshness.in_force = None
    assert entry.call("GET", f"/none/{JOB}")["status"] == 503


def test_keys_are_not_asked_for_without_accounts_and_none_is_valid_with_an_empty_list():
    assert Entry(None).call("POST", f"/q/{JOB}", UNKNOWN_KEY)["status"] == 200
    assert Entry([]).call("POST", f"/q/{JOB}", KEY)["status"] == 401


@pytest.mark.parametrize("scheme", ["bearer", "BEARER", "Basic", "Bearer\t"])
def test_scheme_of_the_key_is_compared_without_regard_to_case(scheme):
    entry = Entry()
    environ = {"REQUEST_METHOD": "GET", "PATH_INFO": "/q/", "HTTP_HOST": "h"}
    environ["HTTP_AUTHORIZATION"] = f"{scheme} {KEY} "
    statuses = []
    entry.app(environ, lambda status, _: statuses.append(status[:3]))
    assert statuses == ["200" if scheme.lower() == "bearer" else "401"]


@pytest.mark.parametrize(
    "raw", [b"{", b'{"version":2,"tenants":[{"name":"team-a","api-keys":[1]}]}']
)
def test_undecodable_newer_manifest_does_not_confirm_the_one_in_force(raw):
    entry = Entry()
    entry.publish(raw)
    entry.clock.advance(3.7)
    assert entry.call("GET", "/q/", KEY)["status"] == 200
    entry.watch._read()
    entry.clock.advance(0.1)
    assert entry.call("GET", "/q/", KEY)["status"] == 503


@pytest.mark.parametrize(
    ("error", "retry_after"),
    [
        (AccountLimitError("x", 2.1), "3"),
        (KeyUnverifiedError("x", 0.2), "1"),
        (KeyUnverifiedError("x"), "1"),
    ],
)
def test_error_states_after_how_many_whole_seconds_to_retry(error, retry_after):
    def refuse(*_):
        raise error

    entry = Entry()
    entry.jobs.submit = refuse
    answer = entry.call("POST", f"/q/{JOB}", KEY)
    assert (answer["status"], answer["Retry-After"]) == (error.status, retry_after)


def test_no_key_and_no_digest_appears_in_logs_answers_or_metrics(caplog, capsys):
    caplog.set_level(logging.DEBUG)
    entry = Entry()
    tenants = [{"name": "team-a", "api-keys": [KEY, 7]}]
    for broken in ({"version": 2, "tenants": tenants}, b'{"tenants":[{"api-keys":["secret-one"}'):
        entry.publish(broken)
    for age_s in (0.0, 3.0, 5.0):
        entry.clock.advance(age_s)
        for method, name in CALLS:
            for path in ("/q/", "/p/", "/none/"):
                for key in (KEY, OTHER_KEY, UNKNOWN_KEY):
                    assert "secret" not in str(entry.call(method, path + name, key, b"[]"))
    assert {"job-refused", "key-shared", "entry-dropped"} <= {each.msg for each in caplog.records}
    texts = [str(record.__dict__) for record in caplog.records]
    texts += [str(entry.paths), generate_latest(REGISTRY).decode(), *capsys.readouterr()]
    for key in (KEY, OTHER_KEY, UNKNOWN_KEY):
        digest = hash_key(key)
        hidden = (key, digest.hex(), repr(digest)[2:-1])
        assert not [text for text in texts for part in hidden if part in text]


def test_submission_without_a_known_key_is_refused_before_its_body():
    """Guards against reading bodies of callers whose request cannot succeed."""
    entry = Entry()

    def check(method, path, key):
        headers = {} if key is None else {"authorization": f"Bearer {key}"}
        return entry.app.check_head(RequestHead(method, path, "h:80", headers))

    for key in (None, UNKNOWN_KEY):
        refusal = check("POST", f"/q/{JOB}", key)
        assert refusal.status == 401
        assert ("WWW-Authenticate", "Bearer") in refusal.headers
        assert check("POST", f"/p/{JOB}", key) is None
        assert check("GET", f"/q/{JOB}", key) is None
    assert check("POST", f"/q/{JOB}", KEY) is None
    # What a later manifest may add is decided once the request is complete.
    assert check("POST", "/unknown/", None) is None
