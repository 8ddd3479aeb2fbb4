"""Feed mutated inputs to every reader of both daemons; each bad one must cost only itself."""

import io
import random
import zlib

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from gypsumplank.coordination.job.registry import DaemonRegistry, DaemonRow
from gypsumplank.coordination.submission import TaskService
from gypsumplank.errors import (
    AdviceError,
    AgentError,
    EntryInvalidError,
    GypsumplankError,
    MachineError,
    PeerError,
    RecordsError,
    RevisionMissingError,
    SettingsError,
    StateError,
    WorkerError,
)
from gypsumplank.platform.app import JobApp
from gypsumplank.platform.client import Response, _decode_body
from gypsumplank.platform.directory import PlatformDirectory
from gypsumplank.platform.machine import HttpAdvisor, HttpMachines
from gypsumplank.platform.settings import load_platform_settings
from gypsumplank.platform.table import RowTable
from gypsumplank.platform.worker import HttpWorkers
from gypsumplank.protocol.agent import PATH_RENEW
from gypsumplank.protocol.burn import BurnRow
from gypsumplank.protocol.envelope import MessageVerifier, SignedMessage, _tag
from gypsumplank.protocol.job import (
    JobDefinition,
    Resources,
    Schedule,
    StepDefinition,
    StepRecord,
    StoredJob,
    TaskRecord,
)
from gypsumplank.protocol.operator import PATH_CHANGES, PATH_RECORDS
from gypsumplank.protocol.queue import MachineOrderEntry
from gypsumplank.protocol.record import Kind, Record, unpack_records
from gypsumplank.protocol.task import AttemptReport, RenewalRequest, Task, TaskDefinition
from gypsumplank.protocol.worker import StartCommand, WorkerEntry, WorkerState
from gypsumplank.settings import load_settings
from gypsumplank.state.burn import BurnStore
from gypsumplank.state.change import Change, change_key
from gypsumplank.state.claim import Claim, ClaimStore, StoredReply
from gypsumplank.state.clock import ClockRange, ManualClock
from gypsumplank.state.config import ConfigStore
from gypsumplank.state.job import JobStore
from gypsumplank.state.jobrow import StateValue, step_key
from gypsumplank.state.lease import Lease, LeaseStore
from gypsumplank.state.machine import MachineOrderLog
from gypsumplank.state.objects import MemoryObjectStore
from gypsumplank.state.session import Session, SessionStore
from gypsumplank.state.table import ABSENT, MemoryTable, Txn, Write
from gypsumplank.state.task import TaskStore
from gypsumplank.state.view import View
from gypsumplank.state.wave import RunState, WaveRun, WaveStore
from gypsumplank.transport.agent import HttpAgents
from gypsumplank.transport.operator import OperatorApp
from gypsumplank.transport.relay import RelayReply, RelayServer
from gypsumplank.transport.task import TaskApp
from standins.users_platform import MANIFEST
from tests.malformed import IMPOSSIBLE_ADDRESSES, MALFORMED_JSON, mutations, packed_mutations
from tests.platform.test_directory import ENTRY
from tests.platform.test_settings import SETTINGS
from tests.test_settings import VALID_SETTINGS
from tests.transport.test_operator import FakeController

JOB, OTHER_JOB = "5c0e7a21d94b36f8", "00000000000000aa"
WAVE = {"wave": 1, "machines": ["m-1"], "duration-s": 20.0, "cap": 2}
ORDER = JobDefinition("spec", (StepDefinition(2, Resources(1, 2)),), Schedule())
STORED_JOB = StoredJob(JOB, "q", "s", 1, ORDER)
WIRE_JOB = {
    "spec": "s",
    "steps": [
        {"replicas": 2, "cpu": 500, "mem-mb": 10, "estimate-ms": 7},
        {"replicas": 1, "cpu": 500, "after": [0], "gang": True, "requires": "a"},
    ],
    "repeat-count": 1,
    "start-at-ms": 5,
    "interval-ms": 5,
}
REPORT = {
    "born": 7,
    "clock-ms": 5,
    "running": [["a.0.0.0", 1, "", 50, 3]],
    "finished": [[1, "a.0.0.1", 1, "done", ""]],
}
MACHINES = {
    "machines": [
        {"machine": "m-1", "pool": "p", "state": "up", "zone": "z", "labels": ["a"], "id": "w"}
    ],
    "next-token": None,
}
ROWS = {
    "ver": 5,
    "now-ms": 7,
    "rows": [{"table": "t", "part": "fleet", "key": "k", "ver": 5, "value": "YQ=="}],
    "has-more": False,
}
SESSION = Session("b", 1, "z", "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", 1, 5.0, {"h": 1})
CLAIM = Claim("s", "k", "i", "d", 1, "f", 1.0, 2.0, StoredReply("finished", 200))
TASK = Task("1-a", "p", TaskDefinition("s", "t"), 5.0)
HELLO = {"type": "Hello", "sender": "a", "epoch": 1, "address": "127.0.0.1:1", "revision": 1}
KEY = "sixteen-letters!"


class FixedClient:
    """Answer each call with the same status and body."""

    def __init__(self, raw, status=200):
        self.response = Response(status, _decode_body(raw), {})

    def call(self, *_, **__):
        return self.response


def put(table, name, key, value):
    raw = value if isinstance(value, bytes) else msgspec.json.encode(value)
    return table.commit(Txn((), (Write(name, key, raw),)))


def allowing(errors, call):
    """Return the result of a call, None if it raises one of these errors."""
    detail = ""
    try:
        return call()
    except errors as exc:
        detail = exc.detail
    assert len(detail) < 2000
    return None


# Both daemons


@given(mutations(Lease("a", "x", 1, 1, 1)))
def test_lease_row(raw):
    table = MemoryTable()
    kept = LeaseStore(table).put(Lease("b", "y", 2), ABSENT)
    put(table, "leases", "a", raw)
    rows = LeaseStore(table).all()
    assert rows["b"] == kept
    assert rows["a"].lease.name == "a"


@pytest.fixture(scope="module")
def settings_file(tmp_path_factory):
    return tmp_path_factory.mktemp("settings") / "settings.json"


@given(raw=mutations(SETTINGS))
def test_platform_settings(settings_file, raw):
    settings_file.write_bytes(raw)
    allowing(SettingsError, lambda: load_platform_settings(settings_file))


@given(raw=mutations(VALID_SETTINGS))
def test_settings(settings_file, raw):
    settings_file.write_bytes(raw)
    allowing(SettingsError, lambda: load_settings(settings_file))


# The daemon on the users' platform


@given(mutations(ENTRY), st.sampled_from(["a", "\0", "a\nb", "\u0661", "z" * 200]))
def test_worker_entry(raw, key):
    table = MemoryTable()
    put(table, "servers", key, raw)
    put(table, "servers", "good", ENTRY)
    entries = PlatformDirectory(table).workers()
    assert "good" in [entry.id for entry in entries]
    for entry in entries:
        assert entry.address not in IMPOSSIBLE_ADDRESSES
        assert 0 < entry.born < 2**53


@given(mutations(MANIFEST), mutations(WAVE))
def test_rows_of_the_operator(manifest, wave):
    table = MemoryTable()
    put(table, "op", "config", manifest)
    put(table, "op", "wave/1", wave)
    put(table, "op", "wave/2", {**WAVE, "wave": 2})
    put(table, "status", "wave/1", wave)
    directory = PlatformDirectory(table)
    directory.manifest()
    assert 2 in [found.number for found in directory.waves()]
    directory.completed_waves()


@given(mutations(REPORT), st.sampled_from([200, 409, 400, 421, 429, 503, 599]))
def test_answer_of_a_worker(raw, status):
    worker = WorkerEntry("w", "s", "127.0.0.1:1", "z", WorkerState.READY, Resources(1, 1))
    workers = HttpWorkers()
    workers._clients[worker.address] = FixedClient(raw, status)
    report = allowing(WorkerError, lambda: workers.poll(worker, 1, None, 0, 0.0))
    order = StartCommand("a.0.0.0", 1, "s", 5, 1)
    assert (allowing(WorkerError, lambda: workers.start(worker, order)) or 0) >= 0
    for task in report.running + report.ended if report else ():
        assert isinstance(task.name, str)
        assert 0 <= task.run < 2**53


@given(mutations(MACHINES), mutations({"allowed": [["w", "t"]]}))
def test_answers_of_the_machine_service(machines, allowed):
    allowing(MachineError, lambda: HttpMachines(FixedClient(machines)).list_machines())
    for status in (200, 409, 500):
        client = HttpMachines(FixedClient(machines, status))
        allowing(MachineError, lambda client=client: client.move("m", "p", "d", 1))
    advisor = HttpAdvisor(FixedClient(allowed))
    allowing(AdviceError, lambda: advisor.request_permits("s", ["w"]))


@given(mutations(ROWS), st.sampled_from([200, 410, 412, 503]))
def test_answer_of_the_store(raw, status):
    table = RowTable(FixedClient(raw, status), "fleet")
    for call in (
        lambda: table.get("t", "k"),
        lambda: table.scan("t", "k"),
        lambda: table.changes("t", 0, 0.0),
        lambda: table.commit(Txn((), (Write("t", "k", b"1"),))),
    ):
        allowing(StateError, call)


class StubJobs:
    def authorize(self, host, path, digest):
        return type("Queue", (), {"prefix": "/p/"}), ""

    def submit(self, *_):
        return True


@given(mutations(WIRE_JOB), st.text(max_size=40), st.sampled_from([JOB, "x", "\0" * 16, "9" * 99]))
def test_body_and_header_of_a_caller(raw, deadline, job_id):
    statuses = []
    environ = {
        "REQUEST_METHOD": "POST",
        "PATH_INFO": f"/p/{job_id}",
        "HTTP_HOST": "h",
        "HTTP_X_GYPSUMPLANK_DEADLINE_MS": deadline,
        "wsgi.input": io.BytesIO(raw),
    }
    app = JobApp(StubJobs(), lambda *_: None, lambda *_: None)
    app(environ, lambda status, _: statuses.append(int(status[:3])))
    assert statuses[0] in (200, 400, 410)


@given(
    mutations(STORED_JOB),
    mutations(StateValue("queued", "q")),
    mutations(StepRecord((TaskRecord(), TaskRecord()))),
    mutations(5),
)
def test_rows_of_jobs(order, state, step, number):
    table = MemoryTable()
    store = JobStore(table)
    other = StoredJob(OTHER_JOB, "q", "s", 1, ORDER)
    store.submit(other)
    store.submit(STORED_JOB)
    put(table, "orders", JOB, order)
    put(table, "states", JOB, state)
    put(table, "steps", step_key(JOB, 0, 0), step)
    put(table, "pools", "p", number)
    put(table, "silences", "w", number)
    put(table, "silences", "v", b"5")
    assert other in [loaded.job for loaded in store.load()[0]]
    allowing(EntryInvalidError, lambda: store.state(JOB))
    assert store.initial_pool_sizes({"p": 3, "q": 4})["q"] == 4
    assert store.silent_workers()["v"] == 5


@given(mutations(MachineOrderEntry(5, 1, 1)), mutations(5), mutations(DaemonRow("127.0.0.1:2", 1)))
def test_rows_of_machines_and_daemons(order, started, daemon):
    table = MemoryTable()
    orders = MachineOrderLog(table, lambda: ClockRange(9000, 9000))
    put(table, "machines", "m", order)
    put(table, "waves", "1", started)
    orders.record("n", 2)
    entries = orders.entries()
    assert entries["n"] == MachineOrderEntry(9000, 2)
    assert 0 <= orders.order_age_s(entries["m"]) <= 9.0
    assert orders.wave_age_s(1) >= 0
    put(table, "daemons", "a", daemon)
    put(table, "daemons", "b", DaemonRow("127.0.0.1:3", 1))
    registry = DaemonRegistry(table, "c", "127.0.0.1:4", ManualClock(), random.Random(1))
    registry.step()
    assert "127.0.0.1:3" in registry.addresses()
    assert not set(IMPOSSIBLE_ADDRESSES) & set(registry.addresses())


@given(
    packed_mutations({"table": "t", "key": None, "prefix": "", "after": "", "limit": 5})
    | packed_mutations(
        {"txn": {"checks": [["t", "k", 1]], "writes": [["t", "k", b"1"]], "timeout_s": 1.0}}
    )
)
def test_relayed_request(raw):
    server = RelayServer.__new__(RelayServer)
    server._table = MemoryTable()
    server._table.is_failing = False
    assert isinstance(server._execute(raw), RelayReply)


# The daemon with its own platform


@given(
    mutations(SESSION),
    mutations(WaveRun("a", 1, RunState.RUNNING, 5.0)),
    mutations(BurnRow(600, "a")),
    mutations(CLAIM),
)
def test_rows_of_sessions_waves_counts_and_claims(session, run, burn, claim):
    table = MemoryTable()
    sessions = SessionStore(table)
    sessions.open(SESSION)
    put(table, "sessions", "a", session)
    assert "b" in [row.session.id for row in sessions.rows()]
    waves = WaveStore(table)
    kept = waves.put(WaveRun("b", 1, RunState.RUNNING, 5.0), ABSENT)
    put(table, "waves", "a", run)
    assert waves.all()["b"] == kept
    allowing(EntryInvalidError, lambda: waves.find("a"))
    put(table, "burn", "000000000600/a", burn)
    BurnStore(table).write((BurnRow(600, "b"),))
    assert BurnRow(600, "b") in BurnStore(table).read(0)
    claims = ClaimStore(table, MemoryObjectStore())
    put(table, "claims", "s/a", claim)
    put(table, "claims", "s/k", CLAIM)
    assert CLAIM in [row.claim for row in claims.page("", 10).claims]
    allowing(StateError, lambda: claims.find("s", "a"))


@given(mutations(TASK))
def test_rows_of_tasks(raw):
    table = MemoryTable()
    store = TaskStore(table, table)
    kept = store.submit(Task("1-b", "p", TaskDefinition("s", "t"), 5.0))
    store.submit(TASK)
    put(table, "open_tasks", "p/1-a", raw)
    put(table, "tasks", "1-a", raw)
    assert kept in [row.task for row in store.list_open("p")]
    assert kept in store.list_by_team("t", "", 10)
    allowing(EntryInvalidError, lambda: store.cancel("1-a"))


@given(st.data())
def test_rows_of_the_configuration(data):
    table = MemoryTable()
    store = ConfigStore(table, ManualClock())
    records = [Record(Kind.POOL, f"p{number}", 2, {"spare": True}) for number in range(3)]
    for number, record in enumerate(records):
        store.accept(Change(f"op-{number}", (record,)))
    view = store.refresh(View())
    rows = [("changes", change_key(2)), ("undo", change_key(2)), ("operations", "op-1")]
    for name, key in [*rows, ("records", "pool/p1"), ("config", "head")]:
        value = msgspec.json.decode(table.get(name, key).value)
        put(table, name, key, data.draw(mutations(value)))
        reader = ConfigStore(table, ManualClock())
        seen = allowing(GypsumplankError, lambda reader=reader: reader.refresh(View()))
        if seen is not None and name != "config":
            assert {"p0", "p2"} <= set(seen.pools)
        allowing(RevisionMissingError, lambda reader=reader: reader.records_at(1, view))


@given(packed_mutations([1, 1, "", HELLO]), st.booleans())
def test_message_of_a_peer(body, is_signed):
    verifier = MessageVerifier(KEY, "b", ManualClock().monotonic)
    signed = SignedMessage(_tag(KEY.encode(), body), body)
    raw = msgspec.msgpack.encode(signed) if is_signed else body
    message = allowing(PeerError, lambda: verifier.verify(raw))
    assert message is None or message.sender != "b"


@given(st.binary(max_size=50) | st.sampled_from(list(MALFORMED_JSON.values())))
def test_packed_records_of_a_peer(raw):
    for packed in (raw, zlib.compress(raw)):
        allowing(RecordsError, lambda packed=packed: unpack_records(packed))


@given(mutations([AttemptReport("a", 1, "running")]))
def test_answer_of_an_agent(raw):
    agents = HttpAgents(1.0)
    agents._call = lambda address, path, body: raw if path == PATH_RENEW else b""
    allowing(AgentError, lambda: agents.renew("127.0.0.1:1", RenewalRequest(1.0, {"a": 1})))


def call_app(app, method, path, raw, **headers):
    statuses = []
    path, _, query = path.partition("?")
    environ = {"REQUEST_METHOD": method, "PATH_INFO": path, "QUERY_STRING": query, **headers}
    app({**environ, "wsgi.input": io.BytesIO(raw)}, lambda status, _: statuses.append(status))
    return int(statuses[0][:3])


@given(
    mutations({"operation": "o", "puts": [{"kind": "pool", "name": "p", "schema": 2, "spec": {}}]}),
    st.text(max_size=20),
)
def test_request_of_an_operator(raw, number):
    app = OperatorApp(FakeController(), lambda: b"", ())
    assert call_app(app, "POST", PATH_CHANGES, raw) in (200, 422)
    assert call_app(app, "GET", f"{PATH_RECORDS}?schema={number}", b"") in (200, 400)


@given(mutations(msgspec.to_builtins(TASK.order)), st.text(max_size=20))
def test_request_of_a_team(raw, wait):
    table = MemoryTable()
    service = TaskService(View, TaskStore(table, table), ManualClock(5.0))
    app = TaskApp(service, lambda *_: ())
    assert call_app(app, "POST", "/-/tasks", raw, HTTP_X_TEAM="t") in (202, 400, 422)
    assert call_app(app, "GET", f"/-/tasks/1-a?wait_ms={wait}", b"") in (400, 404)
