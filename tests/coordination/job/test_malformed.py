"""Check that one malformed row or answer does not stop the scheduling of the other jobs."""

import msgspec
import pytest

from gypsumplank.coordination.job.workload import Workload
from gypsumplank.protocol.job import JobDefinition, Schedule, StepDefinition, StoredJob
from gypsumplank.state.feed import MemoryFeedTable
from gypsumplank.state.jobrow import TABLE_ORDERS, TABLE_STATES, pending_key, state_write
from gypsumplank.state.table import Txn, Write
from standins.cluster import CHAIN, SimulatedCluster
from tests.malformed import MALFORMED_JSON

JOB, BAD_JOB = "a" * 16, "b" * 16
UNUSABLE_ORDERS = {
    "no steps": JobDefinition("s", ()),
    "later dependency": JobDefinition("s", (StepDefinition(after=(3,)),)),
    "too many tasks": JobDefinition("s", (StepDefinition(tasks=10**9),)),
    "too many occurrences": JobDefinition("s", (StepDefinition(),), Schedule(10**12, 0, 1)),
}


@pytest.fixture
def cluster():
    cluster = SimulatedCluster(1)
    cluster.run(1.0)
    return cluster


def commit_unlimited(cluster, writes):
    """Write rows that may be longer than the simulated store accepts from the product."""
    MemoryFeedTable.commit(cluster.table, Txn((), writes))


def insert_order(cluster, raw):
    """Insert a job as another build may, with an order that this one cannot use."""
    writes = (
        Write(TABLE_ORDERS, BAD_JOB, raw),
        state_write(BAD_JOB, "queued", "q"),
        Write("pending", pending_key("q", BAD_JOB), b"1"),
    )
    commit_unlimited(cluster, writes)


def check_scheduling(cluster):
    cluster.submit(JOB, CHAIN)
    cluster.run(1.0)
    cluster.leader().suspended = True
    cluster.run(12.0)
    assert cluster.state(JOB) == "completed"
    assert not cluster.violations()


@pytest.mark.parametrize("order", UNUSABLE_ORDERS.values(), ids=UNUSABLE_ORDERS)
def test_unusable_order_of_another_build_does_not_end_the_leader(cluster, order):
    insert_order(cluster, msgspec.json.encode(StoredJob(BAD_JOB, "q", "s", 1, order)))
    check_scheduling(cluster)


@pytest.mark.parametrize("raw", MALFORMED_JSON.values(), ids=MALFORMED_JSON)
def test_malformed_order_does_not_end_the_leader(cluster, raw):
    insert_order(cluster, raw)
    check_scheduling(cluster)


@pytest.mark.parametrize("raw", MALFORMED_JSON.values(), ids=MALFORMED_JSON)
def test_malformed_lease_row_changes_the_leader_once(cluster, raw):
    commit_unlimited(cluster, (Write("leases", "scheduler", raw),))
    cluster.run(5.0)
    assert cluster.leader() is not None
    check_scheduling(cluster)


@pytest.mark.parametrize("name", ["a.0.0.\u00b2", f"a.0.0.{'9' * 5000}", "", "a.0.0.\0", "..."])
def test_malformed_task_name_is_not_a_task(name):
    assert Workload().task(name) is None


def test_malformed_state_leaves_out_its_job(cluster):
    cluster.submit(BAD_JOB, CHAIN)
    cluster.run(0.5)
    cluster.table.commit(Txn((), (Write(TABLE_STATES, BAD_JOB, b"[" * 20_000),)))
    check_scheduling(cluster)
