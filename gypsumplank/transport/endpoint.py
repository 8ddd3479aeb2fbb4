"""Send requests to endpoints over HTTP."""

import threading

import urllib3
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    IncompleteRead,
    InvalidHeader,
    NewConnectionError,
    ProtocolError,
    ReadTimeoutError,
)

from gypsumplank.errors import (
    EndpointAnswerError,
    EndpointConnectError,
    EndpointError,
    EndpointResetError,
    EndpointTimeoutError,
)
from gypsumplank.protocol.exchange import HEADER_REQUEST_ID, Answer, Request
from gypsumplank.protocol.header import end_to_end


class HttpEndpointClient:
    """Keep a pool of connections to each endpoint; a failed one is never used again."""

    def __init__(self, connections: int, connect_timeout_s: float) -> None:
        self._connections = connections
        self._connect_timeout_s = connect_timeout_s
        self._lock = threading.Lock()
        self._pools: dict[str, urllib3.HTTPConnectionPool] = {}

    def send(self, address: str, req: Request, timeout_s: float) -> Answer:
        """Return the endpoint's whole answer; raise EndpointError."""
        pool = self._pools.get(address) or self._open(address)
        connect_s = min(self._connect_timeout_s, timeout_s)
        try:
            resp = pool.urlopen(
                req.method,
                req.target,
                body=req.body,
                headers={**req.headers, HEADER_REQUEST_ID: req.id},
                retries=False,
                redirect=False,
                assert_same_host=False,
                timeout=urllib3.Timeout(connect=connect_s, read=timeout_s),
                decode_content=False,
            )
        except HTTPError as exc:
            raise _error_of(exc) from exc
        _check_identity(resp, req)
        headers = end_to_end(tuple(resp.headers.items()))
        return Answer(resp.status, headers, resp.data)

    def close(self) -> None:
        """Close all idle connections."""
        for pool in self._pools.values():
            pool.close()

    def _open(self, address: str) -> urllib3.HTTPConnectionPool:
        with self._lock:
            if address not in self._pools:
                host, _, port = address.rpartition(":")
                self._pools[address] = urllib3.HTTPConnectionPool(
                    host, int(port), maxsize=self._connections
                )
            return self._pools[address]


def _check_identity(resp: urllib3.BaseHTTPResponse, req: Request) -> None:
    echoed = resp.headers.get(HEADER_REQUEST_ID, req.id)
    if echoed != req.id:
        raise EndpointAnswerError(f"the answer belongs to request {echoed!r}")


def _error_of(exc: HTTPError) -> EndpointError:
    match exc:
        case NewConnectionError() | ConnectTimeoutError():
            return EndpointConnectError(str(exc))
        case ReadTimeoutError():
            return EndpointTimeoutError(str(exc))
        case ProtocolError(args=(_, IncompleteRead())):
            return EndpointAnswerError(str(exc))
        case IncompleteRead() | InvalidHeader():
            return EndpointAnswerError(str(exc))
        case _:
            return EndpointResetError(str(exc))
