"""Parse requests with limits, and refuse them by their headers before their body is read."""

import json
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from http import HTTPStatus

from waitress.adjustments import Adjustments
from waitress.parser import HTTPRequestParser
from waitress.receiver import ChunkedReceiver, FixedStreamReceiver
from waitress.utilities import Error, RequestEntityTooLarge, RequestHeaderFieldsTooLarge

from gypsumplank.transport.bodybudget import RefusalCause
from gypsumplank.transport.chunked import BoundedChunkedReceiver

PROBLEM_TYPE = "application/problem+json"
RETRY_AFTER_S = 1
# Memory of one request besides its content, of one header field besides its text, bytes.
REQUEST_OVERHEAD_BYTES = 2048
FIELD_OVERHEAD_BYTES = 256
# A BytesIO that grows allocates an eighth more than it holds.
BUFFER_FACTOR = 9 / 8
# A complete request without a body and of this size is accepted however much is held.
SMALL_REQUEST_BYTES = 8192
TIMED_OUT = frozenset({RefusalCause.HEADER_TIME, RefusalCause.BODY_TIME})


@dataclass(frozen=True)
class RequestHead:
    """Store what is known of a request before its body; the names of headers are lower case."""

    method: str
    path: str
    host: str
    headers: Mapping[str, str]


@dataclass(frozen=True)
class HeadRefusal:
    """Store the answer to a request that is refused; its connection is closed."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


HeadCheck = Callable[[RequestHead], HeadRefusal | None]
IsFull = Callable[[], bool]


class RefusedError(Error):
    """Answer a request that is not run, in the place of an error of waitress."""

    def __init__(self, refusal: HeadRefusal, cause: RefusalCause) -> None:
        super().__init__("")
        self.refusal = refusal
        self.cause = cause

    def to_response(self, ident: str | None = None) -> tuple[str, list[tuple[str, str]], bytes]:
        """Return status, headers and body."""
        status = HTTPStatus(self.refusal.status)
        return f"{status.value} {status.phrase}", list(self.refusal.headers), self.refusal.body


def make_refusal(cause: RefusalCause) -> RefusedError:
    """Return the answer to a request that is refused as it is too slow or memory is short."""
    status = HTTPStatus.REQUEST_TIMEOUT if cause in TIMED_OUT else HTTPStatus.SERVICE_UNAVAILABLE
    headers = [("Content-Type", PROBLEM_TYPE)]
    if status is HTTPStatus.SERVICE_UNAVAILABLE:
        headers.append(("Retry-After", str(RETRY_AFTER_S)))
    problem = {"title": status.phrase, "status": status, "code": cause, "outcome": "not-run"}
    refusal = HeadRefusal(status.value, tuple(headers), json.dumps(problem).encode())
    return RefusedError(refusal, cause)


def cause_of(error: Error) -> RefusalCause:
    """Return why a request with an error was refused."""
    if isinstance(error, RefusedError):
        return error.cause
    if isinstance(error, RequestHeaderFieldsTooLarge):
        return RefusalCause.HEADER_SIZE
    if isinstance(error, RequestEntityTooLarge):
        return RefusalCause.BODY_SIZE
    return RefusalCause.MALFORMED


@dataclass(frozen=True)
class HeadPolicy:
    """Store what decides on a request by its headers."""

    is_full: IsFull = field(default=lambda: False)
    head_check: HeadCheck | None = None


class BoundedParser(HTTPRequestParser):
    """Parse one request; the limit of a body is on its content, not on its chunks' headers."""

    def __init__(self, policy: HeadPolicy, adj: Adjustments) -> None:
        super().__init__(adj)
        self.body_rcv: FixedStreamReceiver | ChunkedReceiver | None = None
        self._policy = policy
        self._head_bytes = 0

    # waitress compares this with the limit; it would count the chunks' headers as well.
    @property
    def body_bytes_received(self) -> int:
        """Return the length of the body so far."""
        return len(self.body_rcv) if self.body_rcv is not None else 0

    @body_bytes_received.setter
    def body_bytes_received(self, value: int) -> None:
        """Ignore the count that waitress keeps."""

    @property
    def held_bytes(self) -> int:
        """Return about how much memory this request holds."""
        body = self.body_rcv
        partial = getattr(body, "partial_bytes", 0)
        content = int(len(body) * BUFFER_FACTOR) + partial if body is not None else 0
        return REQUEST_OVERHEAD_BYTES + (self._head_bytes or len(self.header_plus)) + content

    def received(self, data: bytes) -> int:
        """Parse the next bytes; return how many of them belong to this request."""
        in_head = not self.headers_finished
        consumed: int = super().received(data)
        if in_head and self.headers_finished and not self.empty:
            self._finish_head()
        if self.error is None:
            return consumed
        # What follows a refused request is not parsed, since its connection is closed.
        self.refuse(self.error)
        return len(data)

    def parse_header(self, header_plus: bytes) -> None:
        """Parse the headers, and choose the decoder of the body."""
        super().parse_header(header_plus)
        if self.chunked and self.body_rcv is not None:
            limit = self.adj.max_request_body_size
            self.body_rcv = BoundedChunkedReceiver(self.body_rcv.getbuf(), limit)

    def refuse(self, error: Error) -> None:
        """Free what the request holds and let it be answered with an error."""
        self.close()
        self.body_rcv = None
        self.header_plus = b""
        self.error = error
        self.completed = True
        self.expect_continue = False

    def _finish_head(self) -> None:
        self._head_bytes = 2 * self.header_bytes_received + FIELD_OVERHEAD_BYTES * len(self.headers)
        self.header_plus = b""
        if self.error is not None:
            return
        if self.body_rcv is None:
            # Without a body there is nothing to continue with; waitress would wait for more.
            self.expect_continue = False
        small = self.body_rcv is None and self.held_bytes <= SMALL_REQUEST_BYTES
        if not small and self._policy.is_full():
            self.refuse(make_refusal(RefusalCause.MEMORY))
        elif self._policy.head_check is not None:
            refusal = self._policy.head_check(self._head())
            if refusal is not None:
                self.refuse(RefusedError(refusal, RefusalCause.HEAD))

    def _head(self) -> RequestHead:
        headers = {name.replace("_", "-").lower(): value for name, value in self.headers.items()}
        return RequestHead(self.command, self.path, headers.get("host", ""), headers)
