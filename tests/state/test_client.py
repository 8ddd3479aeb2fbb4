"""Hold the state client to one contract, in memory and over HTTP on the stand-in."""

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
from gypsumplank.transport.platform import HttpTable, PlatformClient
from standins.platform import Faults, make_platform

HTTP_TIMEOUT_S = 0.2
GOOD = Txn((), (Write("t", "a", b"1"),))
CONFLICT = Txn((Check("t", "a", 99),), (Write("t", "a", b"2"),))
LARGE = Txn((), (Write("t", "a", b"x" * (MAX_ROW_BYTES + 1)),))


class MemoryRig(MemoryTable):
    """Commit faults in memory."""

    fault = ""
    calls = 0

    def set(self, fault):
        self.fault = fault

    def get(self, table, key):
        self._play()
        return super().get(table, key)

    def commit(self, txn):
        if self.fault != "lost":
            self._play()
            return super().commit(txn)
        self.calls += 1
        super().commit(txn)
        raise StateUnknownError

    def _play(self):
        self.calls += 1
        if self.fault not in ("", "lost"):
            raise StateUnknownError if self.fault == "malformed" else StateUnavailableError


class HttpRig:
    """Commit faults on the stand-in."""

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

    def set(self, fault):
        self.platform.faults = self.FAULTS[fault]

    def close(self):
        self.client.close()
        self.server.shutdown()
        self.server.server_close()
        self.thread.join()


@pytest.fixture(params=["memory", "http"])
def rig(request):
    if request.param == "memory":
        yield MemoryRig()
        return
    held = HttpRig()
    yield held
    held.close()


def make_client(rig, clock=None, **limits):
    clock = clock or ManualClock()
    return TableClient(rig, clock, random.Random(1), ClientLimits(**limits), lambda _s: None)


@pytest.mark.parametrize(
    ("fault", "call", "error"),
    [
        ("", lambda client: client.get("t", "a"), None),
        ("", lambda client: client.commit(GOOD), None),
        ("", lambda client: client.commit(CONFLICT), StateConflictError),
        ("", lambda client: client.commit(LARGE), StateTooLargeError),
        ("outage", lambda client: client.get("t", "a"), StateUnavailableError),
        ("outage", lambda client: client.commit(GOOD), StateUnavailableError),
        ("slow", lambda client: client.get("t", "a"), StateUnavailableError),
        ("lost", lambda client: client.commit(GOOD), StateUnknownError),
        ("lost", lambda client: client.get("t", "a"), None),
    ],
)
def test_contract(rig, fault, call, error):
    client = make_client(rig)
    rig.set(fault)
    if error is None:
        call(client)
        return
    with pytest.raises(error):
        call(client)


def test_refused_commit_writes_nothing_and_lost_one_is_not_repeated(rig):
    clock = ManualClock()
    client = make_client(rig, clock)
    rig.set("outage")
    with pytest.raises(StateUnavailableError):
        client.commit(GOOD)
    rig.set("")
    clock.advance(OPEN_MAX_S)
    assert client.get("t", "a") is None
    rig.set("lost")
    with pytest.raises(StateUnknownError):
        client.commit(GOOD)
    rig.set("")
    first = client.get("t", "a")
    assert first is not None
    assert client.commit(Txn((), (Write("t", "b", b"1"),))) == first.version + 1


def test_breaker_opens_and_the_store_is_left_alone_until_it_half_opens():
    rig, clock = MemoryRig(), ManualClock()
    client = make_client(rig, clock)
    rig.set("outage")
    for _ in range(FAILURES_TO_OPEN):
        with pytest.raises(StateUnavailableError):
            client.get("t", "a")
    assert client.open
    calls = rig.calls
    with pytest.raises(StateUnavailableError):
        client.get("t", "a")
    assert rig.calls == calls
    rig.set("")
    clock.advance(OPEN_MAX_S)
    assert client.get("t", "a") is None
    assert not client.open


def test_answers_that_refuse_do_not_open_the_breaker(rig):
    client = make_client(rig)
    for _ in range(2 * FAILURES_TO_OPEN):
        with pytest.raises(StateConflictError):
            client.commit(CONFLICT)
    assert not client.open


def test_short_outage_is_hidden_by_retries():
    rig, clock = MemoryRig(), ManualClock()
    rig.set("outage")
    client = TableClient(rig, clock, random.Random(1), pause=lambda _s: rig.set(""))
    assert client.get("t", "a") is None
    assert rig.calls == 2


def test_retries_end_with_the_deadline():
    rig, clock = MemoryRig(), ManualClock()
    rig.set("outage")
    client = TableClient(rig, clock, random.Random(1), ClientLimits(1.0), lambda _s: None)
    rig._play = lambda: clock.advance(0.6) or MemoryRig._play(rig)
    with pytest.raises(StateUnavailableError):
        client.get("t", "a")
    assert rig.calls == 2


def test_full_queue_refuses_at_once():
    started, end = threading.Event(), threading.Event()

    class Blocking(MemoryTable):
        def get(self, table, key):
            started.set()
            end.wait(20)
            return super().get(table, key)

    client = make_client(Blocking(), in_flight=1, waiting=0)
    thread = threading.Thread(target=client.get, args=("t", "a"))
    thread.start()
    assert started.wait(20)
    with pytest.raises(StateUnavailableError, match="too many calls"):
        client.get("t", "b")
    end.set()
    thread.join()
    assert client.get("t", "a") is None


def test_failure_of_another_kind_frees_the_probe():
    rig, clock = MemoryRig(), ManualClock()
    client = make_client(rig, clock)
    rig.set("outage")
    for _ in range(FAILURES_TO_OPEN):
        with pytest.raises(StateUnavailableError):
            client.get("t", "a")
    clock.advance(OPEN_MAX_S)
    rig.set("malformed")
    with pytest.raises(StateUnknownError):
        client.get("t", "a")
    rig.set("")
    clock.advance(OPEN_MAX_S)
    assert client.get("t", "a") is None
