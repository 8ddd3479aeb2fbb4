"""Serve callers' calls about tasks over HTTP."""

from collections.abc import Iterable
from dataclasses import replace
from typing import Any, Protocol
from urllib.parse import parse_qs

import msgspec

from gypsumplank.errors import (
    GypsumplankError,
    RequestInvalidError,
    StateUnknownError,
    TaskMissingError,
)
from gypsumplank.protocol.exchange import Outcome
from gypsumplank.protocol.problem import MEDIA_TYPE, encode_problem, from_error
from gypsumplank.protocol.task import Task, TaskOrder
from gypsumplank.transport.caller import PHRASES
from gypsumplank.transport.listener import Application, StartResponse

PATH_TASKS = "/-/tasks"
JSON_TYPE = "application/json"
MAX_WAIT_MS = 30_000
STATUS_ACCEPTED = 202
STATUS_OK = 200


class TaskDesk(Protocol):
    """Serve calls about tasks; each may raise GypsumplankError."""

    def submit(self, order: TaskOrder, key: str = "") -> Task:
        """Queue a task."""

    def get(self, task_id: str, wait_s: float = 0.0) -> Task:
        """Return a task, after waiting for its end."""

    def team(self, team: str, after: str = "") -> list[Task]:
        """Return a page of a team's tasks."""

    def cancel(self, task_id: str) -> Task:
        """Cancel a task."""


class TaskApp:
    """Answer what is under /-/tasks and pass everything else on."""

    def __init__(self, desk: TaskDesk, others: Application) -> None:
        self._desk = desk
        self._others = others

    def __call__(self, environ: dict[str, Any], start: StartResponse) -> Iterable[bytes]:
        """Answer one HTTP request."""
        if not environ["PATH_INFO"].startswith(PATH_TASKS):
            return self._others(environ, start)
        try:
            status, value = self._answer(environ)
            body, media_type = msgspec.json.encode(value), JSON_TYPE
        except GypsumplankError as exc:
            unknown = isinstance(exc, StateUnknownError)
            outcome = Outcome.UNKNOWN if unknown else Outcome.NOT_RUN
            problem = replace(from_error(exc), outcome=outcome.value)
            status, body, media_type = exc.status, encode_problem(problem), MEDIA_TYPE
        start(PHRASES[status], [("Content-Type", media_type), ("Content-Length", str(len(body)))])
        return (body,)

    def _answer(self, environ: dict[str, Any]) -> tuple[int, Any]:
        method = environ["REQUEST_METHOD"]
        name = environ["PATH_INFO"].removeprefix(PATH_TASKS).strip("/")
        query = {key: values[0] for key, values in parse_qs(environ["QUERY_STRING"]).items()}
        team = environ.get("HTTP_X_TEAM", "")
        match method, bool(name):
            case "POST", False:
                key = environ.get("HTTP_IDEMPOTENCY_KEY", "")
                return STATUS_ACCEPTED, self._submit(environ["wsgi.input"].read(), team, key)
            case "GET", False:
                return STATUS_OK, self._desk.team(team, query.get("after", ""))
            case "GET", True:
                return STATUS_OK, self._desk.get(name, _wait_s(query))
            case "DELETE", True:
                return STATUS_OK, self._desk.cancel(name)
        raise TaskMissingError(f"nothing at {method} {environ['PATH_INFO']}")

    def _submit(self, body: bytes, team: str, key: str) -> Task:
        try:
            order = msgspec.json.decode(body, type=TaskOrder)
        except msgspec.MsgspecError as exc:
            raise RequestInvalidError(str(exc)) from exc
        return self._desk.submit(replace(order, team=team), key)


def _wait_s(query: dict[str, str]) -> float:
    raw = query.get("wait_ms", "0")
    if not raw.isascii() or not raw.isdigit() or int(raw) > MAX_WAIT_MS:
        raise RequestInvalidError(f"wait_ms must be 0 to {MAX_WAIT_MS}")
    return int(raw) / 1000
