"""Define the port to endpoints, with an in-memory variant."""

from collections.abc import Callable
from typing import Protocol

from gypsumplank.protocol.exchange import Answer, Request


class EndpointClient(Protocol):
    """Send a request to one endpoint."""

    def send(self, address: str, req: Request, timeout_s: float) -> Answer:
        """Return the endpoint's whole answer; raise EndpointError."""


class MemoryEndpointClient:
    """Answer from a function, and keep what was sent."""

    def __init__(self, answer: Callable[[str, Request], Answer]) -> None:
        self._answer = answer
        self.sent: list[tuple[str, Request]] = []

    def send(self, address: str, req: Request, timeout_s: float) -> Answer:
        """Return what the function answers."""
        self.sent.append((address, req))
        return self._answer(address, req)
