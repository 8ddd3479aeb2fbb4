"""Refuse requests to hosts that left, and count what is in flight at each."""

import threading
from collections import Counter
from collections.abc import Callable, Mapping

from gypsumplank.coordination.endpoint import EndpointClient
from gypsumplank.errors import EndpointConnectError, EndpointLeavingError
from gypsumplank.protocol.exchange import Answer, Request
from gypsumplank.protocol.spec import AssignmentState
from gypsumplank.state.view import View

Evidence = Callable[[str, bool], None]


class HostUsage:
    """Send only to hosts that serve in the view in force.

    A request is counted before the view is read. So a daemon whose count is zero after a revision
    came into force sends nothing more to the hosts that this revision took out.
    """

    def __init__(
        self,
        endpoints: EndpointClient,
        view: Callable[[], View],
        isolated: Callable[[], bool],
        evidence: Evidence,
    ) -> None:
        self._endpoints = endpoints
        self._view = view
        self._isolated = isolated
        self._evidence = evidence
        self._lock = threading.Lock()
        self._in_flight: Counter[str] = Counter()
        self._names: tuple[View, dict[str, str]] = (View(), {})

    def send(self, address: str, req: Request, timeout_s: float) -> Answer:
        """Return the endpoint's whole answer; raise EndpointError."""
        host = self.enter(address, req)
        try:
            return self._send(host, address, req, timeout_s)
        finally:
            self.leave(address)

    def enter(self, address: str, req: Request) -> str:
        """Count a request at an address and return its host; raise EndpointLeavingError."""
        self._count(address, 1)
        try:
            return self._admit(address, req)
        except EndpointLeavingError:
            self.leave(address)
            raise

    def leave(self, address: str) -> None:
        """Count a request at an address as done."""
        self._count(address, -1)

    def leaving(self) -> Mapping[str, int]:
        """Return the requests in flight at each host that does not serve."""
        view = self._view()
        with self._lock:
            busy = dict(self._in_flight)
        serving = AssignmentState.SERVING
        return {
            name: busy[spec.address]
            for name, spec in view.hosts.items()
            if busy.get(spec.address) and view.assignment(name).state is not serving
        }

    def _send(self, host: str, address: str, req: Request, timeout_s: float) -> Answer:
        try:
            answer = self._endpoints.send(address, req, timeout_s)
        except EndpointConnectError:
            self._evidence(host, False)
            raise
        self._evidence(host, True)
        return answer

    def _count(self, address: str, change: int) -> None:
        with self._lock:
            self._in_flight[address] += change
            if not self._in_flight[address]:
                del self._in_flight[address]

    def _admit(self, address: str, req: Request) -> str:
        """Return the host at an address; raise EndpointLeavingError where it is not to be used."""
        if self._isolated():
            raise EndpointLeavingError("this daemon reaches neither the platform nor its peers")
        view = self._view()
        host = self._host_at(view, address)
        if host is None:
            raise EndpointLeavingError(f"no host at {address}")
        held, service = view.assignment(host), view.services.get(req.service)
        if held.state is not AssignmentState.SERVING:
            raise EndpointLeavingError(f"host {host!r} is {held.state.value}")
        if service is None or held.pool != (req.pool or service.pool):
            raise EndpointLeavingError(f"host {host!r} is in pool {held.pool!r}")
        return host

    def _host_at(self, view: View, address: str) -> str | None:
        known, names = self._names
        if known is not view:
            names = {spec.address: name for name, spec in view.hosts.items()}
            self._names = (view, names)
        return names.get(address)
