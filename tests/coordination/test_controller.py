import itertools

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from gypsumplank.coordination.budget import standing_of
from gypsumplank.errors import EndpointLeavingError, GypsumplankError, InvariantError
from gypsumplank.protocol.fleet import HostAction, HostOrder, WaveAction, WaveOrder
from gypsumplank.protocol.spec import AssignmentState
from gypsumplank.state.config import Change, apply_entries
from gypsumplank.state.membership import Member
from gypsumplank.state.wave import RunState
from standins.fleet import Fleet, address_of, pool_records, record

GRACE_S = 20.0
RECORDS = (*pool_records("a", 6, min_in_service=4), *pool_records("b", 3, min_in_service=2))


def wave(name="w", **more):
    spec = {"pools": ["a"], "parallelism": 2, "grace_s": GRACE_S, "maintenance_s": 5.0}
    return record("wave", name, **{**spec, **more})


def make_fleet(*records, **more):
    fleet = Fleet((*RECORDS, *records), **more)
    fleet.run(3)
    return fleet


def order(fleet, action, host="a-0", node=0, operation="op-1", **more):
    asked = HostOrder(operation, HostAction(action), host, **{"grace_s": GRACE_S, **more})
    return fleet.nodes[node].desk.host(asked, "ann")


def drive(fleet, action, name="w", node=0):
    return fleet.nodes[node].desk.wave(WaveOrder(WaveAction(action), name), "ann")


def run_of(fleet, name="w"):
    return fleet.nodes[0].stores.waves.find(name).run


def test_idle_host_drains_and_returns():
    fleet = make_fleet()
    order(fleet, "drain")
    fleet.run(4)
    assert fleet.state("a-0") == "out"
    order(fleet, "undrain", operation="op-2")
    assert fleet.state("a-0") == "serving"


def test_move_waits_for_requests_in_flight():
    fleet = make_fleet()
    for node in fleet.nodes:
        node.enter("a", "a-0")
    order(fleet, "move", target_pool="b")
    fleet.run(10)
    assert fleet.state("a-0") == "draining"
    assert "requests in flight" in fleet.nodes[0].controller.drain_wait("a-0")
    fleet.nodes[0].usage.leave(address_of("a", 0))
    fleet.run(3)
    assert fleet.state("a-0") == "draining"
    fleet.nodes[1].usage.leave(address_of("a", 0))
    fleet.run(3)
    assert fleet.view.assignment("a-0").pool == "b"
    assert "a-0" in fleet.view.serving_hosts("b")


def test_grace_ends_the_wait_for_requests_in_flight():
    fleet = make_fleet()
    fleet.nodes[1].enter("a", "a-0")
    order(fleet, "drain")
    fleet.run(GRACE_S - 4)
    assert fleet.state("a-0") == "draining"
    fleet.run(8)
    assert fleet.state("a-0") == "out"


def test_drain_waits_for_a_daemon_that_lags():
    fleet = make_fleet()
    fleet.nodes[1].refresh = lambda: None
    order(fleet, "drain")
    fleet.run(GRACE_S * 3)
    assert fleet.state("a-0") == "draining"
    assert "n1" in fleet.nodes[0].controller.drain_wait("a-0")


def test_drain_waits_for_the_sessions_of_most_daemons():
    fleet = make_fleet(nodes=2)
    fleet.nodes[1].table.out = True
    order(fleet, "drain")
    fleet.run(3 * GRACE_S)
    assert fleet.state("a-0") == "draining"
    assert "most daemons" in fleet.nodes[0].controller.drain_wait("a-0")
    fleet.nodes[1].table.out = False
    fleet.run(12)
    assert fleet.state("a-0") == "out"


def test_lapsed_daemon_holds_a_drain_for_the_whole_grace_and_sends_nothing():
    fleet = make_fleet(nodes=3)
    fleet.nodes[1].enter("a", "a-0")
    fleet.nodes[1].table.out = True
    order(fleet, "drain")
    fleet.run(GRACE_S - 2)
    assert fleet.state("a-0") == "draining"
    with pytest.raises(EndpointLeavingError):
        fleet.nodes[1].enter("a", "a-0")
    fleet.run(8)
    assert fleet.state("a-0") == "out"


def test_another_daemon_finishes_what_a_crashed_one_began():
    fleet = make_fleet(nodes=3)
    order(fleet, "move", target_pool="b")
    holder = next(node for node in fleet.nodes if "a" in node.leases.held())
    fleet.nodes.remove(holder)
    fleet.run_until(lambda: fleet.view.assignment("a-0").pool == "b", 60)


def test_paused_holder_cannot_write_after_its_lease_was_taken():
    fleet = make_fleet()
    holder = next(node for node in fleet.nodes if "a" in node.leases.held())
    (other,) = [node for node in fleet.nodes if node is not holder]
    order(fleet, "drain")
    for node in (other, holder):
        node.refresh()
        node.heartbeat.tick()
    holder.controller._look()
    revision = fleet.view.revision
    taken = []

    def take_over():
        for _ in range(20):
            fleet.clock.advance(1.0)
            other.leases.tick(["a", "b"], [other.name])
        taken.extend(other.leases.held())

    holder.leases._until = dict.fromkeys(holder.leases._until, 1e9)
    holder.table.before_commit = take_over
    holder.controller._drain_step("a", "a-0", holder.holder.current.assignment("a-0"))
    assert "a" in taken
    assert fleet.view.revision == revision
    assert fleet.state("a-0") == "draining"


def test_two_waves_on_two_daemons_take_no_more_than_the_budget():
    halves = ["a-0", "a-1", "a-2"], ["a-3", "a-4", "a-5"]
    waves = (wave(name, pools=[], hosts=half) for name, half in zip("wv", halves, strict=True))
    fleet = make_fleet(*waves)
    drive(fleet, "start", "w", 0)
    drive(fleet, "start", "v", 1)
    for _ in range(200):
        fleet.run(1)
        assert standing_of(fleet.view, "a").in_service >= 4
    assert run_of(fleet, "w").state is RunState.FINISHED
    assert run_of(fleet, "v").state is RunState.FINISHED


def test_whole_wave_finishes_every_host_once():
    fleet = make_fleet(wave())
    drive(fleet, "start")
    zones = set()
    while run_of(fleet).state is RunState.RUNNING:
        fleet.run(1)
        out = [fleet.view.hosts[host].zone for host in standing_of(fleet.view, "a").out]
        assert len(set(out)) <= 1
        zones |= set(out)
    assert run_of(fleet).state is RunState.FINISHED
    assert zones == {"za", "zb", "zc"}
    for number in range(6):
        held = fleet.view.assignment(f"a-{number}")
        assert (held.maintained, held.epoch) == ("w#1", 3)


def test_paused_wave_takes_nothing_new_and_resumes():
    fleet = make_fleet(wave())
    drive(fleet, "start")
    fleet.run(2)
    assert drive(fleet, "pause", node=1).state == "paused"
    fleet.run(30)
    done = [host for host in fleet.view.hosts if fleet.view.assignment(host).maintained]
    assert 0 < len(done) <= 2
    fleet.run(30)
    assert standing_of(fleet.view, "a").out == ()
    drive(fleet, "resume")
    fleet.run_until(lambda: run_of(fleet).state is RunState.FINISHED)


def test_aborted_wave_returns_what_drains():
    fleet = make_fleet(wave())
    fleet.nodes[0].enter("a", "a-0")
    drive(fleet, "start")
    fleet.run(4)
    assert fleet.state("a-0") == "draining"
    drive(fleet, "abort")
    fleet.run(12)
    assert standing_of(fleet.view, "a").out == ()
    assert fleet.view.assignment("a-0").maintained == ""


def test_wave_not_before_its_time():
    fleet = make_fleet(wave(not_before=1100.0), offsets=(0.0, 0.0))
    drive(fleet, "start")
    fleet.run(60)
    assert standing_of(fleet.view, "a").out == ()
    assert "not before" in fleet.nodes[0].desk.waves()[0].waits[""]
    fleet.run(45)
    assert standing_of(fleet.view, "a").out != ()


def test_flooded_pool_is_left_alone():
    floods = {"a"}
    fleet = make_fleet(wave(), flooded=floods.__contains__)
    drive(fleet, "start")
    fleet.run(20)
    assert standing_of(fleet.view, "a").out == ()
    assert "flood" in fleet.nodes[0].desk.waves()[0].waits["a"]
    floods.clear()
    fleet.run(3)
    assert standing_of(fleet.view, "a").out != ()


def test_correlated_failures_pause_the_wave():
    fleet = make_fleet(wave(parallelism=1))
    drive(fleet, "start")
    fleet.run_until(lambda: len(fleet.nodes[0].desk.waves()[0].order) and _done(fleet) >= 2)
    dead = [host for host in fleet.view.hosts if fleet.view.assignment(host).maintained][:2]
    for _ in range(10):
        for node in fleet.nodes:
            for host in dead:
                node.roster.heard(host, False)
        fleet.run(1)
    assert run_of(fleet).state is RunState.PAUSED
    assert "2 hosts failed" in run_of(fleet).reason
    assert standing_of(fleet.view, "a").in_service >= 4


def _done(fleet):
    return sum(bool(held.maintained) for held in fleet.view.assignments.values())


def test_dead_hosts_are_marked_as_far_as_the_budget_goes_and_tried_again():
    fleet = make_fleet()
    for _ in range(10):
        for number in range(6):
            for node in fleet.nodes:
                node.roster.heard(f"a-{number}", False)
        fleet.run(1)
    standing = standing_of(fleet.view, "a")
    assert (standing.in_service, len(standing.out)) == (4, 2)
    assert fleet.nodes[0].desk.pools()[0].suspects != ()
    fleet.run(90)
    assert standing_of(fleet.view, "a").out == ()


def test_override_is_explicit_and_shown():
    fleet = make_fleet()
    order(fleet, "drain", "b-0", operation="op-1")
    with pytest.raises(GypsumplankError, match="2 of 3 in service, 2 promised"):
        order(fleet, "drain", "b-1", operation="op-2")
    order(fleet, "drain", "b-1", operation="op-3", override=True)
    fleet.run(4)
    report = fleet.nodes[1].desk.pools()[1]
    assert [(out.host, out.override) for out in report.out] == [("b-0", False), ("b-1", True)]


def test_lost_answers_change_nothing_twice():
    fleet = make_fleet(wave())
    drive(fleet, "start")
    for _ in range(120):
        for node in fleet.nodes:
            node.table.lose = 1
        fleet.run(1)
    for node in fleet.nodes:
        node.table.lose = 0
    fleet.run_until(lambda: run_of(fleet).state is RunState.FINISHED)
    assert {fleet.view.assignment(f"a-{number}").epoch for number in range(6)} == {3}


def test_assignment_of_a_deleted_host_goes():
    fleet = make_fleet()
    order(fleet, "drain")
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
    """Interleave daemons, operators, waves and requests under faults."""

    @initialize()
    def start(self):
        self.fleet = Fleet((*RECORDS, *WAVES), nodes=3)
        self.fleet.run(3)
        self.number = 0
        self.flights = []
        self.begun = {}
        self.last = self.fleet.view

    def node(self, index):
        return self.fleet.nodes[index]

    @rule(index=NODES, other=NODES, seconds=st.sampled_from([0.0, 0.3, 1.0]))
    def tick(self, index, other, seconds):
        """Tick one daemon; another works between its read and its commit."""
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
            self.every_revision_holds()
        self.fleet.nodes = nodes

    @rule(index=NODES, out=st.booleans(), lose=st.integers(0, 3))
    def table(self, index, out, lose):
        self.node(index).table.out, self.node(index).table.lose = out, lose

    @rule(index=NODES)
    def restart(self, index):
        self.node(index).boot()
        self.flights = [flight for flight in self.flights if flight[0] != index]

    @rule(hosts=st.sets(HOSTS, max_size=9))
    def members(self, hosts):
        self.fleet.membership.listed = tuple(Member(host) for host in sorted(hosts))

    @rule(index=NODES, host=HOSTS, answered=st.booleans(), times=st.integers(1, 4))
    def evidence(self, index, host, answered, times):
        for _ in range(times):
            self.node(index).roster.heard(host, answered)

    @rule(index=NODES, host=HOSTS, action=st.sampled_from(HostAction), pool=st.sampled_from("ab"))
    def operator(self, index, host, action, pool):
        self.number += 1
        asked = HostOrder(f"op-{self.number}", action, host, pool, GRACE_S)
        self.attempt(lambda: self.node(index).desk.host(asked, "ann"))

    @rule(index=NODES, action=st.sampled_from(WaveAction), name=st.sampled_from("wv"))
    def drive(self, index, action, name):
        self.attempt(lambda: self.node(index).desk.wave(WaveOrder(action, name), "ann"))

    @rule(index=NODES, hosts=st.sets(HOSTS, min_size=1), services=st.sampled_from(["a", "b", "ab"]))
    def begin_requests(self, index, hosts, services):
        """A request starts only where the host still belongs to its pool and is not out."""
        node = self.node(index)
        for host, service in itertools.product(sorted(hosts), services):
            if host not in node.holder.current.hosts:
                return
            try:
                node.enter(service, host)
            except EndpointLeavingError:
                continue
            held = self.fleet.view.assignment(host)
            assert held.pool == service
            assert held.state is not AssignmentState.OUT
            self.flights.append((index, host))

    @precondition(lambda self: self.flights)
    @rule(data=st.data())
    def end_request(self, data):
        index, host = self.flights.pop(data.draw(st.integers(0, len(self.flights) - 1)))
        self.node(index).usage.leave(address_of(host, int(host[2:])))

    def attempt(self, work):
        try:
            work()
        except InvariantError:
            raise
        except GypsumplankError:
            return

    @invariant()
    def every_revision_holds(self):
        """Replay each accepted change: one pool a host, flips only after drains, budgets held."""
        view = self.last
        for entry in self.fleet.store.entries(view.revision):
            after = apply_entries(view, (entry,))
            for host in view.hosts:
                self.check_step(host, view.assignment(host), after.assignment(host))
            for pool, floor in POOLS.items():
                assert standing_of(after, pool).in_service >= floor
            members = [host for pool in POOLS for host in after.hosts_of(pool)]
            assert sorted(members) == sorted(after.hosts)
            view = after
        self.last = view
        for held in self.last.waves:
            self.check_wave(held)

    def check_step(self, host, was, now):
        if was == now:
            return
        assert now.epoch == was.epoch + 1
        if now.state is AssignmentState.DRAINING:
            self.begun[host] = self.fleet.clock.now
        if was.pool != now.pool:
            assert (was.state, was.target_pool) == (AssignmentState.DRAINING, now.pool)
        left = now.state is AssignmentState.OUT or was.pool != now.pool
        flights = [flight for flight in self.flights if flight[1] == host]
        if left and flights:
            waited = self.fleet.clock.now - self.begun[host]
            assert waited >= GRACE_S - 1.0, (host, flights, waited)

    def check_wave(self, name):
        view = self.last
        out = [host for host, held in view.assignments.items() if held.run.startswith(f"{name}#")]
        assert len(out) <= 2
        for pool in POOLS:
            zones = {view.hosts[host].zone for host in out if view.assignment(host).pool == pool}
            assert len(zones) <= 1


FleetMachine.TestCase.settings = settings(stateful_step_count=50)
TestFleet = FleetMachine.TestCase
