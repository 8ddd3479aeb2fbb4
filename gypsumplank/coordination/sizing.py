"""Learn the ratio of used to declared task sizes, by service and team."""

from collections.abc import Callable
from dataclasses import dataclass

from ddsketch import DDSketch

from gypsumplank.protocol.task import TaskDefinition, TaskResources

USAGE_QUANTILE = 0.95
SKETCH_ACCURACY = 0.02
MIN_SAMPLES = 10
MIN_RATIO = 0.05
MAX_RATIO = 20.0
DEFAULT_RATIO = 1.0


@dataclass(frozen=True)
class UsageRatios:
    """Store the ratio of used to declared size, by resource."""

    cores: float = DEFAULT_RATIO
    memory: float = DEFAULT_RATIO


class SizeEstimator:
    """Estimate a task's size from its declared size and the past usage of its service and team."""

    def __init__(
        self, make_sketch: Callable[[], DDSketch] = lambda: DDSketch(SKETCH_ACCURACY)
    ) -> None:
        self._make_sketch = make_sketch
        self._cores: dict[str, DDSketch] = {}
        self._memory: dict[str, DDSketch] = {}

    def record_usage(self, order: TaskDefinition, used: TaskResources) -> None:
        """Record the peak usage of one task."""
        key = _key(order)
        if order.size.cores > 0:
            self._sketch(self._cores, key).add(used.cores / order.size.cores)
        if order.size.memory_gb > 0:
            self._sketch(self._memory, key).add(used.memory_gb / order.size.memory_gb)

    def ratios(self, order: TaskDefinition) -> UsageRatios:
        """Return the ratios learned for tasks of this service and team."""
        key = _key(order)
        return UsageRatios(_ratio(self._cores.get(key)), _ratio(self._memory.get(key)))

    def estimate(self, order: TaskDefinition) -> TaskResources:
        """Return the estimated size; accelerators are taken as declared."""
        ratios = self.ratios(order)
        return order.size.scaled(ratios.cores, ratios.memory)

    def _sketch(self, sketches: dict[str, DDSketch], key: str) -> DDSketch:
        if key not in sketches:
            sketches[key] = self._make_sketch()
        return sketches[key]


def _key(order: TaskDefinition) -> str:
    return f"{order.service}/{order.team}"


def _ratio(sketch: DDSketch | None) -> float:
    if sketch is None or sketch.count < MIN_SAMPLES:
        return DEFAULT_RATIO
    ratio: float = sketch.get_quantile_value(USAGE_QUANTILE) or DEFAULT_RATIO
    return min(MAX_RATIO, max(MIN_RATIO, ratio))
