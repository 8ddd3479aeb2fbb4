import itertools

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from gypsumplank.coordination.budget import pool_availability
from gypsumplank.errors import EndpointLeavingError, GypsumplankError, InvariantError
from gypsumplank.protocol.fleet import HostAction, HostRequest, WaveAction, WaveRequest
from gypsumplank.protocol.spec import AssignmentState
from gypsumplank.state.config import Change, apply_entries
from gypsumplank.state.membership import Member
from gypsumplank.state.wave import RunState
from standins.fleet import Fleet, address_of, pool_records, record

GRACE_S = 20.0
RECORDS = (*pool_records("a", 6, min_in_service=4), *pool_records("b", 3, min_in_service=2))


def wave(name="w", **fields):
    spec = {"pools": ["a"], "parallelism": 2, "grace_s": GRACE_S, "maintenance_s": 5.0}
    return record("wave", name, **{**spec, **fields})


def make_fleet(*records, **options):
    fleet = Fleet((*RECORDS, *records), **options)
    fleet.run(3)
    return fleet


def change_host(fleet, action, host="a-0", node=0, operation="op-1", **fields):
    request = HostRequest(operation, HostAction(action), host, **{"grace_s": GRACE_S, **fields})
    return fleet.nodes[node].fleet_service.host(request, "ann")


def change_wave(fleet, action, name="w", node=0):
    return fleet.nodes[node].fleet_service.wave(WaveRequest(WaveAction(action), name), "ann")


def wave_run(fleet, name="w"):
    return fleet.nodes[0].stores.waves.find(name).run


def test_idle_host_drains_and_returns():
    fleet = make_fleet()
    change_host(fleet, "drain")
    fleet.run(4)
    assert fleet.state("a-0") == "out"
    change_host(fleet, "undrain", operation="op-2")
    assert fleet.state("a-0") == "serving"


def test_move_waits_for_requests_in_flight():
    fleet = make_fleet()
    for node in fleet.nodes:
        node.start_request("a", "a-0")
    change_host(fleet, "move", target_pool="b")
    fleet.run(10)
    assert fleet.state("a-0") == "draining"
    assert "requests in flight" in fleet.nodes[0].controller.drain_wait_reason("a-0")
    fleet.nodes[0].usage.end_request(address_of("a", 0))
    fleet.run(3)
    assert fleet.state("a-0") == "draining"
    fleet.nodes[1].usage.end_request(address_of("a", 0))
    fleet.run(3)
    assert fleet.view.assignment("a-0").pool == "b"
    assert "a-0" in fleet.view.serving_hosts("b")


def test_grace_ends_the_wait_for_requests_in_flight():
    fleet = make_fleet()
    fleet.nodes[1].start_request("a", "a-0")
    change_host(fleet, "drain")
    fleet.run(GRACE_S - 4)
    assert fleet.state("a-0") == "draining"
    fleet.run(8)
    assert fleet.state("a-0") == "out"


def test_drain_waits_for_a_lagging_daemon():
    fleet = make_fleet()
    fleet.nodes[1].refresh = lambda: None
    change_host(fleet, "drain")
    fleet.run(GRACE_S * 3)
    assert fleet.state("a-0") == "draining"
    assert "n1" in fleet.nodes[0].controller.drain_wait_reason("a-0")


def test_drain_waits_for_the_sessions_of_a_majority():
    fleet = make_fleet(nodes=2)
    fleet.nodes[1].table.unavailable = True
    change_host(fleet, "drain")
    fleet.run(3 * GRACE_S)
    assert fleet.state("a-0") == "draining"
    assert "most daemons" in fleet.nodes[0].controller.drain_wait_reason("a-0")
    fleet.nodes[1].table.unavailable = False
    fleet.run(12)
    assert fleet.state("a-0") == "out"


def test_lapsed_daemon_delays_a_drain_for_the_whole_grace_and_sends_nothing():
    fleet = make_fleet(nodes=3)
    fleet.nodes[1].start_request("a", "a-0")
    fleet.nodes[1].table.unavailable = True
    change_host(fleet, "drain")
    fleet.run(GRACE_S - 2)
    assert fleet.state("a-0") == "draining"
    with pytest.raises(EndpointLeavingError):
        fleet.nodes[1].start_request("a", "a-0")
    fleet.run(8)
    assert fleet.state("a-0") == "out"


def test_another_daemon_finishes_the_move_of_a_crashed_one():
    fleet = make_fleet(nodes=3)
    change_host(fleet, "move", target_pool="b")
    holder = next(node for node in fleet.nodes if "a" in node.leases.held())
    fleet.nodes.remove(holder)
    fleet.run_until(lambda: fleet.view.assignment("a-0").pool == "b", 60)


def test_paused_holder_cannot_write_after_its_lease_was_taken_over():
    fleet = make_fleet()
    holder = next(node for node in fleet.nodes if "a" in node.leases.held())
    (other,) = [node for node in fleet.nodes if node is not holder]
    change_host(fleet, "drain")
    for node in (other, holder):
        node.refresh()
        node.heartbeat.tick()
    holder.controller._read_state()
    revision = fleet.view.revision
    taken = []

    def take_over():
        for _ in range(20):
            fleet.clock.advance(1.0)
            other.leases.tick(["a", "b"], [other.name])
        taken.extend(other.leases.held())

    holder.leases._held_until = dict.fromkeys(holder.leases._held_until, 1e9)
    holder.table.before_commit = take_over
    holder.controller._advance_drain("a", "a-0", holder.current_view.view.assignment("a-0"))
    assert "a" in taken
    assert fleet.view.revision == revision
    assert fleet.state("a-0") == "draining"


def test_two_waves_on_two_daemons_stay_within_the_budget():
    halves = ["a-0", "a-1", "a-2"], ["a-3", "a-4", "a-5"]
    waves = (wave(name, pools=[], hosts=half) for name, half in zip("wv", halves, strict=True))
    fleet = make_fleet(*waves)
    change_wave(fleet, "start", "w", 0)
    change_wave(fleet, "start", "v", 1)
    for _ in range(200):
        fleet.run(1)
        assert pool_availability(fleet.view, "a").in_service >= 4
    assert wave_run(fleet, "w").state is RunState.FINISHED
    assert wave_run(fleet, "v").state is RunState.FINISHED


def test_wave_maintains_every_host_once():
    fleet = make_fleet(wave())
    change_wave(fleet, "start")
    zones = set()
    while wave_run(fleet).state is RunState.RUNNING:
        fleet.run(1)
        out = [fleet.view.hosts[host].zone for host in pool_availability(fleet.view, "a").out]
        assert len(set(out)) <= 1
        zones |= set(out)
    assert wave_run(fleet).state is RunState.FINISHED
    assert zones == {"za", "zb", "zc"}
    for number in range(6):
        assignment = fleet.view.assignment(f"a-{number}")
        assert (assignment.maintained, assignment.epoch) == ("w#1", 3)


def test_paused_wave_starts_no_drain_and_resumes():
    fleet = make_fleet(wave())
    change_wave(fleet, "start")
    fleet.run(2)
    assert change_wave(fleet, "pause", node=1).state == "paused"
    fleet.run(30)
    done = [host for host in fleet.view.hosts if fleet.view.assignment(host).maintained]
    assert 0 < len(done) <= 2
    fleet.run(30)
    assert pool_availability(fleet.view, "a").out == ()
    change_wave(fleet, "resume")
    fleet.run_until(lambda: wave_run(fleet).state is RunState.FINISHED)


def test_aborted_wave_returns_draining_hosts():
    fleet = make_fleet(wave())
    fleet.nodes[0].start_request("a", "a-0")
    change_wave(fleet, "start")
    fleet.run(4)
    assert fleet.state("a-0") == "draining"
    change_wave(fleet, "abort")
    fleet.run(12)
    assert pool_availability(fleet.view, "a").out == ()
    assert fleet.view.assignment("a-0").maintained == ""


def test_wave_starts_no_drain_before_its_time():
    fleet = make_fleet(wave(not_before=1100.0), offsets=(0.0, 0.0))
    change_wave(fleet, "start")
    fleet.run(60)
    assert pool_availability(fleet.view, "a").out == ()
    assert "not before" in fleet.nodes[0].fleet_service.waves()[0].waits[""]
    fleet.run(45)
    assert pool_availability(fleet.view, "a").out != ()


def test_wave_takes_no_host_out_of_a_flooded_pool():
    floods = {"a"}
    fleet = make_fleet(wave(), flooded=floods.__contains__)
    change_wave(fleet, "start")
    fleet.run(20)
    assert pool_availability(fleet.view, "a").out == ()
    assert "flood" in fleet.nodes[0].fleet_service.waves()[0].waits["a"]
    floods.clear()
    fleet.run(3)
    assert pool_availability(fleet.view, "a").out != ()


def test_correlated_failures_pause_the_wave():
    fleet = make_fleet(wave(parallelism=1))
    change_wave(fleet, "start")
    fleet.run_until(
        lambda: len(fleet.nodes[0].fleet_service.waves()[0].order) and _maintained_count(fleet) >= 2
    )
    failed_hosts = [host for host in fleet.view.hosts if fleet.view.assignment(host).maintained][:2]
    for _ in range(10):
        for node in fleet.nodes:
            for host in failed_hosts:
                node.failure_detector.record_result(host, False)
        fleet.run(1)
    assert wave_run(fleet).state is RunState.PAUSED
    assert "2 hosts failed" in wave_run(fleet).reason
    assert pool_availability(fleet.view, "a").in_service >= 4


def _maintained_count(fleet):
    return sum(bool(assignment.maintained) for assignment in fleet.view.assignments.values())


def test_failed_hosts_are_marked_within_the_budget_and_retried():
    fleet = make_fleet()
    for _ in range(10):
        for number in range(6):
            for node in fleet.nodes:
                node.failure_detector.record_result(f"a-{number}", False)
        fleet.run(1)
    availability = pool_availability(fleet.view, "a")
    assert (availability.in_service, len(availability.out)) == (4, 2)
    assert fleet.nodes[0].fleet_service.pools()[0].suspects != ()
    fleet.run(90)
    assert pool_availability(fleet.view, "a").out == ()


def test_override_is_explicit_and_reported():
    fleet = make_fleet()
    change_host(fleet, "drain", "b-0", operation="op-1")
    with pytest.raises(GypsumplankError, match="2 of 3 in service, 2 promised"):
        change_host(fleet, "drain", "b-1", operation="op-2")
    change_host(fleet, "drain", "b-1", operation="op-3", override=True)
    fleet.run(4)
    report = fleet.nodes[1].fleet_service.pools()[1]
    assert [(out.host, out.override) for out in report.out] == [("b-0", False), ("b-1", True)]


def test_lost_responses_apply_no_change_twice():
    fleet = make_fleet(wave())
    change_wave(fleet, "start")
    for _ in range(120):
        for node in fleet.nodes:
            node.table.lost_responses = 1
        fleet.run(1)
    for node in fleet.nodes:
        node.table.lost_responses = 0
    fleet.run_until(lambda: wave_run(fleet).state is RunState.FINISHED)
    assert {fleet.view.assignment(f"a-{number}").epoch for number in range(6)} == {3}


def test_assignment_of_a_deleted_host_is_deleted():
    fleet = make_fleet()
    change_host(fleet, "drain")
    fleet.run(4)
    fleet.store.accept(Change("gone", (), ("host/a-0",)))
    fleet.run(3)
    assert "a-0" not in fleet.view.assignments


WAVES = (
    wave("w", pools=["b"], hosts=["a-0", "a-1", "a-2"]),
    wave("v", pools=[], hosts=["a-3", "a-4", "a-5"]),
)
POOLS = {"a": 4, "b": 2}
NODES = st.integers(0, 2)
HOSTS = st.sampled_from([f"a-{i}" for i in range(6)] + [f"b-{i}" for i in range(3)])


class FleetMachine(RuleBasedStateMachine):
    """Interleave the work of daemons, operators' orders, waves and requests under faults."""

    @initialize()
    def start(self):
        self.fleet = Fleet((*RECORDS, *WAVES), nodes=3)
        self.fleet.run(3)
        self.operation_count = 0
        self.in_flight = []
        self.drain_started_at = {}
        self.checked_view = self.fleet.view

    def node(self, index):
        return self.fleet.nodes[index]

    @rule(index=NODES, other=NODES, seconds=st.sampled_from([0.0, 0.3, 1.0]))
    def tick(self, index, other, seconds):
        """Run one daemon's round; another daemon runs its own between the read and the commit."""
        self.fleet.clock.advance(seconds)
        if other != index:
            self.node(index).table.before_commit = self.node(other).tick
        self.node(index).tick()
        self.node(index).table.before_commit = None

    @rule(seconds=st.sampled_from([1, 2, 5, 20]), paused=st.sets(NODES, max_size=2))
    def run(self, seconds, paused):
        nodes = self.fleet.nodes
        self.fleet.nodes = [node for i, node in enumerate(nodes) if i not in paused]
        for _ in range(seconds):
            self.fleet.run(1)
            self.check_revisions()
        self.fleet.nodes = nodes

    @rule(index=NODES, out=st.booleans(), lose=st.integers(0, 3))
    def table(self, index, out, lose):
        self.node(index).table.unavailable, self.node(index).table.lost_responses = out, lose

    @rule(index=NODES)
    def restart(self, index):
        self.node(index).restart()
        self.in_flight = [request for request in self.in_flight if request[0] != index]

    @rule(hosts=st.sets(HOSTS, max_size=9))
    def set_members(self, hosts):
        self.fleet.membership.entries = tuple(Member(host) for host in sorted(hosts))

    @rule(index=NODES, host=HOSTS, responded=st.booleans(), times=st.integers(1, 4))
    def record_results(self, index, host, responded, times):
        for _ in range(times):
            self.node(index).failure_detector.record_result(host, responded)

    @rule(index=NODES, host=HOSTS, action=st.sampled_from(HostAction), pool=st.sampled_from("ab"))
    def change_host(self, index, host, action, pool):
        self.operation_count += 1
        request = HostRequest(f"op-{self.operation_count}", action, host, pool, GRACE_S)
        self.ignore_refusal(lambda: self.node(index).fleet_service.host(request, "ann"))

    @rule(index=NODES, action=st.sampled_from(WaveAction), name=st.sampled_from("wv"))
    def change_wave(self, index, action, name):
        self.ignore_refusal(
            lambda: self.node(index).fleet_service.wave(WaveRequest(action, name), "ann")
        )

    @rule(index=NODES, hosts=st.sets(HOSTS, min_size=1), services=st.sampled_from(["a", "b", "ab"]))
    def begin_requests(self, index, hosts, services):
        """Check that a request starts only on a host that is in its pool and not out of service."""
        node = self.node(index)
        for host, service in itertools.product(sorted(hosts), services):
            if host not in node.current_view.view.hosts:
                return
            try:
                node.start_request(service, host)
            except EndpointLeavingError:
                continue
            assignment = self.fleet.view.assignment(host)
            assert assignment.pool == service
            assert assignment.state is not AssignmentState.OUT
            self.in_flight.append((index, host))

    @precondition(lambda self: self.in_flight)
    @rule(data=st.data())
    def end_request(self, data):
        index, host = self.in_flight.pop(data.draw(st.integers(0, len(self.in_flight) - 1)))
        self.node(index).usage.end_request(address_of(host, int(host[2:])))

    def ignore_refusal(self, work):
        try:
            work()
        except InvariantError:
            raise
        except GypsumplankError:
            return

    @invariant()
    def check_revisions(self):
        """Replay each accepted change.

        Each host is in one pool and changes it only after a drain, and no pool is below its budget.
        """
        view = self.checked_view
        for entry in self.fleet.store.entries(view.revision):
            after = apply_entries(view, (entry,))
            for host in view.hosts:
                self.check_transition(host, view.assignment(host), after.assignment(host))
            for pool, floor in POOLS.items():
                assert pool_availability(after, pool).in_service >= floor
            members = [host for pool in POOLS for host in after.hosts_of(pool)]
            assert sorted(members) == sorted(after.hosts)
            view = after
        self.checked_view = view
        for wave_name in self.checked_view.waves:
            self.check_wave(wave_name)

    def check_transition(self, host, old, new):
        if old == new:
            return
        assert new.epoch == old.epoch + 1
        if new.state is AssignmentState.DRAINING:
            self.drain_started_at[host] = self.fleet.clock.now
        if old.pool != new.pool:
            assert (old.state, old.target_pool) == (AssignmentState.DRAINING, new.pool)
        left = new.state is AssignmentState.OUT or old.pool != new.pool
        in_flight = [request for request in self.in_flight if request[1] == host]
        if left and in_flight:
            waited = self.fleet.clock.now - self.drain_started_at[host]
            assert waited >= GRACE_S - 1.0, (host, in_flight, waited)

    def check_wave(self, name):
        view = self.checked_view
        out = [host for host, held in view.assignments.items() if held.run.startswith(f"{name}#")]
        assert len(out) <= 2
        for pool in POOLS:
            zones = {view.hosts[host].zone for host in out if view.assignment(host).pool == pool}
            assert len(zones) <= 1


FleetMachine.TestCase.settings = settings(stateful_step_count=50)
TestFleet = FleetMachine.TestCase
