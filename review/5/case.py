"""The operator takes a route out of the manifest by mistake, and puts it back 6 s later."""

import asyncio
import sys
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from world import MAX_ATTEMPTS, World, has_trouble, run_case

JOBS = 5
WORK_S = 4.0


def duration_s(_task: str, _job: dict[str, Any]) -> float:
    return WORK_S


async def case(world: World) -> list[str]:
    await world.start(workers=3, cpu=16000, mem_mb=65536)
    # The first run of each work item fails through its own fault, the second one is done.
    world.how_ends = lambda _task, run: "failed" if run == 1 else "done"
    step = {"replicas": 1, "cpu": 1000, "mem-mb": 200, "estimate-ms": 4000}
    for _ in range(JOBS):
        await world.submit([step])
    await asyncio.sleep(1.0)
    if has_trouble():
        world.put_manifest(9, with_route=False)
    await asyncio.sleep(6.0)
    if has_trouble():
        world.put_manifest(14)
    await asyncio.sleep(17.0)
    broken = []
    for job in world.accepted:
        state = await world.state(job)
        world.record("final", job=job, state=state)
        failures = world.history.failures.get(f"{job}.0.0.0", 0)
        if state == "failed" and failures < MAX_ATTEMPTS:
            broken.append(
                f"LOST {job}: shown as failed after {failures} of {MAX_ATTEMPTS} failed runs"
            )
    return broken


run_case(Path(__file__).parent, duration_s, case)
