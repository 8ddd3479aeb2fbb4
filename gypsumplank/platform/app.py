"""Serve the platform's HTTP API for jobs, readiness and metrics."""

import math
import re
import time
from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import Any, Protocol

import msgspec

from gypsumplank.errors import (
    EntryInvalidError,
    GypsumplankError,
    JobInvalidError,
    JobMissingError,
    KeyRejectedError,
    StateTooLargeError,
)
from gypsumplank.protocol.account import hash_key_bytes
from gypsumplank.protocol.decoder import Count, decode_json
from gypsumplank.protocol.job import JobDefinition, JobState, Resources, Schedule, StepDefinition
from gypsumplank.protocol.queue import Queue
from gypsumplank.transport.requestparser import HeadRefusal, RequestHead

JSON_TYPE = "application/json"
ENVIRON_REMAINING_MS = "HTTP_X_GYPSUMPLANK_DEADLINE_MS"
JOB_ID_LENGTH = 16
HEX_DIGITS = frozenset("0123456789abcdef")
MAX_SPEC_BYTES = 4000
REMAINING_MS = re.compile(r"[0-9]{1,9}")
# Assumed when the caller sends no deadline header; the usual deadline on the platform.
DEFAULT_REMAINING_S = 3.0
ENVIRON_AUTHORIZATION = "HTTP_AUTHORIZATION"
AUTH_SCHEME = "Bearer"
# Optional whitespace of header values (RFC 9110 section 5.6.3). Others may be bytes of a key.
HEADER_SPACE = " \t"
# Statuses that promise that nothing was stored, so that the caller may retry.
RETRY_STATUSES = (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE)
# Sent with them unless the error states a time, seconds.
RETRY_AFTER_S = 1
# Methods that metrics tell apart; callers may send any other.
METHODS = frozenset({"GET", "POST", "DELETE"})
OTHER_METHOD = "other"
READY_PATH = "/api/readyz"
STATUS_STRINGS = {status.value: f"{status.value} {status.phrase}" for status in HTTPStatus}

StartResponse = Callable[[str, list[tuple[str, str]]], Any]
RecordRequest = Callable[[str, str, float], None]


class WireStep(msgspec.Struct, rename="kebab"):
    """Represent a step as callers send it; `replicas` counts its tasks, `cpu` is in millicores."""

    replicas: Count = 0
    cpu: Count = 0
    mem_mb: Count = 0
    gpu: Count = 0
    estimate_ms: Count = 0
    after: tuple[Count, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    requires: str = ""
    preferred_rack: str = ""
    max_per_server: Count = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    target_ms: Count = 0
    fills: bool = False
    may_miss: Count = 0


class WireJob(msgspec.Struct, rename="kebab"):
    """Represent a job as callers send it; `start-at-ms` is Unix time, in ms since 1970."""

    spec: str
    steps: tuple[WireStep, ...]
    repeat_count: Count = 0
    start_at_ms: Count = 0
    interval_ms: Count = 0


class JobApi(Protocol):
    """Submit, query and cancel jobs; every method may raise GypsumplankError."""

    def authorize(self, host: str, path: str, digest: bytes | None) -> tuple[Queue, str]:
        """Return the queue that serves a host and path, and the account of the key's digest."""

    def submit(
        self,
        queue: Queue,
        job_id: str,
        order: JobDefinition,
        remaining_s: float,
        account: str = "",
    ) -> bool:
        """Store a job; return whether it is new."""

    def state(self, job_id: str) -> JobState:
        """Return a job's state."""

    def cancel(self, job_id: str) -> JobState:
        """Cancel a job."""

    def pending_count(self, queue: Queue) -> int:
        """Return how many accepted jobs have not started."""


def decode_job(raw: bytes) -> JobDefinition:
    """Decode a caller's job; raise JobInvalidError."""
    try:
        wire = decode_json(raw, WireJob)
    except EntryInvalidError as exc:
        raise JobInvalidError(exc.detail) from exc
    if len(wire.spec.encode()) > MAX_SPEC_BYTES:
        raise JobInvalidError(f"spec exceeds {MAX_SPEC_BYTES} bytes")
    schedule = Schedule(wire.repeat_count, wire.start_at_ms, wire.interval_ms)
    job = JobDefinition(wire.spec, tuple(map(_decode_step, wire.steps)), schedule)
    if fault := job.find_fault():
        raise JobInvalidError(fault)
    return job


def _decode_step(wire: WireStep) -> StepDefinition:
    return StepDefinition(
        tasks=wire.replicas,
        need=Resources(wire.cpu, wire.mem_mb, wire.gpu),
        estimate_ms=wire.estimate_ms,
        after=wire.after,
        checkpoints=wire.checkpointing,
        gang=wire.gang,
        same_rack=wire.same_rack,
        label=wire.requires,
        preferred_rack=wire.preferred_rack,
        max_per_worker=wire.max_per_server,
        speculative=wire.speculative,
        lasting=wire.long_running,
        image=wire.image,
        tail_target_ms=wire.target_ms,
        fills=wire.fills,
        may_miss=wire.may_miss,
    )


class JobApp:
    """Serve the job API to callers."""

    def __init__(
        self,
        jobs: JobApi,
        record_request: RecordRequest,
        on_error: Callable[[GypsumplankError, str, str], None],
    ) -> None:
        self._jobs = jobs
        self._record_request = record_request
        self._on_error = on_error

    def __call__(self, environ: dict[str, Any], start_response: StartResponse) -> Iterable[bytes]:
        """Handle one HTTP request."""
        started = time.monotonic()
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        headers = [("Content-Type", JSON_TYPE)]
        try:
            status, value = self._handle(method, path, environ)
        except GypsumplankError as exc:
            self._on_error(exc, method, path)
            status = 400 if isinstance(exc, StateTooLargeError) else exc.status
            if isinstance(exc, JobMissingError) or status < HTTPStatus.INTERNAL_SERVER_ERROR:
                value = {"error": exc.code}
            else:
                value = {"error": exc.code, "detail": exc.detail}
            headers += _error_headers(status, exc)
        body = msgspec.json.encode(value)
        headers.append(("Content-Length", str(len(body))))
        start_response(STATUS_STRINGS[status], headers)
        label = method if method in METHODS else OTHER_METHOD
        self._record_request(label, str(status), time.monotonic() - started)
        return (body,)

    def check_head(self, head: RequestHead) -> HeadRefusal | None:
        """Refuse a submission that has no known API key before its body is read.

        The age of the manifest is checked once the request is complete, as its body may take long.
        """
        if head.method != "POST":
            return None
        host = head.host.partition(":")[0]
        try:
            self._jobs.authorize(
                host, head.path, _key_digest(head.headers.get("authorization", ""))
            )
        except KeyRejectedError as exc:
            self._on_error(exc, head.method, head.path)
            headers = (("Content-Type", JSON_TYPE), *_error_headers(exc.status, exc))
            self._record_request(head.method, str(exc.status), 0.0)
            return HeadRefusal(exc.status, headers, msgspec.json.encode({"error": exc.code}))
        except GypsumplankError:
            return None
        return None

    def _handle(self, method: str, path: str, environ: dict[str, Any]) -> tuple[int, Any]:
        host = environ.get("HTTP_HOST", "").partition(":")[0]
        # The server calls the application once it has the whole request, so that this check comes
        # after the body has arrived, and before it is decoded.
        digest = _key_digest(environ.get(ENVIRON_AUTHORIZATION, ""))
        queue, account = self._jobs.authorize(host, path, digest)
        job_id = path.removeprefix(queue.prefix)
        match method:
            case "GET" if not job_id:
                return HTTPStatus.OK, {"pending-count": self._jobs.pending_count(queue)}
            case "POST":
                order = decode_job(environ["wsgi.input"].read())
                remaining_s = _remaining_s(environ)
                self._jobs.submit(queue, _parse_job_id(job_id), order, remaining_s, account)
                return HTTPStatus.OK, {}
            case "GET":
                return HTTPStatus.OK, {"state": self._jobs.state(_parse_job_id(job_id)).value}
            case "DELETE":
                return HTTPStatus.OK, {"state": self._jobs.cancel(_parse_job_id(job_id)).value}
        raise JobInvalidError(f"unsupported method {method}")


def _error_headers(status: int, exc: GypsumplankError) -> list[tuple[str, str]]:
    if status == HTTPStatus.UNAUTHORIZED:
        return [("WWW-Authenticate", AUTH_SCHEME)]
    if status not in RETRY_STATUSES:
        return []
    retry_s = RETRY_AFTER_S if exc.retry_after_s is None else math.ceil(exc.retry_after_s)
    return [("Retry-After", str(retry_s))]


def _key_digest(authorization: str) -> bytes | None:
    """Return the digest of a request's API key, None if it has no key."""
    scheme, _, key = authorization.strip(HEADER_SPACE).partition(" ")
    key = key.strip(HEADER_SPACE)
    if scheme.lower() != AUTH_SCHEME.lower() or not key:
        return None
    # WSGI gives the header's bytes as Latin-1 (PEP 3333).
    return hash_key_bytes(key.encode("latin-1"))


def _parse_job_id(text: str) -> str:
    if len(text) != JOB_ID_LENGTH or not HEX_DIGITS.issuperset(text.lower()):
        raise JobMissingError(f"{text!r} is not a job id")
    return text


def _remaining_s(environ: dict[str, Any]) -> float:
    raw = environ.get(ENVIRON_REMAINING_MS, "")
    return int(raw) / 1000 if REMAINING_MS.fullmatch(raw) else DEFAULT_REMAINING_S


class ReadyApp:
    """Serve the readiness check of the load balancer."""

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    def __call__(self, environ: dict[str, Any], start_response: StartResponse) -> Iterable[bytes]:
        """Handle one HTTP request."""
        if environ["PATH_INFO"] != READY_PATH:
            status = HTTPStatus.NOT_FOUND
        else:
            status = HTTPStatus.OK if self._is_ready() else HTTPStatus.SERVICE_UNAVAILABLE
        start_response(
            STATUS_STRINGS[status], [("Content-Type", JSON_TYPE), ("Content-Length", "2")]
        )
        return (b"{}",)


class MetricsApp:
    """Serve metrics in the Prometheus text format."""

    def __init__(self, render: Callable[[], bytes]) -> None:
        self._render = render

    def __call__(self, _environ: dict[str, Any], start_response: StartResponse) -> Iterable[bytes]:
        """Handle one HTTP request."""
        body = self._render()
        start_response(
            STATUS_STRINGS[HTTPStatus.OK],
            [("Content-Type", "text/plain; version=0.0.4"), ("Content-Length", str(len(body)))],
        )
        return (body,)
