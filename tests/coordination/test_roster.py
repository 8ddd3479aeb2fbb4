import pytest

from gypsumplank.coordination.roster import Roster
from gypsumplank.errors import StateUnavailableError
from gypsumplank.state.clock import ManualClock
from gypsumplank.state.membership import Member, MemberState, MemoryMembership

HOSTS = [f"h{i}" for i in range(8)]


class Listed(MemoryMembership):
    out = False

    def members(self):
        if self.out:
            raise StateUnavailableError
        return super().members()


class Watch:
    def __init__(self):
        self.clock = ManualClock(100.0)
        self.list = Listed(Member(host) for host in HOSTS)
        self.roster = Roster(self.list, self.clock, lambda: HOSTS)
        self.run(1)

    def without(self, *hosts):
        self.list.listed = tuple(Member(host) for host in HOSTS if host not in hosts)

    def run(self, seconds, answers=(), refuses=()):
        for _ in range(seconds):
            self.clock.advance(1.0)
            self.roster.tick()
            for host in answers:
                self.roster.heard(host, True)
            for host in refuses:
                self.roster.heard(host, False)

    def failed(self):
        return sorted(self.roster.failed())


@pytest.fixture
def watch():
    return Watch()


def test_missing_host_fails_only_after_a_while(watch):
    watch.without("h0")
    watch.run(20)
    assert watch.failed() == []
    watch.run(2)
    assert watch.failed() == ["h0"]
    assert watch.roster.missing("h0")


def test_blip_of_one_host_starts_anew(watch):
    for _ in range(5):
        watch.without("h0")
        watch.run(15)
        watch.without()
        watch.run(1)
    assert watch.failed() == []


def test_missing_but_answering_is_alive(watch):
    watch.without("h0")
    watch.run(60, answers=["h0"])
    assert watch.failed() == []
    watch.run(30)
    assert watch.failed() == ["h0"]


def test_listed_but_dead_fails_by_traffic(watch):
    watch.run(4, refuses=["h1"])
    assert watch.failed() == []
    watch.run(4, refuses=["h1"])
    assert watch.failed() == ["h1"]


def test_one_answer_clears_refusals(watch):
    watch.run(8, refuses=["h1"])
    watch.run(1, answers=["h1"])
    assert watch.failed() == []


def test_refusals_without_further_traffic_fade(watch):
    watch.run(8, refuses=["h1"])
    watch.run(31)
    assert watch.failed() == []
    watch.run(3, refuses=["h1"])
    assert watch.failed() == []


def test_back_under_its_name_after_replacement(watch):
    watch.run(10, refuses=["h1"])
    watch.without("h1")
    watch.run(30)
    assert watch.failed() == ["h1"]
    watch.without()
    watch.run(1)
    assert watch.failed() == []
    assert not watch.roster.missing("h1")


@pytest.mark.parametrize("gone", [HOSTS, HOSTS[:5]])
def test_list_without_most_hosts_is_in_doubt(watch, gone):
    watch.without(*gone)
    watch.run(300)
    assert watch.roster.in_doubt
    assert watch.failed() == []
    assert not watch.roster.missing("h0")


def test_outage_of_the_platform_adds_no_missing_time(watch):
    watch.without("h0")
    watch.run(10)
    watch.list.out = True
    watch.run(300)
    watch.list.out = False
    watch.run(5)
    assert watch.failed() == []


def test_leaving_hosts_are_told(watch):
    watch.list.listed = tuple(
        Member(host, MemberState.LEAVING if host == "h3" else MemberState.LIVE) for host in HOSTS
    )
    watch.run(1)
    assert watch.roster.leaving() == {"h3"}
