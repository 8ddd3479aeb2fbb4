"""Serve the callers' task API over HTTP."""

from collections.abc import Iterable
from dataclasses import replace
from typing import Any, Protocol
from urllib.parse import parse_qs

import msgspec

from gypsumplank.errors import (
    EntryInvalidError,
    GypsumplankError,
    RequestInvalidError,
    StateUnknownError,
    TaskMissingError,
)
from gypsumplank.protocol.decoder import decode_json
from gypsumplank.protocol.exchange import Outcome
from gypsumplank.protocol.header import parse_count
from gypsumplank.protocol.problem import MEDIA_TYPE, encode_problem, from_error
from gypsumplank.protocol.task import Task, TaskDefinition
from gypsumplank.transport.caller import STATUS_STRINGS
from gypsumplank.transport.listener import Application, StartResponse

PATH_TASKS = "/-/tasks"
JSON_TYPE = "application/json"
MAX_WAIT_MS = 30_000
STATUS_ACCEPTED = 202
STATUS_OK = 200


class TaskService(Protocol):
    """Submit, query and cancel tasks; every method may raise GypsumplankError."""

    def submit(self, order: TaskDefinition, key: str = "") -> Task:
        """Queue a task; `key` is the idempotency key, empty for none."""

    def get(self, task_id: str, wait_s: float = 0.0) -> Task:
        """Return a task; wait up to `wait_s` seconds for its end."""

    def list_team(self, team: str, after: str = "") -> list[Task]:
        """Return a page of a team's tasks, those that follow the id `after`."""

    def cancel(self, task_id: str) -> Task:
        """Cancel a task."""


class TaskApp:
    """Handle requests under /-/tasks and pass all others to another application."""

    def __init__(self, tasks: TaskService, fallback: Application) -> None:
        self._tasks = tasks
        self._fallback = fallback

    def __call__(self, environ: dict[str, Any], start_response: StartResponse) -> Iterable[bytes]:
        """Handle one HTTP request."""
        if not environ["PATH_INFO"].startswith(PATH_TASKS):
            return self._fallback(environ, start_response)
        try:
            status, value = self._handle(environ)
            body, media_type = msgspec.json.encode(value), JSON_TYPE
        except GypsumplankError as exc:
            unknown = isinstance(exc, StateUnknownError)
            outcome = Outcome.UNKNOWN if unknown else Outcome.NOT_RUN
            problem = replace(from_error(exc), outcome=outcome.value)
            status, body, media_type = exc.status, encode_problem(problem), MEDIA_TYPE
        start_response(
            STATUS_STRINGS[status],
            [("Content-Type", media_type), ("Content-Length", str(len(body)))],
        )
        return (body,)

    def _handle(self, environ: dict[str, Any]) -> tuple[int, Any]:
        method = environ["REQUEST_METHOD"]
        task_id = environ["PATH_INFO"].removeprefix(PATH_TASKS).strip("/")
        query = {key: values[0] for key, values in parse_qs(environ["QUERY_STRING"]).items()}
        team = environ.get("HTTP_X_TEAM", "")
        match method, bool(task_id):
            case "POST", False:
                key = environ.get("HTTP_IDEMPOTENCY_KEY", "")
                return STATUS_ACCEPTED, self._submit(environ["wsgi.input"].read(), team, key)
            case "GET", False:
                return STATUS_OK, self._tasks.list_team(team, query.get("after", ""))
            case "GET", True:
                return STATUS_OK, self._tasks.get(task_id, _parse_wait_s(query))
            case "DELETE", True:
                return STATUS_OK, self._tasks.cancel(task_id)
        raise TaskMissingError(f"no resource at {method} {environ['PATH_INFO']}")

    def _submit(self, body: bytes, team: str, key: str) -> Task:
        try:
            order = decode_json(body, TaskDefinition)
        except EntryInvalidError as exc:
            raise RequestInvalidError(exc.detail) from exc
        return self._tasks.submit(replace(order, team=team), key)


def _parse_wait_s(query: dict[str, str]) -> float:
    wait_ms = parse_count(query.get("wait_ms", "0"))
    if wait_ms is None or wait_ms > MAX_WAIT_MS:
        raise RequestInvalidError(f"wait_ms must be 0 to {MAX_WAIT_MS}")
    return wait_ms / 1000
