"""Learn how far declared sizes are off from what tasks are seen to use."""

from collections.abc import Callable
from dataclasses import dataclass

from ddsketch import DDSketch

from gypsumplank.protocol.task import Size, TaskOrder

QUANTILE = 0.95
ACCURACY = 0.02
MIN_SAMPLES = 10
MIN_RATIO = 0.05
MAX_RATIO = 20.0
NO_RATIO = 1.0


@dataclass(frozen=True)
class Ratios:
    """Hold used over declared, by resource."""

    cores: float = NO_RATIO
    memory: float = NO_RATIO


class Sizing:
    """Estimate a task's size from its declaration and the usage of its like."""

    def __init__(self, make_sketch: Callable[[], DDSketch] = lambda: DDSketch(ACCURACY)) -> None:
        self._make_sketch = make_sketch
        self._cores: dict[str, DDSketch] = {}
        self._memory: dict[str, DDSketch] = {}

    def learn(self, order: TaskOrder, used: Size) -> None:
        """Take in what one task used at its peak."""
        key = _key(order)
        if order.size.cores > 0:
            self._sketch(self._cores, key).add(used.cores / order.size.cores)
        if order.size.memory_gb > 0:
            self._sketch(self._memory, key).add(used.memory_gb / order.size.memory_gb)

    def ratios(self, order: TaskOrder) -> Ratios:
        """Return the ratios learned for tasks of this service and team."""
        key = _key(order)
        return Ratios(_ratio(self._cores.get(key)), _ratio(self._memory.get(key)))

    def estimate(self, order: TaskOrder) -> Size:
        """Return the size to plan with; accelerators are taken as declared."""
        ratios = self.ratios(order)
        return order.size.scaled(ratios.cores, ratios.memory)

    def _sketch(self, held: dict[str, DDSketch], key: str) -> DDSketch:
        if key not in held:
            held[key] = self._make_sketch()
        return held[key]


def _key(order: TaskOrder) -> str:
    return f"{order.service}/{order.team}"


def _ratio(sketch: DDSketch | None) -> float:
    if sketch is None or sketch.count < MIN_SAMPLES:
        return NO_RATIO
    learned: float = sketch.get_quantile_value(QUANTILE) or NO_RATIO
    return min(MAX_RATIO, max(MIN_RATIO, learned))
