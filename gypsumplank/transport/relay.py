"""Relay table service calls through another daemon while the direct connection fails."""

import logging
import threading
import time
from collections.abc import Callable, Sequence
from typing import Annotated, Any, Protocol, TypeVar

import msgspec
import pynng

from gypsumplank.errors import (
    CallError,
    EntryInvalidError,
    ListenError,
    StateConflictError,
    StateError,
    StateThrottledError,
    StateTooLargeError,
    StateUnavailableError,
    StateUnknownError,
)
from gypsumplank.log import Event, event
from gypsumplank.protocol.decoder import decode_msgpack
from gypsumplank.settings import check_host_address
from gypsumplank.state.partition import Partitions
from gypsumplank.state.table import SCAN_LIMIT, Row, Table, Txn

# Longest wait for the reply to a relayed call, with the other daemon's wait for the table service.
REPLY_TIMEOUT_MS = 700
# Longest wait for a connection to another daemon that can take the request.
SEND_TIMEOUT_MS = 100
# Relayed calls that are executed concurrently.
SERVER_THREADS = 2
# How often an idle server thread checks whether it must stop.
STOP_POLL_INTERVAL_MS = 1000
# Time after a failed direct call in which the relay is tried before the direct connection.
DIRECT_BACKOFF_S = 1.0
# Daemons tried before a call fails; those that know that they are cut off reply at once.
MAX_PEERS_TRIED = 4
RECONNECT_MAX_MS = 500

ERRORS_BY_CODE: dict[str, type[StateError]] = {
    error.code: error
    for error in (
        StateConflictError,
        StateThrottledError,
        StateTooLargeError,
        StateUnavailableError,
        StateUnknownError,
    )
}

T = TypeVar("T")

logger = logging.getLogger(__name__)


ScanLimit = Annotated[int, msgspec.Meta(ge=1, le=SCAN_LIMIT)]


class RelayRequest(msgspec.Struct):
    """Represent a table service call: a commit with `txn`, a get with `key`, else a scan."""

    table: str = ""
    key: str | None = None
    prefix: str = ""
    after: str = ""
    limit: ScanLimit = SCAN_LIMIT
    txn: Txn | None = None


class PartitionRequest(msgspec.Struct, array_like=True):
    """Represent a call to another partition; without `part`, list the partitions of a table.

    It is encoded as an array, so that a daemon of an older build refuses it as malformed instead
    of executing it in its own partition.
    """

    part: str | None
    call: RelayRequest


class RelayReply(msgspec.Struct):
    """Represent the result of a call; `code` is the error's code, empty on success."""

    code: str = ""
    detail: str = ""
    rows: tuple[Row, ...] = ()
    version: int = 0
    names: tuple[str, ...] = ()


class DirectTable(Table, Protocol):
    """Call the table service directly, and tell whether that works."""

    @property
    def is_failing(self) -> bool:
        """Return whether the last call of any thread was not answered, or turned away."""


class RelayServer:
    """Execute table service calls for other daemons, unless they fail here too.

    Raise ListenError if the address is taken.
    """

    def __init__(
        self, table: DirectTable, address: str, partitions: Partitions | None = None
    ) -> None:
        self._table = table
        self._partitions = partitions
        self._socket = pynng.Rep0(recv_timeout=STOP_POLL_INTERVAL_MS)
        try:
            self._socket.listen(f"tcp://{address}")
        except pynng.NNGException as exc:
            self._socket.close()
            raise ListenError(f"peers at {address}: {exc}") from exc
        self._closed = threading.Event()
        self._threads = [
            threading.Thread(target=self._serve, name="relay", daemon=True)
            for _ in range(SERVER_THREADS)
        ]

    def start(self) -> None:
        """Start the server threads."""
        for thread in self._threads:
            thread.start()

    def close(self) -> None:
        """Stop the server threads, which close their contexts, then close the socket."""
        self._closed.set()
        for thread in self._threads:
            thread.join()
        self._socket.close()

    def _serve(self) -> None:
        context = self._socket.new_context()
        while not self._closed.is_set():
            try:
                raw = context.recv()
                context.send(msgspec.msgpack.encode(self._execute(raw)))
            except pynng.Timeout:
                continue
            except pynng.NNGException as exc:
                event(logger, Event.PEER_FAILED, logging.WARNING, detail=str(exc))
        context.close()

    def _execute(self, raw: bytes) -> RelayReply:
        try:
            req = _decode_request(raw)
        except EntryInvalidError as exc:
            event(logger, Event.PEER_DROPPED, logging.WARNING, detail=exc.detail)
            return RelayReply(StateUnavailableError.code, "malformed request")
        if self._table.is_failing:
            return RelayReply(StateUnavailableError.code, "this daemon is cut off too")
        try:
            return self._call(req)
        except StateError as exc:
            return RelayReply(exc.code, exc.detail)
        except Exception as exc:  # noqa: BLE001
            event(logger, Event.PEER_FAILED, logging.ERROR, detail=str(exc))
            call = req.call if isinstance(req, PartitionRequest) else req
            code = StateUnavailableError.code if call.txn is None else StateUnknownError.code
            return RelayReply(code, "the call failed here")

    def _call(self, req: RelayRequest | PartitionRequest) -> RelayReply:
        if isinstance(req, RelayRequest):
            return _call_table(self._table, req)
        if self._partitions is None:
            raise StateUnavailableError("no access to other partitions here")
        if req.part is None:
            return RelayReply(names=tuple(self._partitions.names(req.call.table)))
        return _call_table(self._partitions.in_partition(req.part), req.call)


def _decode_request(raw: bytes) -> RelayRequest | PartitionRequest:
    try:
        return decode_msgpack(raw, RelayRequest)
    except EntryInvalidError:
        return decode_msgpack(raw, PartitionRequest)


def _call_table(table: Table, req: RelayRequest) -> RelayReply:
    if req.txn is not None:
        return RelayReply(version=table.commit(req.txn))
    if req.key is not None:
        row = table.get(req.table, req.key)
        return RelayReply(rows=() if row is None else (row,))
    return RelayReply(rows=tuple(table.scan(req.table, req.prefix, req.after, req.limit)))


class PeerTable:
    """Call the table service through other daemons; implements Table."""

    def __init__(self, peers: Callable[[], Sequence[str]]) -> None:
        self._peers = peers
        self._sockets: dict[str, Any] = {}
        self._lock = threading.Condition()
        self._in_flight = 0
        self._closed = False

    def get(self, table: str, key: str) -> Row | None:
        """Return one row."""
        rows = self.relay(RelayRequest(table, key)).rows
        return rows[0] if rows else None

    def scan(
        self, table: str, prefix: str = "", after: str = "", limit: int = SCAN_LIMIT
    ) -> list[Row]:
        """Return the rows in key order whose keys start with `prefix` and follow `after`."""
        return list(self.relay(RelayRequest(table, None, prefix, after, limit)).rows)

    def commit(self, txn: Txn) -> int:
        """Apply a transaction; return the new version of its rows."""
        return self.relay(RelayRequest(txn=txn)).version

    def relay(self, req: RelayRequest | PartitionRequest) -> RelayReply:
        """Return another daemon's reply; raise its error, or StateUnavailableError."""
        txn = req.call.txn if isinstance(req, PartitionRequest) else req.txn
        raw = msgspec.msgpack.encode(req)
        peers = list(self._peers())
        self._close_gone(peers)
        for address in peers[:MAX_PEERS_TRIED]:
            try:
                reply = self._request(address, raw, txn.timeout_s if txn else None)
            except CallError as exc:
                if txn is not None and exc.sent:
                    raise StateUnknownError(exc.detail) from exc
                continue
            if reply.code == StateUnavailableError.code:
                continue
            if reply.code:
                raise ERRORS_BY_CODE.get(reply.code, StateUnknownError)(reply.detail)
            return reply
        raise StateUnavailableError("no other daemon can reach the table service")

    def _request(self, address: str, raw: bytes, timeout_s: float | None) -> RelayReply:
        socket = self._acquire_socket(address)
        context = socket.new_context()
        if timeout_s is not None:
            context.recv_timeout = min(REPLY_TIMEOUT_MS, max(1, int(timeout_s * 1000)))
        sent = False
        try:
            context.send(raw)
            sent = True
            return decode_msgpack(context.recv(), RelayReply)
        except (pynng.NNGException, EntryInvalidError) as exc:
            raise CallError(f"{address}: {exc}", sent) from exc
        finally:
            context.close()
            with self._lock:
                self._in_flight -= 1
                self._lock.notify_all()

    def _acquire_socket(self, address: str) -> Any:
        with self._lock:
            if self._closed:
                raise CallError("the relay is closed", sent=False)
            if problem := check_host_address(address):
                raise CallError(problem, sent=False)
            if address not in self._sockets:
                self._sockets[address] = pynng.Req0(
                    dial=f"tcp://{address}",
                    block_on_dial=False,
                    send_timeout=SEND_TIMEOUT_MS,
                    recv_timeout=REPLY_TIMEOUT_MS,
                    reconnect_time_max=RECONNECT_MAX_MS,
                    resend_time=-1,
                )
            self._in_flight += 1
            return self._sockets[address]

    def _close_gone(self, peers: Sequence[str]) -> None:
        """Close the connections to daemons that are gone, unless calls are in flight."""
        with self._lock:
            if self._in_flight or self._closed:
                return
            gone = [each for each in self._sockets if each not in peers]
            for address in gone:
                self._sockets.pop(address).close()

    def close(self) -> None:
        """Wait for calls in flight, then close all connections to other daemons."""
        with self._lock:
            self._closed = True
            self._lock.wait_for(lambda: not self._in_flight)
            for socket in self._sockets.values():
                socket.close()


class RelayTable:
    """Call the table service directly or, if that fails, through other daemons; implements Table.

    Other threads' direct calls tell when the direct connection fails, and when it works again.
    """

    def __init__(self, table: DirectTable, peers: PeerTable) -> None:
        self._table = table
        self._peers = peers
        self._direct_failed_at = -DIRECT_BACKOFF_S

    def get(self, table: str, key: str) -> Row | None:
        """Return one row."""
        return self._read(lambda source: source.get(table, key))

    def scan(
        self, table: str, prefix: str = "", after: str = "", limit: int = SCAN_LIMIT
    ) -> list[Row]:
        """Return the rows in key order whose keys start with `prefix` and follow `after`."""
        return self._read(lambda source: source.scan(table, prefix, after, limit))

    def commit(self, txn: Txn) -> int:
        """Apply a transaction; return the new version of its rows."""
        if self._direct_failed_recently():
            try:
                return self._peers.commit(txn)
            except StateUnavailableError:
                return self._table.commit(txn)
        try:
            return self._table.commit(txn)
        except StateUnavailableError:
            self._direct_failed_at = time.monotonic()
            return self._peers.commit(txn)
        except StateUnknownError:
            self._direct_failed_at = time.monotonic()
            raise

    def _read(self, read: Callable[[Table], T]) -> T:
        if self._direct_failed_recently():
            try:
                return read(self._peers)
            except StateError:
                return read(self._table)
        try:
            return read(self._table)
        except StateUnavailableError:
            self._direct_failed_at = time.monotonic()
            return read(self._peers)

    def _direct_failed_recently(self) -> bool:
        backs_off = time.monotonic() - self._direct_failed_at < DIRECT_BACKOFF_S
        return backs_off or self._table.is_failing
