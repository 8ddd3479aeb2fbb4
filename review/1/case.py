"""Two workers with up to 640 short work items, while the platform's store is down for 4.5 s."""

import asyncio
import sys
import zlib
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from world import World, has_trouble, run_case

JOBS, ITEMS = 4, 300
OUTAGE_S = 4.5


def duration_s(task: str, _job: dict[str, Any]) -> float:
    """Return 4 to 5.5 s, chosen by the work item's name."""
    return 4.0 + 1.5 * (zlib.crc32(task.encode()) % 1000) / 1000


async def case(world: World) -> list[str]:
    await world.start(workers=2, cpu=64000, mem_mb=131072)
    step = {"replicas": ITEMS, "cpu": 100, "mem-mb": 100, "estimate-ms": 5000}
    for _ in range(JOBS):
        await world.submit([step])

    async def first_end() -> bool:
        return bool(world.history.done)

    await world.until(first_end, 20.0, "end of a work item")
    if has_trouble():
        world.store.set_mode("reset")
        await asyncio.sleep(OUTAGE_S)
        world.store.set_mode("pass")
    else:
        await asyncio.sleep(OUTAGE_S)
    await asyncio.sleep(18.0)
    for job in world.accepted:
        world.record("final", job=job, state=await world.state(job))
    return world.history.twice()


run_case(Path(__file__).parent, duration_s, case)
