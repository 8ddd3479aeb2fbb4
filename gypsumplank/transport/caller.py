"""Serve callers over HTTP."""

import time
import uuid
from collections.abc import Callable, Iterable, Mapping
from http import HTTPStatus
from typing import Any, Protocol

from gypsumplank.errors import RequestInvalidError
from gypsumplank.protocol.burn import Finish
from gypsumplank.protocol.exchange import (
    HEADER_IDEMPOTENCY_KEY,
    HEADER_PRIORITY,
    HEADER_REQUEST_ID,
    HEADER_TEAM,
    Answer,
    Outcome,
    Refusal,
    Reply,
    Request,
)
from gypsumplank.protocol.header import end_to_end, parse_timeout_s, parse_urgency
from gypsumplank.protocol.problem import MEDIA_TYPE, encode_problem, from_refusal
from gypsumplank.protocol.spec import DEFAULT_TIMEOUT_MS, ServiceSpec
from gypsumplank.protocol.ticket import Ticket
from gypsumplank.transport.listener import StartResponse
from gypsumplank.transport.queue import ENV_REFUSAL, ENV_TICKET

ENV_DISCONNECTED = "waitress.client_disconnected"
MAX_ID_LENGTH = 128
REPLACED = frozenset({"content-length", "x-request-id"})
BODILESS_STATUSES = frozenset({204, 304})
PHRASES = {status.value: f"{status.value} {status.phrase}" for status in HTTPStatus}

Measure = Callable[[Finish], None]
Services = Callable[[], Mapping[str, ServiceSpec]]


class Carrier(Protocol):
    """Carry a request to its reply."""

    def carry(self, req: Request) -> Reply:
        """Return exactly one reply; raise nothing."""


class CallerApp:
    """Turn HTTP requests into typed ones and replies into HTTP answers."""

    def __init__(self, carrier: Carrier, services: Services, measure: Measure) -> None:
        self._carrier = carrier
        self._services = services
        self._measure = measure

    def __call__(self, environ: dict[str, Any], start: StartResponse) -> Iterable[bytes]:
        """Answer one HTTP request."""
        ticket: Ticket | None = environ.get(ENV_TICKET)
        started = ticket.arrived if ticket else time.monotonic()
        headers = _headers(environ)
        request_id = headers.get(HEADER_REQUEST_ID) or uuid.uuid4().hex
        service = environ["PATH_INFO"].split("/", 2)[1]
        spec = self._services().get(service)
        reply: Reply | None = environ.get(ENV_REFUSAL)
        req: Request | None = None
        try:
            if reply is None:
                pool = ticket.pool if ticket else ""
                req = _request(environ, headers, request_id, service, spec, started, pool)
                reply = self._carrier.carry(req)
        except RequestInvalidError as exc:
            reply = Refusal(exc.code, Outcome.NOT_RUN, exc.status, exc.detail)
        ended = time.monotonic()
        late = req is not None and ended > req.deadline
        gone = environ.get(ENV_DISCONNECTED, _connected)()
        self._measure(Finish(service if spec else "", reply, ended - started, late, gone))
        status, fields, body = _http_answer(reply)
        fields += [(HEADER_REQUEST_ID, request_id), *_length(environ, reply, status, body)]
        start(PHRASES.get(status, f"{status} Unassigned"), fields)
        return (body,)


def _connected() -> bool:
    return False


def _headers(environ: Mapping[str, Any]) -> dict[str, str]:
    found = {
        name[5:].replace("_", "-").title(): value
        for name, value in environ.items()
        if name.startswith("HTTP_")
    }
    if "CONTENT_TYPE" in environ:
        found["Content-Type"] = environ["CONTENT_TYPE"]
    return found


def _request(
    environ: Mapping[str, Any],
    headers: Mapping[str, str],
    request_id: str,
    service: str,
    spec: ServiceSpec | None,
    started: float,
    pool: str,
) -> Request:
    if len(request_id) > MAX_ID_LENGTH:
        raise RequestInvalidError(f"{HEADER_REQUEST_ID} exceeds {MAX_ID_LENGTH} characters")
    timeout_s = parse_timeout_s(headers, spec.timeout_ms if spec else DEFAULT_TIMEOUT_MS)
    forwarded = dict(end_to_end(tuple(headers.items())))
    forwarded.pop("Host", None)
    return Request(
        id=request_id,
        service=service,
        method=environ["REQUEST_METHOD"],
        target=_target(environ["REQUEST_URI"]),
        deadline=started + timeout_s,
        headers=forwarded,
        body=environ["wsgi.input"].read(),
        urgency=parse_urgency(headers.get(HEADER_PRIORITY, "")),
        idempotency_key=headers.get(HEADER_IDEMPOTENCY_KEY, ""),
        team=headers.get(HEADER_TEAM, ""),
        pool=pool,
    )


def _target(uri: str) -> str:
    """Return the part of the target after the service's name."""
    _, _, rest = uri.lstrip("/").partition("/")
    return f"/{rest}"


def _length(
    environ: Mapping[str, Any], reply: Reply, status: int, body: bytes
) -> list[tuple[str, str]]:
    """Return the length field; an answer without a body keeps the length the endpoint gave."""
    bodiless = environ["REQUEST_METHOD"] == "HEAD" or status in BODILESS_STATUSES
    if bodiless and isinstance(reply, Answer):
        return [(name, value) for name, value in reply.headers if name.lower() == "content-length"]
    return [("Content-Length", str(len(body)))]


def _http_answer(reply: Reply) -> tuple[int, list[tuple[str, str]], bytes]:
    if isinstance(reply, Answer):
        headers = [(name, value) for name, value in reply.headers if name.lower() not in REPLACED]
        return reply.status, headers, reply.body
    headers = [("Content-Type", MEDIA_TYPE)]
    if reply.retry_after_s:
        headers.append(("Retry-After", str(reply.retry_after_s)))
    return reply.status, headers, encode_problem(from_refusal(reply))
