"""Keep requests out of waitress's threads until admission control grants them a slot."""

from collections.abc import Callable, Mapping
from typing import Any, Protocol

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
from gypsumplank.state.clock import steady_s
from gypsumplank.transport.channel import BoundedChannel
from gypsumplank.transport.listener import ClosingDispatcher

ENVIRON_TICKET = "gypsumplank.ticket"
ENVIRON_REFUSAL = "gypsumplank.refusal"

GetServices = Callable[[], Mapping[str, ServiceSpec]]


class AdmissionControl(Protocol):
    """Decide when a ticket's request may start."""

    def submit(self, ticket: Ticket) -> None:
        """Grant or refuse a ticket now, or queue it and decide later."""

    def cancel(self, ticket: Ticket) -> bool:
        """Remove a ticket from the queue; return whether it was still waiting."""

    def release(self, ticket: Ticket) -> None:
        """Release the slot of a granted ticket."""


class QueuedTask(WSGITask):
    """Pass the ticket and any refusal to the WSGI application."""

    def get_environment(self) -> dict[str, Any]:
        """Return the WSGI environ with the ticket and refusal."""
        environ: dict[str, Any] = super().get_environment()
        environ[ENVIRON_TICKET] = self.channel.ticket
        environ[ENVIRON_REFUSAL] = self.channel.refusal
        return environ


class QueuedChannel(BoundedChannel):
    """Withdraw the queued request as soon as the caller disconnects."""

    task_class = QueuedTask
    requests: list[HTTPRequestParser]
    ticket: Ticket | None = None
    refusal: Refusal | None = None
    withdraw_ticket: Callable[[Ticket], bool] | None = None

    def handle_close(self) -> None:
        """Close the connection and drop its waiting request."""
        super().handle_close()
        self.drop_waiting_request()

    def drop_waiting_request(self) -> None:
        """Drop the request that waits for a slot, if there is one."""
        if (
            self.ticket is not None
            and self.withdraw_ticket is not None
            and self.withdraw_ticket(self.ticket)
        ):
            with self.requests_lock:
                for request in self.requests:
                    request.close()
                self.requests = []
            self.settle()


class GrantedRequest:
    """Run one granted request in a thread and release its slot."""

    def __init__(self, channel: QueuedChannel, ticket: Ticket, admission: AdmissionControl) -> None:
        self._channel = channel
        self._ticket = ticket
        self._admission = admission

    @property
    def is_pipelined(self) -> bool:
        """Return whether the request was sent before the one ahead of it was answered."""
        return self._channel.is_pipelined

    def service(self) -> None:
        """Run the request unless its caller has disconnected."""
        try:
            self._channel.service()
        finally:
            self._admission.release(self._ticket)

    def cancel(self) -> None:
        """Drop the request and release its slot."""
        self._channel.cancel()
        self._admission.release(self._ticket)


class QueueingDispatcher(ClosingDispatcher):
    """Pass a request to a thread when it is granted a slot or refused."""

    channel_class = QueuedChannel

    def __init__(self, threads: int, admission: AdmissionControl, services: GetServices) -> None:
        super().__init__(threads)
        self._admission = admission
        self._services = services

    def add_task(self, task: QueuedChannel) -> None:
        """Request a slot for the oldest request of a connection."""
        if self.closing:
            self.set_connection_close(task)
        channel = task

        def on_decision(ticket: Ticket, refusal: Refusal | None) -> None:
            channel.refusal = refusal
            self.dispatch(channel if refusal else GrantedRequest(channel, ticket, self._admission))

        channel.refusal = None
        channel.ticket = ticket = parse_ticket(channel.requests[0], self._services(), on_decision)
        if ticket is None:
            self.dispatch(channel)
            return
        channel.withdraw_ticket = self._admission.cancel
        self._admission.submit(ticket)
        if not channel.connected:
            channel.drop_waiting_request()


def parse_ticket(
    request: HTTPRequestParser,
    services: Mapping[str, ServiceSpec],
    on_decision: Callable[[Ticket, Refusal | None], None],
) -> Ticket | None:
    """Return a request's ticket, or None if it is malformed or its service is unknown."""
    if request.error:
        return None
    service = request.path.lstrip("/").split("/", 1)[0]
    spec = services.get(service)
    if spec is None:
        return None
    arrived = steady_s()
    headers = {
        name: request.headers[key]
        for name in (HEADER_TIMEOUT_MS, HEADER_TEAM, HEADER_PRIORITY)
        if (key := name.upper().replace("-", "_")) in request.headers
    }
    try:
        timeout_s = parse_timeout_s(headers, spec.timeout_ms)
    except RequestInvalidError:
        return None
    urgency = parse_urgency(headers.get(HEADER_PRIORITY, ""))
    team = headers.get(HEADER_TEAM, "")
    return Ticket(service, team, urgency, arrived, arrived + timeout_s, on_decision)
