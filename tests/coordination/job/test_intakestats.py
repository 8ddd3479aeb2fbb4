"""Guard against an intake whose lag and throttled partitions operators cannot see."""

import random
from types import SimpleNamespace

import pytest

from gypsumplank.composition.intakemetrics import add_intake_metrics
from gypsumplank.coordination.job.adoption import Adoption
from gypsumplank.coordination.job.backoff import FIRST_SPACING_S, PartitionBackoff
from gypsumplank.coordination.job.intakeclient import IntakeClient
from gypsumplank.coordination.job.intakestats import IntakeStats
from gypsumplank.coordination.job.intakewatch import IntakePorts, IntakeRemover
from gypsumplank.coordination.job.workload import Workload
from gypsumplank.errors import StateThrottledError, StateUnavailableError, StateUnknownError
from gypsumplank.protocol.job import JobDefinition, Resources, StepDefinition, StoredJob
from gypsumplank.state.clock import ManualClock
from gypsumplank.state.feed import MemoryFeedTable
from gypsumplank.state.intake import IntakeStore, partition_of
from gypsumplank.state.partition import MemoryPartitions
from gypsumplank.state.table import scan_all

JOB = StoredJob("a" * 16, "q", "s", 99_000, JobDefinition("", (StepDefinition(1, Resources()),)))


class RecordingMetrics:
    """Keep the functions that read the instruments."""

    def __init__(self):
        self.reads = {}

    def observable_counter(self, name, description, read):
        self.reads[name.removeprefix("gypsumplank.intake.")] = read

    def gauge(self, name, unit, description, read):
        self.observable_counter(name, description, read)

    def values(self, name):
        found = self.reads[name]()
        return {"".join((each.attributes or {}).values()): each.value for each in found}


@pytest.fixture
def daemon():
    """Return what a daemon's intake consists of, with its metrics."""
    clock, stats, backoff = ManualClock(100.0), IntakeStats(), PartitionBackoff(random.Random(1))
    clock.wall = clock.monotonic
    metrics, leader = RecordingMetrics(), SimpleNamespace(leads=True)
    add_intake_metrics(metrics, stats, backoff, lambda: leader.leads, clock)
    return SimpleNamespace(
        clock=clock, stats=stats, backoff=backoff, metrics=metrics, leader=leader
    )


def test_submissions_are_counted_by_outcome_and_throttled_partitions_are_shown(daemon):
    partitions = MemoryPartitions(MemoryFeedTable())
    store = IntakeStore(partitions)
    client = IntakeClient(
        store, None, None, daemon.clock, daemon.backoff, lambda: True, daemon.stats
    )
    assert client.submit(JOB, 0.0) == (True, 1)
    assert client.submit(JOB, 0.0) == (False, 1)
    for error, raised in (
        (StateThrottledError, StateUnavailableError),
        (StateUnknownError, StateUnknownError),
    ):

        def fail(_job, _timeout_s, error=error):
            daemon.clock.advance(1.0)
            raise error("fault")

        store.insert = fail
        with pytest.raises(raised):
            client.submit(JOB, 1.0)
    counts = {"new": 1, "repeated": 1, "busy": 1, "unknown": 1}
    assert daemon.metrics.values("submissions") == counts
    assert daemon.metrics.values("backoff") == {partition_of(JOB.id): FIRST_SPACING_S}


def test_adoptions_removals_and_the_oldest_submission_are_shown_at_the_leader(daemon):
    table = MemoryFeedTable()
    partitions = MemoryPartitions(table)
    ports = IntakePorts(IntakeStore(partitions), partitions, daemon.stats)
    ports.store.insert(JOB)
    workload = Workload()
    adoption = Adoption(workload, 0, daemon.stats)
    remover = IntakeRemover(ports, adoption, daemon.clock, lambda work: work())
    adoption.add(ports.store.read(partition_of(JOB.id)), 1.0)
    remover.step()
    assert daemon.metrics.values("adoptions") == {"": 1}
    assert daemon.metrics.values("oldest.age") == {"": 1.0}
    workload.jobs[JOB.id].unstored = False
    for _ in range(2):
        remover.step()
    assert daemon.metrics.values("removals") == {"": 1}
    assert daemon.metrics.values("oldest.age") == {"": 0.0}
    assert not scan_all(table, "intake")
    daemon.leader.leads = False
    assert not daemon.metrics.values("oldest.age")
