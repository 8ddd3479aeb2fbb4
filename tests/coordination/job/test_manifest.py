import pytest

from gypsumplank.coordination.job.manifest import ManifestWatch, has_recent_contact
from gypsumplank.errors import StateUnavailableError
from gypsumplank.protocol.queue import Manifest
from gypsumplank.state.clock import ManualClock
from gypsumplank.state.feed import MemoryFeedTable
from gypsumplank.state.table import Txn, Write


class FakeDirectory:
    """Return the manifest that a test has set."""

    def __init__(self):
        self.found = None
        self.out = False

    def manifest(self):
        if self.out:
            raise StateUnavailableError("out")
        return self.found


@pytest.fixture
def parts(monkeypatch):
    monkeypatch.setattr("gypsumplank.coordination.job.manifest.FEED_LONG_POLL_S", 0.0)
    directory, table, clock = FakeDirectory(), MemoryFeedTable(), ManualClock(100.0)
    return directory, table, clock, ManifestWatch(directory, table, "op", clock)


def write_manifest_row(table):
    table.commit(Txn((), (Write("op", "config", b"x"),)))


def test_change_reported_by_feed_is_read_at_once(parts):
    directory, table, _, watch = parts
    watch.step()
    directory.found = Manifest(3)
    write_manifest_row(table)
    watch.step()
    watch.step()
    assert watch.current.version == 3


def test_full_read_finds_change_missed_by_feed(parts):
    directory, _, clock, watch = parts
    watch.step()
    directory.found = Manifest(3)
    clock.advance(1.1)
    watch.step()
    assert watch.current.version == 3


def test_older_version_is_ignored(parts):
    directory, _, clock, watch = parts
    directory.found = Manifest(3)
    watch.step()
    directory.found = Manifest(2)
    clock.advance(2.0)
    watch.step()
    assert watch.current.version == 3


def test_lost_feed_history_triggers_full_read(parts):
    directory, table, _, watch = parts
    write_manifest_row(table)
    watch.step()
    write_manifest_row(table)
    table.clear_history()
    watch._after = 0
    directory.found = Manifest(4)
    watch.step()
    watch.step()
    assert watch.current.version == 4


def test_is_fresh_expires_during_store_outage(parts):
    directory, _, clock, watch = parts
    watch.step()
    assert has_recent_contact(watch, clock, 2.5)
    directory.out = True
    clock.advance(3.0)
    with pytest.raises(StateUnavailableError):
        watch.step()
    assert not has_recent_contact(watch, clock, 2.5)
