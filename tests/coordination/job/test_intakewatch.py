"""Full reads of submissions, without threads."""

from dataclasses import replace

import pytest

from gypsumplank.coordination.job import intakewatch
from gypsumplank.errors import StateUnavailableError
from gypsumplank.protocol.account import Account
from gypsumplank.protocol.job import JobDefinition, Resources, StepDefinition, StoredJob
from gypsumplank.state.feed import MemoryFeedTable
from gypsumplank.state.intake import IntakeStore, partition_of
from gypsumplank.state.partition import MemoryPartitions
from tests.coordination.job.accountsite import QUEUE, SERVICE, AccountSite

ORDER = JobDefinition("1", (StepDefinition(1, Resources(100, 10), 500),))


class SlowIntakeStore(IntakeStore):
    """Read one partition after another, with a scheduling round after each."""

    site, failing = None, ()

    def read_each(self, names):
        for name in names:
            failed = StateUnavailableError("slow") if name in self.failing else None
            yield name, failed or self.read(name)
            self.site.round()


@pytest.fixture
def world():
    """Return a site with an account of weight 2, its submissions, and their reader."""
    site, partitions = AccountSite((Account("a", weight=2),), 1), MemoryPartitions(
        MemoryFeedTable()
    )
    store = SlowIntakeStore(partitions)
    store.site = site
    _, reader, _ = intakewatch.create_intake_threads(
        intakewatch.IntakePorts(store, partitions),
        site.scheduler.workload,
        site.clock,
        0,
        lambda work: work(),
    )
    reader.step()
    return site, store, reader


def submit_newest_first_by_partition(store, site):
    """Submit two jobs a second; a read in the order of the partitions finds the newest first."""
    ids = sorted((f"{number:016x}" for number in range(1000, 1010)), key=partition_of)
    newest_ms = int(site.clock.wall() * 1000)
    job = StoredJob("", QUEUE.name, SERVICE, 0, ORDER, "a")
    for number, job_id in enumerate(ids):
        store.insert(replace(job, id=job_id, accepted_ms=newest_ms - 500 * number))


def read(reader):
    reader._progress.needs_read.set()
    reader.step()


def excess(site):
    return [job.is_excess for job in site.scheduler.workload.jobs.values()]


def test_full_read_at_intervals_does_not_make_guaranteed_jobs_excess(world):
    """Guard against marking by the order of partitions, when the feed lags behind the read."""
    site, store, reader = world
    submit_newest_first_by_partition(store, site)
    read(reader)
    site.round()
    assert excess(site) == [False] * 10


def test_partition_that_cannot_be_read_delays_the_others_for_a_limited_time(world):
    site, store, reader = world
    submit_newest_first_by_partition(store, site)
    store.failing = store.partitions()[-1:]
    reader._progress.needs_read.set()
    for _ in range(2):
        with pytest.raises(StateUnavailableError):
            reader.step()
        assert not excess(site)
    site.clock.advance(intakewatch.FULL_READ_INTERVAL_S)
    with pytest.raises(StateUnavailableError):
        reader.step()
    assert len(excess(site)) == 9
    store.failing = ()
    reader.step()
    assert len(excess(site)) == 10


def test_submissions_are_adopted_at_once_in_a_read_after_a_lost_history(world):
    site, store, reader = world
    submit_newest_first_by_partition(store, site)
    reader._progress.restart(reader._progress.after)
    store.failing = store.partitions()[-1:]
    with pytest.raises(StateUnavailableError):
        reader.step()
    assert len(excess(site)) == 9
