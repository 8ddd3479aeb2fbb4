"""The store is down right after the lead was handed over at a planned stop."""

import random
import signal
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common2"))
from world import main  # noqa: E402

STEP = [{"replicas": 3, "cpu": 500, "mem-mb": 256, "estimate-ms": 1500}]
LASTING = [{"replicas": 4, "cpu": 500, "mem-mb": 256, "long-running": True}]
WORKERS = 48
ROUNDS = 8
EVERY_S = 10.0
DOWN_S = 6.5


def hand_in(world, stop):
    while not stop.wait(0.25):
        world.submit(STEP, random.uniform(0.8, 2.5))


def find_broken(world):
    """Return the runs of one work item that overlap, and starts after an end that was noted."""
    broken = []
    by_task = {}
    for run in sorted(world.runs, key=lambda run: run["began"]):
        for earlier in by_task.setdefault(run["task"], []):
            overlaps = earlier["ended"] is None or earlier["ended"] > run["began"]
            if overlaps or (earlier["how"] == "done" and earlier["noted"]):
                why = "at the same time" if overlaps else "after a noted end as done"
                broken.append(
                    f"{run['task']} run {run['run']} on {run['worker']} at {run['began']:.3f} {why}:"
                    f" run {earlier['run']} on {earlier['worker']}"
                    f" {earlier['began']:.3f} to {earlier['ended']} {earlier['how']}"
                )
        by_task[run["task"]].append(run)
    return broken


def case(world, trouble):
    world.configure({}, ["desk"])
    for number in range(WORKERS):
        world.add_worker(f"w-{number:02}", "desk", labels=("a", f"r1-{number // 4}"))
    world.start()
    for _ in range(3):
        world.submit(LASTING, 1000.0)
    stop = threading.Event()
    threads = [threading.Thread(target=hand_in, args=(world, stop), daemon=True) for _ in range(6)]
    for thread in threads:
        thread.start()
    time.sleep(5.0)
    armed, due = [], []

    def is_next(_token):
        armed.extend(due)
        due.clear()

    def begin_outage():
        if armed:
            armed.clear()
            world.silent_until = time.monotonic() + DOWN_S
            world.record.add(f"the store is silent for {DOWN_S} s")

    world.on_write = begin_outage
    world.on_new_token = is_next
    for _ in range(ROUNDS):
        leader = world.leader()
        if not leader:
            raise RuntimeError("no daemon leads")
        if trouble:
            due.append(True)
        world.record.add(f"SIGTERM to {leader}")
        world.processes[leader].send_signal(signal.SIGTERM)
        time.sleep(EVERY_S)
    stop.set()
    time.sleep(10.0)
    broken = find_broken(world)
    for line in broken:
        world.record.add(f"TWICE: {line}")
    return f"TWICE: {len(broken)} starts, first {broken[0]}" if broken else ""


main(case, Path(__file__).parent)
