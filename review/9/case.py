"""A queue's policy allows workers that are not among the first 30 of its service."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common2"))
from world import main  # noqa: E402

WORKERS = 40
ALLOWED = 5
JOB = [{"replicas": 2, "cpu": 500, "mem-mb": 256, "estimate-ms": 1000}]


def case(world, trouble):
    hint = {"decide-ms": 50, "period-ms": 5, "valid-ms": 10000}
    world.configure({"hint": hint}, ["desk"])
    names = [f"w-{number:02}" for number in range(WORKERS)]
    for number, name in enumerate(names):
        world.add_worker(name, "desk", labels=("a", f"r1-{number // 4}"))
    world.allowed = set(names[-ALLOWED:] if trouble else names[:ALLOWED])
    world.record.add(f"the policy allows {sorted(world.allowed)}")
    world.start()
    # Let the leader reach all workers first.
    time.sleep(5.0)
    job, accepted = world.submit(JOB)
    if not accepted:
        raise RuntimeError("the job was not accepted")
    state = world.wait_for(job, ("completed",), 45.0)
    if state != "completed" and not world.runs_of(job):
        return f"LOST: accepted job {job} is {state} after 45 s, nothing of it has ever started"
    return ""


main(case, Path(__file__).parent)
