"""Estimate from tail latencies with and without an image by how much it slows another image.

Answers three ways to be misled: noise and outliers (medians, and a margin of several standard
errors), load that changes with time (only tasks of the same time are compared), and tasks or
workers that are slower in themselves (a task is compared with itself, or many with many).
"""

import math
from collections import Counter, defaultdict, deque
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from statistics import median

from gypsumplank.coordination.job.neighbour import TailSample

# Time whose samples are compared with each other, seconds.
PERIOD_S = 4.0
# Periods that are kept, 32 s in total.
PERIODS = 8
# Cells (see Cell) that are kept in one period; a round waits while they are compared.
MAX_CELLS = 32
# Cells with the same neighbours that are kept in one period, so that rare neighbours find room.
MAX_SIMILAR_CELLS = 8
# Samples of one task with the same neighbours that are kept in one period; a worker reports once or
# twice a second.
MAX_CELL_SAMPLES = 8
# Smallest slowdown that is recognised, as a ratio.
MIN_SLOWDOWN = 1.2
MIN_EFFECT = math.log(MIN_SLOWDOWN)
# Periods with the image, and without it, below which there is no estimate.
MIN_PERIODS = 3
# Tasks that were seen both with and without the image, below which they do not suffice.
MIN_PAIRED_TASKS = 2
# Tasks on either side, below which different tasks are not compared.
MIN_SIDE_TASKS = 4
# Margin of an estimate above MIN_EFFECT, in standard errors. The wait for a second estimate
# (CONFIRMATIONS) makes up for a margin this small.
MARGIN_ERRORS = 2.0
# Ratio of the standard deviation to the median absolute deviation of normally distributed values.
MAD_TO_DEVIATION = 1.4826


@dataclass(frozen=True)
class Cell:
    """Identify the samples of one task with the same neighbours."""

    task: str
    neighbours: frozenset[str]
    throttled: frozenset[str]


@dataclass(frozen=True)
class Row:
    """Store the median of a cell's logarithmic latencies, relative to its period's level."""

    period: int
    cell: Cell
    value: float


class TailHistory:
    """Hold the recent tail latencies of one image by period, task and neighbours."""

    def __init__(self) -> None:
        self._periods: deque[tuple[int, dict[Cell, list[float]]]] = deque(maxlen=PERIODS)
        # Cells of the current period by their neighbours.
        self._similar: Counter[tuple[frozenset[str], frozenset[str]]] = Counter()

    def add(self, sample: TailSample, now: float) -> bool:
        """Add a sample; return whether it began a new period."""
        number = int(now // PERIOD_S)
        is_new = not self._periods or self._periods[-1][0] != number
        if is_new:
            self._periods.append((number, {}))
            self._similar.clear()
        cells = self._periods[-1][1]
        cell = Cell(sample.task, sample.neighbours, sample.throttled)
        if cell not in cells and self._has_room(cell):
            cells[cell] = []
            self._similar[cell.neighbours, cell.throttled] += 1
        values = cells.get(cell)
        if values is not None and len(values) < MAX_CELL_SAMPLES:
            values.append(math.log(sample.tail_ms))
        return is_new

    def _has_room(self, cell: Cell) -> bool:
        similar = self._similar[cell.neighbours, cell.throttled]
        return self._similar.total() < MAX_CELLS and similar < MAX_SIMILAR_CELLS

    def rows(self, effects: Mapping[str, float], now: float) -> list[Row]:
        """Return the cells of recent periods that hold several tasks, without the periods' level.

        `effects` are the logarithmic slowdowns by neighbour that are known so far.
        """
        oldest = int(now // PERIOD_S) - PERIODS
        rows: list[Row] = []
        for number, cells in self._periods:
            if number < oldest or len({cell.task for cell in cells}) < MIN_PAIRED_TASKS:
                continue
            values = {cell: median(logs) for cell, logs in cells.items()}
            unthrottled = [cell for cell in values if not cell.throttled] or list(values)
            level = median(
                values[cell] - sum(effects.get(image, 0.0) for image in cell.neighbours)
                for cell in unthrottled
            )
            rows.extend(Row(number, cell, value - level) for cell, value in values.items())
        return rows


def estimate_effects(rows: Sequence[Row], known: Mapping[str, float]) -> dict[str, float]:
    """Return the logarithmic slowdown by image, 0 for a harmless one; nothing where undecided.

    The strongest comes first, so that the others are judged without what it explains.
    """
    images = sorted({image for row in rows for image in row.cell.neighbours})
    indistinct = _always_together(rows)
    effects = dict(known)
    first = {
        image: effect
        for image in images
        if image not in indistinct and (effect := _effect(rows, image, effects)) is not None
    }
    found: dict[str, float] = {}
    for image in sorted(first, key=lambda each: -first[each]):
        if (effect := _effect(rows, image, effects)) is not None:
            effects[image] = found[image] = effect
    return found


def _always_together(rows: Iterable[Row]) -> set[str]:
    """Return the images that another one always accompanies; what is due to which is unknown."""
    places: defaultdict[str, list[int]] = defaultdict(list)
    for number, row in enumerate(rows):
        for image in row.cell.neighbours:
            places[image].append(number)
    by_places: defaultdict[tuple[int, ...], set[str]] = defaultdict(set)
    for image, where in places.items():
        by_places[tuple(where)].add(image)
    return {image for images in by_places.values() if len(images) > 1 for image in images}


def _effect(rows: Sequence[Row], image: str, effects: Mapping[str, float]) -> float | None:
    """Return the effect of an image, 0 if it is harmless, None if that cannot be told.

    Rows with throttled images can show that an image is harmful, but not that it is harmless:
    throttling begins when the latency is high for any reason.
    """
    effect = _effect_in([row for row in rows if not row.cell.throttled], image, effects)
    if effect is None and (bound := _effect_in(rows, image, effects)):
        return max(bound, effects.get(image, 0.0))
    return effect


def _effect_in(rows: Iterable[Row], image: str, effects: Mapping[str, float]) -> float | None:
    """Return what `_effect` does, from rows that are all used.

    As a throttled image has at most its full effect, a value with the image is a lower bound.
    Values without it are left out where they would be one.
    """
    present: defaultdict[str, list[float]] = defaultdict(list)
    absent: defaultdict[str, list[float]] = defaultdict(list)
    present_periods, absent_periods = set(), set()
    for row in rows:
        cell = row.cell
        others = [other for other in cell.neighbours if other != image and effects.get(other)]
        value = row.value - sum(effects[other] for other in others)
        if image in cell.neighbours:
            present[cell.task].append(value)
            present_periods.add(row.period)
        elif cell.throttled.isdisjoint(others):
            absent[cell.task].append(value)
            absent_periods.add(row.period)
    if min(len(present_periods), len(absent_periods)) < MIN_PERIODS:
        return None
    return _judge(*_compare(present, absent))


def _compare(
    present: Mapping[str, list[float]], absent: Mapping[str, list[float]]
) -> tuple[float, float]:
    """Return the effect and its standard error; the error is infinite without enough tasks."""
    paired = [task for task in present if task in absent]
    if len(paired) >= MIN_PAIRED_TASKS:
        sides = [{task: side[task] for task in paired} for side in (present, absent)]
        differences = [median(present[task]) - median(absent[task]) for task in paired]
        effect = median(differences)
        spread = _spread([differences]) / math.sqrt(len(differences))
    elif min(len(present), len(absent)) >= MIN_SIDE_TASKS:
        sides = [dict(present), dict(absent)]
        medians = [[median(values) for values in side.values()] for side in sides]
        effect = median(medians[0]) - median(medians[1])
        spread = _spread(medians) * math.sqrt(sum(1 / len(side) for side in sides))
    else:
        return 0.0, math.inf
    counts = [sum(map(len, side.values())) for side in sides]
    noise = _spread([values for side in sides for values in side.values()])
    return effect, max(spread, noise * math.sqrt(sum(1 / count for count in counts)))


def _spread(groups: Iterable[Sequence[float]]) -> float:
    """Return a robust standard deviation within groups; infinite if none has two values.

    Each group's smallest deviation is left out, as its median is often one of its values.
    """
    deviations: list[float] = []
    for values in groups:
        middle = median(values)
        deviations.extend(sorted(abs(value - middle) for value in values)[1:])
    return MAD_TO_DEVIATION * median(deviations) if deviations else math.inf


def _judge(effect: float, error: float) -> float | None:
    if effect - MARGIN_ERRORS * error >= MIN_EFFECT:
        return effect
    return 0.0 if effect + error < MIN_EFFECT else None
