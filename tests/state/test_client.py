"""Test the table client against an in-memory table and, over HTTP, the platform stand-in."""

import random
import threading

import pytest

from gypsumplank.errors import (
    StateConflictError,
    StateTooLargeError,
    StateUnavailableError,
    StateUnknownError,
)
from gypsumplank.state.breaker import FAILURES_TO_OPEN, OPEN_MAX_S
from gypsumplank.state.client import ClientLimits, TableClient
from gypsumplank.state.clock import ManualClock
from gypsumplank.state.table import MAX_ROW_BYTES, Check, MemoryTable, Txn, Write
from gypsumplank.transport.store import HttpTable, PlatformClient
from standins.platform import Faults, make_platform

HTTP_TIMEOUT_S = 0.2
VALID_TXN = Txn((), (Write("t", "a", b"1"),))
CONFLICTING_TXN = Txn((Check("t", "a", 99),), (Write("t", "a", b"2"),))
TOO_LARGE_TXN = Txn((), (Write("t", "a", b"x" * (MAX_ROW_BYTES + 1)),))


class FaultyMemoryTable(MemoryTable):
    """Inject faults into an in-memory table."""

    fault = ""
    calls = 0

    def set_fault(self, fault):
        self.fault = fault

    def get(self, table, key):
        self._inject_fault()
        return super().get(table, key)

    def commit(self, txn):
        if self.fault != "lost":
            self._inject_fault()
            return super().commit(txn)
        self.calls += 1
        super().commit(txn)
        raise StateUnknownError

    def _inject_fault(self):
        self.calls += 1
        if self.fault not in ("", "lost"):
            raise StateUnknownError if self.fault == "malformed" else StateUnavailableError


class FaultyHttpTable:
    """Inject faults into the platform stand-in."""

    FAULTS = {
        "": Faults(),
        "outage": Faults(outage=True),
        "slow": Faults(delay_s=2 * HTTP_TIMEOUT_S),
        "lost": Faults(lose_answers=1.0),
    }

    def __init__(self):
        self.server, self.platform = make_platform("127.0.0.1:0")
        kwargs = {"poll_interval": 0.01}
        self.thread = threading.Thread(target=self.server.serve_forever, kwargs=kwargs)
        self.thread.start()
        address = f"127.0.0.1:{self.server.server_address[1]}"
        self.client = PlatformClient(address, HTTP_TIMEOUT_S)
        self.table = HttpTable(self.client)
        self.get, self.scan, self.commit = self.table.get, self.table.scan, self.table.commit

    def set_fault(self, fault):
        self.platform.faults = self.FAULTS[fault]

    def close(self):
        self.client.close()
        self.server.shutdown()
        self.server.server_close()
        self.thread.join()


@pytest.fixture(params=["memory", "http"])
def table(request):
    if request.param == "memory":
        yield FaultyMemoryTable()
        return
    http_table = FaultyHttpTable()
    yield http_table
    http_table.close()


def make_client(table, clock=None, **limits):
    clock = clock or ManualClock()
    return TableClient(table, clock, random.Random(1), ClientLimits(**limits), lambda _s: None)


@pytest.mark.parametrize(
    ("fault", "call", "error"),
    [
        ("", lambda client: client.get("t", "a"), None),
        ("", lambda client: client.commit(VALID_TXN), None),
        ("", lambda client: client.commit(CONFLICTING_TXN), StateConflictError),
        ("", lambda client: client.commit(TOO_LARGE_TXN), StateTooLargeError),
        ("outage", lambda client: client.get("t", "a"), StateUnavailableError),
        ("outage", lambda client: client.commit(VALID_TXN), StateUnavailableError),
        ("slow", lambda client: client.get("t", "a"), StateUnavailableError),
        ("lost", lambda client: client.commit(VALID_TXN), StateUnknownError),
        ("lost", lambda client: client.get("t", "a"), None),
    ],
)
def test_each_fault_raises_the_documented_error(table, fault, call, error):
    client = make_client(table)
    table.set_fault(fault)
    if error is None:
        call(client)
        return
    with pytest.raises(error):
        call(client)


def test_refused_commit_writes_nothing_and_lost_response_is_not_retried(table):
    clock = ManualClock()
    client = make_client(table, clock)
    table.set_fault("outage")
    with pytest.raises(StateUnavailableError):
        client.commit(VALID_TXN)
    table.set_fault("")
    clock.advance(OPEN_MAX_S)
    assert client.get("t", "a") is None
    table.set_fault("lost")
    with pytest.raises(StateUnknownError):
        client.commit(VALID_TXN)
    table.set_fault("")
    first = client.get("t", "a")
    assert first is not None
    assert client.commit(Txn((), (Write("t", "b", b"1"),))) == first.version + 1


def test_open_breaker_sends_no_call_until_it_half_opens():
    table, clock = FaultyMemoryTable(), ManualClock()
    client = make_client(table, clock)
    table.set_fault("outage")
    for _ in range(FAILURES_TO_OPEN):
        with pytest.raises(StateUnavailableError):
            client.get("t", "a")
    assert client.breaker_open
    calls = table.calls
    with pytest.raises(StateUnavailableError):
        client.get("t", "a")
    assert table.calls == calls
    table.set_fault("")
    clock.advance(OPEN_MAX_S)
    assert client.get("t", "a") is None
    assert not client.breaker_open


def test_conflict_responses_do_not_open_the_breaker(table):
    client = make_client(table)
    for _ in range(2 * FAILURES_TO_OPEN):
        with pytest.raises(StateConflictError):
            client.commit(CONFLICTING_TXN)
    assert not client.breaker_open


def test_short_outage_is_masked_by_retries():
    table, clock = FaultyMemoryTable(), ManualClock()
    table.set_fault("outage")
    client = TableClient(table, clock, random.Random(1), sleep=lambda _s: table.set_fault(""))
    assert client.get("t", "a") is None
    assert table.calls == 2


def test_retries_stop_at_the_deadline():
    table, clock = FaultyMemoryTable(), ManualClock()
    table.set_fault("outage")
    client = TableClient(table, clock, random.Random(1), ClientLimits(1.0), lambda _s: None)
    table._inject_fault = lambda: clock.advance(0.6) or FaultyMemoryTable._inject_fault(table)
    with pytest.raises(StateUnavailableError):
        client.get("t", "a")
    assert table.calls == 2


def test_full_queue_refuses_immediately():
    started, end = threading.Event(), threading.Event()

    class BlockingTable(MemoryTable):
        def get(self, table, key):
            started.set()
            end.wait(20)
            return super().get(table, key)

    client = make_client(BlockingTable(), max_in_flight=1, max_waiting=0)
    thread = threading.Thread(target=client.get, args=("t", "a"))
    thread.start()
    assert started.wait(20)
    with pytest.raises(StateUnavailableError, match="too many calls"):
        client.get("t", "b")
    end.set()
    thread.join()
    assert client.get("t", "a") is None


def test_unknown_outcome_of_a_probe_allows_another_probe():
    table, clock = FaultyMemoryTable(), ManualClock()
    client = make_client(table, clock)
    table.set_fault("outage")
    for _ in range(FAILURES_TO_OPEN):
        with pytest.raises(StateUnavailableError):
            client.get("t", "a")
    clock.advance(OPEN_MAX_S)
    table.set_fault("malformed")
    with pytest.raises(StateUnknownError):
        client.get("t", "a")
    table.set_fault("")
    clock.advance(OPEN_MAX_S)
    assert client.get("t", "a") is None
