"""Serve callers' requests over HTTP."""

import uuid
from collections.abc import Callable, Iterable, Mapping
from http import HTTPStatus
from typing import Any, Protocol

from gypsumplank.errors import RequestInvalidError
from gypsumplank.protocol.burn import CompletedRequest
from gypsumplank.protocol.exchange import (
    HEADER_IDEMPOTENCY_KEY,
    HEADER_PRIORITY,
    HEADER_REQUEST_ID,
    HEADER_TEAM,
    EndpointResponse,
    Outcome,
    Refusal,
    Reply,
    Request,
)
from gypsumplank.protocol.header import drop_hop_by_hop, parse_timeout_s, parse_urgency
from gypsumplank.protocol.problem import MEDIA_TYPE, encode_problem, from_refusal
from gypsumplank.protocol.spec import DEFAULT_TIMEOUT_MS, ServiceSpec
from gypsumplank.protocol.ticket import Ticket
from gypsumplank.state.clock import steady_s
from gypsumplank.transport.admission import ENVIRON_REFUSAL, ENVIRON_TICKET
from gypsumplank.transport.listener import StartResponse

ENVIRON_DISCONNECTED = "waitress.client_disconnected"
MAX_REQUEST_ID_LENGTH = 128
REPLACED_HEADERS = frozenset({"content-length", "x-request-id"})
BODILESS_STATUSES = frozenset({204, 304})
STATUS_STRINGS = {status.value: f"{status.value} {status.phrase}" for status in HTTPStatus}

RecordFinish = Callable[[CompletedRequest], None]
GetServices = Callable[[], Mapping[str, ServiceSpec]]


class RequestHandler(Protocol):
    """Route a request to an endpoint."""

    def handle(self, req: Request) -> Reply:
        """Return the reply; never raise."""


class CallerApp:
    """Translate between HTTP and the daemon's requests and replies."""

    def __init__(
        self, handler: RequestHandler, services: GetServices, record_finish: RecordFinish
    ) -> None:
        self._handler = handler
        self._services = services
        self._record_finish = record_finish

    def __call__(self, environ: dict[str, Any], start_response: StartResponse) -> Iterable[bytes]:
        """Handle one HTTP request."""
        ticket: Ticket | None = environ.get(ENVIRON_TICKET)
        started = ticket.arrived_at if ticket else steady_s()
        headers = _request_headers(environ)
        request_id = headers.get(HEADER_REQUEST_ID) or uuid.uuid4().hex
        service = environ["PATH_INFO"].split("/", 2)[1]
        spec = self._services().get(service)
        reply: Reply | None = environ.get(ENVIRON_REFUSAL)
        req: Request | None = None
        try:
            if reply is None:
                pool = ticket.pool if ticket else ""
                req = _build_request(environ, headers, request_id, service, spec, started, pool)
                reply = self._handler.handle(req)
        except RequestInvalidError as exc:
            reply = Refusal(exc.code, Outcome.NOT_RUN, exc.status, exc.detail)
        ended = steady_s()
        late = req is not None and ended > req.deadline
        disconnected = environ.get(ENVIRON_DISCONNECTED, _not_disconnected)()
        self._record_finish(
            CompletedRequest(service if spec else "", reply, ended - started, late, disconnected)
        )
        status, resp_headers, body = _encode_reply(reply)
        resp_headers += [
            (HEADER_REQUEST_ID, request_id),
            *_content_length(environ, reply, status, body),
        ]
        start_response(STATUS_STRINGS.get(status, f"{status} Unassigned"), resp_headers)
        return (body,)


def _not_disconnected() -> bool:
    return False


def _request_headers(environ: Mapping[str, Any]) -> dict[str, str]:
    headers = {
        name[5:].replace("_", "-").title(): value
        for name, value in environ.items()
        if name.startswith("HTTP_")
    }
    if "CONTENT_TYPE" in environ:
        headers["Content-Type"] = environ["CONTENT_TYPE"]
    return headers


def _build_request(
    environ: Mapping[str, Any],
    headers: Mapping[str, str],
    request_id: str,
    service: str,
    spec: ServiceSpec | None,
    started: float,
    pool: str,
) -> Request:
    if len(request_id) > MAX_REQUEST_ID_LENGTH:
        raise RequestInvalidError(f"{HEADER_REQUEST_ID} exceeds {MAX_REQUEST_ID_LENGTH} characters")
    timeout_s = parse_timeout_s(headers, spec.timeout_ms if spec else DEFAULT_TIMEOUT_MS)
    forwarded = dict(drop_hop_by_hop(tuple(headers.items())))
    forwarded.pop("Host", None)
    return Request(
        id=request_id,
        service=service,
        method=environ["REQUEST_METHOD"],
        target=_strip_service(environ["REQUEST_URI"]),
        deadline=started + timeout_s,
        headers=forwarded,
        body=environ["wsgi.input"].read(),
        urgency=parse_urgency(headers.get(HEADER_PRIORITY, "")),
        idempotency_key=headers.get(HEADER_IDEMPOTENCY_KEY, ""),
        team=headers.get(HEADER_TEAM, ""),
        pool=pool,
    )


def _strip_service(uri: str) -> str:
    """Return the request target without the leading service name."""
    _, _, rest = uri.lstrip("/").partition("/")
    return f"/{rest}"


def _content_length(
    environ: Mapping[str, Any], reply: Reply, status: int, body: bytes
) -> list[tuple[str, str]]:
    """Return the Content-Length header; a bodiless response keeps the endpoint's, if any."""
    bodiless = environ["REQUEST_METHOD"] == "HEAD" or status in BODILESS_STATUSES
    if bodiless and isinstance(reply, EndpointResponse):
        return [(name, value) for name, value in reply.headers if name.lower() == "content-length"]
    return [("Content-Length", str(len(body)))]


def _encode_reply(reply: Reply) -> tuple[int, list[tuple[str, str]], bytes]:
    if isinstance(reply, EndpointResponse):
        headers = [
            (name, value) for name, value in reply.headers if name.lower() not in REPLACED_HEADERS
        ]
        return reply.status, headers, reply.body
    headers = [("Content-Type", MEDIA_TYPE)]
    if reply.retry_after_s:
        headers.append(("Retry-After", str(reply.retry_after_s)))
    return reply.status, headers, encode_problem(from_refusal(reply))
