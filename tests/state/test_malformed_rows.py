"""Check that a malformed row costs only itself, whichever store reads it."""

import pytest

from gypsumplank.errors import EntryInvalidError, StateUnavailableError
from gypsumplank.protocol.burn import BurnRow
from gypsumplank.protocol.job import JobDefinition, JobState, StepDefinition, StoredJob
from gypsumplank.protocol.queue import MachineOrderEntry
from gypsumplank.protocol.record import Kind, Record
from gypsumplank.protocol.task import Task, TaskDefinition
from gypsumplank.state.burn import TABLE_BURN, BurnStore
from gypsumplank.state.change import (
    KEY_HEAD,
    TABLE_CHANGES,
    TABLE_CONFIG,
    TABLE_RECORDS,
    Change,
    change_key,
)
from gypsumplank.state.claim import TABLE_CLAIMS, Claim, ClaimStore, open_change
from gypsumplank.state.clock import ClockRange, ManualClock
from gypsumplank.state.config import ConfigStore
from gypsumplank.state.job import TABLE_POOLS, TABLE_SILENCES, JobStore
from gypsumplank.state.jobrow import TABLE_ORDERS, TABLE_STATES, TABLE_STEPS, step_key
from gypsumplank.state.lease import TABLE_LEASES, Lease, LeaseStore
from gypsumplank.state.machine import TABLE_MACHINES, MachineOrderLog
from gypsumplank.state.machine import TABLE_WAVES as TABLE_WAVE_STARTS
from gypsumplank.state.objects import MemoryObjectStore
from gypsumplank.state.reader import MIN_LOG_LIMIT_ROWS
from gypsumplank.state.session import (
    KEY_EPOCH,
    TABLE_COUNTERS,
    TABLE_SESSIONS,
    Session,
    SessionStore,
)
from gypsumplank.state.table import ABSENT, Check, MemoryTable, Txn, Write
from gypsumplank.state.task import TABLE_OPEN_TASKS, TABLE_TASKS, TaskStore
from gypsumplank.state.view import View
from gypsumplank.state.wave import TABLE_WAVES, RunState, WaveRun, WaveStore
from tests.malformed import MALFORMED_JSON

JOB = "5c0e7a21d94b36f8"
OTHER_JOB = "00000000000000aa"


@pytest.fixture(params=MALFORMED_JSON.values(), ids=MALFORMED_JSON)
def malformed(request):
    return request.param


@pytest.fixture
def table():
    return MemoryTable()


def put(table, name, key, value):
    return table.commit(Txn((), (Write(name, key, value),)))


def session(name, epoch=0):
    return Session(name, epoch, "z", "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", 1, 5.0)


def stored_job(job_id):
    return StoredJob(job_id, "q", "s", 1, JobDefinition("spec", (StepDefinition(),)))


def test_malformed_lease_keeps_the_other_leases_and_its_own_order(table, malformed):
    store = LeaseStore(table)
    kept = store.put(Lease("b", "one", 3), ABSENT)
    version = put(table, TABLE_LEASES, "a", malformed)
    rows = store.all()
    assert rows["b"] == kept
    # An unknown holder is waited for, and the next epoch is above any earlier one.
    assert rows["a"].version == version
    assert rows["a"].lease.holder
    assert rows["a"].lease.epoch >= version


def test_malformed_session_row_keeps_the_last_good_one(table, malformed):
    store = SessionStore(table)
    store.open(session("a"))
    store.open(session("b"))
    before = {row.session.id: row.session for row in store.rows()}
    version = put(table, TABLE_SESSIONS, "a", malformed)
    put(table, TABLE_SESSIONS, "c", malformed)
    rows = {row.session.id: row for row in store.rows()}
    assert {name: row.session for name, row in rows.items()} == before
    assert rows["a"].version == version


def test_malformed_epoch_counter_does_not_repeat_an_epoch(table, malformed):
    store = SessionStore(table)
    opened = store.open(session("a"))
    put(table, TABLE_COUNTERS, KEY_EPOCH, malformed)
    assert store.open(session("b")).session.epoch > opened.session.epoch


def test_malformed_wave_run_is_left_out(table, malformed):
    store = WaveStore(table)
    kept = store.put(WaveRun("b", 1, RunState.RUNNING, 5.0), ABSENT)
    put(table, TABLE_WAVES, "a", malformed)
    assert store.all() == {"b": kept}
    with pytest.raises(EntryInvalidError):
        store.find("a")


def test_malformed_burn_row_is_left_out(table, malformed):
    store = BurnStore(table)
    store.write((BurnRow(600, "b"),))
    put(table, TABLE_BURN, "000000000600/a", malformed)
    assert store.read(0) == [BurnRow(600, "b")]


def test_malformed_task_is_left_out(table, malformed):
    store = TaskStore(table, table)
    kept = store.submit(Task("1-b", "p", TaskDefinition("s", "t"), 5.0))
    store.submit(Task("1-a", "p", TaskDefinition("s", "t"), 5.0))
    put(table, TABLE_OPEN_TASKS, "p/1-a", malformed)
    put(table, TABLE_TASKS, "1-a", malformed)
    assert [row.task for row in store.list_open("p")] == [kept]
    assert store.list_by_team("t", "", 10) == [kept]
    with pytest.raises(EntryInvalidError):
        store.get("1-a")


def test_task_under_another_key_is_not_used(table):
    store = TaskStore(table, table)
    kept = store.submit(Task("1-b", "p", TaskDefinition("s", "t"), 5.0))
    for name, key in ((TABLE_TASKS, "1-a"), (TABLE_OPEN_TASKS, "p/1-a")):
        put(table, name, key, table.get(TABLE_TASKS, "1-b").value)
    assert [row.task for row in store.list_open("p")] == [kept]
    with pytest.raises(EntryInvalidError):
        store.cancel("1-a")
    assert store.get("1-b").task == kept


def test_malformed_claim_does_not_stop_the_scan(table, malformed):
    store = ClaimStore(table, MemoryObjectStore())
    claims = [Claim("s", key, key, "d", 1, "f", 1.0, 2.0) for key in "ac"]
    for claim in claims:
        change = open_change(claim)
        put(table, change.table, change.key, change.value)
    put(table, TABLE_CLAIMS, "s/b", malformed)
    page = store.page("", 2)
    assert ([row.claim.key for row in page.claims], page.resume_key) == (["a"], "s/b")
    page = store.page(page.resume_key, 2)
    assert ([row.claim.key for row in page.claims], page.resume_key) == (["c"], "")
    with pytest.raises(StateUnavailableError):
        store.find("s", "b")


def pool(number, **spec):
    return Record(Kind.POOL, f"p{number}", 2, spec)


def test_malformed_head_keeps_the_view_in_force(table, malformed):
    store = ConfigStore(table, ManualClock())
    store.accept(Change("a", (pool(1),)))
    view = store.refresh(View())
    put(table, TABLE_CONFIG, KEY_HEAD, malformed)
    with pytest.raises(StateUnavailableError):
        store.refresh(view)


def test_malformed_change_is_replaced_by_a_reload(table, malformed):
    store = ConfigStore(table, ManualClock())
    for number in range(3):
        store.accept(Change(f"op-{number}", (pool(number),)))
    put(table, TABLE_CHANGES, change_key(2), malformed)
    assert set(ConfigStore(table, ManualClock()).refresh(View()).pools) == {"p0", "p1", "p2"}
    assert store.accept(Change("next", (pool(4),))) == 4


def test_malformed_record_is_unreadable_and_the_others_are_in_force(table, malformed):
    store = ConfigStore(table, ManualClock())
    for number in range(MIN_LOG_LIMIT_ROWS + 1):
        store.accept(Change(f"op-{number}", (pool(number % 3),)))
    put(table, TABLE_RECORDS, "pool/p1", malformed)
    view = ConfigStore(table, ManualClock()).refresh(View())
    assert set(view.pools) == {"p0", "p2"}
    assert view.unreadable == ("pool/p1",)


def test_malformed_job_rows_leave_out_only_their_job(table, malformed):
    store = JobStore(table)
    ids = [f"{number:016x}" for number in range(4)]
    for job in ids:
        store.submit(stored_job(job))
    put(table, TABLE_ORDERS, ids[0], malformed)
    put(table, TABLE_STATES, ids[1], malformed)
    put(table, TABLE_STEPS, step_key(ids[2], 0, 0), malformed)
    loaded, ended = store.load()
    assert [found.job.id for found in loaded] == [ids[3]]
    assert not ended
    assert store.state(ids[3])[0].state is JobState.QUEUED
    with pytest.raises(EntryInvalidError):
        store.state(ids[1])


def test_step_row_that_lacks_tasks_leaves_out_its_job(table):
    store = JobStore(table)
    for job in (JOB, OTHER_JOB):
        store.submit(stored_job(job))
    put(table, TABLE_STEPS, step_key(JOB, 0, 0), b"{}")
    put(table, TABLE_STEPS, f"{OTHER_JOB}.other", b"[")
    assert [found.job.id for found in store.load()[0]] == [OTHER_JOB]


def test_malformed_silence_is_left_out(table, malformed):
    store = JobStore(table)
    store.update_silent_workers(Check("t", "k", ABSENT), {"w-1": 5}, ())
    put(table, TABLE_SILENCES, "w-2", malformed)
    assert store.silent_workers() == {"w-1": 5}


def test_malformed_pool_size_is_replaced(table, malformed):
    store = JobStore(table)
    put(table, TABLE_POOLS, "a", malformed)
    put(table, TABLE_POOLS, "b", b"7")
    assert store.initial_pool_sizes({"a": 3, "b": 4}) == {"a": 3, "b": 7}
    assert store.initial_pool_sizes({"a": 9}) == {"a": 3, "b": 7}


def test_machine_with_a_malformed_order_counts_as_just_ordered(table, malformed):
    orders = MachineOrderLog(table, lambda: ClockRange(9000, 9000))
    put(table, TABLE_MACHINES, "a", malformed)
    orders.record("b", 2)
    entries = orders.entries()
    assert entries["b"] == MachineOrderEntry(9000, 2)
    assert orders.order_age_s(entries["a"]) == 0.0


def test_malformed_start_of_a_wave_is_replaced(table, malformed):
    clock = [5000]
    orders = MachineOrderLog(table, lambda: ClockRange(clock[0], clock[0]))
    put(table, TABLE_WAVE_STARTS, "1", malformed)
    assert orders.wave_age_s(1) == 0.0
    clock[0] = 6000
    assert orders.wave_age_s(1) == 1.0
