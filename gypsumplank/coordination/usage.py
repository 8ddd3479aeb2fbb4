"""Refuse requests to hosts not in service and count the requests in flight at each."""

import threading
from collections import Counter
from collections.abc import Callable, Mapping

from gypsumplank.coordination.endpoint import EndpointClient
from gypsumplank.errors import EndpointConnectError, EndpointLeavingError
from gypsumplank.protocol.exchange import EndpointResponse, Request
from gypsumplank.protocol.spec import AssignmentState
from gypsumplank.state.view import View

# Called with a host and whether it responded; errors after connecting are not reported.
TrafficObserver = Callable[[str, bool], None]


class ServingHostClient:
    """Send only to hosts that are serving in the current view.

    A request is counted before the view is read. Hence, once a revision is in force and the
    count of a host that it took out of service is zero, this daemon sends that host nothing more.
    """

    def __init__(
        self,
        endpoints: EndpointClient,
        view: Callable[[], View],
        is_isolated: Callable[[], bool],
        observer: TrafficObserver,
    ) -> None:
        self._endpoints = endpoints
        self._view = view
        self._is_isolated = is_isolated
        self._observer = observer
        self._lock = threading.Lock()
        self._in_flight: Counter[str] = Counter()
        self._hosts_by_address: tuple[View, dict[str, str]] = (View(), {})

    def send(self, address: str, req: Request, timeout_s: float) -> EndpointResponse:
        """Return the endpoint's complete response; raise EndpointError."""
        host = self.begin_request(address, req)
        try:
            return self._send(host, address, req, timeout_s)
        finally:
            self.end_request(address)

    def begin_request(self, address: str, req: Request) -> str:
        """Count a request at an address and return its host; raise EndpointLeavingError."""
        self._adjust_in_flight(address, 1)
        try:
            return self._check_host(address, req)
        except EndpointLeavingError:
            self.end_request(address)
            raise

    def end_request(self, address: str) -> None:
        """Remove a finished request at an address from the count."""
        self._adjust_in_flight(address, -1)

    def in_flight_at_leaving_hosts(self) -> Mapping[str, int]:
        """Return the number of requests in flight at each host that is not serving."""
        view = self._view()
        with self._lock:
            in_flight = dict(self._in_flight)
        serving = AssignmentState.SERVING
        return {
            name: in_flight[spec.address]
            for name, spec in view.hosts.items()
            if in_flight.get(spec.address) and view.assignment(name).state is not serving
        }

    def _send(self, host: str, address: str, req: Request, timeout_s: float) -> EndpointResponse:
        try:
            response = self._endpoints.send(address, req, timeout_s)
        except EndpointConnectError:
            self._observer(host, False)
            raise
        self._observer(host, True)
        return response

    def _adjust_in_flight(self, address: str, delta: int) -> None:
        with self._lock:
            self._in_flight[address] += delta
            if not self._in_flight[address]:
                del self._in_flight[address]

    def _check_host(self, address: str, req: Request) -> str:
        """Return the host at an address; raise EndpointLeavingError if it must not be used."""
        if self._is_isolated():
            raise EndpointLeavingError("this daemon is isolated from the platform and its peers")
        view = self._view()
        host = self._host_at(view, address)
        if host is None:
            raise EndpointLeavingError(f"no host has address {address}")
        assignment, service = view.assignment(host), view.services.get(req.service)
        if assignment.state is not AssignmentState.SERVING:
            raise EndpointLeavingError(f"host {host!r} is {assignment.state.value}")
        if service is None or assignment.pool != (req.pool or service.pool):
            raise EndpointLeavingError(f"host {host!r} is in pool {assignment.pool!r}")
        return host

    def _host_at(self, view: View, address: str) -> str | None:
        cached_view, hosts_by_address = self._hosts_by_address
        if cached_view is not view:
            hosts_by_address = {spec.address: name for name, spec in view.hosts.items()}
            self._hosts_by_address = (view, hosts_by_address)
        return hosts_by_address.get(address)
