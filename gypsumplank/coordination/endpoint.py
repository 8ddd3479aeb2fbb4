"""Define the client interface to endpoints, with an in-memory implementation."""

from collections.abc import Callable
from typing import Protocol

from gypsumplank.protocol.exchange import EndpointResponse, Request


class EndpointClient(Protocol):
    """Send a request to one endpoint."""

    def send(self, address: str, req: Request, timeout_s: float) -> EndpointResponse:
        """Return the endpoint's complete response; raise EndpointError."""


class MemoryEndpointClient:
    """Respond from a function and record the requests in `sent`."""

    def __init__(self, answer: Callable[[str, Request], EndpointResponse]) -> None:
        self._answer = answer
        self.sent: list[tuple[str, Request]] = []

    def send(self, address: str, req: Request, timeout_s: float) -> EndpointResponse:
        """Return the function's response."""
        self.sent.append((address, req))
        return self._answer(address, req)
