"""Send requests to endpoints over HTTP."""

import threading
from typing import cast

import urllib3
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    LocationValueError,
    NewConnectionError,
    ProtocolError,
    ReadTimeoutError,
)
from urllib3.response import BaseHTTPResponse

from gypsumplank.errors import (
    EndpointAnswerError,
    EndpointConnectError,
    EndpointError,
    EndpointResetError,
    EndpointTimeoutError,
    EndpointUnsentError,
    GypsumplankError,
    RequestInvalidError,
)
from gypsumplank.protocol.exchange import HEADER_REQUEST_ID, EndpointResponse, Request
from gypsumplank.protocol.header import drop_hop_by_hop
from gypsumplank.transport.connection import DeadlineConnection, UnsentError

METHOD_HEAD = "HEAD"
BODILESS_STATUSES = frozenset({204, 304})


class DeadlinePool(urllib3.HTTPConnectionPool):
    """Pool connections that apply one deadline to each exchange."""

    ConnectionCls = DeadlineConnection


class HttpEndpointClient:
    """Pool connections to each endpoint; never reuse a connection after a failure."""

    def __init__(self, connections: int, connect_timeout_s: float) -> None:
        self._connections = connections
        self._connect_timeout_s = connect_timeout_s
        self._lock = threading.Lock()
        self._pools: dict[str, DeadlinePool] = {}

    def send(self, address: str, req: Request, timeout_s: float) -> EndpointResponse:
        """Send a request and return the complete response within the timeout, in seconds.

        Raise EndpointError, or RequestInvalidError if nothing was sent.
        """
        pool = self._pools.get(address) or self._create_pool(address)
        try:
            return _send_request(pool, req, timeout_s)
        except GypsumplankError:
            raise
        except LocationValueError as exc:
            raise RequestInvalidError(str(exc)) from exc
        except HTTPError as exc:
            raise _to_endpoint_error(exc) from exc
        except Exception as exc:
            raise EndpointResetError(f"{type(exc).__name__}: {exc}") from exc

    def close(self) -> None:
        """Close all idle connections."""
        for pool in self._pools.values():
            pool.close()

    def _create_pool(self, address: str) -> DeadlinePool:
        with self._lock:
            if address not in self._pools:
                host, _, port = address.rpartition(":")
                self._pools[address] = DeadlinePool(
                    host,
                    int(port),
                    maxsize=self._connections,
                    connect_timeout_s=self._connect_timeout_s,
                )
            return self._pools[address]


def _send_request(pool: DeadlinePool, req: Request, timeout_s: float) -> EndpointResponse:
    resp = pool.urlopen(
        req.method,
        req.target,
        body=req.body or None,
        headers={**req.headers, HEADER_REQUEST_ID: req.id},
        retries=False,
        redirect=False,
        assert_same_host=False,
        timeout=urllib3.Timeout(total=timeout_s),
        preload_content=False,
        decode_content=False,
    )
    conn = cast(DeadlineConnection, resp.connection)
    try:
        _check_request_id(resp, req)
        _check_framing(cast(urllib3.HTTPResponse, resp), req)
    except EndpointAnswerError:
        conn.close()
        resp.release_conn()
        raise
    response_socket = conn.response_socket
    body = resp.read(decode_content=False)
    if response_socket is None or response_socket.has_trailing_data:
        raise EndpointAnswerError("data follows the end of the response")
    return EndpointResponse(resp.status, drop_hop_by_hop(tuple(resp.headers.items())), body)


def _check_request_id(resp: BaseHTTPResponse, req: Request) -> None:
    echoed_id = resp.headers.get(HEADER_REQUEST_ID, req.id)
    if echoed_id != req.id:
        raise EndpointAnswerError(f"the response is for request {echoed_id!r}")


def _check_framing(resp: urllib3.HTTPResponse, req: Request) -> None:
    """Reject a body delimited by the connection's close: truncation could not be detected."""
    bodiless = req.method == METHOD_HEAD or resp.status in BODILESS_STATUSES
    if not bodiless and not resp.chunked and resp.length_remaining is None:
        raise EndpointAnswerError("the response has neither a length nor chunked encoding")


def _to_endpoint_error(exc: HTTPError) -> EndpointError:
    match exc:
        case NewConnectionError() | ConnectTimeoutError():
            return EndpointConnectError(str(exc))
        case ProtocolError(args=(_, UnsentError())):
            return EndpointUnsentError(str(exc))
        case ReadTimeoutError() | ProtocolError(args=(_, TimeoutError())):
            return EndpointTimeoutError(str(exc))
        case ProtocolError(args=(_, OSError())):
            return EndpointResetError(str(exc))
        case _:
            return EndpointAnswerError(str(exc))
