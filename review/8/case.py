"""Jobs with many occurrences take more memory than a daemon has."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common2"))
from world import LIMITS, main  # noqa: E402

JOBS = 4
MINUTE_MS = 60_000
MONTH = 30 * 24 * 60
STEP = [{"replicas": 1, "cpu": 500, "mem-mb": 256, "estimate-ms": 1000}]
FINISH_S = 14


def case(world, trouble):
    world.configure({}, ["desk"])
    for number in range(4):
        world.add_worker(f"w-{number}", "desk")
    world.memory_mb = LIMITS["memory-mb"]
    world.start()
    first, _ = world.submit(STEP)
    if world.wait_for(first, ("completed",), 15.0) != "completed":
        raise RuntimeError("the first job has not run")
    start_ms = int(time.time() * 1000) + 3_600_000
    for _ in range(JOBS):
        times = {"repeat-count": MONTH if trouble else 30, "start-at-ms": start_ms}
        if not world.submit(STEP, **times, **{"interval-ms": MINUTE_MS})[1]:
            raise RuntimeError("a scheduled job was not accepted")
    # Once it has read these jobs, the leader has had time to be killed.
    time.sleep(5.0)
    later = [job for job, accepted in (world.submit(STEP) for _ in range(5)) if accepted]
    time.sleep(30.0)
    time.sleep(FINISH_S)
    states = {job: world.state(job) for job in later}
    world.record.add(f"killed for their memory: {world.memory_ends}")
    late = {job: state for job, state in states.items() if state != "completed"}
    often = [name for name, ends in world.memory_ends.items() if ends >= 3]
    if len(often) >= 2 or late:
        return (
            f"Fault, LOST: killed for their memory {world.memory_ends};"
            f" {len(late)} of {len(later)} accepted jobs of 1 s are {sorted(set(late.values()))}"
        )
    return ""


main(case, Path(__file__).parent)
