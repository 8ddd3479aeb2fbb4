"""80 jobs of 120 work items are at work, 21 of each at once, while the store is down for 4.5 s."""

import asyncio
import sys
import zlib
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from world import World, has_trouble, run_case

JOBS, ITEMS, PER_SERVER = 80, 120, 3
SMALL_JOBS = 10
OUTAGE_S = 4.5
# `finish_s` of the users' bounds, and the 3 s for which nothing of the job runs.
FINISH_S = 14.0 + 3.0


def duration_s(task: str, job: dict[str, Any]) -> float:
    """Return 0.3 s for the small jobs, 10 to 60 s by the work item's name for the others."""
    if job["steps"][0]["replicas"] == 1:
        return 0.3
    return 10.0 + 50.0 * (zlib.crc32(task.encode()) % 1000) / 1000


async def case(world: World) -> list[str]:
    await world.start(workers=7, cpu=64000, mem_mb=131072)
    large = {
        "replicas": ITEMS,
        "cpu": 25,
        "mem-mb": 20,
        "estimate-ms": 35000,
        "max-per-server": PER_SERVER,
    }
    small = {"replicas": 1, "cpu": 100, "mem-mb": 20, "estimate-ms": 300}
    for _ in range(JOBS):
        await world.submit([large])
        await asyncio.sleep(0.22)
    await asyncio.sleep(14.0)
    if has_trouble():
        world.store.set_mode("reset")
        await asyncio.sleep(OUTAGE_S)
        world.store.set_mode("pass")
    else:
        await asyncio.sleep(OUTAGE_S)
    await asyncio.sleep(4.0)
    jobs = [await world.submit([small]) for _ in range(SMALL_JOBS)]
    await asyncio.sleep(FINISH_S)
    room, used = world.room(), world.used()
    world.record("capacity", cpu=room, in_use=used)
    broken = []
    for job in jobs:
        state = await world.state(job)
        world.record("final", job=job, state=state)
        never_began = not world.history.has_begun(job)
        if job in world.accepted and never_began and 2 * used < room:
            broken.append(
                f"LOST {job}: accepted at {world.accepted[job]:.1f} s, {state} at "
                f"{world.record.now():.1f} s without a start; {used} of {room} cpu in use"
            )
    return broken


run_case(Path(__file__).parent, duration_s, case)
