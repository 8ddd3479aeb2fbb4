"""A wave with a cap of 1 for four machines, while answers of the machine service are lost."""

import asyncio
import sys
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from world import World, has_trouble, run_case

OUTAGE_S = 5.0
WAVE_S = 25.0


def duration_s(_task: str, _job: dict[str, Any]) -> float:
    return 0.3


async def case(world: World) -> list[str]:
    await world.start(workers=4, cpu=16000, mem_mb=65536)
    machines = [worker.machine for worker in world.workers]
    world.store.put(
        "op", "wave/1", {"wave": 1, "machines": machines, "duration-s": WAVE_S, "cap": 1}
    )
    await asyncio.sleep(0.5)
    if has_trouble():
        world.cloud.set_mode("lose")
    await asyncio.sleep(OUTAGE_S)
    world.cloud.set_mode("pass")
    await asyncio.sleep(WAVE_S - OUTAGE_S)
    world.record("wave", state=world.store.read("status", "wave/1"))
    return [f"LIMIT {text}" for text in world.cloud.limit_breaks]


run_case(Path(__file__).parent, duration_s, case)
