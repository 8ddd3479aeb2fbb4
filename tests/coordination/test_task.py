"""Run two competing task controllers with unresponsive workers, lost responses and cancels."""

import contextlib
from collections import Counter
from concurrent.futures import Executor, Future

import msgspec
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from gypsumplank.coordination.agent import MemoryAgents
from gypsumplank.coordination.task import TaskController
from gypsumplank.coordination.taskpool import ATTEMPT_LEASE_S, LEASE_LAPSE_MARGIN_S
from gypsumplank.errors import AgentError, StateError, StateUnavailableError, StateUnknownError
from gypsumplank.protocol.record import Kind, Record
from gypsumplank.protocol.spec import AssignmentState
from gypsumplank.protocol.task import (
    FINAL_STATES,
    AgentState,
    PreemptionMethod,
    Task,
    TaskDefinition,
    TaskResources,
    TaskState,
)
from gypsumplank.state.clock import ManualClock
from gypsumplank.state.table import Check, MemoryTable, Txn, Write
from gypsumplank.state.task import TaskStore
from gypsumplank.state.view import build_view

HOSTS = ("h0", "h1", "h2", "h3")
FENCE_TABLE = "leases"


class InlineExecutor(Executor):
    """Run each call at once."""

    def submit(self, fn, /, *args, **kwargs):
        fut = Future()
        fut.set_result(fn(*args, **kwargs))
        return fut


class FaultyTable(MemoryTable):
    """Raise on each call during an `outage`, or once after a commit took effect."""

    def __init__(self):
        super().__init__()
        self.outage = False
        self.lose_next_response = False

    def get(self, table, key):
        self._check_outage()
        return super().get(table, key)

    def scan(self, table, prefix="", after="", limit=1000):
        self._check_outage()
        return super().scan(table, prefix, after, limit)

    def commit(self, txn):
        self._check_outage()
        version = super().commit(txn)
        if self.lose_next_response:
            self.lose_next_response = False
            raise StateUnknownError
        return version

    def _check_outage(self):
        if self.outage:
            raise StateUnavailableError


def host_record(name, cores=8):
    spec = {"address": name, "pool": "p", "zone": "z", "rack": name, "cores": cores}
    return Record(Kind.HOST, name, 2, {**spec, "memory_gb": 64})


def make_view(extra=()):
    records = [
        Record(Kind.POOL, "p", 2, {"budget": {"min_in_service": 2}}),
        *(host_record(name) for name in HOSTS),
        *extra,
    ]
    return build_view(1, records)


def drained(host, state=AssignmentState.DRAINING):
    return Record(Kind.ASSIGNMENT, host, 2, {"pool": "p", "state": state.value, "grace_s": 25.0})


class DelayingAgents(MemoryAgents):
    """Queue starts, as a paused sender would, for later delivery in any order."""

    def __init__(self, clock):
        super().__init__(clock)
        self.delaying = False
        self.queued = []

    def start(self, address, start):
        if self.delaying:
            self.queued.append((address, start))
            raise AgentError("no response yet")
        super().start(address, start)

    def deliver(self, number):
        address, start = self.queued.pop(number)
        with contextlib.suppress(AgentError):
            super().start(address, start)


class Fleet:
    """Set up two controllers over one table and one set of agents."""

    def __init__(self):
        self.clock = ManualClock(1000.0)
        self.table = FaultyTable()
        self.agents = DelayingAgents(self.clock)
        self.view = make_view()
        self.store = TaskStore(self.table, self.table)
        self.lease_version = self.table.commit(Txn((), (Write(FENCE_TABLE, "p", b"0"),)))
        self.fences = {0: Check(FENCE_TABLE, "p", self.lease_version), 1: None}
        self.controllers = [self._controller(number) for number in (0, 1)]
        self.count = 0

    def _controller(self, number):
        return TaskController(
            lambda: self.view,
            self.store,
            self.agents,
            lambda pool: self.fences[number],
            self.clock,
            InlineExecutor(),
        )

    def take_over(self, number):
        """Give the lease to a controller; the other keeps its stale fence until it learns of it."""
        version = MemoryTable.commit(self.table, Txn((), (Write(FENCE_TABLE, "p", b"x"),)))
        self.fences[number] = Check(FENCE_TABLE, "p", version)

    def submit(self, **order):
        task_id = f"{int(self.clock.wall() * 1000):013d}-{self.count:04d}"
        self.count += 1
        order = TaskDefinition("s", **order)
        self.store.submit(Task(task_id, "p", order, self.clock.wall()))
        return task_id

    def state(self, task_id):
        return self.store.get(task_id).task

    def rounds(self, number=0, count=4, step_s=0.5):
        for _ in range(count):
            self.controllers[number].tick()
            self.clock.advance(step_s)

    def end(self, task_id, state=AgentState.FINISHED):
        task = self.state(task_id)
        self.agents.agent_at(task.host).end(task_id, task.token, state)


def test_task_runs_to_its_end():
    fleet = Fleet()
    task = fleet.submit()
    fleet.rounds()
    assert fleet.state(task).state is TaskState.RUNNING
    fleet.end(task)
    fleet.rounds(count=8)
    assert fleet.state(task).state is TaskState.FINISHED


def test_impossible_task_gets_a_reason():
    fleet = Fleet()
    task = fleet.submit(size=TaskResources(100.0, 1.0))
    fleet.rounds()
    found = fleet.state(task)
    assert found.state is TaskState.IMPOSSIBLE
    assert "100 cores" in found.reason


def test_task_that_fails_on_several_hosts_is_set_aside():
    fleet = Fleet()
    task = fleet.submit()
    for _ in range(40):
        fleet.rounds(count=1)
        if fleet.state(task).state is TaskState.RUNNING:
            fleet.end(task, AgentState.FAILED)
    found = fleet.state(task)
    assert found.state is TaskState.SET_ASIDE
    assert len(found.failed_on) == 3


def test_worker_that_fails_everything_is_quarantined_within_the_budget():
    fleet = Fleet()
    tasks = [fleet.submit(size=TaskResources(4.0, 1.0)) for _ in range(24)]
    for _ in range(80):
        fleet.rounds(count=1)
        for task in tasks:
            found = fleet.state(task)
            if found.state is TaskState.RUNNING:
                bad = found.host == "h0"
                fleet.end(task, AgentState.FAILED if bad else AgentState.FINISHED)
    assert Counter(fleet.state(task).state for task in tasks) == {TaskState.FINISHED: 24}
    selection = fleet.controllers[0].pools["p"].quarantine.select(HOSTS, fleet.clock.now, 2)
    assert "h0" in (*selection.quarantined, *selection.probing)


def test_cancelled_task_is_stopped_with_one_write():
    fleet = Fleet()
    task = fleet.submit()
    fleet.rounds()
    host = fleet.state(task).host
    before = fleet.table.commit(Txn())
    fleet.store.cancel(task)
    assert fleet.table.commit(Txn()) == before + 2
    fleet.rounds(count=40)
    assert fleet.state(task).state is TaskState.CANCELLED
    assert fleet.agents.agent_at(host).running() == ()


def test_drain_checkpoints_a_task_that_continues_on_another_host():
    fleet = Fleet()
    task = fleet.submit()
    fleet.rounds()
    first = fleet.state(task)
    fleet.view = make_view((drained(first.host),))
    fleet.rounds(count=12)
    second = fleet.state(task)
    assert second.state is TaskState.RUNNING
    assert second.host != first.host
    assert second.checkpoint == f"{task}-{first.token}"
    assert second.token == first.token + 1


def test_drain_waits_for_a_task_without_checkpoints_then_stops_it():
    fleet = Fleet()
    task = fleet.submit(yields=(PreemptionMethod.STOP,))
    fleet.rounds()
    first = fleet.state(task)
    fleet.view = make_view((drained(first.host),))
    fleet.rounds(count=20)
    assert fleet.state(task).host == first.host
    fleet.rounds(count=40)
    assert fleet.state(task).host != first.host


def test_urgent_task_starts_on_a_full_pool_within_its_time_bound():
    fleet = Fleet()
    for _ in HOSTS:
        fleet.submit(
            size=TaskResources(8.0, 1.0),
            urgency=7,
            yields=(PreemptionMethod.CHECKPOINT, PreemptionMethod.STOP),
        )
    fleet.rounds()
    started = fleet.clock.now
    urgent = fleet.submit(size=TaskResources(8.0, 1.0), urgency=0)
    while fleet.state(urgent).state is not TaskState.RUNNING:
        fleet.rounds(count=1, step_s=0.25)
        assert fleet.clock.now - started <= 2.2


def test_unresponsive_host_keeps_its_task_until_the_lease_has_lapsed():
    fleet = Fleet()
    task = fleet.submit()
    fleet.rounds()
    first = fleet.state(task)
    agent = fleet.agents.agent_at(first.host)
    fleet.agents.unreachable.add(first.host)
    while fleet.state(task).host == first.host:
        assert fleet.clock.now < 1100
        fleet.rounds(count=1)
    assert agent.running() == ()


class TaskMachine(RuleBasedStateMachine):
    """Interleave submissions, ends, cancellations, drains, lease takeovers and faults."""

    def __init__(self):
        super().__init__()
        self.fleet = Fleet()
        self.ids = []
        self.cancelled = set()
        self.ended = {}

    @rule(cores=st.sampled_from([1.0, 4.0, 8.0]), urgency=st.sampled_from([0, 3, 7]))
    def submit(self, cores, urgency):
        with contextlib.suppress(StateError):
            self.ids.append(self.fleet.submit(size=TaskResources(cores, 1.0), urgency=urgency))

    @rule(number=st.sampled_from([0, 1]))
    def tick(self, number):
        self.fleet.controllers[number].tick()

    @rule(seconds=st.sampled_from([0.3, 1.0, 3.0]))
    def wait(self, seconds):
        self.fleet.clock.advance(seconds)

    @rule(number=st.sampled_from([0, 1]))
    def take_over(self, number):
        self.fleet.take_over(number)

    @rule(number=st.sampled_from([0, 1]))
    def learn_of_loss(self, number):
        self.fleet.fences[number] = None

    @rule(host=st.sampled_from(HOSTS))
    def toggle_reachable(self, host):
        self.fleet.agents.unreachable ^= {host}

    @rule(host=st.sampled_from(HOSTS))
    def drain(self, host):
        self.fleet.view = make_view((drained(host),))

    @rule()
    def undrain(self):
        self.fleet.view = make_view()

    @rule()
    def toggle_start_delay(self):
        self.fleet.agents.delaying = not self.fleet.agents.delaying

    @precondition(lambda self: self.fleet.agents.queued)
    @rule(data=st.data())
    def deliver_late(self, data):
        last = len(self.fleet.agents.queued) - 1
        self.fleet.agents.deliver(data.draw(st.integers(0, last)))

    @rule()
    def outage(self):
        self.fleet.table.outage = not self.fleet.table.outage

    @rule()
    def lose_answer(self):
        self.fleet.table.lose_next_response = True

    @precondition(lambda self: self.ids)
    @rule(data=st.data())
    def cancel(self, data):
        task = data.draw(st.sampled_from(self.ids))
        with contextlib.suppress(StateError):
            if self.fleet.store.cancel(task).state is TaskState.CANCELLED:
                self.cancelled.add(task)

    @rule(data=st.data(), state=st.sampled_from([AgentState.FINISHED, AgentState.FAILED]))
    def end(self, data, state):
        running = [
            (agent, name) for agent in self.fleet.agents.agents.values() for name in agent.running()
        ]
        if not running:
            return
        agent, name = data.draw(st.sampled_from(running))
        agent.end(name, agent.attempts[name].report.token, state)

    @invariant()
    def no_task_runs_twice_at_once(self):
        running = Counter(
            name for agent in self.fleet.agents.agents.values() for name in agent.running()
        )
        assert all(count == 1 for count in running.values()), running

    @invariant()
    def final_states_do_not_change(self):
        rows = MemoryTable.scan(self.fleet.table, "tasks")
        for row in rows:
            task = self._decode(row)
            known = self.ended.get(task.id)
            assert known is None or known == task
            if task.state in FINAL_STATES:
                self.ended[task.id] = task
        assert all(self.ended.get(name) for name in self.cancelled)

    @invariant()
    def no_task_is_lost(self):
        rows = {row.key: self._decode(row) for row in MemoryTable.scan(self.fleet.table, "tasks")}
        still_open = {self._decode(row) for row in MemoryTable.scan(self.fleet.table, "open_tasks")}
        assert still_open == {task for task in rows.values() if task.state not in FINAL_STATES}
        assert set(self.ids) <= set(rows)

    def teardown(self):
        """Clear all faults; every open task must then reach a final state."""
        fleet = self.fleet
        fleet.table.outage = fleet.table.lose_next_response = False
        fleet.agents.unreachable.clear()
        fleet.agents.delaying = False
        fleet.view = make_view()
        fleet.fences[1] = None
        fleet.take_over(0)
        fleet.clock.advance(ATTEMPT_LEASE_S + LEASE_LAPSE_MARGIN_S)
        for _ in range(400):
            fleet.rounds(count=1, step_s=1.0)
            for agent in fleet.agents.agents.values():
                for name in agent.running():
                    agent.end(name, agent.attempts[name].report.token, AgentState.FINISHED)
            if not MemoryTable.scan(fleet.table, "open_tasks"):
                return
        raise AssertionError("open tasks are left")

    def _decode(self, row):
        return msgspec.json.decode(row.value, type=Task)


TestTaskMachine = TaskMachine.TestCase
TestTaskMachine.settings = settings(max_examples=60, stateful_step_count=60)
