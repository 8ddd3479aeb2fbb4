"""Gangs end while one of their workers is cut off for 3 s, each worker of a rack in its turn."""

import asyncio
import sys
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from world import Worker, World, has_trouble, run_case

WORKERS = 6
RACK, OTHER_RACK = "r1-0", "r1-1"
GANG_S = 3.0
CUT_S = 3.0
PLAIN_JOBS = 5
# `finish_s` of the users' bounds, and the 3 s for which nothing of the job runs.
FINISH_S = 14.0 + 3.0


def duration_s(task: str, job: dict[str, Any]) -> float:
    return GANG_S if job["steps"][int(task.split(".")[2])].get("gang") else 0.5


async def run_gang(world: World, left: list[Worker]) -> None:
    """Run a gang of two; cut off one of its workers that was not cut off yet, around its end."""
    gang = {
        "replicas": 2,
        "cpu": 9000,
        "mem-mb": 500,
        "estimate-ms": 3000,
        "gang": True,
        "preferred-rack": RACK,
    }
    last = {
        "replicas": 1,
        "cpu": 1000,
        "mem-mb": 100,
        "estimate-ms": 500,
        "after": [0],
        "requires": OTHER_RACK,
    }
    job = await world.submit([gang, last])

    async def at_work() -> bool:
        return sum(len(worker.running) for worker in world.workers) == 2

    await world.until(at_work, 10.0, "gang")
    target = next((worker for worker in left if worker.running), None)
    await asyncio.sleep(GANG_S / 2)
    if target is not None:
        left.remove(target)
        if has_trouble():
            target.set_cut(True)
    await asyncio.sleep(CUT_S)
    if target is not None and has_trouble():
        target.set_cut(False)
    await asyncio.sleep(3.0)
    world.record("gang-over", job=job, state=await world.state(job))


async def case(world: World) -> list[str]:
    await world.start(workers=WORKERS, cpu=16000, mem_mb=65536)
    left = [worker for worker in world.workers if RACK in worker.labels]
    for _ in range(len(left) + 1):
        if left:
            await run_gang(world, left)
    await asyncio.sleep(4.0)
    step = {"replicas": 1, "cpu": 8000, "mem-mb": 200, "estimate-ms": 500, "requires": RACK}
    jobs = [await world.submit([step]) for _ in range(PLAIN_JOBS)]
    await asyncio.sleep(FINISH_S)
    broken = []
    for job in jobs:
        state = await world.state(job)
        world.record("final", job=job, state=state, in_use=world.used(), cpu=world.room())
        if job in world.accepted and not world.history.has_begun(job) and not world.used():
            broken.append(
                f"LOST {job}: accepted at {world.accepted[job]:.1f} s, {state} at "
                f"{world.record.now():.1f} s without a start; {world.used()} of {world.room()} "
                "cpu in use"
            )
    return broken


run_case(Path(__file__).parent, duration_s, case)
