"""Keep waiting requests out of waitress's threads until they are granted a slot."""

import time
from collections.abc import Callable, Mapping
from typing import Any, Protocol

from waitress.channel import HTTPChannel
from waitress.parser import HTTPRequestParser
from waitress.task import WSGITask

from gypsumplank.errors import RequestInvalidError
from gypsumplank.protocol.exchange import (
    HEADER_PRIORITY,
    HEADER_TEAM,
    HEADER_TIMEOUT_MS,
    Refusal,
)
from gypsumplank.protocol.header import parse_timeout_s, parse_urgency
from gypsumplank.protocol.spec import ServiceSpec
from gypsumplank.protocol.ticket import Ticket
from gypsumplank.transport.listener import ClosingDispatcher

ENV_TICKET = "gypsumplank.ticket"
ENV_REFUSAL = "gypsumplank.refusal"

Services = Callable[[], Mapping[str, ServiceSpec]]


class Admitter(Protocol):
    """Decide when a ticket's request may start."""

    def offer(self, ticket: Ticket) -> None:
        """Settle the ticket now or later."""

    def withdraw(self, ticket: Ticket) -> bool:
        """Free the place of a ticket that still waits; return whether it did."""

    def finish(self, ticket: Ticket) -> None:
        """Take a granted ticket back."""


class QueuedTask(WSGITask):
    """Tell the application what the queue decided."""

    def get_environment(self) -> dict[str, Any]:
        """Return the WSGI environment."""
        environ: dict[str, Any] = super().get_environment()
        environ[ENV_TICKET] = self.channel.ticket
        environ[ENV_REFUSAL] = self.channel.refusal
        return environ


class QueuedChannel(HTTPChannel):
    """Give the queue's place back as soon as the caller hangs up."""

    task_class = QueuedTask
    requests: list[HTTPRequestParser]
    ticket: Ticket | None = None
    refusal: Refusal | None = None
    leave: Callable[[Ticket], bool] | None = None

    def handle_close(self) -> None:
        """Close the connection."""
        super().handle_close()
        self.hang_up()

    def hang_up(self) -> None:
        """Drop the request that waits, if there is one."""
        if self.ticket is not None and self.leave is not None and self.leave(self.ticket):
            with self.requests_lock:
                for request in self.requests:
                    request.close()
                self.requests = []


class Job:
    """Run one granted request in a thread and give its slot back."""

    def __init__(self, channel: QueuedChannel, ticket: Ticket, admitter: Admitter) -> None:
        self._channel = channel
        self._ticket = ticket
        self._admitter = admitter

    def service(self) -> None:
        """Run the request, unless its caller has hung up."""
        try:
            self._channel.service()
        finally:
            self._admitter.finish(self._ticket)

    def cancel(self) -> None:
        """Drop the request."""
        self._channel.cancel()
        self._admitter.finish(self._ticket)


class QueueingDispatcher(ClosingDispatcher):
    """Hand a request to a thread once it is granted a slot or refused."""

    channel_class = QueuedChannel

    def __init__(self, threads: int, admitter: Admitter, services: Services) -> None:
        super().__init__(threads)
        self._admitter = admitter
        self._services = services

    def add_task(self, task: QueuedChannel) -> None:
        """Queue the oldest request of a connection."""
        if self.closing:
            self.mark_last(task)
        channel = task

        def settle(ticket: Ticket, refusal: Refusal | None) -> None:
            channel.refusal = refusal
            self.run(channel if refusal else Job(channel, ticket, self._admitter))

        channel.refusal = None
        channel.ticket = ticket = read_ticket(channel.requests[0], self._services(), settle)
        if ticket is None:
            self.run(channel)
            return
        channel.leave = self._admitter.withdraw
        self._admitter.offer(ticket)
        if not channel.connected:
            channel.hang_up()


def read_ticket(
    request: HTTPRequestParser,
    services: Mapping[str, ServiceSpec],
    settle: Callable[[Ticket, Refusal | None], None],
) -> Ticket | None:
    """Return the ticket of a request; None where it has no slot to wait for."""
    if request.error:
        return None
    service = request.path.lstrip("/").split("/", 1)[0]
    spec = services.get(service)
    if spec is None:
        return None
    arrived = time.monotonic()
    fields = {
        name: request.headers[key]
        for name in (HEADER_TIMEOUT_MS, HEADER_TEAM, HEADER_PRIORITY)
        if (key := name.upper().replace("-", "_")) in request.headers
    }
    try:
        timeout_s = parse_timeout_s(fields, spec.timeout_ms)
    except RequestInvalidError:
        return None
    urgency = parse_urgency(fields.get(HEADER_PRIORITY, ""))
    team = fields.get(HEADER_TEAM, "")
    return Ticket(service, team, urgency, arrived, arrived + timeout_s, settle)
