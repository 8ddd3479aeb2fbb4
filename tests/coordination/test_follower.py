from concurrent.futures import ThreadPoolExecutor

from gypsumplank.coordination.follower import ConfigFollower
from gypsumplank.errors import StateUnavailableError
from gypsumplank.protocol.record import Kind, Record
from gypsumplank.state.clock import ManualClock
from gypsumplank.state.config import Change, ConfigStore
from gypsumplank.state.table import MemoryTable
from gypsumplank.state.view import CurrentView, build_view


def pool(name="p", schema=2, **spec):
    return Record(Kind.POOL, name, schema, spec)


class UnavailableTable(MemoryTable):
    unavailable = False

    def get(self, table, key):
        if self.unavailable:
            raise StateUnavailableError
        return super().get(table, key)


def test_change_is_put_in_force_and_announced():
    store, current_view, announced = ConfigStore(MemoryTable(), ManualClock()), CurrentView(), []
    follower = ConfigFollower(store, current_view, announced.append)
    store.accept(Change("a", (pool(),)))
    follower.tick()
    follower.tick()
    assert current_view.view.revision == 1
    assert announced == [1]
    assert follower.caught_up


def test_outage_keeps_the_revision_in_force():
    table, current_view = UnavailableTable(), CurrentView()
    store = ConfigStore(table, ManualClock())
    follower = ConfigFollower(store, current_view)
    store.accept(Change("a", (pool(),)))
    follower.tick()
    table.unavailable = True
    follower.tick()
    assert current_view.view.revision == 1
    assert not follower.reachable
    assert follower.caught_up


def test_store_behind_a_daemon_is_not_put_in_force(caplog):
    store, current_view = ConfigStore(MemoryTable(), ManualClock()), CurrentView()
    follower = ConfigFollower(store, current_view, newest_revision=lambda: 4)
    store.accept(Change("a", (pool(),)))
    follower.tick()
    assert not follower.caught_up
    assert current_view.view.revision == 0
    assert "config-reversed" in caplog.text


def test_reverted_store_never_replaces_the_revision_in_force(caplog):
    current_view = CurrentView()
    follower = ConfigFollower(ConfigStore(MemoryTable(), ManualClock()), current_view)
    assert follower.adopt(build_view(3, (pool(),)))
    follower.tick()
    assert current_view.view.revision == 3
    assert not follower.caught_up
    assert "config-reversed" in caplog.text


def test_older_view_of_a_peer_is_not_adopted():
    current_view = CurrentView()
    follower = ConfigFollower(ConfigStore(MemoryTable(), ManualClock()), current_view)
    assert follower.adopt(build_view(3, ()))
    assert not follower.adopt(build_view(3, (pool(),)))
    assert not follower.adopt(build_view(2, (pool(),)))
    assert current_view.view.records == {}


def test_unreadable_record_is_logged_once(caplog):
    store, current_view = ConfigStore(MemoryTable(), ManualClock()), CurrentView()
    follower = ConfigFollower(store, current_view)
    store.accept(Change("a", (pool(spare=True),)))
    follower.tick()
    store.accept(Change("b", (pool(schema=9),)))
    follower.tick()
    store.accept(Change("c", (pool("q"),)))
    follower.tick()
    assert current_view.view.pools["p"].spare
    assert caplog.text.count("config-unreadable") == 1


def test_concurrent_pulls_never_lower_the_revision():
    store, current_view, announced = ConfigStore(MemoryTable(), ManualClock()), CurrentView(), []
    follower = ConfigFollower(store, current_view, announced.append)

    def work(number):
        store.accept(Change(f"op-{number}", (pool(f"p{number}"),)))
        follower.tick()

    with ThreadPoolExecutor(16) as executor:
        list(executor.map(work, range(100)))
    assert announced == sorted(set(announced))
    assert current_view.view.revision == 100
