import pytest

from gypsumplank.coordination.job.freshness import KeyPolicy
from gypsumplank.coordination.job.manifest import ManifestWatch, has_recent_contact
from gypsumplank.errors import StateUnavailableError
from gypsumplank.protocol.account import Account, hash_key
from gypsumplank.protocol.queue import Manifest
from gypsumplank.state.clock import ManualClock
from gypsumplank.state.feed import MemoryFeedTable
from gypsumplank.state.table import Txn, Write


class FakeDirectory:
    """Return the manifest that a test has set."""

    def __init__(self):
        self.found = None
        self.out = False
        self.during = lambda: None

    def manifest(self):
        self.during()
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


def confirmed_at(watch):
    return watch.in_force.confirmed_at


def test_manifest_is_confirmed_as_of_the_sending_of_the_read(parts):
    """Guard against a confirmation by an answer that waited in a suspended process."""
    directory, _, clock, watch = parts
    directory.found = Manifest(3)
    directory.during = lambda: clock.advance(30.0)
    watch.step()
    assert confirmed_at(watch) == 100.0
    assert watch.age_s() == 30.0


@pytest.mark.parametrize("found", [None, Manifest(2)])
def test_missing_or_older_manifest_confirms_nothing_and_is_logged_once(parts, caplog, found):
    directory, _, clock, watch = parts
    directory.found = Manifest(3)
    watch.step()
    directory.found = found
    for _ in range(3):
        clock.advance(2.0)
        watch.step()
    assert confirmed_at(watch) == 100.0
    assert [each.msg for each in caplog.records].count("manifest-unconfirmed") == 1


def test_feed_answers_confirm_nothing(parts):
    """Guard against a feed that misses a change, and against one that has lost its history."""
    directory, table, clock, watch = parts
    write_manifest_row(table)
    directory.found = Manifest(3)
    watch.step()
    watch.step()
    assert confirmed_at(watch) == 100.0
    clock.advance(0.5)
    watch.step()
    write_manifest_row(table)
    table.clear_history()
    watch._after = 0
    watch.step()
    assert confirmed_at(watch) == 100.0
    watch.step()
    assert confirmed_at(watch) == 100.5


def test_deleted_manifest_row_is_read_again_at_once(parts):
    directory, table, clock, watch = parts
    write_manifest_row(table)
    directory.found = Manifest(3)
    watch.step()
    watch.step()
    clock.advance(0.1)
    table.commit(Txn((), (Write("op", "config", None),)))
    watch.step()
    directory.during = lambda: setattr(directory, "found", Manifest(4))
    watch.step()
    assert watch.current.version == 4


def test_reads_are_made_more_often_where_withdrawn_keys_must_be_refused(parts):
    directory, table, clock, _ = parts
    policy = KeyPolicy(True, 5.0)
    watch = ManifestWatch(directory, table, "op", clock, lambda: policy)
    directory.found = Manifest(3)
    watch.step()
    clock.advance(0.5)
    watch.step()
    assert confirmed_at(watch) == 100.5


def test_shared_keys_are_logged_by_account_without_digests(parts, caplog):
    directory, _, _, watch = parts
    digests = frozenset({hash_key("k1")})
    accounts = (Account("team-b", digests), Account("team-a", digests))
    directory.found = Manifest(3, (), {}, accounts)
    watch.step()
    (record,) = [each for each in caplog.records if each.msg == "key-shared"]
    assert (record.account, record.other, record.levelname) == ("team-a", "team-b", "WARNING")
    assert hash_key("k1").hex() not in str(record.__dict__)
