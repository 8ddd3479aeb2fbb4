"""Serve the operators' HTTP API."""

import hashlib
import hmac
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any, Protocol, TypeVar
from urllib.parse import parse_qs

import msgspec

from gypsumplank.errors import (
    EntryInvalidError,
    Fault,
    ForbiddenError,
    GypsumplankError,
    RecordMissingError,
    RecordsError,
    RequestInvalidError,
    UnauthorizedError,
)
from gypsumplank.protocol.decoder import decode_document
from gypsumplank.protocol.header import parse_count
from gypsumplank.protocol.operator import (
    PATH_CHANGES,
    PATH_HEALTH,
    PATH_HISTORY,
    PATH_METRICS,
    PATH_READY,
    PATH_RECORDS,
    PATH_ROLLBACK,
    PATH_ROLLOUT,
    PATH_STATUS,
    PATH_VALIDATE,
    ChangeReceipt,
    ChangeRequest,
    HistoryEntry,
    RecordList,
    RollbackRequest,
    RolloutStatus,
    Status,
)
from gypsumplank.protocol.problem import MEDIA_TYPE, encode_problem, from_error
from gypsumplank.protocol.record import NEWEST_SCHEMA, Record
from gypsumplank.settings import Token
from gypsumplank.transport.caller import STATUS_STRINGS
from gypsumplank.transport.listener import StartResponse

JSON_TYPE = "application/json"
TEXT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
BEARER = "Bearer "
ROLE_OPERATOR = "operator"
ANONYMOUS = "anonymous"
DEFAULT_HISTORY_LIMIT = 20

T = TypeVar("T")


class Controller(Protocol):
    """Execute operators' requests; every method may raise GypsumplankError."""

    def ready(self) -> bool:
        """Return whether this daemon is ready to serve callers."""

    def change(self, order: ChangeRequest, actor: str) -> ChangeReceipt:
        """Accept a change of records."""

    def validate(self, order: ChangeRequest) -> None:
        """Validate a change without accepting it."""

    def rollback(self, order: RollbackRequest, actor: str) -> ChangeReceipt:
        """Accept a new revision with the records of an older one."""

    def history(self, limit: int) -> tuple[HistoryEntry, ...]:
        """Return the newest accepted changes."""

    def rollout(self, revision: int) -> RolloutStatus:
        """Return which daemons have a revision in force."""

    def records(self, kind: str = "", schema: int = NEWEST_SCHEMA) -> RecordList:
        """Return the records, or those of one kind."""

    def record(self, key: str, schema: int = NEWEST_SCHEMA) -> Record:
        """Return one record."""

    def status(self) -> Status:
        """Return the status of this daemon."""


@dataclass(frozen=True)
class Route:
    """Map a path to its handler; `body_type` is the type of the request body, None for a read."""

    handler: Callable[..., Any]
    body_type: type | None = None


@dataclass(frozen=True)
class Response:
    """Represent one HTTP response to an operator."""

    body: bytes
    status: int = 200
    media_type: str = JSON_TYPE


class OperatorApp:
    """Translate operators' HTTP requests into calls of the controller."""

    def __init__(
        self,
        controller: Controller,
        metrics: Callable[[], bytes],
        tokens: Sequence[Token],
        routes: Mapping[str, Route] | None = None,
    ) -> None:
        self._controller = controller
        self._metrics = metrics
        self._tokens = tuple(tokens)
        self._routes = dict(routes or {})

    def __call__(self, environ: dict[str, Any], start_response: StartResponse) -> Iterable[bytes]:
        """Handle one HTTP request."""
        try:
            resp = self._handle(environ)
        except GypsumplankError as exc:
            resp = Response(encode_problem(from_error(exc)), exc.status, MEDIA_TYPE)
        headers = [("Content-Type", resp.media_type), ("Content-Length", str(len(resp.body)))]
        start_response(STATUS_STRINGS[resp.status], headers)
        return (resp.body,)

    def _handle(self, environ: dict[str, Any]) -> Response:
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        match method, path:
            case "GET", p if p == PATH_HEALTH:
                return Response(b"ok\n", media_type=TEXT_TYPE)
            case "GET", p if p == PATH_READY:
                return self._readiness()
            case "GET", p if p == PATH_METRICS:
                return Response(self._metrics(), media_type=TEXT_TYPE)
            case "GET", _:
                self._authorize(environ)
                return self._handle_read(path, environ.get("QUERY_STRING", ""))
            case "POST", _:
                actor = self._authorize(environ, ROLE_OPERATOR)
                return self._handle_write(path, environ["wsgi.input"].read(), actor)
        raise RecordMissingError(f"no resource at {method} {path}")

    def _readiness(self) -> Response:
        ready = self._controller.ready()
        return Response(b"ready\n" if ready else b"not ready\n", 200 if ready else 503, TEXT_TYPE)

    def _handle_read(self, path: str, query: str) -> Response:
        route = self._routes.get(path)
        if route is not None and route.body_type is None:
            return _json_response(route.handler())
        params = parse_qs(query)
        if path == PATH_STATUS:
            return _json_response(self._controller.status())
        if path == PATH_HISTORY:
            return _json_response(
                self._controller.history(_int_param(params, "limit", DEFAULT_HISTORY_LIMIT))
            )
        if path == PATH_ROLLOUT:
            return _json_response(self._controller.rollout(_int_param(params, "revision", 0)))
        schema = _int_param(params, "schema", NEWEST_SCHEMA)
        if path == PATH_RECORDS:
            return _json_response(self._controller.records(params.get("kind", [""])[0], schema))
        if path.startswith(f"{PATH_RECORDS}/"):
            key = path.removeprefix(f"{PATH_RECORDS}/")
            return _json_response(self._controller.record(key, schema))
        raise RecordMissingError(f"no resource at {path}")

    def _handle_write(self, path: str, body: bytes, actor: str) -> Response:
        route = self._routes.get(path)
        if route is not None and route.body_type is not None:
            order: Any = _decode(body, route.body_type)
            return _json_response(route.handler(order, actor))
        if path == PATH_CHANGES:
            return _json_response(self._controller.change(_decode(body, ChangeRequest), actor))
        if path == PATH_ROLLBACK:
            return _json_response(self._controller.rollback(_decode(body, RollbackRequest), actor))
        if path == PATH_VALIDATE:
            self._controller.validate(_decode(body, ChangeRequest))
            return Response(b"{}")
        raise RecordMissingError(f"no resource at {path}")

    def _authorize(self, environ: dict[str, Any], role: str = "") -> str:
        """Return the token's name; raise UnauthorizedError or ForbiddenError."""
        if not self._tokens:
            return ANONYMOUS
        bearer_token = environ.get("HTTP_AUTHORIZATION", "").removeprefix(BEARER)
        digest = hashlib.sha256(bearer_token.encode()).hexdigest()
        matches = [
            token for token in self._tokens if hmac.compare_digest(token.sha256.lower(), digest)
        ]
        if not matches:
            raise UnauthorizedError("a valid bearer token is required")
        if role not in ("", matches[0].role):
            raise ForbiddenError(f"requires a token with the role {role!r}")
        return matches[0].name


def _json_response(value: Any) -> Response:
    return Response(msgspec.json.encode(value))


def _int_param(params: Mapping[str, Sequence[str]], name: str, default: int) -> int:
    number = parse_count(params.get(name, [str(default)])[0])
    if number is None:
        raise RequestInvalidError(f"{name} is not a whole number")
    return number


def _decode(body: bytes, kind: type[T]) -> T:
    try:
        return decode_document(body, kind)
    except EntryInvalidError as exc:
        raise RecordsError((Fault("change-malformed", "$", exc.detail),)) from exc
