"""Compare the responses that callers got with the requests that endpoints executed."""

import threading
from collections import Counter
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass

from standins.workers import ExecutedRequest

FIRST_SERVER_ERROR_STATUS = 500
IDEMPOTENT_METHODS = frozenset({"GET", "PUT"})


@dataclass(frozen=True)
class CallRecord:
    """Record one call and its response; `outcome` is empty if no valid response arrived.

    `expected_body` is what the endpoint echoes: the request body, or the path if it is empty.
    """

    id: str
    method: str
    idempotency_key: str
    expected_body: bytes
    status: int
    outcome: str
    response_body: bytes
    daemon: str


@dataclass(frozen=True)
class Breach:
    """Describe one violated guarantee, which is printed as BREACH."""

    guarantee: str
    detail: str


class CallLog:
    """Collect the calls of all caller threads."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self.calls: list[CallRecord] = []

    def add(self, call: CallRecord) -> None:
        """Append one call; safe to use from several threads."""
        with self._lock:
            self.calls.append(call)


def check_responses(calls: Iterable[CallRecord]) -> Iterator[Breach]:
    """Yield successful responses that are incomplete or belong to another request."""
    for call in calls:
        succeeded = call.outcome == "finished" and call.status < FIRST_SERVER_ERROR_STATUS
        if succeeded and call.response_body != call.expected_body:
            yield Breach(
                "whole and own answer",
                f"{call.id} sent {call.expected_body!r}, got {call.response_body!r}",
            )


def check_not_run(
    calls: Iterable[CallRecord], executed: Sequence[ExecutedRequest]
) -> Iterator[Breach]:
    """Yield requests that were executed although the response said `not-run`."""
    executed_ids = {request.id for request in executed}
    for call in calls:
        if call.outcome == "not-run" and call.id in executed_ids:
            yield Breach("told not run", f"{call.id} ran; {call.daemon} said status {call.status}")


def check_at_most_once(
    calls: Iterable[CallRecord], executed: Sequence[ExecutedRequest]
) -> Iterator[Breach]:
    """Yield request ids and idempotency keys that were executed more than once.

    Ids count only for methods that are not idempotent.
    """
    non_idempotent = {call.id for call in calls if call.method not in IDEMPOTENT_METHODS}
    by_id = Counter(request.id for request in executed if request.id in non_idempotent)
    by_key = Counter(request.key for request in executed if request.key)
    for name, count in (*by_id.items(), *by_key.items()):
        if count > 1:
            yield Breach("at most once", f"{name} ran {count} times")


def check_revisions(observed: Iterable[tuple[str, int]]) -> Iterator[Breach]:
    """Yield daemons whose revision in force decreased.

    `observed` is in order of time; each boot of a daemon has a name of its own.
    """
    last_revision: dict[str, int] = {}
    for name, revision in observed:
        if revision < last_revision.get(name, 0):
            yield Breach("never reverts", f"{name} went from {last_revision[name]} to {revision}")
        last_revision[name] = revision


def check_all(
    calls: Sequence[CallRecord],
    executed: Sequence[ExecutedRequest],
    observed: Sequence[tuple[str, int]],
) -> list[Breach]:
    """Return the breaches found by all checks."""
    return [
        *check_responses(calls),
        *check_not_run(calls, executed),
        *check_at_most_once(calls, executed),
        *check_revisions(observed),
    ]
