"""Fit a straight line to measured points by least squares."""

import math
import statistics
from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True)
class Point:
    """Hold one measurement: the size and what was measured at it."""

    size: float
    value: float


@dataclass(frozen=True)
class Fit:
    """Hold a line; `spread` is the standard error of the slope."""

    intercept: float
    slope: float
    spread: float

    def at(self, size: float) -> float:
        """Return the line's value at a size."""
        return self.intercept + self.slope * size


def fit_line(points: Sequence[Point]) -> Fit:
    """Return the line of least squares through three or more points."""
    sizes = [point.size for point in points]
    line = statistics.linear_regression(sizes, [point.value for point in points])
    residuals = [point.value - line.intercept - line.slope * point.size for point in points]
    mean = statistics.fmean(sizes)
    moment = sum((size - mean) ** 2 for size in sizes)
    freedom = len(points) - 2
    error = math.sqrt(sum(held**2 for held in residuals) / freedom / moment)
    return Fit(line.intercept, line.slope, error)
