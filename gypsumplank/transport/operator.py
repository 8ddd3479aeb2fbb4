"""Serve operators over HTTP."""

import hashlib
import hmac
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any, Protocol, TypeVar

import msgspec

from gypsumplank.errors import (
    Fault,
    GypsumplankError,
    RecordMissingError,
    RecordsError,
    UnauthorizedError,
)
from gypsumplank.protocol.operator import (
    PATH_CHANGES,
    PATH_HEALTH,
    PATH_METRICS,
    PATH_READY,
    PATH_RECORDS,
    PATH_STATUS,
    PATH_VALIDATE,
    ChangeOrder,
    ChangeReceipt,
    RecordList,
    Status,
)
from gypsumplank.protocol.problem import MEDIA_TYPE, encode_problem, from_error
from gypsumplank.protocol.record import Record
from gypsumplank.settings import Token
from gypsumplank.transport.caller import PHRASES
from gypsumplank.transport.listener import StartResponse

JSON_TYPE = "application/json"
TEXT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
BEARER = "Bearer "
ROLE_OPERATOR = "operator"
ANONYMOUS = "anonymous"

T = TypeVar("T")


class Controller(Protocol):
    """Carry out what operators ask; each call may raise GypsumplankError."""

    def ready(self) -> bool:
        """Tell whether callers may be sent here."""

    def change(self, order: ChangeOrder, actor: str) -> ChangeReceipt:
        """Accept a change."""

    def validate(self, order: ChangeOrder) -> None:
        """Check a change."""

    def records(self, kind: str = "") -> RecordList:
        """List records."""

    def record(self, key: str) -> Record:
        """Return one record."""

    def status(self) -> Status:
        """Tell the status."""


@dataclass(frozen=True)
class Route:
    """Answer one path; `kind` is the type of the body that it takes, None for a read."""

    answer: Callable[..., Any]
    kind: type | None = None


@dataclass(frozen=True)
class Page:
    """Hold one HTTP answer to an operator."""

    body: bytes
    status: int = 200
    media_type: str = JSON_TYPE


class OperatorApp:
    """Turn operators' HTTP requests into calls of the controller."""

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

    def __call__(self, environ: dict[str, Any], start: StartResponse) -> Iterable[bytes]:
        """Answer one HTTP request."""
        try:
            page = self._answer(environ)
        except GypsumplankError as exc:
            page = Page(encode_problem(from_error(exc)), exc.status, MEDIA_TYPE)
        headers = [("Content-Type", page.media_type), ("Content-Length", str(len(page.body)))]
        start(PHRASES[page.status], headers)
        return (page.body,)

    def _answer(self, environ: dict[str, Any]) -> Page:
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        match method, path:
            case "GET", p if p == PATH_HEALTH:
                return Page(b"ok\n", media_type=TEXT_TYPE)
            case "GET", p if p == PATH_READY:
                return self._ready()
            case "GET", p if p == PATH_METRICS:
                return Page(self._metrics(), media_type=TEXT_TYPE)
            case "GET", _:
                self._authorize(environ)
                return self._read(path, environ.get("QUERY_STRING", ""))
            case "POST", _:
                actor = self._authorize(environ, ROLE_OPERATOR)
                return self._write(path, environ["wsgi.input"].read(), actor)
        raise RecordMissingError(f"nothing at {method} {path}")

    def _ready(self) -> Page:
        ready = self._controller.ready()
        return Page(b"ready\n" if ready else b"not ready\n", 200 if ready else 503, TEXT_TYPE)

    def _read(self, path: str, query: str) -> Page:
        route = self._routes.get(path)
        if route is not None and route.kind is None:
            return Page(msgspec.json.encode(route.answer()))
        if path == PATH_STATUS:
            return Page(msgspec.json.encode(self._controller.status()))
        if path == PATH_RECORDS:
            kind = query.removeprefix("kind=")
            return Page(msgspec.json.encode(self._controller.records(kind)))
        if path.startswith(PATH_RECORDS):
            key = path.removeprefix(f"{PATH_RECORDS}/")
            return Page(msgspec.json.encode(self._controller.record(key)))
        raise RecordMissingError(f"nothing at {path}")

    def _write(self, path: str, body: bytes, actor: str) -> Page:
        route = self._routes.get(path)
        if route is not None and route.kind is not None:
            asked: Any = _decode_body(body, route.kind)
            return Page(msgspec.json.encode(route.answer(asked, actor)))
        order = _decode_body(body, ChangeOrder)
        if path == PATH_CHANGES:
            return Page(msgspec.json.encode(self._controller.change(order, actor)))
        if path == PATH_VALIDATE:
            self._controller.validate(order)
            return Page(b"{}")
        raise RecordMissingError(f"nothing at {path}")

    def _authorize(self, environ: dict[str, Any], role: str = "") -> str:
        """Return the name of the operator; raise UnauthorizedError."""
        if not self._tokens:
            return ANONYMOUS
        given = environ.get("HTTP_AUTHORIZATION", "").removeprefix(BEARER)
        digest = hashlib.sha256(given.encode()).hexdigest()
        found = [tok for tok in self._tokens if hmac.compare_digest(tok.sha256, digest)]
        if not found or role not in ("", found[0].role):
            raise UnauthorizedError("a bearer token with a sufficient role is needed")
        return found[0].name


def _decode_body(body: bytes, kind: type[T]) -> T:
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.MsgspecError as exc:
        raise RecordsError((Fault("change-malformed", "$", str(exc)),)) from exc
