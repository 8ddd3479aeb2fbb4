import io

import msgspec
import pytest

from gypsumplank.errors import (
    JobInvalidError,
    JobMissingError,
    ManifestMissingError,
    QueueMissingError,
    StateTooLargeError,
    StateUnknownError,
)
from gypsumplank.platform.app import DEFAULT_REMAINING_S, JobApp, ReadyApp, decode_job
from gypsumplank.protocol.job import JobState, Resources
from standins.cluster import QUEUE
from tests.malformed import BAD_NUMBERS, MALFORMED_JSON, with_fields

JOB_ID = "5c0e7a21d94b36f8"
BODY = {"spec": "s", "steps": [{"replicas": 2, "cpu": 500, "mem-mb": 10, "long-running": True}]}


def job_with(**fields):
    step = with_fields(BODY["steps"][0], **fields)
    return b'{"spec":"s","steps":[' + step + b"]}"


class StubJobService:
    def __init__(self, error=None):
        self.error = error
        self.submitted = []

    def authorize(self, host, path, digest):
        if isinstance(self.error, QueueMissingError | ManifestMissingError):
            raise self.error
        assert host == "h.example"
        return QUEUE, ""

    def submit(self, queue, job_id, order, remaining_s, account=""):
        self._raise_error()
        self.submitted.append((job_id, order, remaining_s))
        return True

    def state(self, job_id):
        self._raise_error()
        return JobState.RUNNING

    def cancel(self, job_id):
        self._raise_error()
        return JobState.CANCELLED

    def pending_count(self, queue):
        return 12

    def _raise_error(self):
        if self.error is not None:
            raise self.error


def call(jobs, method, path, body=b"", **extra):
    received = {}
    app = JobApp(jobs, lambda *_: None, lambda *_: None)
    environ = {
        "REQUEST_METHOD": method,
        "PATH_INFO": path,
        "HTTP_HOST": "h.example:80",
        "wsgi.input": io.BytesIO(body),
        **extra,
    }

    def start(status, headers):
        received.update(status=int(status[:3]), headers=dict(headers))

    raw = b"".join(app(environ, start))
    return received["status"], msgspec.json.decode(raw), received["headers"]


def test_post_submits_the_job():
    jobs = StubJobService()
    raw = msgspec.json.encode(BODY)
    status, _, _ = call(jobs, "POST", f"/p/{JOB_ID}", raw, HTTP_X_GYPSUMPLANK_DEADLINE_MS="1090")
    assert status == 200
    ((job_id, order, left_s),) = jobs.submitted
    assert (job_id, left_s) == (JOB_ID, 1.09)
    assert order.steps[0].need == Resources(500, 10)
    assert order.steps[0].lasting


def test_get_delete_and_pending_count():
    assert call(StubJobService(), "GET", f"/p/{JOB_ID}")[:2] == (200, {"state": "running"})
    assert call(StubJobService(), "DELETE", f"/p/{JOB_ID}")[0] == 200
    assert call(StubJobService(), "GET", "/p/")[:2] == (200, {"pending-count": 12})


@pytest.mark.parametrize(
    ("error", "status", "retry_after"),
    [
        (QueueMissingError(), 404, False),
        (ManifestMissingError(), 503, True),
        (StateUnknownError("lost"), 504, False),
        (StateTooLargeError("step 0"), 400, False),
    ],
)
def test_error_maps_to_status_and_retry_after(error, status, retry_after):
    raw = msgspec.json.encode(BODY)
    actual_status, _, headers = call(StubJobService(error), "POST", f"/p/{JOB_ID}", raw)
    assert actual_status == status
    assert ("Retry-After" in headers) is retry_after


def test_unknown_or_invalid_job_id_answers_410():
    assert call(StubJobService(JobMissingError()), "GET", f"/p/{JOB_ID}")[0] == 410
    assert call(StubJobService(), "GET", "/p/no-job")[0] == 410


@pytest.mark.parametrize(
    "raw",
    [
        b"\xff",
        b"[]",
        b'{"spec":"s","steps":[]}',
        b'{"spec":"s","steps":[{"replicas":1,"after":[0]}]}',
        b'{"spec":"s","steps":[{"replicas":-1}]}',
        msgspec.json.encode({**BODY, "spec": "x" * 4001}),
        *MALFORMED_JSON.values(),
        *(job_with(replicas=raw) for raw in BAD_NUMBERS),
        *(job_with(cpu=raw) for raw in BAD_NUMBERS),
        *(job_with(estimate__ms=raw) for raw in BAD_NUMBERS),
        *(job_with(after=b"[" + raw + b"]") for raw in BAD_NUMBERS),
        with_fields(BODY, repeat__count=b"9" * 5000),
        with_fields(BODY, start__at__ms=b"-1"),
        with_fields(BODY, x=b"[" * 2000 + b"]" * 2000),
        # More steps or tasks than a leader can keep would end each leader that loads the job.
        job_with(replicas=b"1000000000"),
        with_fields(BODY, repeat__count=b"1000000000"),
        msgspec.json.encode({**BODY, "steps": [{}] * 80_000}),
    ],
    ids=lambda raw: repr(raw[:40]),
)
def test_invalid_body_is_rejected(raw):
    with pytest.raises(JobInvalidError):
        decode_job(raw)
    jobs = StubJobService()
    assert call(jobs, "POST", f"/p/{JOB_ID}", raw)[0] == 400
    assert not jobs.submitted


@pytest.mark.parametrize(("ready", "status"), [(True, "200"), (False, "503")])
def test_readiness_status(ready, status):
    received = []
    list(ReadyApp(lambda: ready)({"PATH_INFO": "/api/readyz"}, lambda s, h: received.append(s)))
    assert received[0].startswith(status)


def test_methods_that_callers_invent_share_one_metric_label():
    methods = []
    app = JobApp(StubJobService(), lambda method, *_: methods.append(method), lambda *_: None)
    for method in ("GET", "POST", "DELETE", "PUT", *(f"METHOD{number}" for number in range(50))):
        environ = {
            "REQUEST_METHOD": method,
            "PATH_INFO": f"/p/{JOB_ID}",
            "HTTP_HOST": "h.example",
            "wsgi.input": io.BytesIO(msgspec.json.encode(BODY)),
        }
        app(environ, lambda *_: None)
    assert len(methods) == 54
    assert set(methods) == {"GET", "POST", "DELETE", "other"}


@pytest.mark.parametrize("raw", ["9" * 5000, "9" * 20, "-1", "1e9", "inf", "\u0661", ""])
def test_invalid_deadline_header_counts_as_missing(raw):
    jobs = StubJobService()
    body = msgspec.json.encode(BODY)
    status, _, _ = call(jobs, "POST", f"/p/{JOB_ID}", body, HTTP_X_GYPSUMPLANK_DEADLINE_MS=raw)
    assert status == 200
    assert jobs.submitted[0][2] == DEFAULT_REMAINING_S
