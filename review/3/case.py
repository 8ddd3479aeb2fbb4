"""A wave for both machines of a pool, while answers of the machine service are lost for 5 s."""

import asyncio
import sys
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from world import World, has_trouble, run_case

OUTAGE_S = 5.0
WAVE_S = 25.0
# `finish_s` of the users' bounds, and the 3 s for which nothing of the job runs.
FINISH_S = 14.0 + 3.0


def duration_s(_task: str, _job: dict[str, Any]) -> float:
    return 0.3


async def case(world: World) -> list[str]:
    await world.start(workers=2, cpu=16000, mem_mb=65536)
    step = {"replicas": 2, "cpu": 1000, "mem-mb": 200, "estimate-ms": 300}
    machines = [worker.machine for worker in world.workers]
    await world.submit([step])
    await asyncio.sleep(3.0)
    world.store.put(
        "op", "wave/1", {"wave": 1, "machines": machines, "duration-s": WAVE_S, "cap": 1}
    )
    if has_trouble():
        world.cloud.set_mode("lose")
    await asyncio.sleep(OUTAGE_S)
    world.cloud.set_mode("pass")
    jobs = []
    for _ in range(20):
        await asyncio.sleep(1.0)
        jobs.append(await world.submit([step]))
    await asyncio.sleep(FINISH_S)
    world.record("wave", state=world.store.read("status", "wave/1"))
    world.record("capacity", cpu=world.room(), in_use=world.used())
    broken = []
    for job in jobs:
        state = await world.state(job)
        world.record("final", job=job, state=state)
        if job in world.accepted and not world.history.has_begun(job):
            broken.append(
                f"LOST {job}: accepted at {world.accepted[job]:.1f} s, {state} at "
                f"{world.record.now():.1f} s without a start; {world.used()} of {world.room()} "
                "cpu in use"
            )
    return broken


run_case(Path(__file__).parent, duration_s, case)
