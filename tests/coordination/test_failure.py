import pytest

from gypsumplank.coordination.failure import HostFailureDetector
from gypsumplank.errors import StateUnavailableError
from gypsumplank.state.clock import ManualClock
from gypsumplank.state.membership import Member, MemberState, MemoryMembership

HOSTS = [f"h{i}" for i in range(8)]


class FaultyMembership(MemoryMembership):
    unavailable = False

    def members(self):
        if self.unavailable:
            raise StateUnavailableError
        return super().members()


class RosterScenario:
    def __init__(self):
        self.clock = ManualClock(100.0)
        self.membership = FaultyMembership(Member(host) for host in HOSTS)
        self.failure_detector = HostFailureDetector(self.membership, self.clock, lambda: HOSTS)
        self.run(1)

    def unlist(self, *hosts):
        self.membership.entries = tuple(Member(host) for host in HOSTS if host not in hosts)

    def run(self, seconds, responding=(), failing=()):
        for _ in range(seconds):
            self.clock.advance(1.0)
            self.failure_detector.tick()
            for host in responding:
                self.failure_detector.record_result(host, True)
            for host in failing:
                self.failure_detector.record_result(host, False)

    def failed(self):
        return sorted(self.failure_detector.failed())


@pytest.fixture
def scenario():
    return RosterScenario()


def test_missing_host_fails_only_after_the_timeout(scenario):
    scenario.unlist("h0")
    scenario.run(20)
    assert scenario.failed() == []
    scenario.run(2)
    assert scenario.failed() == ["h0"]
    assert scenario.failure_detector.missing("h0")


def test_host_that_reappears_restarts_the_timeout(scenario):
    for _ in range(5):
        scenario.unlist("h0")
        scenario.run(15)
        scenario.unlist()
        scenario.run(1)
    assert scenario.failed() == []


def test_missing_host_that_responds_is_alive(scenario):
    scenario.unlist("h0")
    scenario.run(60, responding=["h0"])
    assert scenario.failed() == []
    scenario.run(30)
    assert scenario.failed() == ["h0"]


def test_listed_host_fails_by_request_failures(scenario):
    scenario.run(4, failing=["h1"])
    assert scenario.failed() == []
    scenario.run(4, failing=["h1"])
    assert scenario.failed() == ["h1"]


def test_one_response_clears_failures(scenario):
    scenario.run(8, failing=["h1"])
    scenario.run(1, responding=["h1"])
    assert scenario.failed() == []


def test_failures_without_further_requests_expire(scenario):
    scenario.run(8, failing=["h1"])
    scenario.run(31)
    assert scenario.failed() == []
    scenario.run(3, failing=["h1"])
    assert scenario.failed() == []


def test_replacement_under_the_same_name_is_alive(scenario):
    scenario.run(10, failing=["h1"])
    scenario.unlist("h1")
    scenario.run(30)
    assert scenario.failed() == ["h1"]
    scenario.unlist()
    scenario.run(1)
    assert scenario.failed() == []
    assert not scenario.failure_detector.missing("h1")


@pytest.mark.parametrize("gone", [HOSTS, HOSTS[:5]])
def test_list_without_most_hosts_is_unreliable(scenario, gone):
    scenario.unlist(*gone)
    scenario.run(300)
    assert scenario.failure_detector.list_unreliable
    assert scenario.failed() == []
    assert not scenario.failure_detector.missing("h0")


def test_outage_of_the_platform_adds_no_missing_time(scenario):
    scenario.unlist("h0")
    scenario.run(10)
    scenario.membership.unavailable = True
    scenario.run(300)
    scenario.membership.unavailable = False
    scenario.run(5)
    assert scenario.failed() == []


def test_leaving_hosts_are_returned(scenario):
    scenario.membership.entries = tuple(
        Member(host, MemberState.LEAVING if host == "h3" else MemberState.LIVE) for host in HOSTS
    )
    scenario.run(1)
    assert scenario.failure_detector.leaving() == {"h3"}
