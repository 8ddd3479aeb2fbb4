"""Serve operators over HTTP."""

import hashlib
import hmac
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any, Protocol, TypeVar
from urllib.parse import parse_qs

import msgspec

from gypsumplank.errors import (
    Fault,
    ForbiddenError,
    GypsumplankError,
    RecordMissingError,
    RecordsError,
    RequestInvalidError,
    UnauthorizedError,
)
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
    ChangeOrder,
    ChangeReceipt,
    HistoryEntry,
    RecordList,
    RollbackOrder,
    RolloutStatus,
    Status,
)
from gypsumplank.protocol.problem import MEDIA_TYPE, encode_problem, from_error
from gypsumplank.protocol.record import NEWEST_SCHEMA, Record
from gypsumplank.settings import Token
from gypsumplank.transport.caller import PHRASES
from gypsumplank.transport.listener import StartResponse

JSON_TYPE = "application/json"
TEXT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
BEARER = "Bearer "
ROLE_OPERATOR = "operator"
ANONYMOUS = "anonymous"
HISTORY_LIMIT = 20

T = TypeVar("T")


class Controller(Protocol):
    """Carry out what operators ask; each call may raise GypsumplankError."""

    def ready(self) -> bool:
        """Tell whether callers may be sent here."""

    def change(self, order: ChangeOrder, actor: str) -> ChangeReceipt:
        """Accept a change."""

    def validate(self, order: ChangeOrder) -> None:
        """Check a change."""

    def rollback(self, order: RollbackOrder, actor: str) -> ChangeReceipt:
        """Accept a new revision with the records of an older one."""

    def history(self, limit: int) -> tuple[HistoryEntry, ...]:
        """Return the newest accepted changes."""

    def rollout(self, revision: int) -> RolloutStatus:
        """Tell which daemons have a revision in force."""

    def records(self, kind: str = "", schema: int = NEWEST_SCHEMA) -> RecordList:
        """List records."""

    def record(self, key: str, schema: int = NEWEST_SCHEMA) -> Record:
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
            return _json(route.answer())
        asked = parse_qs(query)
        if path == PATH_STATUS:
            return _json(self._controller.status())
        if path == PATH_HISTORY:
            return _json(self._controller.history(_number(asked, "limit", HISTORY_LIMIT)))
        if path == PATH_ROLLOUT:
            return _json(self._controller.rollout(_number(asked, "revision", 0)))
        schema = _number(asked, "schema", NEWEST_SCHEMA)
        if path == PATH_RECORDS:
            return _json(self._controller.records(asked.get("kind", [""])[0], schema))
        if path.startswith(f"{PATH_RECORDS}/"):
            key = path.removeprefix(f"{PATH_RECORDS}/")
            return _json(self._controller.record(key, schema))
        raise RecordMissingError(f"nothing at {path}")

    def _write(self, path: str, body: bytes, actor: str) -> Page:
        route = self._routes.get(path)
        if route is not None and route.kind is not None:
            asked: Any = _decode(body, route.kind)
            return _json(route.answer(asked, actor))
        if path == PATH_CHANGES:
            return _json(self._controller.change(_decode(body, ChangeOrder), actor))
        if path == PATH_ROLLBACK:
            return _json(self._controller.rollback(_decode(body, RollbackOrder), actor))
        if path == PATH_VALIDATE:
            self._controller.validate(_decode(body, ChangeOrder))
            return Page(b"{}")
        raise RecordMissingError(f"nothing at {path}")

    def _authorize(self, environ: dict[str, Any], role: str = "") -> str:
        """Return the name of the operator; raise UnauthorizedError."""
        if not self._tokens:
            return ANONYMOUS
        given = environ.get("HTTP_AUTHORIZATION", "").removeprefix(BEARER)
        digest = hashlib.sha256(given.encode()).hexdigest()
        found = [tok for tok in self._tokens if hmac.compare_digest(tok.sha256.lower(), digest)]
        if not found:
            raise UnauthorizedError("a bearer token is needed")
        if role not in ("", found[0].role):
            raise ForbiddenError(f"this needs a token with the role {role!r}")
        return found[0].name


def _json(value: Any) -> Page:
    return Page(msgspec.json.encode(value))


def _number(asked: Mapping[str, Sequence[str]], name: str, default: int) -> int:
    try:
        return int(asked.get(name, [str(default)])[0])
    except ValueError as exc:
        raise RequestInvalidError(f"{name} is not a whole number") from exc


def _decode(body: bytes, kind: type[T]) -> T:
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.MsgspecError as exc:
        raise RecordsError((Fault("change-malformed", "$", str(exc)),)) from exc
