"""Measure the cost of task placement and the start delay of urgent tasks."""

import random
import sys
import time
from collections.abc import Iterator
from concurrent.futures import Executor, Future
from dataclasses import replace
from typing import Any

from bench.load import quantile
from demo.cluster import ROOT
from gypsumplank.coordination.agent import MemoryAgents
from gypsumplank.coordination.placement import Candidate, HostCapacity, Placer, RunningAttempt
from gypsumplank.coordination.task import TaskController
from gypsumplank.porcelain import format_table
from gypsumplank.protocol.record import Kind, Record
from gypsumplank.protocol.task import AgentState, Task, TaskDefinition, TaskResources, TaskState
from gypsumplank.state.clock import ManualClock
from gypsumplank.state.table import Check, MemoryTable, Txn, Write
from gypsumplank.state.task import TaskStore
from gypsumplank.state.view import View, build_view

SEED = 7
HOSTS = 12
HOST_CORES = 64
ROUND_INTERVAL_S = 0.25
ROUNDS = 800
TEAMS = 12
RENDERS_PER_S = 3
DECLARED_SIZE_FACTOR = 4.0
URGENT_INTERVAL_ROUNDS = 40
MAX_URGENT_START_S = 2.2
# (hosts, queued tasks)
PLAN_SIZES = ((81, 200), (425, 1000), (1700, 4000))


class InlineExecutor(Executor):
    """Run each call immediately in the calling thread."""

    def submit(self, fn: Any, /, *args: Any, **kwargs: Any) -> Future[Any]:
        """Run the call and return its completed future."""
        fut: Future[Any] = Future()
        fut.set_result(fn(*args, **kwargs))
        return fut


def make_view() -> View:
    """Return a view of one pool whose hosts are spread over four zones."""
    hosts = [
        Record(
            Kind.HOST,
            f"h{number}",
            2,
            {
                "address": f"h{number}",
                "pool": "p",
                "zone": f"z{number % 4}",
                "rack": f"r{number // 4}",
                "cores": HOST_CORES,
                "memory_gb": 128,
            },
        )
        for number in range(HOSTS)
    ]
    return build_view(1, (Record(Kind.POOL, "p", 2), *hosts))


class PlacementTrial:
    """Run a task controller with a long queue of renders and occasional urgent tasks.

    With `report_usage`, agents report the actual usage, from which the controller learns.
    """

    def __init__(self, report_usage: bool) -> None:
        self.clock = ManualClock(1000.0)
        self.rng = random.Random(SEED)
        self.agents = MemoryAgents(self.clock)
        memory_table = MemoryTable()
        self.store = TaskStore(memory_table, memory_table)
        version = memory_table.commit(Txn((), (Write("leases", "p", b""),)))
        view = make_view()
        fence = Check("leases", "p", version)
        self.controller = TaskController(
            lambda: view,
            self.store,
            self.agents,
            lambda _pool: fence,
            self.clock,
            InlineExecutor(),
        )
        self.report_usage = report_usage
        self.submitted = 0
        self.finished = 0
        self.pending_urgent: dict[str, float] = {}
        self.urgent_waits_s: list[float] = []
        self.end_times: dict[str, float] = {}

    def submit(self, urgency: int) -> str:
        """Queue a task whose declared size is 4 times its actual usage; return its id."""
        task_id = f"{int(self.clock.wall() * 1000):013d}-{self.submitted:06d}"
        self.submitted += 1
        actual = TaskResources(self.rng.choice((2.0, 4.0, 8.0)), 2.0)
        declared = actual.scaled(DECLARED_SIZE_FACTOR, DECLARED_SIZE_FACTOR)
        order = TaskDefinition("s", f"team-{self.submitted % TEAMS}", declared, urgency=urgency)
        self.store.submit(Task(task_id, "p", order, self.clock.wall()))
        return task_id

    def run(self) -> None:
        """Run all planning rounds."""
        for round_number in range(ROUNDS):
            if round_number % 4 == 0:
                for _ in range(RENDERS_PER_S):
                    self.submit(7)
            if round_number % URGENT_INTERVAL_ROUNDS == URGENT_INTERVAL_ROUNDS - 1:
                self.pending_urgent[self.submit(0)] = self.clock.now
            self.controller.tick()
            self._advance_attempts()
            self._record_urgent_starts()
            self.clock.advance(ROUND_INTERVAL_S)

    def _advance_attempts(self) -> None:
        """Report the usage of running tasks and finish those whose run time is over."""
        for agent in self.agents.agents.values():
            for task_id in agent.running():
                self.end_times.setdefault(task_id, self.clock.now + self.rng.uniform(20, 60))
                if self.report_usage:
                    declared = agent.attempts[task_id].start.order.size
                    agent.set_usage(
                        task_id, declared.scaled(1 / DECLARED_SIZE_FACTOR, 1 / DECLARED_SIZE_FACTOR)
                    )
                if self.end_times[task_id] <= self.clock.now:
                    agent.end(task_id, agent.attempts[task_id].report.token, AgentState.FINISHED)
                    self.finished += 1

    def _record_urgent_starts(self) -> None:
        for task_id in list(self.pending_urgent):
            if self.store.get(task_id).task.state is not TaskState.QUEUED:
                self.urgent_waits_s.append(self.clock.now - self.pending_urgent.pop(task_id))


def trial_rows() -> Iterator[dict[str, Any]]:
    """Yield one row for planning with declared sizes and one with learned sizes."""
    for label, report_usage in (("declared sizes believed", False), ("sizes learned", True)):
        trial = PlacementTrial(report_usage)
        started = time.process_time()
        trial.run()
        cpu_s = (time.process_time() - started) / ROUNDS
        yield {
            "planning": label,
            "renders finished": trial.finished,
            "urgent started": len(trial.urgent_waits_s),
            "never started": len(trial.pending_urgent),
            "start p50 s": round(quantile(trial.urgent_waits_s, 0.5), 2),
            "start p99 s": round(quantile(trial.urgent_waits_s, 0.99), 2),
            "round ms": round(cpu_s * 1000, 2),
        }


def make_hosts(count: int) -> list[HostCapacity]:
    """Return hosts in five zones, some with accelerators."""
    return [
        HostCapacity(
            f"h{number}",
            f"z{number % 5}",
            f"r{number // 4}",
            TaskResources(64.0, 128.0, number % 5),
        )
        for number in range(count)
    ]


def make_candidate(number: int, rng: random.Random) -> Candidate:
    """Return a queued task that belongs to one of 120 teams."""
    size = TaskResources(rng.choice((2.0, 4.0, 8.0)), 4.0, rng.choice((0, 0, 1)))
    order = TaskDefinition("s", f"team-{number % 120}", size, urgency=rng.randrange(8))
    return Candidate(Task(f"t{number:06d}", "p", order, float(number)), size)


def plan_cost_rows() -> Iterator[dict[str, Any]]:
    """Yield the cost of one plan at three fleet sizes, up to the hosts of all 21 pools."""
    for host_count, task_count in PLAN_SIZES:
        rng = random.Random(SEED)
        hosts = make_hosts(host_count)
        running = {
            host.name: [
                RunningAttempt(replace(cand.task, host=host.name), cand.size)
                for cand in (make_candidate(number, rng) for number in range(4))
            ]
            for host in hosts
        }
        waiting = [make_candidate(number, rng) for number in range(task_count)]
        started_s = time.process_time()
        plan = Placer(hosts, running, {}).plan(waiting)
        cpu_s = time.process_time() - started_s
        yield {
            "hosts": host_count,
            "queued": task_count,
            "started": len(plan.starts),
            "plan s": round(cpu_s, 3),
            "us a queued task": round(cpu_s / task_count * 1e6),
        }


def main() -> None:
    """Print the report and write it to docs/measurements."""
    text = (
        f"{format_table(trial_rows())}\ntarget: urgent work starts within {MAX_URGENT_START_S} s "
        f"at p99; simulated clock, seed {SEED}\n\n{format_table(plan_cost_rows())}\n"
    )
    sys.stdout.write(text)
    (ROOT / "docs" / "measurements" / "placement.txt").write_text(text, encoding="utf-8")


if __name__ == "__main__":
    main()
