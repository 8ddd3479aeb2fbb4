"""Measure one round of task placement and how soon urgent work starts."""

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
from gypsumplank.coordination.placement import Candidate, Placer, Room, Running
from gypsumplank.coordination.task import TaskController
from gypsumplank.porcelain import table
from gypsumplank.protocol.record import Kind, Record
from gypsumplank.protocol.task import AgentState, Size, Task, TaskOrder, TaskState
from gypsumplank.state.clock import ManualClock
from gypsumplank.state.table import Check, MemoryTable, Txn, Write
from gypsumplank.state.task import TaskStore
from gypsumplank.state.view import View, build_view

SEED = 7
HOSTS = 12
HOST_CORES = 64
PERIOD_S = 0.25
ROUNDS = 800
TEAMS = 12
RENDERS_A_SECOND = 3
OVERSTATED = 4.0
URGENT_EVERY = 40
URGENT_TARGET_S = 2.2
PLAN_SIZES = ((81, 200), (425, 1000), (1700, 4000))


class InlineExecutor(Executor):
    """Run each call at once."""

    def submit(self, fn: Any, /, *args: Any, **kwargs: Any) -> Future[Any]:
        """Return the finished call."""
        fut: Future[Any] = Future()
        fut.set_result(fn(*args, **kwargs))
        return fut


def make_view() -> View:
    """Return a pool of hosts over four zones."""
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


class Trial:
    """Drive one controller over a flood of renders with urgent work among it."""

    def __init__(self, learn: bool) -> None:
        self.clock = ManualClock(1000.0)
        self.rng = random.Random(SEED)
        self.agents = MemoryAgents(self.clock)
        memory = MemoryTable()
        self.store = TaskStore(memory, memory)
        version = memory.commit(Txn((), (Write("leases", "p", b""),)))
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
        self.learn = learn
        self.count = 0
        self.finished = 0
        self.urgent: dict[str, float] = {}
        self.waits: list[float] = []
        self.ends: dict[str, float] = {}

    def submit(self, urgency: int) -> str:
        """Queue a render whose declared size is far above what it uses."""
        task_id = f"{int(self.clock.wall() * 1000):013d}-{self.count:06d}"
        self.count += 1
        used = Size(self.rng.choice((2.0, 4.0, 8.0)), 2.0)
        declared = used.scaled(OVERSTATED, OVERSTATED)
        order = TaskOrder("s", f"team-{self.count % TEAMS}", declared, urgency=urgency)
        self.store.submit(Task(task_id, "p", order, self.clock.wall()))
        return task_id

    def run(self) -> None:
        """Run all rounds."""
        for number in range(ROUNDS):
            if number % 4 == 0:
                for _ in range(RENDERS_A_SECOND):
                    self.submit(7)
            if number % URGENT_EVERY == URGENT_EVERY - 1:
                self.urgent[self.submit(0)] = self.clock.now
            self.controller.tick()
            self._work()
            self._watch()
            self.clock.advance(PERIOD_S)

    def _work(self) -> None:
        """Let what runs report its usage and end after its time."""
        for agent in self.agents.agents.values():
            for name in agent.running():
                self.ends.setdefault(name, self.clock.now + self.rng.uniform(20, 60))
                if self.learn:
                    declared = agent.attempts[name].start.order.size
                    agent.use(name, declared.scaled(1 / OVERSTATED, 1 / OVERSTATED))
                if self.ends[name] <= self.clock.now:
                    agent.end(name, agent.attempts[name].report.token, AgentState.FINISHED)
                    self.finished += 1

    def _watch(self) -> None:
        for name in list(self.urgent):
            if self.store.get(name).task.state is not TaskState.QUEUED:
                self.waits.append(self.clock.now - self.urgent.pop(name))


def trials() -> Iterator[dict[str, Any]]:
    """Yield a row for declared sizes believed and one for learned sizes."""
    for name, learn in (("declared sizes believed", False), ("sizes learned", True)):
        trial = Trial(learn)
        started = time.process_time()
        trial.run()
        cost = (time.process_time() - started) / ROUNDS
        yield {
            "planning": name,
            "renders finished": trial.finished,
            "urgent started": len(trial.waits),
            "never started": len(trial.urgent),
            "start p50 s": round(quantile(trial.waits, 0.5), 2),
            "start p99 s": round(quantile(trial.waits, 0.99), 2),
            "round ms": round(cost * 1000, 2),
        }


def make_rooms(count: int) -> list[Room]:
    """Return hosts over five zones, some with accelerators."""
    return [
        Room(f"h{number}", f"z{number % 5}", f"r{number // 4}", Size(64.0, 128.0, number % 5))
        for number in range(count)
    ]


def make_candidate(number: int, rng: random.Random) -> Candidate:
    """Return a queued task of one of 120 teams."""
    size = Size(rng.choice((2.0, 4.0, 8.0)), 4.0, rng.choice((0, 0, 1)))
    order = TaskOrder("s", f"team-{number % 120}", size, urgency=rng.randrange(8))
    return Candidate(Task(f"t{number:06d}", "p", order, float(number)), size)


def plan_costs() -> Iterator[dict[str, Any]]:
    """Yield the cost of one plan in all 21 pools' hosts at three sizes."""
    for hosts, tasks in PLAN_SIZES:
        rng = random.Random(SEED)
        rooms = make_rooms(hosts)
        running = {
            room.name: [
                Running(replace(cand.task, host=room.name), cand.size)
                for cand in (make_candidate(number, rng) for number in range(4))
            ]
            for room in rooms
        }
        waiting = [make_candidate(number, rng) for number in range(tasks)]
        started = time.process_time()
        plan = Placer(rooms, running, {}).plan(waiting)
        cost = time.process_time() - started
        yield {
            "hosts": hosts,
            "queued": tasks,
            "started": len(plan.starts),
            "plan s": round(cost, 3),
            "us a queued task": round(cost / tasks * 1e6),
        }


def main() -> None:
    """Print the report and keep it."""
    text = (
        f"{table(trials())}\ntarget: urgent work starts within {URGENT_TARGET_S} s at p99; "
        f"simulated clock, seed {SEED}\n\n{table(plan_costs())}\n"
    )
    sys.stdout.write(text)
    (ROOT / "docs" / "measurements" / "placement.txt").write_text(text, encoding="utf-8")


if __name__ == "__main__":
    main()
